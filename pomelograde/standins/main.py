"""Command line of the stand-ins and the demo."""

import json
import pathlib
import sys

import click
from twisted.internet import reactor
from twisted.web import server

from pomelograde.standins import demo, host, links, platform
from pomelograde.standins.hosting import demo as hosting_demo
from pomelograde.standins.hosting import host as hosting_host


@click.group()
def main():
    """Run stand-ins for the platform and for upstream members."""


@main.command("platform")
@click.option("--port", default=0, help="Port; 0 lets the kernel choose.")
def run_platform(port):
    """Run the platform stand-in.

    \b
    Example:
      python -m pomelograde.standins platform --port 8080
    """
    site = server.Site(platform.PlatformResource(reactor, platform.Platform()))
    site.noisy = False
    listening = reactor.listenTCP(port, site, interface="127.0.0.1")
    _announce({"port": listening.getHost().port})
    reactor.run()


@main.command("members")
@click.option("--config", required=True, help="JSON file, or - for standard input.")
def run_members(config):
    """Run groups of stand-in members.

    \b
    Example:
      python -m pomelograde.standins members --config groups.json
    """
    text = sys.stdin.read() if config == "-" else pathlib.Path(config).read_text()
    parsed = host.parse(json.loads(text))
    if parsed.is_err():
        raise click.ClickException("; ".join(parsed.err_value))
    stand_in_host = host.Host(reactor, parsed.ok_value)
    stand_in_host.start()
    reactor.addSystemEventTrigger("after", "shutdown", stand_in_host.stop)
    _announce(stand_in_host.describe())
    reactor.run()


@main.command("links")
@click.option("--config", required=True, help="JSON file, or - for standard input.")
def run_links(config):
    """Run relays between data centres.

    \b
    Example:
      python -m pomelograde.standins links --config links.json
    """
    text = sys.stdin.read() if config == "-" else pathlib.Path(config).read_text()
    parsed = links.parse(json.loads(text))
    if parsed.is_err():
        raise click.ClickException("; ".join(parsed.err_value))
    relay = links.Relay(reactor, parsed.ok_value)
    relay.start()
    _announce(relay.describe())
    reactor.run()


@main.command("hosting")
def run_hosting():
    """Run the stand-ins for the store and the members of a hosting platform."""
    stand_in_host = hosting_host.Host(reactor)
    _announce(stand_in_host.start())
    reactor.run()


@main.command("demo")
@click.option("--check", is_flag=True, help="Run scripted steps, then exit.")
@click.option("--port", default=0, help="Caller port of the first instance.")
@click.option(
    "--platform", "hosted", is_flag=True, help="Run the demo of the hosting platform."
)
def run_demo(check, port, hosted):
    """Run both deployments with three instances.

    \b
    Examples:
      make demo
      make demo ARGS=--check
      make demo ARGS="--platform --check"
      make demo ARGS="--port 6432"
    """
    if hosted:
        sys.exit(hosting_demo.run(check))
    sys.exit(demo.run(check, port))


def _announce(value):
    click.echo(json.dumps(value))
    sys.stdout.flush()
