"""Connections to upstream members."""

import collections
import functools

from twisted.internet import defer, endpoints, protocol
from twisted.internet import error as net_error

from pomelograde.core import statements
from pomelograde.net import pools
from pomelograde.platform import _line_protocol

OPEN_TIMEOUT_S = 1.0  # a slow member takes 12 ms, plus a round trip of 50 ms
MAX_PREPARED_STATEMENTS = 200  # per connection
MAX_ANSWER_BYTES = 4 * 1024 * 1024  # four rows of maximum length


class UpstreamConnection(protocol.Protocol):
    """Connection to a member on behalf of one client account.

    Parameters
    ----------
    service, member, role : str
        Database service, name of the member, and name of the client account.
    clock : callable
        Returns monotonic time in seconds.

    Attributes
    ----------
    response_handlers : deque of callable
        Handlers of the outstanding answers, in the order of the answers.
    ready : Deferred
        Fires with the first Answer; fails with `UpstreamOpenError` if the
        connection is lost before.
    start_error : UpstreamError or None
        Error with which the member refused the start message.
    settings : dict of bytes to bytes or None
        Session settings in effect on the connection; None if unknown.
    prepared : dict of Prepared to bytes
        Names of the statements that are prepared on the connection.
    on_closed : callable or None
        Called with this connection after it is lost.
    on_lost : callable or None
        Called after the connection is lost, with whether an answer was outstanding.
    released_at : float
        Time of the last release to the pool.
    sent_at : float
        Time of the last request.
    on_sent : callable or None
        Called with the number of requests when some are sent.
    on_cut : callable or None
        Called when the connection ends other than by `close`.
    observer : object or None
        Is told by `on_sent(connection, kind)` of each statement, and by
        `on_answer(connection, answer)` of its answer before that is handled, and
        `on_handled(connection)` afterwards.
    is_counted : bool
        Whether it is included in the member's count of outstanding statements.
    pending : callable or None
        Sends the statement that waits until the session settings are in effect.
    is_sent : bool
        Whether the last statement was sent.
    """

    is_remote = False

    def __init__(self, service, member, role, clock):
        self.clock = clock
        self.service = service
        self.member = member
        self.role = role
        self.reader = _line_protocol.LineReader()
        self.response_handlers = collections.deque()
        self.ready = defer.Deferred()
        self.settings = {}
        self.prepared = {}
        self.on_closed = None
        self.on_lost = None
        self.on_sent = None
        self.on_cut = None
        self.is_lost = False
        self.is_ready = False
        self.released_at = 0.0
        self.is_counted = False
        self.sent_at = 0.0
        self.observer = None
        self.start_error = None
        self.pending = None
        self.is_sent = True
        self._reset_answer()

    def connectionMade(self):  # noqa: N802
        """Send the start message."""
        self.transport.setTcpNoDelay(True)
        start = _line_protocol.encode_start(self.service, self.role, self.member)
        self.transport.write(start)

    def dataReceived(self, data):  # noqa: N802
        """Handle data from the member."""
        try:
            lines = self.reader.feed(data)
        except _line_protocol.LineTooLongError:
            self.close()
            return
        for line in lines:
            if self.is_lost:
                return
            self._handle_line(line)

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        """Report the loss of the connection."""
        if self.on_cut is not None and not self.is_lost:
            self.on_cut()
        self._handle_loss()

    def begin(self, read_only, after, settings, done):
        """Start a transaction; `done` is called with the Answer.

        `after` is the position that the member's log must have reached, or None.
        `settings` holds the session settings to run with, by name.
        """
        lines = [_line_protocol.encode_begin(read_only, after)]
        self._send_prepared(self._apply_settings(settings), lines, done, None)

    def execute(self, statement, prepared, after, settings, done):
        """Run a caller's statement; `done` is called with the Answer.

        `after` is the position that the member's log must have reached, or None.
        `settings` holds the session settings to run with, by name.
        """
        preparation = self._apply_settings(settings)
        lines = []
        name = None
        if prepared is not None:
            name = self.prepared.get(prepared)
            if name is None:
                if len(self.prepared) >= MAX_PREPARED_STATEMENTS:
                    preparation.append(_line_protocol.RESET)
                    self.settings = {}
                    self.prepared.clear()
                    preparation.extend(self._apply_settings(settings))
                name = self.prepared[prepared] = b"p%d" % len(self.prepared)
                lines.append(_line_protocol.encode_prepare(name, prepared))
        lines.append(_line_protocol.encode_statement(statement, name, after))
        writes = prepared is not None and prepared.writes
        self._send_prepared(preparation, lines, done, (statement.operation, writes))

    def roll_back(self, done):
        """Roll back the open transaction; `done` is called with the Answer."""
        self._send([_line_protocol.ROLLBACK], done)

    def ask_position(self, done):
        """Request the position of the member's log; `done` is called with the Answer.

        A reset is sent for this, since it does not occupy one of the member's
        slots. It drops session settings and prepared statements.
        """
        self.settings = {}
        self.prepared.clear()
        self._send([_line_protocol.RESET], done)

    def ask_status(self, done):
        """Request the member's status; `done` is called with the Answer."""
        self._send([_line_protocol.STATUS], done)

    def read_status(self, answer):
        """Decode the Answer to a status request.

        Returns
        -------
        tuple of (bool, int, Position) or None
            Whether the member is the primary, the highest term that it knows, and
            the last log position that it has received; None for an error.
        """
        return _line_protocol.decode_status(answer)

    def pause(self, term, done):
        """Stop a replica from receiving the log; `done` is called with the Answer."""
        self._send([_line_protocol.encode_pause(term)], done)

    def resume(self, done):
        """Let a paused replica receive again; `done` is called with the Answer."""
        self._send([_line_protocol.RESUME], done)

    def step_down(self, term, done):
        """Demote a primary of a lower term; `done` is called with the Answer."""
        self._send([_line_protocol.encode_step_down(term)], done)

    def close(self):
        """Close the connection and report its loss."""
        if not self.is_lost:
            self.transport.abortConnection()
            self._handle_loss()

    def _apply_settings(self, settings):
        """Record the session settings and return the lines that bring them into effect.

        A reset among these lines drops the prepared statements.
        """
        lines = []
        if self.settings is not settings and self.settings != settings:
            lines = _line_protocol.encode_settings(self.settings, settings)
            if lines and lines[0] == _line_protocol.RESET:
                self.prepared.clear()
        self.settings = settings
        return lines

    def withdraw(self):
        """Don't send the statement that waits for the session settings."""
        if self.pending is not None:
            self.pending = None
            self.settings = None

    def _send_prepared(self, preparation, lines, done, kind):
        """Send a statement once the lines that prepare it have succeeded.

        Notes
        -----
        A member runs the statement behind a setting that it has refused, with the
        values of the session before.
        """
        if not preparation:
            self._send_statement(lines, done, kind)
            return
        self.is_sent = False
        self.pending = functools.partial(self._send_statement, lines, done, kind)
        self._send(preparation, self._on_settings_answer)

    def _send_statement(self, lines, done, kind):
        self.is_sent = True
        self._send(lines, done)
        if self.observer is not None:
            self.observer.on_sent(self, kind)

    def _on_settings_answer(self, answer):
        """Send the pending statement, or close the connection."""
        self._on_internal_answer(answer)
        pending, self.pending = self.pending, None
        if pending is not None and not self.is_lost:
            pending()

    def _send(self, lines, done):
        """Send lines, of which the answer to the last one is passed to `done`."""
        self.sent_at = self.clock()
        self.response_handlers.extend([self._on_internal_answer] * (len(lines) - 1))
        self.response_handlers.append(done)
        if self.on_sent is not None:
            self.on_sent(len(lines))
        self.transport.write(b"".join(lines))

    def _on_internal_answer(self, answer):
        """Close the connection if a statement that the proxy issued has failed."""
        if answer.error is not None:
            self.close()

    def _handle_line(self, line):
        keyword, _, rest = line.partition(b" ")
        if keyword == b"DATAROW":
            self.rows.append(rest)
            self.answer_bytes += len(rest)
            if self.answer_bytes > MAX_ANSWER_BYTES:
                self.close()
        elif keyword == b"COMPLETE":
            self.digest = rest
        elif keyword == b"ERROR":
            self._handle_error(rest)
        elif keyword == b"READY":
            self._handle_ready(rest)
        else:
            self.close()

    def _handle_error(self, rest):
        code, _, self.error_text = rest.partition(b" ")
        errors = _line_protocol.UPSTREAM_ERRORS
        self.error = errors.get(code, statements.UpstreamError.OTHER)
        if not self.is_ready:
            self.start_error = self.error
            self.close()

    def _handle_ready(self, rest):
        status, _, position = rest.partition(b" ")
        answer = statements.Answer(
            rows=tuple(self.rows),
            digest=None if self.error is not None else self.digest,
            error=self.error,
            text=self.error_text,
            status=status,
            position=_line_protocol.decode_position(position),
        )
        self._reset_answer()
        if not self.is_ready:
            self.is_ready = True
            self.ready.callback(answer)
        elif self.response_handlers:
            if answer.error is statements.UpstreamError.UNKNOWN_STATEMENT:
                self.prepared.clear()
                self.settings = None
            self._handle_answer(self.response_handlers.popleft(), answer)
        else:
            self.close()

    def _handle_answer(self, handler, answer):
        observer = self.observer
        is_internal = self.response_handlers or self.pending is not None
        if observer is None or is_internal:
            handler(answer)
            return
        observer.on_answer(self, answer)
        handler(answer)
        observer.on_handled(self)

    def _reset_answer(self):
        self.rows = []
        self.answer_bytes = 0
        self.digest = None
        self.error = None
        self.error_text = b""

    def _handle_loss(self):
        if self.is_lost:
            return
        self.is_lost = True
        outstanding = bool(self.response_handlers) or self.pending is not None
        self.response_handlers.clear()
        self.pending = None
        on_closed, self.on_closed = self.on_closed, None
        on_lost, self.on_lost = self.on_lost, None
        if not self.is_ready and not self.ready.called:
            is_full = self.start_error is statements.UpstreamError.TOO_MANY_CONNECTIONS
            reason = self.start_error.value if self.start_error else "closed"
            # The address may belong to another member by now, so the refusal does
            # not show that the member is alive.
            is_misdirected = self.start_error is statements.UpstreamError.MISDIRECTED
            self.ready.errback(
                pools.UpstreamOpenError(
                    reason,
                    refused=not is_misdirected,
                    is_full=is_full,
                    is_misdirected=is_misdirected,
                )
            )
        if on_closed is not None:
            on_closed(self)
        if on_lost is not None:
            on_lost(outstanding)


_CONNECT_ERRORS = (
    net_error.ConnectError,
    net_error.DNSLookupError,
    net_error.ConnectingCancelledError,
    defer.CancelledError,
)


async def open_connection(reactor, service, member, role, bind_host):
    """Connect to a member and wait until it accepts the start message.

    Parameters
    ----------
    reactor : IReactorTCP
        Reactor.
    service : str
        Database service.
    member : Member
        The member.
    role : str
        Name of the client account.
    bind_host : str
        IP address to connect from; empty for any.

    Returns
    -------
    UpstreamConnection
        The connection, ready for statements.

    Raises
    ------
    UpstreamOpenError
        If the member cannot be reached, refuses, or does not answer in time.
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
    except _CONNECT_ERRORS as error:
        raise pools.UpstreamOpenError(str(error) or "no answer") from error
    connection.ready.addTimeout(OPEN_TIMEOUT_S, reactor)
    try:
        await connection.ready
    except (defer.TimeoutError, defer.CancelledError) as error:
        connection.close()
        raise pools.UpstreamOpenError("no answer to the start") from error
    return connection
