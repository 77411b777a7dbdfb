"""Tests of the plan of stops and of the changes of the configuration."""

import json

import testtools

from soak import plan, stops

KINDS = {
    *stops.STOP_KINDS,
    *stops.KILL_KINDS,
    *stops.MEMBER_KINDS,
    *stops.DISRUPTIONS,
    "kill_series",
    "odd_row",
}


class PlanTests(testtools.TestCase):
    def test_equal_seeds_give_equal_plans_and_others_differ(self):
        first = stops.make_plan(3, 20.0, 5)
        self.assertEqual(first, stops.make_plan(3, 20.0, 5))
        self.assertNotEqual(first, stops.make_plan(4, 20.0, 5))

    def test_all_kinds_are_scheduled_and_some_runs_have_only_planned_ones(self):
        plans = [stops.make_plan(seed, 20.0, 5) for seed in range(50)]
        self.assertEqual(KINDS, {fault.kind for faults in plans for fault in faults})
        unplanned = {*stops.KILL_KINDS, *stops.DISRUPTIONS, "kill_series"}
        calm = [
            faults
            for faults in plans
            if not any(fault.kind in unplanned for fault in faults)
        ]
        self.assertTrue(10 <= len(calm) <= 40, len(calm))

    def test_actions_on_one_instance_are_apart_and_others_overlap(self):
        overlaps = 0
        for seed in range(50):
            faults = stops.make_plan(seed, 20.0, 5)
            actions = [
                fault
                for fault in faults
                if fault.kind in (*stops.STOP_KINDS, *stops.KILL_KINDS)
                and fault.kind != "hangup"
            ]
            for number in range(5):
                own = [fault.start_s for fault in actions if fault.instance == number]
                gaps = [b - a for a, b in zip(own[:-1], own[1:], strict=True)]
                self.assertTrue(all(gap >= stops.ACTION_S for gap in gaps), gaps)
            starts = [fault.start_s for fault in actions]
            overlaps += sum(
                b - a < 0.11 for a, b in zip(starts[:-1], starts[1:], strict=True)
            )
        self.assertTrue(overlaps > 50, overlaps)

    def test_one_disruption_of_the_primary_at_a_time(self):
        for seed in range(50):
            end_s = plan.INITIAL_DELAY_S
            for fault in stops.make_plan(seed, 60.0, 5):
                if fault.kind in (*stops.MEMBER_KINDS, *stops.DISRUPTIONS):
                    self.assertTrue(fault.start_s >= end_s)
                    end_s = fault.start_s + fault.duration_s


class OddRowTests(testtools.TestCase):
    def test_rows_are_unreadable_in_one_way_each(self):
        rows = [stops.make_odd_row(number) for number in range(5)]
        self.assertEqual(400, len(str(json.loads(rows[0])["coldRemainingMs"])))
        self.assertIn(":99999", rows[1])
        self.assertNotIn("address", json.loads(rows[2]))
        self.assertEqual("A", json.loads(rows[3])["version"])
        self.assertIn("[" * 103, rows[3])
        self.assertRaises(ValueError, json.loads, rows[4])


class AdministratorTests(testtools.TestCase):
    def test_keys_move_and_are_withdrawn_and_given_back(self):
        written = []
        fleet = type("Fleet", (), {"put_manifest": lambda self, new: written.append(0)})
        administrator = stops.Administrator(fleet(), 1)
        for _ in range(200):
            administrator._change()
            administrator._write()
        found = administrator.configurations
        self.assertEqual(201, len(written))
        changes = set()
        for old, new in zip(found[:-1], found[1:], strict=True):
            self.assertEqual(new.acknowledged_at, old.replaced_at)
            for key in stops.KEYS:
                before, after = old.accounts.get(key), new.accounts.get(key)
                if before != after:
                    changes.add((before is not None, after is not None))
        self.assertEqual({(True, True), (True, False), (False, True)}, changes)
        self.assertTrue(any(len(each.databases) > 4 for each in found))
