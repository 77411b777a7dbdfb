"""What an instance knows of a database group."""

import attrs

from pomelograde.core.placement import _ranking
from pomelograde.core.sessions import _bookmark

MAX_LEADERS = 32


@attrs.frozen
class MemberStatus:
    """A member's answer about itself.

    Attributes
    ----------
    name : str
        Name of the member.
    role : str
        "primary", "replica" or "fenced".
    term : int
        Term that the member follows or leads.
    fenced_term : int
        Highest term that it was fenced for.
    position : Position
        Last entry that it holds.
    leader : str
        Member that it follows, or itself.
    leaving : bool
        Whether it is being taken out.
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
    """Members, term and primary of a group, as known here.

    Attributes
    ----------
    name : str
        Name of the database service.
    members : dict of str to MemberView
        Members by name.
    term : int
        Highest term that a primary is known for.
    primary : str or None
        Primary of that term, or None while none is known.
    deposed_term : int
        Highest term whose primary is known to be fenced for a later one.
    leaders : dict of int to str
        Primaries of the last terms.
    withdrawn : set of str
        Members that operators are taking out.
    """

    name: str
    members: dict[str, _ranking.MemberView]
    term: int = 0
    primary: str | None = None
    deposed_term: int = 0
    leaders: dict[int, str] = attrs.field(factory=dict)
    withdrawn: set[str] = attrs.field(factory=set)

    def apply(self, status, now):
        """Take in what a member said of itself.

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
        view.leaving = status.leaving or status.name in self.withdrawn
        if status.role == "primary":
            return self.learn(status.term, status.name)
        if status.name == self.primary and status.fenced_term > self.term:
            self.primary = None
            self.deposed_term = self.term
            return True
        if status.role == "replica" and status.leader != status.name:
            return self.learn(status.term, status.leader)
        return False

    def learn(self, term, primary):
        """Take in that `primary` leads in `term`; older terms are ignored.

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
        self.leaders[term] = primary
        if len(self.leaders) > MAX_LEADERS:
            del self.leaders[min(self.leaders)]
        return changed


def majority(count):
    """Return how many members of `count` make a majority."""
    return count // 2 + 1
