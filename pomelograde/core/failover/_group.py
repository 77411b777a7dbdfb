"""State of a group of PostgreSQL members as this instance knows it.

The daemon for a hosting platform keeps this state in `core.placement.Group`.
"""

import attrs

from pomelograde.core.placement import _ranking
from pomelograde.core.sessions import _bookmark

MAX_REMEMBERED_TERMS = 32
TERM_LIMIT = 2**63  # what a BIGINT column of the members can hold


@attrs.frozen
class MemberStatus:
    """Status that a member reports about itself.

    Attributes
    ----------
    name : str
        Name of the member.
    role : str
        "primary", "replica" or "fenced".
    term : int
        Term in which the member is the primary or follows one.
    fenced_term : int
        Highest term that the member is fenced for; it refuses lower ones.
    position : Position
        Last entry in the member's log.
    leader : str
        Member that it follows, or its own name.
    leaving : bool
        Whether the member is being removed from the group.
    """

    name: str
    role: str
    term: int
    fenced_term: int
    position: _bookmark.Position
    leader: str
    leaving: bool = False


@attrs.define
class GroupView:
    """Members, term and primary of a group, as far as known.

    Attributes
    ----------
    name : str
        Name of the database service.
    members : dict of str to MemberView
        Members by name.
    term : int
        Highest term whose primary is or was known.
    primary : str or None
        Primary of that term; None if unknown or fenced for a later term.
    deposed_term : int
        Highest term whose primary is known to be fenced for a later one.
    primaries_by_term : dict of int to str
        Primaries of the latest terms, at most `MAX_REMEMBERED_TERMS`.
    leaving : set of str
        Members that operators are removing from the group.
    """

    name: str
    members: dict[str, _ranking.MemberView]
    term: int = 0
    primary: str | None = None
    deposed_term: int = 0
    primaries_by_term: dict[int, str] = attrs.field(factory=dict)
    leaving: set[str] = attrs.field(factory=set)

    def apply(self, status, now):
        """Update the view from a member's status.

        Returns
        -------
        bool
            Whether the known primary changed.
        """
        view = self.members.get(status.name)
        if view is None:
            return False
        view.position = status.position
        view.position_at = now
        view.reachable = True
        view.leaving = status.leaving or status.name in self.leaving
        if status.role == "primary":
            return self.update_primary(status.term, status.name)
        if status.name == self.primary and status.fenced_term > self.term:
            self.primary = None
            self.deposed_term = self.term
            return True
        if status.role == "replica" and status.leader != status.name:
            return self.update_primary(status.term, status.leader)
        return False

    def update_primary(self, term, primary):
        """Record `primary` as the primary of `term`; earlier terms are ignored.

        Returns
        -------
        bool
            Whether the known primary changed.
        """
        if term < self.term or (term == self.term and self.primary is not None):
            return False
        if term <= self.deposed_term:
            return False
        if primary not in self.members:
            return False
        changed = (term, primary) != (self.term, self.primary)
        self.term = term
        self.primary = primary
        self.primaries_by_term[term] = primary
        if len(self.primaries_by_term) > MAX_REMEMBERED_TERMS:
            del self.primaries_by_term[min(self.primaries_by_term)]
        return changed


def majority(count):
    """Return the number of members that make a majority of `count`."""
    return count // 2 + 1
