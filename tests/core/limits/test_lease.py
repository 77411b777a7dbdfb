"""Tests of leases of rates beside rows of other writers."""

import hypothesis
import testtools
from hypothesis import strategies as st

from pomelograde.core import limits
from tests import odd_values
from tests.core.limits import test_fleet_rates

LEDGER = "limits/ledger"
OTHER = "limits/shares/other/1"
OWN = "limits/shares/own/1"
LEASE_S = 10.0
ODD = (
    [],
    "text",
    5,
    True,
    {"parts": "many", "free": "many"},
    {"parts": -5, "free": -5},
    {"parts": 1.5, "free": 1.5},
    {"parts": None, "free": None},
    {"parts": 10**400, "free": 10**400},
)


class LeaseTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reset()

    def reset(self):
        """Begin with an empty table."""
        self.now = 100.0
        self.table = test_fleet_rates.Table()
        self.lease = limits.ShareLease("own/1", LEASE_S, self.now)
        self.seen = 0

    def write(self, key, value):
        commit = limits.Commit((), ((key, value),), 0, "", 0.0)
        self.table.commit(commit)

    def poll(self, instances=2):
        """Read the table and carry out the commits, as an instance does."""
        rows = self.table.read(self.seen)
        self.seen = self.table.version
        self.lease.on_read_back(rows, self.now)
        for number in range(4):
            commit = self.lease.plan_commit(instances, f"{self.now}-{number}", self.now)
            if commit is None:
                return
            answer = self.table.commit(commit)
            if isinstance(answer, int):
                self.lease.on_committed(answer, self.now)
            else:
                self.lease.on_conflict(answer, self.now)

    def run_for(self, duration_s, instances=2):
        end = self.now + duration_s
        while self.now < end:
            self.now += 1.0
            self.poll(instances)

    def sum_parts(self):
        rows = [row for row in self.table.rows.values() if row.value is not None]
        return sum(limits.read_parts(row) for row in rows)

    def test_odd_row_of_another_instance_is_reclaimed(self):
        for value in ODD:
            self.reset()
            self.run_for(5.0)
            self.write(OTHER, value)
            self.run_for(3.0)
            self.assertTrue(self.lease.usable_parts(self.now) > 0, value)
            self.run_for(LEASE_S + 5.0)
            self.assertIsNone(self.table.current(OTHER).value)
            self.assertEqual(limits.TOTAL_PARTS, self.sum_parts())

    def test_parts_of_an_odd_row_return_once_it_is_reclaimed(self):
        self.write(LEDGER, {"free": limits.TOTAL_PARTS - 1000})
        self.write(OTHER, {"parts": 1000, "nonce": "x"})
        self.run_for(3.0)
        self.write(OTHER, "odd")
        self.run_for(LEASE_S + 5.0)
        self.assertEqual(limits.TOTAL_PARTS, self.sum_parts())

    def test_odd_own_row_is_written_again(self):
        for value in ODD:
            self.reset()
            self.run_for(5.0)
            held = self.lease.parts
            self.write(OWN, value)
            self.run_for(3.0)
            self.assertEqual(held, self.lease.usable_parts(self.now), value)
            self.assertEqual(limits.TOTAL_PARTS, self.sum_parts())

    def test_odd_ledger_counts_as_what_the_other_rows_leave(self):
        for value in ODD:
            self.reset()
            self.write(LEDGER, {"free": limits.TOTAL_PARTS - 1000})
            self.write(OTHER, {"parts": 1000, "nonce": "x"})
            self.write(LEDGER, value)
            self.run_for(5.0)
            self.assertEqual(limits.TOTAL_PARTS // 2, self.lease.usable_parts(self.now))
            self.assertEqual(limits.TOTAL_PARTS, self.sum_parts())

    def test_other_rows_below_the_prefix_are_left_alone(self):
        self.write("limits/notes", {"parts": 7})
        self.run_for(LEASE_S + 10.0)
        self.assertEqual({"parts": 7}, self.table.current("limits/notes").value)

    @hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
    @hypothesis.given(
        st.lists(
            st.tuples(
                st.sampled_from((LEDGER, OTHER, OWN, "limits/x")),
                st.sampled_from((None, *odd_values.ODD))
                | odd_values.mutations({"parts": 5, "free": 9, "nonce": "x"}),
                st.floats(0.0, 20.0),
            ),
            max_size=6,
        )
    )
    def test_any_rows_leave_a_lease(self, writes):
        self.reset()
        self.run_for(3.0)
        for key, value, wait_s in writes:
            self.write(key, value)
            self.run_for(wait_s)
        self.run_for(2.0 * LEASE_S)
        self.assertTrue(0 <= self.lease.usable_parts(self.now) <= limits.TOTAL_PARTS)
