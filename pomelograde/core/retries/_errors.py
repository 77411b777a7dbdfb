"""Error kinds that the proxy reports, and the response for each of them."""

import enum

import attrs


class Execution(enum.Enum):
    """Whether a statement that was answered with an error has run."""

    NOT_RUN = "not run"
    RUN = "run"
    UNKNOWN = "outcome unknown"


class ErrorKind(enum.Enum):
    """Errors that originate in the proxy."""

    MALFORMED_FRAME = "malformed_frame"
    FRAME_TOO_LARGE = "frame_too_large"
    STARTUP_TIMEOUT = "startup_timeout"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    TLS_REQUIRED = "tls_required"
    AUTHENTICATION_FAILED = "authentication_failed"
    UNKNOWN_DATABASE = "unknown_database"
    KEY_WITHDRAWN = "key_withdrawn"
    KEY_WITHDRAWN_IN_FLIGHT = "key_withdrawn_in_flight"
    KEY_MOVED = "key_moved"
    SERVICE_DELETED = "service_deleted"
    SERVICE_DELETED_IN_FLIGHT = "service_deleted_in_flight"
    ROUTE_FORBIDDEN = "route_forbidden"
    INVALID_SETTING = "invalid_setting"
    UNSUPPORTED = "unsupported"
    UNKNOWN_STATEMENT = "unknown_statement"
    RATE_EXCEEDED = "rate_exceeded"
    NO_RATE_SHARE = "no_rate_share"
    QUEUE_FULL = "queue_full"
    DEADLINE_BEFORE_RUN = "deadline_before_run"
    DEADLINE_AFTER_SEND = "deadline_after_send"
    NO_PRIMARY = "no_primary"
    NO_ALLOWED_MEMBER = "no_allowed_member"
    EVACUATED = "evacuated"
    SESSION_BEHIND = "session_behind"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    UPSTREAM_LOST = "upstream_lost"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_TIMEOUT = "upstream_timeout"
    TRANSACTION_LOST = "transaction_lost"
    TRANSACTION_EXPIRED = "transaction_expired"
    TRANSACTION_IDLE = "transaction_idle"
    TRANSACTION_ABORTED = "transaction_aborted"
    INVALID_TRANSACTION_STATE = "invalid_transaction_state"
    ACKNOWLEDGEMENT_LOST = "acknowledgement_lost"
    ANSWER_TOO_LARGE = "answer_too_large"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    IDEMPOTENCY_UNAVAILABLE = "idempotency_unavailable"
    WRITE_DISCARDED = "write_discarded"
    CONFIGURATION_STALE = "configuration_stale"
    DRAINING = "draining"
    DRAINING_IN_FLIGHT = "draining_in_flight"
    INTERNAL = "internal"


@attrs.frozen
class ErrorResponse:
    """Response to a caller for one error kind.

    Attributes
    ----------
    sqlstate : str
        Five-character SQLSTATE.
    execution : Execution
        Whether the statement ran; sent in the DETAIL field.
    message : str
        Primary message.
    hint : str
        Advice to the caller; sent in the HINT field.
    fatal : bool
        Whether the connection is closed after the response.
    retry_after_s : float
        Default for `Failure.retry_after_s`.
    """

    sqlstate: str
    execution: Execution
    message: str
    hint: str = ""
    fatal: bool = False
    retry_after_s: float = 0.0


@attrs.frozen
class Failure:
    """One occurrence of an error.

    Attributes
    ----------
    kind : ErrorKind
        Kind of the error.
    detail : str
        Details for the message; must not contain secrets.
    retry_after_s : float
        Seconds after which a retry is useful, or 0 if unknown.
    path_failed : bool
        Whether the member was not reached on the way taken, so that it may be
        reached on another one.
    """

    kind: ErrorKind
    detail: str = ""
    retry_after_s: float = 0.0
    path_failed: bool = False


_NOT_RUN = Execution.NOT_RUN
_UNKNOWN = Execution.UNKNOWN

ERROR_RESPONSES = {
    ErrorKind.MALFORMED_FRAME: ErrorResponse(
        "08P01", _NOT_RUN, "malformed protocol frame", fatal=True
    ),
    ErrorKind.FRAME_TOO_LARGE: ErrorResponse(
        "08P01", _NOT_RUN, "protocol frame exceeds the size limit", fatal=True
    ),
    ErrorKind.STARTUP_TIMEOUT: ErrorResponse(
        "08006", _NOT_RUN, "start-up was not finished in time", fatal=True
    ),
    ErrorKind.TOO_MANY_CONNECTIONS: ErrorResponse(
        "53300",
        _NOT_RUN,
        "too many connections on this instance",
        "Connect again; the balancer picks another instance.",
        fatal=True,
    ),
    ErrorKind.TLS_REQUIRED: ErrorResponse(
        "28000", _NOT_RUN, "this instance accepts only TLS connections", fatal=True
    ),
    ErrorKind.AUTHENTICATION_FAILED: ErrorResponse(
        "28P01", _NOT_RUN, "client account key was not accepted", fatal=True
    ),
    ErrorKind.UNKNOWN_DATABASE: ErrorResponse(
        "3D000", _NOT_RUN, "database service does not exist", fatal=True
    ),
    ErrorKind.KEY_WITHDRAWN: ErrorResponse(
        "28000", _NOT_RUN, "client account key has been withdrawn", fatal=True
    ),
    ErrorKind.KEY_WITHDRAWN_IN_FLIGHT: ErrorResponse(
        "28000",
        _UNKNOWN,
        "client account key has been withdrawn while a statement was under way",
        "Check whether the statement took effect.",
        fatal=True,
    ),
    ErrorKind.KEY_MOVED: ErrorResponse(
        "40000",
        _NOT_RUN,
        "key belongs to another client account now; the transaction was rolled back",
        "Run the whole transaction again.",
    ),
    ErrorKind.SERVICE_DELETED: ErrorResponse(
        "57P04", _NOT_RUN, "database service has been deleted", fatal=True
    ),
    ErrorKind.SERVICE_DELETED_IN_FLIGHT: ErrorResponse(
        "57P04",
        _UNKNOWN,
        "database service has been deleted while a statement was under way",
        "Check whether the statement took effect.",
        fatal=True,
    ),
    ErrorKind.ROUTE_FORBIDDEN: ErrorResponse(
        "42501", _NOT_RUN, "no route allows this statement for the client account"
    ),
    ErrorKind.INVALID_SETTING: ErrorResponse(
        "22023", _NOT_RUN, "invalid value for a proxy setting"
    ),
    ErrorKind.UNSUPPORTED: ErrorResponse(
        "0A000", _NOT_RUN, "statement is not supported through the proxy"
    ),
    ErrorKind.UNKNOWN_STATEMENT: ErrorResponse(
        "26000", _NOT_RUN, "prepared statement does not exist"
    ),
    ErrorKind.RATE_EXCEEDED: ErrorResponse(
        "53400",
        _NOT_RUN,
        "client account is over its rate",
        "Retry after the stated time.",
    ),
    ErrorKind.NO_RATE_SHARE: ErrorResponse(
        "57P03",
        _NOT_RUN,
        "instance holds no share of the client account's rate",
        "Connect again; the balancer picks another instance.",
    ),
    ErrorKind.QUEUE_FULL: ErrorResponse(
        "53000",
        _NOT_RUN,
        "too many statements are waiting for an upstream connection",
        retry_after_s=0.5,
    ),
    ErrorKind.DEADLINE_BEFORE_RUN: ErrorResponse(
        "57014", _NOT_RUN, "deadline passed before the statement was sent"
    ),
    ErrorKind.DEADLINE_AFTER_SEND: ErrorResponse(
        "57014",
        _UNKNOWN,
        "deadline passed before the upstream answered",
        "Check whether the statement took effect, or use an idempotency key.",
    ),
    ErrorKind.NO_PRIMARY: ErrorResponse(
        "57P03",
        _NOT_RUN,
        "database service has no primary at present",
        retry_after_s=2.0,
    ),
    ErrorKind.NO_ALLOWED_MEMBER: ErrorResponse(
        "57P03",
        _NOT_RUN,
        "no member that may run the statement is where it may be sent",
        retry_after_s=5.0,
    ),
    ErrorKind.EVACUATED: ErrorResponse(
        "57P03",
        _NOT_RUN,
        "operators have evacuated the data centres of all members that could run it",
        retry_after_s=2.0,
    ),
    ErrorKind.SESSION_BEHIND: ErrorResponse(
        "57P03",
        _NOT_RUN,
        "no upstream holds the session's own writes yet",
        retry_after_s=0.5,
    ),
    ErrorKind.UPSTREAM_UNREACHABLE: ErrorResponse(
        "08001",
        _NOT_RUN,
        "no upstream connection could be opened",
        retry_after_s=1.0,
    ),
    ErrorKind.UPSTREAM_LOST: ErrorResponse(
        "08007",
        _UNKNOWN,
        "upstream connection was lost before the answer was complete",
        "Check whether the statement took effect, or use an idempotency key.",
    ),
    ErrorKind.TRANSACTION_LOST: ErrorResponse(
        "40000",
        _NOT_RUN,
        "upstream connection was lost; the transaction was rolled back",
        "Run the whole transaction again.",
    ),
    ErrorKind.TRANSACTION_EXPIRED: ErrorResponse(
        "57014",
        _NOT_RUN,
        "deadline passed inside a transaction; the transaction was rolled back",
        "Run the whole transaction again.",
    ),
    ErrorKind.TRANSACTION_IDLE: ErrorResponse(
        "25P03",
        _NOT_RUN,
        "transaction was idle for too long; it was rolled back",
        "Connect again and run the whole transaction again.",
        fatal=True,
    ),
    ErrorKind.TRANSACTION_ABORTED: ErrorResponse(
        "25P02",
        _NOT_RUN,
        "current transaction is aborted, commands are ignored until its end",
        "Send ROLLBACK, then run the whole transaction again.",
    ),
    ErrorKind.INVALID_TRANSACTION_STATE: ErrorResponse(
        "25001",
        _NOT_RUN,
        "statement is not allowed in this state of the transaction",
    ),
    ErrorKind.UPSTREAM_FAILED: ErrorResponse(
        "58000",
        _UNKNOWN,
        "the upstream failed while it ran the statement",
        "Check whether the statement took effect.",
    ),
    ErrorKind.UPSTREAM_TIMEOUT: ErrorResponse(
        "57014",
        _UNKNOWN,
        "the upstream gave the statement up at its own time limit",
        "Check whether the statement took effect.",
    ),
    ErrorKind.ACKNOWLEDGEMENT_LOST: ErrorResponse(
        "08007",
        _UNKNOWN,
        "the write was not confirmed by a majority of members",
        "Check whether the statement took effect, or use an idempotency key.",
    ),
    ErrorKind.ANSWER_TOO_LARGE: ErrorResponse(
        "54000",
        _UNKNOWN,
        "answer to a write is larger than what is held until its acknowledgement",
        "Return fewer rows, and check whether the statement took effect.",
    ),
    ErrorKind.IDEMPOTENCY_KEY_REUSED: ErrorResponse(
        "22023",
        _NOT_RUN,
        "idempotency key was used for another statement",
        "Use a new idempotency key for each write.",
    ),
    ErrorKind.IDEMPOTENCY_UNAVAILABLE: ErrorResponse(
        "0A000",
        _NOT_RUN,
        "idempotency keys cannot be used for this statement",
        "Set pomelograde.idempotency_key to an empty text.",
    ),
    ErrorKind.WRITE_DISCARDED: ErrorResponse(
        "40001",
        _NOT_RUN,
        "the primary failed before a majority held the write; it took no effect",
        "Run the statement, or the whole transaction, again.",
    ),
    ErrorKind.CONFIGURATION_STALE: ErrorResponse(
        "57P03",
        _NOT_RUN,
        "instance cannot confirm that its configuration is current",
        "Connect again; the balancer picks another instance.",
        fatal=True,
    ),
    ErrorKind.DRAINING: ErrorResponse(
        "57P01",
        _NOT_RUN,
        "instance is stopping",
        "Connect again; the balancer picks another instance.",
        fatal=True,
    ),
    ErrorKind.DRAINING_IN_FLIGHT: ErrorResponse(
        "57P01",
        _UNKNOWN,
        "instance has stopped while a statement was under way",
        "Check whether the statement took effect.",
        fatal=True,
    ),
    ErrorKind.INTERNAL: ErrorResponse("XX000", _UNKNOWN, "internal error", fatal=True),
}
