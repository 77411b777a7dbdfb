"""The configuration log under lost, late and doubled news."""

import attrs
import hypothesis
import testtools
from hypothesis import stateful
from hypothesis import strategies as st

from pomelograde.core import resources

NAMES = ("a", "b", "c")
INSTANCES = 3


def change(revision, name="a", rate=1.0):
    spec = None if rate is None else resources.ClientAccount(rate, rate)
    return resources.Resource("accounts", name, spec, revision)


class LogTests(testtools.TestCase):
    def test_batch_with_a_gap_is_not_applied(self):
        log = resources.ConfigurationLog()
        outcome = log.apply_batch(resources.Batch(1, 2, [change(2)]))
        self.assertEqual(resources.Gap(0), outcome)
        self.assertEqual(0, log.current.revision)

    def test_deleted_resource_is_told_to_those_behind(self):
        log = resources.ConfigurationLog()
        log.apply_batch(resources.Batch(0, 1, [change(1)]))
        log.apply_batch(resources.Batch(1, 2, [change(2, rate=None)]))
        self.assertEqual([change(2, rate=None)], log.changes_since(1).ok_value.changes)

    def test_revision_below_the_horizon_is_compacted(self):
        log = resources.ConfigurationLog()
        log.apply_batch(resources.Batch(0, 9, [change(9)], horizon=5))
        self.assertEqual(resources.Compacted(5), log.changes_since(4).err_value)
        self.assertTrue(log.changes_since(5).is_ok())

    def test_whole_state_deletes_what_it_lacks(self):
        log = resources.ConfigurationLog()
        log.apply_batch(resources.Batch(0, 1, [change(1, "gone")]))
        applied = log.apply_snapshot(resources.Batch(0, 9, [change(9)], horizon=5))
        self.assertEqual(["a"], list(log.current.of_kind("accounts")))
        self.assertIn(change(9, "gone", None), applied.changes)


class SpreadMachine(stateful.RuleBasedStateMachine):
    """One table, instances that poll, push and ask, and a faulty network."""

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.revision = 0
        self.horizon = 0
        self.states = [resources.Configuration()]
        self.logs = [resources.ConfigurationLog() for _ in range(INSTANCES)]
        self.news = []

    @stateful.rule(name=st.sampled_from(NAMES), rate=st.sampled_from([None, 1.0, 2.0]))
    def commit(self, name, rate):
        self.revision += 1
        self.rows[name] = change(self.revision, name, rate)
        batch = resources.Batch(self.revision - 1, self.revision, [self.rows[name]])
        self.news.append(batch)
        self.states.append(self.states[-1].apply(self.rows[name]))

    @stateful.rule(data=st.data(), instance=st.integers(0, INSTANCES - 1))
    def deliver(self, data, instance):
        if self.news:
            self.take(instance, data.draw(st.sampled_from(self.news)))

    @stateful.rule(instance=st.integers(0, INSTANCES - 1))
    def poll(self, instance):
        whole = resources.Batch(
            0, self.revision, list(self.rows.values()), self.horizon
        )
        log = self.logs[instance]
        behind = whole.horizon > log.current.revision > 0
        outcome = log.apply_snapshot(whole) if behind else log.apply_batch(whole)
        self.assert_state(log)
        assert not isinstance(outcome, resources.Gap)
        assert log.current.revision == self.revision

    @stateful.rule(
        asker=st.integers(0, INSTANCES - 1), asked=st.integers(0, INSTANCES - 1)
    )
    def ask(self, asker, asked):
        after = self.logs[asker].current.revision
        batch = self.logs[asked].changes_since(after)
        if batch.is_ok():
            self.news.append(batch.ok_value)
            self.take(asker, batch.ok_value)

    @stateful.rule()
    def compact(self):
        self.horizon = self.revision
        self.rows = {n: row for n, row in self.rows.items() if row.spec is not None}

    @stateful.invariant()
    def every_state_was_accepted(self):
        for log in self.logs:
            self.assert_state(log)

    def take(self, instance, batch):
        log = self.logs[instance]
        before = log.current.revision
        log.apply_batch(batch)
        assert log.current.revision >= before

    def assert_state(self, log):
        accepted = self.states[log.current.revision]
        names = attrs.asdict(accepted, recurse=False)["resources"].keys()
        assert log.current.resources.keys() == names
        for key in names:
            assert log.current.resources[key].spec == accepted.resources[key].spec


class SpreadTests(testtools.TestCase):
    def test_every_instance_only_ever_holds_accepted_states(self):
        settings = hypothesis.settings(
            max_examples=150, stateful_step_count=30, deadline=None, derandomize=True
        )
        stateful.run_state_machine_as_test(SpreadMachine, settings=settings)


class EvidenceTests(testtools.TestCase):
    def test_answer_counts_from_its_request(self):
        evidence = resources.FreshnessTracker()
        answer = resources.PeerAnswer(10.0, revision=3, confirmed_age_s=0.5)
        evidence.on_peer_answer("a", answer, revision=3)
        self.assertEqual(9.5, evidence.confirmed_at)

    def test_peer_at_another_revision_confirms_nothing(self):
        evidence = resources.FreshnessTracker()
        evidence.on_peer_answer("a", resources.PeerAnswer(10.0, 2, 0.0), revision=3)
        self.assertEqual(float("-inf"), evidence.confirmed_at)

    def test_all_listed_instances_are_needed(self):
        evidence = resources.FreshnessTracker()
        evidence.on_peer_answer("a", resources.PeerAnswer(10.0, 3), revision=3)
        evidence.confirm_by_all_peers(["a", "b"], revision=3)
        self.assertEqual(float("-inf"), evidence.confirmed_at)
        evidence.on_peer_answer(
            "b", resources.PeerAnswer(9.0, stopped=True), revision=3
        )
        evidence.confirm_by_all_peers(["a", "b"], revision=3)
        self.assertEqual(9.0, evidence.confirmed_at)

    def test_instance_with_an_unresolved_commit_confirms_nothing(self):
        evidence = resources.FreshnessTracker()
        evidence.on_peer_answer(
            "a", resources.PeerAnswer(1.0, 3, unresolved=True), revision=3
        )
        evidence.confirm_by_all_peers(["a"], revision=3)
        self.assertEqual(float("-inf"), evidence.confirmed_at)
