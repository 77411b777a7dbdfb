"""Actions that a session returns for its driver to carry out."""

import attrs

from pomelograde.core.retries import _errors
from pomelograde.core.statements import _statements


@attrs.frozen
class Admit:
    """Request admission of one operation by the client account's rate limiter.

    Attributes
    ----------
    account : str
        Client account.
    deadline : float
        Deadline of the statement, in monotonic seconds.
    max_wait_s : float
        Longest wait for admission.
    priority : int
        Priority in the queue; 0 is served first.
    """

    account: str
    deadline: float
    max_wait_s: float
    priority: int


@attrs.frozen
class RefundToken:
    """Return the rate limiter's token of an operation that was never sent."""

    account: str


@attrs.frozen
class Acquire:
    """Request a connection to a member.

    Attributes
    ----------
    service : str
        Database service.
    member : str
        Name of the member.
    on_primary : bool
        Whether the member was selected as the primary.
    deadline : float
        Monotonic seconds after which the request fails.
    priority : int
        Priority in the queue; 0 is served first.
    regions : frozenset of str or None
        Regions that the statement may reach; None if all.
    has_alternative : bool
        Whether another member may serve the statement now.
    useful_until : float
        Monotonic seconds until which an answer meets the latency objective.
    """

    service: str
    member: str
    on_primary: bool
    deadline: float
    priority: int
    regions: frozenset | None = None
    has_alternative: bool = False
    useful_until: float = float("inf")


@attrs.frozen
class CancelPending:
    """Cancel the pending Acquire or Admit."""


@attrs.frozen
class Begin:
    """Open a transaction on a connection.

    Attributes
    ----------
    connection : object
        Connection to open the transaction on.
    read_only : bool
        Whether the transaction is read-only.
    after : Position or None
        Position that the member's log must have reached; None if any will do.
    settings : dict of bytes to bytes
        Session settings to apply to the connection.
    """

    connection: object
    read_only: bool
    after: object
    settings: dict


@attrs.frozen
class Execute:
    """Execute a statement on a connection.

    Attributes
    ----------
    connection : object
        Connection to send the statement on.
    statement : Statement
        Statement to send.
    prepared : Prepared or None
        The prepared statement that it executes, if any.
    after : Position or None
        Position that the member's log must have reached; None if any will do.
    settings : dict of bytes to bytes
        Session settings to apply to the connection.
    """

    connection: object
    statement: _statements.Statement
    prepared: _statements.Prepared | None
    after: object
    settings: dict


@attrs.frozen
class Release:
    """Return a connection without outstanding answers to its pool."""

    connection: object


@attrs.frozen
class Discard:
    """Close a connection, which ends whatever is running on it."""

    connection: object


@attrs.frozen
class Abandon:
    """Return a connection to its pool once all outstanding answers have arrived.

    Attributes
    ----------
    connection : object
        Connection to give back.
    in_transaction : bool
        Whether a transaction on it must be rolled back first.
    """

    connection: object
    in_transaction: bool


@attrs.frozen
class Respond:
    """Send a successful result to the caller.

    Attributes
    ----------
    answer : Answer
        The result; its digest is None if no upstream was involved.
    status : bytes
        Transaction status of the session.
    """

    answer: _statements.Answer
    status: bytes


@attrs.frozen
class RespondError:
    """Send an error to the caller.

    Attributes
    ----------
    failure : Failure
        The error.
    status : bytes
        Transaction status of the session.
    """

    failure: _errors.Failure
    status: bytes


@attrs.frozen
class Close:
    """Answer the statements that wait with an error, and end the session."""

    failure: object


@attrs.frozen
class StartTimer:
    """Call `Session.on_timer` after a delay."""

    delay_s: float


@attrs.frozen
class RecordRetry:
    """Log and count a retry.

    Attributes
    ----------
    reason : str
        Why the last attempt failed.
    member : str
        Member on which it failed.
    """

    reason: str
    member: str
