"""Reads by replicas, fairness, limits and changes under load."""

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
USED_SHARE = 0.6
NOISY_FACTOR = 5.0
ON_TIME_S = 1.0
CALLERS_PER_ACCOUNT = 6
NOISY_CALLERS = 24
WARM_UP_S = 3.0
CHANGE_S = 6.0
RATE_REASONS = ("53400", "53000")


def run(seconds, names=("bollette", "alliance"), conditions=CONDITIONS, seed=1):
    """Measure both deployments under each condition.

    Parameters
    ----------
    seconds : float
        Time for the whole experiment, roughly.
    names, conditions : tuple of str
        What to run.
    seed : int
        Seed of the callers' choices.

    Returns
    -------
    Figures
        Figures by deployment and condition.
    """
    found = figures.Figures()
    each_s = max(WARM_UP_S + 2 * CHANGE_S, seconds / (len(names) * len(conditions)))
    for deployment in deployments.ALL:
        if deployment.name not in names:
            continue
        for condition in conditions:
            click.echo(f"{deployment.name}, {condition}: {each_s:.0f} s")
            found.merge(_run_one(deployment, condition, each_s, seed))
    return found


def _run_one(deployment, condition, seconds, seed):
    settings = fleets.FleetSettings(deployment, lag_s=LAG_S, rate_scale=RATE_SCALE)
    place = deployment.data_centres[-1] if condition == CONDITIONS[2] else ""
    with fleets.run_fleet(settings) as fleet:
        made = changes.OperatorChanges(fleet, place)
        with fleet.run_callers(_callers(fleet), seconds, seed) as paths:
            time.sleep(WARM_UP_S)
            _begin(fleet, condition, place, made)
            time.sleep(CHANGE_S)
            _end(fleet, condition)
        recorded = history.load(paths)
        recorded.records += fleet.limits() + made.records
        reads = _reads(fleet)
    return _evaluate(fleet, condition, place, recorded, reads, made)


def _begin(fleet, condition, place, made):
    """Make the changes, with the fault just after they are accepted."""
    if condition == CONDITIONS[2]:
        fleet.isolate_data_centre(place)
    made.apply()
    if condition == CONDITIONS[1]:
        fleet.change_platform(outage=True)
    made.observe(CHANGE_S)


def _end(fleet, condition):
    if condition == CONDITIONS[1]:
        fleet.change_platform(outage=False)
    if condition == CONDITIONS[2]:
        fleet.heal()


def _callers(fleet):
    """Return callers of each account at one instance, one account above its rate."""
    deployment = fleet.deployment
    found = []
    for index, limit in enumerate(fleet.limits()):
        noisy = limit.account == noisy_account(deployment)
        count = NOISY_CALLERS if noisy else CALLERS_PER_ACCOUNT
        factor = NOISY_FACTOR if noisy else USED_SHARE
        think_s = count / (limit.rate_per_s * factor)
        mix = workload.Mix(
            transaction=0.0, think_s=think_s, move_every=0, deadline_s=ON_TIME_S
        )
        for number in range(count):
            found.append(_caller(deployment, limit.account, index, number, mix))
    return found


def _caller(deployment, account, index, number, mix):
    return workload.Caller(
        name=f"{account}-{number}",
        account=account,
        service=deployment.services[number % len(deployment.services)],
        number=1 + index * 100 + number,
        home=index,
        mix=mix,
    )


def noisy_account(deployment):
    """Return the client account that sends several times its rate."""
    return deployment.accounts[3]


def _reads(fleet):
    """Return the reads that replicas and primaries served, over all instances."""
    counts = {"replica": 0.0, "primary": 0.0}
    for number in range(len(fleet.daemons)):
        with contextlib.suppress(OSError):
            counters = fleet.status(number)["metrics"]["counters"]
            for role, count in counters.get("pomelograde_reads_total", {}).items():
                counts[role] = counts.get(role, 0.0) + count
    return counts


def _evaluate(fleet, condition, place, recorded, reads, made):
    found = figures.Figures()
    name = f"{fleet.deployment.name}, {condition}"
    if condition == CONDITIONS[0]:
        served = sum(reads.values())
        found.add("replica_read_share", name, reads["replica"] / max(1.0, served))
    stale = checkers.CHECKS["read_your_writes"](recorded)
    found.add("stale_session_reads", name, len(stale))
    excess = max(
        _excess(recorded, limit) for limit in recorded.records_of(history.Limit)
    )
    found.add("excess_admitted", name, excess)
    judged = _judged(fleet, recorded, place, made)
    shares = _on_time_shares(judged)
    found.add("worst_account_on_time", name, min(shares.values()))
    found.series["on-time share by client account"] = [
        (f"{name}: {account}", share) for account, share in shares.items()
    ]
    refused = [one for one in judged if one.reason in RATE_REASONS]
    found.add("wrongful_refusals", name, len(refused) / max(1, len(judged)))
    found.add("withdrawn_key_s", name, made.withdrawn_key_s(recorded))
    found.add("in_force_s", name, made.in_force_s())
    found.add("leaving_member_s", name, made.leaving_member_s())
    _report(name, recorded, judged)
    return found


def _excess(recorded, limit):
    admitted = [
        one
        for one in recorded.operations()
        if one.account == limit.account and one.outcome is history.Outcome.OK
    ]
    return checkers.excess_admitted(admitted, limit)


def _judged(fleet, recorded, place, made):
    """Return the operations of accounts within their rate, away from a cut."""
    left_out = (noisy_account(fleet.deployment), made.withdrawn_account)
    return [
        one
        for one in recorded.operations()
        if one.account not in left_out
        and not (place and one.instance.startswith(place))
    ]


def _on_time_shares(judged):
    shares = {}
    for account in sorted({one.account for one in judged}):
        own = [one for one in judged if one.account == account]
        on_time = [one for one in own if _is_on_time(one)]
        shares[account] = len(on_time) / len(own)
    return shares


def _is_on_time(one):
    in_time = one.answered_at - one.invoked_at <= ON_TIME_S
    return in_time and one.outcome is history.Outcome.OK


def _report(name, recorded, judged):
    reasons = {}
    for one in judged:
        if one.outcome is not history.Outcome.OK:
            reasons[one.reason] = reasons.get(one.reason, 0) + 1
    click.echo(
        f"{name}: {len(recorded.operations())} operations, {len(judged)} judged, "
        f"not answered: {reasons}"
    )
    for violation in checkers.CHECKS["read_your_writes"](recorded)[:3]:
        click.echo(f"read_your_writes: {violation.text}")
