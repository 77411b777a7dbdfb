"""Runs groups of stand-in members, with a control interface for faults."""

import tempfile

import attrs
from twisted.internet import address
from twisted.web import resource, server

from pomelograde.core import checks
from pomelograde.standins import _sql, _store, group, http, member, processes

ADJUSTABLE_ATTRIBUTES = ("leaving", "lag_s", "service_s", "slots", "connection_limit")


@attrs.frozen
class MemberSettings:
    """Settings of one stand-in member; see `group.Member` for their meaning."""

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
        Statements that the first primary runs before members accept connections.
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
        Port of the control interface; 0 for a free one.
    """

    groups: list[GroupSettings]
    password: str = attrs.field(repr=False)
    control_port: int = 0


class Host:
    """Runs groups in this process.

    Parameters
    ----------
    reactor : IReactorTCP
        Listens for connections and schedules delays.
    settings : HostSettings
        Groups to run, password and control port.
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
        """Create the groups and listen on all ports."""
        for group_settings in self.settings.groups:
            self._start_group(group_settings)
        site = server.Site(ControlResource(self))
        site.noisy = False
        self.control = self.reactor.listenTCP(
            self.settings.control_port, site, interface="127.0.0.1"
        )

    def stop(self):
        """Stop listening, abort connections and remove the database files."""
        for port in [*self.ports.values(), self.control]:
            port.stopListening()
        for member_group in self.groups.values():
            for group_member in member_group.members.values():
                for connection in list(group_member.sessions):
                    connection.transport.abortConnection()
                group_member.store.close()
        self.directory.cleanup()

    def describe(self):
        """Return ports and state of all members as a JSON value."""
        return {
            "control_port": self.control.getHost().port,
            "groups": {
                name: [
                    self._describe_member(name, group_member)
                    for group_member in member_group.members.values()
                ]
                for name, member_group in self.groups.items()
            },
        }

    def change(self, group_name, member_name, change):
        """Set faults and adjustable attributes of a member.

        Parameters
        ----------
        group_name, member_name : str
            Member to change.
        change : dict
            Attributes named in `ADJUSTABLE_ATTRIBUTES`, and ``faults``: attributes of
            `group.MemberFaults`.
        """
        member_group = self.groups[group_name]
        group_member = member_group.members[member_name]
        was_killed = group_member.faults.killed
        for name, value in change.get("faults", {}).items():
            setattr(group_member.faults, name, value)
        for name in ADJUSTABLE_ATTRIBUTES:
            if name in change:
                setattr(group_member, name, change[name])
        if group_member.faults.killed and not was_killed:
            self._stop_member(group_name, group_member)
        elif was_killed and not group_member.faults.killed:
            self._listen(group_name, group_member)
        for connection in list(group_member.sessions):
            connection.advance()
        member_group.heal()

    def _start_group(self, group_settings):
        members = [
            group.Member(
                name=member_settings.name,
                data_centre=member_settings.data_centre,
                store=_store.Store(
                    self.directory.name, f"{group_settings.name}-{member_settings.name}"
                ),
                slots=member_settings.slots,
                connection_limit=member_settings.connection_limit,
                open_delay_s=member_settings.open_delay_s,
                service_s=member_settings.service_s,
                lag_s=member_settings.lag_s,
            )
            for member_settings in group_settings.members
        ]
        member_group = self.groups[group_settings.name] = group.Group(
            self.reactor, group_settings.name, members
        )
        self._run_setup(member_group, members[0], group_settings.setup)
        for group_member, member_settings in zip(
            members, group_settings.members, strict=True
        ):
            self.factories[group_settings.name, group_member.name] = (
                member.MemberFactory(
                    self.reactor, member_group, group_member, self.settings.password
                )
            )
            # A reserved port stays this member's while it is killed.
            port = (
                member_settings.port or processes.free_ports(1, member_settings.host)[0]
            )
            self.addresses[group_settings.name, group_member.name] = (
                address.IPv4Address("TCP", member_settings.host, port)
            )
            self._listen(group_settings.name, group_member)

    def _run_setup(self, member_group, primary, statements):
        translated = [(_sql.to_sqlite(sql), (), "owner") for sql in statements]
        primary.store.replay(translated)
        member_group.append(primary, translated)

    def _stop_member(self, group_name, group_member):
        self.ports[group_name, group_member.name].stopListening()
        for connection in list(group_member.sessions):
            connection.transport.abortConnection()

    def _listen(self, group_name, group_member):
        host = self.addresses[group_name, group_member.name]
        self.ports[group_name, group_member.name] = self.reactor.listenTCP(
            host.port,
            self.factories[group_name, group_member.name],
            interface=host.host,
            backlog=512,
        )

    def _describe_member(self, group_name, group_member):
        host = self.addresses[group_name, group_member.name]
        return {
            "name": group_member.name,
            "host": host.host,
            "port": host.port,
            "data_centre": group_member.data_centre,
            "role": group_member.role,
            "term": group_member.term,
            "fenced_term": group_member.fenced_term,
            "position": [group_member.position.term, group_member.position.index],
            "leader": group_member.leader,
            "connections": len(group_member.sessions),
            "slots": group_member.slots,
            "connection_limit": group_member.connection_limit,
            "leaving": group_member.leaving,
            "statements": group_member.statements,
        }


class ControlResource(resource.Resource):
    """Control interface: ``GET /members`` and ``POST /members/GROUP/MEMBER``.

    Parameters
    ----------
    host : Host
        Host that is controlled.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, host):
        super().__init__()
        self.host = host

    def render(self, request):
        """Handle a request."""
        path = [part.decode("utf-8") for part in request.postpath if part]
        if path[:1] != ["members"]:
            return http.answer(request, 404, {"message": "unknown path"})
        if request.method == b"POST" and len(path) == 3:
            self.host.change(path[1], path[2], http.read_body(request))
        return http.answer(request, 200, self.host.describe())


def parse(value):
    """Check the settings of a host and return them as a Result."""
    return checks.structure(value, HostSettings)
