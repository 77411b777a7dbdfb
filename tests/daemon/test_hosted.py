"""Tests of the program of an instance on a hosting platform."""

import subprocess
import sys
import types

import testtools
from twisted.internet import defer, testing

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

    def start(self):
        pass

    def stop(self):
        pass


class StopTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = testing.MemoryReactorClock()
        self.logged = []
        self.started = defer.Deferred()
        sync = Part(
            start=lambda: self.started,
            leave=lambda: defer.succeed(None),
            configuration=Part(version=1),
        )
        proxy = Part(
            sessions=set(),
            is_busy=False,
            begin_stop=lambda: None,
            relay=Part(pending=set()),
            stopped_sessions=0,
            stopped_statements=0,
        )
        settings = types.SimpleNamespace(
            grace_s=6.0,
            host="127.0.0.1",
            data_centre="x",
            store="s",
            ready_port=1,
            metrics_port=2,
            peer_port=3,
            caller_port=4,
        )
        context = types.SimpleNamespace(
            reactor=self.clock,
            now=self.clock.seconds,
            settings=settings,
            log=types.SimpleNamespace(
                write=lambda event, **fields: self.logged.append(event.name)
            ),
            members=Part(own=Part(build="")),
            peers=Part(listen=lambda host, port: Part(stopListening=lambda: None)),
        )
        self.callers = Part(closing=set())
        self.daemon = hosted.HostedDaemon(
            context,
            sync,
            proxy,
            Part(running={}),
            Part(),
            Part(),
            Part(has_started=False, is_stopping=False, render=None),
            self.callers,
        )

    def test_stop_waits_for_answers_that_a_caller_reads_slowly(self):
        # The process ended, and with it what the socket had not taken yet.
        slow_caller = object()
        self.callers.closing.add(slow_caller)
        stopped = defer.ensureDeferred(self.daemon.stop())
        self.clock.pump([0.05] * 60)
        self.assertEqual(["DAEMON_STOPPING"], self.logged)
        self.callers.closing.discard(slow_caller)
        self.clock.pump([0.05] * 2)
        self.assertEqual(["DAEMON_STOPPING", "DAEMON_STOPPED"], self.logged)
        self.assertTrue(stopped.called)

    def test_start_that_ends_after_the_stop_began_accepts_no_callers(self):
        starting = defer.ensureDeferred(self.daemon.start())
        self.callers.closing.add(object())
        defer.ensureDeferred(self.daemon.stop())
        self.started.callback(None)
        self.assertTrue(starting.called)
        self.assertEqual([1, 2], [server[0] for server in self.clock.tcpServers])
        self.assertEqual(["DAEMON_STARTED", "DAEMON_STOPPING"], self.logged)
