"""Demo with three instances on the stand-in for a hosting platform."""

import copy
import time

import click

from pomelograde.standins import demo, processes
from pomelograde.standins.hosting import fleets, host

KEY_REVOCATION_TIMEOUT_S = 5.0  # revokeMs in the instances' settings


def run(check):
    """Run the demo and return its exit code.

    Parameters
    ----------
    check : bool
        Whether to run the scripted steps and exit, instead of serving until an
        interrupt.
    """
    with processes.Processes() as running:
        fleet = fleets.Fleet(running)
        fleet.start_instances()
        for instance in fleet.instances:
            click.echo(f"127.0.0.1:{instance.port} START meters {host.KEY}")
        if check:
            return demo.run_steps(fleet, STEPS)
        click.echo("ready; interrupt to stop")
        try:
            while True:
                time.sleep(1.0)
        except KeyboardInterrupt:
            click.echo("stopping")
        return 0


def _write(fleet):
    with fleets.Caller(fleet.instances[0].port) as caller:
        return caller.query("WRITE m1 4711")[0].startswith("COMPLETE d.")


def _read_elsewhere(fleet):
    with fleets.Caller(fleet.instances[1].port) as caller:
        return caller.query("READ m1")[0] == "DATAROW 4711"


def _withdraw(fleet):
    with fleets.Caller(fleet.instances[2].port, key=host.OTHER_KEY) as caller:
        if not caller.query("READ m1")[0].startswith("DATAROW"):
            return False
        manifest = copy.deepcopy(host.MANIFEST)
        manifest["version"] += 1
        manifest["tenants"][1]["apiKeys"] = []
        fleet.put_manifest(manifest)
        deadline = time.monotonic() + KEY_REVOCATION_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                if not caller.query("READ m1")[0].startswith("DATAROW"):
                    return True
            except OSError:
                return True
            time.sleep(0.05)
    return False


STEPS = (
    ("write a meter reading through the first instance", _write),
    ("read it back through the second instance", _read_elsewhere),
    ("an operator withdraws a key; its callers are refused", _withdraw),
)
