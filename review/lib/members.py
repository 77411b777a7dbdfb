"""Stand-in for the replicated members of the services, as the protocol page says."""

import asyncio
import itertools
import time

RECEIVE_FRACTION = 0.5  # of the replication lag, until a commit is received
REACH_S = 1.0  # after which an old primary that reaches the new one gives up
DARK_S = 3.0  # after which a member drops a connection whose far end is dark
_DIGESTS = itertools.count(1)
_CONNECTIONS = itertools.count(1)


class Member:
    """One member of a service.

    Parameters
    ----------
    service : Service
        Its service.
    name, zone, host, port : str, str, str, int
        Id, data centre and address.
    slots : int
        Statements that run at once.
    """

    def __init__(self, service, name, zone, host, port, slots=3):
        self.service = service
        self.name = name
        self.zone = zone
        self.host = host
        self.port = port
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.role = "replica"
        self.term = 3
        self.held_term = 3
        self.log = []  # of (term, list of (item, data, id))
        self.applied = 0
        self.is_paused = False
        self.is_deaf = False
        self.is_dark = False
        self.cut_off = set()  # hosts that it can't be reached from
        self.lag_s = None  # that of the service
        self.state = "ready"
        self.is_registered = True
        self.silent_beats = 0
        self.born = int(time.time() * 1000)
        self.connections = set()
        self.server = None

    def cut(self, *hosts):
        """Lose all that comes from hosts, or from all if none is given."""
        self.cut_off.update(hosts)
        self.is_dark = self.is_dark or not hosts
        for connection in list(self.connections):
            if self.is_dark or connection.host in self.cut_off:
                asyncio.ensure_future(connection.go_silent())

    def heal(self):
        """Be reached again by all."""
        self.cut_off.clear()
        self.is_dark = False
        self.silent_beats = 0

    def position(self, number):
        """Return a position of the log as text."""
        term = self.log[number - 1][0] if number else 3
        return f"{max(term, self.term) if self.role == 'primary' else term}.{number}"

    def has(self, text):
        """Return whether the applied part of the log holds a position."""
        term, number = map(int, text.split("."))
        if number > self.applied:
            return False
        return number == 0 or self.log[number - 1][0] <= term or term <= self.term

    def row(self, seq):
        """Return the content of the check-in."""
        return {
            "service": self.service.name,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slot_count,
            "state": self.state,
            "coldRemainingMs": 0,
            "dbRole": self.role,
            "seq": seq,
            "born": self.born,
        }


class Service:
    """A primary and its replicas.

    Parameters
    ----------
    name : str
        Name of the service.
    record : callable
        Called with the kind of an event and its fields.
    on_change : callable
        Called with a member whose row changes.
    """

    def __init__(
        self, name, record, on_change, lag_s=0.02, promote_s=0.3, limit=22, sync=0
    ):
        self.name = name
        self.record = record
        self.on_change = on_change
        self.lag_s = lag_s
        self.promote_s = promote_s
        self.limit = limit
        self.sync = sync
        self.members = {}
        self.work_s = 0.006

    def add(self, name, zone, host, port, is_primary=False):
        """Add a member."""
        member = Member(self, name, zone, host, port)
        member.role = "primary" if is_primary else "replica"
        self.members[name] = member
        return member

    async def start(self):
        """Listen on the addresses of all members."""
        for member in self.members.values():
            member.server = await asyncio.start_server(
                lambda reader, writer, member=member: Connection(
                    member, reader, writer
                ).run(),
                member.host,
                member.port,
                limit=2 * 1024 * 1024,
            )

    def commit(self, member, writes):
        """Append a transaction to the log of a primary, and send it on.

        Returns
        -------
        Future
            Done once as many replicas have received it as the service asks for.
        """
        member.log.append((member.term, writes))
        member.applied = len(member.log)
        loop = asyncio.get_running_loop()
        received = loop.create_future()
        if not self.sync:
            received.set_result(None)
        for other in self.members.values():
            if other is not member:
                lag_s = self.lag_s if other.lag_s is None else other.lag_s
                loop.call_later(
                    lag_s * RECEIVE_FRACTION,
                    self._receive,
                    other,
                    member,
                    len(member.log),
                    lag_s,
                    received,
                )
        return received

    def _receive(self, replica, primary, number, lag_s, received=None):
        is_behind = replica.role == "replica" and primary.role == "primary"
        if not is_behind or replica.is_paused or replica.is_deaf:
            return
        if primary.term < replica.term or primary.is_dark:
            return
        if primary.log[:number] != replica.log:
            replica.log = primary.log[:number]
            replica.applied = min(replica.applied, number)
        replica.term = primary.term
        if received is not None and not received.done():
            received.set_result(None)
        asyncio.get_running_loop().call_later(
            lag_s * (1.0 - RECEIVE_FRACTION), self._apply, replica, number
        )

    def _apply(self, replica, number):
        replica.applied = max(replica.applied, min(number, len(replica.log)))

    def promote(self, name):
        """Make a member lead the next term after the usual time."""
        member = self.members[name]
        if member.role != "primary":
            asyncio.get_running_loop().call_later(self.promote_s, self._lead, member)

    def _lead(self, member):
        member.term = max(found.term for found in self.members.values()) + 1
        member.role = "primary"
        member.applied = len(member.log)
        member.is_paused = False
        held = [found[2] for _, writes in member.log for found in writes]
        self.record("promoted", member=member.name, term=member.term, held=held)
        self.on_change(member)
        loop = asyncio.get_running_loop()
        for other in self.members.values():
            if other is not member:
                other.is_paused = False
                loop.call_later(REACH_S, self._follow, other, member)
                if other.role == "replica":
                    self._receive(other, member, len(member.log), self.lag_s)

    def _follow(self, other, leader):
        if other.is_dark or leader.is_dark:
            return
        if leader.role == "primary" and other.term < leader.term:
            other.role = "replica"
            self._receive(other, leader, len(leader.log), self.lag_s)
            self.on_change(other)


class Connection:
    """One connection to a member."""

    def __init__(self, member, reader, writer):
        self.member = member
        self.reader = reader
        self.writer = writer
        self.number = next(_CONNECTIONS)
        self.host = writer.get_extra_info("peername")[0]
        self.received = None
        self.tenant = None
        self.values = {}
        self.prepared = {}
        self.status = "I"
        self.is_read_only = False
        self.writes = []
        self.transaction = 0
        self.transactions = itertools.count(1)
        self.is_silent = False

    async def run(self):
        """Serve the connection until it ends."""
        self.member.connections.add(self)
        if self.member.is_dark or self.host in self.member.cut_off:
            asyncio.ensure_future(self.go_silent())
        try:
            await self._serve()
        except (
            OSError,
            asyncio.IncompleteReadError,
            ValueError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self.member.connections.discard(self)
            if self.status != "I":
                self._record("end of connection rolls back")
            self.writer.close()

    async def go_silent(self):
        """Lose all bytes from now on; the member drops the connection later."""
        self.is_silent = True
        await asyncio.sleep(DARK_S)
        self.member.connections.discard(self)
        self.status, self.writes = "I", []

    async def _serve(self):
        while True:
            line = await self.reader.readline()
            if not line.endswith(b"\r\n"):
                return
            text = line[:-2].decode("latin-1")
            if self.is_silent:
                continue  # the bytes got lost on the way
            if self.tenant is None:
                if not self._start(text):
                    return
                continue
            _, request_id, text = text.split(" ", 2)
            answers = await self._query(request_id, text)
            if self.is_silent:
                continue
            for answer in answers:
                self.writer.write(answer.encode("latin-1") + b"\r\n")
            await self.writer.drain()

    def _start(self, text):
        fields = text.split(" ")
        member = self.member
        if fields[1] != member.service.name or fields[3:] not in ([], [member.name]):
            self.writer.write(b"ERROR MISROUTED -\r\n")
            return False
        if len(member.connections) > member.service.limit:
            self.writer.write(b"ERROR OVERLOAD -\r\n")
            return False
        self.tenant = fields[2]
        self.writer.write(self._ready().encode() + b"\r\n")
        return True

    def _ready(self):
        return f"READY {self.status} {self.member.position(self.member.applied)}"

    def _record(self, what, **fields):
        self.member.service.record(
            what,
            member=self.member.name,
            role=self.member.role,
            connection=self.number,
            transaction=self.transaction if self.status != "I" else 0,
            tenant=self.tenant,
            **fields,
        )

    def _fail(self, code):
        if self.status == "T":
            self.status = "E"
        return [f"ERROR {code} {self.member.name}", self._ready()]

    def _done(self, rows=(), digest="-"):
        return [f"DATAROW {row}" for row in rows] + [
            f"COMPLETE {digest}",
            self._ready(),
        ]

    async def _query(self, request_id, text):
        member = self.member
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            if not member.has(position):
                return self._fail("LAGGING")
        verb, _, arguments = text.partition(" ")
        shape = None
        if verb == "EXECUTE":
            name, _, arguments = arguments.partition(" ")
            if name not in self.prepared:
                return self._fail("UNKNOWN")
            verb, shape = self.prepared[name]
        if self.status == "E" and verb != "ROLLBACK":
            return self._fail("MALFORMED")
        if verb in ("READ", "WRITE", "COMMIT"):
            self._record("reaches", id=request_id)
            async with member.slots:
                await asyncio.sleep(member.service.work_s)
                if self.is_silent:
                    return []
                answer = self._run(verb, arguments, request_id, text, shape)
            if self.received is not None:
                await self.received
                self.received = None
            return answer
        return self._control(verb, arguments)

    def _run(self, verb, arguments, request_id, text, shape):
        member = self.member
        in_plain = self.status == "T" and not self.is_read_only
        wrote_nothing = verb == "COMMIT" and not self.writes
        is_refused = (verb == "WRITE" or in_plain) and not wrote_nothing
        if is_refused and member.role != "primary":
            return self._fail("READONLY")
        self._record("runs", id=request_id, text=text, shape=shape, values=self.values)
        digest = f"{member.term}.d{next(_DIGESTS)}"
        if verb == "READ":
            found = {}
            for _, writes in member.log[: member.applied]:
                found.update({item: data for item, data, _ in writes})
            found.update({item: data for item, data, _ in self.writes})
            return self._done([found.get(arguments, "-")], digest)
        if verb == "WRITE":
            item, _, data = arguments.partition(" ")
            write = (item, data, request_id)
            if self.status == "T":
                self.writes.append(write)
            else:
                self.received = member.service.commit(member, [write])
                self._record("committed", ids=[request_id], by=request_id)
            return self._done([], digest)
        writes, self.writes = self.writes, []
        if writes:
            self.received = member.service.commit(member, writes)
        self._record("committed", ids=[found[2] for found in writes], by=request_id)
        self.status = "I"
        return self._done([], digest)

    def _control(self, verb, arguments):
        member = self.member
        if verb == "BEGIN":
            if arguments != "READ" and member.role != "primary":
                return self._fail("READONLY")
            self.status, self.is_read_only = "T", arguments == "READ"
            self.writes, self.transaction = [], next(self.transactions)
        elif verb == "ROLLBACK":
            self._record("rolled back")
            self.status, self.writes = "I", []
        elif verb == "SET":
            name, _, value = arguments.partition(" ")
            self.values = {**self.values, name: value}
        elif verb == "PARSE":
            name, mode, shape = arguments.split(" ", 2)
            self.prepared[name] = (mode, shape)
        elif verb == "DISCARD":
            self.values, self.prepared = {}, {}
        elif verb == "PAUSE":
            member.is_paused = int(arguments) > member.term
        elif verb == "RESUME":
            member.is_paused = False
        elif verb == "STEPDOWN":
            if member.role == "primary" and member.term < int(arguments):
                member.role = "replica"
                member.service.on_change(member)
        elif verb != "STATUS":
            return self._fail("MALFORMED")
        if verb in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            received = member.position(len(member.log))
            fields = [member.role, member.term, received, member.held_term, 0, 0]
            row = " ".join(map(str, [*fields, len(member.connections)]))
            return self._done([row])
        return self._done()
