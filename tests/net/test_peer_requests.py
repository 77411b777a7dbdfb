"""Time limits of requests between instances, without a network."""

import struct
import types

import testtools
from twisted.internet import defer, testing

from pomelograde.core import membership
from pomelograde.net import peer_messages, peers

TIMEOUT_S = 0.3


class PeerCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reactor = testing.MemoryReactorClock()
        own = membership.Instance("own", "x", 1, "127.0.0.1", 1)
        context = types.SimpleNamespace(
            reactor=self.reactor,
            members=types.SimpleNamespace(own=own, records={}),
            settings=types.SimpleNamespace(
                addresses=types.SimpleNamespace(bind_host="")
            ),
        )
        self.task = peers.PeerTask(context, peers.PlainPeers())
        self.peer = membership.Instance("a", "x", 1, "127.0.0.1", 2)

    def start_request(self):
        """Start a request; returns a list that gets its reply or failure."""
        results = []
        ping = peer_messages.Ping()
        request = self.task.request(self.peer, ping, TIMEOUT_S)
        defer.ensureDeferred(request).addBoth(results.append)
        return results

    def connect(self):
        """Complete the connection to the peer; returns its transport."""
        _, _, factory, _, _ = self.reactor.tcpClients[0]
        connection = factory.buildProtocol(None)
        transport = testing.StringTransport()
        connection.makeConnection(transport)
        return transport


class RequestTests(PeerCase):
    def test_time_limit_includes_the_connection(self):
        results = self.start_request()
        self.reactor.advance(TIMEOUT_S - 0.01)
        self.assertEqual([], results)
        self.reactor.advance(0.02)
        self.assertIsInstance(results[0].value, peers.PeerUnreachableError)

    def test_request_that_has_timed_out_is_not_sent(self):
        self.start_request()
        self.reactor.advance(TIMEOUT_S)
        transport = self.connect()
        self.assertEqual(b"", transport.value())

    def test_request_that_is_cancelled_before_it_was_sent_is_not_sent(self):
        request = self.task.request(self.peer, peer_messages.Ping(), TIMEOUT_S)
        sending = defer.ensureDeferred(request)
        sending.addErrback(lambda reason: reason.trap(defer.CancelledError))
        sending.cancel()
        transport = self.connect()
        self.assertEqual(b"", transport.value())
        self.assertEqual({}, self.task.pending_replies)

    def test_request_is_sent_once_the_connection_is_open(self):
        results = self.start_request()
        transport = self.connect()
        self.assertEqual([], results)
        self.assertNotEqual(b"", transport.value())


class ReplyTests(PeerCase):
    """Replies that no request over the same connection waits for."""

    def accept(self):
        """Return a connection that another peer has opened."""
        connection = self.task.buildProtocol(None)
        connection.makeConnection(testing.StringTransport())
        return connection

    def reply(self, connection, sender, request_id, message):
        envelope = peer_messages.Envelope(sender, 1, request_id, True, message)
        data = peer_messages.encode(envelope)
        connection.dataReceived(struct.pack(">I", len(data)) + data)

    def test_reply_over_another_connection_answers_no_request(self):
        results = self.start_request()
        self.connect()
        stranger = self.accept()
        for request_id in range(5):
            self.reply(stranger, "b", request_id, peer_messages.Empty())
        self.assertEqual([], results)
        owner = self.task.connections["a"]
        self.reply(owner, "a", 1, peer_messages.Empty())
        self.assertEqual([peer_messages.Empty()], results)

    def test_repeated_reply_answers_no_later_request(self):
        first = self.start_request()
        self.connect()
        owner = self.task.connections["a"]
        for _ in range(3):
            self.reply(owner, "a", 1, peer_messages.Empty())
        second = self.start_request()
        self.reply(owner, "a", 1, peer_messages.RelayAnswer())
        self.assertEqual(([peer_messages.Empty()], []), (first, second))
        self.reply(owner, "a", 2, peer_messages.Ping())
        self.assertEqual([peer_messages.Ping()], second)
