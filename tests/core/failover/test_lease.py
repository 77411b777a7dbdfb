"""Tests of write leases and of promoters that wait until they expire."""

import testtools

from pomelograde.core import failover, placement, sessions
from tests.core.failover import simulation


def _status(name, fenced_term=1):
    return failover.MemberStatus(
        name, "replica", 1, fenced_term, sessions.Position(1, 1), "a"
    )


class LeaseTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        members = {name: placement.MemberView(name, "dc") for name in "abc"}
        self.view = failover.GroupView("g", members)
        self.view.update_primary(1, "a")
        self.lease = failover.WriteLease(self.view)

    def test_runs_from_when_the_majority_was_asked(self):
        self.lease.record(_status("a"), 0.0)
        self.assertFalse(self.lease.is_held(0.1))
        self.lease.record(_status("b"), 0.5)
        self.assertTrue(self.lease.is_held(0.8))
        self.assertFalse(self.lease.is_held(0.95))

    def test_members_fenced_for_a_later_term_give_none(self):
        self.lease.record(_status("a"), 0.0)
        self.lease.record(_status("b", fenced_term=2), 0.0)
        self.assertFalse(self.lease.is_held(0.1))

    def test_promoter_waits_after_the_majority_is_fenced(self):
        sim = simulation.Simulation(3)
        for candidate in sim.candidates:
            candidate.promoter.lease_s = failover.LEASE_S
        for _ in range(3):
            sim.step()
        sim.group.members["a"].faults.killed = True
        fenced_at = promoted_at = None
        while promoted_at is None:
            sim.step()
            self.assertTrue(sim.clock.seconds() < 5.0)
            now = sim.clock.seconds()
            if fenced_at is None and sim.group.members["b"].fenced_term == 2:
                fenced_at = now
            if sim.promotions:
                promoted_at = now
        self.assertTrue(promoted_at - fenced_at >= failover.LEASE_S - 1e-6)
