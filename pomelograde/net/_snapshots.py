"""Snapshots of the configuration in the platform's object store."""

import attrs

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
    """Read the snapshot; returns a Result of `Snapshot` or None."""
    answer = await client.get_object(OBJECT_NAME)
    if answer.is_err() or answer.ok_value is None:
        return answer
    value = answer.ok_value
    rows = [platform.Row(**row) for row in value["rows"]]
    batch = _rows.read_batch(rows, 0, on_rejected)
    revision_row = _rows.read_revision_row(rows)
    return answer.map(lambda _: Snapshot(batch, revision_row, value["table_version"]))


async def store(client, on_rejected):
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
    table_version, rows = answer.ok_value
    batch = _rows.read_batch(rows, 0, on_rejected)
    if batch is None:
        return None
    value = {
        "table_version": table_version,
        "rows": [attrs.asdict(row) for row in rows],
    }
    stored = await client.put_object(OBJECT_NAME, value)
    if stored.is_err():
        return None
    await _drop_deletion_records(client, rows)
    return batch.revision


async def _drop_deletion_records(client, rows):
    """Delete the deletion records older than the last `RETAINED_REVISIONS`.

    An instance that is further behind replaces its configuration by a whole
    state. Nothing is deleted if a change was committed after the rows were
    read; the next snapshot tries again.
    """
    revision_row = _rows.read_revision_row(rows)
    horizon = revision_row.revision - RETAINED_REVISIONS
    obsolete = [
        row
        for row in rows
        if row.key != _rows.REVISION_KEY
        and row.value is not None
        and row.value["spec"] is None
        and row.value["revision"] <= horizon
    ]
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
        + [platform.Write(row.key, None) for row in obsolete],
    )
