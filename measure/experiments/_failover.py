"""Write gaps, lost and duplicated writes and stale reads in failovers."""

import concurrent.futures
import contextlib
import time

import attrs
import click

from measure import checkers, faults, figures, fleets, history, workload
from pomelograde.standins import deployments

KEYS = (
    "write_gap_s",
    "lost_acknowledged_writes",
    "doubled_writes",
    "stale_session_reads",
)
KINDS = ("killed", "isolated", "paused")
CALLERS = 36
WARM_UP_S = 3.0
FAULT_S = 4.0
PAUSE_S = 1.0
ROUND_S = 9.0
MIX = workload.Mix(
    write=0.5, transaction=0.05, echo=0.05, think_s=0.03, move_every=50, deadline_s=8.0
)


@attrs.frozen
class Failover:
    """One fault of a primary.

    Attributes
    ----------
    service, kind : str
        Database and kind of the fault.
    started_at, ended_at : float
        Start and end of the fault.
    settled : bool
        Whether all members reached the position of one primary afterwards.
    """

    service: str
    kind: str
    started_at: float
    ended_at: float
    settled: bool


def run(seconds, kinds=KINDS, count=None, names=("bollette", "alliance"), seed=1):
    """Measure failovers of both deployments, one deployment after the other.

    Parameters
    ----------
    seconds : float
        Duration of the experiment, from which the number of failovers follows.
    kinds : tuple of str
        Kinds of faults.
    count : int, default=None
        Failovers of each kind over all deployments; overrides `seconds`.
    names : tuple of str
        Names of the deployments.
    seed : int
        Seed of the callers' choices.

    Returns
    -------
    Figures
        Figures by deployment and kind.
    """
    selected = [
        deployment for deployment in deployments.ALL if deployment.name in names
    ]
    measured = figures.Figures()
    for deployment in selected:
        groups = len(deployment.services)
        rounds = max(1, round(seconds / (len(selected) * len(kinds) * ROUND_S)))
        if count is not None:
            rounds = -(-count // (len(selected) * groups))
        measured.merge(_run_deployment(deployment, kinds, rounds, seed))
    return measured


def _run_deployment(deployment, kinds, rounds, seed):
    settings = fleets.FleetSettings(deployment)
    callers = workload.make_callers(deployment, CALLERS, MIX)
    recorded = history.History()
    failovers = []
    with fleets.run_fleet(settings) as fleet:
        for number in range(rounds):
            for kind in kinds:
                round_failovers, paths = _run_round(fleet, callers, kind, seed + number)
                recorded.records += history.load(paths).records
                failovers += round_failovers
                callers = _renumber(callers)
                click.echo(
                    f"{deployment.name} {number + 1}/{rounds} {kind}: "
                    + ", ".join(
                        _describe(recorded, failover) for failover in round_failovers
                    )
                )
        recorded.records += fleet.settled_rows()
    return _evaluate(deployment, recorded, failovers)


def _run_round(fleet, callers, kind, seed):
    seconds = WARM_UP_S + FAULT_S + PAUSE_S
    services = fleet.deployment.services
    with (
        fleet.run_callers(callers, seconds, seed) as paths,
        concurrent.futures.ThreadPoolExecutor(len(services)) as pool,
    ):
        time.sleep(WARM_UP_S)
        failovers = list(
            pool.map(lambda service: _fail_primary(fleet, service, kind), services)
        )
    settled = [_is_settled(fleet, service) for service in services]
    failovers = [
        attrs.evolve(failover, settled=is_settled)
        for failover, is_settled in zip(failovers, settled, strict=True)
    ]
    return failovers, paths


def _fail_primary(fleet, service, kind):
    primary = fleet.primary(service)
    started_at = time.monotonic()
    faults.fail_member(fleet, service, primary["name"], kind)
    time.sleep(FAULT_S)
    ended_at = time.monotonic()
    faults.restore_member(fleet, service, primary["name"])
    return Failover(service, kind, started_at, ended_at, settled=False)


def _is_settled(fleet, service):
    with contextlib.suppress(TimeoutError):
        fleet.wait_for_replication(service)
        return True
    return False


def _renumber(callers):
    last = max(caller.number for caller in callers)
    return [
        attrs.evolve(
            caller,
            number=last + offset,
            name=f"{caller.name.rpartition('-')[0]}-{last + offset}",
        )
        for offset, caller in enumerate(callers, start=1)
    ]


def write_gap_s(operations, failover):
    """Return the longest time without an acknowledged write around a fault.

    Parameters
    ----------
    operations : list of Operation
        Operations of all callers.
    failover : Failover
        Fault and database.

    Notes
    -----
    The gap starts at the last acknowledged write before the fault. If no write is
    acknowledged during the fault, it lasts until the end of the fault.
    """
    actions = (history.Action.WRITE, history.Action.TRANSACTION)
    answered = sorted(
        operation.answered_at
        for operation in operations
        if operation.service == failover.service
        and operation.action in actions
        and operation.outcome is history.Outcome.OK
        and failover.started_at - WARM_UP_S <= operation.answered_at
        and operation.answered_at <= failover.ended_at
    )
    times = [*answered, failover.ended_at]
    gaps = [
        after - before
        for before, after in zip(times, times[1:], strict=False)
        if after > failover.started_at
    ]
    return max(gaps, default=failover.ended_at - failover.started_at)


def _describe(recorded, failover):
    gap_s = write_gap_s(recorded.operations(), failover)
    suffix = "" if failover.settled else " (not settled)"
    return f"{failover.service} {gap_s:.2f} s{suffix}"


def _evaluate(deployment, recorded, failovers):
    measured = figures.Figures()
    operations = recorded.operations()
    for kind in sorted({failover.kind for failover in failovers}):
        gaps = [
            write_gap_s(operations, failover)
            for failover in failovers
            if failover.kind == kind
        ]
        condition = f"{deployment.name} {kind} ({len(gaps)} failovers)"
        measured.add("write_gap_s", condition, max(gaps))
        measured.series.setdefault("write gap (s)", []).extend(
            (f"{deployment.name} {kind}", gap) for gap in gaps
        )
    condition = f"{deployment.name} ({len(failovers)} failovers)"
    violations_by_checker = checkers.check_all(recorded)
    for key, check in (
        ("lost_acknowledged_writes", "lost_acknowledged_writes"),
        ("doubled_writes", "doubled_writes"),
        ("stale_session_reads", "read_your_writes"),
    ):
        measured.add(key, condition, len(violations_by_checker[check]))
    for name, violations in violations_by_checker.items():
        for violation in violations[:3]:
            click.echo(f"{name}: {violation.text}")
    if any(violations_by_checker.values()):
        path = history.store(recorded, f"{deployment.name}-failover")
        click.echo(f"history: {path}")
    return measured
