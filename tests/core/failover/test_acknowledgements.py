"""Tests of what settles a write that waits."""

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
        settled = self.queue.on_majority("a", position(1, 6))
        self.assertEqual([(5, OUTCOMES.HELD)], self.outcomes(settled))

    def test_later_terms_position_says_nothing_of_an_earlier_entry(self):
        self.add(1, 5)
        self.view.update_primary(2, "b")
        self.assertEqual([], self.queue.on_majority("b", position(2, 9)))
        self.assertEqual(failover.QueryEntry(position(1, 5)), self.queue.next_query())

    def test_later_primary_is_believed_once_a_majority_has_its_own_entry(self):
        self.add(1, 5)
        self.add(1, 6)
        self.view.update_primary(2, "b")
        self.assertEqual(
            failover.WaitForMajority(position(2, 1)), self.queue.next_query()
        )
        self.assertEqual([], self.queue.on_holds("b", position(1, 5), True))
        self.queue.on_majority("b", position(2, 6))
        held = self.queue.on_holds("b", position(1, 5), True)
        self.assertEqual([(5, OUTCOMES.HELD)], self.outcomes(held))
        lost = self.queue.on_holds("b", position(1, 6), False)
        self.assertEqual([(6, OUTCOMES.DISCARDED)], self.outcomes(lost))

    def test_replaced_primary_is_not_believed_about_its_own_entries(self):
        self.add(1, 5)
        self.view.update_primary(2, "b")
        self.queue.on_majority("b", position(2, 6))
        self.assertEqual([], self.queue.on_holds("a", position(1, 5), True))
        lost = self.queue.on_holds("b", position(1, 5), False)
        self.assertEqual([(5, OUTCOMES.DISCARDED)], self.outcomes(lost))

    def test_entry_of_a_member_that_did_not_lead_stays_unknown(self):
        self.add(1, 5, member="c")
        settled = self.queue.on_majority("a", position(1, 5))
        self.assertEqual([(5, OUTCOMES.UNKNOWN)], self.outcomes(settled))

    def test_each_deadline_is_honoured(self):
        self.add(1, 5, deadline=2.0)
        self.add(1, 6, deadline=3.0)
        self.assertEqual([(5, OUTCOMES.UNKNOWN)], self.outcomes(self.queue.expire(2.0)))
