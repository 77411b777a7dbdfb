"""Ranking of upstream members for reads."""

import attrs

# A read in another data centre costs as much as this many local reads.
REMOTE_COST_FACTOR = 3.0
LAG_REPORT_MAX_AGE_S = 0.02  # a replica that lagged in an older report is tried again


@attrs.define
class MemberView:
    """An upstream member as seen by one instance.

    Attributes
    ----------
    name : str
        Name of the member.
    data_centre : str
        Data centre of the member.
    position : Position or None
        Last position that the member reported. It is only a hint: the member
        itself checks whether it has reached a required position.
    position_at : float
        Monotonic time of the report (set by `failover.GroupView`), or of the
        request that it answered (set by `Group`).
    reachable : bool
        Whether connections to the member work.
    leaving : bool
        Whether the member is being taken out of service.
    outstanding : int
        Number of statements from this instance that await an answer.
    sent : int
        Number of statements sent by this instance.
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
    """Return whether a member at `position` may serve a read.

    Parameters
    ----------
    position : Position or None
        Position of the member.
    required : Position or None
        Lowest position that the read accepts; None if any will do.
    """
    if required is None:
        return True
    return position is not None and position >= required


def rank_replicas(members, primary, required, data_centre, now):
    """Return the replicas that may serve a read, best first.

    Parameters
    ----------
    members : list of MemberView
        Members of the group.
    primary : str or None
        Name of the primary, which is excluded.
    required : Position or None
        Lowest position that the read accepts; None if any will do.
    data_centre : str
        Data centre of this instance.
    now : float
        Monotonic seconds.

    Returns
    -------
    list of MemberView
        Replicas whose last reported position covers `required`, followed by
        those that were behind at their last report but may have caught up
        since. Replicas with a recent report of being behind are excluded.

    Notes
    -----
    Used for PostgreSQL members. `Group.rank_members` ranks members of a hosting
    platform, where a replica that lags is excluded by a back-off.
    """
    ranked = []
    for member in members:
        if member.name == primary or member.leaving or not member.reachable:
            continue
        behind = not covers(member.position, required)
        if behind and now - member.position_at <= LAG_REPORT_MAX_AGE_S:
            continue
        is_local = member.data_centre == data_centre
        cost = (member.outstanding + 1) * (1.0 if is_local else REMOTE_COST_FACTOR)
        ranked.append((behind, cost, member.sent, member.name, member))
    if len(ranked) > 1:
        ranked.sort()
    return [entry[4] for entry in ranked]
