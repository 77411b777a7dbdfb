"""Tests of the HTTP client of the platform."""

import testtools
from twisted.internet import defer, protocol, testing

from pomelograde.platform import http

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 11\r\nStore-Era: 4\r\n\r\n{"ver":  3}'


class ClientTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.calls = []
        self.reactor = testing.MemoryReactorClock()
        self.client = http.HttpClient(
            self.reactor,
            "127.0.0.1:80",
            "",
            lambda name, outcome: self.calls.append((name, outcome)),
        )
        self.transports = []

    def start(self, connect=True, **arguments):
        """Start a call; returns a list that receives its Answer or Failure."""
        found = []
        attempts = len(self.reactor.tcpClients)
        call = self.client.call("read", "GET", "/rows", **arguments)
        defer.ensureDeferred(call).addBoth(found.append)
        if connect and len(self.reactor.tcpClients) > attempts:
            factory = self.reactor.tcpClients[-1][2]
            connection = factory.buildProtocol(None)
            transport = testing.StringTransport()
            transport.abortConnection = transport.loseConnection
            self.transports.append(transport)
            connection.makeConnection(transport)
            self.protocol = connection
        return found

    def deliver(self, data):
        self.protocol.dataReceived(data)

    def lose(self):
        self.protocol.connectionLost(protocol.connectionDone)

    def test_request_and_answer(self):
        found = self.start(query={"table": "a b"}, Lease_Holder="n1")
        sent = self.transports[0].value()
        self.assertTrue(sent.startswith(b"GET /rows?table=a+b HTTP/1.1\r\n"), sent)
        self.assertIn(b"Lease-Holder: n1\r\n", sent)
        for start in range(0, len(ANSWER), 7):
            self.deliver(ANSWER[start : start + 7])
        (answer,) = found
        self.assertEqual((200, {"ver": 3}), (answer.status, answer.body))
        self.assertEqual(["4"], answer.headers.getRawHeaders("store-era"))
        self.assertEqual([("read", "200")], self.calls)

    def test_body_is_sent_as_json(self):
        self.start(body={"puts": []})
        self.assertTrue(self.transports[0].value().endswith(b'\r\n\r\n{"puts": []}'))

    def test_connection_is_used_again_until_it_has_been_idle(self):
        for idle_s, connections in (
            (0.0, 1),
            (http.IDLE_CONNECTION_TIMEOUT_S / 2.0, 1),
            (http.IDLE_CONNECTION_TIMEOUT_S * 2.0, 2),
        ):
            self.reactor.advance(idle_s)
            found = self.start()
            self.assertEqual(connections, len(self.transports))
            self.deliver(ANSWER)
            self.assertEqual(1, len(found))

    def test_calls_at_the_same_time_have_connections_of_their_own(self):
        self.start()
        self.start()
        self.assertEqual(2, len(self.transports))

    def test_closed_idle_connection_is_not_used_again(self):
        self.start()
        self.deliver(ANSWER)
        self.lose()
        self.start()
        self.assertEqual(2, len(self.transports))

    def test_lost_connection_leaves_the_outcome_unknown(self):
        for part in (b"", ANSWER[:30]):
            found = self.start()
            if part:
                self.deliver(part)
            self.lose()
            self.assertTrue(found[0].check(http.UnavailableError))
        self.assertEqual([("read", "no_answer")] * 2, self.calls)

    def test_silent_server_is_given_up_after_the_time_limit(self):
        found = self.start(wait_s=1.0)
        self.reactor.advance(http.CALL_TIMEOUT_S + 0.9)
        self.assertEqual([], found)
        self.reactor.advance(0.2)
        self.assertTrue(found[0].check(http.UnavailableError))
        self.assertTrue(self.transports[0].disconnecting)
        self.lose()  # Must not fail the call a second time.
        self.assertEqual([("read", "no_answer")], self.calls)

    def test_long_answer_over_a_narrow_link_is_received_whole(self):
        found = self.start()
        for start in range(0, len(ANSWER), 7):
            self.reactor.advance(0.75 * http.CALL_TIMEOUT_S)
            self.deliver(ANSWER[start : start + 7])
        self.assertEqual(200, found[0].status)
        self.assertEqual([], self.reactor.getDelayedCalls())

    def test_answer_that_stops_arriving_is_given_up(self):
        found = self.start()
        self.deliver(ANSWER[:20])
        self.reactor.advance(0.9 * http.CALL_TIMEOUT_S)
        self.deliver(ANSWER[20:30])
        self.reactor.advance(0.9 * http.CALL_TIMEOUT_S)
        self.assertEqual([], found)
        self.reactor.advance(0.2 * http.CALL_TIMEOUT_S)
        self.assertEqual("TimeoutError", str(found[0].value))
        self.assertTrue(self.transports[0].disconnecting)

    def test_answer_that_begins_early_is_awaited_as_long_as_one_that_does_not(self):
        found = self.start(wait_s=5.0)
        self.deliver(ANSWER[:20])
        self.reactor.advance(5.0)
        self.deliver(ANSWER[20:])
        self.assertEqual(200, found[0].status)

    def test_answer_that_never_ends_is_given_up(self):
        found = self.start()
        self.deliver(ANSWER.replace(b"11", b"99"))
        sent_s = 0.0
        while not found and sent_s < 20.0:
            self.reactor.advance(0.5)
            self.deliver(b" ")
            sent_s += 0.5
        limit_s = http.CALL_TIMEOUT_S + http.MAX_ANSWER_S
        self.assertTrue(limit_s <= sent_s <= limit_s + 0.5, sent_s)

    def test_connection_that_is_not_made_counts_towards_the_time_limit(self):
        found = self.start(connect=False)
        self.reactor.advance(http.CALL_TIMEOUT_S + 0.1)
        self.assertTrue(found[0].check(http.UnavailableError))

    def test_malformed_answers_are_no_answers(self):
        for data in (
            b"nonsense\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{{{",
        ):
            found = self.start()
            self.deliver(data)
            if not found:
                self.lose()
            self.assertTrue(found[0].check(http.UnavailableError), data)


class ConnectionTests(testtools.TestCase):
    def test_answer_that_ends_with_the_connection_is_complete(self):
        connection = http.HttpConnection()
        transport = testing.StringTransport()
        connection.makeConnection(transport)
        found = []
        connection.request("GET", "/", [("Host", "h")], b"").addBoth(found.append)
        connection.dataReceived(b"HTTP/1.0 200 OK\r\n\r\nabc")
        self.assertEqual([], found)
        connection.connectionLost()
        self.assertEqual(b"abc", found[0][1])
