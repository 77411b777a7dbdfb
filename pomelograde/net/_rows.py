"""Encoding of configuration changes as platform table rows and peer messages."""

import json

import attrs
import result

from pomelograde.core import resources
from pomelograde.net import peer_messages, platform

PREFIX = "config/"
REVISION_KEY = "config/revision"
RECENT_CHANGES = 64  # number of change ids kept in the revision row


@attrs.frozen
class RevisionRow:
    """The row that every change is conditional on.

    Attributes
    ----------
    revision : int
        Revision of the latest change.
    horizon : int
        Highest revision whose deletion records may have been removed.
    recent : dict of str to int
        Revisions of the latest changes by change id.
    version : int
        Version of the row in the table.
    """

    revision: int = 0
    horizon: int = 0
    recent: dict = attrs.field(factory=dict)
    version: int = 0

    def next_value(self, change_id):
        """Return the value of the row after a further change."""
        recent = list(self.recent.items())[1 - RECENT_CHANGES :]
        revision = self.revision + 1
        recent.append((change_id, revision))
        return {
            "revision": revision,
            "horizon": self.horizon,
            "recent": [list(pair) for pair in recent],
        }


def read_revision_row(rows):
    """Return the `RevisionRow` among rows of the table, or None."""
    for row in rows:
        if row.key == REVISION_KEY and row.value is not None:
            recent = dict(row.value.get("recent", []))
            horizon = row.value.get("horizon", 0)
            return RevisionRow(row.value["revision"], horizon, recent, row.version)
    return None


def make_write(change, change_id):
    """Return the table write that stores a change."""
    value = {
        "revision": change.revision,
        "change_id": change_id,
        "operator": change.operator,
        "spec": None if change.spec is None else resources.dump(change.spec),
    }
    return platform.Write(f"{PREFIX}{change.kind}/{change.name}", value)


def read_batch(rows, after, on_rejected):
    """Return the batch of changes in rows of the table, or None.

    Parameters
    ----------
    rows : list of Row
        All rows below `PREFIX` written after a given table version.
    after : int
        Configuration revision at that table version.
    on_rejected : callable
        Called with key and reason for each row that fails validation.
    """
    head = read_revision_row(rows)
    if head is None:
        return None
    changes = []
    for row in rows:
        if row.key == REVISION_KEY:
            continue
        kind, _, name = row.key.removeprefix(PREFIX).partition("/")
        value = row.value or {"spec": None, "revision": head.horizon}
        change = _read_change(kind, name, value)
        if change.is_err():
            on_rejected(row.key, change.err_value)
        else:
            changes.append(change.ok_value)
    return resources.Batch(after, head.revision, changes, head.horizon)


def encode_news(batch, **extra_fields):
    """Return the peer message of a batch, with further fields in its body."""
    changes = [
        {
            "kind": change.kind,
            "name": change.name,
            "revision": change.revision,
            "operator": change.operator,
            "spec": None if change.spec is None else resources.dump(change.spec),
        }
        for change in batch.changes
    ]
    body = {"after": batch.after, "horizon": batch.horizon, "changes": changes}
    body.update(extra_fields)
    return peer_messages.ConfigurationNews(batch.revision, json.dumps(body))


def decode_news(message, on_rejected):
    """Return the batch of a peer message and the body with all fields."""
    body = json.loads(message.rows)
    changes = []
    for item in body["changes"]:
        change = _read_change(item["kind"], item["name"], item)
        if change.is_err():
            on_rejected(f"{item['kind']}/{item['name']}", change.err_value)
        else:
            changes.append(change.ok_value)
    batch = resources.Batch(body["after"], message.revision, changes, body["horizon"])
    return batch, body


def _read_change(kind, name, value):
    if kind not in resources.KINDS:
        return result.Err(f"unknown kind {kind!r}")
    change = resources.Resource(
        kind, name, None, value["revision"], value.get("operator", "")
    )
    if value["spec"] is None:
        return result.Ok(change)
    checked = resources.validate(kind, value["spec"])
    if checked.is_err():
        return result.Err("; ".join(checked.err_value))
    return result.Ok(attrs.evolve(change, spec=checked.ok_value))
