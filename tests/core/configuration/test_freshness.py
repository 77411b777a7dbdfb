"""Tests of how long knowledge may be relied upon."""

import testtools

from pomelograde.core import configuration


class FreshnessTests(testtools.TestCase):
    def test_nothing_is_accepted_before_the_first_answer(self):
        fresh = configuration.Freshness(5.0)
        self.assertFalse(fresh.may_accept_keys(100.0))
        self.assertTrue(fresh.primary_lease_until() < 0.0)

    def test_keys_are_refused_before_a_withdrawn_one_must_not_run(self):
        fresh = configuration.Freshness(5.0)
        fresh.record_configuration_read(100.0)
        self.assertTrue(fresh.may_accept_keys(104.7))
        self.assertFalse(fresh.may_accept_keys(104.9))

    def test_older_answer_takes_nothing_back(self):
        fresh = configuration.Freshness(5.0)
        fresh.record_members_read(100.0)
        until = fresh.primary_lease_until()
        fresh.record_members_read(90.0)
        self.assertEqual(until, fresh.primary_lease_until())
