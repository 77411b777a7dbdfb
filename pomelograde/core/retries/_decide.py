"""What to do with a statement whose attempt failed."""

import enum

import attrs

from pomelograde.core.retries import _errors
from pomelograde.core.routing import _classify


class Phase(enum.Enum):
    """How far an attempt had come when it failed."""

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    SENT = "sent"
    PARTLY_ANSWERED = "partly_answered"
    ACKNOWLEDGING = "acknowledging"


@attrs.frozen
class Retry:
    """Try the statement again.

    Attributes
    ----------
    on_primary : bool
        Whether the next attempt must go to the primary.
    """

    on_primary: bool = False


def decide(phase, statement_class, in_transaction, now, deadline):
    """Decide between another attempt and a final answer.

    Parameters
    ----------
    phase : Phase
        How far the failed attempt had come.
    statement_class : StatementClass
        Class of the statement.
    in_transaction : bool
        Whether a transaction was open on the lost connection.
    now, deadline : float
        Monotonic seconds.

    Returns
    -------
    Retry or Failure
        Another attempt, or the answer for the caller.

    Notes
    -----
    A statement is sent again only if it is certain that it did not run, or if
    it is a read of which the caller has seen nothing. Inside a transaction
    nothing is sent again, since earlier statements are lost with the
    connection.
    """
    kinds = _errors.ErrorKind
    if phase is Phase.ACKNOWLEDGING:
        return _errors.Failure(kinds.ACKNOWLEDGEMENT_LOST)
    if in_transaction:
        if statement_class is _classify.StatementClass.COMMIT and phase is Phase.SENT:
            return _errors.Failure(kinds.UPSTREAM_LOST)
        return _errors.Failure(kinds.TRANSACTION_LOST)
    retriable = phase in (Phase.NOT_SENT, Phase.REFUSED) or (
        phase is Phase.SENT and statement_class is _classify.StatementClass.READ
    )
    if retriable and now < deadline:
        return Retry(on_primary=phase is Phase.REFUSED)
    if phase in (Phase.NOT_SENT, Phase.REFUSED):
        return _errors.Failure(kinds.DEADLINE_BEFORE_RUN)
    return _errors.Failure(kinds.UPSTREAM_LOST)
