"""Fleets of instances with stand-ins for members and platform, and their control."""

import contextlib
import itertools
import json
import subprocess
import sys
import time
import urllib.parse

import attrs
import cattrs
import psycopg

from measure import history, workload
from measure.checkers import _answers
from pomelograde.standins import deployments, http, processes, seed

INSTANCES = 7
REPLICATION_TIMEOUT_S = 20.0
CALLER_PROCESSES = 2
REPLICATION_POLL_INTERVAL_S = 0.05


@attrs.frozen
class FleetSettings:
    """Parameters of a fleet.

    Attributes
    ----------
    deployment : Deployment
        Client accounts, databases and data centres.
    instances : int
        Number of instances.
    lag_s : float
        Replication lag of the members.
    service_s : float
        Execution time of a statement on a member.
    rate_scale : float
        Factor applied to the rates and bursts of the client accounts.
    log_level : str
        Lowest level that the instances log.
    acknowledgement : str
        Policy of acknowledging writes, "majority" or "lease".
    program : tuple of str
        Interpreter arguments that start a daemon; empty for the standard ones.
    """

    deployment: deployments.Deployment
    instances: int = INSTANCES
    lag_s: float = 0.02
    service_s: float = 0.0
    rate_scale: float = 1.0
    log_level: str = "warning"
    acknowledgement: str = "majority"
    program: tuple = ()


@attrs.define
class Fleet:
    """A running fleet.

    Attributes
    ----------
    running : Processes
        Child processes.
    settings : FleetSettings
        Parameters of the fleet.
    platform_url, members_url, links_url : str
        Control addresses of the platform and member stand-ins and of the links
        between data centres.
    prefixes : dict of str to str
        Prefix of the IP addresses in each data centre.
    daemons : list
        Child processes of the instances.
    daemon_settings : list of dict
        Settings of the instances.
    run_numbers : iterator of int
        Numbers that tell the history files of successive runs apart.
    """

    running: processes.Processes
    settings: FleetSettings
    platform_url: str
    members_url: str
    links_url: str = ""
    prefixes: dict = attrs.field(factory=dict)
    daemons: list = attrs.field(factory=list)
    daemon_settings: list = attrs.field(factory=list)
    run_numbers: object = attrs.field(factory=itertools.count)

    @property
    def deployment(self):
        """Deployment that the fleet is modelled on."""
        return self.settings.deployment

    def instances(self):
        """Return the addresses of the instances for callers."""
        return [
            workload.Instance(
                settings["instance"],
                settings["addresses"]["host"],
                settings["addresses"]["caller_port"],
            )
            for settings in self.daemon_settings
        ]

    def operate(self, method, path, body=None, number=0, timeout_s=5.0):
        """Send an operator's request to an instance."""
        addresses = self.daemon_settings[number]["addresses"]
        url = f"http://{addresses['host']}:{addresses['operator_port']}{path}"
        headers = [("Authorization", f"Bearer {processes.OPERATOR_TOKEN}")]
        return http.send(method, url, body, headers, timeout_s)

    def status(self, number, timeout_s=5.0):
        """Return the status that an instance reports."""
        return self.operate("GET", "/v1/status", None, number, timeout_s)

    def change_member(self, service, member, **change):
        """Change faults or other parameters of a member stand-in."""
        return http.post(f"{self.members_url}/members/{service}/{member}", change)

    def change_platform(self, **faults):
        """Switch faults of the platform stand-in."""
        return http.post(f"{self.platform_url}/control/faults", faults)

    def cut(self, *pairs):
        """Cut the links of these pairs only.

        Parameters
        ----------
        *pairs : tuple of (str, str)
            Two data centres, or a data centre and "platform".
        """
        cuts = [list(pair) for pair in pairs]
        return http.post(f"{self.links_url}/links", {"cuts": cuts})

    def silence(self):
        """Stop forwarding on all existing link connections; new ones work."""
        return http.post(f"{self.links_url}/links", {"silence": True})

    def isolate_data_centre(self, data_centre):
        """Cut a data centre off from the platform and all other data centres."""
        others = [
            other for other in self.deployment.data_centres if other != data_centre
        ]
        self.cut((data_centre, "platform"), *((data_centre, other) for other in others))
        for service in self.deployment.services:
            for member in self.members(service):
                self.change_member(
                    service,
                    member["name"],
                    faults=self._isolation_faults(data_centre, member),
                )

    def heal(self):
        """Restore all links between data centres."""
        self.cut()
        for service in self.deployment.services:
            for member in self.members(service):
                faults = {"cut_hosts": [], "cut_members": []}
                self.change_member(service, member["name"], faults=faults)

    def _isolation_faults(self, data_centre, member):
        service = member["name"].rpartition("-")[0]
        data_centres = self.deployment.data_centres
        if member["data_centre"] != data_centre:
            return {
                "cut_hosts": [self.prefixes[data_centre]],
                "cut_members": [f"{service}-{data_centre}"],
            }
        others = [other for other in data_centres if other != data_centre]
        return {
            "cut_hosts": [self.prefixes[other] for other in others],
            "cut_members": [f"{service}-{other}" for other in others],
        }

    def members(self, service):
        """Return the states that the members of a database report."""
        return http.send("GET", f"{self.members_url}/members")["groups"][service]

    def primary(self, service):
        """Return the primary of the highest term, or None."""
        primaries = [
            member for member in self.members(service) if member["role"] == "primary"
        ]
        return max(primaries, key=lambda member: member["term"], default=None)

    def start_daemon(self, number):
        """Start an instance, or restart one whose process has ended."""
        program = self.settings.program or processes.DAEMON_PROGRAM
        child = self.running.start_daemon(self.daemon_settings[number], program)
        self.daemons[number : number + 1] = [child]
        return child

    def limits(self):
        """Return the rates and bursts of the client accounts."""
        return [
            history.Limit(account, *self._rate_and_burst(account))
            for account in self.deployment.accounts
        ]

    def _rate_and_burst(self, account):
        scale = self.settings.rate_scale
        rate = deployments.rate_of(self.deployment, account) * scale
        return rate, rate

    @contextlib.contextmanager
    def run_callers(self, callers, seconds, seed_number):
        """Run callers within the context; yields the paths of their history files.

        Notes
        -----
        Leaving the context waits for the callers to finish.
        """
        run = next(self.run_numbers)
        paths = []
        children = []
        for number in range(CALLER_PROCESSES):
            path = self.running.directory / f"history-{run}-{number}.jsonl"
            plan = workload.Plan(
                callers=callers[number::CALLER_PROCESSES],
                instances=self.instances(),
                client_delay_s=self.deployment.client_delay_s,
                seed=seed_number,
                path=str(path),
            )
            paths.append(path)
            children.append(_start_callers(plan, path))
        for child in children:
            child.stdout.readline()
        ends_at = time.monotonic() + seconds
        for child in children:
            child.stdin.write(f"{ends_at}\n")
            child.stdin.flush()
        try:
            yield paths
        finally:
            for child in children:
                child.communicate()

    def settled_rows(self):
        """Return the rows of all databases once replication has caught up.

        Raises
        ------
        TimeoutError
            If the members of a database do not reach one position in time.
        """
        rows = []
        for service in self.deployment.services:
            rows += _read_rows(self, service, self.wait_for_replication(service))
        return rows

    def wait_for_replication(self, service, timeout_s=REPLICATION_TIMEOUT_S):
        """Wait until all members are at the position of one primary; returns it.

        Raises
        ------
        TimeoutError
            If they do not reach it in time.
        """
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            members = self.members(service)
            positions = {tuple(member["position"]) for member in members}
            roles = sorted(member["role"] for member in members)
            expected = ["primary"] + ["replica"] * (len(members) - 1)
            if len(positions) == 1 and roles == expected:
                return self.primary(service)
            time.sleep(REPLICATION_POLL_INTERVAL_S)
        raise TimeoutError(
            f"members of {service} have not reached one position: {members}"
        )


def _start_callers(plan, path):
    plan_path = path.with_suffix(".plan.json")
    plan_path.write_text(json.dumps(cattrs.unstructure(plan)))
    arguments = ["-m", "measure", "program", "callers", f"--plan={plan_path}"]
    return subprocess.Popen(
        [sys.executable, *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


def _read_rows(fleet, service, primary):
    fleet.change_member(
        service, primary["name"], connection_limit=primary["connections"] + 10
    )
    dsn = (
        f"host={primary['host']} port={primary['port']} dbname=main user=pomelograde "
        f"password={processes.UPSTREAM_PASSWORD}"
    )
    with psycopg.connect(dsn, autocommit=True) as connection:
        cursor = connection.execute("SELECT owner, caller, value FROM entries")
        return [history.Row(service, *row) for row in cursor.fetchall()]


def _group_settings(settings):
    groups = deployments.group_settings(
        settings.deployment, lag_s=settings.lag_s, service_s=settings.service_s
    )
    numbers = ", ".join(f"({n})" for n in range(_answers.ECHO_ROWS))
    for group in groups:
        ports = processes.free_ports(len(group["members"]))
        for member, port in zip(group["members"], ports, strict=True):
            member["port"] = port
        group["setup"] += [
            *workload.TABLE_SETUP,
            f"INSERT INTO numbers (n) VALUES {numbers}",
        ]
    return groups


def _write_configuration(fleet, groups):
    specs = seed.specs(fleet.deployment, groups)
    limits = {limit.account: limit for limit in fleet.limits()}
    for kind, name, spec in specs:
        if kind == "services":
            spec["acknowledgement"] = fleet.settings.acknowledgement
        if kind == "accounts":
            spec["rate_per_s"] = limits[name].rate_per_s
            spec["burst"] = limits[name].burst
    commit = {"conditions": [], "writes": seed.writes(specs)}
    http.post(f"{fleet.platform_url}/v1/table/commit", commit)


@contextlib.contextmanager
def run_fleet(settings, prepare=None):
    """Run stand-ins and instances of a deployment.

    Parameters
    ----------
    settings : FleetSettings
        Parameters of the fleet.
    prepare : callable, default=None
        Called with the fleet before its instances start.

    Yields
    ------
    Fleet
        Fleet whose instances accept callers.
    """
    with processes.Processes() as running:
        url = running.start_platform()
        members = running.start_members(_group_settings(settings))
        control = f"http://127.0.0.1:{members['control_port']}"
        fleet = Fleet(running, settings, url, control)
        _write_configuration(fleet, members["groups"])
        platform_url = _start_links(fleet)
        if prepare is not None:
            prepare(fleet)
        for number in range(settings.instances):
            fleet.daemon_settings.append(_daemon_settings(fleet, number, platform_url))
            fleet.start_daemon(number)
        processes.list_instances(url, fleet.daemon_settings)
        for instance in fleet.instances():
            processes.wait_for_port(instance.host, instance.port)
        yield fleet


def _start_links(fleet):
    """Start the links; returns the platform's address through its link."""
    deployment = fleet.deployment
    fleet.prefixes = {
        data_centre: f"127.0.{number}."
        for number, data_centre in enumerate(deployment.data_centres, start=1)
    }
    fleet.links_url = fleet.running.start_links(
        fleet.prefixes, far_delay_s=deployment.data_centre_delay_s
    )
    port = urllib.parse.urlsplit(fleet.platform_url).port
    relayed = processes.add_link(
        fleet.links_url, "platform", "platform", "127.0.0.1", port
    )
    return f"http://127.0.0.1:{relayed}"


def _daemon_settings(fleet, number, platform_url):
    data_centres = fleet.deployment.data_centres
    data_centre = data_centres[number % len(data_centres)]
    host = f"{fleet.prefixes[data_centre]}{1 + number}"
    name = f"{data_centre}-{number}"
    ports = processes.free_ports(4, host)
    daemon = processes.daemon_settings(name, data_centre, platform_url, ports, host)
    addresses = daemon["addresses"]
    addresses["bind_host"] = host
    addresses["advertised_host"] = "127.0.0.1"
    addresses["advertised_peer_port"] = processes.add_link(
        fleet.links_url, name, data_centre, host, addresses["peer_port"]
    )
    daemon["logging"] = {"level": fleet.settings.log_level}
    return daemon
