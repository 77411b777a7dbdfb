"""Connections of callers: lines in, typed statements out, and back."""

from twisted.internet import protocol

from pomelograde.core import retries
from pomelograde.platform import _lines

START_TIMEOUT_S = 5.0  # callers give up a start after 2 s

_KIND = retries.ErrorKind


class CallerProtocol(protocol.Protocol):
    """One caller's connection.

    Parameters
    ----------
    reactor : IReactorTime
        Reactor.
    open_session : callable
        Called with this protocol, database name and key; returns a task with
        `receive(statement)` and `on_closed()`, or a Failure.
    on_refused : callable
        Called with the Failure of a session that could not be opened.

    Attributes
    ----------
    task : object or None
        Task of the session, once it is open.
    """

    def __init__(self, reactor, open_session, on_refused):
        self.reactor = reactor
        self.open_session = open_session
        self.on_refused = on_refused
        self.reader = _lines.LineReader()
        self.task = None
        self.timer = None

    def connectionMade(self):  # noqa: N802
        """Wait for the start of the session."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.timer = self.reactor.callLater(START_TIMEOUT_S, self._on_start_timeout)

    def dataReceived(self, data):  # noqa: N802
        """Take bytes of the caller."""
        try:
            lines = self.reader.feed(data)
        except _lines.LineTooLongError:
            self.refuse(retries.Failure(_KIND.FRAME_TOO_LARGE), b"I")
            self.finish()
            return
        for line in lines:
            if self.transport.disconnecting:
                return
            self._take_line(line)

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        """Tell the task that the caller is gone."""
        self._stop_timer()
        task, self.task = self.task, None
        if task is not None:
            task.on_closed()

    def pauseProducing(self):  # noqa: N802
        """Read nothing more from a caller that does not take its answers."""
        self.transport.pauseProducing()

    def resumeProducing(self):  # noqa: N802
        """Read from the caller again."""
        self.transport.resumeProducing()

    def stopProducing(self):  # noqa: N802
        """Do nothing; the loss of the connection says it all."""

    def respond(self, answer, status):
        """Answer the statement under way with success."""
        self.transport.write(_lines.write_answer(answer, status))

    def refuse(self, failure, status):
        """Answer the statement under way with an error."""
        self.transport.write(_lines.write_failure(failure, status))

    def finish(self):
        """Close the connection once everything is sent."""
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def _take_line(self, line):
        if self.task is None:
            self._start(line)
            return
        if line == b"TERMINATE":
            self.finish()
            return
        try:
            statement = _lines.read_statement(line)
        except _lines.MalformedLineError:
            self.task.on_malformed()
            return
        self.task.receive(statement)

    def _start(self, line):
        self._stop_timer()
        if line == b"TERMINATE":
            self.finish()
            return
        word, _, rest = line.partition(b" ")
        database, _, key = rest.partition(b" ")
        opened = retries.Failure(_KIND.MALFORMED_FRAME)
        if word == b"START" and _lines.is_token(database):
            opened = self.open_session(
                self, database.decode("latin-1"), key.decode("latin-1")
            )
        if isinstance(opened, retries.Failure):
            self.on_refused(opened)
            self.transport.write(_lines.write_start_failure(opened))
            self.finish()
            return
        self.task = opened
        self.transport.write(b"READY I -\r\n")

    def _on_start_timeout(self):
        self.timer = None
        failure = retries.Failure(_KIND.STARTUP_TIMEOUT)
        self.on_refused(failure)
        self.transport.write(_lines.write_start_failure(failure))
        self.finish()

    def _stop_timer(self):
        timer, self.timer = self.timer, None
        if timer is not None:
            timer.cancel()


class CallerFactory(protocol.ServerFactory):
    """Makes the protocol of each accepted connection.

    Parameters
    ----------
    reactor : IReactorTime
        Reactor.
    open_session, on_refused : callable
        As `CallerProtocol` takes them.
    """

    noisy = False

    def __init__(self, reactor, open_session, on_refused):
        self.reactor = reactor
        self.open_session = open_session
        self.on_refused = on_refused

    def buildProtocol(self, addr):  # noqa: N802
        """Return a new protocol."""
        return CallerProtocol(self.reactor, self.open_session, self.on_refused)
