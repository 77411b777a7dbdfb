"""Histories: records of operations, of changes to a fleet and of its state.

Times are seconds of the monotonic clock, which all processes of a machine share.
"""

import enum
import functools
import json
import pathlib

import attrs
import cattrs

FAILURE_DIRECTORY = "build/failures"


class Action(enum.Enum):
    """Kind of an operation.

    An ``ECHO`` reads a constant that the caller chose, so that an answer to another
    request is recognised.
    """

    WRITE = "write"
    TRANSACTION = "transaction"
    READ = "read"
    ECHO = "echo"


class Outcome(enum.Enum):
    """Result as reported to the caller."""

    OK = "ok"
    NOT_RUN = "not run"
    UNKNOWN = "outcome unknown"


@attrs.frozen
class Operation:
    """One request of a caller and its answer.

    Attributes
    ----------
    caller, account, service, instance : str
        Session, client account, database and instance of the request. A caller
        is one session, even if it changes instances.
    action : Action
        Kind of the operation.
    values : tuple of int
        Values written, or the constant that an echo must return.
    rows : tuple of int
        Values read.
    invoked_at, answered_at : float
        Times of the invocation and of the answer.
    outcome : Outcome
        Result as reported to the caller.
    reason : str
        SQLSTATE or exception class of a failure.
    requests : int
        Number of requests that it uses up of the rate limit.
    """

    caller: str
    account: str
    service: str
    instance: str
    action: Action
    values: tuple[int, ...]
    invoked_at: float
    answered_at: float
    outcome: Outcome
    rows: tuple[int, ...] = ()
    reason: str = ""
    requests: int = 1


@attrs.frozen
class Row:
    """One row of the checked table after replication has caught up.

    Attributes
    ----------
    service, owner, caller : str
        Database, database role that wrote the row, and caller.
    value : int
        Value, unique among all callers.
    """

    service: str
    owner: str
    caller: str
    value: int


@attrs.frozen
class Withdrawal:
    """Accepted withdrawal of a client account's key."""

    account: str
    accepted_at: float


@attrs.frozen
class Acceptance:
    """Accepted change of the configuration."""

    revision: int
    accepted_at: float


@attrs.frozen
class RevisionSeen:
    """Revision that an instance reported as in force."""

    instance: str
    revision: int
    seen_at: float


@attrs.frozen
class MemberLeaving:
    """Accepted change that marks a member as leaving."""

    service: str
    member: str
    accepted_at: float


@attrs.frozen
class MemberWork:
    """Number of statements that a member has run so far."""

    service: str
    member: str
    statements: int
    seen_at: float


@attrs.frozen
class Limit:
    """Rate and burst of a client account."""

    account: str
    rate_per_s: float
    burst: float


RECORD_TYPES = {
    record_type.__name__: record_type
    for record_type in (
        Operation,
        Row,
        Withdrawal,
        Acceptance,
        RevisionSeen,
        MemberLeaving,
        MemberWork,
        Limit,
    )
}


@attrs.define
class History:
    """Records of a run.

    Attributes
    ----------
    records : list
        Instances of the classes in `RECORD_TYPES`, in any order.
    """

    records: list = attrs.field(factory=list)

    def records_of(self, record_type):
        """Return the records of a class."""
        return [record for record in self.records if type(record) is record_type]

    def operations(self, *actions):
        """Return the operations with one of the actions; all by default."""
        operations = self.records_of(Operation)
        return [
            operation
            for operation in operations
            if not actions or operation.action in actions
        ]


def dump_line(record):
    """Return a record as one JSON line."""
    value = _converter().unstructure(record)
    return json.dumps({"kind": type(record).__name__, **value}) + "\n"


def store(recorded, name):
    """Write a history to a new file in `FAILURE_DIRECTORY`; returns its path."""
    directory = pathlib.Path(FAILURE_DIRECTORY)
    directory.mkdir(parents=True, exist_ok=True)
    path = directory / f"{name}-{len(list(directory.iterdir()))}.jsonl"
    path.write_text("".join(map(dump_line, recorded.records)), "utf-8")
    return path


def load(paths):
    """Load files of JSON lines into one `History`."""
    loaded = History()
    for path in paths:
        for line in pathlib.Path(path).read_text("utf-8").splitlines():
            value = json.loads(line)
            record_type = RECORD_TYPES[value.pop("kind")]
            loaded.records.append(_converter().structure(value, record_type))
    return loaded


@functools.cache
def _converter():
    return cattrs.Converter()
