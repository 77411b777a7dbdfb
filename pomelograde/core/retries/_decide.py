"""Retry decisions for statements whose attempt failed."""

import enum

import attrs

from pomelograde.core.retries import _errors


class Phase(enum.Enum):
    """Progress of an attempt at the time of its failure.

    Attributes
    ----------
    NOT_SENT
        The statement was not sent to an upstream.
    REFUSED
        The upstream refused the statement without running it.
    SENT
        The statement was sent, and no part of its answer has reached the
        caller.
    PARTLY_ANSWERED
        A part of the answer has reached the caller.
    ACKNOWLEDGING
        The statement has run and waits until a majority of members holds its
        writes.
    """

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    SENT = "sent"
    PARTLY_ANSWERED = "partly_answered"
    ACKNOWLEDGING = "acknowledging"


class Survival(enum.Enum):
    """Whether a write is in the log of a later primary."""

    SURVIVED = "survived"
    DISCARDED = "discarded"
    UNKNOWN = "unknown"


@attrs.frozen
class Retry:
    """Decision to send the statement again.

    Attributes
    ----------
    on_primary : bool
        Whether the next attempt must go to the primary.
    """

    on_primary: bool = False


@attrs.frozen
class Attempt:
    """A failed attempt to run a statement.

    Attributes
    ----------
    phase : Phase
        Progress of the attempt.
    repeatable : bool
        Whether running the statement twice has the same effect as running it
        once: a read, or a write with an idempotency key.
    in_transaction : bool
        Whether a transaction was open on the connection.
    commits : bool
        Whether the statement may have ended that transaction.
    earlier_unknown : bool
        Whether the outcome of an earlier attempt is unknown.
    """

    phase: Phase
    repeatable: bool = False
    in_transaction: bool = False
    commits: bool = False
    earlier_unknown: bool = False


def decide(attempt, now, deadline):
    """Decide between another attempt and an error for the caller.

    Parameters
    ----------
    attempt : Attempt
        The failed attempt.
    now, deadline : float
        Monotonic seconds.

    Returns
    -------
    Retry or Failure
        Another attempt, or the error for the caller.

    Notes
    -----
    A statement is retried only if it is certain that it did not run, or if it
    is repeatable and no part of its answer has reached the caller. Nothing is
    retried inside a transaction, because its earlier statements are rolled
    back with the connection.
    """
    kinds = _errors.ErrorKind
    phase = attempt.phase
    if attempt.in_transaction:
        not_run = phase in (Phase.NOT_SENT, Phase.REFUSED)
        if attempt.commits and not not_run:
            return _errors.Failure(_connection_loss_kind(phase))
        return _errors.Failure(kinds.TRANSACTION_LOST)
    not_run = phase in (Phase.NOT_SENT, Phase.REFUSED)
    unanswered = not_run or phase in (Phase.SENT, Phase.ACKNOWLEDGING)
    if unanswered and (not_run or attempt.repeatable) and now < deadline:
        return Retry(on_primary=phase is Phase.REFUSED)
    if not_run:
        return _errors.Failure(expiry_kind(attempt))
    return _errors.Failure(_connection_loss_kind(phase))


def expiry_kind(attempt):
    """Return the error kind for a statement whose deadline has passed.

    Parameters
    ----------
    attempt : Attempt
        The attempt in progress at the deadline.

    Returns
    -------
    ErrorKind
        A kind that reports "not run" only if no attempt can have taken effect.
    """
    kinds = _errors.ErrorKind
    not_run = attempt.phase in (Phase.NOT_SENT, Phase.REFUSED)
    if attempt.phase is Phase.ACKNOWLEDGING:
        return kinds.ACKNOWLEDGEMENT_LOST
    if attempt.in_transaction and (not_run or not attempt.commits):
        return kinds.TRANSACTION_EXPIRED
    if not_run and not attempt.earlier_unknown:
        return kinds.DEADLINE_BEFORE_RUN
    return kinds.DEADLINE_AFTER_SEND


def classify_survival(lower, upper, holds_after_lower, holds_upper):
    """Determine whether a write is in the log of a primary of a later term.

    Parameters
    ----------
    lower : Position or None
        Position that the old primary reported before the write was sent.
    upper : Position or None
        Position that it reported after the commit.
    holds_after_lower : bool or None
        Whether the log contains the entry after `lower`; None if unknown.
    holds_upper : bool or None
        Whether the log contains the entry at `upper`; None if unknown.

    Returns
    -------
    Survival
        Whether the write is in that log.

    Notes
    -----
    A log that contains the entry at `upper` contains all entries before it. If
    both positions belong to the same term, the write is an entry of that term
    above `lower`; a log without the entry after `lower` contains no such entry.
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
