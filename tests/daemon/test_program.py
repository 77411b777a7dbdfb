"""Tests of the program that a hosting platform runs."""

import pathlib
import subprocess
import sys

import testtools

ROOT = pathlib.Path(__file__).parents[2]

# Replaces the daemon by one that prints the state of the garbage collector.
STUB = """
import gc, sys, types
daemon = types.ModuleType("hosted")
daemon.main = lambda: print(gc.isenabled(), gc.get_freeze_count() > 0)
sys.modules["pomelograde.daemon.hosted"] = daemon
import pomelograded
pomelograded.main()
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
        )
        return result.stdout.strip()

    def test_check_without_settings_loads_the_program(self):
        self.assertEqual("program: ok", self.run_python("pomelograded.py", "--check"))

    def test_daemon_runs_with_garbage_collection(self):
        self.assertEqual("True True", self.run_python("-c", STUB))
