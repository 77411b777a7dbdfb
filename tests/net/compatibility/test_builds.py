"""Tests of messages and rows between this build and the last one in production."""

import json
import pathlib
import re
import tempfile

import attrs
import capnp
import testtools
from twisted.internet import defer

from pomelograde.core import membership
from pomelograde.net import peer_messages
from pomelograde.platform import source, store
from tests.net.compatibility import record

FOLDER = pathlib.Path(__file__).parent
RECORDED = json.loads((FOLDER / record.MESSAGES_FILE).read_text("utf-8"))


def find_missing(expected, found, path=""):
    """Return the fields that differ from what was written; new ones may be there."""
    if isinstance(expected, dict):
        return [
            difference
            for name, value in expected.items()
            for difference in find_missing(value, found.get(name), f"{path}.{name}")
        ]
    if isinstance(expected, list):
        if len(expected) != len(found):
            return [path]
        pairs = zip(expected, found, strict=True)
        return [each for pair in pairs for each in find_missing(*pair, path)]
    return [] if expected == found else [f"{path}: {found!r} for {expected!r}"]


def read_by_schema(schema, data):
    """Return the fields of a message as a reader with a schema sees them."""
    body = schema.Envelope.from_bytes_packed(data).to_dict()["body"]
    (fields,) = body.values()
    return _to_snake_case(fields)


def _to_snake_case(value):
    if isinstance(value, dict):
        return {
            re.sub("[A-Z]", lambda found: "_" + found[0].lower(), name): _to_snake_case(
                field
            )
            for name, field in value.items()
        }
    if isinstance(value, list):
        return [_to_snake_case(item) for item in value]
    return value.decode("latin-1") if isinstance(value, bytes) else value


class MessageTests(testtools.TestCase):
    def test_messages_of_the_last_build_are_read(self):
        differences = []
        for name, (data, expected) in RECORDED["messages"].items():
            message = peer_messages.unpack(bytes.fromhex(data)).message
            self.assertEqual(name, type(message).__name__)
            differences += find_missing(expected, record.to_plain(message), name)
        self.assertEqual([], differences)

    def test_messages_are_read_by_the_last_build(self):
        schema = capnp.SchemaParser().load(str(FOLDER / record.SCHEMA_FILE))
        differences = []
        for cls in peer_messages.MESSAGE_CLASSES:
            if cls.__name__ in RECORDED["messages"]:
                message = record.make_sample(cls)
                found = read_by_schema(schema, record.pack(message))
                expected = record.to_plain(message)
                differences += find_missing(found, expected, cls.__name__)
                self.assertEqual(
                    RECORDED["messages"][cls.__name__][1].keys() - found.keys(), set()
                )
        self.assertEqual([], differences)

    def test_reused_field_number_is_noticed(self):
        text = peer_messages.SCHEMA_PATH.read_text("utf-8")
        start = text.index("struct RelayRequest")
        changed = text[start:].replace("service @1", "service @2", 1)
        changed = text[:start] + changed.replace("member @2", "member @1", 1)
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "peers.capnp")
            path.write_text(changed, encoding="utf-8")
            schema = capnp.SchemaParser().load(str(path))
        data, expected = RECORDED["messages"]["RelayRequest"]
        found = read_by_schema(schema, bytes.fromhex(data))
        self.assertEqual(2, len(find_missing(expected, found)))


class RowTests(testtools.TestCase):
    def read(self, rows):
        """Return instances and takeovers of rows, given by key."""
        client = source.PlatformSource(StoreWithRows(rows))
        found = []
        defer.ensureDeferred(client.fetch_instances()).addCallback(found.append)
        return found[0]

    def test_rows_of_the_last_build_are_read(self):
        instances, takeovers = self.read(RECORDED["rows"])
        (instance,) = instances
        expected = json.loads(RECORDED["rows"]["a-1"])
        del expected["incarnation"]
        found = record.to_plain(instance)
        self.assertEqual([], find_missing(expected, found))
        self.assertEqual(store.make_revision(record.ERA, 5), instance.incarnation)
        (takeover,) = takeovers
        self.assertEqual(("db", "", "m-2"), attrs.astuple(takeover)[:3])

    def test_rows_have_all_fields_of_the_last_build(self):
        for key, value in record.record_rows().items():
            known = json.loads(RECORDED["rows"][key])
            self.assertEqual(set(), known.keys() - json.loads(value).keys())

    def test_renamed_field_is_noticed(self):
        value = RECORDED["rows"]["a-1"].replace('"data_centre"', '"zone"')
        self.assertEqual([], self.read({"a-1": value})[0])

    def test_builds_are_told_apart_but_lists_of_them_are_equal(self):
        old = membership.Instance("a-1", "a", 1, "10.0.0.1", 7560)
        new = attrs.evolve(old, build="0.1.0+3f9c04d1a7e2")
        self.assertEqual((old, repr(old)), (new, repr(new)))
        news = peer_messages.write_instance(new)
        self.assertEqual(new.build, peer_messages.read_instance(news).ok_value.build)


class StoreWithRows:
    """Store client that returns the same rows from each read.

    Parameters
    ----------
    rows : dict of str to str
        Content of the rows by key.
    """

    era = record.ERA

    def __init__(self, rows):
        self.rows = [
            store.Row(key, value.encode(), 5) for key, value in sorted(rows.items())
        ]

    async def read_table(self, table):
        revision = store.make_revision(record.ERA, 9)
        return store.ReadResult(self.rows, revision, 5.0)
