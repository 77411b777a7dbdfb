"""Events that a promoter handles and actions that it returns."""

import attrs

from pomelograde.core.failover import _group
from pomelograde.core.sessions import _bookmark


@attrs.frozen
class StatusReceived:
    """Event: a member answered a probe with its status."""

    status: _group.MemberStatus


@attrs.frozen
class ProbeFailed:
    """Event: a probe over the open connection to a member failed or timed out."""

    member: str


@attrs.frozen
class MemberUnreachable:
    """Event: a probe of a member over a new connection failed as well."""

    member: str


@attrs.frozen
class WitnessesAnswered:
    """Event: the witnesses have answered or can't be reached.

    Attributes
    ----------
    member : str
        Member that they were asked about.
    reachable : bool
        Whether the member counts as reachable; see `combine_witness_reports`.
    """

    member: str
    reachable: bool


@attrs.frozen
class FenceAnswered:
    """Event: a member answered a fence request.

    Attributes
    ----------
    member : str
        Member that answered.
    term : int
        Term of the request.
    accepted : bool
        Whether the member accepted the term for this promoter.
    fenced_term : int
        Highest term that the member is fenced for.
    position : Position
        Last entry in the member's log.
    """

    member: str
    term: int
    accepted: bool
    fenced_term: int
    position: _bookmark.Position


@attrs.frozen
class PromoteAnswered:
    """Event: a member answered a promotion request, or the request failed."""

    member: str
    term: int
    done: bool


@attrs.frozen
class Tick:
    """Event: time has passed."""


@attrs.frozen
class ProbeNewConnection:
    """Action: ask a member for its status over a new connection."""

    member: str


@attrs.frozen
class QueryWitnesses:
    """Action: ask instances in other data centres whether they reach a member."""

    member: str


@attrs.frozen
class Fence:
    """Action: ask a member to refuse all terms below this one."""

    member: str
    term: int


@attrs.frozen
class Promote:
    """Action: make a fenced member the primary of a term."""

    member: str
    term: int


@attrs.frozen
class Follow:
    """Action: make a member follow the primary of a term."""

    member: str
    term: int
    leader: str


@attrs.frozen
class PublishPrimary:
    """Action: announce a new primary to the peers and then to the platform."""

    term: int
    primary: str
