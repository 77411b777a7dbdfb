"""Checks of what clients and members saw around stops."""

import collections
import signal

import attrs

from soak import clients, history

# Connections that end sooner after the last byte may not have been read.
LOSS_SLACK_S = 0.2
# Time until a configuration is in force, also for keys that were withdrawn.
IN_FORCE_S = history.REVOCATION_S


def check(requests, trace, configurations, endings, delays=()):
    """Return the guarantees that did not hold.

    Parameters
    ----------
    requests : list of Request
        What clients sent and received.
    trace : dict of str to list of dict
        Statements that arrived at each member, as `Fleet.show_trace` returns them.
    configurations : list of Configuration
        Configurations in the order in which they were written.
    endings : list of Ending
        Ends of the processes.
    delays : list of tuple
        Start and end of each time in which a process waited for a processor, after
        the number of the instance; None for the clients.
    """
    executions = [
        {**found, "member": member}
        for member, arrived in trace.items()
        for found in arrived
    ]
    runs = [found for found in executions if found["ran_at"] is not None]
    by_id = {found.request_id: found for found in requests if found.request_id}
    arrived = {found["request_id"] for found in executions}
    return [
        *_check_answers(requests, arrived, endings, delays),
        *_check_endings(endings),
        *_check_statements(runs, by_id),
        *_check_accounts(runs, by_id, configurations),
        *_check_transactions(runs, by_id),
    ]


def _check_answers(requests, arrived, endings, delays):
    """Yield requests without a whole answer, except at processes that were killed."""
    for request in requests:
        kills = _find_kills(request, endings)
        if request.end == clients.SILENT:
            waited_s = request.ended_at - request.sent_at
            detail = f"nothing in {waited_s:.1f} s: {describe(request, endings)}"
            yield history.Violation("requests end in time", detail)
        if request.end != clients.CLOSED or "SIGKILL" in kills.values():
            continue
        ended_at = min([request.ended_at, *kills])
        late_s = max(
            _sum_delays(delays, number, request.sent_at, ended_at)
            for number in (None, request.instance)
        )
        waited_s = ended_at - request.sent_at - late_s
        has_arrived = request.request_id in arrived
        if has_arrived or waited_s > LOSS_SLACK_S:
            place = "at a member" if has_arrived else "not at a member"
            detail = (
                f"closed after {waited_s:.3f} s, {place}: {describe(request, endings)}"
            )
            yield history.Violation("requests are answered", detail)


def _sum_delays(delays, number, start_at, end_at):
    """Return for how long an instance, or the clients, waited in a time."""
    return sum(
        max(0.0, min(end, end_at) - max(start, start_at))
        for delayed, start, end in delays
        if delayed == number
    )


def _find_kills(request, endings):
    """Return the kills of the process that a request was sent to, by their time."""
    return {
        at: name
        for ending in endings
        for at, name in ending.signals
        if ending.instance == request.instance
        and name.startswith("SIGKILL")
        and request.connected_at <= at <= request.ended_at
    }


def describe(request, endings):
    """Return a request and the last signal to its instance as text."""
    signals = [
        (at, name)
        for ending in endings
        if ending.instance == request.instance
        for at, name in ending.signals
        if at <= request.ended_at
    ]
    after = ""
    if signals:
        at, name = max(signals)
        after = f", sent {request.sent_at - at:.3f} s after {name}"
    return (
        f"{request.request_id} {request.text!r} on {request.database} at instance "
        f"{request.instance}, in a transaction: {request.in_transaction}{after}"
    )


def _check_endings(endings):
    """Yield processes that ended otherwise than they were asked to.

    One that runs until the end of the grace period is killed by the platform. The
    interpreter handles no signals before the start, and after the end of the work.
    """
    for ending in endings:
        names = [name for _, name in ending.signals if name != "SIGHUP"]
        expected = {0} if "SIGTERM" in names else set()
        is_repeated = names.count("SIGTERM") > 1
        if "SIGTERM" in names and not ending.has_started:
            expected.add(-signal.SIGTERM)
        if is_repeated and ending.has_stopped:
            expected.add(-signal.SIGTERM)
        if any(name.startswith("SIGKILL") for name in names):
            expected.add(-signal.SIGKILL)
        if not names or ending.code not in expected:
            detail = f"instance {ending.instance}: {ending.code} after {names}"
            yield history.Violation("processes end as asked", detail)


def _check_statements(runs, by_id):
    """Yield statements that ran although no client had sent them."""
    for run in runs:
        request = by_id.get(run["request_id"])
        if run["request_id"] == "-":
            if run["written"]:
                detail = f"COMMIT of {run['written']} writes at {run['member']}"
                yield history.Violation("statements are a client's", detail)
        elif request is None:
            if run["request_id"].startswith("check"):
                continue
            yield history.Violation("statements are a client's", str(run))
        elif run["text"] != request.text:
            detail = f"{request.request_id}: {run['text']!r} for {request.text!r}"
            yield history.Violation("statements are a client's", detail)


def _check_accounts(runs, by_id, configurations):
    """Yield statements that ran for an account without the key, or for no database."""
    for run in runs:
        request = by_id.get(run["request_id"])
        if request is None:
            continue
        in_force = [
            found
            for found in configurations
            if found.put_at <= run["ran_at"]
            and found.replaced_at + IN_FORCE_S >= request.sent_at
        ]
        accounts = {found.accounts.get(request.key) for found in in_force}
        if run["account"] not in accounts:
            detail = (
                f"{request.request_id} ran for {run['account']}; "
                f"{request.key} is of {accounts}"
            )
            yield history.Violation("statements run for the key's account", detail)
        if not any(request.database in found.databases for found in in_force):
            detail = f"{request.request_id} ran, {request.database} had been removed"
            yield history.Violation("removed databases get nothing", detail)


def _check_transactions(runs, by_id):
    """Yield statements that ran in another transaction, or with other settings.

    The first statement of a transaction may be repeated on another connection,
    where the transaction then begins. Of the runs of a statement, the last counts.
    """
    places = collections.defaultdict(dict)
    operations = collections.defaultdict(set)
    for run in sorted(runs, key=lambda found: found["ran_at"]):
        request = by_id.get(run["request_id"])
        if request is None:
            continue
        if request.settings != run["settings"]:
            detail = f"{request.request_id}: {run['settings']} for {request.settings}"
            yield history.Violation("sessions keep their settings", detail)
        if request.in_transaction != bool(run["transaction"]):
            detail = f"{request.request_id}: transaction {run['transaction']}"
            yield history.Violation("statements stay in their transaction", detail)
        if run["transaction"]:
            place = (run["member"], run["connection"], run["transaction"])
            places[request.operation][request.request_id] = place
            operations[place].add(request.operation)
    used = {name: set(found.values()) for name, found in places.items()}
    for name, found in (*used.items(), *operations.items()):
        if len(found) > 1:
            detail = f"{name}: {sorted(found)}"
            yield history.Violation("statements stay in their transaction", detail)


def dump(requests, trace, configurations, endings):
    """Return what clients, members and the operator saw, for a log of the run."""
    seen = {"requests": requests, "endings": endings, "configurations": configurations}
    return {
        "trace": trace,
        **{
            name: [attrs.asdict(each) for each in found] for name, found in seen.items()
        },
    }
