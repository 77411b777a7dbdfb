"""Tests of what the store holds for the fleet."""

import json

import testtools
from twisted.internet import defer

from pomelograde.platform import source, store


class Client:
    """A store that answers each call with the same rows."""

    def __init__(self, *rows):
        self.rows = store.Rows(list(rows), 30, 5.0)

    async def follow_table(self, table, version, wait_s):
        return self.rows

    async def read_table(self, table):
        return self.rows


def call(coroutine):
    found = []
    defer.ensureDeferred(coroutine).addCallback(found.append)
    return found[0]


class SourceTests(testtools.TestCase):
    def test_newest_of_several_changes_of_the_configuration_counts(self):
        rows = [store.Row("config", b"v%d" % n, n) for n in (18, 19, 24)]
        rows.insert(1, store.Row("other", b"x", 29))
        client = source.PlatformSource(Client(*rows))
        found = call(client.wait_for_configuration(3, 1.0))
        self.assertEqual(
            ("v24", 24, 30), (found.text, found.row_version, found.version)
        )

    def test_no_change_of_the_configuration_is_no_text(self):
        found = call(source.PlatformSource(Client()).wait_for_configuration(3, 1.0))
        self.assertEqual(("", 0), (found.text, found.row_version))

    def test_instances_and_takeovers_are_told_apart(self):
        instance = {
            "name": "a",
            "data_centre": "x",
            "incarnation": 2,
            "host": "h",
            "peer_port": 1,
        }
        rows = (
            store.Row("a", json.dumps(instance).encode(), 4),
            store.Row("b", b"{}", 5),
            store.Row("takeover/g", b'{"holder": "a/2"}', 7),
            store.Row("takeover/h", b"[]", 8),
        )
        instances, found = call(source.PlatformSource(Client(*rows)).fetch_instances())
        self.assertEqual(["a"], [known.name for known in instances])
        self.assertEqual(
            [("g", "a/2", 7)],
            [(known.service, known.holder, known.fence) for known in found],
        )
