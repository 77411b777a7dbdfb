"""What a session knows of its transaction and of the statement under way."""

import attrs

from pomelograde.core.retries import _decide
from pomelograde.core.statements import _statements


@attrs.define
class Transaction:
    """A transaction of the caller.

    Attributes
    ----------
    read_only : bool
        Whether it was begun to read only.
    route : Route
        Route in force when it began.
    connection : object or None
        Connection that it is open on; None before its first statement.
    member : str
        Member of that connection.
    on_primary : bool
        Whether that member led when the transaction was opened there.
    has_run : bool
        Whether a statement of it was answered with success.
    failed : bool
        Whether it is lost and waits for its end.
    idle_since : float
        When its last statement was answered.
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
class Attempt:
    """The statement under way.

    Attributes
    ----------
    statement : Statement
        The statement.
    prepared : Prepared or None
        What it executes.
    route : Route
        Route that it follows.
    writes : bool
        Whether it may write.
    started_at : float
        When it arrived.
    deadline : float
        When it is given up.
    phase : Phase
        How far the present attempt has come.
    sent_at : float
        When it was last sent.
    beginning : bool
        Whether the answer awaited is that to the opening of a transaction.
    connection : object or None
        Connection in use.
    member : str
        Member of the connection in use or awaited.
    on_primary : bool
        Whether that member was chosen as the primary.
    required : Position or None
        What the member must hold.
    tried : set of str
        Members that refused it.
    attempts : int
        Times that it was sent.
    failed_reads : int
        Times that it ran as a read, and failed.
    acquiring : bool
        Whether a connection or the rate is waited for.
    admitted : bool
        Whether a part of the client account's rate was taken for it.
    """

    statement: _statements.Statement
    prepared: _statements.Prepared | None
    route: _statements.Route
    writes: bool
    started_at: float
    deadline: float
    phase: _decide.Phase = _decide.Phase.NOT_SENT
    sent_at: float = 0.0
    beginning: bool = False
    connection: object = None
    member: str = ""
    on_primary: bool = False
    required: object = None
    tried: set = attrs.field(factory=set)
    attempts: int = 0
    failed_reads: int = 0
    acquiring: bool = False
    admitted: bool = False

    @property
    def commits(self):
        """Whether what was sent last may end the transaction."""
        return (
            self.statement.operation is _statements.Operation.COMMIT
            and not self.beginning
        )

    def describe(self):
        """Return what decided on the statement, for the log."""
        required = self.required
        return {
            "route": self.route.route_type.value,
            "member": self.member,
            "on_primary": self.on_primary,
            "required": None
            if required is None
            else f"{required.term}.{required.index}",
            "attempts": self.attempts,
        }
