"""Clients that use a connection until the server closes it, and what they saw."""

import asyncio
import collections
import itertools
import random
import threading
import time

import attrs

from pomelograde.standins.hosting import host
from soak import callers, history

CONNECT_TIMEOUT_S = 2.0
RECONNECT_PAUSE_S = 0.05
WATCH_INTERVAL_S = 0.01
# Pauses between the statements of a transaction, up to just below the idle limit.
PAUSES_S = (0.0, 0.0, 0.05, 0.3, 1.0, 2.7)
LONGEST_TRANSACTION_S = 9.0
MOST_STATEMENTS = 12
MOST_PIPELINED = 4
ANSWERED, CLOSED, SILENT, LEFT = "answered", "closed", "no answer", "client left"


@attrs.define(eq=False)
class Request:
    """A request of a client, and what came back.

    Attributes
    ----------
    request_id : str
        Request id; empty for a start message.
    text : str
        Statement; a prepared one has its kind and shape in place of its name.
    operation : str
        Name of the operation that it belongs to.
    in_transaction : bool
        Whether the client has opened a transaction.
    database, key : str
        Database and API key of the connection.
    settings : dict of str to str
        Session settings that were acknowledged on the connection.
    instance : int
        Number of the instance that the client is connected to.
    connected_at : float
        Monotonic time at which the connection was opened.
    sent_at : float
        Monotonic time at which it was sent.
    lines : list of str
        Lines of the answer.
    end : str
        `ANSWERED`, `CLOSED` (by the server), `SILENT`, `LEFT` (by the client), or
        empty while it is outstanding.
    ended_at : float
        Monotonic time of that.
    """

    request_id: str
    text: str
    operation: str
    in_transaction: bool
    database: str
    key: str
    settings: dict
    instance: int
    connected_at: float
    sent_at: float
    lines: list = attrs.field(factory=list)
    end: str = ""
    ended_at: float = 0.0

    @property
    def outcome(self):
        """Outcome as the client knows it."""
        return callers.classify(self.lines) if self.end == ANSWERED else _UNKNOWN


_ACKNOWLEDGED = history.Outcome.ACKNOWLEDGED
_NOT_RUN = history.Outcome.NOT_RUN
_UNKNOWN = history.Outcome.UNKNOWN


class Session:
    """One connection of a client.

    Attributes
    ----------
    outstanding : deque of Request
        Requests without an answer.
    state : str
        Transaction state of the last answer.
    is_announced : bool
        Whether the server has announced the end of the session.
    is_closed : bool
        Whether the connection has ended.
    connected_at : float
        Monotonic time at which it was opened.
    answered_at : float
        Monotonic time of the last answer; requests behind it waited for it.
    strays : list of str
        Lines that answer nothing.
    """

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.outstanding = collections.deque()
        self.changed = asyncio.Event()
        self.lines = []
        self.state = "I"
        self.is_announced = False
        self.is_closed = False
        self.connected_at = time.monotonic()
        self.answered_at = 0.0
        self.strays = []
        self.settings = {}
        self.prepared = {}
        self.reading = asyncio.ensure_future(self._read())

    def send(self, requests, data):
        """Send requests whose encoding is given."""
        self.outstanding.extend(requests)
        self.writer.write(data)

    async def wait(self, request):
        """Wait for the end of a request."""
        while not request.end:
            self.changed.clear()
            started_at = max(request.sent_at, self.answered_at)
            left_s = started_at + callers.ANSWER_TIMEOUT_S - time.monotonic()
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.01, left_s))
            except TimeoutError:
                self.close(SILENT)

    def close(self, reason=LEFT):
        """Close the connection."""
        self.reading.cancel()
        self.writer.close()
        self._end(reason)

    async def _read(self):
        try:
            while (line := await self.reader.readline()).endswith(b"\n"):
                self._handle(line.decode("latin-1").rstrip("\r\n"))
        except OSError:  # a reset
            pass
        self.writer.close()
        self._end(CLOSED)

    def _handle(self, line):
        word = line.split(" ")[0]
        if not self.outstanding and (self.is_announced or word != "ERROR"):
            self.strays.append(line)
            return
        self.lines.append(line)
        if not self.outstanding:
            self.is_announced = True
            return
        is_start = not self.outstanding[0].request_id
        if word == "READY" or (is_start and word == "ERROR"):
            self.state = line.split(" ")[1] if word == "READY" else "I"
            request = self.outstanding.popleft()
            request.lines, self.lines = self.lines, []
            self.answered_at = time.monotonic()
            self._finish(request, ANSWERED)

    def _end(self, reason):
        self.is_closed = True
        while self.outstanding:
            self._finish(self.outstanding.popleft(), reason)
        self.changed.set()

    def _finish(self, request, end):
        request.end = end
        request.ended_at = time.monotonic()
        self.changed.set()


class Client:
    """Sends random operations over one connection after the other.

    Parameters
    ----------
    name : str
        Name of the client; prefix of its items and request ids.
    group : ClientGroup
        What all clients share.

    Attributes
    ----------
    leaves : bool
        Whether it closes the connection when the end of the session is announced.
    """

    def __init__(self, name, group):
        self.label = name
        self.rng = random.Random(f"{group.seed}/{name}")
        self.group = group
        self.leaves = self.rng.random() < 0.3
        self.operations = itertools.count(1)
        self.values = itertools.count(1)
        self.generation = 0
        self.session = None
        self.database = self.key = self.operation = ""
        self.instance = self.number = 0

    async def run(self):
        """Send operations until `stop_requested` of the group is set."""
        while not self.group.stop_requested.is_set():
            if self.session is None:
                await self._connect()
            else:
                await self._operate()
                await asyncio.sleep(self.rng.uniform(0.0, 0.2))
            if self.session is not None and (
                self.session.is_closed or (self.leaves and self.session.is_announced)
            ):
                self._disconnect()
        self._disconnect()

    def _disconnect(self):
        session, self.session = self.session, None
        if session is not None:
            session.close()
            self.group.strays.extend(f"{self.label}: {line}" for line in session.strays)

    async def _connect(self):
        await asyncio.sleep(RECONNECT_PAUSE_S)
        self.instance = self.rng.randrange(len(self.group.ports))
        self.database = self.rng.choice(self.group.administrator.databases())
        self.key = self.rng.choice(self.group.administrator.keys)
        port = self.group.ports[self.instance]
        try:
            connecting = asyncio.open_connection("127.0.0.1", port)
            streams = await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
        except OSError:  # the instance has been stopped
            return
        self.session = Session(*streams)
        start = self._make_request("", "START", {})
        self.session.send([start], f"START {self.database} {self.key}\r\n".encode())
        await self.session.wait(start)
        if start.end != ANSWERED or not start.lines[0].startswith("READY"):
            self._disconnect()
            return
        if self.rng.random() < 0.4:
            for name, kind in (("s1", "READ"), ("s2", "WRITE")):
                shape = f"q{self.rng.randrange(1000)}"
                await self._prepare(f"PARSE {name} {kind} {shape}", kind, name, shape)

    async def _prepare(self, text, kind, name, shape):
        if self.session is None or self.session.is_closed:
            return
        self.operation = f"{self.label}.{next(self.operations)}"
        [request] = await self._ask(text)
        if request.outcome is not _ACKNOWLEDGED:
            self._disconnect()
        elif kind == "SET":
            self.session.settings[name] = shape
        else:
            self.session.prepared[kind] = (name, shape)

    async def _operate(self):
        self.operation = f"{self.label}.{next(self.operations)}"
        self.number = 0
        kind = self.rng.choice(("read", "write", "reads", "transaction", "setting"))
        if kind == "setting":
            name, value = self.rng.choice("uvw"), str(self.rng.randrange(1000))
            await self._prepare(f"SET {name} {value}", "SET", name, value)
        elif kind == "transaction" and self.group.is_primary(self.database):
            await self._run_transaction()
        elif kind == "write" and self.group.is_primary(self.database):
            await self._write()
        elif kind == "reads":
            count = self.rng.randrange(2, MOST_PIPELINED + 1)
            await self._ask(*(self._read_text() for _ in range(count)))
        else:
            await self._read()
        if self.session is None:
            return
        # A client closes a session whose operation has ended in a transaction.
        if self.session.state != "I" or self.rng.random() < 0.1:
            self._disconnect()

    async def _ask(self, *texts):
        """Send statements at once, wait for the answers, and return the requests."""
        session = self.session
        requests, data = [], b""
        for text in texts:
            self.number += 1
            request_id = f"{self.operation}.{self.number}"
            requests.append(self._make_request(request_id, text, session.settings))
            words = text.split(" ", 3)
            if words[0] == "EXECUTE":
                text = f"EXECUTE {session.prepared[words[1]][0]} {words[3]}"
            data += f"QUERY {request_id} {text}\r\n".encode()
        if session.is_closed:
            for request in requests:
                request.end = LEFT
            return requests
        session.send(requests, data)
        for request in requests:
            await session.wait(request)
        return requests

    def _make_request(self, request_id, text, settings):
        request = Request(
            request_id,
            text,
            self.operation,
            self.session.state == "T",
            self.database,
            self.key,
            dict(settings),
            self.instance,
            self.session.connected_at,
            time.monotonic(),
        )
        self.group.requests.append(request)
        return request

    def _read_text(self, item=None):
        item = item or self._item_name("w")
        return f"{self._verb('READ')} {item}"

    def _verb(self, kind):
        """Return the beginning of a statement, of a prepared one at times."""
        prepared = self.session.prepared.get(kind)
        if prepared is None or self.rng.random() < 0.3:
            return kind
        return f"EXECUTE {kind} {prepared[1]}"

    def _item_name(self, part):
        return f"{self.label}-{part}-{self.generation}"

    async def _read(self):
        acknowledged = self.group.acknowledged
        item = self.rng.choice(sorted(acknowledged) or [self._item_name("w")])
        is_primary = self.group.is_primary(self.database)
        floor = acknowledged.get(item, 0) if is_primary else 0
        [request] = await self._ask(self._read_text(item))
        if request.outcome is _ACKNOWLEDGED:
            value = request.lines[0].removeprefix("DATAROW ")
            value = 0 if value == callers.MISSING_VALUE else int(value)
            read = history.Read(item, value, floor, self.database)
            self.group.observed.reads.append(read)
            self.group.served += 1

    async def _write(self):
        item, value = self._item_name("w"), next(self.values)
        [request] = await self._ask(f"{self._verb('WRITE')} {item} {value}")
        self._record([(request.request_id, item, value)], request.outcome)

    async def _run_transaction(self):
        reads_only = self.rng.random() < 0.3
        [begin] = await self._ask("BEGIN READ" if reads_only else "BEGIN")
        if begin.outcome is not _ACKNOWLEDGED:
            return
        pause_s = self.rng.choice(PAUSES_S)
        count = self.rng.randrange(1, MOST_STATEMENTS + 1)
        if pause_s:
            count = min(count, int(LONGEST_TRANSACTION_S / pause_s))
        ending = self.rng.choice(("COMMIT", "COMMIT", "COMMIT", "ROLLBACK", "leave"))
        value = next(self.values)
        writes, outcome = [], _NOT_RUN
        try:
            while count:
                await asyncio.sleep(pause_s * self.rng.uniform(0.5, 1.0))
                batch = min(count, self.rng.choice((1, 1, 1, 2, MOST_PIPELINED)))
                count -= batch
                texts = []
                for _ in range(batch):
                    if reads_only or self.rng.random() < 0.6:
                        texts.append(self._read_text())
                        continue
                    item = self._item_name(len(writes))
                    number = self.number + len(texts) + 1
                    writes.append((f"{self.operation}.{number}", item, value))
                    texts.append(f"{self._verb('WRITE')} {item} {value}")
                if not count and ending == "COMMIT" and self.rng.random() < 0.3:
                    texts.append("COMMIT")
                    outcome = _UNKNOWN
                requests = await self._ask(*texts)
                if any(found.outcome is not _ACKNOWLEDGED for found in requests):
                    if texts[-1] == "COMMIT" and requests[-1].outcome is _NOT_RUN:
                        outcome = _NOT_RUN
                    if self.session.state != "I" and not self.session.is_closed:
                        await self._ask("ROLLBACK")
                    return
                if texts[-1] == "COMMIT":
                    outcome = _ACKNOWLEDGED
                    return
            await asyncio.sleep(pause_s)
            if ending == "leave":
                self._disconnect()
                return
            if ending == "COMMIT":
                outcome = _UNKNOWN
            [request] = await self._ask(ending)
            if ending == "COMMIT":
                outcome = request.outcome
        finally:
            if writes:
                self._record(writes, outcome, self.operation)

    def _record(self, writes, outcome, transaction=""):
        """Record writes; the items change after an unknown outcome."""
        now = time.monotonic()
        for request_id, item, value in writes:
            self.group.observed.writes.append(
                history.Write(request_id, item, value, now, outcome, transaction)
            )
            if outcome is _ACKNOWLEDGED:
                self.group.acknowledged[item] = value
        self.generation += outcome is _UNKNOWN
        self.group.served += outcome is _ACKNOWLEDGED


class ClientGroup(threading.Thread):
    """Thread with the clients of a run.

    Parameters
    ----------
    seed : int
        Seed of the operations and their order.
    count : int
        Number of clients.
    ports : list of int
        Caller ports of the instances by their number.
    administrator : Administrator
        Knows the databases and keys.
    observed : History
        Receives the writes and reads.

    Attributes
    ----------
    requests : list of Request
        Everything that was sent.
    strays : list of str
        Lines from the server that answer nothing.
    served : int
        Reads, writes and transactions that were acknowledged.
    delays : list of tuple
        Start and end of each time in which the thread itself was late.
    """

    def __init__(self, seed, count, ports, administrator, observed):
        super().__init__(daemon=True)
        self.label = "clients"
        self.seed = seed
        self.count = count
        self.ports = ports
        self.administrator = administrator
        self.observed = observed
        self.acknowledged = {}
        self.requests = []
        self.strays = []
        self.served = 0
        self.delays = []
        self.stop_requested = threading.Event()

    def run(self):
        """Run the clients until `stop_requested` is set."""
        asyncio.run(self._run())

    async def _run(self):
        clients = [Client(f"s{self.seed}c{n}", self) for n in range(self.count)]
        await asyncio.gather(self._watch(), *(client.run() for client in clients))

    async def _watch(self):
        while not self.stop_requested.is_set():
            due_at = time.monotonic() + WATCH_INTERVAL_S
            await asyncio.sleep(WATCH_INTERVAL_S)
            if (now := time.monotonic()) - due_at > WATCH_INTERVAL_S:
                self.delays.append((due_at, now))

    def is_primary(self, database):
        """Return whether a database is served by the primary."""
        return database == "meters" or database not in _OTHER_TYPES


_OTHER_TYPES = {
    route["host"] for route in host.MANIFEST["routes"] if route["host"] != "meters"
}
