"""A fleet of instances, the stand-in of their platform, and callers."""

import itertools
import json
import random

import attrs
from twisted.internet import defer, protocol
from twisted.protocols import basic

from measure.simulation import _network
from pomelograde.daemon import hosted
from pomelograde.net import events
from pomelograde.net.hosted import relay, sessions
from pomelograde.platform import callers, settings, upstreams
from pomelograde.standins.hosting import fleets, host, member

PLATFORM = "platform"
RECONNECT_S = 0.3
PAUSE_S = 0.05  # of callers between their statements
# Age that reads of each database accept, beyond the writes of their own session.
STALENESS_S = {"meters": 0.0, "meters-own": 0.0, "meters-bounded": 1.5}
# Errors with which a statement has no lasting effect.
NOT_RUN = ("RETRY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "OVERLOAD")
REPLICATION_INTERVAL_S = 0.1
RECEIVE_S = 0.01  # until a replica has received a commit


class MemoryLog(events.Log):
    """Event log that keeps its records.

    Attributes
    ----------
    records : list of tuple of (float, str, dict)
        Time, name and fields of each event.
    """

    def __init__(self, process):
        super().__init__(process.name)
        self.process = process
        self.records = []

    def write(self, event, **fields):
        """Keep an event."""
        self.records.append((self.process.seconds(), event.name, fields))


@attrs.define(eq=False)
class Instance:
    """One process of an instance.

    Attributes
    ----------
    number : int
        Index among the fleet's instances, which determines its data centre.
    process : Process
        Its view of the network.
    daemon : HostedDaemon
        What runs in it.
    log : MemoryLog
        Its events.
    ports : list of int
        Caller port, readiness port, and ports for other instances and metrics.
    """

    number: int
    process: _network.Process
    daemon: hosted.HostedDaemon
    log: MemoryLog
    ports: list


@attrs.define
class Write:
    """A write of a caller, with what the caller was told.

    Attributes
    ----------
    request_id : str
        Unique id, which the members' logs hold.
    sequence : int
        Data of the write; rises with each write of the caller.
    outcome : str
        "", "acknowledged", "not run" or "in doubt".
    answered_at : float
        Time of the answer.
    """

    request_id: str
    sequence: int
    outcome: str = ""
    answered_at: float = 0.0


class Caller(basic.LineOnlyReceiver):
    """Session of a caller, which writes its own item and reads it in turn."""

    MAX_LENGTH = 1_000_000

    def __init__(self, owner):
        self.owner = owner
        self.lines = []
        self.acknowledged = []
        self.floor = -1
        self.write = None
        self.is_ready = False

    def connectionMade(self):  # noqa: N802
        """Open the session."""
        self.sendLine(f"START {self.owner.database} {host.KEY}".encode())

    def lineReceived(self, line):  # noqa: N802
        """Handle a line of an answer."""
        text = line.decode("latin-1")
        self.lines.append(text)
        if not text.startswith("READY"):
            return
        lines, self.lines = self.lines, []
        if self.is_ready:
            self._handle_answer(lines)
        self.is_ready = True
        self.owner.process.callLater(PAUSE_S, self._send_next)

    def _send_next(self):
        if not self.transport.connected:
            return
        owner = self.owner
        request_id = owner.make_request_id()
        if owner.is_writing:
            self.write = owner.begin_write(request_id)
            text = f"WRITE {owner.item} {self.write.sequence}"
        else:
            self.floor = self._find_floor()
            text = f"READ {owner.item}"
        owner.is_writing = not owner.is_writing
        self.sendLine(f"QUERY {request_id} {text}".encode())

    def _handle_answer(self, lines):
        if self.write is not None:
            write, self.write = self.write, None
            if lines[0].startswith("COMPLETE"):
                self.owner.end_write(write, "acknowledged")
                self.acknowledged.append(write)
            elif lines[0].split(" ")[1] in NOT_RUN:
                self.owner.end_write(write, "not run")
            else:
                self.owner.end_write(write, "in doubt")
        elif lines[0].startswith("DATAROW"):
            found = lines[0].split(" ")[1]
            value = -1 if found == "-" else int(found)
            # A write in doubt may have run after later ones.
            is_late = value >= 0 and self.owner.writes[value].outcome == "in doubt"
            if value < self.floor and not is_late:
                self.owner.report_stale(value, self.floor)

    def _find_floor(self):
        """Return the sequence that a read sent now must include, -1 for any."""
        until = self.owner.process.seconds() - STALENESS_S[self.owner.database]
        known = [one.sequence for one in self.acknowledged if one.answered_at <= until]
        return max(known, default=-1)

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        """Count a write without an answer as in doubt, and connect again."""
        if self.write is not None:
            self.owner.end_write(self.write, "in doubt")
        self.owner.connect_later()


class CallerOwner(protocol.ClientFactory):
    """A caller that keeps a session open at one instance.

    Attributes
    ----------
    writes : list of Write
        All writes, in order.
    stale : list of tuple of (float, int, int)
        Time, value and sequence that it had to include, of each stale read.
    """

    noisy = False

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.process = _network.Process(fleet.network, f"caller-{number}")
        self.item = f"item-{number}"
        self.database = sorted(STALENESS_S)[number % len(STALENESS_S)]
        self.writes = []
        self.stale = []
        self.request_count = 0
        self.is_writing = True

    def connect(self):
        """Open a session at the caller's instance, if it runs."""
        index = self.number + self.number // len(STALENESS_S)
        instance = self.fleet.instances[index % len(self.fleet.instances)]
        self.process.connectTCP(_network.HOST, instance.ports[0], self, timeout=1.0)

    def connect_later(self):
        """Open a session after a while."""
        self.process.callLater(RECONNECT_S, self.connect)

    def buildProtocol(self, addr):  # noqa: N802
        """Return a session."""
        return Caller(self)

    def clientConnectionFailed(self, connector, reason):  # noqa: N802
        """Connect again after a while."""
        self.connect_later()

    def make_request_id(self):
        """Return a unique request id."""
        self.request_count += 1
        return f"q{self.number}-{self.request_count}"

    def begin_write(self, request_id):
        """Record a write that is sent."""
        self.writes.append(Write(request_id, len(self.writes)))
        return self.writes[-1]

    def end_write(self, write, outcome):
        """Record what the caller was told about a write."""
        write.outcome = outcome
        write.answered_at = self.process.seconds()

    def report_stale(self, value, floor):
        """Record a read that lacks a write of its own session."""
        self.stale.append((self.process.seconds(), value, floor))


class Fleet:
    """Three instances, three members, their platform, and callers.

    Parameters
    ----------
    seed : int
        Seed of the instances' randomness.
    synchronous_replicas : int
        Replicas that must have received a commit before it is answered.

    Attributes
    ----------
    failures : list of Failure
        Exceptions that a start of an instance has raised.
    ended : list of Instance
        Instances that were killed.
    """

    def __init__(self, seed, synchronous_replicas=1):
        self.network = _network.Network()
        self.random = random.Random(seed)
        self.platform = _network.Process(self.network, PLATFORM)
        self.host = host.Host(self.platform)
        self.host.store_resource.clock = self.network.seconds
        self.host.group.synchronous_replicas = synchronous_replicas
        for found in self.members:
            found.receive_s = RECEIVE_S
        addresses = self.host.start()
        self.store_port = int(addresses["store"].rpartition(":")[2])
        services = [
            {**host.MANIFEST["services"][0], "syncReplicas": synchronous_replicas}
        ]
        manifest = {**host.MANIFEST, "version": 2, "services": services}
        self.host.tables.put("op", "config", json.dumps(manifest).encode())
        self.instances = []
        self.ended = []
        self.failures = []
        self.callers = []
        self._replicate()

    def _replicate(self):
        """Let replicas catch up that have received nothing for a while."""
        self.host.group.replicate()
        self.platform.callLater(REPLICATION_INTERVAL_S, self._replicate)

    @property
    def members(self):
        """All members."""
        return self.host.group.members

    def find_primary(self):
        """Return the member that leads in the latest term, or None."""
        leading = [one for one in self.members if one.role == member.PRIMARY]
        return max(leading, key=lambda one: one.term, default=None)

    def start(self, count=3, callers=5):
        """Start instances and callers, and wait until all are served."""
        for number in range(count):
            ports = [self.network.find_free_port() for _ in range(4)]
            self.instances.append(self._start_instance(number, ports))
        self.run(2.0)
        self.callers = [CallerOwner(self, number) for number in range(callers)]
        for caller in self.callers:
            caller.connect()
        self.run(1.0)

    def _start_instance(self, number, ports):
        zone = host.ZONES[number % len(host.ZONES)]
        name = f"{zone}-{number}"
        process = _network.Process(self.network, name)
        store = f"{_network.HOST}:{self.store_port}"
        fields = fleets.make_settings(name, zone, store, ports)
        log = MemoryLog(process)
        randomness = random.Random(self.random.random())
        parsed = settings.parse(fields).unwrap()
        daemon = hosted.build(process, parsed, log, randomness)
        daemon.proxy.rates.clock = process.seconds
        starting = defer.ensureDeferred(daemon.start())
        starting.addErrback(self.failures.append)
        return Instance(number, process, daemon, log, ports)

    def kill_instance(self, number):
        """Kill the process of an instance."""
        self.instances[number].process.kill()

    def restart_instance(self, number):
        """Start an instance again that was killed."""
        instance = self.instances[number]
        if not instance.process.is_running:
            self.ended.append(instance)
            self.instances[number] = self._start_instance(number, instance.ports)

    def run(self, duration_s):
        """Let time pass."""
        self.network.run_until(self.network.seconds() + duration_s)

    def call_later(self, delay_s, function, *arguments):
        """Call a function after a time, whichever processes run."""
        self.network.callLater(delay_s, function, *arguments)

    def set_cut(self, is_cut, names, ports):
        """Cut processes off from ports, or end that."""
        for pair in [(name, port) for name in names for port in ports]:
            if is_cut:
                self.network.cuts.add(pair)
            else:
                self.network.cuts.discard(pair)

    def find_member_links(self, name):
        """Return the open connections to a member."""
        listening = self.host.ports[name]
        return [link for link in self.network.links if link.port == listening]


def _make_repeatable(kind):
    """Let sets of objects of a class have the same order in each run.

    By default the order follows the addresses of the objects. Hashes are numbers
    in the whole process from then on, which changes nothing else.
    """
    numbers = itertools.count()
    kind.__hash__ = lambda found: found.__dict__.setdefault(
        "simulation_number", next(numbers)
    )


for _kind in (
    callers.CallerProtocol,
    relay.RelayHandler,
    sessions.SessionTask,
    upstreams.UpstreamConnection,
    _network.Link,
):
    _make_repeatable(_kind)
