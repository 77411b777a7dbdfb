"""Tests of the ranking of replicas."""

import testtools

from pomelograde.core import placement, sessions

POSITION = sessions.Position
REQUIRED = POSITION(1, 5)


class RankingTests(testtools.TestCase):
    def rank(self, *members, required=REQUIRED, now=10.0):
        ranked = placement.rank_replicas(list(members), "p", required, "here", now)
        return [member.name for member in ranked]

    def view(self, name, data_centre="here", index=5, position_at=10.0, **known):
        position = POSITION(1, index)
        return placement.MemberView(name, data_centre, position, position_at, **known)

    def test_local_and_idle_replicas_come_first(self):
        ranked = self.rank(
            self.view("far", "there"), self.view("busy", outstanding=5), self.view("a")
        )
        self.assertEqual(["a", "far", "busy"], ranked)

    def test_replica_with_a_recent_report_of_lag_is_excluded(self):
        stale = self.view("stale", index=4, position_at=9.0)
        behind = self.view("behind", index=4)
        self.assertEqual(["stale"], self.rank(stale, behind))

    def test_leaving_and_unreachable_replicas_are_excluded(self):
        ranked = self.rank(
            self.view("p"),
            self.view("a", leaving=True),
            self.view("b", reachable=False),
        )
        self.assertEqual([], ranked)
