"""Runs instances against the stand-in for the hosting platform, and calls them."""

import itertools
import json
import os
import socket
import subprocess
import sys
import time

import attrs

from pomelograde.standins import http, processes
from pomelograde.standins.hosting import host

PROGRAM = "from pomelograde.daemon import hosted; hosted.main()"
CALL_TIMEOUT_S = 10.0
COLD_EXCESS = 1.5
COLD_SLACK = 5.0
_CALLER_IDS = itertools.count(1)


class Caller:
    """Connection to an instance over a blocking socket.

    Parameters
    ----------
    port : int
        Caller port of an instance.
    database, key : str
        Database and API key that the start message names.
    address : str
        IP address of the instance.

    Attributes
    ----------
    start : list of str
        Lines that answered the start message.
    """

    def __init__(self, port, database="meters", key=host.KEY, address="127.0.0.1"):
        self.socket = socket.create_connection((address, port), CALL_TIMEOUT_S)
        self.file = self.socket.makefile("rb")
        self.caller_id = next(_CALLER_IDS)
        self.number = 0
        self.send(f"START {database} {key}")
        self.start = self.read_answer(first=True)

    def send(self, line):
        """Send one line."""
        self.socket.sendall(line.encode("latin-1") + b"\r\n")

    def read_answer(self, first=False):
        """Return the lines of an answer.

        Parameters
        ----------
        first : bool
            Whether this is the answer to the start message, which an ``ERROR``
            line also ends.

        Returns
        -------
        list of str
            Lines up to ``READY``; the last one is "closed" if the connection ended.
        """
        lines = []
        while True:
            line = self.file.readline().decode("latin-1").rstrip("\r\n")
            if not line:
                return [*lines, "closed"]
            lines.append(line)
            if line.startswith("READY") or (first and line.startswith("ERROR")):
                return lines

    def query(self, text, request_id=None):
        """Send a statement and return the lines of its answer.

        The request id is unique within this process unless one is given.
        """
        self.number += 1
        self.send(f"QUERY {request_id or f'q{self.caller_id}-{self.number}'} {text}")
        return self.read_answer()

    def close(self):
        """Close the connection."""
        self.file.close()
        self.socket.close()

    def __enter__(self):
        """Return the caller."""
        return self

    def __exit__(self, *exc_info):
        """Close the connection."""
        self.close()


@attrs.define
class Instance:
    """Running instance.

    Attributes
    ----------
    name : str
        Name of the instance.
    child : subprocess.Popen
        Process of the instance.
    port : int
        Port for callers.
    ready_port : int
        Port of the readiness probe.
    peer_port : int
        Port for other instances.
    metrics_port : int
        Port for metrics.
    log_path : pathlib.Path
        File with the output of the process.
    """

    name: str
    child: subprocess.Popen
    port: int
    ready_port: int
    peer_port: int
    metrics_port: int
    log_path: object

    def read_log(self):
        """Return the JSON records of the log, without one that is being written."""
        lines = self.log_path.read_text().splitlines(keepends=True)
        return [
            json.loads(line)
            for line in lines
            if line.startswith("{") and line.endswith("\n")
        ]


class Fleet:
    """Stand-in for the hosting platform and instances spread over its data centres.

    Parameters
    ----------
    running : Processes
        Starts the processes and stops them.
    contracts : tuple of str
        Contracts of the platform that the instances are told of.
    """

    def __init__(self, running, contracts=()):
        self.running = running
        self.contracts = contracts
        child = running.spawn(["-m", "pomelograde.standins", "hosting"])
        announcement = processes.read_announcement(child)
        self.store = announcement["store"]
        self.members = announcement["members"]
        self.instances = []

    def start_instances(self, count=3):
        """Start instances and wait until they accept callers."""
        for number in range(count):
            self.start_instance(number)
        for instance in self.instances:
            processes.wait_for_port("127.0.0.1", instance.port)

    def start_instance(self, number, ports=None, store=None, sources=None):
        """Start one instance and return it.

        Parameters
        ----------
        number : int
            Determines the data centre and the name.
        ports : list of int or None
            Caller port, readiness port and two internal ports; None for free ones.
        store : str or None
            Address by which the instance reaches the store; None for the store's own.
        sources : pathlib.Path or None
            Folder with the package to run; None for the package of this process.
        """
        zone = host.ZONES[number % len(host.ZONES)]
        name = f"{zone}-{number}"
        ports = ports or processes.free_ports(4)
        settings = make_settings(name, zone, store or self.store, ports)
        settings["contracts"] = list(self.contracts)
        directory = self.running.directory
        path = directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        log_path = directory / f"{name}.log"
        environment = {**os.environ, "POMELOGRADE_NODE_FILE": str(path)}
        with log_path.open("ab") as log:
            child = subprocess.Popen(
                [sys.executable, "-c", PROGRAM],
                cwd=sources,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.running.children.append(child)
        instance = Instance(name, child, *ports, log_path)
        self.instances.append(instance)
        return instance

    def put_manifest(self, manifest):
        """Write the configuration document, as an operator does."""
        self.put("op", "config", json.dumps(manifest))

    def put(self, table, key, value):
        """Write a row of the store from outside the instances."""
        body = {"table": table, "key": key, "value": value}
        http.post(f"http://{self.store}/put", body)

    def set_store_faults(self, **faults):
        """Set the faults of the store; faults that are not given are cleared."""
        http.post(f"http://{self.store}/faults", faults)

    def keep_store_copy(self):
        """Keep a copy of the store's tables."""
        http.post(f"http://{self.store}/copy", {})

    def restore_store(self, outage_s=0.5):
        """Refuse all calls to the store for a time, then return to the kept copy."""
        self.set_store_faults(refuse=True)
        time.sleep(outage_s)
        http.post(f"http://{self.store}/restore", {})
        self.set_store_faults()

    def count_calls(self):
        """Return the number of calls that the store has received."""
        return sum(http.post(f"http://{self.store}/calls", {}).values())

    def read_table(self, table):
        """Return the existing keys of a table of the store."""
        url = f"http://{self.store}/rows-get?table={table}"
        return [row["key"] for row in http.send("GET", url)["rows"]]

    def show_member(self, name):
        """Return the state of a member."""
        return http.send("GET", f"http://{self.members}/{name}")

    def find_primary(self):
        """Return the name of the primary, or None if no running member is primary."""
        for zone in host.ZONES:
            state = self.show_member(f"i-{zone}")
            if state["role"] == "primary" and not state["down"]:
                return f"i-{zone}"
        return None

    def show_promotions(self):
        """Return member, lease holder and fencing token of each promotion call."""
        return http.send("GET", f"http://{self.members}/promotions")

    def show_trace(self):
        """Return the statements that arrived at each member, as JSON values."""
        return http.send("GET", f"http://{self.members}/trace")

    def set_promotion_times(self, effect_s=0.0, answer_s=0.0):
        """Set the times from a promotion's call to its effect and to its answer."""
        body = {"effect_s": effect_s, "answer_s": answer_s}
        http.post(f"http://{self.members}/promotions", body)

    def change_member(self, name, **changes):
        """Set attributes of a member; ``promote=True`` makes it the primary."""
        http.post(f"http://{self.members}/{name}", changes)


def make_settings(name, zone, store, ports, contracts=()):
    """Return the settings of an instance in the form that the platform provides."""
    return {
        "node": name,
        "zone": zone,
        "region": zone.split("-")[0],
        "zones": host.REGIONS,
        "listen": {
            "front": f"127.0.0.1:{ports[0]}",
            "ready": f"127.0.0.1:{ports[1]}",
        },
        "internalPorts": [ports[2], ports[3]],
        "heartbeatMs": 500,
        "contracts": list(contracts),
        "bounds": {
            "revokeMs": 5000,
            "graceS": 6,
            "drainMs": 7000,
            "quotaWindowS": 5,
            "quotaExcess": 0.1,
            "quotaSlack": 20,
            "coldExcess": COLD_EXCESS,
            "coldSlack": COLD_SLACK,
        },
        "platform": {"address": store},
        "cloud": {"address": store},
    }
