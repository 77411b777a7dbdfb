"""Operations as callers saw them, and the consistency checks on them."""

import collections
import enum

import attrs

# Writes acknowledged within this time of a primary's crash may be lost, since
# replication is asynchronous. Replicas lag by 0.02 s unless a fault delays them,
# and all processes share one clock.
CRASH_LOSS_WINDOW_S = 0.5
REVOCATION_S = 5.0  # `revokeMs` of the instances' settings
EVACUATION_S = 5.0  # the same for `evacuateMs`
# An instance that a fault has paused may still send what it had begun.
LONGEST_PAUSE_S = 4.0


class Outcome(enum.Enum):
    """Outcome of a write as its caller knows it."""

    ACKNOWLEDGED = "acknowledged"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@attrs.frozen
class Write:
    """A write, alone or within a transaction.

    Attributes
    ----------
    request_id : str
        Request id of the statement.
    item : str
        Item that was written.
    value : int
        Value that was written; increases with each write of the item.
    done_at : float
        Monotonic time at which the outcome was known.
    outcome : Outcome
        Outcome of the statement, or of its transaction.
    transaction : str
        Name of the transaction; empty for a write of its own.
    """

    request_id: str
    item: str
    value: int
    done_at: float
    outcome: Outcome
    transaction: str = ""


@attrs.frozen
class Read:
    """A read that was answered.

    Attributes
    ----------
    item : str
        Item that was read.
    value : int
        Value that was found; 0 where the item does not exist.
    floor : int
        Least value that the route guarantees: the last one acknowledged before
        the read was sent, to any caller on the primary's route, to this
        connection on the read-your-writes route, and 0 on the others.
    route : str
        Database name of the connection, which selects the route.
    """

    item: str
    value: int
    floor: int
    route: str


@attrs.frozen
class KeyUse:
    """A statement that was served to a key.

    Attributes
    ----------
    key : str
        The key.
    sent_at : float
        Monotonic time at which the session was opened.
    withdrawn_at : float
        Monotonic time at which the withdrawal of the key was acknowledged.
    """

    key: str
    sent_at: float
    withdrawn_at: float


@attrs.frozen
class EvacuatedUse:
    """The last statement at the member of an evacuated data centre.

    Attributes
    ----------
    data_centre : str
        The data centre.
    last_at : float
        Monotonic time at which the last statement arrived.
    evacuated_at : float
        Monotonic time at which the evacuation was acknowledged.
    """

    data_centre: str
    last_at: float
    evacuated_at: float


@attrs.define
class History:
    """Operations of all callers in one run.

    Attributes
    ----------
    writes : list of Write
        Writes with their outcomes.
    reads : list of Read
        Reads that were answered.
    crashes : list of float
        Monotonic times at which a primary crashed.
    key_uses : list of KeyUse
        Statements that were served to withdrawn keys.
    evacuated_uses : list of EvacuatedUse
        Last use of each data centre that was evacuated.
    pauses : list of float
        Monotonic times at which an instance was resumed.
    """

    writes: list = attrs.field(factory=list)
    reads: list = attrs.field(factory=list)
    crashes: list = attrs.field(factory=list)
    key_uses: list = attrs.field(factory=list)
    evacuated_uses: list = attrs.field(factory=list)
    pauses: list = attrs.field(factory=list)


@attrs.frozen
class Violation:
    """A guarantee that did not hold, with the operation that shows it."""

    guarantee: str
    detail: str


def check(history, log, promotions):
    """Check a history against the primary's log at the end of the run.

    Parameters
    ----------
    history : History
        Operations of the callers.
    log : list of tuple
        Item, data and request id of each write in the primary's log, in order.
    promotions : list of tuple
        Member, holder and fencing token of each promotion, in order.

    Returns
    -------
    list of Violation
        Guarantees that did not hold.
    """
    applied = collections.Counter(request_id for _, _, request_id in log)
    return [
        *_check_duplicates(applied),
        *_check_not_run(history, applied),
        *_check_durability(history, applied),
        *_check_atomicity(history, applied),
        *_check_staleness(history, applied),
        *_check_fences(promotions),
        *_check_keys(history),
        *_check_evacuations(history),
    ]


def _check_duplicates(applied):
    for request_id, count in applied.items():
        if count > 1:
            yield Violation(
                "writes are applied once", f"{request_id} applied {count} times"
            )


def _check_not_run(history, applied):
    for write in history.writes:
        if write.outcome is Outcome.NOT_RUN and write.request_id in applied:
            yield Violation(
                "writes reported as not run are not applied", write.request_id
            )


def _may_be_lost_in_crash(write, crashes):
    return any(
        -CRASH_LOSS_WINDOW_S < at - write.done_at < CRASH_LOSS_WINDOW_S
        for at in crashes
    )


def _check_durability(history, applied):
    for write in history.writes:
        lost = write.outcome is Outcome.ACKNOWLEDGED and write.request_id not in applied
        if lost and not _may_be_lost_in_crash(write, history.crashes):
            yield Violation("acknowledged writes are durable", write.request_id)


def _check_atomicity(history, applied):
    transactions = collections.defaultdict(set)
    for write in history.writes:
        if write.transaction:
            transactions[write.transaction].add(write.request_id in applied)
    for name, states in transactions.items():
        if len(states) > 1:
            yield Violation("transactions are atomic", name)


def _check_staleness(history, applied):
    writes = {(write.item, write.value): write for write in history.writes}
    for read in history.reads:
        floor_write = writes.get((read.item, read.floor))
        if read.value >= read.floor or floor_write is None:
            continue
        # A read may miss a write that was lost in a crash.
        if floor_write.request_id in applied:
            detail = f"{read.item} on {read.route}: {read.value} < {read.floor}"
            yield Violation("reads are not stale", detail)


def _check_fences(promotions):
    fences = [fence for _, _, fence in promotions]
    if fences != sorted(set(fences)):
        yield Violation("fencing tokens increase", str(fences))


def _check_keys(history):
    for use in history.key_uses:
        late_s = use.sent_at - use.withdrawn_at
        if late_s > REVOCATION_S:
            yield Violation(
                "withdrawn keys are refused", f"{use.key} served after {late_s:.1f} s"
            )


def _check_evacuations(history):
    for use in history.evacuated_uses:
        late_s = use.last_at - use.evacuated_at
        limit_s = EVACUATION_S
        if any(0.0 <= use.last_at - at < LONGEST_PAUSE_S for at in history.pauses):
            limit_s += LONGEST_PAUSE_S
        if late_s > limit_s:
            yield Violation(
                "evacuated data centres get nothing",
                f"{use.data_centre} was used after {late_s:.1f} s",
            )
