"""Runs groups of stand-in members, with a control address for faults."""

import tempfile

import attrs
from twisted.web import resource, server

from pomelograde.core import checks
from pomelograde.standins import _sql, _store, group, http, member

ADJUSTABLE = ("leaving", "lag_s", "service_s", "slots", "connection_limit")


@attrs.frozen
class MemberSettings:
    """Settings of one stand-in member."""

    name: str
    data_centre: str
    host: str = "127.0.0.1"
    port: int = 0
    slots: int = 3
    connection_limit: int = 20
    open_delay_s: float = 0.01
    service_s: float = 0.0
    lag_s: float = 0.0


@attrs.frozen
class GroupSettings:
    """Settings of one stand-in group.

    Attributes
    ----------
    setup : list of str
        Statements that the first primary runs before it accepts callers.
    """

    name: str
    members: list[MemberSettings]
    setup: list[str] = attrs.field(factory=list)


@attrs.frozen
class HostSettings:
    """Settings of a process that runs groups.

    Attributes
    ----------
    password : str
        Password of all database roles.
    control_port : int
        Port of the control address.
    """

    groups: list[GroupSettings]
    password: str = attrs.field(repr=False)
    control_port: int = 0


class Host:
    """Groups that run in this process.

    Parameters
    ----------
    reactor : IReactorTCP
        Reactor.
    settings : HostSettings
        What to run.
    """

    def __init__(self, reactor, settings):
        self.reactor = reactor
        self.settings = settings
        self.directory = tempfile.TemporaryDirectory(prefix="pomelograde-")
        self.groups = {}
        self.factories = {}
        self.ports = {}
        self.addresses = {}
        self.control = None

    def start(self):
        """Build the groups and listen."""
        for spec in self.settings.groups:
            self._start_group(spec)
        site = server.Site(ControlSite(self))
        site.noisy = False
        self.control = self.reactor.listenTCP(
            self.settings.control_port, site, interface="127.0.0.1"
        )

    def stop(self):
        """Stop listening and remove the files."""
        for port in [*self.ports.values(), self.control]:
            port.stopListening()
        for found in self.groups.values():
            for one in found.members.values():
                for connection in list(one.sessions):
                    connection.transport.abortConnection()
                one.store.close()
        self.directory.cleanup()

    def describe(self):
        """Return ports and state of all members as a JSON value."""
        return {
            "control_port": self.control.getHost().port,
            "groups": {
                name: [
                    self._describe_member(name, one) for one in found.members.values()
                ]
                for name, found in self.groups.items()
            },
        }

    def change(self, group_name, member_name, change):
        """Switch faults and adjust a member."""
        found = self.groups[group_name]
        one = found.members[member_name]
        was_killed = one.faults.killed
        for name, value in change.get("faults", {}).items():
            setattr(one.faults, name, value)
        for name in ADJUSTABLE:
            if name in change:
                setattr(one, name, change[name])
        if one.faults.killed and not was_killed:
            self._kill(group_name, one)
        elif was_killed and not one.faults.killed:
            self._listen(group_name, one)
        for connection in list(one.sessions):
            connection.advance()
        found.heal()

    def _start_group(self, spec):
        members = [
            group.Member(
                name=one.name,
                data_centre=one.data_centre,
                store=_store.Store(self.directory.name, f"{spec.name}-{one.name}"),
                slots=one.slots,
                connection_limit=one.connection_limit,
                open_delay_s=one.open_delay_s,
                service_s=one.service_s,
                lag_s=one.lag_s,
            )
            for one in spec.members
        ]
        found = self.groups[spec.name] = group.Group(self.reactor, spec.name, members)
        self._set_up(found, members[0], spec.setup)
        for one, its_settings in zip(members, spec.members, strict=True):
            self.factories[spec.name, one.name] = member.MemberFactory(
                self.reactor, found, one, self.settings.password
            )
            self.ports[spec.name, one.name] = self.reactor.listenTCP(
                its_settings.port,
                self.factories[spec.name, one.name],
                interface=its_settings.host,
                backlog=512,
            )
            port = self.ports[spec.name, one.name]
            self.addresses[spec.name, one.name] = port.getHost()

    def _set_up(self, found, first, statements):
        translated = [(_sql.to_sqlite(sql), (), "owner") for sql in statements]
        first.store.replay(translated)
        found.append(first, translated)

    def _kill(self, group_name, one):
        self.ports[group_name, one.name].stopListening()
        for connection in list(one.sessions):
            connection.transport.abortConnection()

    def _listen(self, group_name, one):
        host = self.addresses[group_name, one.name]
        self.ports[group_name, one.name] = self.reactor.listenTCP(
            host.port,
            self.factories[group_name, one.name],
            interface=host.host,
            backlog=512,
        )

    def _describe_member(self, group_name, one):
        host = self.addresses[group_name, one.name]
        return {
            "name": one.name,
            "host": host.host,
            "port": host.port,
            "data_centre": one.data_centre,
            "role": one.role,
            "term": one.term,
            "fenced_term": one.fenced_term,
            "position": [one.position.term, one.position.index],
            "leader": one.leader,
            "connections": len(one.sessions),
            "slots": one.slots,
            "connection_limit": one.connection_limit,
            "leaving": one.leaving,
            "statements": one.statements,
        }


class ControlSite(resource.Resource):
    """``GET /members`` and ``POST /members/GROUP/MEMBER``.

    Parameters
    ----------
    host : Host
        What is controlled.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, host):
        super().__init__()
        self.host = host

    def render(self, request):
        """Answer any request."""
        path = [part.decode("utf-8") for part in request.postpath if part]
        if path[:1] != ["members"]:
            return http.answer(request, 404, {"message": "unknown path"})
        if request.method == b"POST" and len(path) == 3:
            self.host.change(path[1], path[2], http.read_body(request))
        return http.answer(request, 200, self.host.describe())


def parse(value):
    """Check the settings of a host; returns a Result."""
    return checks.structure(value, HostSettings)
