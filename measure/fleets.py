"""Fleets of a deployment's size, and changes made to them."""

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
SETTLE_TIMEOUT_S = 20.0
CALLER_PROCESSES = 2
REST_INTERVAL_S = 0.05


@attrs.frozen
class FleetSettings:
    """Sizes of a fleet.

    Attributes
    ----------
    deployment : Deployment
        Names and sizes.
    instances : int
        Number of instances.
    lag_s : float
        Replication lag of the members.
    service_s : float
        Time that a statement takes in a slot.
    rate_scale : float
        Factor on the client accounts' rates and bursts.
    log_level : str
        Lowest level that the instances log.
    program : tuple of str
        Arguments of the interpreter that run a daemon; empty for the usual one.
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
        Its processes.
    settings : FleetSettings
        Its sizes.
    platform_url, members_url, links_url : str
        Control addresses of the stand-ins and of the relays.
    prefixes : dict of str to str
        Prefix of the addresses of each data centre.
    daemons : list
        Child processes of the instances.
    daemon_settings : list of dict
        Settings of the instances.
    """

    running: processes.Processes
    settings: FleetSettings
    platform_url: str
    members_url: str
    links_url: str = ""
    prefixes: dict = attrs.field(factory=dict)
    daemons: list = attrs.field(factory=list)
    daemon_settings: list = attrs.field(factory=list)
    runs: object = attrs.field(factory=itertools.count)

    @property
    def deployment(self):
        """Names and sizes."""
        return self.settings.deployment

    def instances(self):
        """Return where callers reach the instances."""
        return [
            workload.Instance(
                found["instance"],
                found["addresses"]["host"],
                found["addresses"]["caller_port"],
            )
            for found in self.daemon_settings
        ]

    def operate(self, method, path, body=None, number=0, timeout_s=5.0):
        """Send an operator's request to an instance."""
        addresses = self.daemon_settings[number]["addresses"]
        url = f"http://{addresses['host']}:{addresses['operator_port']}{path}"
        headers = [("Authorization", f"Bearer {processes.OPERATOR_TOKEN}")]
        return http.send(method, url, body, headers, timeout_s)

    def status(self, number, timeout_s=5.0):
        """Return what an instance says of itself."""
        return self.operate("GET", "/v1/status", None, number, timeout_s)

    def change_member(self, service, member, **change):
        """Switch faults of a member."""
        return http.post(f"{self.members_url}/members/{service}/{member}", change)

    def change_platform(self, **faults):
        """Switch faults of the platform."""
        return http.post(f"{self.platform_url}/control/faults", faults)

    def cut(self, *pairs):
        """Cut pairs of data centres, or of one and "platform"; heal all others."""
        cuts = [list(pair) for pair in pairs]
        return http.post(f"{self.links_url}/links", {"cuts": cuts})

    def silence(self):
        """Make all relayed connections silent for good; new ones work."""
        return http.post(f"{self.links_url}/links", {"silence": True})

    def cut_off(self, place):
        """Cut a data centre off from the others, the platform and members there."""
        others = [one for one in self.deployment.data_centres if one != place]
        self.cut((place, "platform"), *((place, other) for other in others))
        for service in self.deployment.services:
            for member in self.members(service):
                self.change_member(
                    service, member["name"], faults=self._cut_faults(place, member)
                )

    def heal(self):
        """End all cuts between data centres."""
        self.cut()
        for service in self.deployment.services:
            for member in self.members(service):
                faults = {"cut_hosts": [], "cut_members": []}
                self.change_member(service, member["name"], faults=faults)

    def _cut_faults(self, place, member):
        service = member["name"].rpartition("-")[0]
        places = self.deployment.data_centres
        if member["data_centre"] != place:
            return {
                "cut_hosts": [self.prefixes[place]],
                "cut_members": [f"{service}-{place}"],
            }
        others = [other for other in places if other != place]
        return {
            "cut_hosts": [self.prefixes[other] for other in others],
            "cut_members": [f"{service}-{other}" for other in others],
        }

    def members(self, service):
        """Return what the members of a service say of themselves."""
        return http.send("GET", f"{self.members_url}/members")["groups"][service]

    def primary(self, service):
        """Return the member that leads in the highest term, or None."""
        leading = [
            member for member in self.members(service) if member["role"] == "primary"
        ]
        return max(leading, key=lambda member: member["term"], default=None)

    def start_daemon(self, number):
        """Start an instance by its number, again if it has ended."""
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
    def callers(self, callers, seconds, seed_number):
        """Run callers meanwhile; yields the files of their history.

        Notes
        -----
        Leaving the context waits until the callers have ended.
        """
        run = next(self.runs)
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

    def rows_at_rest(self):
        """Return the rows of all services once their members agree.

        Raises
        ------
        TimeoutError
            If they do not agree in time.
        """
        rows = []
        for service in self.deployment.services:
            rows += _read_rows(self, service, self.wait_settled(service))
        return rows

    def wait_settled(self, service, timeout_s=SETTLE_TIMEOUT_S):
        """Wait until all members follow one primary; returns the primary.

        Raises
        ------
        TimeoutError
            If they do not in time.
        """
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            members = self.members(service)
            positions = {tuple(member["position"]) for member in members}
            roles = sorted(member["role"] for member in members)
            expected = ["primary"] + ["replica"] * (len(members) - 1)
            if len(positions) == 1 and roles == expected:
                return self.primary(service)
            time.sleep(REST_INTERVAL_S)
        raise TimeoutError(f"members of {service} do not agree: {members}")


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
        Sizes.
    prepare : callable, default=None
        Called with the fleet before its instances start.

    Yields
    ------
    Fleet
        Ready for callers.
    """
    with processes.Processes() as running:
        url = running.start_platform()
        described = running.start_members(_group_settings(settings))
        control = f"http://127.0.0.1:{described['control_port']}"
        fleet = Fleet(running, settings, url, control)
        _write_configuration(fleet, described["groups"])
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
    """Start the relays; returns the address of the platform behind them."""
    deployment = fleet.deployment
    fleet.prefixes = {
        place: f"127.0.{number}."
        for number, place in enumerate(deployment.data_centres, start=1)
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
    places = fleet.deployment.data_centres
    place = places[number % len(places)]
    host = f"{fleet.prefixes[place]}{1 + number}"
    name = f"{place}-{number}"
    ports = processes.free_ports(4, host)
    found = processes.daemon_settings(name, place, platform_url, ports, host)
    addresses = found["addresses"]
    addresses["bind_host"] = host
    addresses["advertised_host"] = "127.0.0.1"
    addresses["advertised_peer_port"] = processes.add_link(
        fleet.links_url, name, place, host, addresses["peer_port"]
    )
    found["logging"] = {"level": fleet.settings.log_level}
    return found
