"""Fleets of real processes for tests: stand-ins and instances."""

import contextlib
import time
import urllib.parse

import attrs
import psycopg

from pomelograde.standins import deployments, http, processes, seed

DATA_CENTRES = deployments.BOLLETTE.data_centres
SERVICE = "meters"
ACCOUNT = "bollette-desk"


@attrs.define
class Fleet:
    """A running fleet.

    Attributes
    ----------
    running : Processes
        Starts the processes and stops them at the end.
    platform_url : str
        URL of the platform stand-in.
    members_url : str
        URL of the control interface of the upstream members.
    daemons : list
        Child processes of the instances.
    settings : list of dict
        Settings of the instances.
    links_url : str
        URL of the control interface of the link proxies; empty without them.
        With link proxies, each data centre has its own address prefix.
    prefixes : dict of str to str
        Address prefixes by data centre; empty without link proxies.
    """

    running: processes.Processes
    platform_url: str
    members_url: str
    daemons: list = attrs.field(factory=list)
    settings: list = attrs.field(factory=list)
    links_url: str = ""
    prefixes: dict = attrs.field(factory=dict)

    def host(self, number):
        """Return the host address of an instance."""
        return self.settings[number]["addresses"]["host"]

    def port(self, number, name="caller"):
        """Return the port of an instance's listener by name."""
        return self.settings[number]["addresses"][f"{name}_port"]

    def dsn(self, number=0, account=ACCOUNT, service=SERVICE, **options):
        """Return a libpq connection string; options become session settings."""
        password = deployments.password_of(account)
        parameters = [
            f"host={self.host(number)} port={self.port(number)} dbname={service}",
            f"user={account} password={password}",
        ]
        settings = " ".join(f"-c pomelograde.{k}={v}" for k, v in options.items())
        if settings:
            parameters.append(f"options='{settings}'")
        return " ".join(parameters)

    def connect(self, number=0, **options):
        """Open an autocommit connection through psycopg."""
        return psycopg.connect(self.dsn(number, **options), autocommit=True)

    def operate(self, method, path, body=None, number=0):
        """Send an authenticated request to an instance's operator interface."""
        url = f"http://{self.host(number)}:{self.port(number, 'operator')}{path}"
        token = f"Bearer {processes.OPERATOR_TOKEN}"
        return http.send(method, url, body, [("Authorization", token)])

    def change_member(self, member, service=SERVICE, **change):
        """Change the state of an upstream member or inject faults into it."""
        return http.post(f"{self.members_url}/members/{service}/{member}", change)

    def change_platform(self, **faults):
        """Set faults of the platform by name; the others stay as they are."""
        return http.post(f"{self.platform_url}/control/faults", faults)

    def cut(self, *pairs):
        """Cut the links of exactly the given pairs; all other links are restored.

        Parameters
        ----------
        *pairs : tuple of str
            Two data centres, or a data centre and "platform".

        Notes
        -----
        Members are not reached through link proxies; use `change_member` with
        `cut_hosts` for them.
        """
        value = {"cuts": [list(pair) for pair in pairs]}
        return http.post(f"{self.links_url}/links", value)

    def silence_peers(self):
        """Forward nothing more on all proxied connections; new connections work."""
        return http.post(f"{self.links_url}/links", {"silence": True})

    def add_daemon(self, data_centre, **overrides):
        """Start an instance in a data centre and return its number."""
        number = len(self.daemons)
        host = "127.0.0.1"
        if self.links_url:
            host = f"{self.prefixes[data_centre]}{number + 1}"
        ports = processes.free_ports(4, host)
        settings = processes.daemon_settings(
            f"{data_centre}-{number}", data_centre, self.platform_url, ports, host
        )
        if self.links_url:
            self._add_link(settings)
        settings.update(overrides)
        self.settings.append(settings)
        self.daemons.append(self.running.start_daemon(settings))
        return number

    def wait_for_peers(self, timeout_s=10.0):
        """Wait until every instance has received a heartbeat from all others."""
        end = time.monotonic() + timeout_s
        for number in range(len(self.daemons)):
            while len(self.known_instances(number)) < len(self.daemons):
                if time.monotonic() > end:
                    raise TimeoutError(
                        f"instance {number} does not know all peers after {timeout_s} s"
                    )
                time.sleep(0.1)

    def known_instances(self, number):
        """Return the status of the instances that one instance knows.

        Instances that have not sent a heartbeat yet (incarnation 0) or that
        are leaving the fleet are left out.
        """
        instances = self.operate("GET", "/v1/status", number=number)["instances"]
        return {
            name: status
            for name, status in instances.items()
            if status["incarnation"] > 0 and not status["leaving"]
        }

    def wait(self):
        """Register the instances with the platform and wait for their listeners."""
        processes.list_instances(self.platform_url, self.settings)
        for settings in self.settings:
            addresses = settings["addresses"]
            processes.wait_for_port(addresses["host"], addresses["caller_port"])

    def _add_link(self, settings):
        addresses = settings["addresses"]
        addresses["bind_host"] = addresses["host"]
        addresses["advertised_host"] = "127.0.0.1"
        addresses["advertised_peer_port"] = processes.add_link(
            self.links_url,
            settings["instance"],
            settings["data_centre"],
            addresses["host"],
            addresses["peer_port"],
        )


@contextlib.contextmanager
def run_fleet(
    instances=2,
    lag_s=0.02,
    deployment=deployments.BOLLETTE,
    linked=False,
    **overrides,
):
    """Run stand-ins and instances, and yield a `Fleet`.

    Parameters
    ----------
    instances : int
        Number of instances, spread over the deployment's data centres.
    lag_s : float
        Replication lag of the replicas.
    deployment : Deployment
        Deployment that the members and their seed data are taken from.
    linked : bool
        Whether peers and the platform are reached through link proxies that
        can cut data centres off.
    **overrides
        Settings that replace the defaults, for all instances.
    """
    with processes.Processes() as running:
        url = running.start_platform()
        groups = deployments.group_settings(deployment, lag_s=lag_s)
        described = running.start_members(groups)
        commit = {
            "conditions": [],
            "writes": seed.writes(seed.specs(deployment, described["groups"])),
        }
        http.post(f"{url}/v1/table/commit", commit)
        control = f"http://127.0.0.1:{described['control_port']}"
        fleet = Fleet(running, url, control)
        data_centres = deployment.data_centres
        if linked:
            _add_links(fleet, running, deployment)
        for number in range(instances):
            fleet.add_daemon(data_centres[number % len(data_centres)], **overrides)
        fleet.wait()
        yield fleet


def _add_links(fleet, running, deployment):
    fleet.prefixes = {
        data_centre: f"127.0.{number}."
        for number, data_centre in enumerate(deployment.data_centres, start=1)
    }
    fleet.links_url = running.start_links(
        fleet.prefixes, far_delay_s=deployment.data_centre_delay_s
    )
    split = urllib.parse.urlsplit(fleet.platform_url)
    port = processes.add_link(
        fleet.links_url, "platform", "platform", split.hostname, split.port
    )
    fleet.platform_url = f"http://127.0.0.1:{port}"
