"""Tests of the limits on the use of cached data."""

import testtools

from pomelograde.core import configuration
from pomelograde.net.hosted import state_sync


class FreshnessTests(testtools.TestCase):
    def test_nothing_is_accepted_before_the_first_read(self):
        freshness = configuration.Freshness(5.0)
        self.assertFalse(freshness.may_accept_keys(100.0))
        self.assertTrue(freshness.primary_lease_until() < 0.0)

    def test_keys_are_refused_before_the_revocation_time_is_over(self):
        freshness = configuration.Freshness(5.0)
        freshness.record_configuration_read(100.0)
        self.assertTrue(freshness.may_accept_keys(104.7))
        self.assertFalse(freshness.may_accept_keys(104.9))

    def test_older_read_does_not_shorten_the_lease(self):
        freshness = configuration.Freshness(5.0)
        freshness.record_members_read(100.0)
        until = freshness.primary_lease_until()
        freshness.record_members_read(90.0)
        self.assertEqual(until, freshness.primary_lease_until())

    def test_primary_stays_usable_for_two_seconds_of_an_outage(self):
        # The reader's last answer and the last pull from it may be just as old as
        # their intervals.
        oldest_s = state_sync.MEMBERS_INTERVAL_S + state_sync.SYNC_INTERVAL_S
        freshness = configuration.Freshness(5.0)
        freshness.record_members_read(100.0 - oldest_s)
        self.assertTrue(freshness.primary_lease_until() >= 102.0)
