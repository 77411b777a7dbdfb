"""Tests of typed access to the rows of the fleet."""

import json

import attrs
import testtools
from twisted.internet import defer

from pomelograde.core import membership
from pomelograde.platform import source, store

INSTANCE = {
    "name": "a",
    "data_centre": "x",
    "incarnation": 2,
    "host": "h",
    "peer_port": 1,
}


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
        rows = (
            store.Row("a", json.dumps(INSTANCE).encode(), 4),
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

    def test_rows_that_no_message_can_hold_are_skipped(self):
        takeover = {"holder": "a/2"}
        too_late = store.make_revision(store.MAX_ERA + 1, 0)
        values = [
            ("a", {**INSTANCE, "peer_port": 1 << 16}),
            ("b", {**INSTANCE, "peer_port": "1"}),
            ("c", {**INSTANCE, "incarnation": too_late}),
            ("d", {**INSTANCE, "incarnation": -1}),
            ("e", {**INSTANCE, "host": "\ud800"}),
            ("f", {**INSTANCE, "leaving": 3}),
            ("takeover/a", {**takeover, "era": store.MAX_ERA + 1}),
            ("takeover/b", {**takeover, "era": "1"}),
            ("takeover/c", {**takeover, "fence": too_late}),
            ("takeover/d", {**takeover, "holder": 5}),
            ("takeover/e", {**takeover, "successor": "\ud800"}),
        ]
        rows = [store.Row(key, json.dumps(value).encode(), 7) for key, value in values]
        for value in (b"[" * 100_000, b"\xed\xa0\x80", b"[]", None):
            rows += [store.Row(f"{prefix}z", value, 8) for prefix in ("", "takeover/")]
        client = source.PlatformSource(FakeStoreClient(*rows))
        self.assertEqual(([], []), run(client.fetch_instances()))

    def test_fields_of_later_versions_are_ignored(self):
        instance = membership.Instance("a", "x", 7, "h", 1)
        fields = {**attrs.asdict(instance), "added": 1}
        rows = [
            store.Row("a", json.dumps(fields).encode(), 7),
            store.Row("takeover/g", b'{"holder": "a/7", "added": 1}', 8),
        ]
        found = run(source.PlatformSource(FakeStoreClient(*rows)).fetch_instances())
        self.assertEqual(["a"], [entry.name for entry in found[0]])
        self.assertEqual(["a/7"], [entry.holder for entry in found[1]])

    def test_only_changed_rows_are_decoded_again(self):
        rows = [
            store.Row(key, json.dumps({**INSTANCE, "name": key}).encode(), 7)
            for key in ("a", "b")
        ]
        client = FakeStoreClient(*rows)
        platform_source = source.PlatformSource(client)
        first = run(platform_source.fetch_instances())[0]
        client.rows = store.ReadResult(
            [rows[0], attrs.evolve(rows[1], version=8)], 8, 6.0
        )
        second = run(platform_source.fetch_instances())[0]
        self.assertIs(first[0], second[0])
        self.assertEqual(
            [7, 8], [store.version_of(found.incarnation) for found in second]
        )


class TakeoverTests(testtools.TestCase):
    def test_start_of_a_takeover_keeps_the_member_that_was_promoted_last(self):
        client = FakeStoreClient()
        written = []

        async def commit(table, conditions, writes):
            written.extend(writes.items())
            return 31

        client.commit = commit
        platform_source = source.PlatformSource(client)
        run(platform_source.fetch_instances())
        begun = run(platform_source.begin_takeover("g", "a/7", 0, "p"))
        ((key, value),) = written
        client.rows = store.ReadResult([store.Row(key, value, 31)], 31, 6.0)
        _, listed = run(platform_source.fetch_instances())
        self.assertEqual([begun], listed)
        self.assertEqual(("p", "a/7", 31), (begun.successor, begun.holder, begun.fence))


class EvacuationTests(testtools.TestCase):
    def read(self, client, *rows, revision=30):
        client.rows = store.ReadResult(list(rows), revision, 5.0)

    def test_evacuations_are_followed_over_changes(self):
        client = FakeStoreClient()
        platform_source = source.PlatformSource(client)
        steps = [
            ([("evacuate/x", b"{}", 3), ("evacuate/y", b"any", 4)], {"x", "y"}),
            ([], {"x", "y"}),
            ([("config", b"c", 6)], {"x", "y"}),
            ([("evacuate/z", b"", 9), ("evacuate/x", None, 8)], {"y", "z"}),
            # The feed may hold several versions of a row, in any order.
            ([("evacuate/z", None, 12), ("evacuate/z", b"", 11)], {"y"}),
        ]
        for number, (rows, expected) in enumerate(steps):
            self.read(client, *(store.Row(*row) for row in rows))
            if number:
                found = run(platform_source.wait_for_configuration(3, 1.0))
            else:
                found = run(platform_source.fetch_configuration())
            self.assertEqual(expected, found.evacuations.data_centres)
        self.assertEqual((30, 5.0), (found.evacuations.revision, found.as_of))

    def test_whole_read_replaces_what_was_known(self):
        client = FakeStoreClient(store.Row("evacuate/x", b"{}", 3))
        platform_source = source.PlatformSource(client)
        run(platform_source.fetch_configuration())
        revision = store.make_revision(2, 1)
        self.read(client, store.Row("evacuate/y", b"{}", 1), revision=revision)
        found = run(platform_source.fetch_configuration()).evacuations
        self.assertEqual(({"y"}, 2), (found.data_centres, found.era))

    def test_rows_that_name_no_data_centre_are_skipped(self):
        keys = ("evacuate/", "evacuate/ ", "evacuate/a\n", "evacuated/x", "evacuate")
        client = FakeStoreClient(*(store.Row(key, b"{}", 3) for key in keys))
        found = run(source.PlatformSource(client).fetch_configuration())
        self.assertEqual(frozenset(), found.evacuations.data_centres)
