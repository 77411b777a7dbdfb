"""What callers saw, and the checks of it."""

import collections
import enum

import attrs

ROLLED_BACK_S = 0.5  # before a crash; replicas lag by 0.02 s, and clocks are shared


class Outcome(enum.Enum):
    """How a write ended for its caller."""

    ACKNOWLEDGED = "acknowledged"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@attrs.frozen
class Write:
    """A statement that writes, or one of a transaction.

    Attributes
    ----------
    request_id : str
        Its id.
    item : str
        What it writes.
    value : int
        Grows with each write of the item.
    done_at : float
        When its outcome was known.
    outcome : Outcome
        How it ended.
    group : str
        Transaction that it is part of; empty for none.
    """

    request_id: str
    item: str
    value: int
    done_at: float
    outcome: Outcome
    group: str = ""


@attrs.frozen
class Read:
    """A read that was answered.

    Attributes
    ----------
    item : str
        What it reads.
    value : int
        What it found; 0 for nothing.
    floor : int
        Least value that it may find: the last one acknowledged before the read
        was sent, to this caller or, through the primary, to anybody.
    route : str
        Database that it was sent to.
    """

    item: str
    value: int
    floor: int
    route: str


@attrs.define
class History:
    """All that callers saw in one run.

    Attributes
    ----------
    writes : list of Write
        Writes with their outcomes.
    reads : list of Read
        Reads that were answered.
    crashes : list of float
        When a primary crashed.
    """

    writes: list = attrs.field(factory=list)
    reads: list = attrs.field(factory=list)
    crashes: list = attrs.field(factory=list)


@attrs.frozen
class Broken:
    """A promise that was broken."""

    promise: str
    detail: str


def check(history, log, promotions):
    """Check a history against what the primary holds at the end.

    Parameters
    ----------
    history : History
        What callers saw.
    log : list of tuple
        Item, data and request id of each write, in order.
    promotions : list of tuple
        Member, holder and fence of each promotion, in order.

    Returns
    -------
    list of Broken
        Broken promises.
    """
    kept = collections.Counter(request_id for _, _, request_id in log)
    return [
        *_check_doubled(kept),
        *_check_untrue(history, kept),
        *_check_lost(history, kept),
        *_check_split(history, kept),
        *_check_stale(history, kept),
        *_check_fences(promotions),
    ]


def _check_doubled(kept):
    for request_id, count in kept.items():
        if count > 1:
            yield Broken("written once", f"{request_id} is there {count} times")


def _check_untrue(history, kept):
    for write in history.writes:
        if write.outcome is Outcome.NOT_RUN and write.request_id in kept:
            yield Broken("not run means not kept", write.request_id)


def _may_be_rolled_back(write, crashes):
    return any(-ROLLED_BACK_S < at - write.done_at < ROLLED_BACK_S for at in crashes)


def _check_lost(history, kept):
    for write in history.writes:
        lost = write.outcome is Outcome.ACKNOWLEDGED and write.request_id not in kept
        if lost and not _may_be_rolled_back(write, history.crashes):
            yield Broken("acknowledged writes are kept", write.request_id)


def _check_split(history, kept):
    groups = collections.defaultdict(set)
    for write in history.writes:
        if write.group:
            groups[write.group].add(write.request_id in kept)
    for name, found in groups.items():
        if len(found) > 1:
            yield Broken("transactions are kept as a whole", name)


def _check_stale(history, kept):
    by_value = {(write.item, write.value): write for write in history.writes}
    for read in history.reads:
        floor = by_value.get((read.item, read.floor))
        if read.value >= read.floor or floor is None:
            continue
        if floor.request_id in kept:
            detail = f"{read.item} on {read.route}: {read.value} after {read.floor}"
            yield Broken("reads are not stale", detail)


def _check_fences(promotions):
    fences = [fence for _, _, fence in promotions]
    if fences != sorted(set(fences)):
        yield Broken("fences rise", str(fences))
