"""Tests of the program of an instance on a hosting platform."""

import subprocess
import sys
import types

import testtools
from twisted.internet import defer, task

from pomelograde.daemon import hosted

# Packages that are not installed on a hosting platform, or take memory in each
# instance but serve other daemons or are needed late or never.
HEAVY_MODULES = (
    "absl.logging",
    "construct",
    "pglast",
    "prometheus_client",
    "scramp",
    "treq",
    "twisted.web.client",
    "twisted.web.server",
    "xml.dom.minidom",
)
LIST_MODULES = (
    "import sys, pomelograde.daemon.hosted; print(' '.join(sorted(sys.modules)))"
)


class ImportTests(testtools.TestCase):
    def test_modules_that_the_start_does_not_need_are_not_loaded(self):
        listed = subprocess.run(
            [sys.executable, "-c", LIST_MODULES], capture_output=True, check=True
        )
        loaded = listed.stdout.decode().split()
        self.assertIn("pomelograde.daemon.hosted", loaded)
        self.assertEqual([], [name for name in HEAVY_MODULES if name in loaded])


class Part:
    """Component of an instance that has nothing to do."""

    def __init__(self, **attributes):
        self.__dict__.update(attributes)

    def stop(self):
        pass


class StopTests(testtools.TestCase):
    def test_stop_waits_for_answers_that_a_caller_reads_slowly(self):
        # The process ended, and with it what the socket had not taken yet.
        clock = task.Clock()
        logged = []
        sync = Part(leave=lambda: defer.succeed(None))
        relay = Part(pending=set())
        proxy = Part(
            sessions=set(),
            is_busy=False,
            begin_stop=lambda: None,
            relay=relay,
            stopped_sessions=0,
            stopped_statements=0,
        )
        context = types.SimpleNamespace(
            reactor=clock,
            now=clock.seconds,
            settings=types.SimpleNamespace(grace_s=6.0),
            log=types.SimpleNamespace(
                write=lambda event, **fields: logged.append(event.name)
            ),
            peers=Part(),
        )
        slow_caller = object()
        callers = Part(closing={slow_caller})
        daemon = hosted.HostedDaemon(
            context, sync, proxy, Part(running={}), Part(), Part(), callers
        )
        stopped = defer.ensureDeferred(daemon.stop())
        clock.pump([0.05] * 60)
        self.assertEqual(["DAEMON_STOPPING"], logged)
        callers.closing.discard(slow_caller)
        clock.pump([0.05] * 2)
        self.assertEqual(["DAEMON_STOPPING", "DAEMON_STOPPED"], logged)
        self.assertTrue(stopped.called)
