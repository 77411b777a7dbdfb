"""Relays between data centres, with delays and cuts."""

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
        Unique name.
    place : str
        Data centre of the target, or another name such as "platform".
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
        Prefix of the addresses that connections come from, by data centre.
    near_delay_s : float
        One-way delay within a place.
    far_delay_s : float
        One-way delay between places.
    links : list of LinkSettings
        Links that exist from the start; others are added by the control address.
    control_port : int
        Port of the control address.
    """

    places: dict[str, str] = attrs.field(factory=dict)
    near_delay_s: float = 0.0
    far_delay_s: float = 0.0
    links: list[LinkSettings] = attrs.field(factory=list)
    control_port: int = 0


class Relay:
    """All links of one process.

    Parameters
    ----------
    reactor : IReactorTCP
        Reactor.
    settings : RelaySettings
        What to run.

    Attributes
    ----------
    cuts : set of frozenset of str
        Pairs of places that are cut off from each other.
    silent : set of Relayed
        Connections that have gone silent for good.
    """

    def __init__(self, reactor, settings):
        self.reactor = reactor
        self.settings = settings
        self.cuts = set()
        self.silent = set()
        self.relayed = set()
        self.links = {}
        self.counts = {}
        self.control = None

    def start(self):
        """Listen on the control address and on all links."""
        site = server.Site(ControlSite(self))
        site.noisy = False
        self.control = self.reactor.listenTCP(
            self.settings.control_port, site, interface="127.0.0.1"
        )
        for link in self.settings.links:
            self.add(link)

    def add(self, link):
        """Listen for one more link; returns its port."""
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
        """Cut these pairs of places, and heal all others."""
        self.cuts = {frozenset(pair) for pair in pairs}
        for relayed in list(self.relayed):
            relayed.advance()

    def silence(self):
        """Make all connections that are open now silent for good."""
        self.silent |= self.relayed

    def place_of(self, host):
        """Return the place that an address lies in, or an empty string."""
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
    """Accepts the connections of one link."""

    noisy = False

    def __init__(self, relay, link):
        self.relay = relay
        self.link = link

    def buildProtocol(self, addr):  # noqa: N802
        """Return the accepting end of a relayed connection."""
        return Relayed(self.relay, self.link, addr.host).ends[0]


class Relayed:
    """One connection, relayed in both directions.

    Parameters
    ----------
    relay : Relay
        What accepted it.
    link : LinkSettings
        Where it goes.
    host : str
        Where it comes from.
    """

    def __init__(self, relay, link, host):
        self.relay = relay
        self.link = link
        self.host = host
        self.ends = (End(self), End(self))
        self.pair = frozenset((relay.place_of(host), link.place))
        self.delay_s = relay.delay_s(relay.place_of(host), link.place)

    def is_cut(self):
        """Whether nothing passes at present."""
        return self.pair in self.relay.cuts or self in self.relay.silent

    def open(self):
        """Connect to the target."""
        self.relay.relayed.add(self)
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
        """Pass on what is due."""
        for end in self.ends:
            end.pass_on()

    def close(self):
        """Close both ends."""
        self.relay.relayed.discard(self)
        self.relay.silent.discard(self)
        for end in self.ends:
            if end.transport is not None:
                end.transport.loseConnection()


class End(protocol.Protocol):
    """One end of a relayed connection.

    Attributes
    ----------
    pending : collections.deque of (float, bytes or None)
        What this end has received, with the time to pass it on; None for the
        end of the connection.
    """

    def __init__(self, relayed):
        self.relayed = relayed
        self.reactor = relayed.relay.reactor
        self.pending = collections.deque()

    def connectionMade(self):  # noqa: N802
        """Connect the other end, or pass on what has waited."""
        self.transport.setTcpNoDelay(True)
        if self is self.relayed.ends[0]:
            self.relayed.open()
        self.relayed.advance()

    def dataReceived(self, data):  # noqa: N802
        """Keep bytes until they are due."""
        self.relayed.relay.counts[self.relayed.link.name]["bytes"] += len(data)
        self._add(data)

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        """Let the other end know in its turn."""
        self._add(None)

    def pass_on(self):
        """Write what is due to the other end."""
        target = self.relayed.other(self)
        now = self.reactor.seconds()
        while self.pending and not self.relayed.is_cut():
            due, data = self.pending[0]
            if due > now or target.transport is None:
                return
            self.pending.popleft()
            if data is None:
                self.relayed.close()
                return
            target.transport.write(data)

    def _add(self, data):
        delay_s = self.relayed.delay_s
        self.pending.append((self.reactor.seconds() + delay_s, data))
        if delay_s > 0.0:
            self.reactor.callLater(delay_s, self.pass_on)
        else:
            self.pass_on()


class ControlSite(resource.Resource):
    """``GET /links`` and ``POST /links`` with any of add, cuts and silence.

    Parameters
    ----------
    relay : Relay
        What is controlled.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, relay):
        super().__init__()
        self.relay = relay

    def render(self, request):
        """Answer any request."""
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
    """Check the settings of a relay process; returns a Result."""
    return checks.structure(value, RelaySettings)
