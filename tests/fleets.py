"""Small fleets of real processes for tests."""

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
        Its processes.
    platform_url : str
        Address of the platform stand-in.
    members_url : str
        Control address of the members.
    daemons : list
        Child processes of the instances.
    settings : list of dict
        Settings of the instances.
    links_url : str
        Control address of the relays; empty where there are none. With
        relays, each data centre has its own address prefix.
    prefixes : dict of str to str
        Address prefixes by data centre.
    """

    running: processes.Processes
    platform_url: str
    members_url: str
    daemons: list = attrs.field(factory=list)
    settings: list = attrs.field(factory=list)
    links_url: str = ""
    prefixes: dict = attrs.field(factory=dict)

    def host(self, number):
        """Return the address of an instance."""
        return self.settings[number]["addresses"]["host"]

    def port(self, number, name="caller"):
        """Return a port of an instance."""
        return self.settings[number]["addresses"][f"{name}_port"]

    def dsn(self, number=0, account=ACCOUNT, service=SERVICE, **options):
        """Return a connection string."""
        password = deployments.password_of(account)
        words = [
            f"host={self.host(number)} port={self.port(number)} dbname={service}",
            f"user={account} password={password}",
        ]
        settings = " ".join(f"-c pomelograde.{k}={v}" for k, v in options.items())
        if settings:
            words.append(f"options='{settings}'")
        return " ".join(words)

    def connect(self, number=0, **options):
        """Open an autocommit connection through psycopg."""
        return psycopg.connect(self.dsn(number, **options), autocommit=True)

    def operate(self, method, path, body=None, number=0):
        """Send an operator's request."""
        url = f"http://{self.host(number)}:{self.port(number, 'operator')}{path}"
        token = f"Bearer {processes.OPERATOR_TOKEN}"
        return http.send(method, url, body, [("Authorization", token)])

    def change_member(self, member, service=SERVICE, **change):
        """Switch faults of a member."""
        return http.post(f"{self.members_url}/members/{service}/{member}", change)

    def change_platform(self, **faults):
        """Switch faults of the platform."""
        return http.post(f"{self.platform_url}/control/faults", faults)

    def cut(self, *pairs):
        """Cut pairs of data centres, or of one and "platform"; heals others.

        Notes
        -----
        Members are not behind relays; see `change_member` with `cut_hosts`.
        """
        value = {"cuts": [list(pair) for pair in pairs]}
        return http.post(f"{self.links_url}/links", value)

    def silence_peers(self):
        """Make all relayed connections silent for good; new ones work."""
        return http.post(f"{self.links_url}/links", {"silence": True})

    def add_daemon(self, place, **overrides):
        """Start one more instance."""
        number = len(self.daemons)
        host = "127.0.0.1"
        if self.links_url:
            host = f"{self.prefixes[place]}{number + 1}"
        ports = processes.free_ports(4, host)
        settings = processes.daemon_settings(
            f"{place}-{number}", place, self.platform_url, ports, host
        )
        if self.links_url:
            self._relay(settings)
        settings.update(overrides)
        self.settings.append(settings)
        self.daemons.append(self.running.start_daemon(settings))
        return number

    def wait_for_peers(self, timeout_s=10.0):
        """Wait until every instance has heard of all others."""
        end = time.monotonic() + timeout_s
        for number in range(len(self.daemons)):
            while len(self.known_instances(number)) < len(self.daemons):
                if time.monotonic() > end:
                    raise TimeoutError("instances do not know each other")
                time.sleep(0.1)

    def known_instances(self, number):
        """Return the instances that one knows to be alive."""
        found = self.operate("GET", "/v1/status", number=number)["instances"]
        return {
            name: one
            for name, one in found.items()
            if one["incarnation"] > 0 and not one["leaving"]
        }

    def wait(self):
        """Wait until all instances accept callers."""
        processes.list_instances(self.platform_url, self.settings)
        for settings in self.settings:
            addresses = settings["addresses"]
            processes.wait_for_port(addresses["host"], addresses["caller_port"])

    def _relay(self, settings):
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
    """Run stand-ins and instances; yields a `Fleet`.

    Parameters
    ----------
    instances : int
        How many instances, spread over the deployment's data centres.
    lag_s : float
        Replication lag.
    deployment : Deployment
        Which one.
    linked : bool
        Whether peers and the platform are reached through relays that can cut
        data centres off.
    **overrides
        Settings of all instances.
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
        places = deployment.data_centres
        if linked:
            _add_relays(fleet, running, deployment)
        for number in range(instances):
            fleet.add_daemon(places[number % len(places)], **overrides)
        fleet.wait()
        yield fleet


def _add_relays(fleet, running, deployment):
    fleet.prefixes = {
        place: f"127.0.{number}."
        for number, place in enumerate(deployment.data_centres, start=1)
    }
    fleet.links_url = running.start_links(
        fleet.prefixes, far_delay_s=deployment.data_centre_delay_s
    )
    split = urllib.parse.urlsplit(fleet.platform_url)
    port = processes.add_link(
        fleet.links_url, "platform", "platform", split.hostname, split.port
    )
    fleet.platform_url = f"http://127.0.0.1:{port}"
