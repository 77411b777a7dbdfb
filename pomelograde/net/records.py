"""Bounded buffers of recent events and decisions, shown to operators."""

import collections
import datetime
import itertools

import attrs

MAX_EVENTS = 2000
MAX_ACCOUNTS = 1000
MAX_DECISIONS_PER_ACCOUNT = 50


@attrs.frozen
class EventEntry:
    """One logged event.

    Attributes
    ----------
    number : int
        Sequence number; starts at 1 when the instance starts.
    time : str
        Time in UTC, in ISO 8601 format.
    event : int
        Value of the `Event`.
    name : str
        Name of the `Event`.
    fields : dict
        Fields of the event.
    """

    number: int
    time: str
    event: int
    name: str
    fields: dict


class EventBuffer:
    """Buffer of the last `MAX_EVENTS` events of this instance.

    Parameters
    ----------
    clock : callable
        Returns seconds since the epoch.

    Attributes
    ----------
    entries : deque of EventEntry
        Events, oldest first.
    listeners : list of callable
        Called with each new entry.
    """

    def __init__(self, clock):
        self.clock = clock
        self.entries = collections.deque(maxlen=MAX_EVENTS)
        self.numbers = itertools.count(1)
        self.listeners = []

    def add(self, event, fields):
        """Add a logged event and notify the listeners."""
        time = format_time(self.clock())
        entry = EventEntry(next(self.numbers), time, event.value, event.name, fields)
        self.entries.append(entry)
        for listener in list(self.listeners):
            listener(entry)

    def after(self, number):
        """Return the entries after a number, or None if some were evicted."""
        if number and self.entries and number < self.entries[0].number - 1:
            return None
        return [entry for entry in self.entries if entry.number > number]


@attrs.frozen
class Decision:
    """Decision to refuse, route or delay a request, with the reason.

    Attributes
    ----------
    time : str
        Time in UTC, in ISO 8601 format.
    outcome : str
        "refused", "routed" or "delayed".
    reason : str
        Error kind or other reason.
    service : str
        Name of the database service.
    particulars : dict
        Further details, such as the upstream or the wait in milliseconds.
    """

    time: str
    outcome: str
    reason: str
    service: str
    particulars: dict


class DecisionBuffer:
    """Buffer of recent decisions on requests, by client account.

    Parameters
    ----------
    clock : callable
        Returns seconds since the epoch.

    Notes
    -----
    Holds `MAX_ACCOUNTS` client accounts. The one that was added first is
    evicted to make room for another.
    """

    def __init__(self, clock):
        self.clock = clock
        self.recent = collections.OrderedDict()
        self.counts = collections.OrderedDict()

    def record(self, account, outcome, reason, service="", **particulars):
        """Record a decision.

        Parameters
        ----------
        account : str
            Client account.
        outcome : str
            "refused", "routed" or "delayed".
        reason : str
            Error kind or other reason.
        service : str
            Name of the database service.
        **particulars : str, int or float
            Further details; must contain no secrets.
        """
        time = format_time(self.clock())
        decisions = _get_or_create(self.recent, account, _make_decision_queue)
        decisions.append(Decision(time, outcome, reason, service, particulars))
        self.count(account, outcome, reason)

    def count(self, account, outcome, reason):
        """Count a decision without storing its details."""
        counts = _get_or_create(self.counts, account, collections.Counter)
        counts[outcome, reason] += 1

    def describe(self, account):
        """Return counts and recent decisions of a client account as a JSON value."""
        recent = self.recent.get(account, ())
        return {
            "account": account,
            "counts": {
                f"{outcome}/{reason}": count
                for (outcome, reason), count in self.counts.get(account, {}).items()
            },
            "recent": [attrs.asdict(decision) for decision in reversed(recent)],
        }


def _make_decision_queue():
    return collections.deque(maxlen=MAX_DECISIONS_PER_ACCOUNT)


def _get_or_create(table, account, make):
    """Return the entry of an account, made if missing; evicts the oldest one."""
    found = table.get(account)
    if found is None:
        found = table[account] = make()
        if len(table) > MAX_ACCOUNTS:
            table.popitem(last=False)
    return found


def format_time(seconds):
    """Return seconds since the epoch as UTC in ISO 8601."""
    time = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return time.isoformat(timespec="milliseconds")
