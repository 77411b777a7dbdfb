"""Tests of the decoder of the members' rows."""

import json
import sys

import hypothesis
import testtools
from hypothesis import strategies as st

from pomelograde.core import placement
from pomelograde.net import peer_messages
from pomelograde.net.hosted import state_sync
from pomelograde.platform import registry, store

ROW = {
    "service": "g",
    "address": "10.0.0.1:8080",
    "zone": "a",
    "version": "4.1",
    "slots": 3,
    "state": "ready",
    "dbRole": "replica",
    "coldRemainingMs": 0,
    "seq": 4,
    "born": 17,
}
LARGE = 10**400
SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([LARGE, -LARGE, 1 << 63, 1 << 16, 0, -1])
    | st.floats()
    | st.text()
    | st.sampled_from(["", "\ud800", "a b", "a\r\n", "\x00", "10.0.0.1:1_0"])
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3)
    ),
    max_leaves=6,
)


def dump(fields):
    return json.dumps(fields).encode()


def nest(depth, field="extra"):
    """Return a valid row with an escape and another field nested `depth` deep."""
    text = json.dumps({**ROW, "note": "A", field: 0}).replace('"A"', '"\\u0041"')
    nested = "[" * depth + "]" * depth
    return text.replace(f'"{field}": 0', f'"{field}": {nested}').encode()


def parse(value, key="i-1"):
    """Return the members by service and the reasons of the invalid rows."""
    members, invalid = registry.parse_members([store.Row(key, value, 7)])
    return members, [row.reason for row in invalid]


def at_depth(frames, function):
    """Call a function with further frames on the stack."""
    return function() if frames == 0 else at_depth(frames - 1, function)


class MemberRowTests(testtools.TestCase):
    def assert_invalid(self, value, reason, key="i-1"):
        members, reasons = parse(value, key)
        self.assertEqual({}, members, value[:80])
        self.assertEqual(1, len(reasons))
        self.assertIn(reason, reasons[0])

    def test_number_too_large_for_a_float_costs_one_row(self):
        rows = [
            store.Row("i-1", dump({**ROW, "coldRemainingMs": LARGE}), 1),
            store.Row("i-2", dump(ROW), 1),
        ]
        members, invalid = registry.parse_members(rows)
        self.assertEqual(["i-2"], [member.name for member in members["g"]])
        self.assertEqual(["i-1"], [row.key for row in invalid])

    def test_nested_row_with_an_escape_never_raises(self):
        accepted = [depth for depth in range(1, 1000) if parse(nest(depth))[0]]
        self.assertEqual(list(range(1, 32)), accepted)

    def test_depth_limit_does_not_depend_on_the_stack(self):
        free = sys.getrecursionlimit() - 300
        for depth in (31, 32):
            expected = parse(nest(depth))
            self.assertEqual(expected, at_depth(free, lambda d=depth: parse(nest(d))))

    def test_brackets_within_texts_are_no_nesting(self):
        found, _ = parse(dump({**ROW, "note": '[{"\\' * 100}))
        self.assertEqual(["g"], list(found))

    def test_values_of_another_type_or_range_are_invalid(self):
        odd = {
            "address": [
                "10.0.0.1:1_0",
                "10.0.0.1: 80",
                "10.0.0.1:80\n",
                "10.0.0.1:٨٠",
                "10.0.0.1:+80",
                "10.0.0.1:99999",
                "10.0.0.1:0",
                "10.0.0.1:",
                "10.0.0.1",
                " 10.0.0.1:80",
                "10.0 .0.1:80",
                "10.0.0.1\n:80",
                "10.0.0.1\r\nSTART:80",
                ":80",
                "::1:80",
                "é:80",
                "x" * 254 + ":80",
                "member-1.zone_a.example:80",
                "1.2.3:80",
                8080,
                None,
                ["10.0.0.1", 80],
            ],
            "slots": [0, -1, True, 1.0, "3", None, 1 << 16, LARGE],
            "coldRemainingMs": [-1, -0.5, True, "7400", None, [], LARGE, 1e300],
            "born": [-1, True, 1.0, 1.5, "17", None, 1 << 63, LARGE],
            "zone": ["", "a\n", "\x00", 5, None, {"a": 1}],
            "service": ["", "a b", "g\r\n", "\x7f", 5, None],
            "state": ["", "resting", True, None, ["ready"], {"ready": 1}],
            "dbRole": ["witness", False, None, ["primary"]],
        }
        for name, values in odd.items():
            for value in values:
                self.assert_invalid(dump({**ROW, name: value}), f"{name}: ")

    def test_single_surrogates_are_invalid(self):
        for name in ROW:
            self.assert_invalid(dump({**ROW, name: "\ud800"}), "surrogates not allowed")
            self.assert_invalid(dump({**ROW, name: [{"\ud800": 1}]}), "surrogates")

    def test_missing_fields_are_invalid(self):
        for name in ("service", "address", "zone", "slots", "state", "dbRole"):
            fields = {**ROW}
            del fields[name]
            self.assert_invalid(dump(fields), f"required field {name!r} is missing")

    def test_numbers_that_are_none_are_invalid(self):
        for text in (b"NaN", b"Infinity", b"-Infinity", b"1e999", b"1" * 5000):
            value = dump(ROW).replace(b'Ms": 0', b'Ms": ' + text)
            self.assert_invalid(value, "")

    def test_keys_that_no_start_message_can_hold_are_invalid(self):
        for key in ("", "a b", "a\r\nSTART", "\x00", "é", "\ud800", "a\u200b"):
            self.assert_invalid(dump(ROW), "key: ", key)

    def test_bytes_that_are_no_row_are_invalid(self):
        for value in (b"", b"\xff\xfe", b"{", b"[]", b"[" * 100_000, b'{"a":' * 9000):
            self.assert_invalid(value, "")
        self.assertEqual({}, parse(None)[0])

    def test_allowed_variants_are_accepted(self):
        for fields in (
            {"coldRemainingMs": 7400.5},
            {"address": "10.0.0.1:65535"},
            {"zone": "zone a"},
            {"slots": (1 << 16) - 1, "born": (1 << 63) - 1},
            {"seq": LARGE, "version": None, "added": [True]},
        ):
            self.assertEqual(["g"], list(parse(dump({**ROW, **fields}))[0]), fields)

    def test_reasons_hold_no_text_of_the_row(self):
        for name in ROW:
            for value in ("s3cret", ["s3cret"], {"s3cret": "s3cret"}):
                _, reasons = parse(dump({**ROW, name: value}))
                self.assertNotIn("s3cret", str(reasons))
        for value in (b"s3cret", b'{"s3cret', b'{"a": s3cret}', b'"s3cret"'):
            self.assertNotIn("s3cret", str(parse(value)[1]))


def encode(members):
    """Return members as another instance decodes them from a message."""
    news = list(state_sync._encode_members(members))
    answer = peer_messages.NewsAnswer(0, "", 0, 0, news, 0, 0, [], [])
    envelope = peer_messages.Envelope("a", 1, 1, True, answer)
    received = peer_messages.decode(peer_messages.encode(envelope))
    return state_sync._decode_members(received.message.upstreams)


class ArbitraryRowTests(testtools.TestCase):
    def assert_sound(self, value, key="i-1"):
        members, reasons = parse(value, key)
        self.assertEqual(1, len(members) + len(reasons))
        self.assertEqual(members, encode(members))
        for found in members.values():
            self.assertIsInstance(found[0], placement.Member)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=1000)
    @hypothesis.given(name=st.sampled_from(sorted(ROW)), value=VALUES)
    def test_row_with_an_arbitrary_value(self, name, value):
        self.assert_sound(dump({**ROW, name: value}))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(value=VALUES)
    def test_arbitrary_value(self, value):
        self.assert_sound(dump(value))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(value=st.binary())
    def test_arbitrary_bytes(self, value):
        self.assert_sound(value)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(data=st.data())
    def test_row_with_changed_bytes(self, data):
        value = bytearray(dump(ROW))
        for _ in range(data.draw(st.integers(1, 4))):
            at = data.draw(st.integers(0, len(value) - 1))
            value[at] = data.draw(st.integers(0, 255))
        self.assert_sound(bytes(value))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(key=st.text())
    def test_arbitrary_key(self, key):
        self.assert_sound(dump(ROW), key)
