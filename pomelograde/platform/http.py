"""HTTP client for the platform, with JSON bodies."""

import json
import urllib.parse

import attrs
from twisted.internet import defer, error, protocol
from twisted.web import client, http_headers
from twisted.web import http as web_http

CALL_TIMEOUT_S = 0.8  # answers take 4 ms, or 0.25 s from a slow store
# An idle connection may have died unnoticed; opening a new one takes 1 ms.
IDLE_CONNECTION_TIMEOUT_S = 1.5
MAX_CONNECTIONS = 3  # one for a long poll, two for other calls


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
    """

    def __init__(self, reactor, address, bind_host, on_call):
        self.reactor = reactor
        self.base_url = f"http://{address}"
        self.on_call = on_call
        self.pool = client.HTTPConnectionPool(reactor)
        self.pool.maxPersistentPerHost = MAX_CONNECTIONS
        self.pool.cachedConnectionTimeout = IDLE_CONNECTION_TIMEOUT_S
        self.pool.retryAutomatically = False
        self.agent = client.Agent(
            reactor,
            connectTimeout=CALL_TIMEOUT_S,
            bindAddress=(bind_host, 0) if bind_host else None,
            pool=self.pool,
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
        url = self.base_url + path
        if query:
            url += "?" + urllib.parse.urlencode(query)
        request_headers = http_headers.Headers({"Content-Type": ["application/json"]})
        for header, text in headers.items():
            request_headers.addRawHeader(header.replace("_", "-"), text)
        producer = None if body is None else _BodyProducer(json.dumps(body).encode())
        timeout_s = wait_s + CALL_TIMEOUT_S
        try:
            request = self.agent.request(
                method.encode(), url.encode(), request_headers, producer
            )
            request.addTimeout(timeout_s, self.reactor)
            response = await request
            body_read = client.readBody(response)
            body_read.addTimeout(timeout_s, self.reactor)
            content = await body_read
        except _NO_ANSWER_ERRORS as failure:
            self.on_call(name, "no_answer")
            raise UnavailableError(type(failure).__name__) from failure
        self.on_call(name, str(response.code))
        try:
            parsed = json.loads(content) if content else {}
        except (ValueError, RecursionError) as failure:
            raise UnavailableError("unreadable answer") from failure
        return Answer(response.code, parsed, response.headers)


class _BodyProducer:
    """Producer of a request body."""

    def __init__(self, data):
        self.data = data
        self.length = len(data)

    def startProducing(self, consumer):  # noqa: N802
        """Write the whole body."""
        consumer.write(self.data)
        return defer.succeed(None)

    def pauseProducing(self):  # noqa: N802
        """Do nothing; the body has already been written."""

    def resumeProducing(self):  # noqa: N802
        """Do nothing; the body has already been written."""

    def stopProducing(self):  # noqa: N802
        """Do nothing; the body has already been written."""


_NO_ANSWER_ERRORS = (
    defer.TimeoutError,
    defer.CancelledError,
    error.ConnectError,
    error.ConnectingCancelledError,
    error.ConnectionClosed,
    client.ResponseFailed,
    client.RequestTransmissionFailed,
    client.ResponseNeverReceived,
    client.RequestNotSent,
    client.PartialDownloadError,
    web_http.PotentialDataLoss,
    protocol.connectionDone.type,
)
