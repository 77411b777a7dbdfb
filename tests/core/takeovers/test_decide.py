"""Tests of the decisions on replacing a primary."""

import attrs
import testtools

from pomelograde.core import sessions, takeovers

REASON = takeovers.Reason
CALM = takeovers.PrimaryHealth("p", False, 3, 0.0, 0.2, 60.0)


class ReasonTests(testtools.TestCase):
    def find(self, **changes):
        return takeovers.find_reason(attrs.evolve(CALM, **changes))

    def test_primary_that_answers_and_stays_is_kept(self):
        self.assertIsNone(self.find())

    def test_leaving_primary_is_replaced_at_once(self):
        self.assertEqual(REASON.LEAVING, self.find(is_leaving=True))

    def test_absent_primary_is_replaced_only_once_the_store_has_settled(self):
        self.assertEqual(REASON.ABSENT, self.find(primary=None, absent_for_s=0.6))
        self.assertIsNone(self.find(primary=None, absent_for_s=0.4))
        self.assertIsNone(
            self.find(primary=None, absent_for_s=9.0, store_available_for_s=2.0)
        )

    def test_silent_primary_is_suspected(self):
        self.assertEqual(REASON.SILENT, self.find(silent_for_s=1.1))

    def test_nothing_is_done_while_the_store_does_not_answer(self):
        self.assertIsNone(
            self.find(is_leaving=True, store_available_for_s=float("-inf"))
        )

    def test_service_without_members_is_left_alone(self):
        self.assertIsNone(self.find(primary=None, member_count=0, absent_for_s=9.0))


class SuccessorTests(testtools.TestCase):
    def choose(self, *candidates):
        found = takeovers.choose_successor(candidates)
        return None if found is None else found.name

    def candidate(self, name, index, **known):
        return takeovers.Candidate(name, sessions.Position(3, index), **known)

    def test_member_that_has_received_most_leads(self):
        chosen = self.choose(
            self.candidate("a", 7, same_data_centre=True),
            self.candidate("b", 9, is_leaving=True),
            self.candidate("c", 8),
        )
        self.assertEqual("b", chosen)

    def test_of_equal_members_one_that_stays_and_is_near_leads(self):
        chosen = self.choose(
            self.candidate("a", 9, is_leaving=True, same_data_centre=True),
            self.candidate("b", 9),
            self.candidate("c", 9, same_data_centre=True),
        )
        self.assertEqual("c", chosen)

    def test_nobody_leads_where_nobody_answers(self):
        self.assertIsNone(self.choose())


class TakeoverTests(testtools.TestCase):
    def test_takeover_of_another_instance_is_left_to_it_for_a_while(self):
        begun = takeovers.Takeover("g", "x/1", "", 5, 5)
        known = {"x": 1, "y": 1}
        self.assertFalse(takeovers.may_start(begun, "y/1", known, 5.4))
        self.assertTrue(takeovers.may_start(begun, "y/1", known, 5.6))
        self.assertTrue(takeovers.may_start(begun, "x/1", known, 0.0))

    def test_takeover_of_a_process_that_was_replaced_is_finished_at_once(self):
        begun = takeovers.Takeover("g", "x/1", "", 5, 5)
        self.assertTrue(takeovers.may_start(begun, "y/1", {"x": 2, "y": 1}, 0.0))

    def test_holder_without_a_registration_may_still_promote(self):
        begun = takeovers.Takeover("g", "x/1", "", 5, 5)
        self.assertFalse(takeovers.may_start(begun, "y/1", {"y": 1}, 5.4))
        self.assertTrue(takeovers.may_start(begun, "y/1", {"y": 1}, 5.6))

    def test_holder_gives_up_before_another_one_begins(self):
        # The call to promote takes less than the difference.
        begun = takeovers.Takeover("g", "x/1", "", 5, 5)
        limit_s = takeovers.PROMOTE_DEADLINE_S + 1.0
        self.assertFalse(takeovers.may_start(begun, "y/1", {"x": 1}, limit_s))

    def test_another_one_may_begin_after_the_end(self):
        ended = takeovers.Takeover("g", "", "a", 5, 6)
        self.assertTrue(takeovers.may_start(ended, "y/1", {}, 0.0))
        self.assertTrue(takeovers.may_start(None, "y/1", {}, 0.0))
