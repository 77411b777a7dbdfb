"""What to do with a statement whose attempt failed."""

import enum

import attrs

from pomelograde.core.retries import _errors


class Phase(enum.Enum):
    """How far an attempt had come when it failed."""

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    SENT = "sent"
    PARTLY_ANSWERED = "partly_answered"
    ACKNOWLEDGING = "acknowledging"


class Survival(enum.Enum):
    """Whether a write is part of the history of a later primary."""

    SURVIVED = "survived"
    DISCARDED = "discarded"
    UNKNOWN = "unknown"


@attrs.frozen
class Retry:
    """Try the statement again.

    Attributes
    ----------
    on_primary : bool
        Whether the next attempt must go to the primary.
    """

    on_primary: bool = False


@attrs.frozen
class Attempt:
    """What is known of a failed attempt.

    Attributes
    ----------
    phase : Phase
        How far it had come.
    repeatable : bool
        Whether the statement has the same effect when it runs twice: a read,
        or a write with an idempotency key.
    in_transaction : bool
        Whether a transaction was open on the connection.
    commits : bool
        Whether the statement may have ended that transaction.
    earlier_unknown : bool
        Whether an earlier attempt may have run.
    """

    phase: Phase
    repeatable: bool = False
    in_transaction: bool = False
    commits: bool = False
    earlier_unknown: bool = False


def decide(attempt, now, deadline):
    """Decide between another attempt and a final answer.

    Parameters
    ----------
    attempt : Attempt
        The failed attempt.
    now, deadline : float
        Monotonic seconds.

    Returns
    -------
    Retry or Failure
        Another attempt, or the answer for the caller.

    Notes
    -----
    A statement is sent again only if it is certain that it did not run, or if
    it is repeatable and the caller has seen nothing of its answer. Inside a
    transaction nothing is sent again, since earlier statements are lost with
    the connection.
    """
    kinds = _errors.ErrorKind
    phase = attempt.phase
    if attempt.in_transaction:
        unsent = phase in (Phase.NOT_SENT, Phase.REFUSED)
        if attempt.commits and not unsent:
            return _errors.Failure(_connection_loss_kind(phase))
        return _errors.Failure(kinds.TRANSACTION_LOST)
    certain = phase in (Phase.NOT_SENT, Phase.REFUSED)
    unseen = certain or phase in (Phase.SENT, Phase.ACKNOWLEDGING)
    if unseen and (certain or attempt.repeatable) and now < deadline:
        return Retry(on_primary=phase is Phase.REFUSED)
    if certain:
        return _errors.Failure(expiry_kind(attempt))
    return _errors.Failure(_connection_loss_kind(phase))


def expiry_kind(attempt):
    """Return the error kind for a statement whose deadline has passed.

    Parameters
    ----------
    attempt : Attempt
        The attempt that was under way.

    Returns
    -------
    ErrorKind
        One that says "not run" only if no attempt can have taken effect.
    """
    kinds = _errors.ErrorKind
    unsent = attempt.phase in (Phase.NOT_SENT, Phase.REFUSED)
    if attempt.phase is Phase.ACKNOWLEDGING:
        return kinds.ACKNOWLEDGEMENT_LOST
    if attempt.in_transaction and (unsent or not attempt.commits):
        return kinds.TRANSACTION_EXPIRED
    if unsent and not attempt.earlier_unknown:
        return kinds.DEADLINE_BEFORE_RUN
    return kinds.DEADLINE_AFTER_SEND


def classify_survival(lower, upper, holds_after_lower, holds_upper):
    """Judge whether a write is in the log of a primary of a later term.

    Parameters
    ----------
    lower : Position or None
        A position that the old primary reported before the write was sent.
    upper : Position or None
        The position that it reported after the commit.
    holds_after_lower : bool or None
        Whether the log has the entry that follows `lower`.
    holds_upper : bool or None
        Whether the log has the entry at `upper`.

    Returns
    -------
    Survival
        Whether the write is in that log.

    Notes
    -----
    A log that has the entry at `upper` has all entries before it. Where both
    positions are of one term, the write is an entry of this term above
    `lower`; a log without the entry that follows `lower` has none of those.
    """
    if upper is None:
        return Survival.UNKNOWN
    if holds_upper:
        return Survival.SURVIVED
    if lower is None or lower.term != upper.term or holds_after_lower is not False:
        return Survival.UNKNOWN
    return Survival.DISCARDED


def _connection_loss_kind(phase):
    if phase is Phase.ACKNOWLEDGING:
        return _errors.ErrorKind.ACKNOWLEDGEMENT_LOST
    return _errors.ErrorKind.UPSTREAM_LOST
