"""Runs the store and the members of a hosting platform in one process."""

import json

import attrs
from twisted.internet import task
from twisted.web import resource, server

from pomelograde.standins import http
from pomelograde.standins.hosting import member, store

HEARTBEAT_S = 0.5
MISSED_HEARTBEATS = 3  # after which the row of a silent member is removed
PROMOTIONS_PATH = b"/promotions"
ZONES = ("catania-a", "palermo-a", "agrigento-a")
REGIONS = {zone: zone.split("-")[0] for zone in ZONES}
SERVICE = "meters-group"
CONNECTION_LIMIT = 22
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
    "services": [{"name": SERVICE, "maxConns": CONNECTION_LIMIT, "syncReplicas": 0}],
    "limits": {"txIdleMs": 3000},
    "tenants": [
        {"name": "desk", "apiKeys": [KEY], "ratePerS": 500, "burst": 500},
        {"name": "training", "apiKeys": [OTHER_KEY], "ratePerS": 10, "burst": 10},
    ],
}


class MemberResource(resource.Resource):
    """Control interface of the members.

    ``GET /NAME`` returns the state of a member, ``POST /NAME`` sets attributes of
    a member, ``restart`` starts it again and says for how long it is cold,
    ``GET /promotions`` lists the promotions, ``POST /promotions`` says how long they
    take, and ``GET /trace`` lists the statements that arrived at each member.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, host):
        super().__init__()
        self.host = host

    def render_GET(self, request):  # noqa: N802
        """Return the state of a member, or all promotions."""
        if request.path == PROMOTIONS_PATH:
            return http.answer(request, 200, self.host.promotions)
        if request.path == b"/trace":
            return http.answer(request, 200, self.host.describe_trace())
        group_member = self.host.find(request.path.decode().strip("/"))
        state = {
            "role": group_member.role,
            "down": group_member.down,
            "log": group_member.log,
            "runs": group_member.runs,
            "reached_at": group_member.reached_at,
            "queried_at": group_member.queried_at,
            "connections": group_member.connections,
            "most_connections": group_member.most_connections,
            "requests": group_member.requests,
        }
        return http.answer(request, 200, state)

    def render_POST(self, request):  # noqa: N802
        """Set attributes of a member; ``promote`` makes it the primary."""
        if request.path == PROMOTIONS_PATH:
            self.host.set_promotion_times(**http.read_body(request))
            return http.answer(request, 200, {})
        group_member = self.host.find(request.path.decode().strip("/"))
        body = http.read_body(request)
        if body.pop("promote", False):
            self.host.group.promote(group_member.name)
        if body.pop("reset", False):
            group_member.reset()
        if body.pop("silence", False):
            group_member.silence()
        if "restart" in body:
            group_member.restart(body.pop("restart"))
        for name, value in body.items():
            setattr(group_member, name, value)
        self.host.write_member_rows()
        return http.answer(request, 200, {})


class Host:
    """Hosts the store and the members of the group ``meters-group``.

    Parameters
    ----------
    reactor : IReactorTCP
        Listens for connections and schedules the heartbeats.

    Attributes
    ----------
    promotions : list of list
        Member id, lease holder and fencing token of each promotion call.
    promotion_s : float
        Time from the call of a promotion until it takes effect.
    seq : int
        Number of the last heartbeat; members write it into their rows.
    """

    def __init__(self, reactor):
        self.reactor = reactor
        self.tables = store.Tables()
        self.store_resource = store.StoreResource(self.tables, reactor)
        members = [member.Member(f"i-{zone}", zone, member.REPLICA) for zone in ZONES]
        members[0].role = member.PRIMARY
        self.group = member.Group(SERVICE, members, CONNECTION_LIMIT, reactor)
        self.store_resource.on_promote = self.promote
        self.promotions = []
        self.promotion_s = 0.0
        self.ports = {}
        self.seq = 0

    def start(self):
        """Listen on all ports, start the heartbeats and return the addresses."""
        for group_member in self.group.members:
            factory = member.MemberFactory(self.group, group_member)
            self.ports[group_member.name] = self._listen(factory)
        self.tables.put("op", "config", json.dumps(MANIFEST).encode())
        heartbeat_loop = task.LoopingCall(self.write_member_rows)
        heartbeat_loop.clock = self.reactor
        heartbeat_loop.start(HEARTBEAT_S)
        return {
            "store": f"127.0.0.1:{self._listen(server.Site(self.store_resource))}",
            "members": f"127.0.0.1:{self._listen(server.Site(MemberResource(self)))}",
        }

    def find(self, name):
        """Return the member with a name."""
        return next(
            group_member
            for group_member in self.group.members
            if group_member.name == name
        )

    def set_promotion_times(self, effect_s, answer_s):
        """Set the times from a call until it takes effect, and until its answer."""
        self.promotion_s = effect_s
        self.store_resource.promotion_answer_s = answer_s

    def promote(self, body, holder, fence):
        """Handle the platform's promotion call.

        Parameters
        ----------
        body : dict
            JSON body; ``id`` names the member to promote.
        holder : str
            Value of the ``Lease-Holder`` header.
        fence : int
            Value of the ``Fencing-Token`` header.

        Returns
        -------
        int
            HTTP status of the answer; 409 if the member is down.
        """
        self.promotions.append([body["id"], holder, fence])
        group_member = self.find(body["id"])
        if group_member.down:
            return 409
        if self.promotion_s:
            self.reactor.callLater(self.promotion_s, self._promote, group_member)
        else:
            self._promote(group_member)
        return 200

    def _promote(self, group_member):
        if not group_member.down and group_member.role != member.PRIMARY:
            self.group.promote(group_member.name)
            self.write_member_rows()

    def describe_trace(self):
        """Return the statements that arrived at each member, as JSON values."""
        return {
            group_member.name: [attrs.asdict(found) for found in group_member.trace]
            for group_member in self.group.members
        }

    def write_member_rows(self):
        """Write the rows of running members and remove the rows of others.

        Notes
        -----
        The row of a member that is cut off from the store stays as it is until it
        has missed `MISSED_HEARTBEATS`.
        """
        self.seq += 1
        now = self.reactor.seconds()
        for group_member in self.group.members:
            if group_member.is_store_cut and not group_member.down:
                if now < group_member.row_at + MISSED_HEARTBEATS * HEARTBEAT_S:
                    continue
            else:
                group_member.row_at = now
            if group_member.down or group_member.is_store_cut:
                self.store_resource.put("servers", group_member.name, None)
                continue
            row = member.format_registration(
                self.group, group_member, self.ports[group_member.name], self.seq
            )
            self.store_resource.put("servers", group_member.name, row)
        self.group.demote_replaced()

    def _listen(self, factory):
        factory.noisy = False
        listening = self.reactor.listenTCP(0, factory, interface="127.0.0.1")
        return listening.getHost().port
