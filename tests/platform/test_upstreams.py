"""Tests of connections to members, also to some that answer what no member should."""

import types

import hypothesis
import testtools
from hypothesis import strategies as st
from twisted.internet import defer, error, testing
from twisted.python import failure

from pomelograde.core import placement, statements
from pomelograde.net import pools
from pomelograde.platform import upstreams

MEMBER = placement.Member(name="i-1", data_centre="a", host="h", port=1)
FUZZ = hypothesis.settings(derandomize=True, deadline=None, max_examples=500)
LINES = st.sampled_from(
    [
        b"DATAROW a",
        b"DATAROW",
        b"COMPLETE d",
        b"COMPLETE",
        b"ERROR RETRY",
        b"ERROR",
        b"READY I 1.2",
        b"READY",
        b"READY \xff " + b"9" * 5000,
        b"",
        b"\x00",
    ]
)


class Transport(testing.StringTransport):
    """Transport in memory."""

    def setTcpNoDelay(self, enabled):  # noqa: N802
        """Do nothing."""


class OpenTests(testtools.TestCase):
    def test_host_that_no_name_server_knows_fails_the_connection_only(self):
        reactor = testing.MemoryReactorClock()
        found = []
        opening = upstreams.open_connection(reactor, "g", MEMBER, "desk", "")
        defer.ensureDeferred(opening).addErrback(found.append)
        reason = failure.Failure(error.DNSLookupError())
        reactor.tcpClients[0][2].clientConnectionFailed(None, reason)
        self.assertIsInstance(found[0].value, pools.UpstreamOpenError)

    def open_to_silent_member(self, timeout_s):
        """Open a connection that is accepted and gets no answer.

        Returns what the opening fails with, and the transport of the connection.
        """
        reactor = testing.MemoryReactorClock()
        found = []
        opening = upstreams.open_connection(reactor, "g", MEMBER, "desk", "")
        opened = defer.ensureDeferred(opening)
        opened.addTimeout(timeout_s, reactor)
        opened.addErrback(found.append)
        connection = reactor.tcpClients[0][2].buildProtocol(None)
        transport = Transport()
        connection.makeConnection(transport)
        reactor.advance(min(timeout_s, upstreams.OPEN_TIMEOUT_S))
        return found[0].value, transport

    def test_connection_of_a_silent_member_is_closed(self):
        raised, transport = self.open_to_silent_member(60.0)
        self.assertIsInstance(raised, pools.UpstreamOpenError)
        self.assertTrue(transport.disconnected)

    # Guards against connections that checks before takeovers leave open for good.
    def test_connection_of_a_silent_member_is_closed_if_its_opener_gives_up(self):
        raised, transport = self.open_to_silent_member(0.5)
        self.assertIsInstance(raised, pools.UpstreamOpenError)
        self.assertTrue(transport.disconnected)


class AnswerTests(testtools.TestCase):
    def connect(self):
        connection = upstreams.UpstreamConnection("g", "i-1", "desk", lambda: 0.0)
        connection.ready.addErrback(lambda reason: reason.trap(pools.UpstreamOpenError))
        connection.makeConnection(Transport())
        return connection

    def read_status(self, row):
        answer = statements.Answer((row,), b"d", None, b"", b"I", None)
        return self.connect().read_status(answer)

    def test_status_with_numbers_of_any_length_never_raises(self):
        self.assertEqual((True, 3), self.read_status(b"primary 3 3.12 0 0 0 0")[:2])
        for row in (
            b"primary " + b"9" * 5000 + b" 3.12",
            b"primary 3 " + b"9" * 5000 + b".1",
            b"primary \xd9\xa3 3.12",
            b"primary -1 3.12",
            b"primary 3 3",
            b"",
        ):
            self.assertIsNone(self.read_status(row), row[:40])

    @FUZZ
    @hypothesis.given(
        fields=st.lists(
            st.binary(max_size=8)
            | st.sampled_from([b"primary", b"3", b"3.4", b"9" * 5000]),
            max_size=4,
        )
    )
    def test_arbitrary_status(self, fields):
        found = self.read_status(b" ".join(fields))
        if found is not None:
            self.assertTrue(0 <= found[1] < 10**18)

    @FUZZ
    @hypothesis.given(data=st.lists(LINES | st.binary(max_size=20), max_size=12))
    def test_arbitrary_lines_answer_or_close(self, data):
        connection = self.connect()
        connection.dataReceived(b"READY I 1.2\r\n")
        answers = []
        for _ in range(3):
            connection.ask_status(answers.append)
        connection.dataReceived(b"\r\n".join([*data, b""]))
        for answer in answers:
            self.assertIsInstance(answer, statements.Answer)
        pending = len(connection.response_handlers)
        self.assertTrue(connection.is_lost or len(answers) + pending == 3)

    @FUZZ
    @hypothesis.given(data=st.lists(LINES | st.binary(max_size=20), max_size=4))
    def test_arbitrary_lines_to_the_start(self, data):
        connection = self.connect()
        connection.dataReceived(b"\r\n".join([*data, b""]))
        connection.close()
        self.assertTrue(connection.ready.called)


class SettingsTests(testtools.TestCase):
    """Session settings that a statement runs with; the test answers as the member."""

    def setUp(self):
        super().setUp()
        self.connect()

    def connect(self):
        self.connection = upstreams.UpstreamConnection("g", "p", "desk", lambda: 0.0)
        self.connection.makeConnection(Transport())
        self.receive(b"COMPLETE -", b"READY I 1.0")
        self.answers = []
        self.losses = []
        self.connection.on_lost = self.losses.append
        self.sent()

    def receive(self, *lines):
        self.connection.dataReceived(b"".join(line + b"\r\n" for line in lines))

    def succeed(self):
        self.receive(b"COMPLETE -", b"READY I 1.0")

    def refuse(self):
        self.receive(b"ERROR FAILED", b"READY I 1.0")

    def sent(self):
        """Return the lines that were sent since the last call."""
        lines = self.connection.transport.value().decode().splitlines()
        self.connection.transport.clear()
        return [line.split(" ", 2)[2] for line in lines]

    def execute(self, prepared=None, **settings):
        settings = {name.encode(): value for name, value in settings.items()}
        statement = statements.Statement(
            b"id", statements.Operation.WRITE, b"WRITE k 1", value=b"1"
        )
        self.connection.execute(
            statement, prepared, None, settings, self.answers.append
        )

    def test_statement_is_sent_once_its_settings_are_in_effect(self):
        self.execute(x=b"1", y=b"2")
        self.assertEqual(["SET x 1", "SET y 2"], self.sent())
        self.succeed()
        self.assertEqual([], self.sent())
        self.assertFalse(self.connection.is_sent)
        self.succeed()
        self.assertEqual(["WRITE k 1"], self.sent())
        self.assertTrue(self.connection.is_sent)
        self.succeed()
        self.assertEqual(1, len(self.answers))
        self.execute(x=b"1", y=b"2")
        self.assertEqual(["WRITE k 1"], self.sent())

    def test_statement_does_not_run_behind_a_setting_that_is_refused(self):
        # It ran with the values of another session (review 12).
        for refused in (0, 1):
            self.connect()
            self.execute(x=b"1", y=b"2")
            for _ in range(refused):
                self.succeed()
            self.sent()
            self.refuse()
            self.assertEqual([], self.sent())
            self.assertEqual([], self.answers)
            self.assertEqual([True], self.losses)
            self.assertFalse(self.connection.is_sent)

    def test_statement_does_not_run_behind_a_reset_that_is_refused(self):
        self.execute(x=b"1")
        self.succeed()
        self.succeed()
        self.sent()
        self.execute(y=b"2")
        self.assertEqual(["DISCARD", "SET y 2"], self.sent())
        self.refuse()
        self.assertEqual([], self.sent())
        self.assertEqual([True], self.losses)

    def test_transaction_begins_once_its_settings_are_in_effect(self):
        self.connection.begin(False, None, {b"x": b"1"}, self.answers.append)
        self.assertEqual(["SET x 1"], self.sent())
        self.succeed()
        self.assertEqual(["BEGIN"], self.sent())

    def test_full_table_of_prepared_statements_is_emptied_first(self):
        count = upstreams.MAX_PREPARED_STATEMENTS
        for number in range(count):
            prepared = statements.Prepared(b"q%d" % number, True)
            self.connection.prepared[prepared] = b"p%d" % number
        self.execute(statements.Prepared(b"q", True))
        self.assertEqual(["DISCARD"], self.sent())
        self.succeed()
        self.assertEqual(2, len(self.sent()))

    def test_statement_that_nobody_waits_for_is_not_sent(self):
        self.execute(x=b"1")
        self.sent()
        self.connection.withdraw()
        self.succeed()
        self.assertEqual([], self.sent())
        self.execute(x=b"1")
        self.assertEqual(["DISCARD", "SET x 1"], self.sent())

    def test_observer_is_told_of_the_statement_alone(self):
        calls = []
        self.connection.observer = types.SimpleNamespace(
            on_sent=lambda connection, kind: calls.append("sent"),
            on_answer=lambda connection, answer: calls.append("answer"),
            on_handled=lambda connection: calls.append("handled"),
        )
        self.execute(x=b"1")
        self.succeed()
        self.assertEqual(["sent"], calls)
        self.succeed()
        self.assertEqual(["sent", "answer", "handled"], calls)
