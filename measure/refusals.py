"""Causes of refused and failed statements, from the logs of a whole fleet."""

import collections
import json
import math

import attrs

from pomelograde.core import retries

RATE_WINDOW_S = 1.0  # over which admitted operations are compared with the rate
RATE_TOLERANCE = 0.9  # of the rate; an account that got less was refused too early
NEIGHBOURHOOD_S = 1.0  # in which the loss of an owner explains a lost connection

_KIND = retries.ErrorKind
_NOT_ALLOWED = {
    _KIND.KEY_WITHDRAWN.value,
    _KIND.UNKNOWN_DATABASE.value,
    _KIND.INVALID_TRANSACTION_STATE.value,
    _KIND.TRANSACTION_ABORTED.value,
    _KIND.UNKNOWN_STATEMENT.value,
}


@attrs.frozen
class Line:
    """One log line.

    Attributes
    ----------
    at : float
        Seconds; of the tool that recorded the line if it has put them in front,
        otherwise the line's own time of day.
    instance : str
        Instance that wrote it.
    name : str
        Name of the event.
    fields : dict
        All fields of the line.
    """

    at: float
    instance: str
    name: str
    fields: dict


@attrs.frozen
class Refusal:
    """A statement that was not served.

    Attributes
    ----------
    line : Line
        The line that records its end.
    cause : str
        Why it was not served.
    """

    line: Line
    cause: str


def read_lines(stream):
    """Return the log lines of a text stream, ordered by time; skips other text."""
    found = []
    for text in stream:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
        except ValueError:
            continue
        if not isinstance(fields, dict) or "name" not in fields:
            continue
        prefix = text[:start].split()
        at = _parse_seconds(prefix[0] if prefix else "", fields.get("time", 0.0))
        found.append(Line(at, fields.get("instance", ""), fields["name"], fields))
    return sorted(found, key=lambda line: line.at)


def find_refusals(lines):
    """Return a Refusal for each statement that was refused or failed.

    Parameters
    ----------
    lines : list of Line
        Lines of all instances, ordered by time.
    """
    history = _History()
    refusals = []
    for line in lines:
        if line.name == "STATEMENT_DONE" and line.fields["outcome"] != "ok":
            refusals.append(Refusal(line, history.find_cause(line)))
        history.add(line)
    return refusals


def tabulate(refusals, served_count):
    """Return rows of cause, statements, their share, and median and most ms."""
    by_cause = collections.defaultdict(list)
    for refusal in refusals:
        by_cause[refusal.cause].append(refusal.line.fields["ms"])
    total = served_count + len(refusals)
    rows = []
    for cause, times in sorted(by_cause.items(), key=lambda item: -len(item[1])):
        times.sort()
        middle = times[len(times) // 2]
        rows.append((cause, len(times), len(times) / total, middle, times[-1]))
    return rows


def tabulate_seconds(lines, refusals):
    """Return rows of second, statements served, and a count of refusals by cause.

    Parameters
    ----------
    lines : list of Line
        Lines of the statements to count.
    refusals : list of Refusal
        Those of them that were not served.

    Returns
    -------
    list of (int, int, collections.Counter)
        One row for each second with statements, in order.
    """
    served = collections.Counter()
    for line in lines:
        served[math.floor(line.at)] += count_served([line])
    causes = collections.defaultdict(collections.Counter)
    for refusal in refusals:
        causes[math.floor(refusal.line.at)][refusal.cause] += 1
    seconds = sorted({second for second in served if served[second]} | set(causes))
    return [(second, served[second], causes[second]) for second in seconds]


def select_account(lines, account):
    """Return the lines that name an account, and those that name none."""
    return [line for line in lines if line.fields.get("account", account) == account]


def count_served(lines):
    """Return how many statements that involved a member were answered with success."""
    return sum(
        line.name == "STATEMENT_DONE" and line.fields["outcome"] == "ok"
        for line in lines
    )


def follow(lines, request_id):
    """Return the lines that name a request's id, on any instance."""
    return [line for line in lines if line.fields.get("id") == request_id]


class _History:
    """What the lines so far say of each instance, account and statement."""

    def __init__(self):
        self.blocked = collections.defaultdict(set)
        self.without_primary = collections.defaultdict(set)
        self.owner_lost_at = {}
        self.retries = collections.defaultdict(set)
        self.admitted = collections.defaultdict(collections.deque)

    def add(self, line):
        """Record one line."""
        handler = _RECORDERS.get(line.name)
        if handler is not None:
            handler(self, line)

    def find_cause(self, line):
        """Return why a statement was not served."""
        outcome = line.fields["outcome"]
        if outcome in _NOT_ALLOWED:
            return f"not allowed: {outcome}"
        finder = _FINDERS.get(outcome)
        return outcome if finder is None else finder(self, line)

    def _on_blocked(self, line):
        services = self.blocked[line.instance]
        if line.fields["held"]:
            services.add(line.fields["service"])
        else:
            services.discard(line.fields["service"])

    def _on_primary(self, line):
        services = self.without_primary[line.instance]
        service = line.fields.get("service", "")
        if line.fields.get("primary"):
            services.discard(service)
        else:
            services.add(service)

    def _on_started(self, line):
        for known in (self.blocked, self.without_primary):
            known.pop(line.instance, None)

    def _on_done(self, line):
        """Count an admitted operation; a transaction counts once, by its commit."""
        fields = line.fields
        is_operation = (
            not fields.get("in_transaction") or fields["operation"] == "commit"
        )
        if is_operation and (fields["outcome"] == "ok" or fields.get("attempts")):
            self.admitted[fields["account"]].append(line.at)

    def _find_rate_cause(self, line):
        rate_per_s = line.fields.get("rate_per_s", 0.0)
        if not rate_per_s:
            return "rate: held by another instance"
        admitted = self.admitted[line.fields["account"]]
        while admitted and admitted[0] < line.at - RATE_WINDOW_S:
            admitted.popleft()
        if len(admitted) >= RATE_TOLERANCE * rate_per_s * RATE_WINDOW_S:
            return "rate: the account is above it"
        return "rate: no token, although the account got less than its rate"

    def _find_primary_cause(self, line):
        if self.blocked[line.instance]:
            return "primary: blocked by a takeover"
        if self.without_primary[line.instance]:
            return "primary: none registered"
        return self._find_connection_cause(line, "primary: its lease ended")

    def _find_replica_cause(self, line):
        return self._find_connection_cause(line, "replicas: behind")

    def _find_connection_cause(self, line, otherwise):
        reasons = self.retries[line.fields["id"]]
        if "unreachable" in reasons:
            return "member: no connection"
        if "lost" in reasons:
            return self._find_loss_cause(line)
        return otherwise

    def _find_loss_cause(self, line):
        lost_at = self.owner_lost_at.get(line.instance, float("-inf"))
        if line.at - lost_at <= NEIGHBOURHOOD_S:
            return "owner: lost"
        if self.blocked[line.instance]:
            return "primary: fenced by a takeover"
        return "member: connection lost"

    def _find_deadline_cause(self, line):
        if self._find_loss_cause(line) == "owner: lost":
            return "owner: lost"
        return "member: no answer in time"


def _parse_seconds(text, otherwise):
    try:
        return float(text)
    except ValueError:
        return otherwise


_RECORDERS = {
    "PRIMARY_HELD": _History._on_blocked,
    "PRIMARY_CHANGED": _History._on_primary,
    "DAEMON_STARTED": _History._on_started,
    "STATEMENT_DONE": _History._on_done,
    "STATEMENT_RETRIED": lambda history, line: history.retries[line.fields["id"]].add(
        line.fields["reason"]
    ),
    "KEEPER_SUSPECTED": lambda history, line: history.owner_lost_at.update(
        {line.instance: line.at}
    ),
}

_FINDERS = {
    _KIND.RATE_EXCEEDED.value: _History._find_rate_cause,
    _KIND.NO_RATE_SHARE.value: lambda history, line: "rate: its holders are away",
    _KIND.NO_PRIMARY.value: _History._find_primary_cause,
    _KIND.SESSION_BEHIND.value: _History._find_replica_cause,
    _KIND.QUEUE_FULL.value: lambda history, line: "member: no connection free",
    _KIND.DEADLINE_BEFORE_RUN.value: lambda history, line: "member: no connection free",
    _KIND.DEADLINE_AFTER_SEND.value: _History._find_deadline_cause,
    _KIND.TRANSACTION_EXPIRED.value: _History._find_deadline_cause,
    _KIND.UPSTREAM_LOST.value: _History._find_loss_cause,
    _KIND.TRANSACTION_LOST.value: _History._find_loss_cause,
    _KIND.ACKNOWLEDGEMENT_LOST.value: _History._find_loss_cause,
    _KIND.CONFIGURATION_STALE.value: lambda history, line: "state: too old",
    _KIND.DRAINING.value: lambda history, line: "instance: stops",
}
