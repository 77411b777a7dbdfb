"""TCP relays between data centres that add delays and network partitions."""

import collections

import attrs
from twisted.internet import protocol
from twisted.web import resource, server

from pomelograde.core import checks
from pomelograde.standins import http

CONNECT_TIMEOUT_S = 5.0


@attrs.frozen
class LinkSettings:
    """One relayed address.

    Attributes
    ----------
    name : str
        Unique name of the link.
    place : str
        Place of the target: a data centre, or another name such as "platform".
    host : str
        Address of the target.
    port : int
        Port of the target.
    listen_host : str
        Address that the relay listens on.
    """

    name: str
    place: str
    host: str
    port: int
    listen_host: str = "127.0.0.1"


@attrs.frozen
class RelaySettings:
    """Settings of a relay process.

    Attributes
    ----------
    places : dict of str to str
        Prefix of source addresses by place.
    near_delay_s : float
        One-way delay within a place.
    far_delay_s : float
        One-way delay between places.
    links : list of LinkSettings
        Links that exist from the start; more can be added over the control
        interface.
    control_port : int
        Port of the control interface; 0 for a free one.
    """

    places: dict[str, str] = attrs.field(factory=dict)
    near_delay_s: float = 0.0
    far_delay_s: float = 0.0
    links: list[LinkSettings] = attrs.field(factory=list)
    control_port: int = 0


class Relay:
    """Relays the connections of all links of one process.

    Parameters
    ----------
    reactor : IReactorTCP
        Opens and accepts connections and schedules delays.
    settings : RelaySettings
        Links, places and delays.

    Attributes
    ----------
    cuts : set of frozenset of str
        Pairs of places between which nothing is forwarded.
    silent : set of RelayedConnection
        Connections that never forward anything again.
    connections : set of RelayedConnection
        Open connections.
    counts : dict of str to dict
        Number of connections and of received bytes by link.
    """

    def __init__(self, reactor, settings):
        self.reactor = reactor
        self.settings = settings
        self.cuts = set()
        self.silent = set()
        self.connections = set()
        self.links = {}
        self.counts = {}
        self.control = None

    def start(self):
        """Listen on the control interface and on all links."""
        site = server.Site(ControlResource(self))
        site.noisy = False
        self.control = self.reactor.listenTCP(
            self.settings.control_port, site, interface="127.0.0.1"
        )
        for link in self.settings.links:
            self.add(link)

    def add(self, link):
        """Add a link and return the port that it listens on."""
        self.counts[link.name] = {"connections": 0, "bytes": 0}
        port = self.reactor.listenTCP(
            0, LinkFactory(self, link), interface=link.listen_host, backlog=512
        )
        self.links[link.name] = port
        return port.getHost().port

    def describe(self):
        """Return ports, cuts and traffic as a JSON value."""
        return {
            "control_port": self.control.getHost().port,
            "ports": {name: port.getHost().port for name, port in self.links.items()},
            "cuts": [sorted(pair) for pair in self.cuts],
            "counts": self.counts,
        }

    def set_cuts(self, pairs):
        """Cut these pairs of places, and reconnect all others.

        Held bytes of reconnected pairs are forwarded.
        """
        self.cuts = {frozenset(pair) for pair in pairs}
        for connection in list(self.connections):
            connection.advance()

    def silence(self):
        """Stop forwarding on all connections open now, for the rest of their life."""
        self.silent |= self.connections

    def find_place(self, host):
        """Return the place of a source address, or an empty string."""
        for place, prefix in self.settings.places.items():
            if host.startswith(prefix):
                return place
        return ""

    def delay_s(self, source, target):
        """Return the one-way delay between two places."""
        if source == target:
            return self.settings.near_delay_s
        return self.settings.far_delay_s


class LinkFactory(protocol.Factory):
    """Creates the protocols of the connections to one link."""

    noisy = False

    def __init__(self, relay, link):
        self.relay = relay
        self.link = link

    def buildProtocol(self, addr):  # noqa: N802
        """Return the accepting end of a new relayed connection."""
        return RelayedConnection(self.relay, self.link, addr.host).ends[0]


class RelayedConnection:
    """One connection, relayed in both directions.

    Parameters
    ----------
    relay : Relay
        Relay that accepted the connection.
    link : LinkSettings
        Link with the target address.
    host : str
        Source address; the connection to the target is bound to it as well.
    """

    def __init__(self, relay, link, host):
        self.relay = relay
        self.link = link
        self.host = host
        self.ends = (ConnectionEnd(self), ConnectionEnd(self))
        self.pair = frozenset((relay.find_place(host), link.place))
        self.delay_s = relay.delay_s(relay.find_place(host), link.place)

    def is_blocked(self):
        """Return whether nothing is forwarded at present."""
        return self.pair in self.relay.cuts or self in self.relay.silent

    def open(self):
        """Connect to the target."""
        self.relay.connections.add(self)
        self.relay.counts[self.link.name]["connections"] += 1
        factory = protocol.ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda addr: self.ends[1]
        factory.clientConnectionFailed = lambda connector, reason: self.close()
        self.relay.reactor.connectTCP(
            self.link.host,
            self.link.port,
            factory,
            timeout=CONNECT_TIMEOUT_S,
            bindAddress=(self.host, 0),
        )

    def other(self, end):
        """Return the other end."""
        return self.ends[1] if end is self.ends[0] else self.ends[0]

    def advance(self):
        """Forward the bytes that are due in both directions."""
        for end in self.ends:
            end.forward_due()

    def close(self):
        """Close both ends."""
        self.relay.connections.discard(self)
        self.relay.silent.discard(self)
        for end in self.ends:
            if end.transport is not None:
                end.transport.loseConnection()


class ConnectionEnd(protocol.Protocol):
    """One end of a relayed connection.

    Attributes
    ----------
    pending : collections.deque of (float, bytes or None)
        Received bytes with the time at which they are due to be forwarded; None
        stands for the end of the connection.
    """

    def __init__(self, connection):
        self.connection = connection
        self.reactor = connection.relay.reactor
        self.pending = collections.deque()

    def connectionMade(self):  # noqa: N802
        """Connect to the target, or forward the bytes received meanwhile."""
        self.transport.setTcpNoDelay(True)
        if self is self.connection.ends[0]:
            self.connection.open()
        self.connection.advance()

    def dataReceived(self, data):  # noqa: N802
        """Queue bytes until they are due."""
        self.connection.relay.counts[self.connection.link.name]["bytes"] += len(data)
        self._enqueue(data)

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        """Queue the end of the connection after the bytes received before."""
        self._enqueue(None)

    def forward_due(self):
        """Write the bytes that are due to the other end."""
        target = self.connection.other(self)
        now = self.reactor.seconds()
        while self.pending and not self.connection.is_blocked():
            due, data = self.pending[0]
            if due > now or target.transport is None:
                return
            self.pending.popleft()
            if data is None:
                self.connection.close()
                return
            target.transport.write(data)

    def _enqueue(self, data):
        delay_s = self.connection.delay_s
        self.pending.append((self.reactor.seconds() + delay_s, data))
        if delay_s > 0.0:
            self.reactor.callLater(delay_s, self.forward_due)
        else:
            self.forward_due()


class ControlResource(resource.Resource):
    """Control interface: ``GET /links`` and ``POST /links``.

    The body of a POST has any of ``add`` (links), ``cuts`` (pairs of places) and
    ``silence`` (whether to silence the open connections).

    Parameters
    ----------
    relay : Relay
        Relay that is controlled.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, relay):
        super().__init__()
        self.relay = relay

    def render(self, request):
        """Handle a request."""
        if request.path != b"/links":
            return http.answer(request, 404, {"message": "unknown path"})
        if request.method == b"POST":
            change = http.read_body(request)
            for link in change.get("add", []):
                self.relay.add(LinkSettings(**link))
            if "cuts" in change:
                self.relay.set_cuts(change["cuts"])
            if change.get("silence"):
                self.relay.silence()
        return http.answer(request, 200, self.relay.describe())


def parse(value):
    """Check the settings of a relay process and return them as a Result."""
    return checks.structure(value, RelaySettings)
