"""Tests of the division of rates while a part of the fleet is cut off.

The load: an account spreads its requests over six instances. Some of them lose the
store and their peers, and later stop accepting its key; its callers move to the
others.
"""

import testtools

from pomelograde.core import limits
from tests import windows

REVOCATION_S = 5.0
NAMES = [f"i{number}" for number in range(6)]
RATE_PER_S = 90.0
BURST = 30.0
EXCESS = 0.1
SLACK = 20.0
WINDOW_S = 5.0
STEP_S = 0.01
CUT_AT_S = 10.0


class Instance:
    """One instance's share of an account's rate, under unlimited demand."""

    def __init__(self):
        self.division = limits.RateDivision(REVOCATION_S)
        self.division.set_registered(NAMES, 0.0)
        self.share = limits.RateShare(0.0)
        self.state_at = 0.0

    def admit(self, now):
        """Return the number of requests that are admitted now."""
        part = self.division.part(now - self.state_at, now)
        self.share.resize(RATE_PER_S, BURST, part, now)
        admitted = 0
        while part and self.share.take(now):
            admitted += 1
        return admitted


class CutOffTests(testtools.TestCase):
    def play(self, cut, seconds, ended_after_s=5.0):
        """Return the times of admissions in sight of the store, and of those cut off.

        The registrations of the instances that are cut off end `ended_after_s`
        after the cut, of which the others learn half a second later.
        """
        instances = {name: Instance() for name in NAMES}
        admitted = {True: [], False: []}
        now = 0.0
        while now < CUT_AT_S + seconds:
            now += STEP_S
            is_ended = now >= CUT_AT_S + ended_after_s + 0.5
            for name, instance in instances.items():
                is_cut = name in cut
                if now < CUT_AT_S or not is_cut:
                    instance.state_at = now
                if is_ended and not is_cut:
                    left = [other for other in NAMES if other not in cut]
                    instance.division.set_registered(left, now)
                admitted[not is_cut].extend([now] * instance.admit(now))
        return admitted[True], admitted[False]

    def test_total_stays_within_the_bound_for_any_size_of_the_cut(self):
        bound = (RATE_PER_S * WINDOW_S + BURST) * (1.0 + EXCESS) + SLACK
        for count in range(1, 6):
            for ended_after_s in (0.5, 2.5, 5.0):
                inside, outside = self.play(NAMES[:count], 16.0, ended_after_s)
                most = windows.max_count_in_window(sorted(inside + outside), WINDOW_S)
                self.assertTrue(most <= bound, (count, ended_after_s, most, bound))

    def test_single_remaining_instance_gets_half_and_then_all_of_the_rate(self):
        inside, _ = self.play(NAMES[1:], 16.0)
        learnt_at = CUT_AT_S + 5.5

        def rate(start, end):
            return sum(start <= at < end for at in inside) / (end - start)

        self.assertTrue(rate(learnt_at, learnt_at + 3.0) < 0.2 * RATE_PER_S)
        half = rate(learnt_at + 3.3, learnt_at + 4.9)
        self.assertTrue(0.5 * RATE_PER_S < half < 0.7 * RATE_PER_S, half)
        whole = rate(learnt_at + 5.1, learnt_at + 9.0)
        self.assertTrue(whole > 0.95 * RATE_PER_S, whole)

    def test_instances_that_are_cut_off_go_on_with_half_for_their_reads(self):
        _, outside = self.play(NAMES, 6.0)
        self.assertTrue(any(at > CUT_AT_S + 4.6 for at in outside))
        self.assertFalse(any(at > CUT_AT_S + 4.81 for at in outside))
        late = sum(at > CUT_AT_S + 3.2 for at in outside) / 1.6
        self.assertTrue(0.4 * RATE_PER_S < late < 0.6 * RATE_PER_S, late)

    def test_instance_that_registers_again_has_its_share_at_once(self):
        division = limits.RateDivision(REVOCATION_S)
        division.set_registered(NAMES, 0.0)
        division.set_registered(NAMES[:3], 1.0)
        self.assertAlmostEqual(1 / 6, division.part(0.0, 2.0))
        division.set_registered(NAMES[:4], 2.0)
        self.assertAlmostEqual(1 / 6, division.part(0.0, 2.0))
        self.assertAlmostEqual(1 / 4, division.part(0.0, 6.5))
