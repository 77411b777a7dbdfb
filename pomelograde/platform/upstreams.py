"""Connections to upstream members."""

import collections

from twisted.internet import defer, endpoints, protocol
from twisted.internet import error as net_error

from pomelograde.core import statements
from pomelograde.net import pools
from pomelograde.platform import _lines

OPEN_TIMEOUT_S = 1.0  # a slow one takes 12 ms and two ways of 25 ms
MAX_PREPARED = 200  # statements kept prepared on one connection
MAX_ANSWER_BYTES = 4 * 1024 * 1024  # four rows of the greatest length


class UpstreamConnection(protocol.Protocol):
    """One connection to a member, for one client account.

    Parameters
    ----------
    service, member, role : str
        Database service, name of the member, and client account.
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    parts : deque of callable
        What takes each outstanding answer, in the order of the answers.
    settings : dict of bytes to bytes or None
        Settings that the connection has; None where they are not known.
    prepared : dict of Prepared to bytes
        Names of statements that are prepared on it.
    on_closed : callable or None
        Called with this connection once it is gone.
    on_lost : callable or None
        Called without arguments once it is gone with an answer outstanding.
    released_at : float
        When it was last given back.
    sent_at : float
        When something was last sent.
    is_counted : bool
        Whether it counts among the statements under way at its member.
    """

    is_remote = False

    def __init__(self, service, member, role, clock):
        self.clock = clock
        self.service = service
        self.member = member
        self.role = role
        self.reader = _lines.LineReader()
        self.parts = collections.deque()
        self.ready = defer.Deferred()
        self.settings = {}
        self.prepared = {}
        self.on_closed = None
        self.on_lost = None
        self.is_lost = False
        self.is_ready = False
        self.released_at = 0.0
        self.is_counted = False
        self.sent_at = 0.0
        self.start_error = None
        self._reset_answer()

    def connectionMade(self):  # noqa: N802
        """Name the service, the client account and the member."""
        self.transport.setTcpNoDelay(True)
        start = _lines.write_start(self.service, self.role, self.member)
        self.transport.write(start)

    def dataReceived(self, data):  # noqa: N802
        """Take bytes of the member."""
        try:
            lines = self.reader.feed(data)
        except _lines.LineTooLongError:
            self.close()
            return
        for line in lines:
            if self.is_lost:
                return
            self._take_line(line)

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        """Tell whoever waits."""
        self._end()

    def begin(self, read_only, after, settings, done):
        """Open a transaction; `done` is called with the Answer."""
        lines = self._prepare_settings(settings)
        lines.append(_lines.write_begin(read_only, after))
        self._send(lines, done)

    def execute(self, statement, prepared, after, settings, done):
        """Run a caller's statement; `done` is called with the Answer."""
        lines = self._prepare_settings(settings)
        name = None
        if prepared is not None:
            name = self.prepared.get(prepared)
            if name is None:
                if len(self.prepared) >= MAX_PREPARED:
                    lines.append(_lines.RESET)
                    self.settings = {}
                    self.prepared.clear()
                    lines.extend(self._prepare_settings(settings))
                name = self.prepared[prepared] = b"p%d" % len(self.prepared)
                lines.append(_lines.write_prepare(name, prepared))
        lines.append(_lines.write_statement(statement, name, after))
        self._send(lines, done)

    def roll_back(self, done):
        """End the open transaction; `done` is called with the Answer."""
        self._send([_lines.ROLLBACK], done)

    def ask_position(self, done):
        """Ask for the log's position, without taking one of the member's slots."""
        self.settings = {}
        self.prepared.clear()
        self._send([_lines.RESET], done)

    def ask_status(self, done):
        """Ask what the member knows of itself; `done` is called with the Answer."""
        self._send([_lines.STATUS], done)

    def read_status(self, answer):
        """Return whether it leads, term and received position, or None."""
        return _lines.read_status(answer)

    def pause(self, term, done):
        """Let a replica receive nothing more; `done` is called with the Answer."""
        self._send([_lines.write_pause(term)], done)

    def resume(self, done):
        """Let a replica receive again."""
        self._send([_lines.RESUME], done)

    def step_down(self, term, done):
        """Make a primary of a lower term a replica."""
        self._send([_lines.write_step_down(term)], done)

    def close(self):
        """Close the connection, and tell whoever waits."""
        if not self.is_lost:
            self.transport.abortConnection()
            self._end()

    def _prepare_settings(self, settings):
        lines = []
        if self.settings is not settings and self.settings != settings:
            lines = _lines.write_settings(self.settings, settings)
            if lines and lines[0] == _lines.RESET:
                self.prepared.clear()
        self.settings = settings
        return lines

    def _send(self, lines, done):
        self.sent_at = self.clock()
        self.parts.extend([self._on_own_answer] * (len(lines) - 1))
        self.parts.append(done)
        self.transport.write(b"".join(lines))

    def _on_own_answer(self, answer):
        """Close the connection if a statement of the proxy's own has failed."""
        if answer.error is not None:
            self.close()

    def _take_line(self, line):
        word, _, rest = line.partition(b" ")
        if word == b"DATAROW":
            self.rows.append(rest)
            self.answer_bytes += len(rest)
            if self.answer_bytes > MAX_ANSWER_BYTES:
                self.close()
        elif word == b"COMPLETE":
            self.digest = rest
        elif word == b"ERROR":
            self._take_error(rest)
        elif word == b"READY":
            self._take_ready(rest)
        else:
            self.close()

    def _take_error(self, rest):
        code, _, self.error_text = rest.partition(b" ")
        errors = _lines.UPSTREAM_ERRORS
        self.error = errors.get(code, statements.UpstreamError.OTHER)
        if not self.is_ready:
            self.start_error = self.error
            self.close()

    def _take_ready(self, rest):
        status, _, position = rest.partition(b" ")
        answer = statements.Answer(
            rows=tuple(self.rows),
            digest=None if self.error is not None else self.digest,
            error=self.error,
            text=self.error_text,
            status=status,
            position=_lines.read_position(position),
        )
        self._reset_answer()
        if not self.is_ready:
            self.is_ready = True
            self.ready.callback(answer)
        elif self.parts:
            if answer.error is statements.UpstreamError.UNKNOWN_STATEMENT:
                self.prepared.clear()
                self.settings = None
            self.parts.popleft()(answer)
        else:
            self.close()

    def _reset_answer(self):
        self.rows = []
        self.answer_bytes = 0
        self.digest = None
        self.error = None
        self.error_text = b""

    def _end(self):
        if self.is_lost:
            return
        self.is_lost = True
        outstanding = bool(self.parts)
        self.parts.clear()
        on_closed, self.on_closed = self.on_closed, None
        on_lost, self.on_lost = self.on_lost, None
        if not self.is_ready and not self.ready.called:
            full = self.start_error is statements.UpstreamError.TOO_MANY_CONNECTIONS
            reason = self.start_error.value if self.start_error else "closed"
            # Another member may have the address by now.
            refused = self.start_error is not statements.UpstreamError.MISDIRECTED
            self.ready.errback(
                pools.UpstreamOpenError(reason, refused=refused, is_full=full)
            )
        if on_closed is not None:
            on_closed(self)
        if on_lost is not None:
            on_lost(outstanding)


_NOT_OPENED = (
    net_error.ConnectError,
    net_error.ConnectingCancelledError,
    defer.CancelledError,
)


async def open_connection(reactor, service, member, role, bind_host):
    """Open a connection to a member.

    Parameters
    ----------
    reactor : IReactorTCP
        Reactor.
    service : str
        Database service.
    member : Member
        The member.
    role : str
        Client account that it is opened for.
    bind_host : str
        IP address to connect from.

    Returns
    -------
    UpstreamConnection
        Ready for statements.

    Raises
    ------
    UpstreamOpenError
        If it can't be opened.
    """
    connection = UpstreamConnection(service, member.name, role, reactor.seconds)
    endpoint = endpoints.TCP4ClientEndpoint(
        reactor,
        member.host,
        member.port,
        timeout=OPEN_TIMEOUT_S,
        bindAddress=(bind_host, 0) if bind_host else None,
    )
    try:
        await endpoints.connectProtocol(endpoint, connection)
    except _NOT_OPENED as error:
        raise pools.UpstreamOpenError(str(error) or "no answer") from error
    connection.ready.addTimeout(OPEN_TIMEOUT_S, reactor)
    try:
        await connection.ready
    except defer.TimeoutError as error:
        connection.close()
        raise pools.UpstreamOpenError("no answer to the start") from error
    return connection
