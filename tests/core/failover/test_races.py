"""Property tests of competing promoters with lost messages, pauses and crashes."""

import hypothesis
import testtools
from hypothesis import stateful
from hypothesis import strategies as st

from pomelograde.core import failover
from tests.core.failover import simulation

MEMBER = st.sampled_from(simulation.MEMBERS)
PROMOTER = st.integers(0, 2)


class RaceMachine(stateful.RuleBasedStateMachine):
    """Checks that no interleaving loses an acknowledged entry.

    Once all faults have ended, one member is the primary of the whole group.
    """

    def __init__(self):
        super().__init__()
        self.simulation = simulation.Simulation()

    @stateful.rule(member=MEMBER)
    def write(self, member):
        self.simulation.write(member)

    @stateful.rule(seconds=st.sampled_from((0.01, 0.1, 0.5)))
    def advance(self, seconds):
        self.simulation.clock.advance(seconds)
        for candidate in self.simulation.candidates:
            self.simulation.feed(candidate, failover.Tick())

    @stateful.rule(promoter=PROMOTER, member=MEMBER)
    def probe(self, promoter, member):
        self.simulation.probe(self.simulation.candidates[promoter], member)

    @stateful.rule(promoter=PROMOTER, index=st.integers(0, 5), lost=st.booleans())
    def deliver(self, promoter, index, lost):
        candidate = self.simulation.candidates[promoter]
        self.simulation.deliver(candidate, index, lost)

    @stateful.rule(promoter=PROMOTER)
    def lose_requests(self, promoter):
        self.simulation.candidates[promoter].requests.clear()

    @stateful.rule(member=MEMBER)
    def pause(self, member):
        self.simulation.group.members[member].faults.paused = True

    @stateful.rule(member=MEMBER)
    def resume(self, member):
        self.simulation.group.members[member].faults.paused = False
        self.simulation.group.heal()

    @stateful.rule(promoter=PROMOTER, generation=st.integers(2, 10_000))
    def restart(self, promoter, generation):
        candidates = self.simulation.candidates
        candidates[promoter].alive = False
        self.simulation.add_candidate(f"p{promoter}/{generation}", promoter)
        candidates[promoter] = candidates.pop()

    @stateful.rule(seed=st.integers(0, 2**32))
    def churn(self, seed):
        self.simulation.churn(seed)

    @stateful.rule()
    def step(self):
        self.simulation.step()

    @stateful.invariant()
    def at_most_one_acknowledges(self):
        self.simulation.observe()

    def teardown(self):
        self.simulation.settle()
        check_settled(self.simulation)


def check_settled(sim):
    """Check that all members follow one primary that has all acknowledged entries."""
    group = sim.group
    primaries = [m for m in group.members.values() if m.role == "primary"]
    assert len(primaries) == 1, [(m.name, m.role) for m in group.members.values()]
    log = primaries[0].log
    for index, term in sim.acknowledged.items():
        assert log[index].term == term, "an acknowledged entry was lost"
    held = group.held_by_majority(primaries[0])
    assert held == primaries[0].position
    for member in group.members.values():
        assert member.leader == primaries[0].name


def _run(examples, steps):
    stateful.run_state_machine_as_test(
        hypothesis.seed(20)(RaceMachine),
        settings=hypothesis.settings(
            max_examples=examples,
            stateful_step_count=steps,
            deadline=None,
            derandomize=False,
            database=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )


class RaceTests(testtools.TestCase):
    def test_many_interleavings(self):
        _run(examples=60, steps=30)

    def test_many_schedules(self):
        promotions = 0
        for seed in range(1000):
            sim = simulation.Simulation(seed=seed)
            sim.churn(seed, rounds=80)
            sim.settle()
            check_settled(sim)
            promotions += sim.promotions
        self.assertTrue(promotions > 1000, promotions)
