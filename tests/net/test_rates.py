"""Rates of client accounts over a fleet of real processes."""

import threading
import time

import psycopg
import pytest
import testtools

from pomelograde.standins import deployments, http
from tests import fleets

INSTANCES = 7
ACCOUNT = deployments.BOLLETTE.accounts[-1]
RATE_PER_S = deployments.SMALL_RATE_PER_S
BURST = deployments.SMALL_RATE_PER_S
PLATFORM_COMMITS_PER_S = 4.0
SETTLING_S = 8.0


class Load:
    """Callers that send statements at a rate and note the outcomes."""

    def __init__(self, fleet, account=ACCOUNT, **options):
        self.fleet = fleet
        self.options = {"account": account, **options}
        self.sent_at = []
        self.answered_at = []
        self.refusals = []
        self.hints = []

    def run(self, numbers, rate_per_s, seconds):
        """Send from one caller at each of these instances; waits for the end."""
        start = time.monotonic() + 0.3
        threads = [
            threading.Thread(
                target=self.call,
                args=(number, start, rate_per_s / len(numbers), seconds),
            )
            for number in numbers
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return self

    def call(self, number, start, rate_per_s, seconds):
        with self.fleet.connect(number, **self.options) as connection:
            for count in range(int(rate_per_s * seconds)):
                delay_s = start + count / rate_per_s - time.monotonic()
                if delay_s > 0.0:
                    time.sleep(delay_s)
                self.send(connection)

    def send(self, connection):
        sent_at = time.monotonic()
        try:
            connection.execute("SELECT 1 AS one")
        except psycopg.Error as error:
            self.refusals.append(error.diag.sqlstate)
            self.hints.append(error.diag.message_hint)
            return
        self.sent_at.append(sent_at)
        self.answered_at.append(time.monotonic())

    def excess(self):
        """Return what was answered above burst and rate, over the whole run."""
        seconds = max(self.answered_at) - min(self.sent_at)
        return len(self.answered_at) - BURST - RATE_PER_S * seconds


@pytest.mark.xdist_group("rates")
class RateTests(testtools.TestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.running = fleets.run_fleet(INSTANCES)
        cls.fleet = cls.running.__enter__()
        time.sleep(SETTLING_S)

    @classmethod
    def tearDownClass(cls):
        cls.running.__exit__(None, None, None)
        super().tearDownClass()

    def test_all_callers_at_one_instance_are_within_the_rate(self):
        load = Load(self.fleet).run([0] * 4, 0.8 * RATE_PER_S, 4.0)
        self.assertEqual([], load.refusals)
        sent = len(load.sent_at)
        self.assertGreater(self.moved(0, "borrowed"), sent / 4)
        lent = sum(self.moved(number, "lent") for number in range(1, INSTANCES))
        self.assertGreater(lent, sent / 4)

    def moved(self, number, direction):
        counters = self.fleet.operate("GET", "/v1/status", number=number)["metrics"]
        found = counters["counters"].get("pomelograde_rate_tokens_total", {})
        return found.get(direction, 0.0)

    def test_the_same_in_a_platform_outage(self):
        self.fleet.change_platform(outage=True)
        self.addCleanup(self.fleet.change_platform, outage=False)
        load = Load(self.fleet).run([3] * 4, 0.8 * RATE_PER_S, 4.0)
        self.assertEqual([], load.refusals)

    def test_five_times_the_rate_is_refused_at_once_and_never_exceeded(self):
        load = Load(self.fleet, deadline="0.2")
        load.run([*range(INSTANCES)] * 2, 5 * RATE_PER_S, 5.0)
        self.assertLessEqual(load.excess(), 0.0)
        refused = load.refusals.index("53400")
        self.assertIn("Retry after", load.hints[refused])

    def test_platform_gets_few_commits(self):
        url = f"{self.fleet.platform_url}/control/requests"
        before = http.send("GET", url)["commits"]
        Load(self.fleet).run([0, 1], 0.5 * RATE_PER_S, 3.0)
        commits = http.send("GET", url)["commits"] - before
        self.assertLess(commits / 3.0, PLATFORM_COMMITS_PER_S)
