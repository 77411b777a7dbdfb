"""Replica reads, fairness, rate limits and operators' changes under load."""

import contextlib
import time

import click

from measure import changes, checkers, figures, fleets, history, workload
from pomelograde.standins import deployments

KEYS = (
    "replica_read_share",
    "stale_session_reads",
    "worst_account_on_time",
    "wrongful_refusals",
    "excess_admitted",
    "withdrawn_key_s",
    "in_force_s",
    "leaving_member_s",
)
CONDITIONS = ("usual", "platform outage", "data centre cut off")
LAG_S = 0.1
RATE_SCALE = 0.1
USUAL_RATE_SHARE = 0.6
NOISY_RATE_FACTOR = 5.0
ON_TIME_S = 1.0
CALLERS_PER_ACCOUNT = 6
NOISY_CALLERS = 24
WARM_UP_S = 3.0
OBSERVATION_S = 6.0
RATE_LIMIT_SQLSTATES = ("53400", "53000")


def run(seconds, names=("bollette", "alliance"), conditions=CONDITIONS, seed=1):
    """Measure both deployments under each condition.

    Parameters
    ----------
    seconds : float
        Approximate duration of the experiment.
    names, conditions : tuple of str
        Names of the deployments, and conditions to run them under.
    seed : int
        Seed of the callers' choices.

    Returns
    -------
    Figures
        Figures by deployment and condition.
    """
    measured = figures.Figures()
    run_s = max(WARM_UP_S + 2 * OBSERVATION_S, seconds / (len(names) * len(conditions)))
    for deployment in deployments.ALL:
        if deployment.name not in names:
            continue
        for condition in conditions:
            click.echo(f"{deployment.name}, {condition}: {run_s:.0f} s")
            measured.merge(_run_condition(deployment, condition, run_s, seed))
    return measured


def _run_condition(deployment, condition, seconds, seed):
    settings = fleets.FleetSettings(deployment, lag_s=LAG_S, rate_scale=RATE_SCALE)
    isolated = deployment.data_centres[-1] if condition == CONDITIONS[2] else ""
    with fleets.run_fleet(settings) as fleet:
        operator_changes = changes.OperatorChanges(fleet, isolated)
        with fleet.run_callers(_make_callers(fleet), seconds, seed) as paths:
            time.sleep(WARM_UP_S)
            _start_condition(fleet, condition, isolated, operator_changes)
            time.sleep(OBSERVATION_S)
            _end_condition(fleet, condition)
        recorded = history.load(paths)
        recorded.records += fleet.limits() + operator_changes.records
        reads = _count_reads(fleet)
    return _evaluate(fleet, condition, isolated, recorded, reads, operator_changes)


def _start_condition(fleet, condition, isolated, operator_changes):
    """Inject the fault of the condition, make the changes and observe them.

    A data centre is cut off before the changes; a platform outage starts right
    after they are accepted.
    """
    if condition == CONDITIONS[2]:
        fleet.isolate_data_centre(isolated)
    operator_changes.apply()
    if condition == CONDITIONS[1]:
        fleet.change_platform(outage=True)
    operator_changes.observe(OBSERVATION_S)


def _end_condition(fleet, condition):
    if condition == CONDITIONS[1]:
        fleet.change_platform(outage=False)
    if condition == CONDITIONS[2]:
        fleet.heal()


def _make_callers(fleet):
    """Return callers, those of each account at one instance.

    One account sends more than its rate; the others stay below theirs.
    """
    deployment = fleet.deployment
    callers = []
    for index, limit in enumerate(fleet.limits()):
        noisy = limit.account == noisy_account(deployment)
        count = NOISY_CALLERS if noisy else CALLERS_PER_ACCOUNT
        factor = NOISY_RATE_FACTOR if noisy else USUAL_RATE_SHARE
        think_s = count / (limit.rate_per_s * factor)
        mix = workload.Mix(
            transaction=0.0, think_s=think_s, move_every=0, deadline_s=ON_TIME_S
        )
        for number in range(count):
            callers.append(_make_caller(deployment, limit.account, index, number, mix))
    return callers


def _make_caller(deployment, account, index, number, mix):
    return workload.Caller(
        name=f"{account}-{number}",
        account=account,
        service=deployment.services[number % len(deployment.services)],
        number=1 + index * 100 + number,
        home=index,
        mix=mix,
    )


def noisy_account(deployment):
    """Return the client account that exceeds its rate."""
    return deployment.accounts[3]


def _count_reads(fleet):
    """Return the reads that replicas and primaries served, for all instances."""
    counts = {"replica": 0.0, "primary": 0.0}
    for number in range(len(fleet.daemons)):
        with contextlib.suppress(OSError):
            counters = fleet.status(number)["metrics"]["counters"]
            for role, count in counters.get("pomelograde_reads_total", {}).items():
                counts[role] = counts.get(role, 0.0) + count
    return counts


def _evaluate(fleet, condition, isolated, recorded, reads, operator_changes):
    measured = figures.Figures()
    name = f"{fleet.deployment.name}, {condition}"
    if condition == CONDITIONS[0]:
        served = sum(reads.values())
        measured.add("replica_read_share", name, reads["replica"] / max(1.0, served))
    stale = checkers.CHECKS["read_your_writes"](recorded)
    measured.add("stale_session_reads", name, len(stale))
    excess = max(
        _excess(recorded, limit) for limit in recorded.records_of(history.Limit)
    )
    measured.add("excess_admitted", name, excess)
    evaluated = _select_evaluated(fleet, recorded, isolated, operator_changes)
    shares = _on_time_shares(evaluated)
    measured.add("worst_account_on_time", name, min(shares.values()))
    measured.series["on-time share by client account"] = [
        (f"{name}: {account}", share) for account, share in shares.items()
    ]
    refused = [
        operation for operation in evaluated if operation.reason in RATE_LIMIT_SQLSTATES
    ]
    measured.add("wrongful_refusals", name, len(refused) / max(1, len(evaluated)))
    measured.add("withdrawn_key_s", name, operator_changes.withdrawn_key_s(recorded))
    measured.add("in_force_s", name, operator_changes.in_force_s())
    measured.add("leaving_member_s", name, operator_changes.leaving_member_s())
    _report(name, recorded, evaluated)
    return measured


def _excess(recorded, limit):
    admitted = [
        operation
        for operation in recorded.operations()
        if operation.account == limit.account
        and operation.outcome is history.Outcome.OK
    ]
    return checkers.excess_admitted(admitted, limit)


def _select_evaluated(fleet, recorded, isolated, operator_changes):
    """Return the operations of accounts within their rate at connected instances."""
    excluded_accounts = (
        noisy_account(fleet.deployment),
        operator_changes.withdrawn_account,
    )
    return [
        operation
        for operation in recorded.operations()
        if operation.account not in excluded_accounts
        and not (isolated and operation.instance.startswith(isolated))
    ]


def _on_time_shares(evaluated):
    shares = {}
    for account in sorted({operation.account for operation in evaluated}):
        operations = [
            operation for operation in evaluated if operation.account == account
        ]
        on_time = [operation for operation in operations if _is_on_time(operation)]
        shares[account] = len(on_time) / len(operations)
    return shares


def _is_on_time(operation):
    before_deadline = operation.answered_at - operation.invoked_at <= ON_TIME_S
    return before_deadline and operation.outcome is history.Outcome.OK


def _report(name, recorded, evaluated):
    reasons = {}
    for operation in evaluated:
        if operation.outcome is not history.Outcome.OK:
            reasons[operation.reason] = reasons.get(operation.reason, 0) + 1
    click.echo(
        f"{name}: {len(recorded.operations())} operations, {len(evaluated)} evaluated, "
        f"failed: {reasons}"
    )
    for violation in checkers.CHECKS["read_your_writes"](recorded)[:3]:
        click.echo(f"read_your_writes: {violation.text}")
