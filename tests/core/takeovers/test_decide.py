"""Tests of the decisions about replacing a primary."""

import functools

import attrs
import testtools

from pomelograde.core import sessions, takeovers

REASON = takeovers.Reason
HEALTHY = takeovers.PrimaryHealth("p", False, 3, 0.0, 0.2, 60.0)


class ReasonTests(testtools.TestCase):
    def find(self, **changes):
        return takeovers.find_takeover_reason(attrs.evolve(HEALTHY, **changes))

    def test_healthy_primary_is_not_replaced(self):
        self.assertIsNone(self.find())

    def test_leaving_primary_is_replaced_at_once(self):
        self.assertEqual(REASON.LEAVING, self.find(is_leaving=True))

    def test_absent_primary_is_replaced_once_the_store_has_been_available_long_enough(
        self,
    ):
        self.assertEqual(REASON.ABSENT, self.find(primary=None, absent_for_s=0.6))
        self.assertIsNone(self.find(primary=None, absent_for_s=0.4))
        self.assertIsNone(
            self.find(primary=None, absent_for_s=9.0, store_available_for_s=2.0)
        )

    def test_silent_primary_is_suspected(self):
        self.assertEqual(REASON.SILENT, self.find(silent_for_s=1.1))

    def test_no_primary_is_replaced_while_the_store_is_unavailable(self):
        self.assertIsNone(
            self.find(is_leaving=True, store_available_for_s=float("-inf"))
        )

    def test_primary_in_an_evacuated_data_centre_is_replaced(self):
        for silent_for_s in (0.2, 1.1):
            found = self.find(is_evacuated=True, silent_for_s=silent_for_s)
            self.assertEqual(REASON.EVACUATED, found)

    def test_failed_primary_in_an_evacuated_data_centre_is_not_waited_for(self):
        found = self.find(is_evacuated=True, silent_for_s=2.1)
        self.assertEqual(REASON.SILENT, found)

    def test_no_takeover_starts_if_evacuations_leave_no_successor(self):
        for changes in (
            {"is_evacuated": True},
            {"is_leaving": True},
            {"silent_for_s": 9.0},
            {"primary": None, "absent_for_s": 9.0},
        ):
            self.assertIsNone(self.find(can_be_replaced=False, **changes))

    def test_service_without_members_gets_no_takeover(self):
        self.assertIsNone(self.find(primary=None, member_count=0, absent_for_s=9.0))


class SuccessorTests(testtools.TestCase):
    def choose(self, *candidates):
        successor = takeovers.choose_successor(candidates)
        return None if successor is None else successor.name

    def candidate(self, name, index, **fields):
        return takeovers.Candidate(name, sessions.Position(3, index), **fields)

    def test_member_with_the_highest_position_is_chosen(self):
        successor = self.choose(
            self.candidate("a", 7, same_data_centre=True),
            self.candidate("b", 9, is_leaving=True),
            self.candidate("c", 8),
        )
        self.assertEqual("b", successor)

    def test_ties_go_to_a_staying_member_in_the_same_data_centre(self):
        successor = self.choose(
            self.candidate("a", 9, is_leaving=True, same_data_centre=True),
            self.candidate("b", 9),
            self.candidate("c", 9, same_data_centre=True),
        )
        self.assertEqual("c", successor)

    def test_cold_member_is_chosen_only_if_no_other_is_as_far(self):
        position = sessions.Position(1, 7)
        cold = takeovers.Candidate("a", position, same_data_centre=True, is_cold=True)
        warm = takeovers.Candidate("b", position)
        behind = takeovers.Candidate("c", sessions.Position(1, 6))
        self.assertEqual("b", takeovers.choose_successor([cold, warm, behind]).name)
        self.assertEqual("a", takeovers.choose_successor([cold, behind]).name)

    def test_member_in_an_evacuated_data_centre_is_not_chosen(self):
        ahead = self.candidate("a", 9, is_evacuated=True, same_data_centre=True)
        self.assertEqual("b", self.choose(ahead, self.candidate("b", 8)))
        self.assertIsNone(self.choose(ahead))

    def test_no_successor_is_chosen_without_candidates(self):
        self.assertIsNone(self.choose())


class SynchronousReplicaTests(testtools.TestCase):
    """Whom acknowledged commits, which one replica has received, let lead."""

    def choose(self, positions, evacuated=(), **requirement):
        """Return the successor among the replicas that have answered."""
        requirement = {"synchronous_replicas": 1, **requirement}
        candidates = [
            takeovers.Candidate(
                name, sessions.Position(3, index), is_evacuated=name in evacuated
            )
            for name, index in positions.items()
        ]
        successor = takeovers.choose_successor(
            candidates, takeovers.LogRequirement(**requirement)
        )
        return None if successor is None else successor.name

    def test_all_replicas_must_have_answered(self):
        # A commit may be held by any one of them.
        self.assertEqual("b", self.choose({"a": 7, "b": 9}, replica_count=2))
        self.assertIsNone(self.choose({"a": 7}, replica_count=2))
        self.assertIsNone(self.choose({"a": 7, "b": 9}, replica_count=3))
        self.assertIsNone(self.choose({}, replica_count=0))

    def test_unknown_number_of_replicas_lets_nobody_lead(self):
        self.assertIsNone(self.choose({"a": 7, "b": 9}))

    def test_commits_that_two_replicas_hold_need_all_but_one(self):
        found = {"a": 7, "b": 9}
        for count, expected in ((3, "b"), (4, None)):
            self.assertEqual(
                expected,
                self.choose(found, replica_count=count, synchronous_replicas=2),
            )

    def test_replica_with_the_log_of_the_primary_needs_no_others(self):
        end = sessions.Position(3, 9)
        self.assertEqual("b", self.choose({"b": 9}, primary_position=end))
        self.assertIsNone(self.choose({"a": 8}, primary_position=end))

    def test_commits_that_the_last_successor_had_received_are_required(self):
        promoted = sessions.Position(3, 8)
        for found, expected in (({"a": 7}, None), ({"a": 8}, "a")):
            choose = functools.partial(self.choose, found, promoted_position=promoted)
            self.assertEqual(expected, choose(replica_count=1))
            end = sessions.Position(3, 7)
            self.assertEqual(expected, choose(primary_position=end))

    def test_evacuated_replica_that_is_ahead_lets_nobody_lead(self):
        found = {"a": 7, "b": 9}
        self.assertIsNone(self.choose(found, {"b"}, replica_count=2))
        self.assertEqual("b", self.choose(found, {"a"}, replica_count=2))
        end = sessions.Position(3, 7)
        self.assertEqual("a", self.choose(found, {"b"}, primary_position=end))

    def test_nothing_is_asked_for_without_synchronous_replicas(self):
        found = {"synchronous_replicas": 0, "replica_count": 9}
        self.assertEqual("a", self.choose({"a": 7}, **found))

    def test_no_takeover_starts_before_registrations_are_back(self):
        health = attrs.evolve(HEALTHY, is_leaving=True, store_available_for_s=2.0)
        self.assertEqual(REASON.LEAVING, takeovers.find_takeover_reason(health))
        health = attrs.evolve(health, synchronous_replicas=1)
        self.assertIsNone(takeovers.find_takeover_reason(health))


class TakeoverTests(testtools.TestCase):
    def test_takeover_of_another_instance_may_be_superseded_after_a_timeout(self):
        current = takeovers.Takeover("g", "x/1", "", 5, 5)
        incarnations = {"x": 1, "y": 1}
        self.assertFalse(takeovers.may_start(current, "y/1", incarnations, 5.9))
        self.assertTrue(takeovers.may_start(current, "y/1", incarnations, 6.1))
        self.assertTrue(takeovers.may_start(current, "x/1", incarnations, 0.0))

    def test_takeover_of_a_replaced_process_may_be_superseded_at_once(self):
        current = takeovers.Takeover("g", "x/1", "", 5, 5)
        self.assertTrue(takeovers.may_start(current, "y/1", {"x": 2, "y": 1}, 0.0))

    def test_timeout_also_applies_to_a_holder_that_is_not_registered(self):
        current = takeovers.Takeover("g", "x/1", "", 5, 5)
        self.assertFalse(takeovers.may_start(current, "y/1", {"y": 1}, 5.9))
        self.assertTrue(takeovers.may_start(current, "y/1", {"y": 1}, 6.1))

    def test_holder_that_names_no_instance_is_superseded_after_the_timeout(self):
        for holder in ("x", "x/", "x/one", "x/-1", "/1", "x/" + "9" * 5000):
            current = takeovers.Takeover("g", holder, "", 5, 5)
            self.assertFalse(takeovers.may_start(current, "y/1", {"x": 3}, 5.9))
            self.assertTrue(takeovers.may_start(current, "y/1", {"x": 3}, 6.1))

    def test_promotion_deadline_is_before_the_holder_timeout(self):
        # Leaves 1 s for a promotion call that starts at the deadline.
        current = takeovers.Takeover("g", "x/1", "", 5, 5)
        limit_s = takeovers.PROMOTE_DEADLINE_S + 1.0
        self.assertFalse(takeovers.may_start(current, "y/1", {"x": 1}, limit_s))

    def test_no_takeover_starts_while_lost_registrations_may_have_leases(self):
        ended = takeovers.Takeover("g", "", "m", 7, 8)
        for latest in (None, ended):
            self.assertFalse(takeovers.may_start(latest, "y/1", {}, 60.0, 3.1))
            self.assertTrue(takeovers.may_start(latest, "y/1", {}, 60.0, 3.3))

    def test_takeover_may_start_after_the_previous_one_has_ended(self):
        ended = takeovers.Takeover("g", "", "a", 5, 6)
        self.assertTrue(takeovers.may_start(ended, "y/1", {}, 0.0))
        self.assertTrue(takeovers.may_start(None, "y/1", {}, 0.0))


class FailingPrimaryTests(testtools.TestCase):
    """A planned takeover takes 1 to 2 s, in which nothing reaches the primary."""

    def find(self, **changes):
        failing = {"failing_for_s": 1.6, "has_healthy_replica": True, **changes}
        return takeovers.find_takeover_reason(attrs.evolve(HEALTHY, **failing))

    def test_primary_that_fails_for_longer_than_a_takeover_takes_is_replaced(self):
        self.assertEqual(REASON.FAILING, self.find())
        self.assertIsNone(self.find(failing_for_s=1.4))
        self.assertTrue(REASON.FAILING.is_planned)

    def test_primary_without_a_healthy_replica_stays(self):
        self.assertIsNone(self.find(has_healthy_replica=False))

    def test_primary_is_not_replaced_again_soon(self):
        self.assertIsNone(self.find(since_failing_s=29.0))


class UnfinishedTakeoverTests(testtools.TestCase):
    """A takeover that has chosen m with log position 3.7, after a primary of term 3."""

    def find_step(self, led_term=0, position=None):
        begun = takeovers.Takeover("g", "x/1", "p", 5, 5, term=3)
        candidate = takeovers.Candidate("m", sessions.Position(3, 7))
        choice = takeovers.make_choice(begun, candidate)
        return takeovers.find_step(choice, led_term, position)

    def test_candidate_that_leads_is_the_successor(self):
        position = sessions.Position(4, 1)
        self.assertEqual(takeovers.Step.END, self.find_step(4, position))

    def test_candidate_that_leads_an_earlier_term_is_promoted(self):
        position = sessions.Position(3, 9)
        self.assertEqual(takeovers.Step.PROMOTE, self.find_step(3, position))

    def test_candidate_may_have_been_promoted_though_it_does_not_answer(self):
        self.assertEqual(takeovers.Step.PROMOTE, self.find_step())

    def test_candidate_that_has_lost_its_log_is_given_up(self):
        behind, equal = sessions.Position(3, 6), sessions.Position(3, 7)
        self.assertEqual(takeovers.Step.CHOOSE, self.find_step(0, behind))
        self.assertEqual(takeovers.Step.PROMOTE, self.find_step(0, equal))

    def test_present_primary_stays_in_its_term(self):
        ended = takeovers.Takeover("g", "", "p", 5, 6, term=3)
        self.assertEqual(3, takeovers.make_promotion(ended, "p").term)
        self.assertEqual(4, takeovers.make_promotion(ended, "m").term)
        unknown = attrs.evolve(ended, term=0)
        self.assertEqual(1, takeovers.make_promotion(unknown, "p").term)
