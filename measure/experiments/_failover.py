"""Write gap, lost and doubled writes over many failovers."""

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
CYCLE_S = 9.0
MIX = workload.Mix(
    write=0.5, transaction=0.05, echo=0.05, think_s=0.03, move_every=50, deadline_s=8.0
)


@attrs.frozen
class Failover:
    """One fault of a primary.

    Attributes
    ----------
    service, kind : str
        Where and what.
    started_at, ended_at : float
        When the fault was on.
    settled : bool
        Whether all members followed one primary afterwards.
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
        Time for the whole experiment, from which the count follows.
    kinds : tuple of str
        Kinds of faults.
    count : int, default=None
        Failovers of each kind over all deployments, in place of `seconds`.
    names : tuple of str
        Deployments.
    seed : int
        Seed of the callers' choices.

    Returns
    -------
    Figures
        Figures by deployment and kind.
    """
    chosen = [one for one in deployments.ALL if one.name in names]
    found = figures.Figures()
    for deployment in chosen:
        groups = len(deployment.services)
        rounds = max(1, round(seconds / (len(chosen) * len(kinds) * CYCLE_S)))
        if count is not None:
            rounds = -(-count // (len(chosen) * groups))
        found.merge(_run_deployment(deployment, kinds, rounds, seed))
    return found


def _run_deployment(deployment, kinds, rounds, seed):
    settings = fleets.FleetSettings(deployment)
    callers = workload.make_callers(deployment, CALLERS, MIX)
    recorded = history.History()
    failovers = []
    with fleets.run_fleet(settings) as fleet:
        for number in range(rounds):
            for kind in kinds:
                made, paths = _run_round(fleet, callers, kind, seed + number)
                recorded.records += history.load(paths).records
                failovers += made
                callers = _renumber(callers)
                click.echo(
                    f"{deployment.name} {number + 1}/{rounds} {kind}: "
                    + ", ".join(_describe(recorded, one) for one in made)
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
        made = list(pool.map(lambda service: _fail(fleet, service, kind), services))
    settled = [_settles(fleet, service) for service in services]
    made = [
        attrs.evolve(one, settled=found)
        for one, found in zip(made, settled, strict=True)
    ]
    return made, paths


def _fail(fleet, service, kind):
    primary = fleet.primary(service)
    started_at = time.monotonic()
    faults.fail_member(fleet, service, primary["name"], kind)
    time.sleep(FAULT_S)
    ended_at = time.monotonic()
    faults.restore_member(fleet, service, primary["name"])
    return Failover(service, kind, started_at, ended_at, settled=False)


def _settles(fleet, service):
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
        What callers were answered.
    failover : Failover
        The fault.

    Notes
    -----
    The gap is counted from the last answer before the fault. A service that
    never wrote again has a gap until the end of the fault.
    """
    actions = (history.Action.WRITE, history.Action.TRANSACTION)
    answered = sorted(
        one.answered_at
        for one in operations
        if one.service == failover.service
        and one.action in actions
        and one.outcome is history.Outcome.OK
        and failover.started_at - WARM_UP_S <= one.answered_at
        and one.answered_at <= failover.ended_at
    )
    points = [*answered, failover.ended_at]
    gaps = [
        after - before
        for before, after in zip(points, points[1:], strict=False)
        if after > failover.started_at
    ]
    return max(gaps, default=failover.ended_at - failover.started_at)


def _describe(recorded, failover):
    gap_s = write_gap_s(recorded.operations(), failover)
    suffix = "" if failover.settled else " (not settled)"
    return f"{failover.service} {gap_s:.2f} s{suffix}"


def _evaluate(deployment, recorded, failovers):
    found = figures.Figures()
    operations = recorded.operations()
    for kind in sorted({one.kind for one in failovers}):
        gaps = [write_gap_s(operations, one) for one in failovers if one.kind == kind]
        condition = f"{deployment.name} {kind} ({len(gaps)} failovers)"
        found.add("write_gap_s", condition, max(gaps))
        found.series.setdefault("write gap (s)", []).extend(
            (f"{deployment.name} {kind}", gap) for gap in gaps
        )
    condition = f"{deployment.name} ({len(failovers)} failovers)"
    checked = checkers.check_all(recorded)
    for key, check in (
        ("lost_acknowledged_writes", "lost_acknowledged_writes"),
        ("doubled_writes", "doubled_writes"),
        ("stale_session_reads", "read_your_writes"),
    ):
        found.add(key, condition, len(checked[check]))
    for name, violations in checked.items():
        for violation in violations[:3]:
            click.echo(f"{name}: {violation.text}")
    if any(checked.values()):
        path = history.store(recorded, f"{deployment.name}-failover")
        click.echo(f"history: {path}")
    return found
