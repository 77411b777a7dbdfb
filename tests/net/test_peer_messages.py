"""Tests of the encoding of messages between instances."""

import zlib

import capnp
import testtools

from pomelograde.net import peer_messages


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
        for length in (*range(1, 100), *range(100, len(packed), 97), len(packed) - 1):
            self.assertRaises(
                (ValueError, capnp.KjException), peer_messages.unpack, packed[:length]
            )

    def test_missing_segment_is_refused(self):
        packed = bytes.fromhex("11010101050000")
        self.assertRaises((ValueError, capnp.KjException), peer_messages.unpack, packed)

    def test_run_of_zeros_that_is_too_long_is_refused(self):
        packed = b"\x11\x01\x01" + b"\x00\xff" * 40_000
        self.assertRaises(ValueError, peer_messages.unpack, packed)
