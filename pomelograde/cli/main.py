"""Entry point of `pomelogradectl`."""

import functools
import json
import pathlib
import sys

import click

from pomelograde.cli import client as client_module
from pomelograde.cli import keys, output

EXIT_REFUSED = 3
EXIT_UNREACHABLE = 4
EXIT_CONFLICT = 5
EXIT_UNAVAILABLE = 6

EXIT_CODES = (
    "Exit codes: 0 done, 1 a failure, 2 wrong usage, 3 refused, 4 the instance "
    "can't be reached, 5 conflict with another change, 6 the platform is "
    "unavailable or the outcome is unknown."
)

OUTPUT = click.option(
    "-o",
    "--output",
    "form",
    type=click.Choice(["table", "json"]),
    default="table",
    help="Tables for people or JSON for programs.",
)


class Group(click.Group):
    """Commands whose faults become messages and exit codes."""

    def invoke(self, context):
        """Run a command."""
        try:
            return super().invoke(context)
        except client_module.RefusedError as error:
            click.echo(f"refused: {error}", err=True)
            current = error.body.get("current")
            if current is not None:
                click.echo(json.dumps(current, indent=2), err=True)
            if error.body.get("changeId"):
                click.echo(f"changeId: {error.body['changeId']}", err=True)
            sys.exit(_exit_code(error.status))
        except client_module.UnreachableError as error:
            click.echo(f"no answer: {error}", err=True)
            sys.exit(EXIT_UNREACHABLE)


@click.group(cls=Group, epilog=EXIT_CODES)
@click.option(
    "--server",
    envvar="POMELOGRADE_SERVER",
    help="Operators' address of an instance. [env POMELOGRADE_SERVER]",
)
@click.option(
    "--token",
    envvar="POMELOGRADE_TOKEN",
    help="Bearer token. [env POMELOGRADE_TOKEN]",
)
@click.option(
    "--token-file",
    envvar="POMELOGRADE_TOKEN_FILE",
    type=click.Path(exists=True, dir_okay=False),
    help="File with the bearer token. [env POMELOGRADE_TOKEN_FILE]",
)
@click.option(
    "--ca-file",
    envvar="POMELOGRADE_CA_FILE",
    default="",
    help="PEM file of the certificate authority. [env POMELOGRADE_CA_FILE]",
)
@click.pass_context
def main(context, server, token, token_file, ca_file):
    """Operate a pomelograde fleet.

    \b
    Examples:
      pomelogradectl --server http://10.0.0.1:8432 --token-file token status
      POMELOGRADE_SERVER=http://10.0.0.1:8432 pomelogradectl get accounts
    """
    context.obj = functools.partial(_connect, server, token, token_file, ca_file)


def _connect(server, token, token_file, ca_file):
    if not server:
        raise click.UsageError("give --server or POMELOGRADE_SERVER")
    if token_file:
        token = pathlib.Path(token_file).read_text("utf-8").strip()
    if not token:
        raise click.UsageError("give --token, --token-file or POMELOGRADE_TOKEN")
    return client_module.Client(server.rstrip("/"), token, ca_file)


def _exit_code(status):
    if status == 409:
        return EXIT_CONFLICT
    return EXIT_UNAVAILABLE if status >= 500 else EXIT_REFUSED


@main.command()
@OUTPUT
@click.pass_obj
def status(connect, form):
    """Show what an instance does.

    \b
    Examples:
      pomelogradectl status
      pomelogradectl status -o json
    """
    value = connect().request("GET", "/v1/status")
    if form == "json":
        output.echo_json(value)
        return
    configuration = value["configuration"]
    click.echo(
        f"{value['instance']} in {value['data_centre']}, revision "
        f"{value['revision']}, confirmed {configuration['confirmed_age_s']} s ago"
    )
    groups = value["groups"].items()
    rows = [[name, group["term"], group["primary"]] for name, group in groups]
    output.echo_table(["group", "term", "primary"], rows)
    refusals = value["metrics"]["counters"].get("pomelograde_refusals_total", {})
    output.echo_table(
        ["refusal", "count"], [[k, int(v)] for k, v in sorted(refusals.items())]
    )


@main.command()
@click.argument("kind")
@click.argument("name", required=False)
@OUTPUT
@click.pass_obj
def get(connect, kind, name, form):
    """Show resources of a kind, or one of them.

    Kinds: accounts, keys, rules, services; read-only: events, instances,
    limits, upstreams.

    \b
    Examples:
      pomelogradectl get accounts
      pomelogradectl get keys desk-1 -o json
      pomelogradectl get upstreams
    """
    path = f"/v1/{kind}/{name}" if name else f"/v1/{kind}"
    value = connect().request("GET", path)
    if form == "json":
        output.echo_json(value)
    else:
        output.echo_resources([value] if name else value["items"])


@main.command()
@click.option(
    "-f",
    "--file",
    "path",
    required=True,
    type=click.Path(exists=True, allow_dash=True),
    help="JSON file with one resource or a list of them; - for standard input.",
)
@OUTPUT
@click.pass_obj
def apply(connect, path, form):
    """Create or replace the resources of a file, one after the other.

    A resource with a resourceVersion is refused if it was changed since. It
    stops at the first refusal; each resource is one change.

    \b
    Examples:
      pomelogradectl apply -f accounts.json
      pomelogradectl get rules fresh -o json | pomelogradectl apply -f -

    \b
    A file:
      {"kind": "accounts", "name": "desk",
       "spec": {"rate_per_s": 200, "burst": 400}}
    """
    client = connect()
    for item in _read_file(path):
        kind, name = item["kind"], item["name"]
        body = {k: v for k, v in item.items() if k not in ("status", "key")}
        value = client.request("PUT", f"/v1/{kind}/{name}", body)
        if form == "json":
            output.echo_json(value)
        else:
            click.echo(f"{kind}/{name} accepted at {value['resourceVersion']}")
            keys.echo_issued(value)


def _read_file(path):
    with click.open_file(path) as file:
        try:
            value = json.load(file)
        except ValueError as error:
            raise click.UsageError(f"{path}: not JSON: {error}") from None
    if isinstance(value, dict):
        value = value.get("items", [value])
    for number, item in enumerate(value):
        if not isinstance(item, dict) or not {"kind", "name", "spec"} <= set(item):
            raise click.UsageError(f"{path}: item {number} wants kind, name and spec")
    return value


@main.command()
@click.argument("kind")
@click.argument("name")
@click.option("--resource-version", type=int, help="Only if this is its version.")
@OUTPUT
@click.pass_obj
def delete(connect, kind, name, resource_version, form):
    """Delete a resource.

    \b
    Examples:
      pomelogradectl delete rules fresh
      pomelogradectl delete keys desk-1 --resource-version 17
    """
    path = f"/v1/{kind}/{name}"
    value = connect().request("DELETE", path, resourceVersion=resource_version)
    if form == "json":
        output.echo_json(value)
    else:
        click.echo(f"{kind}/{name} deleted at {value['resourceVersion']}")


@main.command()
@click.argument("kind")
@click.option("--from", "version", default=0, help="resourceVersion to go on from.")
@OUTPUT
@click.pass_obj
def watch(connect, kind, version, form):
    """Follow the changes of a kind until interrupted.

    \b
    Examples:
      pomelogradectl watch accounts
      pomelogradectl watch keys --from 117 -o json
    """
    for item in connect().watch(f"/v1/{kind}", watch="true", resourceVersion=version):
        if form == "json":
            output.echo_line(item)
        elif item["type"] != "BOOKMARK":
            found = item["object"]
            status = output.describe_status(found["status"])
            version = found["resourceVersion"]
            click.echo(f"{item['type']} {kind}/{found['name']} {version} {status}")


@main.command()
@click.option("--follow", is_flag=True, help="Go on until interrupted.")
@OUTPUT
@click.pass_obj
def events(connect, follow, form):
    """Show the last events of an instance.

    \b
    Examples:
      pomelogradectl events
      pomelogradectl events --follow -o json
    """
    client = connect()
    if follow:
        for item in client.watch("/v1/events", watch="true", resourceVersion=0):
            if item["type"] != "BOOKMARK":
                _echo_event(item["object"], form)
        return
    for item in client.request("GET", "/v1/events")["items"]:
        _echo_event(item, form)


def _echo_event(item, form):
    if form == "json":
        output.echo_line(item)
        return
    status = item["status"]
    fields = " ".join(f"{name}={value}" for name, value in status["fields"].items())
    click.echo(f"{status['time']} {status['event']} {status['reason']} {fields}")


@main.command()
@click.argument("account")
@OUTPUT
@click.pass_obj
def explain(connect, account, form):
    """Show why requests of a client account were refused, routed or delayed.

    What is shown was decided on the instance that is asked.

    \b
    Examples:
      pomelogradectl explain desk
      pomelogradectl explain rule/standings -o json
    """
    value = connect().request("GET", f"/v1/explain/{account}")
    if form == "json":
        output.echo_json(value)
        return
    click.echo(f"{account} on {value['instance']}, limits: {value['limits']}")
    output.echo_table(["decision", "count"], sorted(value["counts"].items()))
    output.echo_table(
        ["time", "outcome", "reason", "service", "particulars"],
        [
            [
                found["time"],
                found["outcome"],
                found["reason"],
                found["service"],
                output.describe_status(found["particulars"]),
            ]
            for found in value["recent"]
        ],
    )


@main.command()
@OUTPUT
@click.pass_obj
def drain(connect, form):
    """Begin the graceful shutdown of the instance that is asked.

    \b
    Example:
      pomelogradectl --server http://10.0.0.1:8432 drain
    """
    value = connect().request("POST", "/v1/drain")
    if form == "json":
        output.echo_json(value)
    else:
        click.echo(value["message"])


main.add_command(keys.keys)


if __name__ == "__main__":
    main()
