"""Tests of the parts of the measuring tool that need no fleet."""

import math

import testtools

from measure import chaos, figures, matrix, steps
from pomelograde.core import retries


class StepTests(testtools.TestCase):
    def test_steps_are_read_from_the_state_machines(self):
        names = [step.step for step in steps.all_steps() if step.protocol == "retries"]
        self.assertEqual([phase.name for phase in retries.Phase], names)

    def test_every_fault_is_injected_at_every_step(self):
        cells = matrix.cells(with_pairs=False)
        self.assertEqual(len(steps.all_steps()) * len(matrix.FAULTS), len(cells))


class ScheduleTests(testtools.TestCase):
    def test_a_schedule_depends_only_on_its_seed(self):
        first = chaos.make_schedule(5, 20.0)
        self.assertEqual(first, chaos.make_schedule(5, 20.0))
        self.assertNotEqual(first, chaos.make_schedule(6, 20.0))


class FigureTests(testtools.TestCase):
    def test_the_worst_condition_decides_the_figure(self):
        measured = figures.Figures()
        measured.add("replica_read_share", "one", 0.97)
        measured.add("replica_read_share", "other", 0.91)
        measured.add("write_gap_s", "killed", 1.5)
        summary = measured.summarize()
        self.assertEqual(0.91, summary["replica_read_share"]["value"])
        self.assertFalse(summary["replica_read_share"]["met"])
        self.assertTrue(summary["write_gap_s"]["met"])

    def test_a_figure_without_a_value_misses_its_target(self):
        measured = figures.Figures()
        measured.add("write_gap_s", "killed", math.nan)
        self.assertFalse(measured.summarize()["write_gap_s"]["met"])
