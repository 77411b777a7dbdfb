"""The members' own rows in the platform's store."""

import json

from pomelograde.core import placement
from pomelograde.platform import settings

TABLE = "servers"
ROLES = {"primary": placement.Role.PRIMARY, "replica": placement.Role.REPLICA}
STATES = {"ready": False, "draining": True}


def read_members(rows):
    """Read the members out of rows.

    Parameters
    ----------
    rows : iterable of Row
        Rows of the members' table.

    Returns
    -------
    dict of str to list of Member
        Members by database service. Rows of other writers name none.
    """
    found = {}
    for row in rows:
        entry = _read_member(row)
        if entry is not None:
            service, member = entry
            found.setdefault(service, []).append(member)
    return found


def _read_member(row):
    """Return the service and the Member that a row names, or None."""
    try:
        body = json.loads(row.value)
        host, port = settings.read_address(body["address"])
        member = placement.Member(
            name=row.key,
            data_centre=body["zone"],
            host=host,
            port=port,
            role=ROLES[body["dbRole"]],
            leaving=STATES[body["state"]],
            slots=body["slots"],
            started_ms=body.get("born", 0),
        )
        service = body["service"]
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
    texts = (service, member.data_centre)
    numbers = (member.slots, member.started_ms)
    if not all(type(text) is str and text for text in texts):
        return None
    if not all(type(number) is int for number in numbers) or not row.key.isascii():
        return None
    return service, member
