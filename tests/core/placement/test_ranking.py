"""Tests of the choice of replicas."""

import testtools

from pomelograde.core import placement, sessions

POSITION = sessions.Position
REQUIRED = POSITION(1, 5)


class ChoiceTests(testtools.TestCase):
    def choose(self, *members, required=REQUIRED, now=10.0):
        found = placement.rank_replicas(list(members), "p", required, "here", now)
        return [member.name for member in found]

    def view(self, name, place="here", index=5, position_at=10.0, **known):
        position = POSITION(1, index)
        return placement.MemberView(name, place, position, position_at, **known)

    def test_near_and_idle_replicas_go_first(self):
        found = self.choose(
            self.view("far", "there"), self.view("busy", outstanding=5), self.view("a")
        )
        self.assertEqual(["a", "far", "busy"], found)

    def test_replica_that_was_behind_just_now_is_left_alone(self):
        stale = self.view("stale", index=4, position_at=9.0)
        behind = self.view("behind", index=4)
        self.assertEqual(["stale"], self.choose(stale, behind))

    def test_leaving_and_unreachable_replicas_are_left_out(self):
        found = self.choose(
            self.view("p"),
            self.view("a", leaving=True),
            self.view("b", reachable=False),
        )
        self.assertEqual([], found)
