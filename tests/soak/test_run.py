"""A short soak run."""

import testtools

from soak import run, stop_run

SEED = 5
SECONDS = 8.0
STOPS_SEED = 1
STOPS_SECONDS = 12.0
MIN_SERVED = 50  # without faults, eight callers are served 200 times per second


class RunTests(testtools.TestCase):
    def test_guarantees_hold_under_faults(self):
        violations, served = run.Run(SEED, SECONDS).execute()
        self.assertEqual([], violations)
        self.assertTrue(served > MIN_SERVED, served)


class StopRunTests(testtools.TestCase):
    def test_guarantees_hold_around_planned_stops(self):
        violations, served = stop_run.StopRun(STOPS_SEED, STOPS_SECONDS).execute()
        self.assertEqual([], violations)
        self.assertTrue(served > MIN_SERVED, served)
