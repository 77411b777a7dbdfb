"""Tests of the checks of a run: each finds what it is for."""

import attrs
import testtools

from soak import history

OUTCOME = history.Outcome
WRITE = history.Write("id1", "x", 1, 100.0, OUTCOME.ACKNOWLEDGED)
LOG = [("x", "1", "id1")]
PROMOTIONS = [("a", "i", 3), ("b", "i", 7)]


class HistoryTests(testtools.TestCase):
    def check(self, writes=(WRITE,), reads=(), log=LOG, promotions=(), crashes=()):
        seen = history.History(list(writes), list(reads), list(crashes))
        return [found.promise for found in history.check(seen, log, promotions)]

    def test_kept_promises_are_not_reported(self):
        read = history.Read("x", 1, 1, "meters")
        self.assertEqual([], self.check(reads=[read], promotions=PROMOTIONS))

    def test_write_that_is_there_twice(self):
        self.assertEqual(["written once"], self.check(log=LOG * 2))

    def test_write_that_is_there_though_it_was_refused(self):
        refused = attrs.evolve(WRITE, outcome=OUTCOME.NOT_RUN)
        self.assertEqual(["not run means not kept"], self.check([refused]))

    def test_write_of_unknown_outcome_may_be_there_or_not(self):
        unknown = attrs.evolve(WRITE, outcome=OUTCOME.UNKNOWN)
        self.assertEqual([], self.check([unknown]))
        self.assertEqual([], self.check([unknown], log=[]))

    def test_acknowledged_write_that_is_gone(self):
        self.assertEqual(["acknowledged writes are kept"], self.check(log=[]))

    def test_write_before_a_crash_may_be_rolled_back(self):
        self.assertEqual([], self.check(log=[], crashes=[100.2]))
        self.assertEqual(
            ["acknowledged writes are kept"], self.check(log=[], crashes=[103.0])
        )

    def test_transaction_that_is_kept_in_part(self):
        unknown = attrs.evolve(WRITE, outcome=OUTCOME.UNKNOWN, group="t")
        other = attrs.evolve(unknown, request_id="id2", item="y")
        self.assertEqual(
            ["transactions are kept as a whole"], self.check([unknown, other])
        )

    def test_read_that_misses_an_acknowledged_write(self):
        stale = history.Read("x", 0, 1, "meters")
        self.assertEqual(["reads are not stale"], self.check(reads=[stale]))

    def test_read_that_misses_what_was_rolled_back(self):
        stale = history.Read("x", 0, 1, "meters")
        found = self.check(reads=[stale], log=[], crashes=[100.1])
        self.assertEqual([], found)

    def test_fences_that_do_not_rise(self):
        for fences in ((7, 3), (3, 3)):
            promotions = [("a", "i", fence) for fence in fences]
            self.assertEqual(["fences rise"], self.check(promotions=promotions))
