"""Tests of what an instance knows of a database service."""

import testtools

from pomelograde.core import placement, sessions

POSITION = sessions.Position


def member(name, place="here", role=placement.Role.REPLICA, **known):
    return placement.Member(name, place, role=role, **known)


class GroupTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.group = placement.Group("g")
        leader = member("p", "there", placement.Role.PRIMARY)
        self.group.update([leader, member("a"), member("b", "there")], 5.0)
        self.group.primary_usable_until = 50.0

    def choose(self, now=10.0, position=None, tried=()):
        found = self.group.rank_members(position, "here", now, set(tried))
        return [chosen.name for chosen in found]

    def test_primary_is_usable_only_while_the_right_runs(self):
        self.assertEqual("p", self.group.usable_primary(49.9).name)
        self.assertIsNone(self.group.usable_primary(50.0))
        self.assertNotIn("p", self.choose(now=50.0))

    def test_near_replica_goes_before_far_ones_and_the_primary(self):
        self.assertEqual(["a", "b", "p"], self.choose())
        self.assertEqual(["b", "p"], self.choose(tried=["a"]))

    def test_replica_that_lacked_a_position_rests(self):
        self.group.on_behind("a", 10.0)
        required = POSITION(1, 5)
        self.assertNotIn("a", self.choose(10.01, required))
        self.assertIn("a", self.choose(10.03, required))
        self.group.on_position("a", POSITION(1, 5), 10.0)
        self.group.on_behind("a", 10.1)
        self.assertIn("a", self.choose(10.1, required))

    def test_staleness_is_proved_by_positions_of_the_primary(self):
        self.assertIsNone(self.group.read_requirement(None, 1.5, 10.0))
        self.group.on_position("a", POSITION(1, 4), 9.9)
        self.assertIsNone(self.group.read_requirement(None, 1.5, 10.0))
        self.group.on_position("p", POSITION(1, 7), 9.0)
        self.assertEqual(
            POSITION(1, 7), self.group.read_requirement(None, 1.5, 10.0).position
        )
        self.assertIsNone(self.group.read_requirement(None, 1.5, 10.5))

    def test_position_after_the_right_has_ended_proves_nothing(self):
        self.group.on_position("p", POSITION(1, 7), 50.0)
        self.assertIsNone(self.group.read_requirement(None, 1.5, 50.1))

    def test_session_reads_its_own_write(self):
        self.group.on_position("p", POSITION(1, 7), 9.0)
        written = POSITION(1, 9)
        self.assertEqual(
            written, self.group.read_requirement(written, 1.5, 10.0).position
        )

    def test_write_of_an_earlier_term_is_covered_by_the_new_term(self):
        self.group.on_position("p", POSITION(1, 9), 9.0)
        self.group.on_position("p", POSITION(2, 7), 9.5)
        found = self.group.read_requirement(POSITION(1, 9), 1.5, 10.0)
        self.assertEqual(POSITION(2, 7), found.position)

    def test_floors_of_an_earlier_term_are_dropped(self):
        self.group.on_position("p", POSITION(1, 9), 9.0)
        self.group.on_position("p", POSITION(2, 7), 9.9)
        self.assertEqual(
            POSITION(2, 7), self.group.read_requirement(None, 5.0, 10.0).position
        )

    def test_member_that_started_anew_is_unknown(self):
        self.group.on_position("a", POSITION(1, 5), 9.0)
        self.group.update([member("a", started_ms=2)], 10.0)
        self.assertIsNone(self.group.members["a"].position)
        self.assertIsNone(self.group.primary)

    def register(self, now, **roles):
        """Register members; returns who leads then."""
        found = [member(name, role=role) for name, role in sorted(roles.items())]
        self.group.update(found, now)
        return self.group.primary

    def test_promoted_member_leads_before_it_is_registered_as_primary(self):
        leads, follows = placement.Role.PRIMARY, placement.Role.REPLICA
        self.group.set_takeover(True, "", 10.0)
        self.group.set_takeover(False, "a", 11.0)
        self.assertEqual("a", self.group.primary)
        self.assertEqual("a", self.register(12.0, a=follows, p=leads))
        self.assertEqual("a", self.register(12.5, a=leads, p=leads))

    def test_promoted_member_that_is_never_registered_as_primary_does_not_lead(self):
        self.group.set_takeover(False, "a", 11.0)
        self.assertTrue(self.group.update_primary(13.6))
        self.assertIsNone(self.group.primary)

    def test_member_that_led_and_is_a_replica_now_does_not_lead(self):
        leads, follows = placement.Role.PRIMARY, placement.Role.REPLICA
        self.group.set_takeover(False, "a", 11.0)
        self.register(11.5, a=leads, p=follows)
        self.assertIsNone(self.register(12.0, a=follows, p=follows))
        self.assertIsNone(self.register(12.5, a=follows, p=leads))
        self.assertEqual("a", self.register(13.0, a=leads, p=follows))
