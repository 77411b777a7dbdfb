"""Tests of the choice of faults."""

import testtools

from soak import plan


class PlanTests(testtools.TestCase):
    def test_seed_repeats_its_plan_and_others_differ(self):
        first = plan.make_plan(3, 20.0, 5)
        self.assertEqual(first, plan.make_plan(3, 20.0, 5))
        self.assertNotEqual(first, plan.make_plan(4, 20.0, 5))

    def test_all_kinds_come_in_time(self):
        found = set()
        for seed in range(50):
            faults = plan.make_plan(seed, 20.0, 5)
            found.update(fault.kind for fault in faults)
            self.assertTrue(all(0.0 < fault.at_s < 20.0 for fault in faults))
            self.assertTrue(all(0 <= fault.number < 5 for fault in faults))
        self.assertEqual(set(plan.KINDS), found)

    def test_primaries_crash_one_after_the_other(self):
        for seed in range(50):
            ends = 0.0
            for fault in plan.make_plan(seed, 60.0, 5):
                if fault.kind == "primary_crash":
                    self.assertTrue(fault.at_s >= ends)
                    ends = fault.at_s + fault.for_s
