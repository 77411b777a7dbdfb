"""Tests of callers' connections on real sockets."""

import socket
import threading
import time

import testtools
from twisted.internet import selectreactor

from pomelograde.core import retries, statements
from pomelograde.platform import callers

ROW = b"x" * 900_000
LONG_ROW = b"x" * 9_000_000  # more than the sockets buffer


class Session:
    """Session that answers the first statement with one row."""

    def __init__(self, caller, row):
        self.caller = caller
        self.row = row
        self.received = 0

    def receive(self, statement):
        self.received += 1
        if self.received == 1:
            self.caller.respond(statements.Answer(rows=(self.row,), digest=b"d"), b"I")

    def on_closed(self):
        pass


class SlowCallerTests(testtools.TestCase):
    """A caller got a part of its answer, and then a reset connection."""

    def setUp(self):
        super().setUp()
        self.reactor = selectreactor.SelectReactor()
        self.sessions = []
        self.factory = callers.CallerFactory(self.reactor, self.open_session, None)
        port = self.reactor.listenTCP(0, self.factory, interface="127.0.0.1")
        self.client = socket.socket()
        self.addCleanup(self.client.close)
        self.client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        self.client.settimeout(20.0)
        self.client.connect(("127.0.0.1", port.getHost().port))
        self.received = []
        self.row = ROW

    def open_session(self, caller, database, key):
        self.sessions.append(Session(caller, self.row))
        return self.sessions[-1]

    def run_caller(self, *steps):
        """Run the steps of a caller whose answer has been written in full."""

        def call():
            try:
                self.client.sendall(b"START a b\r\n")
                self.client.recv(1000)
                self.client.sendall(b"QUERY q1 READ k\r\n")
                time.sleep(0.3)
                for step in steps:
                    step()
            finally:
                self.reactor.callFromThread(self.reactor.stop)

        thread = threading.Thread(target=call, daemon=True)
        thread.start()
        self.reactor.callLater(30.0, self.reactor.stop)
        self.reactor.run(installSignalHandlers=False)
        thread.join(1.0)

    def end(self):
        """End the session as a stop does."""
        self.reactor.callFromThread(self.end_in_reactor)

    def end_in_reactor(self):
        caller = self.sessions[0].caller
        failure = retries.Failure(retries.ErrorKind.DRAINING)
        caller.announce_end(failure, b"I")
        self.reactor.callLater(1.0, caller.close_gracefully)

    def send_late(self):
        """Send the next request after the instance began to close."""
        request = b"QUERY q2 READ k\r\n"
        threading.Timer(1.2, self.client.sendall, [request]).start()

    def read(self):
        """Read to the end in about 3 s."""
        try:
            while data := self.client.recv(len(self.row) // 55):
                self.received.append(data)
                time.sleep(0.05)
        except ConnectionError as error:
            self.received.append(repr(error).encode())

    def check_whole(self):
        received = b"".join(self.received)
        self.assertIn(b"COMPLETE d\r\nREADY I -\r\n", received[-400:])
        self.assertEqual(len(self.row), received.count(b"x" * 1000) * 1000)

    def test_answer_is_whole_though_a_request_arrives_after_the_end(self):
        self.run_caller(self.end, self.send_late, self.read)
        self.check_whole()
        self.assertEqual(1, self.sessions[0].received)

    def test_answer_is_whole_though_the_caller_had_stopped_being_read_from(self):
        self.row = LONG_ROW
        self.run_caller(self.end, self.send_late, self.read)
        self.check_whole()

    def test_answer_is_whole_though_the_caller_has_closed_its_sending_side(self):
        def shut():
            threading.Timer(1.2, self.client.shutdown, [socket.SHUT_WR]).start()

        self.run_caller(self.end, shut, self.read)
        self.check_whole()

    def test_connection_is_closing_until_the_caller_has_everything(self):
        seen = []

        def look():
            time.sleep(2.0)
            seen.append(len(self.factory.closing))
            self.read()
            time.sleep(callers.CLOSE_LINGER_S + 1.0)
            seen.append(len(self.factory.closing))

        self.run_caller(self.end, look)
        self.check_whole()
        self.assertEqual([1, 0], seen)

    def test_caller_that_keeps_its_end_open_is_dropped_soon(self):
        self.patch(callers, "CLOSE_LINGER_S", 1.0)
        seen = []

        def look():
            while self.client.recv(1_000_000):
                pass
            seen.append(len(self.factory.closing))
            time.sleep(callers.CLOSE_LINGER_S + 1.0)
            seen.append(len(self.factory.closing))

        self.run_caller(self.end, look)
        self.assertEqual([1, 0], seen)

    def test_caller_that_reads_nothing_is_dropped_at_the_time_limit(self):
        self.patch(callers, "CLOSE_TIMEOUT_S", 2.0)
        self.row = LONG_ROW
        seen = []

        def look():
            for pause_s in (2.0, 2.0):
                time.sleep(pause_s)
                seen.append(len(self.factory.closing))

        self.run_caller(self.end, look)
        self.assertEqual([1, 0], seen)
