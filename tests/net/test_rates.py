"""Rates of client accounts in a fleet of real processes."""

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
MAX_PLATFORM_COMMITS_PER_S = 4.0
STARTUP_WAIT_S = 8.0


class Load:
    """Callers that send statements at a fixed rate and record the outcomes."""

    def __init__(self, fleet, account=ACCOUNT, **options):
        self.fleet = fleet
        self.options = {"account": account, **options}
        self.sent_at = []
        self.answered_at = []
        self.refusals = []
        self.hints = []

    def run(self, numbers, rate_per_s, seconds):
        """Send statements through the given instances until the time is over.

        Parameters
        ----------
        numbers : list of int
            Instance of each caller; the callers run in parallel.
        rate_per_s : float
            Rate of all callers together.
        seconds : float
            Duration.
        """
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

    def excess_requests(self):
        """Return the number of answers beyond the burst and rate of the whole run."""
        seconds = max(self.answered_at) - min(self.sent_at)
        return len(self.answered_at) - BURST - RATE_PER_S * seconds


@pytest.mark.xdist_group("rates")
class RateTests(testtools.TestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.running = fleets.run_fleet(INSTANCES)
        cls.fleet = cls.running.__enter__()
        time.sleep(STARTUP_WAIT_S)

    @classmethod
    def tearDownClass(cls):
        cls.running.__exit__(None, None, None)
        super().tearDownClass()

    def test_callers_at_one_instance_may_use_most_of_the_rate(self):
        load = Load(self.fleet).run([0] * 4, 0.8 * RATE_PER_S, 4.0)
        self.assertEqual([], load.refusals)
        sent = len(load.sent_at)
        self.assertGreater(self.count_tokens(0, "borrowed"), sent / 4)
        lent = sum(self.count_tokens(number, "lent") for number in range(1, INSTANCES))
        self.assertGreater(lent, sent / 4)

    def count_tokens(self, number, direction):
        metrics = self.fleet.operate("GET", "/v1/status", number=number)["metrics"]
        tokens = metrics["counters"].get("pomelograde_rate_tokens_total", {})
        return tokens.get(direction, 0.0)

    def test_callers_at_one_instance_are_served_in_a_platform_outage(self):
        self.fleet.change_platform(outage=True)
        self.addCleanup(self.fleet.change_platform, outage=False)
        load = Load(self.fleet).run([3] * 4, 0.8 * RATE_PER_S, 4.0)
        self.assertEqual([], load.refusals)

    def test_rate_is_never_exceeded_and_further_requests_are_refused(self):
        load = Load(self.fleet, deadline="0.2")
        load.run([*range(INSTANCES)] * 2, 5 * RATE_PER_S, 5.0)
        self.assertLessEqual(load.excess_requests(), 0.0)
        refused = load.refusals.index("53400")
        self.assertIn("Retry after", load.hints[refused])

    def test_platform_receives_few_commits(self):
        url = f"{self.fleet.platform_url}/control/requests"
        before = http.send("GET", url)["commits"]
        Load(self.fleet).run([0, 1], 0.5 * RATE_PER_S, 3.0)
        commits = http.send("GET", url)["commits"] - before
        self.assertLess(commits / 3.0, MAX_PLATFORM_COMMITS_PER_S)
