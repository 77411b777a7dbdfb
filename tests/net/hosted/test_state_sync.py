"""Tests of the copy of the store's state."""

import types

import testtools
from twisted.internet import defer, task

from pomelograde.core import configuration, membership
from pomelograde.net import events, peer_messages
from pomelograde.net.hosted import state_sync


class Source:
    """Stub of the store; the test answers its calls."""

    class HistoryLostError(Exception):
        pass

    class StoreUnavailableError(Exception):
        pass

    def __init__(self):
        self.calls = []

    def call(self, *arguments):
        self.calls.append(defer.Deferred())
        return self.calls[-1]

    fetch_configuration = fetch_members = fetch_instances = call
    wait_for_configuration = call


class Peers:
    """Records sent messages; the test answers the requests."""

    def __init__(self):
        self.handlers = {}
        self.sent = []
        self.requests = []

    def send(self, instance, message):
        self.sent.append((instance.name, message))

    def request(self, instance, message, timeout_s):
        self.requests.append((instance.name, defer.Deferred()))
        return self.requests[-1][1]

    def receive(self, message, sender):
        envelope = types.SimpleNamespace(sender=sender)
        return self.handlers[type(message)](message, envelope)


def make_instance(name):
    return membership.Instance(name, "x", 1, "127.0.0.1", 2)


def make_answer(age_ms, instances=()):
    return peer_messages.NewsAnswer(
        configuration=0,
        document="",
        configuration_age_ms=age_ms,
        upstreams_digest=0,
        upstreams=[],
        upstreams_age_ms=age_ms,
        instances_digest=0,
        instances=[peer_messages.write_instance(found) for found in instances],
        takeovers=[],
    )


class StateSyncTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.clock.advance(100.0)
        self.logged = []
        self.peers = Peers()
        self.own = make_instance("own")
        context = types.SimpleNamespace(
            reactor=self.clock,
            now=self.clock.seconds,
            peers=self.peers,
            members=membership.Membership(self.own),
            log=types.SimpleNamespace(
                write=lambda event, **_: self.logged.append(event)
            ),
        )
        self.source = Source()
        freshness = configuration.Freshness(5.0)
        self.sync = state_sync.StateSync(context, self.source, freshness)
        defer.ensureDeferred(self.sync.start())

    def fail_calls(self):
        for call in self.source.calls:
            call.errback(self.source.StoreUnavailableError("gone"))

    def test_unavailable_store_is_logged_once(self):
        self.fail_calls()
        self.source.calls.clear()
        self.clock.advance(1.0)
        self.fail_calls()
        self.assertEqual([events.Event.PLATFORM_UNAVAILABLE], self.logged)

    def test_calls_that_fail_because_of_the_shutdown_are_not_logged(self):
        self.sync.stop()
        self.fail_calls()
        self.assertEqual([], self.logged)

    def test_reader_with_stale_state_gets_an_offer(self):
        self.sync._apply_instances([self.own, make_instance("a")], [])
        self.sync.freshness.record_configuration_read(99.9)
        defer.ensureDeferred(self.sync._pull_from_reader(make_instance("a")))
        self.peers.requests[0][1].callback(make_answer(3000))
        ((name, offer),) = self.peers.sent
        self.assertEqual(
            ("a", ["own"]), (name, [found.name for found in offer.instances])
        )

    def test_instance_with_stale_state_sends_no_offer(self):
        self.sync._apply_instances([self.own, make_instance("a")], [])
        defer.ensureDeferred(self.sync._pull_from_reader(make_instance("a")))
        self.peers.requests[0][1].callback(make_answer(3000))
        self.assertEqual([], self.peers.sent)

    def test_state_is_pulled_from_an_unknown_instance_after_its_offer(self):
        new = make_instance("new")
        offer = peer_messages.NewsOffer([peer_messages.write_instance(new)])
        self.peers.receive(offer, "new")
        ((name, asked),) = self.peers.requests
        self.assertEqual("new", name)
        asked.callback(make_answer(100, [self.own, new]))
        self.assertEqual(99.9, round(self.sync.freshness.configuration_at, 2))
        names = [found.name for found in self.sync.fleet.registered]
        self.assertEqual(["new", "own"], names)

    def test_offer_is_ignored_while_the_state_is_recent(self):
        self.sync.freshness.record_configuration_read(99.9)
        offer = peer_messages.NewsOffer([peer_messages.write_instance(self.own)])
        self.peers.receive(offer, "new")
        self.assertEqual([], self.peers.requests)
