"""What the promoter of a group is told, and what it asks for."""

import attrs

from pomelograde.core.failover import _group
from pomelograde.core.sessions import _bookmark


@attrs.frozen
class StatusReceived:
    """A member answered with its status."""

    status: _group.MemberStatus


@attrs.frozen
class ProbeFailed:
    """A kept connection to a member broke or gave no answer in time."""

    member: str


@attrs.frozen
class MemberUnreachable:
    """A fresh connection to a member failed as well."""

    member: str


@attrs.frozen
class WitnessesAnswered:
    """The witnesses have answered, or can't be reached.

    Attributes
    ----------
    member : str
        Member that they were asked about.
    reachable : bool
        Whether the member is to be taken as alive.
    """

    member: str
    reachable: bool


@attrs.frozen
class FenceAnswered:
    """A member answered a fence request.

    Attributes
    ----------
    member : str
        Who answered.
    term : int
        Term of the request.
    accepted : bool
        Whether the member is fenced for this promoter.
    fenced_term : int
        Highest term that it has accepted.
    position : Position
        Last entry that it holds.
    """

    member: str
    term: int
    accepted: bool
    fenced_term: int
    position: _bookmark.Position


@attrs.frozen
class PromoteAnswered:
    """A member answered a promotion, or failed to."""

    member: str
    term: int
    done: bool


@attrs.frozen
class Tick:
    """Time has passed."""


@attrs.frozen
class ProbeNewConnection:
    """Ask a member for its status over a fresh connection."""

    member: str


@attrs.frozen
class QueryWitnesses:
    """Ask instances in other data centres whether they reach a member."""

    member: str


@attrs.frozen
class Fence:
    """Ask a member to refuse all terms below this one."""

    member: str
    term: int


@attrs.frozen
class Promote:
    """Make a fenced member the primary of a term."""

    member: str
    term: int


@attrs.frozen
class Follow:
    """Make a member follow the primary of a term."""

    member: str
    term: int
    leader: str


@attrs.frozen
class PublishPrimary:
    """Tell peers, and then the platform, who leads."""

    term: int
    primary: str
