"""What a session asks its driver to do."""

import attrs

from pomelograde.core.retries import _errors
from pomelograde.core.statements import _statements


@attrs.frozen
class Admit:
    """Take one request of the client account's rate.

    Attributes
    ----------
    account : str
        Client account.
    deadline : float
        Time limit of the statement.
    max_wait_s : float
        Longest wait that is of use to the caller.
    priority : int
        0 goes first.
    """

    account: str
    deadline: float
    max_wait_s: float
    priority: int


@attrs.frozen
class RefundRate:
    """Give back what was taken of the rate for an operation that never ran."""

    account: str


@attrs.frozen
class Acquire:
    """Get a connection to a member.

    Attributes
    ----------
    service, member : str
        The member.
    on_primary : bool
        Whether it is wanted as the primary.
    deadline : float
        When the wait for a connection is given up.
    priority : int
        0 goes first.
    """

    service: str
    member: str
    on_primary: bool
    deadline: float
    priority: int


@attrs.frozen
class CancelAcquire:
    """Stop waiting for a connection or for the rate."""


@attrs.frozen
class Begin:
    """Open a transaction on a connection.

    Attributes
    ----------
    connection : object
        The connection.
    read_only : bool
        Whether it only reads.
    after : Position or None
        What the member's log must hold.
    settings : dict of bytes to bytes
        Settings that the connection must have.
    """

    connection: object
    read_only: bool
    after: object
    settings: dict


@attrs.frozen
class Execute:
    """Run a statement on a connection.

    Attributes
    ----------
    connection : object
        The connection.
    statement : Statement
        The statement.
    prepared : Prepared or None
        What it executes, if it names a prepared statement.
    after : Position or None
        What the member's log must hold.
    settings : dict of bytes to bytes
        Settings that the connection must have.
    """

    connection: object
    statement: _statements.Statement
    prepared: _statements.Prepared | None
    after: object
    settings: dict


@attrs.frozen
class Release:
    """Give back a connection that nothing is outstanding on."""

    connection: object


@attrs.frozen
class Discard:
    """Close a connection, which ends what runs on it."""

    connection: object


@attrs.frozen
class Abandon:
    """Give back a connection once what was sent on it is answered.

    Attributes
    ----------
    connection : object
        The connection.
    in_transaction : bool
        Whether its transaction has to be rolled back first.
    """

    connection: object
    in_transaction: bool


@attrs.frozen
class Respond:
    """Answer the caller with success.

    Attributes
    ----------
    answer : Answer
        What to say; a digest of None where no upstream was asked.
    status : bytes
        The session's transaction status.
    """

    answer: _statements.Answer
    status: bytes


@attrs.frozen
class Refuse:
    """Answer the caller with an error."""

    failure: _errors.Failure
    status: bytes


@attrs.frozen
class Close:
    """End the session."""


@attrs.frozen
class StartTimer:
    """Call `on_wake` after some seconds."""

    delay_s: float


@attrs.frozen
class RecordRetry:
    """Record why another attempt is made.

    Attributes
    ----------
    reason : str
        What happened to the last attempt.
    member : str
        Where it happened.
    """

    reason: str
    member: str
