"""Tests of the configuration log and of confirmed freshness.

The log must handle batches that are lost, late or delivered twice.
"""

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
    def test_batch_after_a_gap_is_not_applied(self):
        log = resources.ConfigurationLog()
        outcome = log.apply_batch(resources.Batch(1, 2, [change(2)]))
        self.assertEqual(resources.Gap(0), outcome)
        self.assertEqual(0, log.current.revision)

    def test_changes_since_a_revision_include_deletions(self):
        log = resources.ConfigurationLog()
        log.apply_batch(resources.Batch(0, 1, [change(1)]))
        log.apply_batch(resources.Batch(1, 2, [change(2, rate=None)]))
        self.assertEqual([change(2, rate=None)], log.changes_since(1).ok_value.changes)

    def test_revision_below_the_horizon_is_compacted(self):
        log = resources.ConfigurationLog()
        log.apply_batch(resources.Batch(0, 9, [change(9)], horizon=5))
        self.assertEqual(resources.Compacted(5), log.changes_since(4).err_value)
        self.assertTrue(log.changes_since(5).is_ok())

    def test_snapshot_deletes_resources_that_it_lacks(self):
        log = resources.ConfigurationLog()
        log.apply_batch(resources.Batch(0, 1, [change(1, "gone")]))
        applied = log.apply_snapshot(resources.Batch(0, 9, [change(9)], horizon=5))
        self.assertEqual(["a"], list(log.current.of_kind("accounts")))
        self.assertIn(change(9, "gone", None), applied.changes)


class ReplicationMachine(stateful.RuleBasedStateMachine):
    """Models a table, instances that poll, push and query, and a faulty network."""

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.revision = 0
        self.horizon = 0
        self.states = [resources.Configuration()]
        self.logs = [resources.ConfigurationLog() for _ in range(INSTANCES)]
        self.sent_batches = []

    @stateful.rule(name=st.sampled_from(NAMES), rate=st.sampled_from([None, 1.0, 2.0]))
    def commit(self, name, rate):
        self.revision += 1
        self.rows[name] = change(self.revision, name, rate)
        batch = resources.Batch(self.revision - 1, self.revision, [self.rows[name]])
        self.sent_batches.append(batch)
        self.states.append(self.states[-1].apply(self.rows[name]))

    @stateful.rule(data=st.data(), instance=st.integers(0, INSTANCES - 1))
    def deliver(self, data, instance):
        if self.sent_batches:
            self.apply_batch(instance, data.draw(st.sampled_from(self.sent_batches)))

    @stateful.rule(instance=st.integers(0, INSTANCES - 1))
    def poll(self, instance):
        snapshot = resources.Batch(
            0, self.revision, list(self.rows.values()), self.horizon
        )
        log = self.logs[instance]
        behind = snapshot.horizon > log.current.revision > 0
        outcome = log.apply_snapshot(snapshot) if behind else log.apply_batch(snapshot)
        self.assert_state(log)
        assert not isinstance(outcome, resources.Gap)
        assert log.current.revision == self.revision

    @stateful.rule(
        requester=st.integers(0, INSTANCES - 1), responder=st.integers(0, INSTANCES - 1)
    )
    def query(self, requester, responder):
        after = self.logs[requester].current.revision
        batch = self.logs[responder].changes_since(after)
        if batch.is_ok():
            self.sent_batches.append(batch.ok_value)
            self.apply_batch(requester, batch.ok_value)

    @stateful.rule()
    def compact(self):
        self.horizon = self.revision
        self.rows = {n: row for n, row in self.rows.items() if row.spec is not None}

    @stateful.invariant()
    def every_state_was_accepted(self):
        for log in self.logs:
            self.assert_state(log)

    def apply_batch(self, instance, batch):
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


class ReplicationTests(testtools.TestCase):
    def test_instances_only_hold_accepted_states(self):
        settings = hypothesis.settings(
            max_examples=150, stateful_step_count=30, deadline=None, derandomize=True
        )
        stateful.run_state_machine_as_test(ReplicationMachine, settings=settings)


class FreshnessTests(testtools.TestCase):
    def test_age_counts_from_the_request(self):
        tracker = resources.FreshnessTracker()
        answer = resources.PeerAnswer(10.0, revision=3, confirmed_age_s=0.5)
        tracker.on_peer_answer("a", answer, revision=3)
        self.assertEqual(9.5, tracker.confirmed_at)

    def test_peer_at_another_revision_confirms_nothing(self):
        tracker = resources.FreshnessTracker()
        tracker.on_peer_answer("a", resources.PeerAnswer(10.0, 2, 0.0), revision=3)
        self.assertEqual(float("-inf"), tracker.confirmed_at)

    def test_confirmation_needs_all_instances(self):
        tracker = resources.FreshnessTracker()
        tracker.on_peer_answer("a", resources.PeerAnswer(10.0, 3), revision=3)
        tracker.confirm_by_all_peers(["a", "b"], revision=3)
        self.assertEqual(float("-inf"), tracker.confirmed_at)
        tracker.on_peer_answer("b", resources.PeerAnswer(9.0, stopped=True), revision=3)
        tracker.confirm_by_all_peers(["a", "b"], revision=3)
        self.assertEqual(9.0, tracker.confirmed_at)

    def test_instance_with_an_unresolved_commit_confirms_nothing(self):
        tracker = resources.FreshnessTracker()
        tracker.on_peer_answer(
            "a", resources.PeerAnswer(1.0, 3, unresolved=True), revision=3
        )
        tracker.confirm_by_all_peers(["a"], revision=3)
        self.assertEqual(float("-inf"), tracker.confirmed_at)
