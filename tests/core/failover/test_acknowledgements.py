"""Tests of the outcomes of writes that wait for a majority."""

import testtools

from pomelograde.core import failover, placement, sessions

OUTCOMES = failover.Outcome


def position(term, index):
    return sessions.Position(term, index)


class AcknowledgementTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        members = {name: placement.MemberView(name, "dc") for name in "abc"}
        self.view = failover.GroupView("g", members)
        self.view.update_primary(1, "a")
        self.queue = failover.AcknowledgementQueue(self.view)

    def add(self, term, index, member="a", deadline=10.0):
        write = failover.PendingWrite(position(term, index), member, deadline)
        self.queue.add(write)
        return write

    def outcomes(self, settled):
        return [(action.write.position.index, action.outcome) for action in settled]

    def test_majority_holds_all_up_to_a_position_of_the_same_term(self):
        self.add(1, 5)
        self.add(1, 7)
        self.assertEqual(
            failover.WaitForMajority(position(1, 5)), self.queue.next_query()
        )
        settled = self.queue.on_majority_answer("a", position(1, 6))
        self.assertEqual([(5, OUTCOMES.HELD)], self.outcomes(settled))

    def test_majority_in_a_later_term_does_not_resolve_an_earlier_entry(self):
        self.add(1, 5)
        self.view.update_primary(2, "b")
        self.assertEqual([], self.queue.on_majority_answer("b", position(2, 9)))
        self.assertEqual(failover.QueryEntry(position(1, 5)), self.queue.next_query())

    def test_later_primary_decides_once_a_majority_holds_an_entry_of_its_term(self):
        self.add(1, 5)
        self.add(1, 6)
        self.view.update_primary(2, "b")
        self.assertEqual(
            failover.WaitForMajority(position(2, 1)), self.queue.next_query()
        )
        self.assertEqual([], self.queue.on_entry_answer("b", position(1, 5), True))
        self.queue.on_majority_answer("b", position(2, 6))
        held = self.queue.on_entry_answer("b", position(1, 5), True)
        self.assertEqual([(5, OUTCOMES.HELD)], self.outcomes(held))
        lost = self.queue.on_entry_answer("b", position(1, 6), False)
        self.assertEqual([(6, OUTCOMES.DISCARDED)], self.outcomes(lost))

    def test_replaced_primary_does_not_decide_about_its_own_entries(self):
        self.add(1, 5)
        self.view.update_primary(2, "b")
        self.queue.on_majority_answer("b", position(2, 6))
        self.assertEqual([], self.queue.on_entry_answer("a", position(1, 5), True))
        lost = self.queue.on_entry_answer("b", position(1, 5), False)
        self.assertEqual([(5, OUTCOMES.DISCARDED)], self.outcomes(lost))

    def test_entry_of_a_member_that_was_not_primary_stays_unknown(self):
        self.add(1, 5, member="c")
        settled = self.queue.on_majority_answer("a", position(1, 5))
        self.assertEqual([(5, OUTCOMES.UNKNOWN)], self.outcomes(settled))

    def test_write_expires_at_its_own_deadline(self):
        self.add(1, 5, deadline=2.0)
        self.add(1, 6, deadline=3.0)
        self.assertEqual([(5, OUTCOMES.UNKNOWN)], self.outcomes(self.queue.expire(2.0)))
