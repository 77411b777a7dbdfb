"""Faults of members, as the stand-ins switch them."""

NO_FAULTS = {"killed": False, "paused": False, "cut_hosts": [], "cut_members": []}


def fail_member(fleet, service, member, kind):
    """Switch a fault of a member on.

    Parameters
    ----------
    fleet : Fleet
        Where.
    service, member : str
        Which member.
    kind : str
        "killed", "paused" or "isolated". An isolated member is cut off from
        the other members and from the instances of other data centres.
    """
    fleet.change_member(service, member, faults=values(fleet, service, member, kind))


def restore_member(fleet, service, member):
    """Switch all faults of a member off."""
    fleet.change_member(service, member, faults=NO_FAULTS)


def values(fleet, service, member, kind):
    """Return the faults that make up a kind, as a JSON value."""
    if kind != "isolated":
        return {kind: True}
    found = {one["name"]: one for one in fleet.members(service)}
    place = found[member]["data_centre"]
    hosts = [prefix for name, prefix in fleet.prefixes.items() if name != place]
    others = [name for name in found if name != member]
    return {"cut_hosts": hosts, "cut_members": others}
