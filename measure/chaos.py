"""Fleets with random faults from a seed, and the check of their history."""

import contextlib
import random
import signal
import threading
import time

import attrs
import click

from measure import changes, checkers, faults, fleets, history, workload
from pomelograde.standins import deployments

CALLERS = 32
MIX = workload.Mix(
    write=0.3, transaction=0.1, echo=0.1, think_s=0.04, move_every=8, deadline_s=4.0
)
MIN_FAULT_S = 0.3
MAX_FAULT_S = 3.0
MEAN_PAUSE_S = 1.5
OPERATOR_INTERVAL_S = 0.7
SETTLE_S = 3.0
SAMPLE_INTERVAL_S = 0.1


@attrs.frozen
class Fault:
    """One fault of a schedule.

    Attributes
    ----------
    kind : str
        Name of a function in `KINDS`.
    at_s, lasts_s : float
        When it begins, from the start of the run, and how long it lasts.
    choice : int
        Chooses its target.
    """

    kind: str
    at_s: float
    lasts_s: float
    choice: int


def make_schedule(seed, seconds):
    """Return the faults of a run, which follow from the seed alone."""
    chooser = random.Random(seed)
    schedule = []
    at_s = 1.0
    while at_s < seconds - MAX_FAULT_S:
        lasts_s = chooser.uniform(MIN_FAULT_S, MAX_FAULT_S)
        kind = chooser.choice(sorted(KINDS))
        schedule.append(Fault(kind, at_s, lasts_s, chooser.randrange(1 << 30)))
        at_s += chooser.expovariate(1.0 / MEAN_PAUSE_S)
    return schedule


def run(deployment, seed, seconds, instances=fleets.INSTANCES):
    """Run a fleet with random faults.

    Parameters
    ----------
    deployment : Deployment
        Names and sizes.
    seed : int
        Seed of faults and callers.
    seconds : float
        Length of the run.
    instances : int
        Number of instances.

    Returns
    -------
    History
        What happened, the rows at rest included.
    """
    settings = fleets.FleetSettings(deployment, instances=instances)
    callers = workload.make_callers(deployment, CALLERS, MIX)
    with fleets.run_fleet(settings) as fleet:
        with fleet.callers(callers, seconds, seed) as paths:
            observer = Observer(fleet, seed)
            observer.start()
            _inject(fleet, make_schedule(seed, seconds))
            _restore(fleet)
        time.sleep(SETTLE_S)
        observer.stop()
        recorded = history.load(paths)
        recorded.records += observer.records + fleet.limits() + fleet.rows_at_rest()
    return recorded


class Observer:
    """Races operators' changes and records which revisions are in force.

    Parameters
    ----------
    fleet : Fleet
        Where.
    seed : int
        Seed of its choices.

    Attributes
    ----------
    records : list
        Revisions seen.
    """

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(f"{seed}/operators")
        self.records = []
        self.ended = threading.Event()
        self.threads = [
            threading.Thread(target=self._observe),
            *(threading.Thread(target=self._operate) for _ in range(2)),
        ]

    def start(self):
        """Begin."""
        for thread in self.threads:
            thread.start()

    def stop(self):
        """End, and wait until all has ended."""
        self.ended.set()
        for thread in self.threads:
            thread.join()

    def _observe(self):
        while not self.ended.wait(SAMPLE_INTERVAL_S):
            for number in range(len(self.fleet.daemons)):
                seen = changes.see_revision(self.fleet, number)
                if seen is not None:
                    self.records.append(seen)

    def _operate(self):
        while not self.ended.wait(OPERATOR_INTERVAL_S):
            number = self.random.randrange(len(self.fleet.daemons))
            weight = self.random.uniform(1.0, 2.0)
            account = self.random.choice(self.fleet.deployment.accounts)
            with contextlib.suppress(OSError, KeyError):
                path = f"/v1/accounts/{account}"
                found = self.fleet.operate("GET", path, number=number, timeout_s=2.0)
                body = {
                    "spec": {**found["spec"], "weight": weight},
                    "resourceVersion": found["resourceVersion"],
                }
                self.fleet.operate("PUT", path, body, number, timeout_s=4.0)


def _inject(fleet, schedule):
    started_at = time.monotonic()
    ends = []
    for fault in schedule:
        _end_until(ends, started_at + fault.at_s)
        click.echo(f"{fault.at_s:6.2f} s: {fault.kind} for {fault.lasts_s:.2f} s")
        end = KINDS[fault.kind](fleet, fault.choice)
        ends.append((started_at + fault.at_s + fault.lasts_s, end))
    _end_until(ends, float("inf"))


def _end_until(ends, until):
    """End faults that are due before a time, then wait for that time."""
    for due, end in sorted(ends, key=lambda entry: entry[0]):
        if due <= until:
            time.sleep(max(0.0, due - time.monotonic()))
            end()
            ends.remove((due, end))
    if until != float("inf"):
        time.sleep(max(0.0, until - time.monotonic()))


def _restore(fleet):
    """End all faults that may still be on."""
    fleet.change_platform(outage=False, silent=False, slow_s=0.0, lose_answers=0)
    fleet.heal()
    for service in fleet.deployment.services:
        for member in fleet.members(service):
            faults.restore_member(fleet, service, member["name"])


def _member_fault(kind, leading):
    def begin(fleet, choice):
        services = fleet.deployment.services
        service = services[choice % len(services)]
        members = [
            member["name"]
            for member in fleet.members(service)
            if (member["role"] == "primary") is leading
        ]
        if not members:
            return _nothing
        name = members[choice // len(services) % len(members)]
        faults.fail_member(fleet, service, name, kind)
        return lambda: faults.restore_member(fleet, service, name)

    return begin


def _platform_fault(**values):
    def begin(fleet, choice):
        fleet.change_platform(**values)
        usual = {name: type(value)() for name, value in values.items()}
        return lambda: fleet.change_platform(**usual)

    return begin


def _cut_off(fleet, choice):
    places = fleet.deployment.data_centres
    fleet.cut_off(places[choice % len(places)])
    return fleet.heal


def _silence(fleet, choice):
    fleet.silence()
    return _nothing


def _instance_signal(name):
    def begin(fleet, choice):
        number = choice % len(fleet.daemons)
        child = fleet.daemons[number]
        child.send_signal(signal.Signals[name])
        if name == "SIGSTOP":
            return lambda: child.send_signal(signal.SIGCONT)
        return lambda: _start_again(fleet, number, child)

    return begin


def _start_again(fleet, number, child):
    child.wait()
    if fleet.daemons[number] is child:
        fleet.start_daemon(number)


def _nothing():
    """End a fault that ends by itself."""


KINDS = {
    "primary killed": _member_fault("killed", leading=True),
    "primary isolated": _member_fault("isolated", leading=True),
    "primary paused": _member_fault("paused", leading=True),
    "replica killed": _member_fault("killed", leading=False),
    "replica paused": _member_fault("paused", leading=False),
    "platform outage": _platform_fault(outage=True),
    "platform silent": _platform_fault(silent=True),
    "platform slow": _platform_fault(slow_s=1.0),
    "platform loses answers": _platform_fault(lose_answers=3),
    "data centre cut off": _cut_off,
    "connections silent": _silence,
    "instance killed": _instance_signal("SIGKILL"),
    "instance paused": _instance_signal("SIGSTOP"),
    "instance stopped": _instance_signal("SIGTERM"),
}


def report(recorded):
    """Print what the checks found; returns the number of violations."""
    operations = recorded.operations()
    counts = {}
    for one in operations:
        key = f"{one.action.value} {one.outcome.value} {one.reason}".strip()
        counts[key] = counts.get(key, 0) + 1
    for key in sorted(counts):
        click.echo(f"  {counts[key]:6d} {key}")
    checked = checkers.check_all(recorded)
    for name, violations in checked.items():
        click.echo(f"{name}: {len(violations)}")
        for violation in violations[:5]:
            click.echo(f"  {violation.text}")
    return sum(map(len, checked.values()))


def find_deployment(name):
    """Return a deployment by its name."""
    return next(one for one in deployments.ALL if one.name == name)
