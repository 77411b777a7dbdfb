"""Small fleets of real processes for tests."""

import contextlib

import attrs
import psycopg

from pomelograde.standins import deployments, http, processes, seed

PLACES = deployments.BOLLETTE.data_centres
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
    """

    running: processes.Processes
    platform_url: str
    members_url: str
    daemons: list = attrs.field(factory=list)
    settings: list = attrs.field(factory=list)

    def port(self, number, name="caller"):
        """Return a port of an instance."""
        return self.settings[number]["addresses"][f"{name}_port"]

    def dsn(self, number=0, account=ACCOUNT, service=SERVICE, **options):
        """Return a connection string."""
        password = deployments.password_of(account)
        words = [
            f"host=127.0.0.1 port={self.port(number)} dbname={service}",
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
        url = f"http://127.0.0.1:{self.port(number, 'operator')}{path}"
        token = f"Bearer {processes.OPERATOR_TOKEN}"
        return http.send(method, url, body, [("Authorization", token)])

    def change_member(self, member, service=SERVICE, **change):
        """Switch faults of a member."""
        return http.post(f"{self.members_url}/members/{service}/{member}", change)

    def change_platform(self, **faults):
        """Switch faults of the platform."""
        return http.post(f"{self.platform_url}/control/faults", faults)

    def add_daemon(self, place, **overrides):
        """Start one more instance."""
        number = len(self.daemons)
        ports = processes.free_ports(4)
        settings = processes.daemon_settings(
            f"{place}-{number}", place, self.platform_url, ports
        )
        settings.update(overrides)
        self.settings.append(settings)
        self.daemons.append(self.running.start_daemon(settings))
        return number

    def wait(self):
        """Wait until all instances accept callers."""
        processes.list_instances(self.platform_url, self.settings)
        for settings in self.settings:
            processes.wait_for_port("127.0.0.1", settings["addresses"]["caller_port"])


@contextlib.contextmanager
def run_fleet(instances=2, lag_s=0.02, deployment=deployments.BOLLETTE, **overrides):
    """Run stand-ins and instances; yields a `Fleet`."""
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
        for number in range(instances):
            fleet.add_daemon(places[number % len(places)], **overrides)
        fleet.wait()
        yield fleet
