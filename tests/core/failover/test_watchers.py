"""Tests of the choice of watchers and of connection shares."""

import hypothesis
import testtools
from hypothesis import strategies as st

from pomelograde.core import failover, membership


def instances(count, data_centres=("x", "y", "z")):
    return [
        membership.Instance(
            f"i{n}", data_centres[n % len(data_centres)], 1, "127.0.0.1", 1
        )
        for n in range(count)
    ]


class WatcherTests(testtools.TestCase):
    def test_one_watcher_in_each_data_centre(self):
        chosen = failover.choose_watchers("g", instances(7))
        self.assertEqual(["x", "y", "z"], sorted(found.data_centre for found in chosen))

    def test_loss_of_an_instance_moves_only_its_own_groups(self):
        live = instances(7)
        for number in range(50):
            before = failover.choose_watchers(f"g{number}", live)
            after = failover.choose_watchers(f"g{number}", live[1:])
            kept = [found for found in before if found is not live[0]]
            self.assertTrue(set(kept) <= set(after))

    @hypothesis.seed(3)
    @hypothesis.settings(max_examples=300, deadline=None, database=None)
    @hypothesis.given(st.integers(1, 60), st.integers(1, 40), st.integers(1, 5))
    def test_shares_stay_within_the_limit(self, limit, count, watchers):
        names = [f"i{n}" for n in range(count)]
        shares = [
            failover.connection_share(limit, watchers, "m", name, names)
            for name in names
        ]
        self.assertTrue(max(shares) - min(shares) <= 1)
        self.assertTrue(sum(shares) + watchers <= max(limit, watchers))

    def test_seven_instances_share_the_connections_of_a_bollette_member(self):
        names = [f"i{n}" for n in range(7)]
        shares = [failover.connection_share(20, 3, "m", name, names) for name in names]
        self.assertEqual(16, sum(shares))
