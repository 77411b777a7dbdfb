"""Tests of the encoding of messages between instances."""

import time
import zlib

import attrs
import capnp
import hypothesis
import testtools
from hypothesis import strategies as st

from pomelograde.net import peer_messages, peer_streams


class PeerMessageTests(testtools.TestCase):
    def test_round_trip(self):
        record = peer_messages.InstanceNews(
            "a", "suva", "r", 7, "127.0.0.1", 5, True, 9
        )
        messages = [
            peer_messages.Heartbeat(3, 4, [record, record]),
            peer_messages.PrimaryNews("g", 2, "m"),
            peer_messages.WitnessAnswer(True, "primary", 5),
            peer_messages.ConfigurationNews(8, "[]"),
            peer_messages.BorrowRequest("a", 1.5, 2.0, 300),
            peer_messages.CancelStatement(1, 2),
            peer_messages.Empty(),
        ]
        for message in messages:
            envelope = peer_messages.Envelope("me", 1, 2, True, message)
            data = peer_messages.encode(envelope)
            self.assertEqual(envelope, peer_messages.decode(data))

    def make_long_envelope(self):
        records = [
            peer_messages.InstanceNews(
                f"edge-{n}", "suva", "r", 7, f"10.0.0.{n}", 5, True, 9
            )
            for n in range(100)
        ]
        return peer_messages.Envelope(
            "me", 1, 2, True, peer_messages.Heartbeat(3, 4, records)
        )

    def test_long_messages_are_compressed(self):
        envelope = self.make_long_envelope()
        data = peer_messages.encode(envelope)
        self.assertEqual(envelope, peer_messages.decode(data))
        self.assertTrue(len(data) < 20 * 100, len(data))

    def test_malformed_messages_are_refused(self):
        data = peer_messages.encode(self.make_long_envelope())
        for malformed in (b"", b"\2abc", b"\1abc", data[:-4], b"\1" + data):
            self.assertRaises(ValueError, peer_messages.decode, malformed)

    def test_decompression_bomb_is_refused(self):
        bomb = b"\1" + zlib.compress(bytes(peer_messages.MAX_UNPACKED_BYTES + 1), 9)
        self.assertRaises(ValueError, peer_messages.decode, bomb)


class SegmentTests(testtools.TestCase):
    """Messages too long for one segment, which the library reads lazily."""

    def make_envelope(self, count):
        records = [
            peer_messages.InstanceNews(
                f"edge-{n}", "suva", "r", 2**40 + n, f"10.0.0.{n}", 5, True, 9
            )
            for n in range(count)
        ]
        return peer_messages.Envelope(
            "me", 1, 2, True, peer_messages.Heartbeat(3, 4, records)
        )

    def test_round_trip(self):
        for count in (0, 60, 100, 200, 500, 2000):
            envelope = self.make_envelope(count)
            self.assertEqual(
                envelope, peer_messages.unpack(peer_messages.pack(envelope)), count
            )
        news = peer_messages.ConfigurationNews(8, "x" * 100_000)
        envelope = peer_messages.Envelope("me", 1, 2, False, news)
        self.assertEqual(envelope, peer_messages.unpack(peer_messages.pack(envelope)))

    def test_truncated_message_is_refused(self):
        packed = peer_messages.pack(self.make_envelope(500))
        self.assertNotEqual(0, packed[0] & peer_messages.SEGMENT_COUNT_TAG)
        for length in (*range(1, 100), *range(100, len(packed), 499), len(packed) - 1):
            self.assertRaises(
                (ValueError, capnp.KjException), peer_messages.unpack, packed[:length]
            )

    def test_missing_segment_is_refused(self):
        packed = bytes.fromhex("11010101050000")
        self.assertRaises((ValueError, capnp.KjException), peer_messages.unpack, packed)

    def test_run_of_zeros_that_is_too_long_is_refused(self):
        packed = b"\x11\x01\x01" + b"\x00\xff" * 40_000
        self.assertRaises(ValueError, peer_messages.unpack, packed)


def make_value(field, length):
    """Return a value of a field of a message class, with lists of a length."""
    if field.name in peer_messages.ITEM_CLASSES:
        item = make_message(peer_messages.ITEM_CLASSES[field.name], length)
        return [item] * length
    if field.name == "rows" and field.type is not str:
        return [b"row"] * length
    return {int: 3, float: 1.5, str: "name", bytes: b"text", bool: True}[field.type]


def make_message(cls, length):
    """Return a message of a class, with lists of a length."""
    fields = attrs.fields(cls)
    return cls(**{field.name: make_value(field, length) for field in fields})


MESSAGES = [
    make_message(cls, length)
    for cls in peer_messages.MESSAGE_CLASSES
    for length in (0, 2)
]
LONG_MESSAGES = [
    peer_messages.Heartbeat(1, 1, [make_message(peer_messages.InstanceNews, 0)] * 400),
    peer_messages.RelayAnswer(rows=[b"x" * 100] * 300),
]


@st.composite
def mutated(draw, messages):
    """Draw the bytes of a message in which some bytes differ, or are missing."""
    message = draw(st.sampled_from(messages))
    envelope = peer_messages.Envelope("a", 1, 2, False, message)
    data = bytearray(peer_messages.FORMAT_PLAIN + peer_messages.pack(envelope))
    for _ in range(draw(st.integers(0, 4))):
        place = draw(st.integers(0, len(data) - 1))
        data[place] = draw(st.sampled_from((0, 1, 127, 255)) | st.integers(0, 255))
    if draw(st.booleans()):
        del data[draw(st.integers(1, len(data))) :]
    return bytes(data)


class FuzzTests(testtools.TestCase):
    """Decoders give a message or an error, soon, whatever the bytes are."""

    def decode(self, data):
        started = time.process_time()
        try:
            for decode in (peer_messages.decode, peer_streams.StreamDecoder().decode):
                envelope = decode(data)
                peer_messages.encode(envelope)
        except (ValueError, KeyError, capnp.KjException):
            return
        finally:
            self.assertTrue(time.process_time() - started < 3.0, data.hex())

    @hypothesis.settings(max_examples=800, deadline=None, derandomize=True)
    @hypothesis.given(mutated(MESSAGES))
    def test_mutated_messages(self, data):
        self.decode(data)

    @hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
    @hypothesis.given(mutated(LONG_MESSAGES))
    def test_mutated_messages_of_several_segments(self, data):
        self.decode(data)

    @hypothesis.settings(max_examples=500, deadline=None, derandomize=True)
    @hypothesis.given(st.sampled_from((b"\0", b"\1", b"\2", b"")), st.binary())
    def test_any_bytes(self, kind, data):
        self.decode(kind + data)

    def test_list_that_claims_many_items_is_refused(self):
        record = peer_messages.InstanceNews("", "", "", 0, "", 0)
        count = peer_messages.MAX_ITEMS + 1
        envelope = peer_messages.Envelope(
            "a", 1, 2, False, peer_messages.Heartbeat(1, 1, [record] * count)
        )
        packed = peer_messages.pack(envelope)
        self.assertRaises(ValueError, peer_messages.unpack, packed)

    def test_items_without_a_size_are_refused(self):
        # A Heartbeat in 66 bytes whose list claims 663,552 items.
        packed = bytes.fromhex(
            "10195003020101010205020111051251040301016101010101000045017f51040305"
            "01010102000011111211111211111211111211110a01610162016301640000"
        )
        self.assertRaises(ValueError, peer_messages.unpack, packed)
