"""Tests of days on simulated time, and proofs that they show mended faults."""

import testtools

from measure import simulation

FAULT = simulation.Fault
# The only replica with acknowledged commits is not reached, or has no row.
UNREACHED_REPLICA = [
    FAULT(0.3, "late-log", 1, 6.0),
    FAULT(1.5, "crash-primary", 0, 6.0),
    FAULT(1.5, "isolate-member", 2, 6.0),
]
REPLICA_WITHOUT_ROW = [
    FAULT(0.3, "late-log", 1, 9.0),
    FAULT(1.0, "lapse-row", 2, 9.0),
    FAULT(3.2, "crash-primary", 0, 6.0),
]
# The primary and the only replica with acknowledged commits are lost together.
LOST_DATA_CENTRE = [
    FAULT(0.3, "late-log", 1, 14.0),
    FAULT(2.0, "crash-primary", 0, 12.0),
    FAULT(2.0, "isolate-member", 2, 12.0),
    FAULT(2.0, "lapse-row", 2, 12.0),
]
# The successor has not applied its log yet when it is promoted.
LATE_PROMOTION = [
    FAULT(0.3, "lag", 1, 2.5),
    FAULT(0.3, "lag", 2, 2.5),
    FAULT(0.8, "slow-promotions", 0, 1.0),
    FAULT(1.0, "drain-primary", 0, 4.0),
]


def find_columns(faults, without=""):
    """Return the columns in which a day finds something."""
    with simulation.put_back(without):
        outcome, _ = simulation.play(7, faults)
    return {name for name, found in outcome.found.items() if found}


class DayTests(testtools.TestCase):
    def test_days_with_random_faults_break_nothing(self):
        for seed in range(1, 5):
            outcome, _ = simulation.play(seed)
            self.assertFalse(outcome.is_broken, outcome)
            self.assertTrue(outcome.writes > 100)

    def test_same_seed_has_the_same_faults(self):
        self.assertEqual(simulation.plan_day(3), simulation.plan_day(3))
        self.assertNotEqual(simulation.plan_day(3), simulation.plan_day(4))


class ProofTests(testtools.TestCase):
    """Each day breaks nothing, but does with the mended fault put back."""

    def test_unreached_synchronous_replica(self):
        self.assertEqual(set(), find_columns(UNREACHED_REPLICA))
        self.assertIn("lost", find_columns(UNREACHED_REPLICA, "review-3"))

    def test_replica_without_row(self):
        self.assertEqual(set(), find_columns(REPLICA_WITHOUT_ROW))
        found = find_columns(REPLICA_WITHOUT_ROW, "replica-without-row")
        self.assertIn("lost", found)

    def test_replica_that_is_lost_with_its_primary(self):
        self.assertEqual(set(), find_columns(LOST_DATA_CENTRE))
        self.assertIn("lost", find_columns(LOST_DATA_CENTRE, "review-11"))

    def test_successor_that_is_not_seen_to_lead(self):
        self.assertEqual(set(), find_columns(LATE_PROMOTION))
        self.assertIn("stale", find_columns(LATE_PROMOTION, "review-10"))
