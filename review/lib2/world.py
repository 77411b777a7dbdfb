"""Stand-ins for the platform, the members and the clients, for the second review.

Everything runs in one process on loopback addresses and the real clock. Each
instance and each member has an address of its own, so that a cut between two of
them is a set of addresses whose messages are held up.
"""

import asyncio
import base64
import collections
import itertools
import json
import math
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("catania-a", "palermo-a", "agrigento-a")
REGIONS = {zone: zone.split("-")[0] for zone in ZONES}
# As in the site file serene-ops.toml.
INSTANCES_PER_ZONE = (3, 2, 2)
BETWEEN_REGIONS_S = 0.012
IN_ZONE_S = 0.0001
STORE_S = 0.004
SLOTS = 3
MAX_CONNECTIONS = 22
HANDSHAKE_S = 0.012
HEARTBEAT_S = 1.2
MISSED_HEARTBEATS = 3
PROMOTE_S = 0.3
LAG_S = 0.02
WORK_S = 0.006
MAX_DRAWS = 8
DROP_DARK_S = 3.0  # a connection whose far end is dark is dropped
SERVICE = "bollette-core"
KEY = "key-of-desk"
ACCOUNT = "desk"
DATABASES = {
    "casework": ("primary", None, 800),
    "bill-lookup": ("bounded_staleness", 1500, 2000),
    "home-visit": ("read_your_writes", 2500, 800),
}
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "stabilityWindowMs": 5000,
    "ackMs": 6000,
    "catchUpS": 4,
    "drainMs": 7000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 15000,
    "strictRevoke": True,
    "revokeMs": 5000,
    "quotaWindowS": 5,
    "quotaExcess": 0.1,
    "quotaSlack": 20,
    "recoveryS": 12,
    "requireFence": False,
    "thawSlackMs": 300,
}
CONTRACTS = ["base", "drain", "config", "cost", "recover"]
CONTRACTS += ["sql", "tenants", "quota", "platform"]


class CannotRunError(Exception):
    """The case could not be run."""


class RedrawError(Exception):
    """The names that were drawn do not fit; a deployment with others is started."""


class Record:
    """The file that says what was sent, answered and run."""

    def __init__(self, path):
        self.file = path.open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def write(self, text):
        """Write one line with the time since the start."""
        now = time.monotonic() - self.started_at
        self.file.write(f"{now:9.4f} {text}\n")
        self.file.flush()


class Commit:
    """One entry of a log."""

    def __init__(self, term, number, member, request_id, item, data):
        self.term = term
        self.number = number
        self.member = member
        self.request_id = request_id
        self.item = item
        self.data = data
        self.made_at = time.monotonic()
        self.acked_at = None
        self.rolled_back = False
        self.is_late = False

    def __str__(self):
        return f"{self.term}.{self.number}"


class HttpServer:
    """A small HTTP/1.1 server with JSON bodies."""

    async def start(self, host, port):
        """Listen for connections."""
        self.server = await asyncio.start_server(self._serve, host, port)

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request, *lines = head.decode("latin-1").split("\r\n")
                method, target, _ = request.split(" ")
                headers = {}
                for line in filter(None, lines):
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                status, answer = await self.answer(method, target, headers, body)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, headers, body):
        """Return status and JSON value of the answer to a request."""
        raise NotImplementedError


class Store(HttpServer):
    """The platform's metadata store."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Condition()

    async def put(self, table, key, value):
        """Write a row, or remove it if the value is None."""
        self.version += 1
        self.rows[table, key] = (value, self.version)
        await self._notify()

    async def _notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def answer(self, method, target, headers, body):
        """Return status and JSON value of the answer to a request."""
        await asyncio.sleep(STORE_S)
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        if path == "/rows-tx":
            return await self._commit(json.loads(body))
        if path == "/rows-get":
            start, table = fields.get("from", ""), fields["table"]
            rows = [
                self._format(table, key)
                for (found, key) in sorted(self.rows)
                if found == table and key >= start and self.rows[found, key][0]
            ]
            return 200, {"rows": rows, "hasMore": False, **self._stamp()}
        if path == "/rows-feed":
            return await self._feed(fields)
        return 404, {}

    async def _feed(self, fields):
        table, after = fields["table"], int(fields["after"])
        until = time.monotonic() + int(fields["waitMs"]) / 1000.0
        while True:
            changed = [
                (version, key)
                for (found, key), (_, version) in self.rows.items()
                if found == table and version > after
            ]
            left = until - time.monotonic()
            if changed or left <= 0:
                rows = [self._format(table, key) for _, key in sorted(changed)]
                return 200, {"rows": rows, **self._stamp()}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    pass

    async def _commit(self, body):
        for row in body["puts"] + body["remove"]:
            if row["table"] in ("op", "servers"):
                return 403, {}
        for row in body["expectedRev"]:
            value, version = self.rows.get((row["table"], row["key"]), (None, 0))
            if row["ver"] != (0 if value is None else version):
                return 412, {"rows": [], **self._stamp()}
        self.version += 1
        for row in body["puts"]:
            value = base64.b64decode(row["value"])
            self.rows[row["table"], row["key"]] = (value, self.version)
        for row in body["remove"]:
            self.rows[row["table"], row["key"]] = (None, self.version)
        await self._notify()
        return 200, self._stamp()

    def _stamp(self):
        return {"ver": self.version, "nowMs": int(time.monotonic() * 1000)}

    def _format(self, table, key):
        value, version = self.rows[table, key]
        row = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            return {**row, "tombstone": True}
        return {**row, "value": base64.b64encode(value).decode()}


class Cloud(HttpServer):
    """The platform's call that promotes a member."""

    def __init__(self, world):
        self.world = world
        self.calls = []
        self.on_call = None
        self.delay_s = 0.0

    async def answer(self, method, target, headers, body):
        """Return status and JSON value of the answer to a request."""
        fields = json.loads(body)
        holder, fence = headers["lease-holder"], int(headers["fencing-token"])
        member = self.world.find_member(fields["id"])
        status = 409 if member is None or member.is_dark else 200
        self.calls.append((time.monotonic(), holder, fence, fields["id"], status))
        self.world.record.write(
            f"promote {fields['id']} holder={holder} fence={fence}: {status}"
        )
        if status == 200 and member.role != "primary":
            self.world.spawn(self.world.promote(member))
        if self.on_call is not None:
            self.on_call(holder, member)
        await asyncio.sleep(self.delay_s)
        return status, {}


class Member:
    """One member of the database service."""

    def __init__(self, world, name, zone, host):
        self.world = world
        self.name = name
        self.zone = zone
        self.host = host
        self.role = "replica"
        self.term = 1
        self.log = []
        self.applied = 0
        self.lag_s = LAG_S
        self.paused_term = 0
        self.is_deaf = False
        self.is_dark = False
        self.is_store_cut = False
        self.cut_hosts = set()
        self.cut_members = set()
        self.lives = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self.connections = set()
        self.open = set()
        self.seq = 0
        self.beat_at = 0.0

    @property
    def position(self):
        """Position up to which reads see the log."""
        return f"{self.term}.{self.applied}"

    def reaches(self, other):
        """Return whether this member and another one reach each other."""
        is_cut = other.name in self.cut_members or self.name in other.cut_members
        return not (is_cut or self.is_dark or other.is_dark)

    def crash(self):
        """Lose power: nothing is answered, and open connections are lost."""
        self.is_dark = True
        self.lives += 1

    def silence(self):
        """Let all open connections go silent for good; new ones work.

        The member drops them, as it hears nothing from the far end either.
        """
        for connection in self.open:
            connection.is_silent = True
            self.world.silent.append(connection)
        return len(self.open)

    async def return_after_crash(self):
        """Start again with the log, as a replica if another one was promoted."""
        self.is_dark = False
        if any(found.term > self.term for found in self.world.members):
            self.role = "replica"
        for writer in list(self.connections):
            writer.transport.abort()
        await self.register()

    async def register(self):
        """Write the row of this member into the store."""
        if self.is_dark or self.is_store_cut:
            return
        self.seq += 1
        self.beat_at = time.monotonic()
        row = {
            "service": SERVICE,
            "address": f"{self.host}:{self.world.member_port}",
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "coldRemainingMs": 0,
            "dbRole": self.role,
            "seq": self.seq,
            "born": self.world.born_ms + self.lives,
        }
        await self.world.store.put("servers", self.name, json.dumps(row).encode())

    async def keep_registered(self):
        """Check in regularly; the row lapses after three missed check-ins."""
        while True:
            await self.register()
            await asyncio.sleep(HEARTBEAT_S)
            silent_s = time.monotonic() - self.beat_at
            has_row = self.world.store.rows.get(("servers", self.name), (None, 0))[0]
            if has_row and silent_s > MISSED_HEARTBEATS * HEARTBEAT_S:
                self.world.record.write(f"row of {self.name} removed after silence")
                await self.world.store.put("servers", self.name, None)

    async def serve(self, reader, writer):
        """Serve one connection."""
        host = writer.get_extra_info("peername")[0]
        connection = Connection(self, host, reader, writer)
        self.connections.add(writer)
        self.open.add(connection)
        try:
            await connection.run()
        except (
            asyncio.IncompleteReadError,
            ConnectionError,
            asyncio.LimitOverrunError,
        ):
            pass
        finally:
            self.connections.discard(writer)
            self.open.discard(connection)
            if not connection.is_silent:
                writer.transport.abort()


class Connection:
    """One connection to a member."""

    def __init__(self, member, host, reader, writer):
        self.member = member
        self.host = host
        self.reader = reader
        self.writer = writer
        self.life = member.lives
        self.account = ""
        self.settings = {}
        self.prepared = {}
        self.writes = None
        self.is_read_only = False
        self.is_silent = False
        zone = member.world.zone_of(host)
        self.delay_s = IN_ZONE_S if zone == member.zone else BETWEEN_REGIONS_S

    async def _pass(self):
        """Wait while the network holds messages up; ends a dead connection."""
        since = time.monotonic()
        await asyncio.sleep(self.delay_s)
        while self.member.is_dark or self.host in self.member.cut_hosts:
            await asyncio.sleep(0.01)
        if self.is_silent:
            await asyncio.sleep(DROP_DARK_S)
            raise ConnectionError
        is_dropped = time.monotonic() - since > DROP_DARK_S
        if self.life != self.member.lives or is_dropped:
            raise ConnectionError

    async def _send(self, *lines):
        await self._pass()
        self.writer.write("".join(line + "\r\n" for line in lines).encode("latin-1"))
        await self.writer.drain()

    async def run(self):
        """Handle the start message and all statements."""
        line = await self._read_line()
        fields = line.split(" ")
        if fields[:1] != ["START"] or fields[1] != SERVICE or len(fields) < 3:
            await self._send("ERROR MISROUTED -")
            return
        if len(fields) > 3 and fields[3] != self.member.name:
            await self._send(f"ERROR MISROUTED {self.member.name}")
            return
        if len(self.member.connections) > MAX_CONNECTIONS:
            await self._send(f"ERROR OVERLOAD {self.member.name}")
            return
        self.account = fields[2]
        async with self.member.slots:
            await asyncio.sleep(HANDSHAKE_S)
        await self._send(f"READY I {self.member.position}")
        while True:
            line = await self._read_line()
            if line == "TERMINATE":
                return
            await self._query(line)

    async def _read_line(self):
        data = await self.reader.readuntil(b"\r\n")
        await self._pass()
        return data[:-2].decode("latin-1")

    def _ready(self, status=None):
        if status is None:
            status = "I" if self.writes is None else "T"
        return f"READY {status} {self.member.position}"

    async def _fail(self, code):
        status = None if self.writes is None else "E"
        await self._send(f"ERROR {code} {self.member.name}", self._ready(status))

    async def _query(self, line):
        _, request_id, text = line.split(" ", 2)
        if text.startswith("AFTER "):
            _, after, text = text.split(" ", 2)
            term, number = map(int, after.split("."))
            if (self.member.term, self.member.applied) < (term, number):
                await self._fail("LAGGING")
                return
        verb, _, rest = text.partition(" ")
        handler = getattr(self, f"_on_{verb.lower()}", None)
        if handler is None:
            await self._fail("MALFORMED")
            return
        await handler(request_id, rest)

    async def _work(self):
        async with self.member.slots:
            await asyncio.sleep(WORK_S)
        if self.life != self.member.lives:
            raise ConnectionError

    async def _on_begin(self, request_id, rest):
        if rest != "READ" and self.member.role != "primary":
            await self._fail("READONLY")
            return
        self.writes, self.is_read_only = [], rest == "READ"
        await self._send("COMPLETE -", self._ready())

    async def _on_read(self, request_id, rest):
        await self._work()
        member = self.member
        is_plain = self.writes is not None and not self.is_read_only
        if is_plain and member.role != "primary":
            await self._fail("READONLY")
            return
        data = "-"
        for commit in member.log[: member.applied]:
            if commit.item == rest:
                data = commit.data
        member.world.note_read(member, request_id)
        await self._send(
            f"DATAROW {data}", f"COMPLETE {member.world.digest(member)}", self._ready()
        )

    async def _on_write(self, request_id, rest):
        await self._work()
        member = self.member
        if member.role != "primary" or self.is_read_only:
            await self._fail("READONLY")
            return
        item, _, data = rest.partition(" ")
        digest = member.world.digest(member)
        if self.writes is not None:
            self.writes.append((request_id, item, data))
        else:
            await member.world.commit(member, request_id, item, data)
        await self._send(f"COMPLETE {digest}", self._ready())

    async def _on_commit(self, request_id, rest):
        await self._work()
        writes, self.writes = self.writes, None
        self.is_read_only = False
        if writes and self.member.role != "primary":
            await self._fail("READONLY")
            return
        if writes:
            _, item, data = writes[-1]
            await self.member.world.commit(self.member, request_id, item, data)
        digest = self.member.world.digest(self.member)
        await self._send(f"COMPLETE {digest}", self._ready())

    async def _on_rollback(self, request_id, rest):
        self.writes, self.is_read_only = None, False
        await self._send("COMPLETE -", self._ready())

    async def _on_set(self, request_id, rest):
        name, _, value = rest.partition(" ")
        self.settings[name] = value
        await self._send("COMPLETE -", self._ready())

    async def _on_discard(self, request_id, rest):
        self.settings, self.prepared = {}, {}
        await self._send("COMPLETE -", self._ready())

    async def _on_status(self, request_id, rest):
        member = self.member
        received = f"{member.term}.{len(member.log)}"
        row = f"{member.role} {member.term} {received} {member.paused_term} 0 0 "
        row += str(len(member.connections))
        await self._send(f"DATAROW {row}", "COMPLETE -", self._ready())

    async def _on_pause(self, request_id, rest):
        if self.member.role == "replica" and int(rest) > self.member.term:
            self.member.paused_term = int(rest)
        await self._on_status(request_id, rest)

    async def _on_resume(self, request_id, rest):
        self.member.paused_term = 0
        await self._on_status(request_id, rest)

    async def _on_stepdown(self, request_id, rest):
        member = self.member
        if member.role == "primary" and member.term < int(rest):
            member.role = "replica"
            member.world.record.write(f"{member.name} steps down")
            await member.register()
        await self._on_status(request_id, rest)


class Instance:
    """One process of the system."""

    def __init__(self, world, name, zone, host):
        self.world = world
        self.name = name
        self.zone = zone
        self.host = host
        self.child = None

    def start(self):
        """Start the process with the command of the deploy file."""
        world = self.world
        path = world.folder / f"{self.name}.json"
        path.write_text(json.dumps(self._make_settings()))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["POMELOGRADE_NODE_FILE"] = str(path)
        with (world.folder / f"{self.name}.log").open("ab") as log:
            self.child = subprocess.Popen(
                world.command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        world.record.write(f"start {self.name}")

    def kill(self):
        """Kill the process."""
        self.world.record.write(f"kill {self.name}")
        self.child.send_signal(signal.SIGKILL)
        self.child.wait()

    def _make_settings(self):
        world = self.world
        return {
            "node": self.name,
            "role": "instance",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": self.host,
            "zone": self.zone,
            "region": REGIONS[self.zone],
            "zones": REGIONS,
            "listen": {
                "front": f"{self.host}:{world.front_port}",
                "ready": f"{self.host}:{world.ready_port}",
            },
            "internalPorts": [world.peer_port, world.peer_port + 15],
            "seeds": [],
            "bootstrap": True,
            "lossCounts": False,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4300},
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "contracts": CONTRACTS,
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": f"{world.store_host}:{world.store_port}",
                "form": "table",
                "writesPerS": 400,
                "readsPerS": 2000,
            },
            "cloud": {
                "address": f"{world.store_host}:{world.cloud_port}",
                "ratePerS": 50.0,
                "duties": ["failover"],
                "dutyPerS": 50.0,
            },
        }


class World:
    """A small deployment, and what its clients and members have seen."""

    def __init__(self, record, sync_replicas=0):
        self.record = record
        self.sync_replicas = sync_replicas
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.born_ms = int(time.time() * 1000)
        self.net = f"127.{random.randrange(20, 240)}"
        self.store_host = f"{self.net}.200.1"
        ports = self._choose_ports()
        self.store_port, self.cloud_port, self.member_port = ports[:3]
        self.front_port, self.ready_port, self.peer_port = ports[3:6]
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command = deploy["roles"]["instance"]["run"].split(" ")
        self.store = Store()
        self.cloud = Cloud(self)
        self.members = [
            Member(
                self,
                f"i-{number}{zone[:3]}{random.getrandbits(24):06x}",
                zone,
                f"{self.net}.64.{number}",
            )
            for number, zone in enumerate(ZONES, 1)
        ]
        self.members[0].role = "primary"
        self.instances = [
            Instance(
                self,
                f"edge-{zone}-{number}",
                zone,
                f"{self.net}.{1 + ZONES.index(zone)}.{number}",
            )
            for zone, count in zip(ZONES, INSTANCES_PER_ZONE, strict=True)
            for number in range(1, count + 1)
        ]
        self.zones = {found.host: found.zone for found in self.instances}
        self.commits = {}
        self.attempts = {}
        self.runs = []
        self.promotions = []
        self.faults = []
        self.silent = []
        self.counted_from = math.inf
        self.digests = itertools.count(1)
        self.tasks = set()

    def _choose_ports(self):
        base = random.randrange(20000, 32000)
        for port in range(base, base + 8):
            with socket.socket() as probe:
                probe.bind((self.store_host, port))
        return [base, base + 1, base + 2, base + 3, base + 4, base + 6]

    def zone_of(self, host):
        """Return the zone of an instance's address."""
        return self.zones.get(host, "")

    def find_member(self, name):
        """Return the member with an id, or None."""
        return next((found for found in self.members if found.name == name), None)

    @property
    def primary(self):
        """The primary of the highest term."""
        primaries = [found for found in self.members if found.role == "primary"]
        return max(primaries, key=lambda found: found.term, default=None)

    def spawn(self, coroutine):
        """Run a coroutine as a task."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.faults.append(repr(task.exception()))
            self.record.write(f"stand-in failed: {task.exception()!r}")

    async def start(self):
        """Start the stand-ins and the instances; returns once all are ready."""
        await self.store.start(self.store_host, self.store_port)
        await self.cloud.start(self.store_host, self.cloud_port)
        for member in self.members:
            await asyncio.start_server(
                member.serve, member.host, self.member_port, limit=2**21
            )
            self.spawn(member.keep_registered())
        await self.put_manifest()
        self.spawn(self._replicate())
        for instance in self.instances:
            instance.start()
        await asyncio.gather(*map(self.wait_ready, self.instances))
        self.record.write("all instances are ready")

    async def put_manifest(self):
        """Write the manifest, as the operator does."""
        routes = [
            {
                "name": f"r-{name}",
                "host": name,
                "prefix": "/",
                "routeType": kind,
                "timeoutMs": timeout_ms,
                "latencySloMs": 800,
                "priority": 1,
                "service": SERVICE,
                "maxAttempts": 2,
                **({} if stale_ms is None else {"maxStalenessMs": stale_ms}),
                "anonymous": False,
            }
            for name, (kind, stale_ms, timeout_ms) in DATABASES.items()
        ]
        manifest = {
            "version": 7,
            "routes": routes,
            "services": [
                {
                    "name": SERVICE,
                    "healthPath": "/health",
                    "maxConns": MAX_CONNECTIONS,
                    "protocol": "h1",
                    "tls": False,
                    "syncReplicas": self.sync_replicas,
                }
            ],
            "limits": {"maxBodyBytes": 262144, "txIdleMs": 3000},
            "tenants": [
                {"name": ACCOUNT, "apiKeys": [KEY], "ratePerS": 500, "burst": 500}
            ],
        }
        await self.store.put("op", "config", json.dumps(manifest).encode())

    async def wait_ready(self, instance, timeout_s=20.0):
        """Wait until an instance accepts clients."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            try:
                _, writer = await asyncio.open_connection(
                    instance.host, self.front_port
                )
                writer.close()
                return
            except OSError:
                await asyncio.sleep(0.05)
        raise CannotRunError(f"{instance.name} does not start")

    def stop(self):
        """End all processes that were started."""
        for instance in self.instances:
            if instance.child is not None and instance.child.poll() is None:
                instance.child.kill()
                instance.child.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def digest(self, member):
        """Return a digest that no other answer has."""
        return f"{member.term}.{next(self.digests):x}.{member.name}"

    async def commit(self, member, request_id, item, data):
        """Append a write to a primary's log; waits for a synchronous replica."""
        commit = Commit(
            member.term, len(member.log) + 1, member, request_id, item, data
        )
        member.log.append(commit)
        member.applied = len(member.log)
        self.commits[request_id] = commit
        self.record.write(f"commit {commit} of {request_id} at {member.name}")
        latest = max((term for _, term, _ in self.promotions), default=1)
        commit.is_late = member.term < latest
        for other in self.members:
            if other is not member:
                self.spawn(self._send_log(member, other, len(member.log)))
        while self.sync_replicas and not self._is_received(commit):
            await asyncio.sleep(0.001)
            if member.is_dark or member.role != "primary":
                raise ConnectionError

    def _is_received(self, commit):
        return any(
            commit in found.log[-400:]
            for found in self.members
            if found is not commit.member
        )

    async def _send_log(self, primary, replica, length):
        await asyncio.sleep(BETWEEN_REGIONS_S)
        self._receive(primary, replica, length)

    def _receive(self, primary, replica, length):
        """Let a replica receive the log, and apply it after its lag."""
        if (
            replica.role != "replica"
            or primary.role != "primary"
            or primary.term < replica.term
            or replica.is_deaf
            or replica.paused_term > primary.term
            or not primary.reaches(replica)
        ):
            return
        log = primary.log[:length]
        common = 0
        for one, other in zip(replica.log, log, strict=False):
            if one is not other:
                break
            common += 1
        if common == len(log) and replica.term == primary.term:
            return
        replica.log = log if length >= common else replica.log[:common]
        replica.applied = min(replica.applied, common)
        if replica.term != primary.term:
            replica.term = primary.term
        self.spawn(self._apply(replica, replica.log, len(log)))

    async def _apply(self, replica, log, length):
        await asyncio.sleep(replica.lag_s)
        is_same = replica.log[:length] == log[:length]
        if is_same and replica.role == "replica" and not replica.is_dark:
            replica.applied = max(replica.applied, length)

    async def _replicate(self):
        """Send to replicas what they have missed; old primaries follow new ones."""
        reached_at = {}
        while True:
            await asyncio.sleep(0.05)
            primary = self.primary
            if primary is None or primary.is_dark:
                continue
            for other in self.members:
                if other is primary or not primary.reaches(other):
                    reached_at.pop(other.name, None)
                    continue
                if other.role == "replica":
                    self._receive(primary, other, len(primary.log))
                    continue
                since = reached_at.setdefault(other.name, time.monotonic())
                if time.monotonic() - since >= 1.0:
                    other.role = "replica"
                    self.record.write(f"{other.name} follows {primary.name}")
                    await other.register()

    async def promote(self, member):
        """Let a member lead the next term with what it has received."""
        await asyncio.sleep(PROMOTE_S)
        if member.is_dark or member.role == "primary":
            return
        member.role = "primary"
        member.term = max(found.term for found in self.members) + 1
        member.applied = len(member.log)
        for found in self.members:
            found.paused_term = 0
        kept = set(member.log)
        lost = [
            commit
            for commit in self.commits.values()
            if commit not in kept and not commit.rolled_back
        ]
        for commit in lost:
            commit.rolled_back = True
        self.promotions.append((time.monotonic(), member.term, member))
        acked = [commit for commit in lost if commit.acked_at is not None]
        self.record.write(
            f"{member.name} leads term {member.term} with {len(member.log)} entries; "
            f"{len(lost)} commits rolled back, {len(acked)} of them acknowledged"
        )
        if acked and self.sync_replicas:
            self.faults.append(
                f"LOST: {member.name} was promoted without the acknowledged "
                f"commit {acked[-1]} of {acked[-1].request_id}"
            )
        await member.register()

    def note_read(self, member, request_id):
        """Note the state of the log that a read saw."""
        seen = (member.term, member.applied)
        log = set(member.log[: member.applied])
        self.runs.append((member, request_id, seen, log))

    def find_stale(self):
        """Return what breaks STALE, as text."""
        found = []
        acked = [
            commit
            for commit in self.commits.values()
            if commit.acked_at is not None and not commit.rolled_back
        ]
        for member, request_id, seen, log in self.runs:
            attempt = self.attempts.get(request_id)
            if attempt is None:
                continue
            sent_at, database = attempt
            _, stale_ms, _ = DATABASES[database]
            limit = sent_at - (stale_ms or 0) / 1000.0
            lacking = [
                commit
                for commit in acked
                if commit.acked_at < limit and commit not in log
            ]
            if lacking:
                age_s = sent_at - lacking[0].acked_at
                found.append(
                    f"STALE: {request_id} ({database}) ran at {member.name}, whose "
                    f"log stood at {seen[0]}.{seen[1]} and lacked {len(lacking)} "
                    f"commits from {lacking[0]} on, acknowledged {age_s:.2f} s before"
                )
        return found

    def find_late_commits(self):
        """Return what breaks ONE: acknowledged commits at replaced primaries."""
        return [
            f"ONE: commit {commit} of {commit.request_id} at {commit.member.name} was "
            "made after another member was promoted, and acknowledged"
            for commit in self.commits.values()
            if commit.is_late
            and commit.acked_at is not None
            and commit.made_at >= self.counted_from
        ]


class Client:
    """One session of a client."""

    numbers = itertools.count(1)

    def __init__(self, world, instance, database):
        self.world = world
        self.instance = instance
        self.database = database
        self.reader = self.writer = None

    async def _connect(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(
                self.instance.host, self.world.front_port, limit=2**21
            ),
            2.0,
        )
        self.writer.write(f"START {self.database} {KEY}\r\n".encode())
        line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 2.0)
        if not line.startswith(b"READY"):
            raise ConnectionError

    def close(self):
        """Close the session."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None

    async def query(self, text, timeout_s=4.0):
        """Send a statement; returns the lines of the answer, or None.

        An acknowledged write is noted with the time of its answer.
        """
        request_id = f"q{next(self.numbers):06x}{random.getrandbits(32):08x}"
        try:
            if self.writer is None:
                await self._connect()
            self.world.attempts[request_id] = (time.monotonic(), self.database)
            self.writer.write(f"QUERY {request_id} {text}\r\n".encode())
            lines = []
            while not lines or not lines[-1].startswith("READY"):
                data = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), timeout_s)
                lines.append(data[:-2].decode("latin-1"))
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self._note(request_id, text, f"no answer: {error!r}")
            self.close()
            return None
        self._note(request_id, text, " | ".join(lines))
        is_done = any(line.startswith("COMPLETE") for line in lines)
        commit = self.world.commits.get(request_id)
        if is_done and commit is not None:
            commit.acked_at = time.monotonic()
        return lines

    def _note(self, request_id, text, answer):
        sent_at, _ = self.world.attempts.get(request_id, (math.nan, ""))
        took_ms = (time.monotonic() - sent_at) * 1000
        self.world.record.write(
            f"{self.database} at {self.instance.name}: {request_id} {text} -> "
            f"{answer} ({took_ms:.0f} ms)"
        )


def summarize(world):
    """Return the outcomes of all attempts by kind, for the record."""
    counts = collections.Counter(database for _, database in world.attempts.values())
    return ", ".join(f"{name}: {count}" for name, count in sorted(counts.items()))


def main(folder, play, sync_replicas=0):
    """Play a case; exits with 1 if a rule was broken, 0 if not, 2 if it can't run.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the case, for the record.
    play : callable
        Called with the World and whether to cause the disruptions; returns a
        coroutine of the list of what broke the rule.
    sync_replicas : int
        Replicas that must have received a commit before it is acknowledged.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    if not (ROOT / "target" / "deps").is_dir():
        record.write("target/deps is missing: run the build of the deploy file")
        sys.exit(2)

    async def run():
        for _ in range(MAX_DRAWS):
            try:
                return await run_once()
            except RedrawError as error:
                record.write(f"another deployment is drawn: {error}")
        return 2

    async def run_once():
        world = World(record, sync_replicas)
        try:
            await asyncio.wait_for(world.start(), 30.0)
            broken = await asyncio.wait_for(play(world, has_trouble), 85.0)
            record.write(f"attempts: {summarize(world)}")
            for text in broken[:20]:
                record.write(text)
            if world.faults and not broken:
                raise CannotRunError("; ".join(world.faults))
            return 1 if broken else 0
        except (CannotRunError, TimeoutError, OSError) as error:
            record.write(f"the case could not run: {error!r}")
            return 2
        finally:
            keep = os.environ.get("KEEP_LOGS")
            for instance in world.instances if keep else ():
                source = world.folder / f"{instance.name}.log"
                if source.exists():
                    shutil.copy(source, pathlib.Path(keep) / source.name)
            world.stop()

    loop = asyncio.new_event_loop()
    try:
        code = loop.run_until_complete(run())
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        code = 2
    text = {0: "held", 1: "broken", 2: "could not run"}[code]
    record.write(text)
    print(text, flush=True)
    # The tasks of the stand-ins are still waiting for connections.
    os._exit(code)
