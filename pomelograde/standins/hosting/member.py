"""Stand-in for replicated members that speak the line protocol."""

import collections
import itertools
import json
import time

import attrs
from twisted.internet import protocol
from twisted.internet import reactor as default_reactor
from twisted.protocols import basic

PRIMARY = "primary"
REPLICA = "replica"
DROP_SILENT_S = 3.0  # after which a member drops a connection that has gone silent


@attrs.define(eq=False)
class Member:
    """One member of a group.

    Attributes
    ----------
    name : str
        Id of the member.
    zone : str
        Data centre that it runs in, as the platform names it.
    role : str
        ``primary`` or ``replica``.
    term : int
        Term of the last entry in the log.
    log : list of tuple
        Item, data and request id of each write.
    applied : int
        Number of log entries that reads see.
    lag_s : float
        Time after a commit on the primary until this replica applies it.
    receive_s : float or None
        Time after which it has received the commit, if that is sooner.
    fail : str
        Error code that every read and write is answered with; empty for none.
    drop_answers : int
        Number of further writes outside transactions that are committed but not
        answered; the connection is aborted.
    runs : list of tuple
        Client account, request id and text of each read and write that was run.
    reached_at : float
        Monotonic time at which the last message of an open connection arrived,
        also one that is not a caller's.
    queried_at : float
        The same for messages with a caller's request id.
    state : str
        ``ready`` or ``draining``.
    down : bool
        Whether it aborts connections that send a message and has no row in the
        store.
    paused_term : int
        Term that replication to this replica is paused for; 0 if it is not paused.
    connections : int
        Number of connections open now.
    most_connections : int
        Highest number of connections open at once.
    started_ms : int
        Start of its process, in Unix milliseconds.
    cold_until : float
        Time until which it is cold, in seconds of `time.time`.
    requests : list of list
        Time, request id and text of each request while it was cold, those of the
        proxy included.
    protocols : list of MemberProtocol
        Open connections.
    work_s : float
        Time that each statement of a caller takes.
    trace : list of Execution
        Statements of callers that have arrived, and all commits.
    is_store_cut : bool
        Whether it does not reach the store.
    row_at : float
        Time of the reactor at which its row was last written.
    """

    name: str
    zone: str
    role: str
    term: int = 1
    log: list = attrs.field(factory=list)
    applied: int = 0
    lag_s: float = 0.02
    receive_s: float | None = None
    fail: str = ""
    drop_answers: int = 0
    runs: list = attrs.field(factory=list)
    reached_at: float = 0.0
    queried_at: float = 0.0
    state: str = "ready"
    down: bool = False
    paused_term: int = 0
    connections: int = 0
    most_connections: int = 0
    started_ms: int = 1
    cold_until: float = 0.0
    requests: list = attrs.field(factory=list)
    protocols: list = attrs.field(factory=list)
    work_s: float = 0.0
    trace: list = attrs.field(factory=list)
    is_store_cut: bool = False
    row_at: float = 0.0

    def reset(self):
        """Reset all open connections."""
        for open_protocol in list(self.protocols):
            open_protocol.transport.abortConnection()

    def silence(self):
        """Let all open connections go silent for good; new ones work."""
        for open_protocol in list(self.protocols):
            open_protocol.silence()

    def restart(self, cold_s):
        """Start again under the same name, and be cold for a time."""
        self.reset()
        self.started_ms += 1
        self.cold_until = time.time() + cold_s

    def position(self):
        """Return the position that reads see, as ``TERM.INDEX``."""
        return f"{self.term}.{self.applied}"

    def items(self):
        """Return the data by item, up to the last applied entry."""
        return {item: data for item, data, _ in self.log[: self.applied]}


@attrs.define(eq=False)
class Execution:
    """A statement that has arrived at a member.

    Attributes
    ----------
    arrived_at : float
        Monotonic time of its arrival.
    connection : int
        Number of the connection, unique among those of all members.
    account : str
        Client account of the connection.
    request_id : str
        Request id.
    text : str
        Statement; a prepared one has its kind and shape in place of its name.
    transaction : int
        Number of the transaction on the connection; 0 outside of transactions.
    settings : dict of str to str
        Session settings.
    written : int
        Writes that the transaction holds.
    ran_at : float or None
        Monotonic time at which it was run; None if it was not.
    """

    arrived_at: float
    connection: int
    account: str
    request_id: str
    text: str = ""
    transaction: int = 0
    settings: dict = attrs.field(factory=dict)
    written: int = 0
    ran_at: float | None = None


class Group:
    """A primary and its replicas.

    Parameters
    ----------
    name : str
        Name of the database service.
    members : list of Member
        Members.
    limit : int
        Highest number of connections to each member.
    reactor : IReactorTime
        Schedules the replication.

    Attributes
    ----------
    synchronous_replicas : int
        Replicas that must have received a commit before it is answered.
    unanswered : list of Commit
        Commits that not enough replicas have received yet.
    """

    def __init__(self, name, members, limit, reactor=default_reactor):
        self.name = name
        self.members = members
        self.limit = limit
        self.reactor = reactor
        self.synchronous_replicas = 0
        self.unanswered = []

    def commit(self, member, writes, done):
        """Append writes to a primary's log and replicate them after each lag.

        `done` is called once enough replicas have received them.
        """
        member.log.extend(writes)
        member.applied = len(member.log)
        if self.synchronous_replicas:
            self.unanswered.append(Commit(member, member.term, len(member.log), done))
        self.replicate()
        if not self.synchronous_replicas:
            done()

    def replicate(self):
        """Send the primary's log to the replicas, each after its lag."""
        for primary in self.members:
            if primary.role != PRIMARY or primary.down:
                continue
            for other in self.members:
                if other is primary or other.role != REPLICA:
                    continue
                if other.receive_s is not None and other.receive_s < other.lag_s:
                    later = other.receive_s
                    self.reactor.callLater(later, self._receive, other, primary)
                self.reactor.callLater(other.lag_s, self._apply, other, primary)

    def promote(self, name):
        """Make a member the primary of the next term."""
        chosen = next(member for member in self.members if member.name == name)
        term = max(member.term for member in self.members) + 1
        for member in self.members:
            if member.is_store_cut and member.role == PRIMARY:
                continue  # it learns of the promotion by `demote_replaced`
            member.role = REPLICA
            if member.paused_term <= term:
                member.paused_term = 0
        chosen.role = PRIMARY
        chosen.term = term
        chosen.applied = len(chosen.log)

    def demote_replaced(self):
        """Make replicas of primaries that were replaced while they were cut off."""
        latest = max(member.term for member in self.members)
        for member in self.members:
            is_replaced = member.role == PRIMARY and member.term < latest
            if is_replaced and not member.is_store_cut:
                member.role = REPLICA

    def _receive(self, replica, primary):
        """Give a replica the primary's log; return whether it takes it."""
        if replica.paused_term or replica.down or replica.term > primary.term:
            return False
        if replica.role != REPLICA or primary.role != PRIMARY:
            return False
        replica.log = list(primary.log)
        replica.applied = min(replica.applied, len(replica.log))
        replica.term = primary.term
        self._answer_received(replica, primary)
        return True

    def _apply(self, replica, primary):
        if self._receive(replica, primary):
            replica.applied = len(replica.log)

    def _answer_received(self, replica, primary):
        for commit in list(self.unanswered):
            if commit.member is not primary or commit.term != primary.term:
                self.unanswered.remove(commit)  # it has been replaced meanwhile
                continue
            if len(replica.log) >= commit.index:
                commit.received_by.add(replica.name)
            if len(commit.received_by) >= self.synchronous_replicas:
                self.unanswered.remove(commit)
                commit.done()


@attrs.define(eq=False)
class Commit:
    """A commit that is answered once enough replicas have received it.

    Attributes
    ----------
    member : Member
        The primary.
    term, index : int
        Its term, and the length of its log.
    done : callable
        Answers the commit.
    received_by : set of str
        Names of the replicas that have received it.
    """

    member: Member
    term: int
    index: int
    done: object
    received_by: set = attrs.field(factory=set)


class MemberProtocol(basic.LineOnlyReceiver):
    """One connection to a member."""

    MAX_LENGTH = 2 * 1024 * 1024
    digest_numbers = itertools.count(1)
    connection_numbers = itertools.count(1)

    def __init__(self, group, member):
        self.group = group
        self.member = member
        self.account = None
        self.settings = {}
        self.prepared = {}
        self.writes = None
        self.read_only = False
        self.number = next(self.connection_numbers)
        self.transaction_count = 0
        self.waiting = collections.deque()
        self.execution = None
        self.is_silent = False
        self.is_committing = False

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        """Count the connection as closed; uncommitted writes are dropped."""
        while len(self.waiting) > 1:  # the first one is being executed
            self.waiting.pop()
        if self in self.member.protocols:
            self.member.protocols.remove(self)
        if self.account is not None:
            self.member.connections -= 1
            self.account = None

    def silence(self):
        """Neither read nor write any more; the member drops it after a while."""
        self.is_silent = True
        self.group.reactor.callLater(DROP_SILENT_S, self.connectionLost)

    def sendLine(self, line):  # noqa: N802
        """Send a line, unless the connection has gone silent."""
        if not self.is_silent:
            super().sendLine(line)

    def lineReceived(self, line):  # noqa: N802
        """Handle one message."""
        if self.is_silent:
            return
        if self.member.down:
            self.transport.abortConnection()
            return
        self.member.reached_at = time.monotonic()
        keyword, _, rest = line.decode("latin-1").partition(" ")
        if self.account is None:
            self._start(keyword, rest)
            return
        request_id, _, text = rest.partition(" ")
        now = time.time()
        if now < self.member.cold_until:
            self.member.requests.append([now, request_id, text])
        if request_id != "-":
            self.member.queried_at = self.member.reached_at
        execution = Execution(
            self.member.reached_at, self.number, self.account, request_id
        )
        if request_id != "-":
            self.member.trace.append(execution)
        self.waiting.append((execution, text))
        if len(self.waiting) == 1:
            self._execute_next()

    def _execute_next(self):
        """Execute the first statement that waits, after the time that it takes."""
        while self.waiting and not self.is_committing:
            execution, text = self.waiting[0]
            if execution.request_id != "-" and self.member.work_s:
                self.group.reactor.callLater(
                    self.member.work_s, self._execute, execution, text
                )
                return
            self._query(execution, text)
            self.waiting.popleft()

    def _execute(self, execution, text):
        self._query(execution, text)
        self.waiting.popleft()
        self._execute_next()

    def _start(self, keyword, rest):
        fields = rest.split(" ")
        member = self.member
        if (
            keyword != "START"
            or fields[0] != self.group.name
            or fields[2] != member.name
        ):
            self._refuse("MISROUTED")
            return
        if member.connections >= self.group.limit:
            self._refuse("OVERLOAD")
            return
        member.connections += 1
        member.most_connections = max(member.connections, member.most_connections)
        self.account = fields[1]
        member.protocols.append(self)
        self._ready()

    def _refuse(self, code):
        self.sendLine(f"ERROR {code} {self.member.name}".encode())
        self.transport.loseConnection()

    def _query(self, execution, text):
        self.execution, request_id = execution, execution.request_id
        required_position = None
        if text.startswith("AFTER "):
            _, required_position, text = text.split(" ", 2)
        verb, _, arguments = text.partition(" ")
        member = self.member
        execution.text = text
        execution.settings = dict(self.settings)
        if self.writes is not None:
            execution.transaction = self.transaction_count
            execution.written = len(self.writes)
        if verb == "COMMIT" and request_id == "-":
            member.trace.append(execution)
        if required_position is not None and not self._has_applied(required_position):
            self._error("LAGGING")
            return
        if verb == "EXECUTE":
            name, _, rest = arguments.partition(" ")
            if name not in self.prepared:
                self._error("UNKNOWN")
                return
            (verb, shape), arguments = self.prepared[name], rest
            execution.text = f"EXECUTE {verb} {shape} {rest}"
        if member.fail and verb in ("READ", "WRITE"):
            self._error(member.fail)
            return
        handler = _HANDLERS.get(verb)
        if handler is None:
            self._error("MALFORMED")
            return
        handler(self, request_id, arguments, text)

    def _has_applied(self, required_position):
        term, number = required_position.split(".")
        return (self.member.term, self.member.applied) >= (int(term), int(number))

    def _begin(self, request_id, arguments, text):
        if arguments != "READ" and self.member.role != PRIMARY:
            self._error("READONLY")
            return
        self.writes = []
        self.transaction_count += 1
        self.read_only = arguments == "READ"
        self._done()

    def _read(self, request_id, arguments, text):
        self.member.runs.append((self.account, request_id, text))
        items = self.member.items()
        items.update({item: data for item, data, _ in self.writes or ()})
        self._done([items.get(arguments, "-")], request_id)

    def _write(self, request_id, arguments, text):
        if self.member.role != PRIMARY or self.read_only:
            self._error("READONLY")
            return
        self.member.runs.append((self.account, request_id, text))
        item, _, data = arguments.partition(" ")
        write = (item, data, request_id)
        if self.writes is not None:
            self.writes.append(write)
            self._done([], request_id)
            return
        if self.member.drop_answers:
            self.group.commit(self.member, [write], _ignore)
            self.execution.ran_at = time.monotonic()
            self.member.drop_answers -= 1
            self.transport.abortConnection()
            return
        self._commit_writes([write], request_id)

    def _commit_writes(self, writes, request_id):
        """Commit writes; what follows on the connection waits for the answer."""
        execution = self.execution
        self.is_committing = True
        is_later = False

        def done():
            self.is_committing = False
            if self.account is None:
                return
            self.execution = execution
            self._done([], request_id)
            if is_later:
                self._execute_next()

        self.group.commit(self.member, writes, done)
        is_later = True

    def _commit(self, request_id, arguments, text):
        writes, self.writes = self.writes, None
        self.read_only = False
        if writes and self.member.role != PRIMARY:
            self._error("READONLY")
            return
        if writes:
            self._commit_writes(writes, request_id)
        else:
            self._done([], request_id)

    def _rollback(self, request_id, arguments, text):
        self.writes = None
        self.read_only = False
        self._done()

    def _set(self, request_id, arguments, text):
        name, _, value = arguments.partition(" ")
        self.settings[name] = value
        self._done()

    def _parse(self, request_id, arguments, text):
        name, kind, shape = arguments.split(" ", 2)
        self.prepared[name] = (kind, shape)
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
        self.member.paused_term = max(self.member.paused_term, int(arguments))
        self._status(request_id, arguments, text)

    def _resume(self, request_id, arguments, text):
        self.member.paused_term = 0
        self._status(request_id, arguments, text)

    def _step_down(self, request_id, arguments, text):
        if self.member.term < int(arguments):
            self.member.role = REPLICA
        self._status(request_id, arguments, text)

    def _done(self, rows=(), request_id=None):
        self.execution.ran_at = time.monotonic()
        for row in rows:
            self.sendLine(f"DATAROW {row}".encode("latin-1"))
        digest = "-" if request_id is None else f"d.{next(self.digest_numbers)}"
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
    """Creates the protocols of connections to one member."""

    noisy = False

    def __init__(self, group, member):
        self.group = group
        self.member = member

    def buildProtocol(self, addr):  # noqa: N802
        """Return the protocol of a new connection."""
        return MemberProtocol(self.group, self.member)


def format_registration(group, member, port, seq):
    """Return the row by which a member registers in the store."""
    return json.dumps(
        {
            "service": group.name,
            "address": f"127.0.0.1:{port}",
            "zone": member.zone,
            "version": "v1",
            "slots": 3,
            "state": member.state,
            "coldRemainingMs": max(0, round((member.cold_until - time.time()) * 1000)),
            "dbRole": member.role,
            "seq": seq,
            "born": member.started_ms,
        }
    ).encode()


def _ignore():
    """Do nothing."""
