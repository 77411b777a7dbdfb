"""Regions that a statement may reach."""


def intersect_regions(*allowances):
    """Return the regions that several allowances permit together.

    Parameters
    ----------
    *allowances : frozenset of str
        Regions that each of them allows; an empty one allows all.

    Returns
    -------
    frozenset of str or None
        The regions that all of them allow, possibly none; None if each of them
        allows all.
    """
    allowed = None
    for regions in allowances:
        if regions:
            allowed = regions if allowed is None else allowed & regions
    return allowed


def is_placeable(group, regions, needs_primary):
    """Return whether a member may serve a statement, now or soon.

    Parameters
    ----------
    group : Group
        Database service of the statement.
    regions : frozenset of str or None
        Regions that the statement may reach; None if all.
    needs_primary : bool
        Whether only the primary may run it.

    Returns
    -------
    bool
        False if no registered member may get the statement, or if only the
        primary may run it, which is elsewhere and is not being replaced.

    Notes
    -----
    A member that does not answer or lags behind counts: waiting for it helps. An
    evacuated primary counts as being replaced.
    """
    if regions is None:
        return True  # Group.is_evacuated and is_primary_closed tell of the others.
    permitted = any(group.permits(member, regions) for member in group.members.values())
    if not permitted:
        return False
    primary = group.members.get(group.primary) if needs_primary else None
    if primary is None or group.is_primary_blocked:
        return True
    return group.permits(primary, regions) or primary.data_centre in group.evacuated
