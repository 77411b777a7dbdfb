"""Records the messages and rows of a build, for the tests of later builds.

Run it with the sources of the build to record, here a clone at its commit:

    PYTHONPATH=CLONE python tests/net/compatibility/record.py tests/net/compatibility
"""

import json
import pathlib
import shutil
import sys
import typing

import attrs
from twisted.internet import defer

from pomelograde.core import membership, takeovers
from pomelograde.net import peer_messages
from pomelograde.platform import source

MESSAGES_FILE = "messages.json"
SCHEMA_FILE = "peers.capnp"
ERA = 3


class RecordingStore:
    """Store client that keeps the rows written."""

    era = ERA

    def __init__(self):
        self.rows = {}

    async def commit(self, table, expected, values):
        """Keep the rows of a transaction; returns its revision."""
        self.rows.update(values)
        return (ERA << 48) + len(self.rows)


def make_sample(cls):
    """Return a message in which no field has its default."""
    hints = typing.get_type_hints(cls)
    fields = attrs.fields(cls)
    return cls(
        **{
            field.name: _make_value(hints[field.name], field.name, number)
            for number, field in enumerate(fields, 1)
        }
    )


def _make_value(kind, name, number):
    if typing.get_origin(kind) is list:
        (item,) = typing.get_args(kind)
        sample = make_sample(item) if attrs.has(item) else name.encode()
        return [sample]
    if kind is bool:
        return True
    if kind is str:
        return name
    return name.encode() if kind is bytes else kind(number)


def to_plain(value):
    """Return a message or field as JSON values."""
    if isinstance(value, list | tuple):
        return [to_plain(item) for item in value]
    if isinstance(value, bytes):
        return value.decode("latin-1")
    if attrs.has(type(value)):
        return {
            field.name: to_plain(getattr(value, field.name))
            for field in attrs.fields(type(value))
        }
    return value


def pack(message):
    """Return an encoded message."""
    return peer_messages.pack(peer_messages.Envelope("a-1", 7, 8, False, message))


def record_messages():
    """Return the bytes in hexadecimal and the fields of each message, by class."""
    found = {}
    for cls in peer_messages.MESSAGE_CLASSES:
        message = make_sample(cls)
        found[cls.__name__] = [pack(message).hex(), to_plain(message)]
    return found


def record_rows():
    """Return the rows of a registration and of a takeover that has ended."""
    store = RecordingStore()
    client = source.PlatformSource(store)
    client.rows_era = ERA
    instance = membership.Instance("a-1", "a", 1, "10.0.0.1", 7560, region="r")
    takeover = takeovers.Takeover("db", "a-1", "", 0, 0)
    for call in (
        client.register(instance),
        client.end_takeover(takeover, "m-2"),
    ):
        defer.ensureDeferred(call)
    return {name: value.decode() for name, value in store.rows.items()}


def main(arguments):
    """Write the recordings and the schema into a folder."""
    folder = pathlib.Path(arguments[0])
    recorded = {"messages": record_messages(), "rows": record_rows()}
    text = json.dumps(recorded, indent=1, sort_keys=True)
    folder.joinpath(MESSAGES_FILE).write_text(text + "\n", encoding="utf-8")
    schema = pathlib.Path(peer_messages.__file__).with_name(SCHEMA_FILE)
    shutil.copyfile(schema, folder / SCHEMA_FILE)


if __name__ == "__main__":
    main(sys.argv[1:])
