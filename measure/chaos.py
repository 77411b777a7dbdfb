"""Runs fleets with seeded random faults and checks their histories."""

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
MEAN_FAULT_INTERVAL_S = 1.5
OPERATOR_INTERVAL_S = 0.7
RECOVERY_S = 3.0
SAMPLE_INTERVAL_S = 0.1


@attrs.frozen
class Fault:
    """One fault of a schedule.

    Attributes
    ----------
    kind : str
        Key of `FAULT_KINDS`.
    at_s, lasts_s : float
        Start, relative to the start of the run, and duration.
    choice : int
        Random number from which the target follows.
    """

    kind: str
    at_s: float
    lasts_s: float
    choice: int


def make_schedule(seed, seconds):
    """Return the faults of a run; they depend on nothing but the arguments."""
    generator = random.Random(seed)
    schedule = []
    at_s = 1.0
    while at_s < seconds - MAX_FAULT_S:
        lasts_s = generator.uniform(MIN_FAULT_S, MAX_FAULT_S)
        kind = generator.choice(sorted(FAULT_KINDS))
        schedule.append(Fault(kind, at_s, lasts_s, generator.randrange(1 << 30)))
        at_s += generator.expovariate(1.0 / MEAN_FAULT_INTERVAL_S)
    return schedule


def run(deployment, seed, seconds, instances=fleets.INSTANCES):
    """Run a fleet with random faults.

    Parameters
    ----------
    deployment : Deployment
        Client accounts, databases and data centres.
    seed : int
        Seed of faults and callers.
    seconds : float
        Length of the run.
    instances : int
        Number of instances.

    Returns
    -------
    History
        Operations, changes and the rows after replication has caught up.
    """
    settings = fleets.FleetSettings(deployment, instances=instances)
    callers = workload.make_callers(deployment, CALLERS, MIX)
    with fleets.run_fleet(settings) as fleet:
        with fleet.run_callers(callers, seconds, seed) as paths:
            activity = OperatorActivity(fleet, seed)
            activity.start()
            _inject(fleet, make_schedule(seed, seconds))
            _restore(fleet)
        time.sleep(RECOVERY_S)
        activity.stop()
        recorded = history.load(paths)
        recorded.records += activity.records + fleet.limits() + fleet.settled_rows()
    return recorded


class OperatorActivity:
    """Makes concurrent operators' changes and records the revisions in force.

    Parameters
    ----------
    fleet : Fleet
        Fleet that is changed and observed.
    seed : int
        Seed of the changes.

    Attributes
    ----------
    records : list of RevisionSeen
        Observed revisions.
    """

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(f"{seed}/operators")
        self.records = []
        self.stopped = threading.Event()
        self.threads = [
            threading.Thread(target=self._observe),
            *(threading.Thread(target=self._operate) for _ in range(2)),
        ]

    def start(self):
        """Start the threads."""
        for thread in self.threads:
            thread.start()

    def stop(self):
        """Stop the threads and wait for them."""
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def _observe(self):
        while not self.stopped.wait(SAMPLE_INTERVAL_S):
            for number in range(len(self.fleet.daemons)):
                seen = changes.read_revision(self.fleet, number)
                if seen is not None:
                    self.records.append(seen)

    def _operate(self):
        while not self.stopped.wait(OPERATOR_INTERVAL_S):
            number = self.random.randrange(len(self.fleet.daemons))
            weight = self.random.uniform(1.0, 2.0)
            account = self.random.choice(self.fleet.deployment.accounts)
            with contextlib.suppress(OSError, KeyError):
                path = f"/v1/accounts/{account}"
                resource = self.fleet.operate("GET", path, number=number, timeout_s=2.0)
                body = {
                    "spec": {**resource["spec"], "weight": weight},
                    "resourceVersion": resource["resourceVersion"],
                }
                self.fleet.operate("PUT", path, body, number, timeout_s=4.0)


def _inject(fleet, schedule):
    started_at = time.monotonic()
    ends = []
    for fault in schedule:
        _end_due_faults(ends, started_at + fault.at_s)
        click.echo(f"{fault.at_s:6.2f} s: {fault.kind} for {fault.lasts_s:.2f} s")
        end = FAULT_KINDS[fault.kind](fleet, fault.choice)
        ends.append((started_at + fault.at_s + fault.lasts_s, end))
    _end_due_faults(ends, float("inf"))


def _end_due_faults(ends, time_limit):
    """End the faults that are due before a time, then wait for that time."""
    for due, end in sorted(ends, key=lambda entry: entry[0]):
        if due <= time_limit:
            time.sleep(max(0.0, due - time.monotonic()))
            end()
            ends.remove((due, end))
    if time_limit != float("inf"):
        time.sleep(max(0.0, time_limit - time.monotonic()))


def _restore(fleet):
    """End all faults that may still be active."""
    fleet.change_platform(outage=False, silent=False, slow_s=0.0, lose_answers=0)
    fleet.heal()
    for service in fleet.deployment.services:
        for member in fleet.members(service):
            faults.restore_member(fleet, service, member["name"])


def _member_fault(kind, is_primary):
    def inject(fleet, choice):
        services = fleet.deployment.services
        service = services[choice % len(services)]
        members = [
            member["name"]
            for member in fleet.members(service)
            if (member["role"] == "primary") is is_primary
        ]
        if not members:
            return _no_operation
        name = members[choice // len(services) % len(members)]
        faults.fail_member(fleet, service, name, kind)
        return lambda: faults.restore_member(fleet, service, name)

    return inject


def _platform_fault(**values):
    def inject(fleet, choice):
        fleet.change_platform(**values)
        cleared = {name: type(value)() for name, value in values.items()}
        return lambda: fleet.change_platform(**cleared)

    return inject


def _isolate_data_centre(fleet, choice):
    data_centres = fleet.deployment.data_centres
    fleet.isolate_data_centre(data_centres[choice % len(data_centres)])
    return fleet.heal


def _stop_forwarding(fleet, choice):
    fleet.silence()
    return _no_operation


def _instance_signal(name):
    def inject(fleet, choice):
        number = choice % len(fleet.daemons)
        child = fleet.daemons[number]
        child.send_signal(signal.Signals[name])
        if name == "SIGSTOP":
            return lambda: child.send_signal(signal.SIGCONT)
        return lambda: _restart(fleet, number, child)

    return inject


def _restart(fleet, number, child):
    child.wait()
    if fleet.daemons[number] is child:
        fleet.start_daemon(number)


def _no_operation():
    """End a fault that needs no action to end."""


FAULT_KINDS = {
    "primary killed": _member_fault("killed", is_primary=True),
    "primary isolated": _member_fault("isolated", is_primary=True),
    "primary paused": _member_fault("paused", is_primary=True),
    "replica killed": _member_fault("killed", is_primary=False),
    "replica paused": _member_fault("paused", is_primary=False),
    "platform outage": _platform_fault(outage=True),
    "platform silent": _platform_fault(silent=True),
    "platform slow": _platform_fault(slow_s=1.0),
    "platform loses answers": _platform_fault(lose_answers=3),
    "data centre cut off": _isolate_data_centre,
    "connections silent": _stop_forwarding,
    "instance killed": _instance_signal("SIGKILL"),
    "instance paused": _instance_signal("SIGSTOP"),
    "instance stopped": _instance_signal("SIGTERM"),
}


def report(recorded):
    """Print outcomes and violations; returns the number of violations."""
    operations = recorded.operations()
    counts = {}
    for operation in operations:
        key = (
            f"{operation.action.value} {operation.outcome.value} {operation.reason}"
        ).strip()
        counts[key] = counts.get(key, 0) + 1
    for key in sorted(counts):
        click.echo(f"  {counts[key]:6d} {key}")
    violations_by_checker = checkers.check_all(recorded)
    for name, violations in violations_by_checker.items():
        click.echo(f"{name}: {len(violations)}")
        for violation in violations[:5]:
            click.echo(f"  {violation.text}")
    return sum(map(len, violations_by_checker.values()))


def find_deployment(name):
    """Return a deployment by its name."""
    return next(deployment for deployment in deployments.ALL if deployment.name == name)
