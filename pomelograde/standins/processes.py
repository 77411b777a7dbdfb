"""Starts and stops stand-ins and daemons for the demo, tests and measurements."""

import contextlib
import hashlib
import json
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

from pomelograde.standins import certificates, http

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
UPSTREAM_PASSWORD = "stand-in-upstream"
OPERATOR_TOKEN = "demo-operator-token"
DAEMON_PROGRAM = ("-m", "pomelograde.daemon.main")

_RESERVED_SOCKETS = []


class Processes:
    """Child processes that are stopped together.

    Notes
    -----
    Used as a context manager. All children belong to the process group of the
    program that starts them.
    """

    def __init__(self):
        self.children = []
        self.directory = None
        self.authority = None
        self.exit_stack = contextlib.ExitStack()

    def __enter__(self):
        """Create the directory for settings and logs, and a certificate authority."""
        temporary_directory = tempfile.TemporaryDirectory(prefix="pomelograde-run-")
        self.directory = pathlib.Path(
            self.exit_stack.enter_context(temporary_directory)
        )
        self.authority = certificates.make_authority(self.directory)
        return self

    def __exit__(self, *exc_info):
        """Stop all children in reverse order: daemons before their stand-ins."""
        for child in reversed(self.children):
            stop(child)
        self.exit_stack.close()

    def start_platform(self, port=0):
        """Start the platform stand-in and return its base URL."""
        child = self.spawn(["-m", "pomelograde.standins", "platform", f"--port={port}"])
        return f"http://127.0.0.1:{read_announcement(child)['port']}"

    def start_members(self, groups):
        """Start a process that hosts groups and return its announcement."""
        path = self.directory / f"groups-{len(self.children)}.json"
        value = {"groups": groups, "password": UPSTREAM_PASSWORD}
        path.write_text(json.dumps(value))
        arguments = ["-m", "pomelograde.standins", "members", f"--config={path}"]
        return read_announcement(self.spawn(arguments))

    def start_links(self, places, near_delay_s=0.0, far_delay_s=0.0):
        """Start a relay process and return the URL of its control interface.

        Parameters
        ----------
        places : dict of str to str
            Prefix of source addresses by place.
        near_delay_s, far_delay_s : float
            One-way delays within and between places.
        """
        path = self.directory / f"links-{len(self.children)}.json"
        value = {
            "places": places,
            "near_delay_s": near_delay_s,
            "far_delay_s": far_delay_s,
        }
        path.write_text(json.dumps(value))
        arguments = ["-m", "pomelograde.standins", "links", f"--config={path}"]
        port = read_announcement(self.spawn(arguments))["control_port"]
        return f"http://127.0.0.1:{port}"

    def start_daemon(self, settings, program=DAEMON_PROGRAM):
        """Start a daemon and return its process.

        Parameters
        ----------
        settings : dict
            Settings as a JSON value; peer certificates are added if missing.
        program : tuple of str
            Arguments of the Python interpreter that run a daemon.
        """
        name = settings["instance"]
        host = settings["addresses"]["host"]
        if "peers" not in settings:
            settings["peers"] = self.authority.peer_settings(name, host)
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        log = (self.directory / f"{settings['instance']}.log").open("ab")
        self.exit_stack.callback(log.close)
        child = subprocess.Popen(
            [sys.executable, *program, f"--settings={path}"],
            stderr=log,
        )
        self.children.append(child)
        return child

    def spawn(self, arguments):
        """Start a Python program that prints an announcement; return its process."""
        child = subprocess.Popen([sys.executable, *arguments], stdout=subprocess.PIPE)
        self.children.append(child)
        return child


def stop(child):
    """Terminate a child, and kill it if it runs on after `STOP_TIMEOUT_S`."""
    if child.poll() is not None:
        return
    child.send_signal(signal.SIGTERM)
    try:
        child.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        child.kill()
        child.wait()


def read_announcement(child):
    """Return the JSON value that a stand-in prints as a line when it is ready."""
    line = child.stdout.readline()
    if not line:
        raise RuntimeError(f"stand-in ended with code {child.wait()}")
    return json.loads(line)


def free_ports(count, host="127.0.0.1"):
    """Return ports that the kernel chose, reserved while this process lives.

    Parameters
    ----------
    count : int
        Number of ports.
    host : str
        Address to reserve the ports on.

    Notes
    -----
    The sockets stay bound without listening, so that the kernel gives the
    ports to nobody else, outgoing connections included. A child can listen
    all the same, since both sides allow the address to be reused.
    """
    ports = []
    for _ in range(count):
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind((host, 0))
        _RESERVED_SOCKETS.append(reserved)
        ports.append(reserved.getsockname()[1])
    return ports


def wait_for_port(host, port, timeout_s=START_TIMEOUT_S):
    """Wait until a process listens on a port.

    Raises
    ------
    TimeoutError
        If none does within the time limit.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        try:
            socket.create_connection((host, port), timeout=1.0).close()
            return
        except OSError:
            time.sleep(0.05)
    raise TimeoutError(f"nothing listens on {host}:{port}")


def add_link(links_url, name, place, host, port):
    """Add a link to a relay process and return the port that it listens on."""
    link = {"name": name, "place": place, "host": host, "port": port}
    answer = http.post(f"{links_url}/links", {"add": [link]})
    return answer["ports"][name]


def daemon_settings(name, data_centre, platform_url, ports, host="127.0.0.1"):
    """Return the settings of a daemon as a JSON value.

    Parameters
    ----------
    name, data_centre : str
        Name and data centre of the instance.
    platform_url : str
        Base URL of the platform.
    ports : list of int
        Caller, operator, metrics and peer port.
    host : str
        Address that the daemon listens on.
    """
    caller, operator, metrics, peer = ports
    digest = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
    return {
        "instance": name,
        "data_centre": data_centre,
        "platform": {"url": platform_url, "poll_interval_s": 0.25},
        "upstream": {"password": UPSTREAM_PASSWORD},
        "addresses": {
            "host": host,
            "caller_port": caller,
            "operator_port": operator,
            "metrics_port": metrics,
            "peer_port": peer,
        },
        "operators": [{"name": "demo", "token_sha256": digest}],
    }


def list_instances(platform_url, all_settings):
    """Set the instance list of the platform stand-in from settings of daemons."""
    entries = [_instance_entry(settings) for settings in all_settings]
    http.post(f"{platform_url}/control/instances", entries)


def _instance_entry(settings):
    addresses = settings["addresses"]
    return {
        "name": settings["instance"],
        "data_centre": settings["data_centre"],
        "host": addresses.get("advertised_host") or addresses["host"],
        "peer_port": addresses.get("advertised_peer_port") or addresses["peer_port"],
        "leaving": False,
    }
