"""Typed statements, routes and answers."""

import enum

import attrs

from pomelograde.core.placement import _homes


class Operation(enum.Enum):
    """Kind of a statement."""

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
    """Consistency guarantee of a route."""

    PRIMARY = "primary"
    BOUNDED_STALENESS = "bounded_staleness"
    READ_YOUR_WRITES = "read_your_writes"


class UpstreamError(enum.Enum):
    """Why a statement did not succeed on an upstream.

    Attributes
    ----------
    BUSY
        The upstream did not run the statement and asks for a retry.
    BEHIND
        The upstream's log has not reached the required position.
    READ_ONLY
        The upstream accepts no writes.
    MISDIRECTED
        Another member answers at the address; reported when a connection is
        opened.
    TOO_MANY_CONNECTIONS
        The upstream's connection limit is reached; reported when a connection
        is opened.
    UNKNOWN_STATEMENT
        The upstream does not have the prepared statement.
    FAILED
        The upstream failed while it ran the statement.
    TIMEOUT
        The upstream stopped the statement at its own time limit.
    OTHER
        Any other error.
    """

    BUSY = "busy"
    BEHIND = "behind"
    READ_ONLY = "read_only"
    MISDIRECTED = "misdirected"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    UNKNOWN_STATEMENT = "unknown_statement"
    FAILED = "failed"
    TIMEOUT = "timeout"
    OTHER = "other"


# Errors that guarantee that the statement had no effect.
NOT_RUN_ERRORS = frozenset(
    (
        UpstreamError.BUSY,
        UpstreamError.BEHIND,
        UpstreamError.READ_ONLY,
        UpstreamError.UNKNOWN_STATEMENT,
    )
)

# Errors that speak against the member.
MEMBER_FAILURES = frozenset((UpstreamError.FAILED, UpstreamError.TIMEOUT))


@attrs.frozen
class Statement:
    """A statement sent by a caller.

    Attributes
    ----------
    request_id : bytes
        Id assigned by the caller.
    operation : Operation
        Kind of the statement.
    text : bytes
        Text as sent by the caller.
    name : bytes
        Name of the setting or of the prepared statement.
    value : bytes
        Value of the setting, body of the prepared statement, or the
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
        Body of the statement.
    writes : bool
        Whether the statement writes.
    """

    shape: bytes
    writes: bool


@attrs.frozen
class Answer:
    """An upstream's answer to one statement.

    Attributes
    ----------
    rows : tuple of bytes
        Rows as received.
    digest : bytes or None
        Token by which the upstream confirms that it ran the statement; None
        for an error or an answer that involved no upstream.
    error : UpstreamError or None
        Why the statement failed.
    text : bytes
        Details of the error.
    status : bytes
        Transaction status after the statement: ``I``, ``T`` or ``E``.
    position : Position or None
        Log position reported by the upstream.
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
        Database name that callers connect to.
    service : str
        Database service behind this name.
    route_type : RouteType
        Consistency guarantee.
    timeout_s : float
        Time limit of one statement.
    latency_objective_s : float
        Latency objective of an operation.
    priority : int
        Priority in queues; 0 is served first.
    max_staleness_s : float
        Maximum age of the data that reads return; infinite if there is no
        limit.
    is_open : bool
        Whether callers without a key may use the route.
    allowed_regions : frozenset of str
        Regions that its statements may reach; empty if all.
    account_regions : frozenset of str
        Regions that the client account's statements may reach; empty if all.
    """

    database: str
    service: str
    route_type: RouteType
    timeout_s: float
    latency_objective_s: float = 1.0
    priority: int = 0
    max_staleness_s: float = float("inf")
    is_open: bool = False
    allowed_regions: frozenset = frozenset()
    account_regions: frozenset = frozenset()

    @property
    def regions(self):
        """Regions that a statement of the account may reach; None if all."""
        return _homes.intersect_regions(self.allowed_regions, self.account_regions)
