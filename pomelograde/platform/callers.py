"""Caller connections: decodes statements and encodes their answers."""

import fcntl
import struct
import termios

from twisted.internet import interfaces, protocol
from zope import interface

from pomelograde.core import retries
from pomelograde.platform import _line_protocol

START_TIMEOUT_S = 5.0  # callers time out after 2 s
CLOSE_TIMEOUT_S = 30.0  # for a caller to read its last answers
CLOSE_LINGER_S = 0.2  # for a caller that has got them to close its end
CLOSE_CHECK_INTERVAL_S = 0.05

_KIND = retries.ErrorKind


class CallerProtocol(protocol.Protocol):
    """Connection of one caller.

    Parameters
    ----------
    reactor : IReactorTime
        Reactor.
    open_session : callable
        Called with this protocol, the database name and the API key. Returns a
        session with `receive(statement)`, `on_malformed(failure)` and
        `on_closed()`, or a Failure.
    on_refused : callable
        Called with the Failure when a session is refused.
    closing : set of CallerProtocol
        Connections that this instance closes, but that the caller has not closed
        yet.

    Attributes
    ----------
    session : object or None
        The session; None before it is opened and after the connection is lost.
    end_failure : Failure or None
        Why the session has ended; None before `announce_end`.
    end_status : bytes
        State of the session at its end.
    is_status_due : bool
        Whether the next request has been answered by `announce_end`, but for the
        state of the session.
    is_reading : bool
        Whether it handles requests that have arrived together.
    is_input_over : bool
        Whether all further input is discarded, as a line was too long.
    is_closing : bool
        Whether this instance closes the connection.
    close_timer : IDelayedCall or None
        Drops a caller that does not read its last answers; None before this
        instance closes its side.
    check_timer : IDelayedCall or None
        Next step of the close, once all data has been passed to the socket.
    """

    def __init__(self, reactor, open_session, on_refused, closing):
        self.reactor = reactor
        self.open_session = open_session
        self.on_refused = on_refused
        self.closing = closing
        self.reader = _line_protocol.LineReader()
        self.session = None
        self.start_timer = None
        self.end_failure = None
        self.end_status = b""
        self.is_status_due = False
        self.is_reading = False
        self.is_input_over = False
        self.is_closing = False
        self.close_timer = None
        self.check_timer = None

    def connectionMade(self):  # noqa: N802
        """Start the time limit for the start message."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.start_timer = self.reactor.callLater(
            START_TIMEOUT_S, self._on_start_timeout
        )

    def dataReceived(self, data):  # noqa: N802
        """Handle data from the caller; discard it once this side is closed."""
        if self.close_timer is not None or self.is_input_over:
            return
        try:
            lines = self.reader.feed(data)
        except _line_protocol.LineTooLongError as error:
            lines = error.lines
            self.is_input_over = True
        self.is_reading = True
        for line in lines:
            if self.is_closing and self.end_failure is None:
                break
            self._handle_line(line)
        if self.is_input_over:
            self._refuse_long_line()
        self.is_reading = False
        if self.is_closing:
            self._close()

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        """Tell the session that the caller has disconnected."""
        self._cancel_start_timer()
        for timer in (self.close_timer, self.check_timer):
            if timer is not None and timer.active():
                timer.cancel()
        self.closing.discard(self)
        self._end_session()

    def writeConnectionLost(self):  # noqa: N802
        """Close the connection once the caller's host has got everything."""
        self._end_session()
        self._check_sent()

    def readConnectionLost(self):  # noqa: N802
        """Close the connection after a caller that sends nothing more."""
        self.transport.loseConnection()

    def pauseProducing(self):  # noqa: N802
        """Stop reading from a caller that does not read its answers."""
        self.transport.pauseProducing()

    def resumeProducing(self):  # noqa: N802
        """Resume reading from the caller."""
        self.transport.resumeProducing()

    def stopProducing(self):  # noqa: N802
        """Do nothing; `connectionLost` handles the end of the connection."""

    def respond(self, answer, status):
        """Send the answer to the current statement."""
        self.transport.write(_line_protocol.encode_answer(answer, status))

    def refuse(self, failure, status):
        """Answer the current statement with an error."""
        self.transport.write(_line_protocol.encode_failure(failure, status))

    def announce_end(self, failure, status):
        """Tell an idle caller that its session has ended.

        A caller without a request closes the connection. If a request is on its
        way, its caller takes the error for the answer, so it must not run.

        Parameters
        ----------
        failure : Failure
            Answer to all later requests; it must say that nothing was run.
        status : bytes
            State of the session.
        """
        self.end_failure = failure
        self.end_status = status
        self.is_status_due = True
        self.transport.write(_line_protocol.encode_error(failure))

    def refuse_rest(self, failure, status):
        """Answer all later requests with an error.

        Parameters
        ----------
        failure : Failure
            Answer to the requests that have been read and not been handled yet.
        status : bytes
            State of the session.
        """
        self.end_failure = failure
        self.end_status = status

    def close_gracefully(self):
        """Close the connection after all answers have been sent.

        The requests that have arrived together with the one that is being handled
        get their answers first.

        Notes
        -----
        Closing a socket with unread bytes resets the connection, and the system
        drops what it has not sent yet. Only the sending side is closed at first,
        and incoming data is discarded until the caller closes its end, or
        `CLOSE_LINGER_S` after its host has confirmed everything. A caller whose
        host has not done so after `CLOSE_TIMEOUT_S` is dropped.
        """
        self.closing.add(self)
        self.is_closing = True
        if not self.is_reading:
            self._close()

    def _close(self):
        if self.close_timer is not None:
            return
        self.close_timer = self.reactor.callLater(
            CLOSE_TIMEOUT_S, self.transport.abortConnection
        )
        self.transport.unregisterProducer()
        self.transport.resumeProducing()
        # Only now: a caller that closes its sending side earlier has disconnected.
        interface.alsoProvides(self, interfaces.IHalfCloseableProtocol)
        self.transport.loseWriteConnection()

    def _check_sent(self):
        if _count_unconfirmed(self.transport.getHandle()):
            self.check_timer = self.reactor.callLater(
                CLOSE_CHECK_INTERVAL_S, self._check_sent
            )
        else:
            self.check_timer = self.reactor.callLater(
                CLOSE_LINGER_S, self.transport.loseConnection
            )

    def _end_session(self):
        session, self.session = self.session, None
        if session is not None:
            session.on_closed()

    def _handle_line(self, line):
        if self.session is None:
            self._handle_start(line)
            return
        if line == b"TERMINATE":
            self.close_gracefully()
            return
        if self.end_failure is not None:
            self._refuse_after_end()
            return
        try:
            statement = _line_protocol.decode_statement(line)
        except _line_protocol.MalformedLineError:
            self.session.on_malformed(retries.Failure(_KIND.MALFORMED_FRAME))
            return
        self.session.receive(statement)

    def _refuse_long_line(self):
        failure = retries.Failure(_KIND.FRAME_TOO_LARGE)
        if self.end_failure is not None:
            self._refuse_after_end()
            self.close_gracefully()
        elif self.is_closing:
            return
        elif self.session is not None:
            self.session.on_malformed(failure)
        else:
            self.refuse(failure, b"I")
            self.close_gracefully()

    def _refuse_after_end(self):
        if self.is_status_due:
            self.is_status_due = False
            self.transport.write(_line_protocol.encode_ready(self.end_status))
        else:
            self.refuse(self.end_failure, self.end_status)

    def _handle_start(self, line):
        self._cancel_start_timer()
        if line == b"TERMINATE":
            self.close_gracefully()
            return
        keyword, _, rest = line.partition(b" ")
        database, _, key = rest.partition(b" ")
        result = retries.Failure(_KIND.MALFORMED_FRAME)
        if keyword == b"START" and _line_protocol.is_token(database):
            result = self.open_session(
                self, database.decode("latin-1"), key.decode("latin-1")
            )
        if isinstance(result, retries.Failure):
            self.on_refused(result)
            self.transport.write(_line_protocol.encode_start_failure(result))
            self.close_gracefully()
            return
        self.session = result
        self.transport.write(b"READY I -\r\n")

    def _on_start_timeout(self):
        self.start_timer = None
        failure = retries.Failure(_KIND.STARTUP_TIMEOUT)
        self.on_refused(failure)
        self.transport.write(_line_protocol.encode_start_failure(failure))
        self.close_gracefully()

    def _cancel_start_timer(self):
        timer, self.start_timer = self.start_timer, None
        if timer is not None:
            timer.cancel()


class CallerFactory(protocol.ServerFactory):
    """Creates the protocol of each accepted connection.

    Parameters
    ----------
    reactor : IReactorTime
        Reactor.
    open_session, on_refused : callable
        As for `CallerProtocol`.

    Attributes
    ----------
    closing : set of CallerProtocol
        As for `CallerProtocol`.
    """

    noisy = False

    def __init__(self, reactor, open_session, on_refused):
        self.reactor = reactor
        self.open_session = open_session
        self.on_refused = on_refused
        self.closing = set()

    def buildProtocol(self, addr):  # noqa: N802
        """Return the protocol of a new connection."""
        return CallerProtocol(
            self.reactor, self.open_session, self.on_refused, self.closing
        )


def _count_unconfirmed(connected_socket):
    """Return the number of sent bytes that the other host has not confirmed."""
    # On sockets Linux calls this request SIOCOUTQ.
    packed = fcntl.ioctl(connected_socket, termios.TIOCOUTQ, bytes(4))
    return struct.unpack("i", packed)[0]
