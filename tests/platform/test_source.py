"""Tests of typed access to the rows of the fleet."""

import json

import testtools
from twisted.internet import defer

from pomelograde.platform import source, store


class FakeStoreClient:
    """Store client that returns the same rows from each read."""

    era = 0

    def __init__(self, *rows):
        self.rows = store.ReadResult(list(rows), 30, 5.0)

    async def follow_table(self, table, version, wait_s):
        return self.rows

    async def read_table(self, table):
        return self.rows


def run(coroutine):
    """Return the result of a coroutine that does not wait."""
    results = []
    defer.ensureDeferred(coroutine).addCallback(results.append)
    return results[0]


class SourceTests(testtools.TestCase):
    def test_latest_of_several_configuration_changes_is_used(self):
        rows = [store.Row("config", b"v%d" % n, n) for n in (18, 19, 24)]
        rows.insert(1, store.Row("other", b"x", 29))
        client = source.PlatformSource(FakeStoreClient(*rows))
        found = run(client.wait_for_configuration(3, 1.0))
        self.assertEqual(
            ("v24", 24, 30), (found.text, found.row_version, found.revision)
        )

    def test_text_is_empty_if_the_configuration_did_not_change(self):
        found = run(
            source.PlatformSource(FakeStoreClient()).wait_for_configuration(3, 1.0)
        )
        self.assertEqual(("", 0), (found.text, found.row_version))

    def test_instances_and_takeovers_are_distinguished(self):
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
        instances, found = run(
            source.PlatformSource(FakeStoreClient(*rows)).fetch_instances()
        )
        self.assertEqual(["a"], [known.name for known in instances])
        self.assertEqual(
            [("g", "a/2", 7)],
            [(known.service, known.holder, known.fence) for known in found],
        )
