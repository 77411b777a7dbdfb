"""A short run, as part of every check."""

import testtools

from soak import run

SEED = 5
SECONDS = 8.0
LEAST_SERVED = 50  # eight callers are served 200 times a second while nothing is wrong


class RunTests(testtools.TestCase):
    def test_promises_are_kept_under_faults(self):
        broken, served = run.Run(SEED, SECONDS).play()
        self.assertEqual([], broken)
        self.assertTrue(served > LEAST_SERVED, served)
