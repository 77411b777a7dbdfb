"""Entry point of `pomelogradectl`."""

import json
import sys
import urllib.error

import click
import rich.console
import rich.table

from pomelograde.standins import http

EXIT_REFUSED = 3
EXIT_UNREACHABLE = 4


@click.group(
    epilog="Exit codes: 0 done, 1 a failure, 2 wrong usage, 3 refused, "
    "4 the instance can't be reached."
)
@click.option("--server", envvar="POMELOGRADE_SERVER", required=True)
@click.option("--token", envvar="POMELOGRADE_TOKEN", required=True)
@click.pass_context
def main(context, server, token):
    r"""Operate a pomelograde fleet.

    \b
    Example:
      pomelogradectl --server http://10.0.0.1:8432 --token $TOKEN status
    """
    context.obj = (server.rstrip("/"), token)


@main.command()
@click.option("-o", "output", type=click.Choice(["table", "json"]), default="table")
@click.pass_obj
def status(connection, output):
    r"""Show what an instance does.

    \b
    Example:
      pomelogradectl status -o json
    """
    value = _request(connection, "GET", "/v1/status")
    if output == "json":
        click.echo(json.dumps(value, indent=2))
        return
    table = rich.table.Table("group", "term", "primary")
    for name, group in value["groups"].items():
        table.add_row(name, str(group["term"]), str(group["primary"]))
    rich.console.Console().print(table)


@main.command()
@click.argument("kind")
@click.argument("name", required=False)
@click.pass_obj
def get(connection, kind, name):
    r"""Show resources of a kind, or one of them.

    \b
    Examples:
      pomelogradectl get accounts
      pomelogradectl get keys desk-1
    """
    path = f"/v1/{kind}/{name}" if name else f"/v1/{kind}"
    click.echo(json.dumps(_request(connection, "GET", path), indent=2))


@main.command()
@click.argument("kind")
@click.argument("name")
@click.pass_obj
def delete(connection, kind, name):
    r"""Delete a resource.

    \b
    Example:
      pomelogradectl delete keys desk-1
    """
    value = _request(connection, "DELETE", f"/v1/{kind}/{name}")
    click.echo(json.dumps(value, indent=2))


def _request(connection, method, path, body=None):
    server, token = connection
    headers = [("Authorization", f"Bearer {token}")]
    try:
        return http.send(method, server + path, body, headers)
    except urllib.error.HTTPError as error:
        click.echo(error.read().decode("utf-8"), err=True)
        sys.exit(EXIT_REFUSED)
    except urllib.error.URLError as error:
        click.echo(f"{server}: {error.reason}", err=True)
        sys.exit(EXIT_UNREACHABLE)


if __name__ == "__main__":
    main()
