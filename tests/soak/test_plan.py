"""Tests of the random fault schedule."""

import testtools

from soak import plan


class PlanTests(testtools.TestCase):
    def test_equal_seeds_give_equal_plans_and_others_differ(self):
        first = plan.make_plan(3, 20.0, 5)
        self.assertEqual(first, plan.make_plan(3, 20.0, 5))
        self.assertNotEqual(first, plan.make_plan(4, 20.0, 5))

    def test_all_fault_kinds_are_scheduled_within_the_run(self):
        kinds = set()
        for seed in range(50):
            faults = plan.make_plan(seed, 20.0, 5)
            kinds.update(fault.kind for fault in faults)
            self.assertTrue(all(0.0 < fault.start_s < 20.0 for fault in faults))
            self.assertTrue(all(0 <= fault.instance < 5 for fault in faults))
        self.assertEqual(set(plan.FAULT_KINDS), kinds)

    def test_crashes_of_primaries_do_not_overlap(self):
        for seed in range(50):
            end_s = 0.0
            for fault in plan.make_plan(seed, 60.0, 5):
                if fault.kind == "primary_crash":
                    self.assertTrue(fault.start_s >= end_s)
                    end_s = fault.start_s + fault.duration_s

    def test_evacuations_leave_the_other_faults_as_they_are(self):
        plain = plan.make_plan(3, 20.0, 5)
        found = plan.make_plan(3, 20.0, 5, with_evacuations=True)
        added = [fault for fault in found if fault.kind == "evacuated"]
        self.assertEqual(plain, [fault for fault in found if fault not in added])
        ends = [fault.start_s + fault.duration_s for fault in added]
        self.assertTrue(
            all(a < b.start_s for a, b in zip(ends[:-1], added[1:], strict=True))
        )

    def test_faults_around_changes_of_the_primary_leave_the_others_as_they_are(self):
        kinds = set()
        for seed in range(20):
            plain = plan.make_plan(seed, 20.0, 5)
            found = plan.make_plan(seed, 20.0, 5, with_leadership=True)
            added = [fault for fault in found if fault.kind in plan.LEADERSHIP_KINDS]
            self.assertEqual(plain, [fault for fault in found if fault not in added])
            kinds.update(fault.kind for fault in added)
        self.assertEqual(set(plan.LEADERSHIP_KINDS), kinds)

    def test_builds_are_replaced_in_turn_and_all_instances_killed_once(self):
        plain = plan.make_plan(3, 20.0, 5)
        found = plan.make_plan(3, 20.0, 5, with_builds=True)
        added = [fault for fault in found if fault not in plain]
        self.assertEqual(plain, [fault for fault in found if fault not in added])
        replaced = [fault.instance for fault in added if fault.kind == "replace"]
        self.assertEqual(
            [(replaced[0] + turn) % 5 for turn in range(len(replaced))], replaced
        )
        self.assertTrue(len(replaced) >= 5, replaced)
        self.assertEqual(1, sum(fault.kind == "kill_all" for fault in added))
