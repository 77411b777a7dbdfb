"""Connections to upstream members."""

import collections
import struct

import attrs
from twisted.internet import defer, endpoints, protocol
from twisted.internet import error as net_error

from pomelograde.core import sessions
from pomelograde.net import _frames, _scram, _sending, pools

OPEN_TIMEOUT_S = 2.0
AUTH_OK = 0
AUTH_SASL = 10
AUTH_SASL_CONTINUE = 11
AUTH_SASL_FINAL = 12
READY = ord("Z")
ERROR = ord("E")
DATA_ROW = ord("D")
AUTHENTICATION = ord("R")
PARAMETER_STATUS = ord("S")
BACKEND_KEY = ord("K")

POSITION_QUERY = _frames.query("SELECT * FROM pomelograde.position()")


@attrs.frozen
class Credential:
    """Credential with which the proxy authenticates to members.

    Attributes
    ----------
    password : str
        Password shared by all database roles that the proxy connects as.
    """

    password: str = attrs.field(repr=False)


class UpstreamConnection(protocol.Protocol):
    """One authenticated connection to a member.

    Parameters
    ----------
    member : str
        Name of the member.
    role : str
        Database role.
    database : str
        Name of the database on the member.
    credential : Credential
        Credential to authenticate with.

    Attributes
    ----------
    response_handlers : deque
        Handlers of the outstanding answers, oldest first.
    prepared : set of bytes
        Names of the statements prepared on the connection.
    settings : dict of str to str or None
        Session settings in effect on the connection; None if unknown.
    confirmed_position : Position or None
        A position that the member has reported on this connection. The member
        holds all entries up to it for as long as the connection lives, since a
        member that discards entries closes its connections first.
    on_closed : callable or None
        Called with this connection when it is lost after start-up.

    Notes
    -----
    Each request ends with one ReadyForQuery and has a response handler.
    Requests are pipelined and answered in order. A handler receives each frame
    through `on_frame(kind, frame)`, the end of the answer through
    `on_ready(status)` and the loss of the connection through `on_lost()`.
    """

    def __init__(self, member, role, database, credential):
        self.member = member
        self.role = role
        self.database = database
        self.credential = credential
        self.reader = _frames.FrameReader()
        self.response_handlers = collections.deque()
        self.ready = defer.Deferred()
        self.is_ready = False
        self.is_lost = False
        self.on_closed = None
        self.parameters = {}
        self.process_id = 0
        self.secret = 0
        self.prepared = set()
        self.settings = {}
        self.confirmed_position = None
        self._scram = None

    def connectionMade(self):  # noqa: N802
        """Start authentication."""
        self.transport.setTcpNoDelay(True)
        parameters = {"user": self.role, "database": self.database}
        self.transport.write(_frames.startup(parameters))

    def send(self, handler, data):
        """Send a request whose answer goes to a handler."""
        self.response_handlers.append(handler)
        _sending.send(self.transport, data)

    def send_two(self, first, second, data):
        """Send two requests, each with its handler, in one write."""
        self.response_handlers.append(first)
        self.send(second, data)

    def close(self):
        """Abort the connection; outstanding answers are lost."""
        self.transport.abortConnection()

    def dataReceived(self, data):  # noqa: N802
        """Pass the frames to their response handlers."""
        frames = self.reader.feed(data)
        if not self.is_ready:
            self._on_startup_frames(frames)
            return
        response_handlers = self.response_handlers
        for kind, frame in frames:
            if self.is_lost:
                return
            if not response_handlers:
                self._on_unsolicited(kind)
            elif kind == READY:
                response_handlers.popleft().on_ready(frame[5:6])
            else:
                response_handlers[0].on_frame(kind, frame)
        if self.reader.failure is not None:
            self.close()

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        """Notify the owner and the handlers of the loss of the connection."""
        self.is_lost = True
        if not self.is_ready:
            self._fail(f"connection to {self.member} was closed")
            return
        response_handlers = list(self.response_handlers)
        self.response_handlers.clear()
        if self.on_closed is not None:
            self.on_closed(self)
        for handler in response_handlers:
            handler.on_lost()

    def _on_unsolicited(self, kind):
        if kind not in (PARAMETER_STATUS, ord("N")):
            self.close()

    def _on_startup_frames(self, frames):
        for kind, frame in frames:
            if kind == AUTHENTICATION:
                self._authenticate(frame)
            elif kind == PARAMETER_STATUS:
                name, start = _frames.read_cstring(frame, 5)
                value, _ = _frames.read_cstring(frame, start)
                self.parameters[name.decode()] = value.decode()
            elif kind == BACKEND_KEY:
                self.process_id, self.secret = struct.unpack_from(">II", frame, 5)
            elif kind == ERROR:
                fields = _frames.read_error(frame)
                self._fail(f"{self.member}: {fields.get('M', '')}", refused=True)
                self.close()
            elif kind == READY:
                self.is_ready = True
                ready, self.ready = self.ready, None
                ready.callback(self)

    def _authenticate(self, frame):
        (code,) = struct.unpack_from(">I", frame, 5)
        body = frame[9:]
        if code == AUTH_SASL:
            self._scram = _scram.make_client(self.role, self.credential.password)
            first = self._scram.get_client_first().encode("utf-8")
            payload = _frames.cstring(_scram.MECHANISM)
            payload += _frames.LENGTH.pack(len(first)) + first
            self.transport.write(_frames.frame(b"p", payload))
        elif code == AUTH_SASL_CONTINUE:
            self._scram.set_server_first(body.decode("utf-8"))
            final = self._scram.get_client_final().encode("utf-8")
            self.transport.write(_frames.frame(b"p", final))
        elif code == AUTH_SASL_FINAL:
            self._scram.set_server_final(body.decode("utf-8"))
        elif code != AUTH_OK:
            self._fail(f"{self.member} asks for an unknown authentication")
            self.close()

    def _fail(self, text, refused=False):
        ready, self.ready = self.ready, None
        if ready is not None:
            ready.errback(pools.UpstreamOpenError(text, refused))


class FunctionCallHandler:
    """Response handler of a function call; returns the first row.

    Attributes
    ----------
    answer : Deferred
        Fires with the row as a list of str or None, or fails with
        `UpstreamCallError`.
    """

    def __init__(self):
        self.answer = defer.Deferred()
        self.row = None
        self.error = None

    def on_frame(self, kind, frame):
        """Store the row or the error."""
        if kind == DATA_ROW:
            self.row = [
                None if value is None else value.decode("utf-8")
                for value in _frames.read_row(frame)
            ]
        elif kind == ERROR:
            self.error = _frames.read_error(frame)

    def on_ready(self, status):
        """Fire `answer` with the row or the error."""
        if self.error is not None or self.row is None:
            error = self.error or {"C": "XX000", "M": "no row"}
            self.answer.errback(UpstreamCallError(error["C"], error["M"]))
        else:
            self.answer.callback(self.row)

    def on_lost(self):
        """Fail `answer` because the connection was lost."""
        self.answer.errback(UpstreamCallError("08006", "connection lost"))


INVALID_ROW = "XX000"  # SQLSTATE of an internal error
MAX_BIGINT = 2**63 - 1
MAX_DIGITS = 19


class UpstreamCallError(Exception):
    """Raised when a member refuses a function call, or is lost during it.

    Also raised when the member's answer can't be read.

    Attributes
    ----------
    sqlstate : str
        SQLSTATE of the error.
    """

    def __init__(self, sqlstate, message):
        super().__init__(message)
        self.sqlstate = sqlstate


def call(connection, sql):
    """Call a function of the member; return a Deferred of its first row."""
    handler = FunctionCallHandler()
    connection.send(handler, _frames.query(sql))
    return handler.answer


def read_position(row):
    """Return the `Position` in a row of two columns, term and index.

    Raises
    ------
    UpstreamCallError
        If the row holds none.
    """
    term, index = read_columns(row, 2)
    return sessions.Position(read_bigint(term), read_bigint(index))


def read_columns(row, count):
    """Return the first columns of a row; raises `UpstreamCallError` if it is short."""
    if len(row) < count:
        raise UpstreamCallError(INVALID_ROW, f"{len(row)} of {count} columns")
    return row[:count]


def read_bigint(text):
    """Return a whole number that is not negative, from str or bytes.

    Raises
    ------
    UpstreamCallError
        If the text is None, is no such number, or exceeds a BIGINT.
    """
    if isinstance(text, bytes):
        text = text.decode("ascii", "replace")
    is_number = text is not None and len(text) <= MAX_DIGITS and text.isascii()
    if not is_number or not text.isdigit() or int(text) > MAX_BIGINT:
        raise UpstreamCallError(INVALID_ROW, "a column holds no valid number")
    return int(text)


async def open_connection(
    reactor, spec, role, database, credential, bind_host="", timeout_s=OPEN_TIMEOUT_S
):
    """Open and authenticate a connection to a member.

    Parameters
    ----------
    reactor : IReactorTCP
        Reactor to connect with.
    spec : MemberSpec
        Name and address of the member.
    role, database : str
        Database role and name of the database on the member.
    credential : Credential
        Credential to authenticate with.
    bind_host : str
        Local address to connect from; empty for any.
    timeout_s : float
        Time limit for connecting and authenticating together.

    Returns
    -------
    UpstreamConnection
        Authenticated connection that is ready for queries.

    Raises
    ------
    UpstreamOpenError
        If the connection could not be opened within the time limit.
    """
    connection = UpstreamConnection(spec.name, role, database, credential)
    ready = connection.ready
    endpoint = endpoints.TCP4ClientEndpoint(
        reactor,
        spec.host,
        spec.port,
        timeout=timeout_s,
        bindAddress=(bind_host, 0) if bind_host else None,
    )
    try:
        await endpoints.connectProtocol(endpoint, connection)
        ready.addTimeout(timeout_s, reactor)
        return await ready
    except (net_error.ConnectError, defer.TimeoutError, defer.CancelledError) as error:
        connection.ready = None
        if connection.transport is not None:
            connection.close()
        text = f"{spec.name}: {type(error).__name__}"
        raise pools.UpstreamOpenError(text) from error


class _CancelProtocol(protocol.Protocol):
    """Sends one CancelRequest and closes."""

    def __init__(self, message):
        self.message = message

    def connectionMade(self):  # noqa: N802
        self.transport.write(self.message)
        self.transport.loseConnection()


def send_cancel(reactor, spec, connection):
    """Request a member to cancel the statement running on a connection."""
    message = _frames.cancel_request(connection.process_id, connection.secret)
    endpoint = endpoints.TCP4ClientEndpoint(reactor, spec.host, spec.port, timeout=2)
    sent = endpoints.connectProtocol(endpoint, _CancelProtocol(message))
    sent.addErrback(lambda reason: reason.trap(net_error.ConnectError) and None)
    return sent
