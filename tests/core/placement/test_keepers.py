"""Tests of how many instances share a member's connections."""

import testtools

from pomelograde.core import placement


class KeeperTests(testtools.TestCase):
    def test_all_keep_some_where_each_account_has_one(self):
        self.assertEqual(3, placement.count_keepers(22, 8, 3))
        self.assertEqual(11, placement.count_keepers(150, 76, 11))

    def test_few_keep_many_where_accounts_have_to_share(self):
        self.assertEqual(3, placement.count_keepers(54, 78, 12))
        self.assertEqual(2, placement.count_keepers(54, 78, 2))
        self.assertEqual(1, placement.count_keepers(10, 78, 12))
