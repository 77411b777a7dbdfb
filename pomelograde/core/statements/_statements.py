"""Typed statements, routes and answers."""

import enum

import attrs


class Operation(enum.Enum):
    """What a statement does."""

    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin_read_only"
    READ = "read"
    WRITE = "write"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SET = "set"
    PREPARE = "prepare"
    EXECUTE = "execute"
    DEALLOCATE = "deallocate"


class RouteType(enum.Enum):
    """What a route promises about the age of data."""

    PRIMARY = "primary"
    BOUNDED_STALENESS = "bounded_staleness"
    READ_YOUR_WRITES = "read_your_writes"


class UpstreamError(enum.Enum):
    """Why an upstream did not execute a statement with success."""

    BUSY = "busy"
    BEHIND = "behind"
    READ_ONLY = "read_only"
    MISDIRECTED = "misdirected"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    UNKNOWN_STATEMENT = "unknown_statement"
    FAILED = "failed"
    TIMEOUT = "timeout"
    OTHER = "other"


NOT_RUN = frozenset(
    (
        UpstreamError.BUSY,
        UpstreamError.BEHIND,
        UpstreamError.READ_ONLY,
        UpstreamError.UNKNOWN_STATEMENT,
    )
)


@attrs.frozen
class Statement:
    """A statement of a caller.

    Attributes
    ----------
    request_id : bytes
        Id that the caller gave it.
    operation : Operation
        What it does.
    text : bytes
        Text, as the caller sent it.
    name : bytes
        Name of the setting or prepared statement.
    value : bytes
        Value of the setting, shape of the prepared statement, or the
        arguments of its execution.
    writes : bool
        Whether the prepared statement writes.
    """

    request_id: bytes
    operation: Operation
    text: bytes
    name: bytes = b""
    value: bytes = b""
    writes: bool = False


@attrs.frozen
class Prepared:
    """A prepared statement.

    Attributes
    ----------
    shape : bytes
        What it runs.
    writes : bool
        Whether it writes.
    """

    shape: bytes
    writes: bool


@attrs.frozen
class Answer:
    """An upstream's answer to one statement.

    Attributes
    ----------
    rows : tuple of bytes
        Rows, as received.
    digest : bytes or None
        The upstream's proof that it ran the statement; None for an error.
    error : UpstreamError or None
        Why it failed.
    text : bytes
        Particulars of the error.
    status : bytes
        Transaction status after it: ``I``, ``T`` or ``E``.
    position : Position or None
        Position of the upstream's log.
    """

    rows: tuple = ()
    digest: bytes | None = None
    error: UpstreamError | None = None
    text: bytes = b""
    status: bytes = b"I"
    position: object = None


@attrs.frozen
class Route:
    """How the statements for one database name are served.

    Attributes
    ----------
    database : str
        Name that callers connect to.
    service : str
        Database service that it stands for.
    route_type : RouteType
        Promise about the age of data.
    timeout_s : float
        Time limit of one statement.
    latency_objective_s : float
        Objective for a whole operation.
    priority : int
        0 is served first.
    max_staleness_s : float
        Greatest age of data; infinite where none is stated.
    is_open : bool
        Whether callers without a key may use it.
    """

    database: str
    service: str
    route_type: RouteType
    timeout_s: float
    latency_objective_s: float = 1.0
    priority: int = 0
    max_staleness_s: float = float("inf")
    is_open: bool = False
