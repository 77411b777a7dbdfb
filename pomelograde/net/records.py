"""Bounded records of recent events and decisions, for operators."""

import collections
import datetime
import itertools

import attrs

MAX_EVENTS = 2000
MAX_ACCOUNTS = 1000
MAX_DECISIONS = 50  # of one client account


@attrs.frozen
class EventEntry:
    """One logged event.

    Attributes
    ----------
    number : int
        Counts up from the start of the instance.
    time : str
        UTC, ISO 8601.
    event : int
        Number in the catalogue of events.
    name : str
        Name in the catalogue of events.
    fields : dict
        Particulars.
    """

    number: int
    time: str
    event: int
    name: str
    fields: dict


class EventBuffer:
    """The last events of this instance.

    Parameters
    ----------
    clock : callable
        Returns seconds since the epoch.

    Attributes
    ----------
    entries : deque of EventEntry
        Oldest first.
    listeners : list of callable
        Called with each new entry.
    """

    def __init__(self, clock):
        self.clock = clock
        self.entries = collections.deque(maxlen=MAX_EVENTS)
        self.numbers = itertools.count(1)
        self.listeners = []

    def add(self, event, fields):
        """Take a logged event."""
        time = format_time(self.clock())
        entry = EventEntry(next(self.numbers), time, event.value, event.name, fields)
        self.entries.append(entry)
        for listener in list(self.listeners):
            listener(entry)

    def after(self, number):
        """Return the entries after a number, or None where some are lost."""
        if number and self.entries and number < self.entries[0].number - 1:
            return None
        return [entry for entry in self.entries if entry.number > number]


@attrs.frozen
class Decision:
    """Why one request was refused, routed or delayed.

    Attributes
    ----------
    time : str
        UTC, ISO 8601.
    outcome : str
        "refused", "routed" or "delayed".
    reason : str
        Error kind, or what decided.
    service : str
        Database service.
    particulars : dict
        Such as the upstream, or the wait in milliseconds.
    """

    time: str
    outcome: str
    reason: str
    service: str
    particulars: dict


class DecisionBuffer:
    """Recent decisions on requests, by client account.

    Parameters
    ----------
    clock : callable
        Returns seconds since the epoch.
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
            Error kind, or what decided.
        service : str
            Database service.
        **particulars : str, int or float
            Anything else without secrets.
        """
        time = format_time(self.clock())
        found = _bounded(self.recent, account, _new_decisions)
        found.append(Decision(time, outcome, reason, service, particulars))
        self.count(account, outcome, reason)

    def count(self, account, outcome, reason):
        """Count a decision without recording it."""
        counts = _bounded(self.counts, account, collections.Counter)
        counts[outcome, reason] += 1

    def describe(self, account):
        """Return what is known of a client account as a JSON value."""
        recent = self.recent.get(account, ())
        return {
            "account": account,
            "counts": {
                f"{outcome}/{reason}": count
                for (outcome, reason), count in self.counts.get(account, {}).items()
            },
            "recent": [attrs.asdict(decision) for decision in reversed(recent)],
        }


def _new_decisions():
    return collections.deque(maxlen=MAX_DECISIONS)


def _bounded(table, account, make):
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
