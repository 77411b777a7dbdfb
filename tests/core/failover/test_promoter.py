"""Tests of failure detection, promotion and promoters that crash midway."""

import testtools

from pomelograde.core import failover, sessions
from tests.core.failover import simulation

ACTIONS = (
    failover.Fence,
    failover.Promote,
    failover.Follow,
    failover.PublishPrimary,
    failover.QueryWitnesses,
)


def _started_simulation(promoters=1):
    sim = simulation.Simulation(promoters)
    for _ in range(3):
        sim.step()
    return sim


class PromoterTests(testtools.TestCase):
    def test_failed_probe_alone_starts_no_promotion_if_new_connection_works(self):
        sim = _started_simulation()
        candidate = sim.candidates[0]
        for _ in range(50):
            sim.feed(candidate, failover.ProbeFailed("a"))
            sim.step()
        self.assertEqual(0, sim.promotions)

    def test_witness_that_reaches_the_primary_prevents_promotion(self):
        sim = _started_simulation()
        candidate = sim.candidates[0]
        for _ in range(50):
            sim.clock.advance(0.1)
            sim.feed(candidate, failover.MemberUnreachable("a"))
            self.assertFalse(
                any(isinstance(r, ACTIONS[:2]) for r in candidate.requests)
            )
            candidate.requests.clear()
            sim.feed(candidate, failover.WitnessesAnswered("a", True))
        self.assertEqual(1, candidate.view.term)

    def test_minority_fences_nobody(self):
        sim = _started_simulation()
        sim.group.members["a"].faults.paused = True
        sim.group.members["b"].faults.paused = True
        for _ in range(50):
            sim.step()
        self.assertEqual(1, sim.group.members["c"].fenced_term)

    def test_most_advanced_member_is_promoted(self):
        sim = _started_simulation()
        sim.group.members["b"].faults.cut_members.append("a")
        for _ in range(3):
            sim.write("a")
            sim.step()
        sim.group.members["a"].faults.killed = True
        for _ in range(20):
            sim.step()
        self.assertEqual("c", sim.candidates[0].view.primary)

    def test_leaving_primary_hands_over(self):
        sim = _started_simulation(3)
        for candidate in sim.candidates:
            candidate.view.leaving.add("a")
        for _ in range(20):
            sim.step()
        roles = {m.name: m.role for m in sim.group.members.values()}
        self.assertEqual("replica", roles["a"])
        self.assertEqual(1, sim.promotions)

    def test_next_promoter_takes_over_after_a_crash_at_any_action(self):
        for sent_actions in range(8):
            sim = _started_simulation(2)
            first = sim.candidates[0]
            sim.write("a")
            sim.step()
            sim.group.members["a"].faults.killed = True
            _run_until_crash(sim, first, sent_actions)
            for _ in range(80):
                sim.step()
            self.assertNotEqual("a", sim.candidates[1].view.primary, sent_actions)
            sim.settle(2.0)
            primaries = [m for m in sim.group.members.values() if m.role == "primary"]
            self.assertEqual(1, len(primaries), sent_actions)
            self.assertTrue(primaries[0].holds(_position(1, 2)), sent_actions)


def _position(term, index):
    """Return the position of an entry."""
    return sessions.Position(term, index)


def _run_until_crash(sim, candidate, sent_actions):
    """Run a promoter until it has sent `sent_actions` actions, then crash it."""
    remaining = sent_actions
    for _ in range(20):
        sim.clock.advance(0.05)
        for name in simulation.MEMBERS:
            sim.probe(candidate, name)
        sim.feed(candidate, failover.Tick())
        while candidate.requests:
            if isinstance(candidate.requests[0], ACTIONS):
                if remaining == 0:
                    candidate.alive = False
                    candidate.requests.clear()
                    return
                remaining -= 1
            sim.deliver(candidate)
