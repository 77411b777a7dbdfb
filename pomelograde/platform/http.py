"""Calls to the platform over HTTP with JSON bodies."""

import json
import urllib.parse

from twisted.internet import defer, error, protocol
from twisted.web import client, http_headers
from twisted.web import http as web_http

CALL_TIMEOUT_S = 0.8  # an answer takes 4 ms, and 0.25 s from a slow store
KEEP_S = 1.5  # an idle connection may have gone silent; a new one costs 1 ms
CONNECTIONS = 3  # one held by a long poll, two for other calls


class UnavailableError(Exception):
    """There was no answer, or none that can be read; a change may still happen."""


class HttpClient:
    """Sends calls to one address.

    Parameters
    ----------
    reactor : IReactorTCP
        Reactor.
    address : str
        Host and port.
    bind_host : str
        IP address to connect from.
    on_call : callable
        Called with the name of each call and its outcome.
    """

    def __init__(self, reactor, address, bind_host, on_call):
        self.reactor = reactor
        self.base = f"http://{address}"
        self.on_call = on_call
        self.pool = client.HTTPConnectionPool(reactor)
        self.pool.maxPersistentPerHost = CONNECTIONS
        self.pool.cachedConnectionTimeout = KEEP_S
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
        """Send a call; returns its status and the value of its answer.

        Raises
        ------
        UnavailableError
            If nothing is known of its outcome.
        """
        url = self.base + path
        if query:
            url += "?" + urllib.parse.urlencode(query)
        found = http_headers.Headers({"Content-Type": ["application/json"]})
        for header, text in headers.items():
            found.addRawHeader(header.replace("_", "-"), text)
        producer = None if body is None else _Body(json.dumps(body).encode())
        timeout_s = wait_s + CALL_TIMEOUT_S
        try:
            request = self.agent.request(method.encode(), url.encode(), found, producer)
            request.addTimeout(timeout_s, self.reactor)
            response = await request
            reading = client.readBody(response)
            reading.addTimeout(timeout_s, self.reactor)
            content = await reading
        except _FAILURES as failure:
            self.on_call(name, "no_answer")
            raise UnavailableError(type(failure).__name__) from failure
        self.on_call(name, str(response.code))
        try:
            return response.code, json.loads(content) if content else {}
        except ValueError as failure:
            raise UnavailableError("unreadable answer") from failure


class _Body:
    """Body of a request."""

    def __init__(self, data):
        self.data = data
        self.length = len(data)

    def startProducing(self, consumer):  # noqa: N802
        """Write everything at once."""
        consumer.write(self.data)
        return defer.succeed(None)

    def pauseProducing(self):  # noqa: N802
        """Do nothing."""

    def resumeProducing(self):  # noqa: N802
        """Do nothing."""

    def stopProducing(self):  # noqa: N802
        """Do nothing."""


_FAILURES = (
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
