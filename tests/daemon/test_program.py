"""Tests of the program that a hosting platform runs."""

import pathlib
import subprocess
import sys

import testtools

ROOT = pathlib.Path(__file__).parents[2]
TIMEOUT_S = 20.0  # for a program that only starts and ends

# Replaces the daemon by one that prints the state of the garbage collector.
STUB = """
import gc, sys, types
daemon = types.ModuleType("hosted")
daemon.main = lambda: print(gc.isenabled(), gc.get_freeze_count() > 0)
sys.modules["pomelograde.daemon.hosted"] = daemon
import pomelograded
pomelograded.main()
"""

# Replaces the daemon by one that gets SIGHUP before it can have a handler.
EARLY_HANGUP_STUB = """
import os, signal, sys, types
daemon = types.ModuleType("hosted")
daemon.main = lambda: (os.kill(os.getpid(), signal.SIGHUP), print("runs"))
sys.modules["pomelograde.daemon.hosted"] = daemon
import pomelograded
pomelograded.main()
"""

# Runs a daemon that ends with the first SIGHUP that it hears of.
HELD_HANGUP_STUB = """
import os, signal, types
from pomelograde.daemon import hangup, runner
from pomelograde.net import steady_reactor
async def do_nothing():
    pass
hangup.hold()
os.kill(os.getpid(), signal.SIGHUP)
reactor = steady_reactor.install()
daemon = types.SimpleNamespace(start=do_nothing, stop=do_nothing)
runner.run(reactor, daemon, lambda: (print("reloads"), reactor.stop()))
"""

# Runs a daemon that gets SIGTERM again while it stops.
SECOND_STOP_STUB = """
import os, signal, types
from pomelograde.daemon import runner
from pomelograde.net import faults, steady_reactor
reactor = steady_reactor.install()
from twisted.internet import task
async def start():
    os.kill(os.getpid(), signal.SIGTERM)
async def stop():
    os.kill(os.getpid(), signal.SIGTERM)
    await task.deferLater(reactor, 0.1)
    print("stopped")
log = types.SimpleNamespace(write=lambda event, **fields: print(event.name))
faults.install(log)
runner.run(reactor, types.SimpleNamespace(start=start, stop=stop), None)
"""


class ProgramTests(testtools.TestCase):
    def run_python(self, *arguments):
        """Return what a Python process in the repository root prints."""
        result = subprocess.run(
            [sys.executable, *arguments],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
            timeout=TIMEOUT_S,
        )
        return result.stdout.strip()

    def test_check_without_settings_loads_the_program(self):
        self.assertEqual("program: ok", self.run_python("pomelograded.py", "--check"))

    def test_daemon_runs_with_garbage_collection(self):
        self.assertEqual("True True", self.run_python("-c", STUB))

    def test_hangup_before_the_daemon_runs_does_not_end_the_process(self):
        self.assertEqual("runs", self.run_python("-c", EARLY_HANGUP_STUB))

    def test_hangup_before_the_daemon_runs_is_handled_once_it_does(self):
        self.assertEqual("reloads", self.run_python("-c", HELD_HANGUP_STUB))

    def test_second_signal_to_stop_is_no_fault(self):
        self.assertEqual("stopped", self.run_python("-c", SECOND_STOP_STUB))
