"""Tests of the messages between instances."""

import zlib

import testtools

from pomelograde.net import peer_messages


class PeerMessageTests(testtools.TestCase):
    def test_round_trip(self):
        news = peer_messages.InstanceNews("a", "suva", "r", 7, "127.0.0.1", 5, True, 9)
        messages = [
            peer_messages.Heartbeat(3, 4, [news, news]),
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

    def make_long(self):
        news = [
            peer_messages.InstanceNews(
                f"edge-{n}", "suva", "r", 7, f"10.0.0.{n}", 5, True, 9
            )
            for n in range(100)
        ]
        return peer_messages.Envelope(
            "me", 1, 2, True, peer_messages.Heartbeat(3, 4, news)
        )

    def test_long_messages_are_compressed(self):
        envelope = self.make_long()
        data = peer_messages.encode(envelope)
        self.assertEqual(envelope, peer_messages.decode(data))
        self.assertTrue(len(data) < 20 * 100, len(data))

    def test_malformed_messages_are_told(self):
        data = peer_messages.encode(self.make_long())
        for broken in (b"", b"\2abc", b"\1abc", data[:-4], b"\1" + data):
            self.assertRaises(ValueError, peer_messages.decode, broken)

    def test_message_that_unpacks_to_too_much_is_refused(self):
        bomb = b"\1" + zlib.compress(bytes(peer_messages.MAX_BYTES + 1), 9)
        self.assertRaises(ValueError, peer_messages.decode, bomb)
