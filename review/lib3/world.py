"""Starts instances by the deploy file's command, and calls them.

Everything runs on loopback addresses and the real clock. All processes that are
started here are ended by `World.stop`.
"""

import contextlib
import json
import os
import pathlib
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
KEY = "desk-key"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.path = pathlib.Path(path)
        self.path.write_text("", encoding="utf-8")
        self.lock = threading.Lock()
        self.started_at = time.monotonic()

    def write(self, text):
        """Write one line."""
        at = time.monotonic() - self.started_at
        with self.lock, self.path.open("a", encoding="utf-8") as file:
            file.write(f"{at:9.3f} {text}\n")


class World:
    """The processes of one run.

    Parameters
    ----------
    record : Record
        Record of the run.
    """

    def __init__(self, record):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.children = []
        self.environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        self.environment["PYTHONPATH"] = os.pathsep.join(
            [str(ROOT / "target" / "deps"), str(ROOT)]
        )

    def start_host(self, script, configuration):
        """Start stand-ins, and return the addresses that they print."""
        child = self._spawn(
            [sys.executable, str(script), json.dumps(configuration)],
            self.environment,
            stdout=subprocess.PIPE,
            text=True,
        )
        return json.loads(child.stdout.readline())

    def start_instance(self, name, zone, regions, addresses, ports=None, **fields):
        """Start an instance; returns an object with its process and its ports."""
        ports = ports or free_ports(5)
        path = self.folder / f"{name}.json"
        path.write_text(
            json.dumps(make_settings(name, zone, regions, addresses, ports, fields))
        )
        system = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        (role,) = system["roles"].values()
        command = shlex.split(role["run"])
        environment = {**self.environment, "POMELOGRADE_NODE_FILE": str(path)}
        with (self.folder / f"{name}.log").open("ab") as log:
            child = self._spawn(
                command, environment, stdout=log, stderr=subprocess.STDOUT
            )
        return Instance(name, zone, child, ports)

    def _spawn(self, command, environment, **options):
        child = subprocess.Popen(command, cwd=ROOT, env=environment, **options)
        self.children.append(child)
        return child

    def kill(self, instance):
        """End an instance by SIGKILL."""
        self.record.write(f"kill {instance.name}")
        instance.child.send_signal(signal.SIGKILL)
        instance.child.wait()

    def read_log(self, name):
        """Return the records of an instance's log."""
        found = []
        for line in (self.folder / f"{name}.log").read_text().splitlines():
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return found

    def stop(self):
        """End all processes, and remove the folder."""
        for child in self.children:
            if child.poll() is None:
                child.kill()
        for child in self.children:
            child.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class Instance:
    """A running instance."""

    def __init__(self, name, zone, child, ports):
        self.name = name
        self.zone = zone
        self.child = child
        self.ports = ports

    def wait_until_ready(self, timeout_s=30.0):
        """Return whether the health probe answers 200 in time."""
        until = time.monotonic() + timeout_s
        url = f"http://127.0.0.1:{self.ports[1]}/ready"
        while time.monotonic() < until:
            try:
                with urllib.request.urlopen(url, timeout=1.0) as answer:
                    if answer.status == 200:
                        return True
            except OSError:
                pass
            time.sleep(0.1)
        return False


class Client:
    """One session over a blocking socket."""

    def __init__(self, port, database="meters", key=KEY, timeout_s=10.0):
        self.socket = socket.create_connection(("127.0.0.1", port), timeout_s)
        self.file = self.socket.makefile("rb")
        self.send(f"START {database} {key}")
        self.start = self.read()
        if not self.start[-1].startswith("READY"):
            raise OSError(str(self.start))

    def send(self, line):
        """Send one line."""
        self.socket.sendall(line.encode() + b"\r\n")

    def read(self):
        """Return the lines of one answer; the last one is the state."""
        lines = []
        while True:
            line = self.file.readline().decode().rstrip("\r\n")
            if not line:
                raise OSError("the connection has ended")
            lines.append(line)
            is_end = line.startswith("READY") or not hasattr(self, "start")
            if is_end:
                return lines

    def query(self, request_id, text):
        """Send a request and return the lines of its answer."""
        self.send(f"QUERY {request_id} {text}")
        return self.read()

    def close(self):
        """Close the connection."""
        with contextlib.suppress(OSError):
            self.file.close()
            self.socket.close()


def exit_on_termination():
    """Let SIGTERM end the script by an exception, so that it ends its processes."""
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(COULD_NOT_RUN))


def call(url, value=None):
    """Call a control interface and return the JSON value of the answer."""
    data = None if value is None else json.dumps(value).encode()
    request = urllib.request.Request(url, data=data)
    with urllib.request.urlopen(request, timeout=5.0) as answer:
        return json.loads(answer.read() or b"null")


def free_ports(count):
    """Return free ports of the loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    for found in sockets:
        found.bind(("127.0.0.1", 0))
    ports = [found.getsockname()[1] for found in sockets]
    for found in sockets:
        found.close()
    return ports


def make_settings(name, zone, regions, addresses, ports, fields):
    """Return settings in the platform's format, as of a small deployment."""
    return {
        "node": name,
        "role": "instance",
        "machineClass": "edge",
        "serves": ["edge"],
        "ip": "127.0.0.1",
        "zone": zone,
        "region": regions[zone],
        "zones": regions,
        "listen": {
            "front": f"127.0.0.1:{ports[0]}",
            "ready": f"127.0.0.1:{ports[1]}",
            "control": f"127.0.0.1:{ports[2]}",
        },
        "internalPorts": [ports[3], ports[4]],
        "seeds": [],
        "bootstrap": True,
        "dataDir": None,
        "discovery": "platform",
        "entry": "vip",
        "heartbeatMs": 1200,
        "contracts": [
            "base",
            "drain",
            "config",
            "cost",
            "recover",
            "sql",
            "tenants",
            "quota",
            "platform",
        ],
        "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
        "bounds": {
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
        },
        "platform": {
            "address": addresses["store"],
            "form": "table",
            "writesPerS": 400,
            "readsPerS": 2000,
            "txMs": 4.0,
            "historyS": 20,
        },
        "cloud": {
            "address": addresses["store"],
            "ratePerS": 50.0,
            "duties": ["failover"],
            "dutyPerS": 50.0,
        },
        **fields,
    }
