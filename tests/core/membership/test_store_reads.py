"""Tests of how often instances with old state read the store."""

import testtools

from pomelograde.core import membership


class StaleReadsTests(testtools.TestCase):
    def count(self, instance_count):
        """Return the reads of one instance that wants one every 0.1 s for 10 s."""
        reads = membership.StaleReads()
        return sum(reads.is_due(instance_count, step / 10.0) for step in range(100))

    def test_small_fleet_is_not_limited(self):
        self.assertEqual(100, self.count(7))

    def test_instance_of_a_large_fleet_reads_once_a_second(self):
        self.assertEqual(10, self.count(1079))
