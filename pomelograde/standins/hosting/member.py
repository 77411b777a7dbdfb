"""Stand-in of replicated members that speak the line protocol."""

import itertools
import json

import attrs
from twisted.internet import protocol, reactor
from twisted.protocols import basic

PRIMARY = "primary"
REPLICA = "replica"


@attrs.define(eq=False)
class Member:
    """One member of a group.

    Attributes
    ----------
    name : str
        Its id.
    zone : str
        Where it runs.
    role : str
        ``primary`` or ``replica``.
    term : int
        Term of its log's last entry.
    log : list of tuple
        Item, data and id of the statement of each write.
    applied : int
        Length of the log that reads see.
    lag_s : float
        Time until a received entry is applied.
    fail : str
        Code that every read and write is answered with; empty for none.
    drop_answers : int
        Number of writes to come that are run and not answered.
    runs : list of tuple
        Client account, id and text of each statement that was run.
    state : str
        ``ready`` or ``draining``.
    down : bool
        Whether it answers nobody and writes no row.
    paused : bool
        Whether a replica receives nothing.
    """

    name: str
    zone: str
    role: str
    term: int = 1
    log: list = attrs.field(factory=list)
    applied: int = 0
    lag_s: float = 0.02
    fail: str = ""
    drop_answers: int = 0
    runs: list = attrs.field(factory=list)
    state: str = "ready"
    down: bool = False
    paused: bool = False
    connections: int = 0
    most_connections: int = 0

    def position(self):
        """Return the text of its position."""
        return f"{self.term}.{self.applied}"

    def items(self):
        """Return what reads see."""
        return {item: data for item, data, _ in self.log[: self.applied]}


class Group:
    """A primary and its replicas.

    Parameters
    ----------
    name : str
        Name of the database service.
    members : list of Member
        Members.
    limit : int
        Connections that each takes.
    """

    def __init__(self, name, members, limit):
        self.name = name
        self.members = members
        self.limit = limit

    def commit(self, member, writes):
        """Append writes to a primary's log, and send them to its replicas."""
        member.log.extend(writes)
        member.applied = len(member.log)
        for other in self.members:
            if other is not member and other.role == REPLICA:
                reactor.callLater(other.lag_s, self._apply, other, member)

    def promote(self, name):
        """Make a member lead the next term."""
        chosen = next(member for member in self.members if member.name == name)
        term = max(member.term for member in self.members) + 1
        for member in self.members:
            member.role = REPLICA
            member.paused = False
        chosen.role = PRIMARY
        chosen.term = term

    def _apply(self, replica, primary):
        if replica.paused or replica.down:
            return
        if replica.role == REPLICA and primary.role == PRIMARY:
            replica.log = list(primary.log)
            replica.applied = len(replica.log)
            replica.term = primary.term


class MemberProtocol(basic.LineOnlyReceiver):
    """One connection to a member."""

    MAX_LENGTH = 2 * 1024 * 1024
    digests = itertools.count(1)

    def __init__(self, group, member):
        self.group = group
        self.member = member
        self.account = None
        self.settings = {}
        self.prepared = {}
        self.writes = None
        self.reads_only = False

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        """Forget the connection; what is open is rolled back."""
        if self.account is not None:
            self.member.connections -= 1

    def lineReceived(self, line):  # noqa: N802
        """Answer one message."""
        if self.member.down:
            self.transport.abortConnection()
            return
        word, _, rest = line.decode("latin-1").partition(" ")
        if self.account is None:
            self._start(word, rest)
            return
        request_id, _, text = rest.partition(" ")
        self._query(request_id, text)

    def _start(self, word, rest):
        fields = rest.split(" ")
        member = self.member
        if word != "START" or fields[0] != self.group.name or fields[2] != member.name:
            self._refuse("MISROUTED")
            return
        if member.connections >= self.group.limit:
            self._refuse("OVERLOAD")
            return
        member.connections += 1
        member.most_connections = max(member.connections, member.most_connections)
        self.account = fields[1]
        self._ready()

    def _refuse(self, code):
        self.sendLine(f"ERROR {code} {self.member.name}".encode())
        self.transport.loseConnection()

    def _query(self, request_id, text):
        after = None
        if text.startswith("AFTER "):
            _, after, text = text.split(" ", 2)
        verb, _, arguments = text.partition(" ")
        member = self.member
        if after is not None and not self._holds(after):
            self._error("LAGGING")
            return
        if verb == "EXECUTE":
            name, _, rest = arguments.partition(" ")
            if name not in self.prepared:
                self._error("UNKNOWN")
                return
            verb, arguments = self.prepared[name], rest
        if member.fail and verb in ("READ", "WRITE"):
            self._error(member.fail)
            return
        handler = _HANDLERS.get(verb)
        if handler is None:
            self._error("MALFORMED")
            return
        handler(self, request_id, arguments, text)

    def _holds(self, after):
        term, number = after.split(".")
        return (self.member.term, self.member.applied) >= (int(term), int(number))

    def _begin(self, request_id, arguments, text):
        if arguments != "READ" and self.member.role != PRIMARY:
            self._error("READONLY")
            return
        self.writes = []
        self.reads_only = arguments == "READ"
        self._done()

    def _read(self, request_id, arguments, text):
        self.member.runs.append((self.account, request_id, text))
        items = self.member.items()
        items.update({item: data for item, data, _ in self.writes or ()})
        self._done([items.get(arguments, "-")], request_id)

    def _write(self, request_id, arguments, text):
        if self.member.role != PRIMARY or self.reads_only:
            self._error("READONLY")
            return
        self.member.runs.append((self.account, request_id, text))
        item, _, data = arguments.partition(" ")
        write = (item, data, request_id)
        if self.writes is not None:
            self.writes.append(write)
            self._done([], request_id)
            return
        self.group.commit(self.member, [write])
        if self.member.drop_answers:
            self.member.drop_answers -= 1
            self.transport.abortConnection()
            return
        self._done([], request_id)

    def _commit(self, request_id, arguments, text):
        writes, self.writes = self.writes, None
        self.reads_only = False
        if writes and self.member.role != PRIMARY:
            self._error("READONLY")
            return
        if writes:
            self.group.commit(self.member, writes)
        self._done([], request_id)

    def _rollback(self, request_id, arguments, text):
        self.writes = None
        self.reads_only = False
        self._done()

    def _set(self, request_id, arguments, text):
        name, _, value = arguments.partition(" ")
        self.settings[name] = value
        self._done()

    def _parse(self, request_id, arguments, text):
        name, kind, _ = arguments.split(" ", 2)
        self.prepared[name] = kind
        self._done()

    def _discard(self, request_id, arguments, text):
        self.settings.clear()
        self.prepared.clear()
        self._done()

    def _status(self, request_id, arguments, text):
        member = self.member
        received = f"{member.term}.{len(member.log)}"
        self._done(
            [f"{member.role} {member.term} {received} 0 0 0 {member.connections}"]
        )

    def _pause(self, request_id, arguments, text):
        self.member.paused = True
        self._status(request_id, arguments, text)

    def _resume(self, request_id, arguments, text):
        self.member.paused = False
        self._status(request_id, arguments, text)

    def _step_down(self, request_id, arguments, text):
        if self.member.term < int(arguments):
            self.member.role = REPLICA
        self._status(request_id, arguments, text)

    def _done(self, rows=(), request_id=None):
        for row in rows:
            self.sendLine(f"DATAROW {row}".encode("latin-1"))
        digest = "-" if request_id is None else f"d.{next(self.digests)}"
        self.sendLine(f"COMPLETE {digest}".encode())
        self._ready()

    def _error(self, code):
        self.sendLine(f"ERROR {code} {self.member.name}".encode())
        self._ready(b"I" if self.writes is None else b"E")

    def _ready(self, status=None):
        if status is None:
            status = b"I" if self.writes is None else b"T"
        position = self.member.position().encode()
        self.sendLine(b"READY " + status + b" " + position)


_HANDLERS = {
    "BEGIN": MemberProtocol._begin,
    "READ": MemberProtocol._read,
    "WRITE": MemberProtocol._write,
    "COMMIT": MemberProtocol._commit,
    "ROLLBACK": MemberProtocol._rollback,
    "SET": MemberProtocol._set,
    "PARSE": MemberProtocol._parse,
    "DISCARD": MemberProtocol._discard,
    "STATUS": MemberProtocol._status,
    "PAUSE": MemberProtocol._pause,
    "RESUME": MemberProtocol._resume,
    "STEPDOWN": MemberProtocol._step_down,
}


class MemberFactory(protocol.ServerFactory):
    """Accepts connections to one member."""

    noisy = False

    def __init__(self, group, member):
        self.group = group
        self.member = member

    def buildProtocol(self, addr):  # noqa: N802
        """Return the protocol of a connection."""
        return MemberProtocol(self.group, self.member)


def describe(group, member, port, seq):
    """Return the row that a member writes of itself."""
    return json.dumps(
        {
            "service": group.name,
            "address": f"127.0.0.1:{port}",
            "zone": member.zone,
            "version": "v1",
            "slots": 3,
            "state": member.state,
            "coldRemainingMs": 0,
            "dbRole": member.role,
            "seq": seq,
            "born": 1,
        }
    ).encode()
