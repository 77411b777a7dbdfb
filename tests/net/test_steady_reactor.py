"""Tests of the clock that schedules timers."""

import subprocess
import sys
import time

import testtools

from pomelograde.net import steady_reactor

STEP_CLOCK_SCRIPT = """
import time
step = [0.0]
real_time = time.time
time.time = lambda: real_time() + step[0]
from twisted.python import runtime
runtime.seconds = time.time
runtime.platform.seconds = time.time
from pomelograde.daemon import main
from pomelograde.net import steady_reactor
reactor = steady_reactor.install()
fired = []
before = reactor.seconds()
reactor.callLater(0.2, lambda: (fired.append(reactor.seconds()), reactor.stop()))
reactor.callLater(0.0, step.__setitem__, 0, 3600.0)
reactor.run()
print(round(fired[0] - before, 1))
"""


class SteadyReactorTests(testtools.TestCase):
    def test_clock_counts_suspended_time(self):
        before = time.clock_gettime(time.CLOCK_BOOTTIME)
        seconds = steady_reactor.SteadyReactor.seconds()
        after = time.clock_gettime(time.CLOCK_BOOTTIME)
        self.assertTrue(before <= seconds <= after)

    def test_timers_are_unaffected_by_a_step_of_the_wall_clock(self):
        done = subprocess.run(
            [sys.executable, "-c", STEP_CLOCK_SCRIPT],
            capture_output=True,
            text=True,
            timeout=60,
        )
        self.assertEqual("0.2", done.stdout.strip(), done.stderr)
