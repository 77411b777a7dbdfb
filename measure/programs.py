"""Programs that the measuring tool runs as child processes."""

import json
import pathlib
import sys

import attrs
import cattrs
import click
from twisted.internet import reactor

from measure import callers, workload
from measure.throughput import _driver, _forwarder, _synthetic

LOOPBACK = "127.0.0.1"
BACKLOG = 512


@click.group()
def program():
    """Run one of the tool's child processes."""


@program.command()
@click.option("--name", required=True)
@click.option("--role", required=True)
@click.option("--leader", required=True)
@click.option("--password", required=True)
def synthetic(name, role, leader, password):
    """Run an upstream member that returns canned answers."""
    factory = _synthetic.SyntheticFactory(name, role, leader, password)
    _listen(factory)


@program.command()
@click.option("--upstream-port", required=True, type=int)
def forwarder(upstream_port):
    """Run a minimal frame forwarder."""
    pool = _forwarder.Pool()
    factory = _forwarder.UpstreamFactory(pool)
    for _ in range(_forwarder.POOLED_CONNECTIONS):
        reactor.connectTCP(LOOPBACK, upstream_port, factory)
    _listen(_forwarder.CallerFactory(pool))


@program.command()
@click.option("--config", required=True, help="Target and load, in JSON.")
def driver(config):
    """Run a closed-loop load and print its outcome as JSON."""
    value = json.loads(config)
    target = _driver.Target(**value["target"])
    outcome = _driver.drive(target, _driver.Load(**value["load"]), _wait_for_start)
    click.echo(json.dumps(attrs.asdict(outcome)))


@program.command("callers")
@click.option("--plan", required=True, help="JSON file with the plan.")
def run_callers(plan):
    """Run callers and write their history."""
    value = json.loads(pathlib.Path(plan).read_text("utf-8"))
    parsed_plan = cattrs.structure(value, workload.Plan)
    callers.run(parsed_plan, ends_at=float(_wait_for_start()))


def _wait_for_start():
    click.echo("ready")
    sys.stdout.flush()
    return sys.stdin.readline()


def _listen(factory):
    port = reactor.listenTCP(0, factory, interface=LOOPBACK, backlog=BACKLOG)
    click.echo(json.dumps({"port": port.getHost().port}))
    sys.stdout.flush()
    reactor.run()
