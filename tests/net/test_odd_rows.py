"""Rows of another writer in the platform's table, read by real daemons."""

import time

import pytest
import testtools

from pomelograde.standins import http, processes
from tests import fleets

IN_FORCE_LIMIT_S = 3.0
STALE_AFTER_S = 2.5
ODD_VALUES = (
    {"revision": 1, "change_id": "a", "operator": "", "spec": {"rate_per_s": 10**400}},
    {"revision": 10**400, "change_id": "a", "operator": "", "spec": None},
    {"revision": "1", "change_id": "a", "operator": "", "spec": None},
    {"revision": 1},
    [],
    "text",
    5,
)


def wait_until(condition, limit_s):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.05)
    return False


@pytest.mark.xdist_group("odd_rows")
class OddRowTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        running = fleets.run_fleet(instances=2)
        self.fleet = running.__enter__()
        self.addCleanup(running.__exit__, None, None, None)

    def write(self, rows):
        writes = [{"key": key, "value": value} for key, value in rows.items()]
        commit = {"conditions": [], "writes": writes}
        http.post(f"{self.fleet.platform_url}/v1/table/commit", commit)

    def read_log(self, number=0):
        name = self.fleet.settings[number]["instance"]
        return (self.fleet.running.directory / f"{name}.log").read_text("utf-8")

    def assert_follows_and_serves(self):
        """Check that changes come into force and that keys are accepted."""
        revision = self.fleet.operate(
            "PUT",
            f"/v1/accounts/{fleets.ACCOUNT}",
            {"spec": {"rate_per_s": 400.0, "burst": 400.0}},
        )["resourceVersion"]
        for number in range(2):
            self.assertTrue(
                wait_until(
                    lambda number=number: (
                        self.fleet.operate("GET", "/v1/status", number=number)[
                            "revision"
                        ]
                        >= revision
                    ),
                    IN_FORCE_LIMIT_S,
                ),
                number,
            )
        time.sleep(STALE_AFTER_S)
        for number in range(2):
            with self.fleet.connect(number) as connection:
                self.assertEqual((1,), connection.execute("SELECT 1").fetchone())

    def test_odd_resources_stop_no_other_change(self):
        revision = self.fleet.operate("GET", "/v1/status")["revision"]
        self.write(
            {
                f"config/accounts/odd-{number}": value
                for number, value in enumerate(ODD_VALUES)
            }
            | {"config/unknown/a": {"revision": 1, "spec": None}, "config/": 1}
            | {"config/revision": {"revision": revision + 1}}
        )
        self.assert_follows_and_serves()
        self.assertIn("CONFIGURATION_REJECTED", self.read_log())
        self.assertNotIn("INTERNAL_FAULT", self.read_log())

    def test_odd_revision_row_stops_no_statement_and_can_be_repaired(self):
        revision = self.fleet.operate("GET", "/v1/status")["revision"]
        self.write({"config/revision": {"revision": 10**400}})
        time.sleep(2.0 * STALE_AFTER_S)
        for number in range(2):
            with self.fleet.connect(number) as connection:
                self.assertEqual((1,), connection.execute("SELECT 1").fetchone())
        self.write({"config/revision": {"revision": revision}})
        self.assert_follows_and_serves()

    def test_daemon_starts_with_odd_resources(self):
        revision = self.fleet.operate("GET", "/v1/status")["revision"]
        self.write(
            {
                "config/accounts/odd": ODD_VALUES[0],
                "config/keys/odd": 1,
                "config/revision": {"revision": revision + 1},
            }
        )
        self.fleet.add_daemon(fleets.DATA_CENTRES[0])
        self.fleet.wait()
        with self.fleet.connect(2) as connection:
            self.assertEqual((1,), connection.execute("SELECT 1").fetchone())

    def test_odd_entries_of_the_list_of_instances_stop_no_other(self):
        self.fleet.add_daemon(fleets.DATA_CENTRES[0])
        listed = [processes._instance_entry(found) for found in self.fleet.settings]
        odd = [
            dict(listed[0], name="odd-1", host="odd.example"),
            dict(listed[0], name="odd-2", peer_port=10**400),
            dict(listed[0], name=["odd"]),
            {"name": "odd-3"},
            None,
        ]
        url = f"{self.fleet.platform_url}/control/instances"
        http.post(url, [*odd, *listed[:2]])
        time.sleep(2.5)  # in which the list is read
        http.post(url, [*odd, *listed])
        self.fleet.wait_for_peers()
        self.assertIn("ROW_REJECTED", self.read_log())
        self.assertNotIn("INTERNAL_FAULT", self.read_log())

    def test_odd_primary_is_replaced_by_the_known_one(self):
        for value in ({"term": 10**400, "primary": "a"}, {"term": "9"}, [], "a"):
            self.write({f"primaries/{fleets.SERVICE}": value})
            self.fleet.add_daemon(fleets.DATA_CENTRES[0])
        for settings in self.fleet.settings:
            addresses = settings["addresses"]
            processes.wait_for_port(addresses["host"], addresses["caller_port"])
        for number in range(len(self.fleet.daemons)):
            with self.fleet.connect(number) as connection:
                connection.execute("SELECT 1")
            self.assertNotIn("INTERNAL_FAULT", self.read_log(number))

    def test_odd_rates_stop_no_other_rate(self):
        self.write(
            {
                "limits/shares/odd-1/1": {"parts": "many", "nonce": 1},
                "limits/shares/odd-2/1": {"parts": 10**400},
                "limits/shares/odd-3/1": {"parts": -5},
                "limits/shares/odd-4/1": [1],
                "limits/shares/odd-5/1": 7,
            }
        )
        self.assert_follows_and_serves()
        self.assertNotIn("INTERNAL_FAULT", self.read_log())
        time.sleep(9.0)  # leases that were not renewed have ended
        self.fleet.add_daemon(fleets.DATA_CENTRES[0])
        self.fleet.wait()
        with self.fleet.connect(2) as connection:
            self.assertEqual((1,), connection.execute("SELECT 1").fetchone())
        self.assertNotIn("INTERNAL_FAULT", self.read_log())
