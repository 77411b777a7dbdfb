"""Snapshots of the configuration in the platform's object store."""

import attrs
import result

from pomelograde.core import resources
from pomelograde.net import _rows, platform

OBJECT_NAME = "configuration-snapshot"
SNAPSHOT_INTERVAL_REVISIONS = 64
RETAINED_REVISIONS = 1024  # deletion records of older revisions are dropped


@attrs.frozen
class Snapshot:
    """A configuration and the table version at which it was read.

    Attributes
    ----------
    batch : Batch
        The whole state.
    revision_row : RevisionRow
        Revision row at that version.
    table_version : int
        Version of the table. Rows written after it must be read in addition.
    """

    batch: resources.Batch
    revision_row: _rows.RevisionRow
    table_version: int


async def load(client, on_rejected):
    """Read the snapshot; returns a Result of `Snapshot` or None.

    Notes
    -----
    One that can't be used counts for none; then the whole table is read.
    """
    answer = await client.get_object(OBJECT_NAME)
    if answer.is_err() or answer.ok_value is None:
        return answer
    snapshot = _decode(answer.ok_value, on_rejected)
    if snapshot.is_err():
        on_rejected(OBJECT_NAME, snapshot.err_value)
    return result.Ok(snapshot.ok())


def _decode(value, on_rejected):
    """Return the Result of the `Snapshot` of a stored value, or why it has none."""
    if not isinstance(value, dict) or not isinstance(value.get("rows"), list):
        return result.Err("has no list of rows")
    table_version = value.get("table_version")
    if type(table_version) is not int or table_version < 0:
        return result.Err("has no valid table version")
    rows = []
    for item in value["rows"]:
        row = platform.decode_row(item)
        if row.is_err():
            return row
        rows.append(row.ok_value)
    revision_row = _read_revision_row(rows)
    if revision_row.is_err():
        return revision_row
    batch = _rows.read_batch(platform.TableRead(table_version, rows), 0, on_rejected)
    return result.Ok(Snapshot(batch, revision_row.ok_value, table_version))


def _read_revision_row(rows):
    row = _rows.find_revision_row(rows)
    if row is None:
        return result.Err("has no revision row")
    return _rows.read_revision_row(row)


async def store(client):
    """Store a snapshot of the current table; returns its revision or None.

    Notes
    -----
    The rows are read in one request, which the platform answers from one
    version of the table. An older snapshot that overwrites a newer one does
    no harm, because readers also read the rows written after its table
    version.
    """
    answer = await client.rows(_rows.PREFIX)
    if answer.is_err():
        return None
    rows = answer.ok_value.rows
    revision_row = _read_revision_row(rows)
    if revision_row.is_err():
        return None
    value = {
        "table_version": answer.ok_value.version,
        "rows": [attrs.asdict(row) for row in rows],
    }
    stored = await client.put_object(OBJECT_NAME, value)
    if stored.is_err():
        return None
    await _drop_deletion_records(client, rows, revision_row.ok_value)
    return revision_row.ok_value.revision


async def _drop_deletion_records(client, rows, revision_row):
    """Delete the deletion records older than the last `RETAINED_REVISIONS`.

    An instance that is further behind replaces its configuration by a whole
    state. Nothing is deleted if a change was committed after the rows were
    read; the next snapshot tries again.
    """
    horizon = revision_row.revision - RETAINED_REVISIONS
    obsolete = _rows.find_deletions(rows, horizon)
    if not obsolete:
        return
    value = {
        "revision": revision_row.revision,
        "horizon": horizon,
        "recent": [list(pair) for pair in revision_row.recent.items()],
    }
    await client.commit(
        [platform.Condition(_rows.REVISION_KEY, revision_row.version)],
        [platform.Write(_rows.REVISION_KEY, value)]
        + [platform.Write(key, None) for key in obsolete],
    )
