"""Tests of loans of rates from other instances, whatever they answer."""

import types

import hypothesis
import testtools
from hypothesis import strategies as st
from twisted.internet import defer, task

from pomelograde.core import limits, membership
from pomelograde.net import admission, metrics, peer_messages

OWN, LENDER = (
    membership.Instance(name, "suva", 1, "127.0.0.1", 7432) for name in ("own", "a")
)
LOAN = peer_messages.BorrowAnswer("", 1000.0, 0.0, 5000)


class LoanTests(testtools.TestCase):
    def make(self, answer, known=True):
        clock = task.Clock()
        self.rejected = []
        self.asked = []
        members = membership.Membership(OWN)
        if known:
            members.merge(membership.Record(LENDER))

        async def request(instance, message, timeout_s=1.0):
            self.asked.append(instance.name)
            return answer

        context = types.SimpleNamespace(
            reactor=clock,
            now=clock.seconds,
            members=members,
            metrics=metrics.Metrics(),
            settings=types.SimpleNamespace(
                limits=types.SimpleNamespace(rate_lease_s=10.0)
            ),
            peers=types.SimpleNamespace(
                handlers={},
                request=request,
                reject=lambda message, sender, reason: self.rejected.append(reason),
            ),
        )
        configuration = types.SimpleNamespace(
            current=types.SimpleNamespace(of_kind=lambda kind: {})
        )
        found = admission.AdmissionTask(context, configuration, None)
        found.set_peers([LENDER])
        self.clock = found.clock
        return found

    def borrow(self, running):
        """Borrow parts; fails if that raises or doesn't end."""
        done = []
        defer.ensureDeferred(running._borrow_parts()).addBoth(done.append)
        self.assertEqual([None], done)
        self.assertFalse(running.is_borrowing)

    def test_loan_is_used(self):
        running = self.make(LOAN)
        self.borrow(running)
        self.assertEqual(1000, running.lease.usable_parts(self.clock()))

    def test_impossible_loan_is_rejected_and_the_next_one_is_asked_for(self):
        for amount in (float("nan"), float("inf"), -1.0, 2.0 * limits.TOTAL_PARTS):
            answer = peer_messages.BorrowAnswer("", amount, 0.0, 5000)
            running = self.make(answer)
            for _ in range(2):
                self.borrow(running)
            self.assertEqual(0, running.lease.usable_parts(self.clock()), amount)
            self.assertEqual((2, 2), (len(self.asked), len(self.rejected)), amount)

    def test_loan_ends_after_the_time_that_was_asked_for(self):
        running = self.make(peer_messages.BorrowAnswer("", 9.0, 0.0, 2**32 - 1))
        self.borrow(running)
        until = running.lease.usable_until(self.clock())
        self.assertTrue(until <= self.clock() + limits.LOAN_DURATION_S)

    def test_lender_that_has_gone_is_passed_over(self):
        running = self.make(LOAN, known=False)
        running.last_lenders = ["gone"]
        self.borrow(running)
        self.assertEqual([], self.asked)

    def test_reply_of_another_kind_lends_nothing(self):
        for answer in (peer_messages.Empty(), peer_messages.BorrowRequest("", 5, 5, 5)):
            running = self.make(answer)
            self.borrow(running)
            self.assertEqual(0, running.lease.usable_parts(self.clock()))

    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    @hypothesis.given(
        st.builds(
            peer_messages.BorrowAnswer,
            st.text(max_size=3),
            st.floats(width=32),
            st.floats(width=32),
            st.integers(0, 2**32 - 1),
        )
    )
    def test_any_answer_leaves_a_usable_part(self, answer):
        running = self.make(answer)
        self.borrow(running)
        self.assertTrue(0.0 <= running.usable_part(self.clock()) <= 1.0)
        running.rate_limits = lambda: {"desk": (5.0, 5.0)}
        running.resize()
        share = running.shares["desk"]
        borrow = limits.Borrow("a", 1.0)
        defer.ensureDeferred(running._borrow_from("desk", share, borrow))
        self.assertTrue(0.0 <= share.bucket.tokens <= 5.0)
