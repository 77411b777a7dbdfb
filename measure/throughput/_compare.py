"""Compares throughput and latency of direct, forwarded and proxied statements.

The programs under load take turns.
"""

import json
import os
import statistics
import subprocess
import sys

import attrs
import click

from measure.throughput import _driver, _synthetic
from pomelograde.standins import deployments, http, processes, seed

DRIVERS = 2
CONNECTIONS = 64
MEMBER_CONNECTIONS = 10
WATCH_CONNECTIONS = 2
REPETITIONS = 5
RUNS_PER_TURN = 9
LATENCY_CONNECTIONS = 1
WRITE_EVERY = 10
SERVICE = "meters"
ACCOUNT = "bollette-desk"
RATE_PER_S = 1e9
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@attrs.define
class Series:
    """Results of the repetitions of one load against one program.

    Attributes
    ----------
    rates : list of float
        Statements per second.
    core_rates : list of float
        Statements per second of processor time of the program.
    latencies_ms : list of float
        Median latency of each repetition.
    errors : int
        Number of error answers.
    """

    rates: list = attrs.field(factory=list)
    core_rates: list = attrs.field(factory=list)
    latencies_ms: list = attrs.field(factory=list)
    errors: int = 0


@attrs.frozen
class Subject:
    """Program under load and its process id, or 0 if its time is not measured."""

    target: _driver.Target
    process_id: int = 0


@attrs.define
class Comparison:
    """Series of a comparison by load and program."""

    series: dict = attrs.field(factory=dict)

    def median(self, load, subject, name="rates"):
        """Return the median of a series."""
        return statistics.median(getattr(self.series[load, subject], name))

    def ratio(self, load, name="rates"):
        """Return the ratio of the daemon's median rate to the forwarder's."""
        forwarded = self.median(load, "forwarder", name)
        return self.median(load, "daemon", name) / forwarded

    def added_latency_ms(self):
        """Return how much the daemon adds to the median latency of a statement."""
        direct = self.median("single", "direct", "latencies_ms")
        return self.median("single", "daemon", "latencies_ms") - direct


def compare(seconds=2.0, repetitions=REPETITIONS):
    """Compare a daemon with a minimal forwarder and a direct connection.

    Parameters
    ----------
    seconds : float
        Duration of the timed part of each run.
    repetitions : int
        Runs of each load against each program.

    Returns
    -------
    Comparison
        Series of all loads and programs.
    """
    loads = {
        "reads": _driver.Load(CONNECTIONS // DRIVERS, seconds),
        "mix": _driver.Load(CONNECTIONS // DRIVERS, seconds, write_every=WRITE_EVERY),
        "single": _driver.Load(LATENCY_CONNECTIONS, seconds),
    }
    comparison = Comparison()
    with processes.Processes() as running:
        subjects = _start_subjects(running)
        for turn in range(repetitions):
            for load_name, load in loads.items():
                for name, subject in subjects.items():
                    drivers = 1 if load_name == "single" else DRIVERS
                    series = comparison.series.setdefault((load_name, name), Series())
                    _run_load(subject, load, drivers, series)
                    click.echo(
                        f"turn {turn + 1}/{repetitions} {load_name} {name}: "
                        f"{series.rates[-1]:.0f}/s "
                        f"{series.latencies_ms[-1]:.3f} ms"
                    )
    return comparison


def _start_subjects(running):
    names = (("primary", "primary"), ("replica", "replica"))
    ports = {}
    for name, role in names:
        arguments = ["-m", "measure", "program", "synthetic", f"--name={name}"]
        arguments += [f"--role={role}", "--leader=primary"]
        arguments += [f"--password={processes.UPSTREAM_PASSWORD}"]
        ports[name] = processes.read_announcement(running.spawn(arguments))["port"]
    forwarder = running.spawn(
        ["-m", "measure", "program", "forwarder", f"--upstream-port={ports['replica']}"]
    )
    forwarder_port = processes.read_announcement(forwarder)["port"]
    daemon, daemon_port = _start_daemon(running, ports)
    trusted = (_synthetic.TRUSTED_USER, "", SERVICE)
    password = deployments.password_of(ACCOUNT)
    return {
        "direct": Subject(_driver.Target("127.0.0.1", ports["replica"], *trusted)),
        "forwarder": Subject(
            _driver.Target("127.0.0.1", forwarder_port, *trusted), forwarder.pid
        ),
        "daemon": Subject(
            _driver.Target("127.0.0.1", daemon_port, ACCOUNT, password, SERVICE),
            daemon.pid,
        ),
    }


def _start_daemon(running, ports):
    url = running.start_platform()
    members = [
        {
            "name": name,
            "host": "127.0.0.1",
            "port": port,
            "data_centre": "catania",
            "slots": MEMBER_CONNECTIONS,
            "connection_limit": MEMBER_CONNECTIONS,
        }
        for name, port in ports.items()
    ]
    deployment = attrs.evolve(deployments.BOLLETTE, services=(SERVICE,))
    specs = seed.specs(deployment, {SERVICE: members})
    for kind, _, spec in specs:
        if kind == "accounts":
            spec.update(rate_per_s=RATE_PER_S, burst=RATE_PER_S)
    commit = {"conditions": [], "writes": seed.writes(specs)}
    http.post(f"{url}/v1/table/commit", commit)
    daemon_ports = processes.free_ports(4)
    settings = processes.daemon_settings("catania-1", "catania", url, daemon_ports)
    daemon = running.start_daemon(settings)
    processes.list_instances(url, [settings])
    processes.wait_for_port("127.0.0.1", daemon_ports[0])
    return daemon, daemon_ports[0]


def _run_load(subject, load, drivers, series):
    config = json.dumps(
        {"target": attrs.asdict(subject.target), "load": attrs.asdict(load)}
    )
    command = [sys.executable, "-m", "measure", "program", "driver", "--config", config]
    children = [_start_driver(command) for _ in range(drivers)]
    for child in children:
        child.stdout.readline()
    processor_s_before = processor_seconds(subject.process_id)
    for child in children:
        child.stdin.write("\n")
        child.stdin.flush()
    outcomes = [json.loads(child.communicate()[0]) for child in children]
    processor_s = processor_seconds(subject.process_id) - processor_s_before
    statements = sum(outcome["statements"] for outcome in outcomes)
    latencies = [
        latency_s for outcome in outcomes for latency_s in outcome["latencies_s"]
    ]
    series.rates.append(statements / load.seconds)
    timed_share = load.seconds / (load.seconds + load.warm_up_s)
    if processor_s > 0.0:
        series.core_rates.append(statements / (processor_s * timed_share))
    series.latencies_ms.append(statistics.median(latencies) * 1000.0)
    series.errors += sum(outcome["errors"] for outcome in outcomes)


def _start_driver(command):
    return subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )


def processor_seconds(process_id):
    """Return the processor time that a process has used, in seconds."""
    if not process_id:
        return 0.0
    with open(f"/proc/{process_id}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
