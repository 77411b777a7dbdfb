"""Tests of the messages between instances."""

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
