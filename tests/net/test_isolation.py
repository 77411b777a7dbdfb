"""Errors in one reader of the PostgreSQL side, which must stop no other one."""

import random
import types

import testtools
from twisted.internet import task

from pomelograde.core import membership, resources
from pomelograde.net import (
    configuration,
    events,
    gateway,
    group_watch,
    groups,
    peers,
)
from pomelograde.net import membership as net_membership

OWN = membership.Instance("suva-1", "suva", 1, "127.0.0.1", 7432)
MEMBER = resources.MemberSpec("a", "127.0.0.1", 5432, "suva")
SERVICE = resources.DatabaseService([MEMBER])


def fail(*arguments):
    raise RuntimeError


class IsolationCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.logged = []
        log = types.SimpleNamespace(
            write=lambda event, **fields: self.logged.append(event)
        )
        self.context = types.SimpleNamespace(
            reactor=self.clock,
            now=self.clock.seconds,
            log=log,
            members=membership.Membership(OWN),
            random=random.Random(1),
            platform=None,
            settings=types.SimpleNamespace(
                configuration=types.SimpleNamespace(stale_after_s=2.5)
            ),
        )
        self.context.peers = peers.PeerTask(self.context, None)
        self.configuration = configuration.ConfigurationTask(self.context, None)

    def count_faults(self):
        return self.logged.count(events.Event.INTERNAL_FAULT)

    def apply(self, *changes):
        revision = max(change.revision for change in changes)
        after = self.configuration.current.revision
        batch = resources.Batch(after, revision, list(changes))
        return self.configuration.apply_batch(batch)


class ConfigurationTests(IsolationCase):
    def test_error_of_one_listener_hides_no_change_from_the_next(self):
        found = []
        self.configuration.listeners += [fail, found.append]
        account = resources.ClientAccount(1.0, 1.0)
        outcome = self.apply(resources.Resource("accounts", "desk", account, 1))
        self.assertIsInstance(outcome, resources.Applied)
        self.assertEqual(1, len(found))
        self.assertEqual(1, self.count_faults())


class GatewayTests(IsolationCase):
    def setUp(self):
        super().setUp()
        self.started = []
        admission = types.SimpleNamespace(start=lambda: None, stop=lambda: None)
        self.gateway = gateway.Gateway(self.context, self.configuration, admission)
        self.patch(groups, "GroupTask", self.make_group)

    def make_group(self, context, name, spec):
        if name == "bad":
            raise RuntimeError
        return types.SimpleNamespace(
            spec=spec, start=lambda: self.started.append(name), stop=lambda: None
        )

    def test_error_of_one_service_stops_neither_the_others_nor_the_keys(self):
        self.gateway.start()
        self.addCleanup(self.gateway.stop)
        closed = []
        self.gateway._close_unauthorized = closed.append
        self.apply(
            *(
                resources.Resource("services", name, SERVICE, revision)
                for revision, name in enumerate(("bad", "meters"), start=1)
            )
        )
        self.assertEqual(["meters"], self.started)
        self.assertEqual([self.configuration.current], closed)
        self.assertEqual(1, self.count_faults())

    def test_error_at_one_deadline_delays_no_other(self):
        expired = []
        self.gateway.exchanges = [
            types.SimpleNamespace(deadline=0.5, done=False, expire=fail),
            types.SimpleNamespace(
                deadline=0.5, done=False, expire=lambda: expired.append(1)
            ),
        ]
        self.gateway.start()
        self.addCleanup(self.gateway.stop)
        self.clock.pump([0.1] * 10)
        self.assertTrue(len(expired) > 1, "the checks have stopped")


class LoopTests(IsolationCase):
    def test_heartbeats_go_on_after_an_error(self):
        running = net_membership.MembershipTask(
            self.context,
            types.SimpleNamespace(instances=fail),
            types.SimpleNamespace(current=types.SimpleNamespace(revision=0)),
        )
        calls = []

        def tick(now):
            calls.append(now)
            raise RuntimeError

        running.detector.tick = tick
        running.instance_list_loop = None
        self.addCleanup(running.stop)
        for _ in range(3):
            try:
                running._on_heartbeat_due()
            except RuntimeError:
                break
        for _ in range(10):
            try:
                self.clock.advance(0.5)
            except RuntimeError:
                continue
        self.assertTrue(len(calls) > 5, calls)

    def test_list_of_instances_is_read_again_after_an_error(self):
        calls = []

        async def instances():
            calls.append(1)
            raise RuntimeError

        running = net_membership.MembershipTask(
            self.context,
            types.SimpleNamespace(instances=instances),
            types.SimpleNamespace(current=types.SimpleNamespace(revision=0)),
        )
        running.start()
        self.addCleanup(running.stop)
        self.clock.pump([0.5] * 20)
        self.assertTrue(len(calls) >= 5, calls)

    def test_group_is_watched_after_an_error(self):
        calls = []

        def tick():
            calls.append(1)
            raise RuntimeError

        group = types.SimpleNamespace(
            name="meters",
            view=types.SimpleNamespace(members={}),
            pools={},
            member_connections=types.SimpleNamespace(close=lambda: None),
        )
        watch = group_watch.WatchTask(self.context, group)
        watch._tick = tick
        watch.start()
        self.addCleanup(watch.stop)
        self.clock.pump([0.05] * 20)
        self.assertTrue(len(calls) > 10, calls)
