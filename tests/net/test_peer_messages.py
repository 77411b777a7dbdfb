"""Tests of the encoding of messages between instances."""

import zlib

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
