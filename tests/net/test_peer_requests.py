"""Time limits of requests between instances, without a network."""

import struct
import types

import attrs
import hypothesis
import testtools
from hypothesis import strategies as st
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


class MalformedMessageTests(PeerCase):
    def setUp(self):
        super().setUp()
        self.lines = []
        self.task.context.log = types.SimpleNamespace(
            write=lambda event, **fields: self.lines.append((event, fields))
        )
        self.task.context.now = self.reactor.seconds
        self.connection = self.task.buildProtocol(None)
        self.transport = testing.StringTransport()
        self.connection.makeConnection(self.transport)

    def send(self, message, request_id=0, sender="b"):
        envelope = peer_messages.Envelope(sender, 1, request_id, False, message)
        self.send_bytes(peer_messages.encode(envelope))

    def send_bytes(self, data):
        self.connection.dataReceived(struct.pack(">I", len(data)) + data)

    def assert_rejected(self, count=1):
        names = [event.name for event, _ in self.lines]
        self.assertEqual(["MESSAGE_REJECTED"] * count, names)

    def test_bytes_that_are_no_message_close_the_connection_with_an_event(self):
        self.send(peer_messages.Ping())
        self.send_bytes(b"\0abc")
        self.assertTrue(self.transport.disconnecting)
        self.assert_rejected()
        self.assertEqual("b", self.lines[0][1]["sender"])

    def test_message_that_is_too_long_closes_the_connection_with_an_event(self):
        self.connection.dataReceived(b"\xff\xff\xff\xff")
        self.assertTrue(self.transport.disconnecting)
        self.assert_rejected()

    def test_message_without_a_sender_closes_the_connection_with_an_event(self):
        self.send(peer_messages.Ping(), sender="")
        self.assertTrue(self.transport.disconnecting)
        self.assert_rejected()

    def test_message_that_its_handler_fails_on_is_dropped_with_an_event(self):
        def fail(message, envelope):
            raise ValueError

        async def fail_later(message, envelope):
            raise ValueError

        handlers = self.task.handlers
        handlers[peer_messages.Leaving] = fail
        handlers[peer_messages.FloorRequest] = lambda message, envelope: (
            defer.ensureDeferred(fail_later(message, envelope))
        )
        handlers[peer_messages.Ping] = lambda message, envelope: None
        self.send(peer_messages.Leaving())
        self.send(peer_messages.FloorRequest("g"), 7)
        self.assert_rejected(2)
        self.assertEqual(b"", self.transport.value())
        self.send(peer_messages.Ping(), 8)
        self.assertNotEqual(b"", self.transport.value())
        self.assertFalse(self.transport.disconnecting)

    def test_reply_that_cannot_be_encoded_is_left_out_with_an_event(self):
        handlers = self.task.handlers
        handlers[peer_messages.FloorRequest] = lambda message, envelope: (
            peer_messages.FloorAnswer(True, -1, 2**70)
        )
        self.send(peer_messages.FloorRequest("g"), 7)
        self.assert_rejected()
        self.assertEqual(b"", self.transport.value())

    def test_message_that_cannot_be_encoded_is_left_out_with_an_event(self):
        self.task.send(self.peer, peer_messages.ConfigurationRequest(2**70))
        self.connect()
        self.assert_rejected()

    def test_address_that_cannot_be_used_fails_every_request_to_it(self):
        for host, port in (("no.example", 70_000), ("127.0.0.1", "x"), (None, 5)):
            peer = attrs.evolve(self.peer, host=host, peer_port=port)
            self.task.security = BrokenSecurity()
            for _ in range(2):
                results = []
                request = self.task.request(peer, peer_messages.Ping(), TIMEOUT_S)
                defer.ensureDeferred(request).addBoth(results.append)
                self.assertTrue(results[0].check(peers.PeerUnreachableError), host)
                self.assertFalse(results[0].check(peers.NoReplyError))
            self.assertEqual({}, self.task.connecting)

    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    @hypothesis.given(st.lists(st.binary(max_size=40), max_size=5), st.booleans())
    def test_any_bytes_raise_nothing(self, pieces, framed):
        self.connection = self.task.buildProtocol(None)
        self.connection.makeConnection(testing.StringTransport())
        for piece in pieces:
            if framed:
                self.send_bytes(piece)
            else:
                self.connection.dataReceived(piece)


class BrokenSecurity(peers.PlainPeers):
    """Connections that fail as those to an odd address do."""

    def wrap_endpoint(self, endpoint, name):
        return types.SimpleNamespace(
            connect=lambda factory: defer.fail(OverflowError("port must be 0-65535"))
        )
