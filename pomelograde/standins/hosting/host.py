"""One process with the store and the members of a hosting platform."""

import json

from twisted.internet import task
from twisted.web import resource, server

from pomelograde.standins import http
from pomelograde.standins.hosting import member, store

HEARTBEAT_S = 0.5
ZONES = ("catania-a", "palermo-a", "agrigento-a")
SERVICE = "meters-group"
CONNECTIONS = 22
KEY = "desk-key"
OTHER_KEY = "training-key"

MANIFEST = {
    "version": 1,
    "routes": [
        {
            "name": "r-primary",
            "host": "meters",
            "prefix": "/",
            "routeType": "primary",
            "timeoutMs": 2000,
            "latencySloMs": 2000,
            "priority": 1,
            "service": SERVICE,
            "maxAttempts": 2,
            "anonymous": False,
        },
        {
            "name": "r-bounded",
            "host": "meters-bounded",
            "prefix": "/",
            "routeType": "bounded_staleness",
            "timeoutMs": 2000,
            "latencySloMs": 2000,
            "priority": 2,
            "service": SERVICE,
            "maxAttempts": 2,
            "maxStalenessMs": 1500,
            "anonymous": False,
        },
        {
            "name": "r-own",
            "host": "meters-own",
            "prefix": "/",
            "routeType": "read_your_writes",
            "timeoutMs": 2000,
            "latencySloMs": 2000,
            "priority": 2,
            "service": SERVICE,
            "maxAttempts": 2,
            "maxStalenessMs": 2500,
            "anonymous": False,
        },
    ],
    "services": [{"name": SERVICE, "maxConns": CONNECTIONS, "syncReplicas": 0}],
    "limits": {"txIdleMs": 3000},
    "tenants": [
        {"name": "desk", "apiKeys": [KEY], "ratePerS": 500, "burst": 500},
        {"name": "training", "apiKeys": [OTHER_KEY], "ratePerS": 10, "burst": 10},
    ],
}


class MemberSite(resource.Resource):
    """``GET /NAME`` shows a member; ``POST /NAME`` changes it."""

    isLeaf = True  # noqa: N815

    def __init__(self, host):
        super().__init__()
        self.host = host

    def render_GET(self, request):  # noqa: N802
        """Show what a member holds and has run, or all promotions."""
        if request.path == b"/promotions":
            return http.answer(request, 200, self.host.promotions)
        found = self.host.find(request.path.decode().strip("/"))
        shown = {
            "role": found.role,
            "down": found.down,
            "log": found.log,
            "runs": found.runs,
            "connections": found.connections,
            "most_connections": found.most_connections,
        }
        return http.answer(request, 200, shown)

    def render_POST(self, request):  # noqa: N802
        """Change attributes of a member, or promote it."""
        found = self.host.find(request.path.decode().strip("/"))
        body = http.read_body(request)
        if body.pop("promote", False):
            self.host.group.promote(found.name)
        for name, value in body.items():
            setattr(found, name, value)
        self.host.beat()
        return http.answer(request, 200, {})


class Host:
    """Runs the stand-in.

    Parameters
    ----------
    reactor : IReactorTCP
        Reactor.
    """

    def __init__(self, reactor):
        self.reactor = reactor
        self.tables = store.Tables()
        self.site = store.StoreSite(self.tables, reactor)
        members = [member.Member(f"i-{zone}", zone, member.REPLICA) for zone in ZONES]
        members[0].role = member.PRIMARY
        self.group = member.Group(SERVICE, members, CONNECTIONS)
        self.site.on_promote = self.promote
        self.promotions = []
        self.ports = {}
        self.seq = 0

    def start(self):
        """Listen; returns the addresses."""
        for found in self.group.members:
            factory = member.MemberFactory(self.group, found)
            self.ports[found.name] = self._listen(factory)
        self.tables.put("op", "config", json.dumps(MANIFEST).encode())
        beating = task.LoopingCall(self.beat)
        beating.clock = self.reactor
        beating.start(HEARTBEAT_S)
        return {
            "store": f"127.0.0.1:{self._listen(server.Site(self.site))}",
            "members": f"127.0.0.1:{self._listen(server.Site(MemberSite(self)))}",
        }

    def find(self, name):
        """Return the member of a name."""
        return next(found for found in self.group.members if found.name == name)

    def promote(self, body, holder, fence):
        """Make a member lead; returns the status of the answer."""
        self.promotions.append([body["id"], holder, fence])
        found = self.find(body["id"])
        if found.down:
            return 409
        self.group.promote(found.name)
        self.beat()
        return 200

    def beat(self):
        """Let each member write its row."""
        self.seq += 1
        for found in self.group.members:
            if found.down:
                self.site.put("servers", found.name, None)
                continue
            row = member.describe(self.group, found, self.ports[found.name], self.seq)
            self.site.put("servers", found.name, row)

    def _listen(self, factory):
        factory.noisy = False
        listening = self.reactor.listenTCP(0, factory, interface="127.0.0.1")
        return listening.getHost().port
