"""Commands on client account keys."""

import click

from pomelograde.cli import output

OUTPUT = click.option(
    "-o",
    "--output",
    "form",
    type=click.Choice(["table", "json"]),
    default="table",
    help="Tables for people or JSON for programs.",
)


@click.group()
def keys():
    """Issue, rotate and withdraw client account keys.

    \b
    Example:
      pomelogradectl keys issue desk-1 --account desk
    """


@keys.command()
@click.argument("name")
@click.option("--account", required=True, help="Client account of the key.")
@OUTPUT
@click.pass_obj
def issue(connect, name, account, form):
    """Make a key; it is shown once and kept nowhere in clear.

    \b
    Example:
      pomelogradectl keys issue desk-1 --account desk
    """
    body = {"spec": {"account": account}, "resourceVersion": 0}
    _echo(connect().request("PUT", f"/v1/keys/{name}", body), "issued", form)


@keys.command()
@click.argument("name")
@OUTPUT
@click.pass_obj
def rotate(connect, name, form):
    """Replace a key; the old one stops working at once, also where in use.

    To change keys without an interruption, issue a second key, move the
    callers to it, and withdraw the first.

    \b
    Example:
      pomelogradectl keys rotate desk-1
    """
    client = connect()
    known = client.request("GET", f"/v1/keys/{name}")
    spec = {**known["spec"], "withdrawn": False}
    version = known["resourceVersion"]
    body = {"spec": spec, "resourceVersion": version, "rotate": True}
    _echo(client.request("PUT", f"/v1/keys/{name}", body), "rotated", form)


@keys.command()
@click.argument("name")
@OUTPUT
@click.pass_obj
def withdraw(connect, name, form):
    """Withdraw a key; its connections are closed on all instances.

    \b
    Example:
      pomelogradectl keys withdraw desk-1
    """
    client = connect()
    known = client.request("GET", f"/v1/keys/{name}")
    body = {"spec": {**known["spec"], "withdrawn": True}}
    _echo(client.request("PUT", f"/v1/keys/{name}", body), "withdrawn", form)


def echo_issued(value):
    """Print a key in clear where an answer has one."""
    if value.get("key"):
        click.echo(f"key: {value['key']}")


def _echo(value, verb, form):
    if form == "json":
        output.echo_json(value)
        return
    click.echo(f"keys/{value['name']} {verb} at {value['resourceVersion']}")
    echo_issued(value)
