"""Tests of suspicion, of promotion and of a promoter's death at each step."""

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


def _watched(promoters=1):
    made = simulation.Simulation(promoters)
    for _ in range(3):
        made.step()
    return made


class PromoterTests(testtools.TestCase):
    def test_silent_connection_is_no_reason_while_a_fresh_one_works(self):
        made = _watched()
        candidate = made.candidates[0]
        for _ in range(50):
            made.feed(candidate, failover.ProbeFailed("a"))
            made.step()
        self.assertEqual(0, made.promotions)

    def test_witness_who_reaches_the_primary_prevents_a_promotion(self):
        made = _watched()
        candidate = made.candidates[0]
        for _ in range(50):
            made.clock.advance(0.1)
            made.feed(candidate, failover.MemberUnreachable("a"))
            self.assertFalse(
                any(isinstance(r, ACTIONS[:2]) for r in candidate.requests)
            )
            candidate.requests.clear()
            made.feed(candidate, failover.WitnessesAnswered("a", True))
        self.assertEqual(1, candidate.view.term)

    def test_minority_fences_nobody(self):
        made = _watched()
        made.group.members["a"].faults.paused = True
        made.group.members["b"].faults.paused = True
        for _ in range(50):
            made.step()
        self.assertEqual(1, made.group.members["c"].fenced_term)

    def test_most_advanced_member_is_promoted(self):
        made = _watched()
        made.group.members["b"].faults.cut_members.append("a")
        for _ in range(3):
            made.write("a")
            made.step()
        made.group.members["a"].faults.killed = True
        for _ in range(20):
            made.step()
        self.assertEqual("c", made.candidates[0].view.primary)

    def test_leaving_primary_hands_over(self):
        made = _watched(3)
        for candidate in made.candidates:
            candidate.view.leaving.add("a")
        for _ in range(20):
            made.step()
        roles = {m.name: m.role for m in made.group.members.values()}
        self.assertEqual("replica", roles["a"])
        self.assertEqual(1, made.promotions)

    def test_next_promoter_takes_over_from_one_that_died_at_any_point(self):
        for survived in range(8):
            made = _watched(2)
            first = made.candidates[0]
            made.write("a")
            made.step()
            made.group.members["a"].faults.killed = True
            _run_until_death(made, first, survived)
            for _ in range(80):
                made.step()
            self.assertNotEqual("a", made.candidates[1].view.primary, survived)
            made.settle(2.0)
            leaders = [m for m in made.group.members.values() if m.role == "primary"]
            self.assertEqual(1, len(leaders), survived)
            self.assertTrue(leaders[0].holds(entry_position(1, 2)), survived)


def entry_position(term, index):
    """Return the position of an entry."""
    return sessions.Position(term, index)


def _run_until_death(made, candidate, survived):
    """Let a promoter carry out some commands, then nothing more."""
    left = survived
    for _ in range(20):
        made.clock.advance(0.05)
        for name in simulation.MEMBERS:
            made.probe(candidate, name)
        made.feed(candidate, failover.Tick())
        while candidate.requests:
            if isinstance(candidate.requests[0], ACTIONS):
                if left == 0:
                    candidate.alive = False
                    candidate.requests.clear()
                    return
                left -= 1
            made.deliver(candidate)
