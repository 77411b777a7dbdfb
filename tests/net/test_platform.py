"""Tests of what the platform's client does with rows of other writers."""

import json

import hypothesis
import testtools
from hypothesis import strategies as st
from twisted.internet import defer, testing

from pomelograde.core import membership
from pomelograde.net import platform
from tests import odd_values

GOOD = {"key": "config/a", "value": {"revision": 1, "spec": None}, "version": 3}
INSTANCE = {
    "name": "suva-1",
    "data_centre": "suva",
    "host": "127.0.0.1",
    "peer_port": 7432,
    "leaving": False,
}
NESTED = b"[" * odd_values.DEPTH + b"]" * odd_values.DEPTH
ODD_VALUES = {
    "nested": NESTED,
    "nested just above the limit": b"[" * 40 + b"]" * 40,
    "400 digits": b"1" * 400,
    "5000 digits": b"1" * 5000,
    "not a number": b"NaN",
    "infinite": b"-Infinity",
    "too large for a float": b"1e400",
    "surrogate": b'"\\ud800"',
    "surrogate in a name": b'{"\\udfff": 1}',
    "not UTF-8": b'"\xff\xfe"',
}


def make_client(content):
    """Return a client that gets one answer, and the list of rejected names."""
    rejected = []
    client = platform.PlatformClient(
        testing.MemoryReactorClock(),
        "http://127.0.0.1:1",
        on_rejected=lambda name, reason: rejected.append(name),
    )

    async def send(method, path, body):
        return 200, content

    client._send = send
    return client, rejected


def call(coroutine):
    """Return the result of a coroutine that needs no network."""
    results = []
    defer.ensureDeferred(coroutine).addCallback(results.append)
    return results[0]


def encode(name, items):
    """Return an answer whose list has the given items, each one encoded."""
    return b'{"version": 9, "%s": [%s]}' % (name, b", ".join(items))


class RowTests(testtools.TestCase):
    def read(self, *items):
        good = json.dumps(GOOD).encode()
        client, rejected = make_client(encode(b"rows", [good, *items, good]))
        answer = call(client.rows("config/"))
        self.assertTrue(answer.is_ok(), answer)
        read = answer.ok_value
        self.assertEqual(9, read.version)
        self.assertEqual(not rejected, read.is_complete)
        return read.rows, rejected

    def test_odd_value_costs_its_row_only(self):
        row = platform.Row(**GOOD)
        for name, value in ODD_VALUES.items():
            item = b'{"key": "config/odd", "value": %s, "version": 4}' % value
            rows, rejected = self.read(item)
            self.assertEqual([row, row], rows, name)
            self.assertEqual(1, len(rejected), name)

    def test_row_without_a_field_or_of_another_type_costs_itself_only(self):
        for item in (
            b"{}",
            b"[]",
            b"null",
            b"5",
            b'{"key": "config/a", "value": 1}',
            b'{"key": 1, "value": 1, "version": 1}',
            b'{"key": "a\\nb", "value": 1, "version": 1}',
            b'{"key": "a", "value": 1, "version": "1"}',
            b'{"key": "a", "value": 1, "version": -1}',
            b'{"key": "a", "value": 1, "version": true}',
        ):
            rows, rejected = self.read(item)
            self.assertEqual(2, len(rows), item)
            self.assertEqual(1, len(rejected), item)

    def test_field_of_a_later_platform_is_ignored(self):
        item = dict(GOOD, written_at=5)
        rows, rejected = self.read(json.dumps(item).encode())
        self.assertEqual(([platform.Row(**GOOD)] * 3, []), (rows, rejected))

    def test_odd_row_of_a_conflict_is_left_out(self):
        good = json.dumps(GOOD).encode()
        odd = b'{"key": "config/odd", "value": %s, "version": 4}' % NESTED
        client, rejected = make_client(encode(b"rows", [odd, good]))

        async def send(method, path, body):
            return 409, encode(b"rows", [odd, good])

        client._send = send
        answer = call(client.commit([], []))
        self.assertEqual([platform.Row(**GOOD)], answer.err_value.rows)
        self.assertEqual(1, len(rejected))

    def test_answer_that_is_none_counts_as_unavailable(self):
        for content in (
            b"",
            b"[]",
            b"5",
            b"{",
            b"{}",
            NESTED,
            b'{"rows": []}',
            b"\xff",
        ):
            for coroutine in (
                make_client(content)[0].rows(""),
                make_client(content)[0].instances(),
                make_client(content)[0].commit([], []),
            ):
                answer = call(coroutine)
                self.assertIsInstance(answer.err_value, platform.Unavailable)

    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    @hypothesis.given(st.lists(odd_values.mutations(GOOD), max_size=4))
    def test_any_rows_leave_the_others(self, items):
        rows, rejected = self.read(*(json.dumps(item).encode() for item in items))
        self.assertEqual(len(items) + 2, len(rows) + len(rejected))
        for row in rows:
            json.dumps(row.value).encode("utf-8")
            self.assertIsInstance(row.key, str)

    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    @hypothesis.given(st.binary(max_size=60) | st.text('[]{}",:\\1a').map(str.encode))
    def test_any_answer_gives_rows_or_counts_as_unavailable(self, content):
        client, _ = make_client(content)
        answer = call(client.rows(""))
        self.assertTrue(
            answer.is_ok() or isinstance(answer.err_value, platform.Unavailable)
        )


class InstanceListTests(testtools.TestCase):
    def read(self, *entries):
        content = encode(
            b"instances", [json.dumps(entry).encode() for entry in entries]
        )
        client, rejected = make_client(content)
        return call(client.instances()).ok_value, rejected

    def test_entries_become_instances(self):
        found, rejected = self.read(INSTANCE)
        instance = membership.Instance("suva-1", "suva", 0, "127.0.0.1", 7432)
        self.assertEqual([instance], found.instances)
        self.assertTrue(found.is_complete)
        self.assertEqual([], rejected)

    def test_odd_entry_costs_itself_only(self):
        for change in (
            {"host": "suva-1.example"},
            {"host": "127.0.0.1\n"},
            {"host": 2130706433},
            {"host": None},
            {"peer_port": 0},
            {"peer_port": 70_000},
            {"peer_port": "7432"},
            {"peer_port": True},
            {"peer_port": 7432.0},
            {"name": ""},
            {"name": "a\nb"},
            {"name": ["a"]},
            {"data_centre": None},
            {"leaving": "no"},
            {"leaving": None},
        ):
            found, rejected = self.read(INSTANCE, dict(INSTANCE, **change), INSTANCE)
            self.assertEqual(2, len(found.instances), change)
            self.assertEqual(1, len(rejected), change)
            self.assertFalse(found.is_complete)

    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    @hypothesis.given(odd_values.mutations(INSTANCE))
    def test_any_entry_leaves_the_others(self, entry):
        found, rejected = self.read(INSTANCE, entry)
        self.assertEqual(2, len(found.instances) + len(rejected))
        for instance in found.instances:
            self.assertIsNone(membership.find_fault(instance))
