"""Tests of the clock that timers go by."""

import subprocess
import sys
import time

import testtools

from pomelograde.net import steady_reactor

STEPPED = """
import time
step = [0.0]
real = time.time
time.time = lambda: real() + step[0]
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
        seen = steady_reactor.SteadyReactor.seconds()
        after = time.clock_gettime(time.CLOCK_BOOTTIME)
        self.assertTrue(before <= seen <= after)

    def test_step_of_the_time_of_day_moves_no_timer(self):
        done = subprocess.run(
            [sys.executable, "-c", STEPPED], capture_output=True, text=True, timeout=60
        )
        self.assertEqual("0.2", done.stdout.strip(), done.stderr)
