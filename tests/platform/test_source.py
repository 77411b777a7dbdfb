"""Tests of typed access to the rows of the fleet."""

import json

import attrs
import hypothesis
import testtools
from hypothesis import strategies
from twisted.internet import defer

from pomelograde.core import membership, takeovers
from pomelograde.net import peer_messages
from pomelograde.net.hosted import state_sync
from pomelograde.platform import _rows, source, store

INSTANCE = {
    "name": "a",
    "data_centre": "x",
    "incarnation": 2,
    "host": "10.0.0.1",
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


async def done(value):
    """Return a value as a call to the store does."""
    return value


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

    def read_invalid(self, *rows):
        """Return what a read of the instances reports, as key and reason."""
        client = source.PlatformSource(FakeStoreClient(*rows))
        reported = []
        client.on_invalid_rows = lambda *report: reported.append(report)
        self.assertEqual(([], []), run(client.fetch_instances()))
        ((table, invalid, is_whole),) = reported
        self.assertEqual(("instances", True), (table, is_whole))
        return {row.key: row.reason for row in invalid}

    def test_invalid_rows_are_reported_without_their_content(self):
        odd = {
            "a": {**INSTANCE, "host": "s3cret x"},
            "b": INSTANCE,
            "c": {**INSTANCE, "name": "c", "peer_port": 99999},
            "d": {**INSTANCE, "name": "d", "peer_port": 0},
            "e": {**INSTANCE, "name": "e", "data_centre": "s3cret\n"},
            "f": {**INSTANCE, "name": "f", "incarnation": 10**400},
            "g": {**INSTANCE, "name": "g", "leaving": "s3cret"},
            "h": {**INSTANCE, "name": "h", "region": "\x00"},
            "i": {"s3cret": 1},
            "takeover/": {"holder": "a/1"},
            "takeover/a": {"holder": "s3cret\r\n"},
            "takeover/b": {"holder": "a/1", "fence": 10**400},
            "takeover/c": {"holder": "a/1", "fence": 1.5},
            "takeover/d": {"holder": "a/1", "era": True},
            "takeover/f": {"holder": "a/1", "term": -1},
            "takeover/g": {"holder": "a/1", "term": 10**400},
            "takeover/h": {"holder": "a/1", "candidate": "s3cret\r\n"},
            "takeover/i": {"holder": "a/1", "log_index": 0.5},
            "takeover/e": {"holder": ["s3cret"]},
        }
        rows = [
            store.Row(key, json.dumps(value).encode(), 7) for key, value in odd.items()
        ]
        nested = b'{"a": "\\u0041", "b": ' + b"[" * 950 + b"]" * 950 + b"}"
        rows += [store.Row(key, nested, 7) for key in ("z", "takeover/z")]
        rows.append(_rows.InvalidRow("y", 0, "value: odd"))
        reasons = self.read_invalid(*rows)
        self.assertEqual({row.key for row in rows}, set(reasons))
        self.assertNotIn("s3cret", str(reasons))
        self.assertEqual("name: differs from the key", reasons["b"])

    def begin_takeover(self, value, known_revision):
        """Return the conditions under which a takeover is recorded over a row."""
        client = FakeStoreClient(store.Row("takeover/g", value, 7))
        commits = []
        client.commit = lambda *call: commits.append(call) or done(9)
        platform_source = source.PlatformSource(client)
        run(platform_source.fetch_instances())
        known = takeovers.Takeover("g", "", "", known_revision, known_revision)
        begun = run(platform_source.begin_takeover(known, "a/2"))
        self.assertEqual(9, begun.fence)
        ((_, conditions, _),) = commits
        return conditions

    def test_invalid_takeover_does_not_block_later_ones(self):
        for value in (b"{}", b'{"holder": "a/2", "era": 9999}'):
            for known in (0, 5):
                self.assertEqual({"takeover/g": 7}, self.begin_takeover(value, known))

    def test_valid_takeover_is_replaced_only_if_it_is_known(self):
        conditions = self.begin_takeover(b'{"holder": "a/2"}', 5)
        self.assertEqual({"takeover/g": 5}, conditions)

    def test_fields_of_later_versions_are_ignored(self):
        instance = membership.Instance("a", "x", 7, "10.0.0.1", 1)
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
        known = takeovers.Takeover("g", "", "p", 0, 0, term=4)
        begun = run(platform_source.begin_takeover(known, "a/7"))
        ((key, value),) = written
        client.rows = store.ReadResult([store.Row(key, value, 31)], 31, 6.0)
        _, listed = run(platform_source.fetch_instances())
        self.assertEqual([begun], listed)
        self.assertEqual(("p", "a/7", 31), (begun.successor, begun.holder, begun.fence))
        self.assertEqual([4], [found.term for found in listed])

    def test_choice_is_recorded_until_the_takeover_ends(self):
        client = FakeStoreClient()
        written = []

        async def commit(table, conditions, writes):
            ((key, value),) = writes.items()
            written.append((conditions[key], value))
            return 31 + len(written)

        client.commit = commit
        platform_source = source.PlatformSource(client)
        run(platform_source.fetch_instances())
        begun = takeovers.Takeover("g", "a/7", "p", 31, 31)
        choice = attrs.evolve(begun, candidate="c", log_term=3, log_index=1207)
        recorded = run(platform_source.record_choice(choice))
        self.assertEqual(attrs.evolve(choice, row_version=32), recorded)
        row = store.Row("takeover/g", written[0][1], 32)
        client.rows = store.ReadResult([row], 32, 6.0)
        _, listed = run(platform_source.fetch_instances())
        self.assertEqual([recorded], listed)
        self.assertEqual(
            recorded, state_sync.decode_takeover(state_sync.encode_takeover(recorded))
        )
        ended = run(platform_source.end_takeover(recorded, "c"))
        self.assertEqual(("c", "", 33), (ended.successor, ended.candidate, 33))
        self.assertEqual((3, 1207), (ended.log_term, ended.log_index))
        self.assertEqual([31, 32], [expected for expected, _ in written])

    def test_choice_is_not_recorded_over_a_row_of_another_takeover(self):
        client = FakeStoreClient()

        async def commit(table, conditions, writes):
            return None

        client.commit = commit
        platform_source = source.PlatformSource(client)
        run(platform_source.fetch_instances())
        choice = takeovers.Takeover("g", "a/7", "p", 31, 31, candidate="c")
        self.assertIsNone(run(platform_source.record_choice(choice)))


class ReplicaSetTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.client = FakeStoreClient()
        self.client.commit = self.commit
        self.source = source.PlatformSource(self.client)
        self.written = []
        self.is_refused = False
        member = takeovers.RecordedMember("m", "x", "127.0.0.1", 4, True)
        self.replica_sets = [
            takeovers.make_replica_set(service, "m", [member]) for service in "gh"
        ]

    async def commit(self, table, conditions, writes):
        if self.is_refused:
            return None
        self.written.append((conditions, writes))
        return 30 + len(self.written)

    def record(self, replica_sets):
        return run(self.source.record_replica_sets(replica_sets))

    def test_what_is_recorded_is_read_again(self):
        run(self.source.fetch_instances())
        first = self.record(self.replica_sets)
        self.assertEqual([31, 31], [found.row_version for found in first])
        second = self.record(first)
        ((conditions, _), (later, writes)) = self.written
        self.assertEqual({"replicas/g": 0, "replicas/h": 0}, conditions)
        self.assertEqual({"replicas/g": 31, "replicas/h": 31}, later)
        rows = [store.Row(key, value, 32) for key, value in writes.items()]
        self.client.rows = store.ReadResult(rows, 32, 6.0)
        self.assertEqual(([], []), run(self.source.fetch_instances()))
        read = [self.source.replica_sets[service] for service in "gh"]
        self.assertEqual(second, read)

    def test_nothing_is_written_over_a_row_that_has_changed(self):
        run(self.source.fetch_instances())
        self.is_refused = True
        self.assertIsNone(self.record(self.replica_sets))
        self.assertEqual({}, self.source.replica_sets)

    def test_nothing_is_written_before_a_restored_store_was_read(self):
        run(self.source.fetch_instances())
        self.client.era = 1
        self.assertIsNone(self.record(self.replica_sets))
        self.assertEqual([], self.written)


class SettledEraTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.client = FakeStoreClient()
        self.client.era = 3
        self.client.rows = store.ReadResult([], store.make_revision(3, 30), 5.0)
        self.client.commit = self.commit
        self.source = source.PlatformSource(self.client)
        self.written = []
        self.is_refused = False

    async def commit(self, table, conditions, writes):
        self.written.append((conditions, writes))
        return None if self.is_refused else store.make_revision(3, 31)

    def test_what_is_recorded_is_read_again(self):
        run(self.source.fetch_instances())
        self.assertIsNone(self.source.settled_era)
        self.assertTrue(run(self.source.record_settled_era()))
        self.assertEqual(3, self.source.settled_era)
        ((conditions, writes),) = self.written
        self.assertEqual({"era/settled": 0}, conditions)
        rows = [store.Row(key, value, 31) for key, value in writes.items()]
        self.client.rows = store.ReadResult(rows, store.make_revision(4, 31), 6.0)
        self.client.era = 4
        self.assertEqual(([], []), run(self.source.fetch_instances()))
        self.assertEqual(3, self.source.settled_era)
        run(self.source.record_settled_era())
        self.assertEqual({"era/settled": 31}, self.written[-1][0])

    def test_refused_record_says_nothing(self):
        run(self.source.fetch_instances())
        self.is_refused = True
        self.assertFalse(run(self.source.record_settled_era()))
        self.assertIsNone(self.source.settled_era)

    def test_nothing_is_recorded_for_an_era_that_was_not_read(self):
        run(self.source.fetch_instances())
        self.client.era = 4
        self.assertFalse(run(self.source.record_settled_era()))
        self.assertEqual([], self.written)

    def test_invalid_row_is_replaced(self):
        rows = [store.Row("era/settled", b"[]", 7)]
        self.client.rows = store.ReadResult(rows, store.make_revision(3, 30), 5.0)
        run(self.source.fetch_instances())
        self.assertIsNone(self.source.settled_era)
        run(self.source.record_settled_era())
        self.assertEqual({"era/settled": 7}, self.written[-1][0])


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

    def test_odd_rows_cost_neither_the_configuration_nor_the_evacuations(self):
        rows = [
            store.Row("config", b"v1", 3),
            store.Row("config", b"\xff\xfe", 4),
            store.Row("evacuate/x", b"\xff", 5),
            store.Row("evacuate/\n", b"{}", 6),
            store.Row("evacuate/\x00", None, 6),
            _rows.InvalidRow("", 0, "key: odd"),
        ]
        for number in range(2):
            platform_source = source.PlatformSource(FakeStoreClient(*rows))
            reported = []
            platform_source.on_invalid_rows = lambda *report, found=reported: (
                found.append(report)
            )
            if number:
                found = run(platform_source.wait_for_configuration(3, 1.0))
            else:
                found = run(platform_source.fetch_configuration())
            self.assertEqual(("v1", 3), (found.text, found.row_version))
            self.assertEqual({"x"}, found.evacuations.data_centres)
            ((table, invalid, is_whole),) = reported
            self.assertEqual(("op", not number), (table, is_whole))
            self.assertEqual(
                ["config", "evacuate/\n", "evacuate/\x00", ""],
                [row.key for row in invalid],
            )


VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.sampled_from([10**400, 1 << 64, 1 << 16, "\ud800", "a\r\n"])
    | strategies.floats()
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(), inner, max_size=3)
    ),
    max_leaves=6,
)
RECORDED_MEMBER = {
    "name": "m",
    "data_centre": "x",
    "address": "10.0.0.1:4",
    "is_leaving": False,
}
REPLICA_SET = {"primary": "m", "members": [RECORDED_MEMBER], "era": 1}
TAKEOVER = {"holder": "a/2", "successor": "m", "fence": 3, "era": 0}
FUZZ = hypothesis.settings(derandomize=True, deadline=None, max_examples=500)


class ArbitraryRowTests(testtools.TestCase):
    def assert_sound(self, key, value):
        client = source.PlatformSource(FakeStoreClient(store.Row(key, value, 7)))
        reported = []
        client.on_invalid_rows = lambda table, invalid, _: reported.extend(invalid)
        instances, listed = run(client.fetch_instances())
        recorded = list(client.replica_sets.values())
        found = [*instances, *listed, *recorded, *reported]
        self.assertEqual(1, len(found))
        news = [peer_messages.write_instance(found) for found in instances]
        ended = [state_sync.encode_takeover(found) for found in listed]
        answer = peer_messages.NewsAnswer(0, "", 0, 0, [], 0, 0, news, ended)
        envelope = peer_messages.Envelope("a", 1, 1, True, answer)
        received = peer_messages.decode(peer_messages.encode(envelope)).message
        self.assertEqual(
            (instances, listed),
            (
                [
                    peer_messages.read_instance(found).ok_value
                    for found in received.instances
                ],
                [state_sync.decode_takeover(found) for found in received.takeovers],
            ),
        )

    @FUZZ
    @hypothesis.given(name=strategies.sampled_from(sorted(INSTANCE)), value=VALUES)
    def test_instance_with_an_arbitrary_value(self, name, value):
        self.assert_sound("a", json.dumps({**INSTANCE, name: value}).encode())

    @FUZZ
    @hypothesis.given(name=strategies.sampled_from(sorted(TAKEOVER)), value=VALUES)
    def test_takeover_with_an_arbitrary_value(self, name, value):
        row = json.dumps({**TAKEOVER, name: value}).encode()
        self.assert_sound("takeover/g", row)

    @FUZZ
    @hypothesis.given(name=strategies.sampled_from(sorted(REPLICA_SET)), value=VALUES)
    def test_replica_set_with_an_arbitrary_value(self, name, value):
        row = json.dumps({**REPLICA_SET, name: value}).encode()
        self.assert_sound("replicas/g", row)

    @FUZZ
    @hypothesis.given(
        name=strategies.sampled_from(sorted(RECORDED_MEMBER)), value=VALUES
    )
    def test_recorded_member_with_an_arbitrary_value(self, name, value):
        members = [{**RECORDED_MEMBER, name: value}]
        row = json.dumps({**REPLICA_SET, "members": members}).encode()
        self.assert_sound("replicas/g", row)

    @FUZZ
    @hypothesis.given(
        key=strategies.sampled_from(["a", "takeover/g", "replicas/g"]),
        value=strategies.binary(),
    )
    def test_arbitrary_bytes(self, key, value):
        self.assert_sound(key, value)

    @FUZZ
    @hypothesis.given(key=strategies.text())
    def test_arbitrary_key(self, key):
        for prefix in ("", "takeover/", "replicas/"):
            value = {**INSTANCE, **TAKEOVER, **REPLICA_SET, "name": key}
            self.assert_sound(prefix + key, json.dumps(value).encode())

    @FUZZ
    @hypothesis.given(key=strategies.text(), value=strategies.binary())
    def test_arbitrary_rows_of_the_operator(self, key, value):
        rows = [store.Row(key, value, 7), store.Row("evacuate/" + key, value, 8)]
        client = source.PlatformSource(FakeStoreClient(*rows))
        found = run(client.fetch_configuration())
        for name in found.evacuations.data_centres:
            self.assertTrue(name.isprintable())
            name.encode()
