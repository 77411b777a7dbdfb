"""HTTP client for the platform, with JSON bodies.

`twisted.web.client` would take 3 MB of memory in each instance.
"""

import json
import urllib.parse

import attrs
import h11
from twisted.internet import defer, endpoints, error, protocol
from twisted.web import http_headers

# Until an answer begins, and between its parts; answers take 4 ms, or 0.25 s from a
# slow store. A large document takes longer to arrive over a narrow link.
CALL_TIMEOUT_S = 0.8
MAX_ANSWER_S = 10.0  # for all parts of an answer
# An idle connection may have died unnoticed; opening a new one takes 1 ms.
IDLE_CONNECTION_TIMEOUT_S = 1.5
MAX_IDLE_CONNECTIONS = 3  # one for a long poll, two for other calls


class UnavailableError(Exception):
    """There was no valid answer; a requested change may still take effect."""


@attrs.frozen
class Answer:
    """Answer to a request.

    Attributes
    ----------
    status : int
        HTTP status.
    body : object
        JSON value; an empty dict if the answer has no body.
    headers : twisted.web.http_headers.Headers
        HTTP headers.
    """

    status: int
    body: object
    headers: http_headers.Headers


class ConnectionLostError(Exception):
    """The connection ended before the answer was complete."""


class HttpConnection(protocol.Protocol):
    """One connection to a server, for one request at a time.

    Attributes
    ----------
    is_reusable : bool
        Whether another request may be sent.
    idle_since : float
        End of the last request, in seconds of the reactor's clock.
    on_progress : callable
        Called without arguments for each part of an answer.
    """

    def __init__(self):
        self.connection = h11.Connection(h11.CLIENT)
        self.answer = None
        self.response = None
        self.content = []
        self.is_reusable = False
        self.idle_since = 0.0
        self.on_progress = _ignore

    def request(self, method, target, headers, body):
        """Send a request.

        Returns
        -------
        Deferred of tuple of (h11.Response, bytes)
            Fails with ConnectionLostError; closes the connection if cancelled.
        """
        self.is_reusable = False
        self.response = None
        self.content = []
        self.answer = defer.Deferred(self._cancel)
        request = h11.Request(method=method, target=target, headers=headers)
        for event in (request, h11.Data(data=body), h11.EndOfMessage()):
            self.transport.write(self.connection.send(event))
        return self.answer

    def _cancel(self, answer):
        self.answer = None
        self.transport.abortConnection()

    def dataReceived(self, data):  # noqa: N802
        """Handle a part of the answer."""
        self.on_progress()
        self._receive(data)

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        """Fail the request, unless the end of the connection completes its answer."""
        self.is_reusable = False
        self._receive(b"")
        if self.answer is not None:
            answer, self.answer = self.answer, None
            answer.errback(ConnectionLostError())

    def _receive(self, data):
        if self.answer is None:
            self.transport.abortConnection()  # The server sent data unasked.
            return
        try:
            self.connection.receive_data(data)
            self._handle_events()
        except h11.RemoteProtocolError:
            self.transport.abortConnection()

    def _handle_events(self):
        while self.answer is not None:
            event = self.connection.next_event()
            if isinstance(event, h11.Response):
                self.response = event
            elif isinstance(event, h11.Data):
                self.content.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._end_answer()
            elif not isinstance(event, h11.InformationalResponse):
                return

    def _end_answer(self):
        answer, self.answer = self.answer, None
        if self.connection.our_state is h11.DONE:
            self.connection.start_next_cycle()
            self.is_reusable = True
        else:
            self.transport.loseConnection()
        answer.callback((self.response, b"".join(self.content)))


class _ProgressLimit:
    """Cancels a request whose answer does not arrive or stops arriving.

    Parameters
    ----------
    reactor : IReactorTime
        Reactor.
    first_s : float
        Time until the first part of the answer.

    Attributes
    ----------
    is_over : bool
        Whether the request was cancelled.
    """

    def __init__(self, reactor, first_s):
        self.reactor = reactor
        self.first_s = first_s
        self.is_over = False
        self.timer = None
        self.first_until = reactor.seconds() + first_s

    def start(self, request):
        """Limit the time of a request, given as a Deferred."""
        if not request.called:
            self.timer = self.reactor.callLater(self.first_s, self._cancel, request)

    def extend(self):
        """Wait for the next part of the answer.

        Notes
        -----
        The server may begin its answer long before it knows the rest.
        """
        if self.timer is not None and self.timer.active():
            now = self.reactor.seconds()
            until = max(self.first_until, now + CALL_TIMEOUT_S)
            until = min(until, self.first_until + MAX_ANSWER_S)
            self.timer.reset(max(0.0, until - now))

    def stop(self):
        """End the limit."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def _cancel(self, request):
        self.is_over = True
        request.cancel()


def _ignore():
    """Do nothing."""


class HttpClient:
    """Sends requests to one address.

    Parameters
    ----------
    reactor : IReactorTCP
        Reactor.
    address : str
        Host and port.
    bind_host : str
        IP address to connect from; empty for any.
    on_call : callable
        Called with the name of each call, and with its HTTP status as text or
        ``no_answer``.

    Attributes
    ----------
    idle : list of HttpConnection
        Open connections without a request, the last used one last.
    """

    def __init__(self, reactor, address, bind_host, on_call):
        self.reactor = reactor
        self.address = address
        self.on_call = on_call
        self.idle = []
        host, _, port = address.rpartition(":")
        self.endpoint = endpoints.TCP4ClientEndpoint(
            reactor,
            host,
            int(port),
            timeout=CALL_TIMEOUT_S,
            bindAddress=(bind_host, 0) if bind_host else None,
        )

    async def call(
        self, name, method, path, query=None, body=None, wait_s=0.0, **headers
    ):
        """Send a request.

        Parameters
        ----------
        name : str
            Name of the call for `on_call`.
        method, path : str
            HTTP method and path.
        query : dict or None
            Query parameters.
        body : object or None
            JSON value to send.
        wait_s : float
            Time for which the server may hold the request before it answers.
        **headers : str
            HTTP headers; underscores in their names stand for hyphens.

        Returns
        -------
        Answer
            The answer, whatever its status.

        Raises
        ------
        UnavailableError
            If there is no valid answer, so that the outcome is unknown.
        """
        target = f"{path}?{urllib.parse.urlencode(query)}" if query else path
        data = b"" if body is None else json.dumps(body).encode()
        request_headers = [
            ("Host", self.address),
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
            *((header.replace("_", "-"), text) for header, text in headers.items()),
        ]
        limit = _ProgressLimit(self.reactor, wait_s + CALL_TIMEOUT_S)
        request = defer.ensureDeferred(
            self._send(method, target, request_headers, data, limit.extend)
        )
        limit.start(request)
        try:
            response, content = await request
        except _NO_ANSWER_ERRORS as failure:
            self.on_call(name, "no_answer")
            reason = "TimeoutError" if limit.is_over else type(failure).__name__
            raise UnavailableError(reason) from failure
        finally:
            limit.stop()
        self.on_call(name, str(response.status_code))
        try:
            parsed = json.loads(content) if content else {}
        except (ValueError, RecursionError) as failure:
            raise UnavailableError("unreadable answer") from failure
        found = http_headers.Headers()
        for header, value in response.headers:
            found.addRawHeader(header, value)
        return Answer(response.status_code, parsed, found)

    async def _send(self, method, target, headers, data, on_progress):
        """Send a request over an idle or a new connection; returns its result."""
        connection = self._take_idle()
        if connection is None:
            connection = await endpoints.connectProtocol(
                self.endpoint, HttpConnection()
            )
        connection.on_progress = on_progress
        try:
            result = await connection.request(method, target, headers, data)
        finally:
            connection.on_progress = _ignore
        if connection.is_reusable:
            connection.idle_since = self.reactor.seconds()
            self.idle.append(connection)
            if len(self.idle) > MAX_IDLE_CONNECTIONS:
                self.idle.pop(0).transport.loseConnection()
        return result

    def _take_idle(self):
        """Return an idle connection that may be used, or None; closes old ones."""
        oldest = self.reactor.seconds() - IDLE_CONNECTION_TIMEOUT_S
        while self.idle:
            connection = self.idle.pop()
            if connection.is_reusable and connection.idle_since >= oldest:
                return connection
            connection.transport.abortConnection()
        return None


_NO_ANSWER_ERRORS = (
    defer.TimeoutError,
    defer.CancelledError,
    error.ConnectError,
    error.DNSLookupError,
    error.ConnectingCancelledError,
    error.ConnectionClosed,
    ConnectionLostError,
)
