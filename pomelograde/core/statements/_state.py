"""State of a session's transaction and of its statement in flight."""

import attrs

from pomelograde.core.retries import _decide
from pomelograde.core.statements import _statements


@attrs.define
class Transaction:
    """An open transaction of the caller.

    Attributes
    ----------
    read_only : bool
        Whether it was started as read-only.
    route : Route
        Route at its start; it applies until the end of the transaction.
    connection : object or None
        Connection on which it is open; None before its first statement.
    member : str
        Member of that connection.
    on_primary : bool
        Whether that member was the primary when the transaction was opened.
    has_run : bool
        Whether at least one of its statements has succeeded.
    failed : bool
        Whether it has been lost; only ROLLBACK is accepted then.
    idle_since : float
        Monotonic time of the answer to its last statement.
    """

    read_only: bool
    route: _statements.Route
    connection: object = None
    member: str = ""
    on_primary: bool = False
    has_run: bool = False
    failed: bool = False
    idle_since: float = 0.0


@attrs.define
class InFlightStatement:
    """The statement that a session is processing, and its current attempt.

    Attributes
    ----------
    statement : Statement
        Statement as the caller sent it.
    prepared : Prepared or None
        The prepared statement that it executes, if any.
    route : Route
        Route by which it is served.
    writes : bool
        Whether it may write.
    started_at : float
        Monotonic time of its arrival.
    deadline : float
        Monotonic time after which it fails.
    phase : Phase
        Progress of the current attempt.
    sent_at : float
        Monotonic time at which the last request was sent for it.
    awaiting_begin : bool
        Whether the outstanding answer is the one to BEGIN.
    connection : object or None
        Connection in use.
    member : str
        Member of the connection in use or requested.
    on_primary : bool
        Whether that member was selected as the primary.
    required : Position or None
        Position that the member's log must have reached.
    floor : Floor or None
        Floor that is part of `required`, if the age of the data is limited.
    tried : set of str
        Members on which an attempt failed; not selected again until all
        candidates have been tried.
    attempts : int
        Number of requests sent for it, BEGIN included.
    retry_at : float
        Monotonic time at which the member of the last attempt may have a
        connection.
    cut_off : set of str
        Members that no path led to.
    is_cut_off : bool
        Whether no path led to any member that it may run on, so that it is of no
        use to wait for less than `retry_at`.
    failed_reads : int
        Number of times that it ran as a read and failed.
    awaiting_grant : bool
        Whether a connection or admission is pending.
    admitted : bool
        Whether the client account's rate limiter has admitted it.
    in_transaction : bool
        Whether it runs in a transaction, whose BEGIN was admitted for it.
    """

    statement: _statements.Statement
    prepared: _statements.Prepared | None
    route: _statements.Route
    writes: bool
    started_at: float
    deadline: float
    phase: _decide.Phase = _decide.Phase.NOT_SENT
    sent_at: float = 0.0
    awaiting_begin: bool = False
    connection: object = None
    member: str = ""
    on_primary: bool = False
    required: object = None
    floor: object = None
    tried: set = attrs.field(factory=set)
    attempts: int = 0
    failed_reads: int = 0
    retry_at: float = float("-inf")
    cut_off: set = attrs.field(factory=set)
    is_cut_off: bool = False
    awaiting_grant: bool = False
    admitted: bool = False
    in_transaction: bool = False

    @property
    def commits(self):
        """Whether the last request may have committed the transaction."""
        return (
            self.statement.operation is _statements.Operation.COMMIT
            and not self.awaiting_begin
        )

    def describe(self):
        """Return the routing details of the statement for the log."""
        required = self.required
        return {
            "route": self.route.route_type.value,
            "member": self.member,
            "on_primary": self.on_primary,
            "required": None
            if required is None
            else f"{required.term}.{required.index}",
            "attempts": self.attempts,
            "in_transaction": self.in_transaction,
        }
