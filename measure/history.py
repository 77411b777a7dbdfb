"""Records of what callers asked and were answered, and of what was done to the fleet.

All times are seconds of the monotonic clock, which the processes of one machine
share.
"""

import enum
import functools
import json
import pathlib

import attrs
import cattrs

FAILURES = "build/failures"


class Action(enum.Enum):
    """What an operation does."""

    WRITE = "write"
    TRANSACTION = "transaction"
    READ = "read"
    ECHO = "echo"


class Outcome(enum.Enum):
    """What the caller was told."""

    OK = "ok"
    NOT_RUN = "not run"
    UNKNOWN = "outcome unknown"


@attrs.frozen
class Operation:
    """One invocation and its answer.

    Attributes
    ----------
    caller, account, service, instance : str
        Who asked for what, through which instance. A caller is one session,
        also when it moves between instances.
    action : Action
        What it does.
    values : tuple of int
        Values written, or the number that an answer must carry.
    rows : tuple of int
        Values in the answer.
    invoked_at, answered_at : float
        Times of the invocation and of the answer.
    outcome : Outcome
        What the caller was told.
    reason : str
        SQLSTATE or class of the error.
    requests : int
        Requests that it counts as against a rate.
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
    """One row of the checked table when all has come to rest.

    Attributes
    ----------
    service, owner, caller : str
        Where it is, the database role that wrote it, and who asked for it.
    value : int
        Unique value.
    """

    service: str
    owner: str
    caller: str
    value: int


@attrs.frozen
class Withdrawal:
    """A key was withdrawn; the change was accepted at a time."""

    account: str
    accepted_at: float


@attrs.frozen
class Acceptance:
    """A change of the configuration was accepted at a time."""

    revision: int
    accepted_at: float


@attrs.frozen
class RevisionSeen:
    """An instance said which revision is in force."""

    instance: str
    revision: int
    seen_at: float


@attrs.frozen
class MemberLeaving:
    """A member was said to be leaving by a change accepted at a time."""

    service: str
    member: str
    accepted_at: float


@attrs.frozen
class MemberWork:
    """Statements that a member had run until a time."""

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


KINDS = {
    found.__name__: found
    for found in (
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
    """All records of a run.

    Attributes
    ----------
    records : list
        Records of the kinds above, in any order.
    """

    records: list = attrs.field(factory=list)

    def of(self, kind):
        """Return the records of a class."""
        return [record for record in self.records if type(record) is kind]

    def operations(self, *actions):
        """Return the operations with one of the actions; all by default."""
        found = self.of(Operation)
        return [one for one in found if not actions or one.action in actions]


def dump_line(record):
    """Return a record as one JSON line."""
    value = _converter().unstructure(record)
    return json.dumps({"kind": type(record).__name__, **value}) + "\n"


def store(found, name):
    """Write a history to a new file below `FAILURES`; returns its path."""
    folder = pathlib.Path(FAILURES)
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{name}-{len(list(folder.iterdir()))}.jsonl"
    path.write_text("".join(map(dump_line, found.records)), "utf-8")
    return path


def load(paths):
    """Read histories from files of JSON lines; returns one `History`."""
    found = History()
    for path in paths:
        for line in pathlib.Path(path).read_text("utf-8").splitlines():
            value = json.loads(line)
            kind = KINDS[value.pop("kind")]
            found.records.append(_converter().structure(value, kind))
    return found


@functools.cache
def _converter():
    return cattrs.Converter()
