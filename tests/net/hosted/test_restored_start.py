"""Tests of processes that start after the store's return from an older copy."""

import attrs

from pomelograde.core import placement
from pomelograde.net import events, peer_messages
from pomelograde.net.hosted import restored_start, state_sync
from pomelograde.platform import source
from tests.net.hosted import test_state_sync

ROLE = placement.Role


def make_member(name, role=ROLE.REPLICA, started_ms=1):
    return placement.Member(
        name, "x", role=role, host="127.0.0.1", port=1, started_ms=started_ms
    )


class RestoredStartTests(test_state_sync.SyncTestCase):
    """An instance starts; the store is of era 2 and has a configuration of version 5.

    The copy names `old` as the primary, and lacks `new`, the present one.
    """

    def setUp(self):
        super().setUp()
        self.source.era = self.source.rows_era = 2
        self.source.era_since = self.clock.seconds()
        self.source.settled_era = 1
        self.source.rows = {"other": 1}
        self.source.recorded = []
        self.source.register = self.source.call
        self.source.record_settled_era = lambda: self.source.call(
            self.source.recorded.append(self.source.rows_era)
        )
        self.others = [test_state_sync.make_instance("other")]
        self.rows = self.read_rows(old=(make_member("old", ROLE.PRIMARY), 10))

    def read_rows(self, **rows):
        return source.MemberRows(
            {"g": [member for member, _ in rows.values()]},
            {name: version for name, (_, version) in rows.items()},
            2,
            self.clock.seconds(),
        )

    def read(self, version=5):
        """Answer the calls for the configuration, the members and the lists."""
        document, members = self.source.calls[-2:]
        now = self.clock.seconds()
        document.callback(source.ConfigurationDocument(str(version), version, 9, now))
        members.callback(attrs.evolve(self.rows, as_of=now))
        self.source.calls[-1].callback((self.others, []))

    def answer(self, age_ms=10, version=7, members=(), **fields):
        """Let another instance answer with its whole state."""
        encoded = state_sync._encode_members({"g": list(members)})
        answer = test_state_sync.make_answer(
            age_ms, self.others, configuration_version=version, **fields
        )
        answer = attrs.evolve(answer, document=str(version), upstreams=list(encoded))
        self.peers.requests.pop()[1].callback(answer)

    def wait(self):
        self.clock.advance(restored_start.RETRY_INTERVAL_S)

    def register(self):
        self.source.calls[-1].callback(self.own)
        self.source.calls[-1].callback(([*self.others, self.own], []))

    def is_settled(self):
        return self.sync.restored_start.is_settled

    def members(self):
        return {
            member.name: member.role for member in self.sync.fleet.members.get("g", ())
        }

    def test_others_are_asked_before_anything_is_used(self):
        # Callers used a replaced primary and a withdrawn key of the copy.
        self.read()
        self.assertFalse(self.is_settled())
        self.assertEqual({}, self.members())
        may_accept = self.sync.freshness.may_accept_keys(self.clock.seconds())
        self.assertFalse(may_accept)
        self.assertIsNone(self.sync.loop)
        ((name, _),) = self.peers.requests
        self.assertEqual("other", name)

    def test_answer_shows_what_the_store_lacks(self):
        self.rows = self.read_rows(
            old=(make_member("old", ROLE.PRIMARY), 10), new=(make_member("new"), 11)
        )
        self.read()
        known = [make_member("old"), make_member("new", ROLE.PRIMARY)]
        takeover = test_state_sync.make_takeover(9)
        evacuations = [peer_messages.EvacuationNews("y")]
        self.answer(members=known, takeovers=[takeover], evacuations=evacuations)
        self.register()
        self.assertEqual({"old": ROLE.REPLICA, "new": ROLE.PRIMARY}, self.members())
        self.assertEqual(7, self.sync.configuration.version)
        self.assertEqual({"g": takeover}, self.sync.fleet.takeovers)
        evacuated = self.sync.fleet.evacuations
        self.assertEqual({"y"}, evacuated.data_centres)
        self.assertEqual({"y": float("-inf")}, evacuated.deadlines(5.0))
        self.assertTrue(self.sync.loop.running)

    def test_outdated_store_does_not_confirm_what_another_instance_knows(self):
        self.read()
        self.answer(age_ms=2000)
        self.register()
        age_s = self.clock.seconds() - self.sync.freshness.configuration_at
        self.assertAlmostEqual(2.0, age_s, 2)

    def test_store_confirms_the_configuration_that_others_know(self):
        self.read(version=7)
        self.answer(age_ms=400)
        self.register()
        self.assertEqual(self.clock.seconds(), self.sync.freshness.configuration_at)

    def test_member_that_nobody_knows_waits_for_its_row(self):
        self.read()
        self.answer()
        self.register()
        self.assertEqual({}, self.members())
        written = self.read_rows(old=(make_member("old"), 12))
        self.fetch(written, (self.others, []))
        self.assertEqual({"old": ROLE.REPLICA}, self.members())

    def test_instance_that_does_not_know_either_is_asked_again(self):
        self.read()
        self.answer(is_unsettled=True)
        self.assertFalse(self.is_settled())
        self.wait()
        self.read()
        self.answer()
        self.assertTrue(self.is_settled())

    def test_instance_that_was_cut_off_does_not_settle_the_state(self):
        limit_ms = int(state_sync.STALE_AFTER_S * 1000.0)
        for version, age_ms, is_enough in (
            (5, limit_ms + 1, False),
            (7, 4801, False),
            (7, 4799, True),
        ):
            self.read()
            self.answer(age_ms, version)
            self.assertEqual(is_enough, self.is_settled())
            self.wait()

    def test_instance_of_an_earlier_build_is_believed(self):
        self.read()
        self.answer(version=5)
        self.assertTrue(self.is_settled())

    def test_without_an_answer_all_must_have_been_written_again(self):
        self.read()
        self.rows = self.read_rows(new=(make_member("new", ROLE.PRIMARY), 11))
        while not self.sync.restored_start.is_rewritten():
            self.assertFalse(self.is_settled())
            self.peers.requests.pop()[1].callback(None)
            self.wait()
            self.read()
        self.peers.requests.pop()[1].callback(None)
        self.register()
        self.assertTrue(self.is_settled())
        self.assertEqual({"new": ROLE.PRIMARY}, self.members())

    def test_slow_heartbeats_are_waited_for(self):
        self.sync.restored_members.heartbeat_s = 4.0
        self.assertFalse(self.sync.restored_start.is_rewritten())
        self.clock.advance(9.9)
        self.assertFalse(self.sync.restored_start.is_rewritten())
        self.clock.advance(0.2)
        self.assertTrue(self.sync.restored_start.is_rewritten())

    def test_store_that_lacks_nothing_is_used_at_once(self):
        self.source.settled_era = 2
        self.read()
        self.register()
        self.assertEqual([], self.peers.requests)
        self.assertEqual({"old": ROLE.PRIMARY}, self.members())
        self.assertTrue(self.sync.loop.running)

    def test_first_instance_of_all_starts_at_once_and_records_it(self):
        self.source.rows = {}
        self.others = []
        self.read()
        self.assertEqual([2], self.source.recorded)
        self.assertFalse(self.is_settled())
        self.source.calls[-1].callback(True)
        self.register()
        self.assertTrue(self.sync.loop.running)
        self.source.rows = {"own": 2}
        self.source.settled_era = 2
        self.fetch(self.rows, ([self.own], []))
        self.assertEqual([2], self.source.recorded)
        self.source.era = self.source.rows_era = 3
        self.source.era_since = self.clock.seconds()
        self.fetch(self.read_rows(), ([self.own], []))
        self.assertEqual([2], self.source.recorded)

    def test_instance_that_starts_together_with_the_first_one_reads_again(self):
        self.source.rows = {}
        self.read()
        self.source.calls[-1].callback(False)
        self.assertFalse(self.is_settled())
        self.source.rows = {"era/settled": 2}
        self.source.settled_era = 2
        self.wait()
        self.read()
        self.register()
        self.assertTrue(self.sync.loop.running)
        self.assertEqual([], self.peers.requests)

    def test_reader_records_that_nothing_is_lacking_any_more(self):
        self.others = [test_state_sync.make_instance("p")]  # "own" reads the store
        self.read()
        self.answer()
        self.register()
        listed = (self.sync.fleet.instances, [])
        self.clock.advance(restored_start.REWRITE_TIMEOUT_S)
        self.fetch(self.rows, listed)
        self.assertEqual([], self.source.recorded)  # the operator's row is the copy's
        self.sync._apply_document(
            source.ConfigurationDocument("7", 7, 9, self.clock.seconds())
        )
        known = test_state_sync.make_takeover(9)
        self.sync.apply_takeover(known)
        self.fetch(self.rows, listed)
        self.assertEqual([], self.source.recorded)  # a takeover is missing
        listed = (self.sync.fleet.instances, [known])
        self.fetch(self.rows, listed)
        self.assertEqual([2], self.source.recorded)

    def test_failed_record_is_logged(self):
        self.source.record_settled_era = self.source.call
        self.others = [test_state_sync.make_instance("p")]
        self.read(version=7)
        self.answer()
        self.register()
        self.clock.advance(restored_start.REWRITE_TIMEOUT_S)
        self.fetch(self.rows, (self.sync.fleet.instances, []))
        call = [each for each in self.source.calls if not each.called][-1]
        call.errback(self.source.StoreUnavailableError("gone"))
        self.assertIn(events.Event.PLATFORM_UNAVAILABLE, self.logged)

    def test_instance_that_starts_is_no_source_for_others(self):
        self.read()
        request = peer_messages.NewsRequest(0, 0, 0)
        answer = self.peers.receive(request, "other")
        self.assertTrue(answer.is_unsettled)
        self.assertEqual(state_sync.UNKNOWN_AGE_MS, answer.configuration_age_ms)
        self.assertEqual(state_sync.UNKNOWN_AGE_MS, answer.upstreams_age_ms)
        self.answer()
        self.assertFalse(self.peers.receive(request, "other").is_unsettled)

    def test_offer_while_the_store_is_away_settles_the_state(self):
        for call in self.source.calls:
            call.errback(self.source.StoreUnavailableError("gone"))
        offer = peer_messages.NewsOffer(
            [peer_messages.write_instance(self.others[0])], 7
        )
        self.peers.receive(offer, "other")
        self.answer(members=[make_member("new", ROLE.PRIMARY)])
        self.assertTrue(self.is_settled())
        rows = self.read_rows(
            old=(make_member("old", ROLE.PRIMARY), 10), new=(make_member("new"), 11)
        )
        self.fetch(rows, (self.others, []))
        self.assertEqual({"new": ROLE.PRIMARY}, self.members())

    def test_few_instances_of_a_large_fleet_are_asked_less_often(self):
        self.others = [test_state_sync.make_instance(f"o{n}") for n in range(50)]
        self.read()
        self.assertEqual(restored_start.MAX_ASKED, len(self.peers.requests))
        for _, reply in self.peers.requests:
            reply.callback(None)
        calls = len(self.source.calls)
        self.wait()
        self.assertEqual(calls, len(self.source.calls))
        self.clock.advance(restored_start.MANY_INTERVAL_S)
        self.assertEqual(calls + 2, len(self.source.calls))
