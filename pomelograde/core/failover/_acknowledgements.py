"""Which writes wait for a majority of members, and what to ask for them."""

import enum

import attrs

from pomelograde.core.sessions import _bookmark


class Outcome(enum.Enum):
    """What became of a write that waited.

    Attributes
    ----------
    HELD
        The group holds it for good.
    DISCARDED
        The entry at its position is in no later primary's log and never will
        be. The position may have been read after further writes, so this says
        nothing of an earlier entry.
    UNKNOWN
        Neither is certain.
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
        Position of the write, or of a later one of the same primary.
    member : str
        Member that it ran on.
    deadline : float
        Monotonic seconds.
    context : object
        What the caller wants back.
    """

    position: _bookmark.Position
    member: str
    deadline: float
    context: object = None


@attrs.frozen
class Settle:
    """Answer a write."""

    write: PendingWrite
    outcome: Outcome


@attrs.frozen
class WaitForMajority:
    """Ask the primary to wait until a majority holds a position."""

    position: _bookmark.Position


@attrs.frozen
class QueryEntry:
    """Ask the primary of a later term whether it has an entry."""

    position: _bookmark.Position


class AcknowledgementQueue:
    """Writes of one group that wait for their acknowledgement.

    Parameters
    ----------
    view : GroupView
        What is known of the group.

    Notes
    -----
    An entry of the term that a primary leads is held for good once a majority
    has it. An entry of an earlier term is judged by the log of the later
    primary, and only after a majority holds an entry of that primary's own
    term: from then on every later primary has the same log up to there.
    """

    def __init__(self, view):
        self.view = view
        self.pending = []
        self.confirmed_term = 0

    def add(self, write):
        """Add a write."""
        self.pending.append(write)

    def next_query(self):
        """Return what to ask the known primary next, or None."""
        if not self.pending or self.view.primary is None:
            return None
        first = min(write.position for write in self.pending)
        if first.term >= self.view.term:
            return WaitForMajority(first)
        if self.confirmed_term != self.view.term:
            return WaitForMajority(_bookmark.Position(self.view.term, 1))
        return QueryEntry(first)

    def on_majority(self, member, held):
        """Take in the position that a majority holds, as a primary says.

        Returns
        -------
        list of Settle
            Answers for the writes that this decides.
        """
        if held.term == self.view.term and member == self.view.primary:
            self.confirmed_term = held.term
        if held.term < self.view.term:
            return []

        def decided(write):
            position = write.position
            return position.term == held.term and position.index <= held.index

        return self._settle(
            decided,
            lambda write: Outcome.HELD if write.member == member else Outcome.UNKNOWN,
        )

    def on_holds(self, member, position, is_held):
        """Take in whether the primary of a later term has an entry.

        Parameters
        ----------
        member : str
            Member that answered; only the known primary is believed, since a
            replaced one still has entries that the group has discarded.
        position : Position
            Position of the entry.
        is_held : bool
            Whether the member has it.

        Returns
        -------
        list of Settle
            Answers for the writes that this decides.
        """
        if member != self.view.primary or self.confirmed_term != self.view.term:
            return []
        if position.term >= self.view.term:
            return []
        outcome = Outcome.HELD if is_held else Outcome.DISCARDED

        def decided(write):
            if write.position.term != position.term:
                return False
            if is_held:
                return write.position.index <= position.index
            return write.position.index >= position.index

        return self._settle(
            decided,
            lambda write: outcome if self._led(write) else Outcome.UNKNOWN,
        )

    def expire(self, now):
        """Return the answers for the writes whose deadline has passed."""
        return self._settle(
            lambda write: write.deadline <= now, lambda write: Outcome.UNKNOWN
        )

    def _led(self, write):
        """Return whether the write's member is known to have led in its term."""
        return self.view.leaders.get(write.position.term) == write.member

    def _settle(self, decided, outcome_of):
        settled = [write for write in self.pending if decided(write)]
        if settled:
            self.pending = [write for write in self.pending if not decided(write)]
        return [Settle(write, outcome_of(write)) for write in settled]
