"""HTTP server for probes and metrics.

`twisted.web.server` would take 5 MB of memory in each instance.
"""

import attrs
import h11
from twisted.internet import protocol
from twisted.protocols import policies

IDLE_TIMEOUT_S = 60.0  # between two requests on a connection
MAX_REQUEST_BYTES = 16 * 1024


@attrs.frozen
class Page:
    """Answer to a GET request.

    Attributes
    ----------
    status : int
        HTTP status.
    content_type : str
        Media type of the body.
    body : bytes
        Body.
    """

    status: int
    content_type: str
    body: bytes


class ProbeProtocol(protocol.Protocol, policies.TimeoutMixin):
    """One connection of a client.

    Parameters
    ----------
    render : callable
        Returns the Page for each GET request.
    """

    def __init__(self, render):
        self.render = render
        self.connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_REQUEST_BYTES
        )

    def connectionMade(self):  # noqa: N802
        """Limit the time that the connection may be idle."""
        self.setTimeout(IDLE_TIMEOUT_S)

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        """Cancel the time limit."""
        self.setTimeout(None)

    def dataReceived(self, data):  # noqa: N802
        """Answer all requests that are complete."""
        self.resetTimeout()
        try:
            self.connection.receive_data(data)
            self._answer_requests()
        except h11.RemoteProtocolError:
            self.transport.loseConnection()

    def _answer_requests(self):
        method = b""
        while True:
            event = self.connection.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.ConnectionClosed):
                self.transport.loseConnection()
                return
            if isinstance(event, h11.Request):
                method = event.method
            elif isinstance(event, h11.EndOfMessage):
                self._answer(method)

    def _answer(self, method):
        page = Page(405, "text/plain", b"")
        if method == b"GET":
            page = self.render()
        headers = [
            ("Content-Type", page.content_type),
            ("Content-Length", str(len(page.body))),
        ]
        response = h11.Response(status_code=page.status, headers=headers)
        for event in (response, h11.Data(data=page.body), h11.EndOfMessage()):
            self.transport.write(self.connection.send(event))
        if self.connection.our_state is h11.MUST_CLOSE:
            self.transport.loseConnection()
        else:
            self.connection.start_next_cycle()


class ProbeFactory(protocol.ServerFactory):
    """Creates the protocols of a port that serves one page.

    Parameters
    ----------
    render : callable
        Returns the Page for each GET request, whatever its path.
    """

    noisy = False

    def __init__(self, render):
        self.render = render

    def buildProtocol(self, addr):  # noqa: N802
        """Return the protocol of a new connection."""
        return ProbeProtocol(self.render)
