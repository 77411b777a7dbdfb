"""Parser of the rows in which members register in the platform's store."""

from pomelograde.core import placement
from pomelograde.platform import _json, _rows, settings

MEMBERS_TABLE = "servers"
ROLE_BY_NAME = {"primary": placement.Role.PRIMARY, "replica": placement.Role.REPLICA}
LEAVING_BY_STATE = {"ready": False, "draining": True}
MAX_SLOTS = (1 << 16) - 1  # as the messages between instances hold them
MAX_START_TIME_MS = (1 << 63) - 1
MAX_COLD_MS = (1 << 53) - 1


def parse_members(rows):
    """Parse the rows of the members' table.

    Parameters
    ----------
    rows : iterable of Row or InvalidRow
        Rows of the members' table.

    Returns
    -------
    members : dict of str to list of Member
        Members by database service.
    invalid : list of InvalidRow
        Rows that were skipped: the table has other writers as well.
    """
    entries, invalid = _rows.select_valid(
        _rows.decode(row, _decode_member) for row in rows
    )
    members = {}
    for service, member in entries:
        members.setdefault(service, []).append(member)
    return members, invalid


def _decode_member(row):
    """Return the service and the Member of a row."""
    fields = {"coldRemainingMs": 0, "born": 0, **_json.parse_object(row.value)}
    read = _json.read
    host, port = read(fields, "address", settings.parse_address)
    member = placement.Member(
        name=read({"key": row.key}, "key", _json.require_token),
        data_centre=read(fields, "zone", _json.require_name),
        host=host,
        port=port,
        role=read(fields, "dbRole", _json.require_choice, ROLE_BY_NAME),
        leaving=read(fields, "state", _json.require_choice, LEAVING_BY_STATE),
        slots=read(fields, "slots", _json.require_integer, MAX_SLOTS, 1),
        is_cold=read(fields, "coldRemainingMs", _json.require_number, MAX_COLD_MS) > 0,
        started_ms=read(fields, "born", _json.require_integer, MAX_START_TIME_MS),
    )
    if not row.key.isascii():
        raise ValueError("key: expected ASCII characters")
    return read(fields, "service", _json.require_token), member
