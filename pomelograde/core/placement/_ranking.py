"""Choice of the upstream member for a read."""

import attrs

FAR_COST_FACTOR = 3.0  # outstanding reads that another data centre counts as
BEHIND_HINT_AGE_S = 0.02


@attrs.define
class MemberView:
    """What an instance knows of one upstream member.

    Attributes
    ----------
    name : str
        Name of the member.
    data_centre : str
        Data centre of the member.
    position : Position or None
        Last position that the member reported; a hint, never a proof.
    position_at : float
        When the position was reported, in monotonic seconds.
    reachable : bool
        Whether connections to the member work.
    leaving : bool
        Whether the member is being taken out.
    outstanding : int
        Statements that this instance has sent and not seen answered.
    sent : int
        Statements that this instance has sent.
    """

    name: str
    data_centre: str
    position: object = None
    position_at: float = 0.0
    reachable: bool = True
    leaving: bool = False
    outstanding: int = 0
    sent: int = 0


def covers(position, required):
    """Return whether a member at `position` may serve a session.

    Parameters
    ----------
    position : Position or None
        Position of the member.
    required : Position or None
        Lowest position that the session may read from.
    """
    if required is None:
        return True
    return position is not None and position >= required


def rank_replicas(members, primary, required, data_centre, now):
    """Order the replicas for a read, best first.

    Parameters
    ----------
    members : list of MemberView
        Members of the group.
    primary : str or None
        Name of the primary, which is left out.
    required : Position or None
        Lowest position that the session may read from.
    data_centre : str
        Data centre of this instance.
    now : float
        Monotonic seconds.

    Returns
    -------
    list of MemberView
        Replicas that may serve the read: first those whose hint covers it,
        then those whose hint is behind but too old to tell. One that was
        behind just now is left out.
    """
    scored = []
    for member in members:
        if member.name == primary or member.leaving or not member.reachable:
            continue
        behind = not covers(member.position, required)
        if behind and now - member.position_at <= BEHIND_HINT_AGE_S:
            continue
        near = member.data_centre == data_centre
        cost = (member.outstanding + 1) * (1.0 if near else FAR_COST_FACTOR)
        scored.append((behind, cost, member.sent, member.name, member))
    if len(scored) > 1:
        scored.sort()
    return [entry[4] for entry in scored]
