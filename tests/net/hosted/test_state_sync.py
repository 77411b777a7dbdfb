"""Tests of the copy of the store's state."""

import random
import types

import attrs
import testtools
from twisted.internet import defer, task
from twisted.python import failure

from pomelograde.core import configuration, membership, placement, takeovers
from pomelograde.net import events, peer_messages, peers
from pomelograde.net.hosted import restored_start, state_sync
from pomelograde.platform import source

MEMBERS = {"g": [placement.Member(name="m", data_centre="x", host="h", port=1)]}


class Source:
    """Stub of the store; the test answers its calls."""

    class HistoryLostError(Exception):
        pass

    class StoreUnavailableError(Exception):
        pass

    class InvalidConfigurationError(Exception):
        pass

    rows_era = 0
    era = 0
    era_since = float("-inf")
    settled_era = None
    rows = {}

    def __init__(self):
        self.calls = []
        self.ended = []

    def call(self, *arguments):
        self.calls.append(defer.Deferred())
        return self.calls[-1]

    def parse_configuration(self, text):
        return configuration.FleetConfiguration(version=int(text))

    def end_takeover(self, takeover, successor):
        self.ended.append(takeover)
        return defer.Deferred()

    fetch_configuration = fetch_members = fetch_instances = call
    wait_for_configuration = end_registration = call


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


def make_takeover(revision):
    return takeovers.Takeover("g", "", "m", revision - 1, revision)


def make_answer(age_ms, instances=(), takeovers=(), **fields):
    return peer_messages.NewsAnswer(
        configuration=0,
        document="",
        configuration_age_ms=age_ms,
        upstreams_digest=0,
        upstreams=[],
        upstreams_age_ms=age_ms,
        instances_digest=0,
        instances=[peer_messages.write_instance(found) for found in instances],
        takeovers=[state_sync.encode_takeover(found) for found in takeovers],
        **fields,
    )


class SyncTestCase(testtools.TestCase):
    """An instance that has asked the store for the configuration and the members."""

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
            random=random.Random(1),
            settings=types.SimpleNamespace(member_heartbeat_s=1.2),
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

    def fetch(self, members=None, instances=None):
        """Read the lists; each is an answer or an exception."""
        defer.ensureDeferred(self.sync._fetch_members_and_instances())
        self.source.calls[-1].callback(members)
        self.source.calls[-1].callback(instances)


class StateSyncTests(SyncTestCase):
    def test_start_without_the_store_uses_the_state_of_another_instance(self):
        self.source.register = self.source.call
        for call in self.source.calls[:2]:
            call.errback(self.source.StoreUnavailableError())
        other = make_instance("other")
        self.peers.receive(
            peer_messages.NewsOffer([peer_messages.write_instance(other)], 5), "other"
        )
        ((name, reply),) = self.peers.requests
        self.assertEqual("other", name)
        answer = make_answer(10, [other], configuration_version=5)
        reply.callback(attrs.evolve(answer, document="5"))
        self.assertEqual(5, self.sync.configuration.version)
        reads = len(self.source.calls)
        self.clock.advance(restored_start.RETRY_INTERVAL_S)
        self.assertEqual(reads + 1, len(self.source.calls))
        self.source.calls[-1].callback(self.own)
        self.source.calls[-1].callback(([self.own, other], []))
        self.assertIsNotNone(self.sync.loop)

    def test_primary_leases_are_renewed_as_soon_as_an_instance_has_started(self):
        leases = []
        freshness = self.sync.freshness
        self.sync.on_refreshed = lambda: leases.append(freshness.primary_lease_until())
        self.source.register = self.source.call
        document, members = self.source.calls
        document.callback(source.ConfigurationDocument("7", 7, 9, 99.0))
        members.callback(self.read_members(99.0))
        self.source.calls[-1].callback(self.own)
        self.source.calls[-1].callback(([self.own], []))
        self.assertTrue(leases[-1] > self.clock.seconds(), leases)

    def test_members_are_not_recent_before_the_takeovers_were_read(self):
        # Another instance would use a primary that a takeover holds.
        self.source.register = self.source.call
        document, members = self.source.calls
        document.callback(source.ConfigurationDocument("7", 7, 9, 99.0))
        members.callback(self.read_members(99.0))
        registering = self.source.calls[-1]
        request = peer_messages.NewsRequest(0, 0, 0)
        answer = self.peers.receive(request, "other")
        self.assertEqual(state_sync.UNKNOWN_AGE_MS, answer.upstreams_age_ms)
        registering.callback(self.own)
        self.source.calls[-1].callback(([self.own], []))
        answer = self.peers.receive(request, "other")
        self.assertEqual(1001, answer.upstreams_age_ms)

    def poll(self, age_s):
        """Poll with a configuration of an age; returns how long the store waits."""
        waits = []

        def wait(revision, wait_s):
            waits.append(wait_s)
            return defer.Deferred()

        self.source.wait_for_configuration = wait
        self.sync.freshness = configuration.Freshness(5.0, 100.0 - age_s)
        defer.ensureDeferred(self.sync._poll_configuration())
        return waits[0]

    def test_first_poll_does_not_make_a_reader_suspected_of_old_news(self):
        for age_s in (0.01, 0.2, 0.5, 0.9):
            wait_s = self.poll(age_s)
            reached_s = age_s + wait_s + state_sync.PEER_TIMEOUT_S
            self.assertTrue(reached_s <= state_sync.STALE_AFTER_S, (age_s, wait_s))
            self.assertTrue(wait_s > 0.0)
        self.assertEqual(state_sync.LONG_POLL_S, self.poll(0.01))
        self.assertEqual(0.0, self.poll(2.0))

    def read_evacuations(self, revision, *names, as_of=99.0):
        read = placement.EvacuationsRead(frozenset(names), 1, revision, as_of)
        self.sync._apply_evacuations(read)

    def exchange(self, digest=None):
        """Return this instance's answer about evacuations, packed and unpacked."""
        if digest is None:
            digest = self.sync.fleet.evacuations_digest
        request = peer_messages.NewsRequest(0, 0, 0, evacuations_digest=digest)
        answer = self.peers.receive(request, "other")
        envelope = peer_messages.Envelope("own", 1, 1, True, answer)
        return peer_messages.unpack(peer_messages.pack(envelope)).message

    def test_evacuations_reach_other_instances_once(self):
        self.read_evacuations(7, "x", "y")
        answer = self.exchange(digest=5)
        self.assertEqual([], self.exchange().evacuations)
        names = [found.data_centre for found in answer.evacuations]
        self.assertEqual(["x", "y"], names)
        other = state_sync.StateSync(
            self.sync.context, self.source, self.sync.freshness
        )
        changes = []
        other.on_evacuations = lambda: changes.append(1)
        for _ in range(2):
            other._apply_evacuations(other._decode_evacuations(answer, 100.0))
        self.assertEqual([1], changes)
        self.assertEqual({"x", "y"}, other.fleet.evacuations.data_centres)
        self.assertAlmostEqual(99.0, other.fleet.evacuations.as_of, 2)

    def test_late_answer_does_not_bring_older_evacuations_back(self):
        self.read_evacuations(7, "x")
        late = self.exchange(digest=5)
        self.read_evacuations(9)
        self.sync._apply_answer(self.own, late, 100.0)
        self.assertEqual(frozenset(), self.sync.fleet.evacuations.data_centres)

    def test_unchanged_list_is_not_taken_for_an_empty_one(self):
        self.read_evacuations(7, "x")
        left_out = self.exchange()
        self.read_evacuations(7, "x", "y")
        self.sync._apply_answer(self.own, left_out, 100.0)
        self.assertEqual({"x", "y"}, self.sync.fleet.evacuations.data_centres)

    def test_answer_of_an_earlier_build_says_nothing_about_evacuations(self):
        self.read_evacuations(7, "x")
        self.sync._apply_answer(self.own, make_answer(100), 100.0)
        self.assertEqual({"x"}, self.sync.fleet.evacuations.data_centres)
        fresh = state_sync.StateSync(
            self.sync.context, self.source, self.sync.freshness
        )
        answer = fresh._on_news_request(
            peer_messages.NewsRequest(0, 0, 0), types.SimpleNamespace(sender="a")
        )
        self.assertEqual(0, answer.evacuations_digest)

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

    def suspect_all(self, count):
        """Suspect `count` other instances, which precede this one by name."""
        others = [make_instance(f"a{number:02d}") for number in range(count)]
        self.sync._apply_instances([*others, self.own], [])
        for other in others:
            self.sync.suspected_until[other.name] = self.clock.seconds() + 60.0
        return others

    def count_calls(self, seconds):
        """Return the calls to a store that refuses each, while the state is old."""
        made = len(self.source.calls)
        for _ in range(round(seconds / state_sync.SYNC_INTERVAL_S)):
            self.sync._sync_once()
            for call in self.source.calls:
                if not call.called:
                    call.errback(self.source.StoreUnavailableError("busy"))
            self.clock.pump([0.0, state_sync.SYNC_INTERVAL_S])
        return len(self.source.calls) - made

    def test_large_fleet_asks_a_store_that_refuses_all_less_often(self):
        self.fail_calls()
        self.sync.stop()
        self.clock.advance(1.0)
        self.sync.is_stopped = False
        self.suspect_all(5)
        small = self.count_calls(10.0)
        self.suspect_all(80)
        large = self.count_calls(10.0)
        self.assertTrue(large <= 0.6 * small, (large, small))
        self.assertTrue(large >= 10, large)

    def give_state(self):
        """Let the store answer the members and instances that were asked for."""
        self.sync.freshness.record_configuration_read(self.clock.seconds())
        fetching = self.sync._fetch_members_and_instances()
        defer.ensureDeferred(fetching)
        self.source.calls[-1].callback(
            source.MemberRows({}, {}, 0, self.clock.seconds())
        )
        self.source.calls[-1].callback((self.sync.fleet.instances, []))

    def test_instance_that_reaches_the_store_again_offers_its_state(self):
        others = self.suspect_all(3)
        self.sync._sync_once()
        self.give_state()
        self.assertEqual([], self.peers.sent)
        self.clock.advance(state_sync.OFFER_SPREAD_S)
        self.assertEqual(
            [found.name for found in others], [name for name, _ in self.peers.sent]
        )

    # Guards against a second registration, with another incarnation, right after one.
    def test_list_read_before_the_own_registration_is_ignored(self):
        self.sync.loop = task.LoopingCall(self.sync._sync_once)
        reader = make_instance("a")
        registered = attrs.evolve(self.own, incarnation=7)
        self.source.register = lambda _: defer.succeed(registered)
        self.source.calls.clear()
        defer.ensureDeferred(self.sync._register())
        self.source.calls.pop().callback(([reader, registered], []))
        defer.ensureDeferred(self.sync._pull_from_reader(reader))
        self.peers.requests[-1][1].callback(make_answer(200, [reader]))
        self.assertTrue(self.sync.is_registered)
        self.assertFalse(self.sync.is_registering)
        self.assertEqual(7, self.sync.context.members.own.incarnation)

    # Guards against a lost instance that is noticed late after an outage.
    def test_instance_registered_before_an_outage_is_probed_at_its_end(self):
        self.sync.loop = task.LoopingCall(self.sync._sync_once)
        self.sync.freshness.record_configuration_read(self.clock.seconds())
        self.sync._apply_instances([self.own, make_instance("z")], [])
        self.sync._set_store_available(False, "busy")
        self.count_calls(4.0)
        self.peers.requests.clear()
        self.sync._set_store_available(True)
        ((name, asked),) = self.peers.requests
        self.assertEqual("z", name)
        self.clock.advance(0.1)
        asked.errback(peers.PeerUnreachableError())
        self.sync._sync_once()
        self.assertIn(events.Event.REGISTRATION_ENDED, self.logged)

    def test_offer_of_another_instance_makes_an_own_one_needless(self):
        others = self.suspect_all(3)
        self.sync._sync_once()
        self.give_state()
        offer = peer_messages.NewsOffer([peer_messages.write_instance(others[1])])
        self.peers.receive(offer, others[1].name)
        self.clock.advance(state_sync.OFFER_SPREAD_S)
        self.assertEqual([], self.peers.sent)

    def test_sender_of_an_offer_is_asked_again(self):
        others = self.suspect_all(3)
        offer = peer_messages.NewsOffer([peer_messages.write_instance(others[1])])
        self.peers.receive(offer, others[1].name)
        reader = self.sync._find_reader(self.clock.seconds())
        self.assertEqual(others[1].name, reader.name)

    def apply_document(self, version, at, as_text=True):
        """Let the store return a configuration of a version, or no change."""
        text = str(version) if as_text else ""
        document = source.ConfigurationDocument(text, version, 0, at)
        self.sync._apply_document(document)
        return self.sync.freshness.configuration_at

    def test_older_configuration_of_a_restored_store_confirms_nothing(self):
        self.assertEqual(10.0, self.apply_document(7, 10.0))
        self.assertEqual(10.0, self.apply_document(5, 11.0))
        self.assertEqual(10.0, self.apply_document(5, 12.0, as_text=False))
        self.assertEqual(7, self.sync.configuration.version)
        self.assertIn(events.Event.CONFIGURATION_OUTDATED, self.logged)
        self.assertEqual(13.0, self.apply_document(7, 13.0))
        self.assertEqual(14.0, self.apply_document(7, 14.0, as_text=False))

    def receive(self, answer):
        self.peers.sent.clear()
        self.sync._apply_answer(make_instance("a"), answer, self.clock.seconds())
        return [message for _, message in self.peers.sent]

    def test_lists_older_than_those_in_use_are_not_applied(self):
        self.receive(make_answer(100, [self.own, make_instance("a")]))
        self.receive(make_answer(200, [self.own, make_instance("gone")]))
        names = [found.name for found in self.sync.fleet.registered]
        self.assertEqual(["a", "own"], names)

    def test_takeover_of_an_older_list_is_applied_if_it_is_newer(self):
        self.receive(make_answer(100, [self.own]))
        self.receive(make_answer(200, [self.own], [make_takeover(9)]))
        self.assertEqual(9, self.sync.fleet.takeovers["g"].row_version)

    def test_instance_without_the_last_takeover_is_told_of_it(self):
        self.sync.apply_takeover(make_takeover(9))
        (told,) = self.receive(make_answer(0, [self.own], [make_takeover(5)]))
        self.assertEqual(9, told.takeover[0].row_version)
        self.assertEqual(
            [], self.receive(make_answer(0, [self.own], [make_takeover(9)]))
        )

    def test_reader_without_a_takeover_in_progress_is_told_of_it(self):
        # A restored store may have lost it, and its holder may have been replaced.
        begun = attrs.evolve(make_takeover(9), holder="gone/3", successor="")
        self.sync.apply_takeover(begun)
        (told,) = self.receive(make_answer(0, [self.own], [make_takeover(5)]))
        self.assertEqual("gone/3", told.takeover[0].holder)
        answer = make_answer(0, [self.own], [begun])
        self.assertEqual([], self.receive(answer))

    def test_instance_with_an_older_configuration_gets_an_offer(self):
        self.apply_document(7, 10.0)
        (offer,) = self.receive(make_answer(0, configuration_version=5))
        self.assertEqual(7, offer.configuration_version)
        self.assertEqual([], self.receive(make_answer(0, configuration_version=7)))

    def test_state_is_pulled_after_an_offer_of_a_newer_configuration(self):
        self.apply_document(5, self.clock.seconds())
        own = peer_messages.write_instance(self.own)
        for version, requested in ((5, 0), (7, 1)):
            self.peers.receive(peer_messages.NewsOffer([own], version), "new")
            self.assertEqual(requested, len(self.peers.requests))

    def read_lists(self, listed):
        """Let the store return takeovers; returns what is recorded again."""
        self.source.ended.clear()
        self.sync._check_era(listed)
        return [found.row_version for found in self.source.ended]

    def test_takeover_that_the_store_has_lost_is_recorded_again(self):
        self.sync.apply_takeover(make_takeover(9))
        self.assertEqual([], self.read_lists([make_takeover(5)]))
        self.assertEqual([9], self.read_lists([make_takeover(5)]))
        self.assertEqual([], self.read_lists([make_takeover(12)]))

    def test_takeover_that_ended_between_two_reads_is_not_recorded_again(self):
        self.sync.apply_takeover(make_takeover(9))
        self.assertEqual([], self.read_lists([make_takeover(5)]))
        self.assertEqual([], self.read_lists([make_takeover(9)]))

    def make_faults(self):
        """Return an exception of each kind with which a read may fail."""
        return OverflowError(), self.source.StoreUnavailableError("status 503")

    def read_members(self, at):
        return source.MemberRows(MEMBERS, {"m": 1}, 0, at)

    def test_fault_among_the_members_leaves_instances_and_takeovers_followed(self):
        for revision, fault in enumerate(self.make_faults(), start=5):
            others = [make_instance(f"a{revision}"), self.own]
            self.fetch(failure.Failure(fault), (others, [make_takeover(revision)]))
            self.assertEqual(others, self.sync.fleet.registered)
            self.assertEqual(revision, self.sync.fleet.takeovers["g"].row_version)
        self.assertEqual(1, self.logged.count(events.Event.INTERNAL_FAULT))
        self.assertFalse(self.sync.is_fetching)

    def test_fault_among_the_instances_leaves_the_members_followed(self):
        for fault in self.make_faults():
            self.sync._apply_members({}, 100.0)
            self.fetch(self.read_members(200.0), failure.Failure(fault))
            self.assertEqual(MEMBERS, self.sync.fleet.members)
        self.assertEqual(1, self.logged.count(events.Event.INTERNAL_FAULT))

    def test_only_members_and_takeovers_together_extend_primary_leases(self):
        before = self.sync.freshness.members_at
        for fault in self.make_faults():
            self.fetch(failure.Failure(fault), ([self.own], []))
            self.fetch(self.read_members(200.0), failure.Failure(fault))
            self.assertEqual(before, self.sync.freshness.members_at)
        self.fetch(self.read_members(201.0), ([self.own], []))
        self.assertEqual(201.0, self.sync.freshness.members_at)

    def test_leases_are_extended_by_others_while_one_table_fails_here(self):
        self.fetch(self.read_members(100.0), failure.Failure(self.make_faults()[1]))
        self.receive(make_answer(500))
        self.assertAlmostEqual(99.5, self.sync.freshness.members_at, 2)
        self.assertEqual(MEMBERS, self.sync.fleet.members)

    def test_fault_of_a_poll_is_logged_and_the_next_one_succeeds(self):
        self.fail_calls()
        self.source.calls.clear()
        defer.ensureDeferred(self.sync._poll_configuration())
        self.source.calls[-1].errback(OverflowError())
        self.assertIn(events.Event.INTERNAL_FAULT, self.logged)
        self.assertFalse(self.sync.is_polling)
        defer.ensureDeferred(self.sync._poll_configuration())
        document = source.ConfigurationDocument("7", 7, 9, 100.0)
        self.source.calls[-1].callback(document)
        self.assertEqual((7, 9), (self.sync.configuration.version, 9))

    def test_fault_at_the_start_is_retried_and_leaves_the_other_table_in_use(self):
        configuration_call, members_call = self.source.calls
        configuration_call.errback(OverflowError())
        members_call.callback(self.read_members(100.0))
        self.assertEqual(MEMBERS, self.sync.fleet.members)
        self.clock.advance(restored_start.RETRY_INTERVAL_S)
        self.source.register = self.source.call
        configuration_call, members_call = self.source.calls[2:]
        document = source.ConfigurationDocument("7", 7, 9, 100.2)
        configuration_call.callback(document)
        members_call.callback(self.read_members(100.2))
        self.source.calls[-1].errback(OverflowError())
        self.assertEqual(7, self.sync.configuration.version)
        self.clock.advance(restored_start.RETRY_INTERVAL_S)
        self.source.calls[-1].callback(self.own)
        self.source.calls[-1].callback(([self.own], []))
        self.assertTrue(self.sync.loop.running)
        self.assertEqual(2, self.logged.count(events.Event.INTERNAL_FAULT))

    def test_change_of_the_members_is_told_with_the_time_of_the_read_before(self):
        changes = []
        self.sync.on_members = lambda members, before: changes.append(before)
        for as_of in (100.0, 101.0):
            self.fetch(self.read_members(as_of), ([self.own], []))
        changed = attrs.evolve(self.read_members(102.0), members={})
        self.fetch(changed, ([self.own], []))
        self.assertEqual([float("-inf"), 101.0], changes)

    def test_fault_of_one_consumer_leaves_the_others_told(self):
        def fail(*_):
            raise OverflowError

        refreshed = []
        self.sync.on_evacuations = self.sync.on_configuration = fail
        self.sync.on_members = self.sync.on_instances = self.sync.on_takeovers = fail
        self.sync.on_refreshed = lambda: refreshed.append(1)
        read = placement.EvacuationsRead(frozenset({"x"}), 0, 9, 100.0)
        document = source.ConfigurationDocument("7", 7, 9, 100.0, read)
        self.sync._apply_document(document)
        self.assertEqual(7, self.sync.configuration.version)
        self.assertEqual(100.0, self.sync.freshness.configuration_at)
        self.fetch(self.read_members(100.0), ([self.own], [make_takeover(9)]))
        self.assertEqual([1, 1], refreshed)
        self.assertEqual(MEMBERS, self.sync.fleet.members)
        self.assertEqual(5, self.logged.count(events.Event.INTERNAL_FAULT))
