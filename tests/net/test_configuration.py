"""Tests of configuration changes under faults, with real daemons."""

import signal
import time
import urllib.error

import psycopg
import pytest
import testtools

from tests import fleets

IN_FORCE_LIMIT_S = 3.0


def wait_until(condition, limit_s):
    """Return the seconds until a condition holds, or None after the limit."""
    started = time.monotonic()
    while time.monotonic() - started < limit_s:
        if condition():
            return time.monotonic() - started
        time.sleep(0.02)
    return None


def fails_with(connection, text):
    """Return whether a statement is refused with a message that holds a text."""
    try:
        connection.execute("SELECT 1")
    except psycopg.Error as error:
        return text in str(error)
    return False


class FleetCase(testtools.TestCase):
    """Base class with a fleet of three instances in three data centres."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.running = fleets.run_fleet(instances=3)
        cls.fleet = cls.running.__enter__()

    @classmethod
    def tearDownClass(cls):
        cls.running.__exit__(None, None, None)
        super().tearDownClass()

    def tearDown(self):
        self.fleet.change_platform(outage=False, silent=False, lose_answers=0)
        super().tearDown()

    def revision(self, number):
        return self.fleet.operate("GET", "/v1/status", number=number)["revision"]

    def put_rate(self, rate, number=0, name=fleets.ACCOUNT):
        spec = {"rate_per_s": rate, "burst": rate}
        return self.fleet.operate("PUT", f"/v1/accounts/{name}", {"spec": spec}, number)

    def wait_until_in_force(self, revision):
        return wait_until(
            lambda: all(self.revision(n) >= revision for n in range(3)),
            IN_FORCE_LIMIT_S,
        )


@pytest.mark.xdist_group("configuration")
class PropagationTests(FleetCase):
    def test_change_is_in_force_everywhere(self):
        revision = self.put_rate(401.0)["resourceVersion"]
        self.assertIsNotNone(self.wait_until_in_force(revision))

    def test_commit_with_a_lost_answer_is_applied_once(self):
        before = self.put_rate(402.0)["resourceVersion"]
        self.fleet.change_platform(lose_answers=1)
        after = self.put_rate(403.0)["resourceVersion"]
        self.assertEqual(before + 1, after)
        self.assertIsNotNone(self.wait_until_in_force(after))

    def test_change_during_an_outage_is_refused_as_not_accepted(self):
        self.fleet.change_platform(outage=True)
        error = self.assertRaises(urllib.error.HTTPError, self.put_rate, 404.0)
        self.assertEqual(503, error.code)
        self.assertIn("not accepted", error.read().decode())

    def test_connected_instances_serve_during_a_platform_outage(self):
        with self.fleet.connect(0) as connection:
            self.fleet.change_platform(outage=True)
            end = time.monotonic() + 5.0
            while time.monotonic() < end:
                connection.execute("SELECT 1")
                time.sleep(0.05)

    def test_instance_starts_from_peers_during_a_platform_outage(self):
        self.fleet.change_platform(outage=True)
        first = self.fleet.settings[0]
        seed = {
            "name": first["instance"],
            "data_centre": first["data_centre"],
            "host": "127.0.0.1",
            "peer_port": first["addresses"]["peer_port"],
        }
        number = self.fleet.add_daemon("catania", seeds=[seed])
        self.fleet.wait()
        self.assertEqual(self.revision(0), self.revision(number))
        with self.fleet.connect(number) as connection:
            connection.execute("SELECT 1")


@pytest.mark.xdist_group("killed")
class KilledInstanceTests(FleetCase):
    def test_killed_instance_does_not_stop_the_others_during_an_outage(self):
        with self.fleet.connect(0) as connection:
            self.fleet.change_platform(outage=True)
            self.fleet.daemons[2].kill()
            end = time.monotonic() + 6.0
            while time.monotonic() < end:
                connection.execute("SELECT 1")
                time.sleep(0.05)


@pytest.mark.xdist_group("freshness")
class FreshnessTests(FleetCase):
    def test_paused_instance_refuses_a_key_withdrawn_during_the_pause(self):
        account = "bollette-training"
        with self.fleet.connect(2, account=account) as connection:
            connection.execute("SELECT 1")
            child = self.fleet.daemons[2]
            child.send_signal(signal.SIGSTOP)
            try:
                self.fleet.operate("DELETE", f"/v1/keys/{account}")
                time.sleep(3.0)
            finally:
                child.send_signal(signal.SIGCONT)
            error = self.assertRaises(psycopg.Error, connection.execute, "SELECT 1")
            self.assertIn("not run", str(error))

    def test_instance_without_recent_confirmation_refuses(self):
        with self.fleet.connect(0) as connection:
            connection.execute("SELECT 1")
            others = [self.fleet.daemons[1], self.fleet.daemons[2]]
            for child in others:
                child.send_signal(signal.SIGSTOP)
            try:
                self.fleet.change_platform(outage=True)
                refused = wait_until(
                    lambda: fails_with(connection, "is current"), IN_FORCE_LIMIT_S
                )
            finally:
                for child in others:
                    child.send_signal(signal.SIGCONT)
            self.assertIsNotNone(refused)
        self.fleet.change_platform(outage=False)
        served = wait_until(self.serves, IN_FORCE_LIMIT_S)
        self.assertIsNotNone(served)

    def serves(self):
        try:
            with self.fleet.connect(0) as connection:
                connection.execute("SELECT 1")
        except psycopg.Error:
            return False
        return True
