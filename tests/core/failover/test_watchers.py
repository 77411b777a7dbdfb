"""Tests of who watches a group and of the connections' shares."""

import hypothesis
import testtools
from hypothesis import strategies as st

from pomelograde.core import failover, membership


def instances(count, places=("x", "y", "z")):
    return [
        membership.Instance(f"i{n}", places[n % len(places)], 1, "127.0.0.1", 1)
        for n in range(count)
    ]


class WatcherTests(testtools.TestCase):
    def test_one_watcher_in_each_data_centre(self):
        chosen = failover.choose_watchers("g", instances(7))
        self.assertEqual(["x", "y", "z"], sorted(found.data_centre for found in chosen))

    def test_loss_of_an_instance_moves_only_its_own_groups(self):
        everyone = instances(7)
        for number in range(50):
            before = failover.choose_watchers(f"g{number}", everyone)
            after = failover.choose_watchers(f"g{number}", everyone[1:])
            kept = [found for found in before if found is not everyone[0]]
            self.assertTrue(set(kept) <= set(after))

    @hypothesis.seed(3)
    @hypothesis.settings(max_examples=300, deadline=None, database=None)
    @hypothesis.given(st.integers(1, 60), st.integers(1, 40), st.integers(1, 5))
    def test_shares_never_pass_the_limit(self, limit, count, watchers):
        names = [f"i{n}" for n in range(count)]
        shares = [
            failover.connection_share(limit, watchers, "m", name, names)
            for name in names
        ]
        self.assertTrue(max(shares) - min(shares) <= 1)
        self.assertTrue(sum(shares) + watchers <= max(limit, watchers))

    def test_bollette_at_its_size(self):
        names = [f"i{n}" for n in range(7)]
        shares = [failover.connection_share(20, 3, "m", name, names) for name in names]
        self.assertEqual(16, sum(shares))
