"""Tests of the choice of the instances that hold a rate."""

import collections

import testtools

from pomelograde.core import limits, membership


def make_instances(count, data_centres=6):
    return [
        membership.Instance(
            f"i{n}",
            f"dc{n % data_centres}",
            1,
            "127.0.0.1",
            2,
            region=f"r{n % data_centres // 2}",
        )
        for n in range(count)
    ]


class HolderTests(testtools.TestCase):
    def test_large_burst_is_held_by_all_instances(self):
        names = limits.Holders(make_instances(7, 3)).find("a", 15.0)
        self.assertEqual([f"i{n}" for n in range(7)], sorted(names))

    def test_small_burst_is_held_in_different_data_centres(self):
        instances = make_instances(72)
        data_centres_by_name = {
            instance.name: instance.data_centre for instance in instances
        }
        holders = limits.Holders(instances)
        for account in ("a", "b", "c"):
            names = holders.find(account, 22.0)
            self.assertEqual(4, len(names))
            self.assertEqual(4, len({data_centres_by_name[name] for name in names}))

    def test_holders_are_spread_over_regions_first(self):
        instances = make_instances(72)
        regions = {instance.name: instance.region for instance in instances}
        holders = limits.Holders(instances)
        for number in range(20):
            names = holders.find(f"account-{number}", 15.0)
            self.assertEqual(3, len({regions[name] for name in names}))

    def test_minimal_burst_is_held_by_one_instance(self):
        self.assertEqual(1, len(limits.Holders(make_instances(72)).find("a", 4.0)))

    def test_there_are_no_holders_without_instances(self):
        self.assertEqual([], limits.Holders([]).find("a", 10.0))

    def test_accounts_are_balanced_and_keep_holders_when_an_instance_leaves(self):
        instances = make_instances(72)
        accounts = [f"account-{n}" for n in range(500)]
        before = limits.Holders(instances)
        after = limits.Holders(instances[:-1])
        load = collections.Counter()
        moved = 0
        for account in accounts:
            names = before.find(account, 40.0)
            load.update(names)
            moved += set(names) - {"i71"} != set(names) & set(after.find(account, 40.0))
        self.assertEqual(0, moved)
        self.assertTrue(max(load.values()) < 10 * 500 * 8 / 72, load.most_common(3))
