"""Faults of members, injected through the control address of the stand-ins."""

NO_FAULTS = {"killed": False, "paused": False, "cut_hosts": [], "cut_members": []}


def fail_member(fleet, service, member, kind):
    """Inject a fault into a member.

    Parameters
    ----------
    fleet : Fleet
        Fleet of the member.
    service, member : str
        Database and name of the member.
    kind : str
        "killed", "paused" or "isolated". An isolated member is cut off from
        the other members and from the instances of other data centres.
    """
    fleet.change_member(
        service, member, faults=fault_values(fleet, service, member, kind)
    )


def restore_member(fleet, service, member):
    """Clear all faults of a member."""
    fleet.change_member(service, member, faults=NO_FAULTS)


def fault_values(fleet, service, member, kind):
    """Return the stand-in's fault settings for a kind, as a JSON value."""
    if kind != "isolated":
        return {kind: True}
    members = {one["name"]: one for one in fleet.members(service)}
    data_centre = members[member]["data_centre"]
    hosts = [prefix for name, prefix in fleet.prefixes.items() if name != data_centre]
    others = [name for name in members if name != member]
    return {"cut_hosts": hosts, "cut_members": others}
