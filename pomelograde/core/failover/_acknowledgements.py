"""Resolves the writes that wait until a majority of members holds them."""

import enum

import attrs

from pomelograde.core.sessions import _bookmark


class Outcome(enum.Enum):
    """Outcome of a write that waited for its acknowledgement.

    Attributes
    ----------
    HELD
        The write is durable: every later primary has it.
    DISCARDED
        The entry at the write's position is in the log of no later primary and
        never will be. The position may have been read after further writes, so
        this says nothing about entries before it.
    UNKNOWN
        The write may be durable or lost.
    """

    HELD = "held"
    DISCARDED = "discarded"
    UNKNOWN = "unknown"


@attrs.define(eq=False)
class PendingWrite:
    """A write that ran on a primary and is not acknowledged yet.

    Attributes
    ----------
    position : Position
        Position of the write, or of a later write on the same primary.
    member : str
        Member that the write ran on.
    deadline : float
        Monotonic time, in seconds, after which the outcome is UNKNOWN.
    context : object
        Opaque object of the caller, returned in the `WriteResult`.
    """

    position: _bookmark.Position
    member: str
    deadline: float
    context: object = None


@attrs.frozen
class WriteResult:
    """Outcome of one write, to be reported to the caller that added it."""

    write: PendingWrite
    outcome: Outcome


@attrs.frozen
class WaitForMajority:
    """Ask the primary to wait until a majority holds a position."""

    position: _bookmark.Position


@attrs.frozen
class QueryEntry:
    """Ask the primary of a later term whether its log has an entry."""

    position: _bookmark.Position


class AcknowledgementQueue:
    """Writes of one group that wait for their acknowledgement.

    Parameters
    ----------
    view : GroupView
        Known state of the group.

    Attributes
    ----------
    confirmed_term : int
        Last term in which a majority is known to hold an entry of the term itself;
        0 if none is known.

    Notes
    -----
    An entry of the current term is durable once a majority holds it. An entry
    of an earlier term is looked up in the log of the current primary, and only
    after a majority holds an entry of that primary's own term: from then on
    every later primary has the same log up to that entry.
    """

    def __init__(self, view):
        self.view = view
        self.pending = []
        self.confirmed_term = 0

    def add(self, write):
        """Add a write."""
        self.pending.append(write)

    def next_query(self):
        """Return the next query for the known primary, or None."""
        if not self.pending or self.view.primary is None:
            return None
        first = min(write.position for write in self.pending)
        if first.term >= self.view.term:
            return WaitForMajority(first)
        if self.confirmed_term != self.view.term:
            # Any entry of the term will do; all of them are at or above (term, 1).
            return WaitForMajority(_bookmark.Position(self.view.term, 1))
        return QueryEntry(first)

    def on_majority_answer(self, member, held):
        """Handle the answer to `WaitForMajority`.

        Parameters
        ----------
        member : str
            Member that answered.
        held : Position
            Last position that a majority holds.

        Returns
        -------
        list of WriteResult
            Results of the writes that this resolves.
        """
        if held.term == self.view.term and member == self.view.primary:
            self.confirmed_term = held.term
        if held.term < self.view.term:
            return []

        def is_resolved(write):
            position = write.position
            return position.term == held.term and position.index <= held.index

        return self._resolve(
            is_resolved,
            lambda write: Outcome.HELD if write.member == member else Outcome.UNKNOWN,
        )

    def on_entry_answer(self, member, position, is_held):
        """Handle the answer to `QueryEntry`.

        Parameters
        ----------
        member : str
            Member that answered. Only an answer of the known primary counts,
            since a replaced primary still has entries that the group has
            discarded.
        position : Position
            Position of the entry.
        is_held : bool
            Whether the member's log has the entry.

        Returns
        -------
        list of WriteResult
            Results of the writes that this resolves.
        """
        if member != self.view.primary or self.confirmed_term != self.view.term:
            return []
        if position.term >= self.view.term:
            return []
        outcome = Outcome.HELD if is_held else Outcome.DISCARDED

        def is_resolved(write):
            if write.position.term != position.term:
                return False
            if is_held:
                return write.position.index <= position.index
            return write.position.index >= position.index

        return self._resolve(
            is_resolved,
            lambda write: outcome if self._ran_on_primary(write) else Outcome.UNKNOWN,
        )

    def expire(self, now):
        """Return the results of the writes whose deadline has passed."""
        return self._resolve(
            lambda write: write.deadline <= now, lambda write: Outcome.UNKNOWN
        )

    def _ran_on_primary(self, write):
        """Return whether the write's member was the primary of the write's term."""
        return self.view.primaries_by_term.get(write.position.term) == write.member

    def _resolve(self, is_resolved, outcome_of):
        resolved = [write for write in self.pending if is_resolved(write)]
        if resolved:
            self.pending = [write for write in self.pending if not is_resolved(write)]
        return [WriteResult(write, outcome_of(write)) for write in resolved]
