"""Encoding of configuration changes as platform table rows and peer messages."""

import json

import attrs
import result

from pomelograde.core import resources
from pomelograde.net import _json_items, peer_messages, platform

PREFIX = "config/"
REVISION_KEY = "config/revision"
RECENT_CHANGES = 64  # number of change ids kept in the revision row
MAX_INFERRED_CHANGES = 1024  # in a read of the table without its revision row
UNKNOWN_AGE_MS = 2**31  # stands for an infinite age in messages


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


@attrs.frozen
class News:
    """A batch from another instance.

    Attributes
    ----------
    batch : Batch
        The changes.
    confirmed_age_s : float
        Time since the sender's revision was confirmed as the latest; infinite if
        the message doesn't tell it.
    unresolved : bool
        Whether the sender has commits whose outcome it doesn't know.
    """

    batch: resources.Batch
    confirmed_age_s: float = float("inf")
    unresolved: bool = True


def find_revision_row(rows):
    """Return the row of the table that every change is conditional on, or None."""
    return next((row for row in rows if row.key == REVISION_KEY), None)


def read_revision_row(row):
    """Return the Result of a `RevisionRow`, or why a row of the table is none."""
    value = row.value
    if not isinstance(value, dict):
        return result.Err("the revision row is no object")
    revision, horizon = value.get("revision"), value.get("horizon", 0)
    recent = value.get("recent", [])
    if not _is_revision(revision) or not _is_revision(horizon) or horizon > revision:
        return result.Err("the revision row has no valid revision and horizon")
    if not isinstance(recent, list) or not all(map(_is_recent_change, recent)):
        return result.Err("the revision row has no valid list of changes")
    return result.Ok(RevisionRow(revision, horizon, dict(recent), row.version))


def _is_recent_change(pair):
    return (
        isinstance(pair, list)
        and len(pair) == 2
        and isinstance(pair[0], str)
        and _is_revision(pair[1])
    )


def _is_revision(value):
    return type(value) is int and 0 <= value < _json_items.INTEGER_LIMIT


def make_write(change, change_id):
    """Return the table write that stores a change."""
    value = {
        "revision": change.revision,
        "change_id": change_id,
        "operator": change.operator,
        "spec": None if change.spec is None else resources.dump(change.spec),
    }
    return platform.Write(f"{PREFIX}{change.kind}/{change.name}", value)


def read_batch(read, after, on_rejected):
    """Return the batch of changes in a read of the table, or None if there are none.

    Parameters
    ----------
    read : TableRead
        All rows below `PREFIX` written after a given table version.
    after : int
        Configuration revision at that table version.
    on_rejected : callable
        Called with key and reason for each row that fails validation.

    Notes
    -----
    Each change is written together with the revision row. If that row can't be
    read, the changes among the other rows are in force nevertheless.
    """
    head_row = find_revision_row(read.rows)
    others = [row for row in read.rows if row.key != REVISION_KEY]
    if head_row is None and after and read.is_complete:
        for row in others:
            on_rejected(row.key, "is not written together with the revision row")
        return None
    if head_row is None and not others:
        return None
    head = result.Err("can't be read")
    if head_row is not None:
        head = read_revision_row(head_row)
    horizon = head.ok_value.horizon if head.is_ok() else 0
    changes = []
    for row in others:
        kind, _, name = row.key.removeprefix(PREFIX).partition("/")
        value = {"spec": None, "revision": horizon} if row.value is None else row.value
        change = _read_change(kind, name, value)
        if change.is_err():
            on_rejected(row.key, change.err_value)
        else:
            changes.append(change.ok_value)
    if head.is_ok():
        limit = revision = head.ok_value.revision
    else:
        on_rejected(REVISION_KEY, head.err_value)
        limit = after + MAX_INFERRED_CHANGES if after else _json_items.INTEGER_LIMIT
    changes = _reject_later(changes, limit, on_rejected)
    if head.is_err():
        revision = max([after, *(change.revision for change in changes)])
    return resources.Batch(after, revision, changes, horizon)


def find_deletions(rows, horizon):
    """Return the keys of the deletion records up to a revision."""
    return [
        row.key
        for row in rows
        if row.key != REVISION_KEY
        and isinstance(row.value, dict)
        and row.value.get("spec", row) is None
        and _is_revision(row.value.get("revision"))
        and row.value["revision"] <= horizon
    ]


def _reject_later(changes, revision, on_rejected):
    """Return the changes up to a revision."""
    for change in changes:
        if change.revision > revision:
            reason = f"revision {change.revision} is above {revision}"
            on_rejected(f"{change.kind}/{change.name}", reason)
    return [change for change in changes if change.revision <= revision]


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
    """Return the Result of the `News` of a peer message, or why it is invalid.

    Parameters
    ----------
    message : ConfigurationNews
        The message.
    on_rejected : callable
        Called with resource and reason for each change that fails validation.
    """
    parsed = _json_items.loads(message.rows.encode("utf-8"))
    if parsed.is_err():
        return parsed
    body = parsed.ok_value
    if not isinstance(body, dict):
        return result.Err("is no object")
    after, horizon, items = (body.get(n) for n in ("after", "horizon", "changes"))
    if not all(map(_is_revision, (after, horizon, message.revision))):
        return result.Err("has no valid revisions")
    if not isinstance(items, list):
        return result.Err("has no list of changes")
    age_ms = body.get("confirmed_age_ms", UNKNOWN_AGE_MS)
    if not _is_revision(age_ms):
        return result.Err("has no valid age")
    changes = []
    for item in items:
        change = _read_item(item)
        if change.is_ok():
            changes.append(change.ok_value)
        else:
            on_rejected(*change.err_value)
    changes = _reject_later(changes, message.revision, on_rejected)
    batch = resources.Batch(after, message.revision, changes, horizon)
    age_s = float("inf") if age_ms >= UNKNOWN_AGE_MS else age_ms / 1000.0
    return result.Ok(News(batch, age_s, body.get("unresolved") is not False))


def _read_item(item):
    """Return the Result of the change of an item of a message, or name and reason."""
    if isinstance(item, _json_items.Unparsable):
        return result.Err(("", item.reason))
    if not isinstance(item, dict):
        return result.Err(("", "is no object"))
    kind, name = item.get("kind"), item.get("name")
    if not isinstance(kind, str) or not isinstance(name, str):
        return result.Err(("", "has no kind and name"))
    fault = _json_items.find_fault(item)
    if fault is not None:
        return result.Err((f"{kind}/{name}", fault))
    change = _read_change(kind, name, item)
    return change.map_err(lambda reason: (f"{kind}/{name}", reason))


def _read_change(kind, name, value):
    if kind not in resources.KINDS:
        return result.Err(f"unknown kind {kind!r}")
    if not resources.is_valid_name(name):
        return result.Err("invalid name")
    if not isinstance(value, dict) or "spec" not in value:
        return result.Err("expected an object with a spec")
    revision, operator = value.get("revision"), value.get("operator", "")
    if not _is_revision(revision):
        return result.Err("no valid revision")
    if not isinstance(operator, str):
        return result.Err("the operator is no text")
    change = resources.Resource(kind, name, None, revision, operator)
    if value["spec"] is None:
        return result.Ok(change)
    checked = resources.validate(kind, value["spec"])
    if checked.is_err():
        return result.Err("; ".join(checked.err_value))
    return result.Ok(attrs.evolve(change, spec=checked.ok_value))
