"""Commands that manage the keys of client accounts."""

import click

from pomelograde.cli import output


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
@output.OUTPUT_OPTION
@click.pass_obj
def issue(make_client, name, account, output_format):
    """Issue a key; it is shown once and never stored in plain text.

    \b
    Example:
      pomelogradectl keys issue desk-1 --account desk
    """
    body = {"spec": {"account": account}, "resourceVersion": 0}
    _echo_key(
        make_client().request("PUT", f"/v1/keys/{name}", body), "issued", output_format
    )


@keys.command()
@click.argument("name")
@output.OUTPUT_OPTION
@click.pass_obj
def rotate(make_client, name, output_format):
    """Replace a key; the old one stops working at once, also where in use.

    To change keys without an interruption, issue a second key, move the
    callers to it, and withdraw the first.

    \b
    Example:
      pomelogradectl keys rotate desk-1
    """
    client = make_client()
    current = client.request("GET", f"/v1/keys/{name}")
    spec = {**current["spec"], "withdrawn": False}
    resource_version = current["resourceVersion"]
    body = {"spec": spec, "resourceVersion": resource_version, "rotate": True}
    _echo_key(client.request("PUT", f"/v1/keys/{name}", body), "rotated", output_format)


@keys.command()
@click.argument("name")
@output.OUTPUT_OPTION
@click.pass_obj
def withdraw(make_client, name, output_format):
    """Withdraw a key; its connections are closed on all instances.

    \b
    Example:
      pomelogradectl keys withdraw desk-1
    """
    client = make_client()
    current = client.request("GET", f"/v1/keys/{name}")
    body = {"spec": {**current["spec"], "withdrawn": True}}
    _echo_key(
        client.request("PUT", f"/v1/keys/{name}", body), "withdrawn", output_format
    )


def echo_secret(resource):
    """Print the secret of a key that a response contains.

    Only responses to issuing or rotating a key contain it.
    """
    if resource.get("key"):
        click.echo(f"key: {resource['key']}")


def _echo_key(resource, verb, output_format):
    if output_format == "json":
        output.echo_json(resource)
        return
    click.echo(f"keys/{resource['name']} {verb} at {resource['resourceVersion']}")
    echo_secret(resource)
