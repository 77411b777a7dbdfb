"""Runs a small deployment: instances as processes, the rest as stand-ins."""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import members
import platform_store

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = {"catania-a": "catania", "palermo-a": "palermo", "agrigento-a": "agrigento"}
PORTS = (15_000, 30_000)
HEARTBEAT_S = 1.2
LOST_BEATS = 3  # after which the row of a silent member is removed
LIMIT_S = 112.0  # for a whole script
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
    "evacuateMs": 5000,
}
CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "recover",
    "sql",
    "tenants",
    "quota",
    "platform",
]


def free_ports(host, count):
    """Return free ports of an address, below those of outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(*PORTS)
        with socket.socket() as found:
            try:
                found.bind((host, port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Instance:
    """One process of the system on its own loopback address."""

    def __init__(self, deployment, name, zone, host):
        self.deployment = deployment
        self.name = name
        self.zone = zone
        self.host = host
        self.ports = free_ports(host, 4)
        self.child = None

    def settings(self):
        """Return the settings as the platform writes them."""
        front, ready, *internal = self.ports
        store = self.deployment.store_address
        return {
            "node": self.name,
            "role": "instance",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": self.host,
            "zone": self.zone,
            "region": ZONES[self.zone],
            "zones": ZONES,
            "listen": {
                "front": f"{self.host}:{front}",
                "ready": f"{self.host}:{ready}",
            },
            "internalPorts": internal,
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
            "platform": {"address": store, "form": "table"},
            "cloud": {"address": store, "duties": ["failover"], "dutyPerS": 50.0},
        }

    def start(self):
        """Start the process with the command of the deploy file."""
        directory = self.deployment.directory
        path = directory / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["POMELOGRADE_NODE_FILE"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (directory / f"{self.name}.log").open("ab") as log:
            self.child = subprocess.Popen(
                deploy["roles"]["instance"]["run"].split(" "),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.deployment.record("starts", instance=self.name, process=self.child.pid)

    def kill(self):
        """Kill the process, as a loss of the process does."""
        self.deployment.record("is killed", instance=self.name)
        self.child.kill()
        self.child.wait()

    def signal(self, number):
        """Send a signal to the process."""
        self.deployment.record(signal.Signals(number).name, instance=self.name)
        self.child.send_signal(number)

    async def is_ready(self):
        """Return whether the readiness probe is answered with 200."""
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ports[1])
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except OSError:
            return False
        return b" 200 " in line

    async def wait_ready(self, limit_s=20.0):
        """Wait until the probe is answered with 200."""
        until = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > until:
                raise UnplayableError(f"{self.name} does not become ready")
            await asyncio.sleep(0.02)
        self.deployment.record("is ready", instance=self.name)


class UnplayableError(Exception):
    """The case could not be played."""


class Caller:
    """A client's session.

    Attributes
    ----------
    tenant : str
        Tenant that holds the key.
    """

    names = 0

    def __init__(self, deployment, instance, database, key, tenant):
        Caller.names += 1
        self.name = f"c{Caller.names}"
        self.deployment = deployment
        self.instance = instance
        self.database = database
        self.key = key
        self.tenant = tenant
        self.number = 0
        self.state = "-"
        self.reader = self.writer = None

    async def open(self):
        """Connect and start the session; returns the answer's lines."""
        self.reader, self.writer = await asyncio.open_connection(
            self.instance.host, self.instance.ports[0], limit=2 * 1024 * 1024
        )
        self.writer.write(f"START {self.database} {self.key}\r\n".encode())
        lines = await self._read()
        self.deployment.record(
            "session", caller=self.name, tenant=self.tenant, answer=lines
        )
        return lines

    async def _read(self):
        lines = []
        while True:
            line = (await self.reader.readline()).decode("latin-1")
            if not line:
                return [*lines, "closed"]
            lines.append(line.rstrip("\r\n"))
            if line.startswith("READY"):
                self.state = line.split(" ")[1].strip()
                return lines

    async def query(self, text, limit_s=10.0):
        """Send a statement; returns the lines of its answer."""
        self.number += 1
        request_id = f"{self.name}-{self.number}"
        self.deployment.record(
            "sends", caller=self.name, tenant=self.tenant, id=request_id, text=text
        )
        try:
            self.writer.write(f"QUERY {request_id} {text}\r\n".encode())
            lines = await asyncio.wait_for(self._read(), limit_s)
        except TimeoutError:
            lines = ["no answer"]
        except OSError:
            lines = ["closed"]
        self.deployment.record("gets", caller=self.name, id=request_id, answer=lines)
        return lines

    def close(self):
        """Leave."""
        if self.writer is not None:
            self.writer.close()


class Deployment:
    """Stand-ins and instances of one script.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the case; gets ``record.txt``.
    """

    def __init__(self, folder):
        self.events = []
        self.file = (folder / "record.txt").open("w")
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.directory = pathlib.Path(self.temporary.name)
        self.started_at = time.monotonic()
        self.store = platform_store.Store(self.record)
        self.store_address = ""
        self.services = {}
        self.instances = {}
        self.seq = 0
        self.manifest = {}
        self.is_partial = os.environ.get("TROUBLE") == "partial"

    def record(self, kind, **fields):
        """Write an event into the record."""
        at = round(time.monotonic() - self.started_at, 3)
        self.events.append({"at": at, "kind": kind, **fields})
        print(f"{at:8.3f} {kind} {json.dumps(fields)}", file=self.file, flush=True)

    def find(self, kind):
        """Return the events of a kind."""
        return [event for event in self.events if event["kind"] == kind]

    async def start_store(self):
        """Start the store."""
        host = "127.0.0.1"
        (port,) = free_ports(host, 1)
        await self.store.start(host, port)
        self.store_address = f"{host}:{port}"

    async def start_service(self, name, primary_zone, **options):
        """Start a service with a member in each zone."""
        service = members.Service(name, self.record, self.check_in, **options)
        for number, zone in enumerate(ZONES, 1):
            host = f"127.0.{len(self.services) + 20}.{number}"
            (port,) = free_ports(host, 1)
            is_primary = zone == primary_zone
            service.add(f"i-{name}-{number}", zone, host, port, is_primary)
        await service.start()
        self.services[name] = self.store.services[name] = service
        for member in service.members.values():
            self.check_in(member)
        return service

    def write_again(self):
        """Write what the operator and the members wrote, after a store's return."""
        self.store.put("op", "config", json.dumps(self.manifest).encode())
        for service in self.services.values():
            for member in service.members.values():
                self.check_in(member)

    def check_in(self, member):
        """Write the row of a member."""
        self.seq += 1
        if member.is_dark:
            member.silent_beats += 1
            if member.silent_beats == LOST_BEATS:
                self.store.put("servers", member.name, None)
        elif member.is_registered:
            row = json.dumps(member.row(self.seq)).encode()
            self.store.put("servers", member.name, row)

    async def keep_checking_in(self):
        """Write the rows of all members at the usual interval."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for service in self.services.values():
                for member in service.members.values():
                    self.check_in(member)

    def put_manifest(self, **changes):
        """Write the next manifest, as the operator does."""
        version = self.manifest.get("version", 6) + 1
        self.manifest = {**self.manifest, **changes, "version": version}
        self.record("manifest", version=version, tenants=self.manifest["tenants"])
        self.store.put("op", "config", json.dumps(self.manifest).encode())

    def add_instance(self, name, zone):
        """Add an instance, which is not started yet."""
        host = f"127.0.10.{len(self.instances) + 1}"
        self.instances[name] = Instance(self, name, zone, host)
        return self.instances[name]

    def caller(self, instance, database, key, tenant):
        """Return a client's session, which is not opened yet."""
        return Caller(self, instance, database, key, tenant)

    def close(self):
        """End all processes that were started."""
        for instance in self.instances.values():
            if instance.child is not None and instance.child.poll() is None:
                instance.child.send_signal(signal.SIGCONT)
                instance.child.kill()
                instance.child.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in self.directory.glob("*.log"):
                pathlib.Path(keep, path.name).write_bytes(path.read_bytes())
        self.temporary.cleanup()
        self.file.close()


def route(database, service, kind, timeout_ms=800, staleness_ms=None, **fields):
    """Return a route of the manifest."""
    found = {
        "name": f"r-{database}",
        "host": database,
        "prefix": "/",
        "routeType": kind,
        "timeoutMs": timeout_ms,
        "latencySloMs": fields.get("latency_ms", 400),
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "anonymous": False,
    }
    if staleness_ms is not None:
        found["maxStalenessMs"] = staleness_ms
    return found


def tenant(name, *keys, rate=65):
    """Return a tenant of the manifest."""
    return {
        "name": name,
        "apiKeys": list(keys),
        "priority": 1,
        "ratePerS": rate,
        "burst": rate,
    }


def play(case, folder):
    """Play a case, and end the program with its result.

    Parameters
    ----------
    case : callable
        Coroutine function of the deployment and of whether there is a disruption;
        returns the list of what breaks the rule.
    folder : str
        Folder of the case.
    """
    deployment = Deployment(pathlib.Path(folder).resolve())
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        checking_in = asyncio.ensure_future(deployment.keep_checking_in())
        try:
            return await asyncio.wait_for(case(deployment, trouble), LIMIT_S)
        finally:
            checking_in.cancel()

    try:
        found = asyncio.run(run())
    except Exception as error:  # any error of a script is no verdict on the rule
        print(f"the case could not be played: {error!r}")
        sys.exit(2)
    finally:
        deployment.close()
    for line in found:
        print(line)
    print("the rule is broken" if found else "the rule holds")
    sys.exit(1 if found else 0)
