"""Tests of the takeover task."""

import types

import attrs
import testtools
from twisted.internet import defer, task

from pomelograde.core import (
    configuration,
    membership,
    placement,
    sessions,
    takeovers,
)
from pomelograde.net import peer_messages, pools
from pomelograde.net.hosted import takeovers as hosted_takeovers


def make_primary():
    return placement.Member("p", "x", role=placement.Role.PRIMARY, leaving=True)


def make_instance(name):
    return membership.Instance(name, "x", 1, "127.0.0.1", 2)


class Source:
    class StoreUnavailableError(Exception):
        pass

    era_since = float("-inf")

    def __init__(self):
        self.begun = []

    def begin_takeover(self, service, holder, row_version):
        self.begun.append((service, holder, row_version))
        return defer.Deferred()


class TakeoverTaskTests(testtools.TestCase):
    """A fleet of the reader, another instance, and a primary that is leaving."""

    def setUp(self):
        super().setUp()
        clock = task.Clock()
        clock.advance(100.0)
        own = make_instance("reader")
        context = types.SimpleNamespace(
            reactor=clock,
            now=clock.seconds,
            peers=types.SimpleNamespace(handlers={}),
            log=types.SimpleNamespace(write=lambda event, **_: None),
            members=types.SimpleNamespace(own=own),
        )
        group = placement.Group("g")
        group.update([make_primary()], 100.0)
        self.source = Source()
        self.fleet = types.SimpleNamespace(
            takeovers={}, registered=[own, make_instance("other")]
        )
        sync = types.SimpleNamespace(
            fleet=self.fleet,
            source=self.source,
            freshness=configuration.Freshness(5.0, 99.9, 99.9),
            is_reader=lambda now: True,
            is_registered=True,
            store_available_since=0.0,
        )
        proxy = types.SimpleNamespace(
            groups={"g": group},
            is_stopping=False,
            set_takeover=lambda takeover: None,
            uses_primary=lambda service: False,
            fence_primary=lambda service: None,
        )
        promoter = types.SimpleNamespace(UnavailableError=ValueError)
        self.group = group
        self.task = hosted_takeovers.TakeoverTask(context, sync, proxy, promoter)

    def learn(self, takeover):
        self.fleet.takeovers[takeover.service] = takeover
        self.task.set_takeovers(self.fleet.takeovers)

    def test_leaving_primary_starts_a_takeover(self):
        self.task._check()
        self.assertEqual([("g", "reader/1", 0)], self.source.begun)

    def test_takeover_that_another_instance_runs_is_not_restarted(self):
        self.learn(takeovers.Takeover("g", "other/1", "", 7, 7))
        self.task._check()
        self.assertEqual([], self.source.begun)

    def test_takeover_of_an_earlier_process_is_restarted(self):
        self.learn(takeovers.Takeover("g", "other/0", "", 7, 7))
        self.task._check()
        self.assertEqual([("g", "reader/1", 7)], self.source.begun)

    def test_unregistered_instance_starts_no_takeover(self):
        self.task.sync.is_registered = False
        self.task._check()
        self.assertEqual([], self.source.begun)

    def test_primary_is_not_suspected_right_after_a_suspension(self):
        suspected = []

        async def confirm(group):
            suspected.append(group.name)
            return False

        self.task._confirm_silence = confirm
        clock = self.task.context.reactor
        primary = self.group.members["p"]
        primary.leaving = False
        primary.position = sessions.Position(1, 1)
        primary.position_at = clock.seconds()
        self.task._check()
        clock.advance(4.0)
        self.task.sync.freshness.record_members_read(clock.seconds())
        for _ in range(9):
            self.task._check()
            clock.advance(0.1)
        self.assertEqual([], suspected)
        for _ in range(3):
            self.task._check()
            clock.advance(0.1)
        self.assertEqual(["g"], suspected)

    def answers(self, error):
        """Return whether a member counts as alive if opening a connection fails."""

        async def fail(*arguments):
            raise error

        self.task.proxy.open_connection = fail
        self.task.proxy.configuration = types.SimpleNamespace(accounts={})
        self.task.context.settings = types.SimpleNamespace(host="127.0.0.1")
        found = []
        asking = self.task._check_member(self.group, self.group.members["p"])
        defer.ensureDeferred(asking).addCallback(found.append)
        return found[0]

    def test_member_that_refuses_a_connection_counts_as_alive(self):
        full = pools.UpstreamOpenError("full", refused=True, is_full=True)
        self.assertTrue(self.answers(full))
        self.assertFalse(self.answers(pools.UpstreamOpenError("no answer")))

    def confirm(self, here, elsewhere, after_s):
        """Check a silent primary; returns the result, or None if there is none yet."""
        clock = self.task.context.reactor
        witness = attrs.evolve(make_instance("witness"), data_centre="y")
        self.fleet.registered.append(witness)
        self.task.context.settings = types.SimpleNamespace(data_centre="x")
        self.group.members["p"].position_at = 98.0

        def answer(found):
            return lambda *_: task.deferLater(clock, 0.5, lambda: found)

        async def answers(group, member):
            return await answer(here)()

        self.task._check_member = answers
        self.task.context.peers.request = answer(peer_messages.WitnessAnswer(elsewhere))
        done = defer.ensureDeferred(self.task._confirm_silence(self.group))
        clock.advance(after_s)
        found = []
        done.addCallback(found.append)
        return found[0] if found else None

    def test_silent_primary_is_checked_here_and_by_a_witness_concurrently(self):
        self.assertIs(True, self.confirm(False, False, 0.5))

    def test_primary_that_answers_here_is_not_replaced(self):
        self.assertIs(False, self.confirm(True, False, 0.5))

    def test_primary_that_answers_a_witness_is_not_replaced(self):
        self.assertIs(False, self.confirm(False, True, 0.5))

    def test_takeover_started_elsewhere_during_the_check_is_not_restarted(self):
        asked = defer.Deferred()

        async def confirm(group):
            await asked
            return True

        self.task._confirm_silence = confirm
        running = self.task._run(self.group, takeovers.Reason.SILENT)
        done = defer.ensureDeferred(running)
        self.learn(takeovers.Takeover("g", "other/1", "", 7, 7))
        asked.callback(None)
        self.assertTrue(done.called)
        self.assertEqual([], self.source.begun)
