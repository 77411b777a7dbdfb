"""Parser of the rows in which members register in the platform's store."""

import json

from pomelograde.core import placement
from pomelograde.platform import settings

MEMBERS_TABLE = "servers"
ROLE_BY_NAME = {"primary": placement.Role.PRIMARY, "replica": placement.Role.REPLICA}
LEAVING_BY_STATE = {"ready": False, "draining": True}


def parse_members(rows):
    """Parse the rows of the members' table.

    Parameters
    ----------
    rows : iterable of Row
        Rows of the members' table.

    Returns
    -------
    dict of str to list of Member
        Members by database service. Invalid rows are skipped: the table has
        other writers as well.
    """
    found = {}
    for row in rows:
        entry = _parse_member(row)
        if entry is not None:
            service, member = entry
            found.setdefault(service, []).append(member)
    return found


def _parse_member(row):
    """Return the service and the Member of a row, or None if it is invalid."""
    try:
        fields = json.loads(row.value)
        host, port = settings.parse_address(fields["address"])
        member = placement.Member(
            name=row.key,
            data_centre=fields["zone"],
            host=host,
            port=port,
            role=ROLE_BY_NAME[fields["dbRole"]],
            leaving=LEAVING_BY_STATE[fields["state"]],
            slots=fields["slots"],
            started_ms=fields.get("born", 0),
        )
        service = fields["service"]
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
    strings = (service, member.data_centre)
    numbers = (member.slots, member.started_ms)
    if not all(type(string) is str and string for string in strings):
        return None
    if not all(type(number) is int for number in numbers) or not row.key.isascii():
        return None
    return service, member
