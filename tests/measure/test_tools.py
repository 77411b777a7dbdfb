"""Parts of the measuring tool that need no fleet."""

import math

import testtools

from measure import chaos, figures, matrix, steps
from pomelograde.core import retries


class StepTests(testtools.TestCase):
    def test_steps_come_from_the_code(self):
        found = [one.step for one in steps.all_steps() if one.protocol == "retries"]
        self.assertEqual([phase.name for phase in retries.Phase], found)

    def test_every_fault_meets_every_step(self):
        cells = matrix.cells(with_pairs=False)
        self.assertEqual(len(steps.all_steps()) * len(matrix.FAULTS), len(cells))


class ScheduleTests(testtools.TestCase):
    def test_a_schedule_follows_from_its_seed(self):
        first = chaos.make_schedule(5, 20.0)
        self.assertEqual(first, chaos.make_schedule(5, 20.0))
        self.assertNotEqual(first, chaos.make_schedule(6, 20.0))


class FigureTests(testtools.TestCase):
    def test_the_worst_condition_counts(self):
        found = figures.Figures()
        found.add("replica_read_share", "one", 0.97)
        found.add("replica_read_share", "other", 0.91)
        found.add("write_gap_s", "killed", 1.5)
        summary = found.summarize()
        self.assertEqual(0.91, summary["replica_read_share"]["value"])
        self.assertFalse(summary["replica_read_share"]["met"])
        self.assertTrue(summary["write_gap_s"]["met"])

    def test_a_missing_figure_is_not_met(self):
        found = figures.Figures()
        found.add("write_gap_s", "killed", math.nan)
        self.assertFalse(found.summarize()["write_gap_s"]["met"])
