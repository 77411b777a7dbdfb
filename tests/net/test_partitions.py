"""Tests of configuration and keys under network partitions, with 7 instances."""

import concurrent.futures
import time
import urllib.error

import psycopg
import pytest
import testtools

from tests import fleets
from tests.net import test_configuration

INSTANCES = 7
LIMIT_S = test_configuration.IN_FORCE_LIMIT_S
DATA_CENTRES = fleets.DATA_CENTRES
REMOTE = DATA_CENTRES[2]  # instances 2 and 5
CUTS_TO_PEERS = [(REMOTE, DATA_CENTRES[0]), (REMOTE, DATA_CENTRES[1])]


@pytest.mark.xdist_group("partitions")
class PartitionTests(testtools.TestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.running = fleets.run_fleet(instances=INSTANCES, linked=True)
        cls.fleet = cls.running.__enter__()
        cls.fleet.wait_for_peers()

    @classmethod
    def tearDownClass(cls):
        cls.running.__exit__(None, None, None)
        super().tearDownClass()

    def tearDown(self):
        self.fleet.cut()
        self.fleet.change_platform(outage=False, slow_s=0.0, lose_answers=0)
        self.assertIsNotNone(test_configuration.wait_until(self.is_converged, 10.0))
        super().tearDown()

    def is_converged(self):
        return len(set(self.revisions())) == 1 and all(
            self.serves(number) for number in (0, 2)
        )

    def revisions(self):
        return [
            self.fleet.operate("GET", "/v1/status", number=number)["revision"]
            for number in range(INSTANCES)
        ]

    def put(self, name, rate, number=0, **body):
        spec = {"rate_per_s": rate, "burst": rate}
        path = f"/v1/accounts/{name}"
        return self.fleet.operate("PUT", path, {"spec": spec, **body}, number)

    def serves(self, number):
        try:
            with self.fleet.connect(number) as connection:
                connection.execute("SELECT 1")
        except psycopg.Error:
            return False
        return True

    def assert_in_force(self, revision, numbers=range(INSTANCES)):
        def reached():
            found = self.revisions()
            return all(found[number] >= revision for number in numbers)

        self.assertIsNotNone(test_configuration.wait_until(reached, LIMIT_S))

    def test_one_of_several_concurrent_writes_of_a_version_succeeds(self):
        version = self.put("raced", 1.0)["resourceVersion"]
        self.assert_in_force(version)
        self.fleet.change_platform(lose_answers=2)

        def write(number):
            rate = 10.0 + number
            try:
                found = self.put("raced", rate, number, resourceVersion=version)
            except urllib.error.HTTPError as error:
                return error.code, rate, 0
            return 200, rate, found["resourceVersion"]

        with concurrent.futures.ThreadPoolExecutor(INSTANCES) as pool:
            outcomes = list(pool.map(write, range(INSTANCES)))
        winners = [outcome for outcome in outcomes if outcome[0] == 200]
        self.assertEqual(1, len(winners), outcomes)
        self.assertEqual({200, 409}, {outcome[0] for outcome in outcomes})
        self.assert_in_force(winners[0][2])
        for number in range(INSTANCES):
            found = self.fleet.operate("GET", "/v1/accounts/raced", number=number)
            self.assertEqual(winners[0][1], found["spec"]["rate_per_s"])

    def test_data_centre_without_peers_is_updated_by_the_platform(self):
        self.fleet.cut(*CUTS_TO_PEERS)
        time.sleep(1.0)
        revision = self.put("cut", 5.0)["resourceVersion"]
        self.assert_in_force(revision)
        self.assertTrue(self.serves(2))

    def test_data_centre_without_the_platform_is_updated_by_peers(self):
        self.fleet.cut((REMOTE, "platform"))
        time.sleep(1.0)
        revision = self.put("cut", 6.0)["resourceVersion"]
        self.assert_in_force(revision)
        self.assertTrue(self.serves(2))

    def test_isolated_data_centre_refuses_and_catches_up(self):
        account = "bollette-training"
        with self.fleet.connect(2, account=account) as connection:
            connection.execute("SELECT 1")
            self.fleet.cut(*CUTS_TO_PEERS, (REMOTE, "platform"))
            self.fleet.operate("DELETE", f"/v1/keys/{account}")
            refused = test_configuration.wait_until(
                lambda: test_configuration.fails_with(connection, ""), LIMIT_S
            )
            self.assertIsNotNone(refused)
        self.assertFalse(self.serves(2))
        self.assertTrue(self.serves(0))
        revision = self.put("alone", 7.0)["resourceVersion"]
        self.fleet.cut()
        self.assert_in_force(revision)

    def test_silent_peer_connections_do_not_stop_changes(self):
        self.fleet.silence_peers()
        revision = self.put("silent", 8.0)["resourceVersion"]
        self.assert_in_force(revision)

    def test_slow_platform_fails_no_statement(self):
        self.fleet.change_platform(slow_s=1.0)
        end = time.monotonic() + 5.0
        with self.fleet.connect(0) as near, self.fleet.connect(5) as far:
            while time.monotonic() < end:
                near.execute("SELECT 1")
                far.execute("SELECT 1")
                time.sleep(0.05)
