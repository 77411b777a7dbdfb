"""Entry point of `pomelogradectl`."""

import functools
import json
import pathlib
import sys

import click

from pomelograde.cli import check, keys, output
from pomelograde.cli import client as client_module

EXIT_REFUSED = 3
EXIT_UNREACHABLE = 4
EXIT_CONFLICT = 5
EXIT_UNAVAILABLE = 6

EXIT_CODES = (
    "Exit codes: 0 done, 1 a failure, 2 wrong usage, 3 refused, 4 the instance "
    "can't be reached, 5 conflict with another change, 6 the platform is "
    "unavailable or the outcome is unknown."
)


class ErrorReportingGroup(click.Group):
    """Group of commands that turns client errors into messages and exit codes."""

    def invoke(self, context):
        """Run a command; end the process if the client reports an error."""
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


@click.group(cls=ErrorReportingGroup, epilog=EXIT_CODES)
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
    context.obj = functools.partial(_make_client, server, token, token_file, ca_file)


def _make_client(own_server, token, token_file, ca_file, server=None):
    server = server or own_server
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
@output.OUTPUT_OPTION
@click.pass_obj
def status(make_client, output_format):
    """Show the revision, primaries and refusals of an instance.

    \b
    Examples:
      pomelogradectl status
      pomelogradectl status -o json
    """
    response = make_client().request("GET", "/v1/status")
    if output_format == "json":
        output.echo_json(response)
        return
    configuration = response["configuration"]
    click.echo(
        f"{response['instance']} in {response['data_centre']}, revision "
        f"{response['revision']}, confirmed {configuration['confirmed_age_s']} s ago"
    )
    groups = response["groups"].items()
    rows = [[name, group["term"], group["primary"]] for name, group in groups]
    output.echo_table(["group", "term", "primary"], rows)
    refusals = response["metrics"]["counters"].get("pomelograde_refusals_total", {})
    output.echo_table(
        ["refusal", "count"],
        [[reason, int(count)] for reason, count in sorted(refusals.items())],
    )


@main.command()
@click.argument("kind")
@click.argument("name", required=False)
@output.OUTPUT_OPTION
@click.pass_obj
def get(make_client, kind, name, output_format):
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
    response = make_client().request("GET", path)
    if output_format == "json":
        output.echo_json(response)
    else:
        output.echo_resources([response] if name else response["items"])


@main.command()
@click.option(
    "-f",
    "--file",
    "path",
    required=True,
    type=click.Path(exists=True, allow_dash=True),
    help="JSON file with one resource or a list of them; - for standard input.",
)
@output.OUTPUT_OPTION
@click.pass_obj
def apply(make_client, path, output_format):
    """Create or replace the resources of a file, one after the other.

    A resource with a resourceVersion is refused if it was changed since. The
    command stops at the first refusal; each resource is one change.

    \b
    Examples:
      pomelogradectl apply -f accounts.json
      pomelogradectl get rules fresh -o json | pomelogradectl apply -f -

    \b
    A file:
      {"kind": "accounts", "name": "desk",
       "spec": {"rate_per_s": 200, "burst": 400}}
    """
    client = make_client()
    for item in _read_resources(path):
        kind, name = item["kind"], item["name"]
        body = {  # "status" and "key" occur in responses only
            field: value
            for field, value in item.items()
            if field not in ("status", "key")
        }
        response = client.request("PUT", f"/v1/{kind}/{name}", body)
        if output_format == "json":
            output.echo_json(response)
        else:
            click.echo(f"{kind}/{name} accepted at {response['resourceVersion']}")
            keys.echo_secret(response)


def _read_resources(path):
    with click.open_file(path) as file:
        try:
            content = json.load(file)
        except ValueError as error:
            raise click.UsageError(f"{path}: not JSON: {error}") from None
    if isinstance(content, dict):
        content = content.get("items", [content])
    for number, item in enumerate(content):
        if not isinstance(item, dict) or not {"kind", "name", "spec"} <= set(item):
            raise click.UsageError(f"{path}: item {number} wants kind, name and spec")
    return content


@main.command()
@click.argument("kind")
@click.argument("name")
@click.option("--resource-version", type=int, help="Only if this is its version.")
@output.OUTPUT_OPTION
@click.pass_obj
def delete(make_client, kind, name, resource_version, output_format):
    """Delete a resource.

    \b
    Examples:
      pomelogradectl delete rules fresh
      pomelogradectl delete keys desk-1 --resource-version 17
    """
    path = f"/v1/{kind}/{name}"
    response = make_client().request("DELETE", path, resourceVersion=resource_version)
    if output_format == "json":
        output.echo_json(response)
    else:
        click.echo(f"{kind}/{name} deleted at {response['resourceVersion']}")


@main.command()
@click.argument("kind")
@click.option(
    "--from", "from_version", default=0, help="resourceVersion to go on from."
)
@output.OUTPUT_OPTION
@click.pass_obj
def watch(make_client, kind, from_version, output_format):
    """Follow the changes of a kind until interrupted.

    \b
    Examples:
      pomelogradectl watch accounts
      pomelogradectl watch keys --from 117 -o json
    """
    for item in make_client().watch(
        f"/v1/{kind}", watch="true", resourceVersion=from_version
    ):
        if output_format == "json":
            output.echo_json_line(item)
        elif item["type"] != "BOOKMARK":
            resource = item["object"]
            status = output.format_status(resource["status"])
            version = resource["resourceVersion"]
            click.echo(f"{item['type']} {kind}/{resource['name']} {version} {status}")


@main.command()
@click.option("--follow", is_flag=True, help="Go on until interrupted.")
@output.OUTPUT_OPTION
@click.pass_obj
def events(make_client, follow, output_format):
    """Show the last events of an instance.

    \b
    Examples:
      pomelogradectl events
      pomelogradectl events --follow -o json
    """
    client = make_client()
    if follow:
        for item in client.watch("/v1/events", watch="true", resourceVersion=0):
            if item["type"] != "BOOKMARK":
                _echo_event(item["object"], output_format)
        return
    for item in client.request("GET", "/v1/events")["items"]:
        _echo_event(item, output_format)


def _echo_event(item, output_format):
    if output_format == "json":
        output.echo_json_line(item)
        return
    status = item["status"]
    fields = " ".join(f"{name}={value}" for name, value in status["fields"].items())
    click.echo(f"{status['time']} {status['event']} {status['reason']} {fields}")


@main.command()
@click.argument("account")
@output.OUTPUT_OPTION
@click.pass_obj
def explain(make_client, account, output_format):
    """Show why requests of a client account were refused, routed or delayed.

    What is shown was decided on the instance that is asked.

    \b
    Examples:
      pomelogradectl explain desk
      pomelogradectl explain rule/standings -o json
    """
    response = make_client().request("GET", f"/v1/explain/{account}")
    if output_format == "json":
        output.echo_json(response)
        return
    click.echo(f"{account} on {response['instance']}, limits: {response['limits']}")
    output.echo_table(["decision", "count"], sorted(response["counts"].items()))
    output.echo_table(
        ["time", "outcome", "reason", "service", "particulars"],
        [
            [
                decision["time"],
                decision["outcome"],
                decision["reason"],
                decision["service"],
                output.format_status(decision["particulars"]),
            ]
            for decision in response["recent"]
        ],
    )


@main.command()
@output.OUTPUT_OPTION
@click.pass_obj
def drain(make_client, output_format):
    """Begin the graceful shutdown of the instance that is asked.

    \b
    Example:
      pomelogradectl --server http://10.0.0.1:8432 drain
    """
    response = make_client().request("POST", "/v1/drain")
    if output_format == "json":
        output.echo_json(response)
    else:
        click.echo(response["message"])


main.add_command(check.check)
main.add_command(keys.keys)


if __name__ == "__main__":
    main()
