"""Tests of the state that an instance keeps of a database service."""

import testtools

from pomelograde.core import placement, sessions

POSITION = sessions.Position


def member(name, data_centre="here", role=placement.Role.REPLICA, **known):
    return placement.Member(name, data_centre, role=role, **known)


class GroupTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.group = placement.Group("g")
        primary = member("p", "there", placement.Role.PRIMARY)
        self.group.update([primary, member("a"), member("b", "there")], 5.0)
        self.group.primary_lease_until = 50.0

    def rank(self, now=10.0, position=None, tried=()):
        ranked = self.group.rank_members(position, "here", now, set(tried))
        return [entry.name for entry in ranked]

    def test_primary_is_not_usable_after_its_lease_has_expired(self):
        self.assertEqual("p", self.group.usable_primary(49.9).name)
        self.assertIsNone(self.group.usable_primary(50.0))
        self.assertNotIn("p", self.rank(now=50.0))

    def update(self, role, leaving, until):
        """Set the member "c", and until when it is used if it has begun to leave."""
        found = member("c", role=role, leaving=leaving)
        self.group.update([found, member("a")], 10.0, leaving_until=until)

    def test_leaving_primary_gets_no_statement_once_its_time_is_over(self):
        primary = placement.Role.PRIMARY
        self.update(primary, leaving=True, until=20.0)
        self.assertEqual("c", self.group.usable_primary(19.9).name)
        self.assertIsNone(self.group.usable_primary(20.0))
        self.update(primary, leaving=False, until=30.0)
        self.assertEqual("c", self.group.usable_primary(40.0).name)

    def test_primary_whose_time_is_over_comes_after_one_of_the_same_term(self):
        rows = [
            member(name, role=placement.Role.PRIMARY, leaving=leaving)
            for name, leaving in (("c", True), ("d", False), ("e", True))
        ]
        self.group.update(rows, 10.0, leaving_until=9.0)
        self.assertEqual("d", self.group.primary)

    def test_leaving_member_whose_row_comes_back_gets_no_new_time(self):
        primary = placement.Role.PRIMARY
        self.update(primary, leaving=True, until=20.0)
        self.group.update([member("a")], 15.0, leaving_until=25.0)
        self.update(primary, leaving=True, until=26.0)
        self.assertIsNone(self.group.usable_primary(20.0))
        self.update(primary, leaving=False, until=40.0)
        self.group.update([member("a")], 16.0)
        self.update(primary, leaving=True, until=45.0)
        self.assertEqual("c", self.group.usable_primary(44.0).name)

    def test_promotion_of_a_leaving_member_does_not_extend_its_time(self):
        self.update(placement.Role.REPLICA, leaving=True, until=20.0)
        self.update(placement.Role.PRIMARY, leaving=True, until=30.0)
        self.assertEqual("c", self.group.usable_primary(19.9).name)
        self.assertIsNone(self.group.usable_primary(20.0))

    def test_local_replica_comes_before_remote_replicas_and_the_primary(self):
        self.assertEqual(["a", "b", "p"], self.rank())
        self.assertEqual(["b", "p"], self.rank(tried=["a"]))

    def test_replica_that_lagged_is_excluded_until_its_back_off_ends(self):
        self.group.on_behind("a", 10.0)
        required = POSITION(1, 5)
        self.assertNotIn("a", self.rank(10.01, required))
        self.assertIn("a", self.rank(10.03, required))
        self.group.on_position("a", POSITION(1, 5), 10.0)
        self.group.on_behind("a", 10.1)
        self.assertIn("a", self.rank(10.1, required))

    def test_staleness_is_bounded_by_positions_of_the_primary_only(self):
        self.assertIsNone(self.group.read_requirement(None, 1.5, 10.0))
        self.group.on_position("a", POSITION(1, 4), 9.9)
        self.assertIsNone(self.group.read_requirement(None, 1.5, 10.0))
        self.group.on_position("p", POSITION(1, 7), 9.0)
        self.assertEqual(
            POSITION(1, 7), self.group.read_requirement(None, 1.5, 10.0).position
        )
        self.assertIsNone(self.group.read_requirement(None, 1.5, 10.5))

    def test_position_requested_after_the_lease_has_expired_is_no_floor(self):
        self.group.on_position("p", POSITION(1, 7), 50.0)
        self.assertIsNone(self.group.read_requirement(None, 1.5, 50.1))

    def test_read_requires_the_position_of_the_sessions_own_commit(self):
        self.group.on_position("p", POSITION(1, 7), 9.0)
        commit_position = POSITION(1, 9)
        self.assertEqual(
            commit_position,
            self.group.read_requirement(commit_position, 1.5, 10.0).position,
        )

    def test_commit_of_an_earlier_term_requires_the_start_of_the_new_term(self):
        self.group.on_position("p", POSITION(1, 9), 9.0)
        self.group.on_position("p", POSITION(2, 7), 9.5)
        requirement = self.group.read_requirement(POSITION(1, 9), 1.5, 10.0)
        self.assertEqual(POSITION(2, 7), requirement.position)

    def test_floors_of_an_earlier_term_are_discarded(self):
        self.group.on_position("p", POSITION(1, 9), 9.0)
        self.group.on_position("p", POSITION(2, 7), 9.9)
        self.assertEqual(
            POSITION(2, 7), self.group.read_requirement(None, 5.0, 10.0).position
        )

    def test_position_of_a_restarted_member_is_unknown(self):
        self.group.on_position("a", POSITION(1, 5), 9.0)
        self.group.update([member("a", started_ms=2)], 10.0)
        self.assertIsNone(self.group.members["a"].position)
        self.assertIsNone(self.group.primary)

    def register(self, now, **roles):
        """Register members with these roles; returns the resulting primary."""
        members = [member(name, role=role) for name, role in sorted(roles.items())]
        self.group.update(members, now)
        return self.group.primary

    def test_promoted_member_is_primary_before_it_is_registered_as_such(self):
        primary, replica = placement.Role.PRIMARY, placement.Role.REPLICA
        self.group.set_takeover(True, "", 10.0)
        self.group.set_takeover(False, "a", 11.0)
        self.assertEqual("a", self.group.primary)
        self.assertEqual("a", self.register(12.0, a=replica, p=primary))
        self.assertEqual("a", self.register(12.5, a=primary, p=primary))

    def test_promoted_member_is_not_primary_if_it_is_not_registered_as_such_in_time(
        self,
    ):
        self.group.set_takeover(False, "a", 11.0)
        self.assertTrue(self.group.update_primary(13.6))
        self.assertIsNone(self.group.primary)

    def test_member_that_is_promoted_again_is_primary_before_its_row_says_so(self):
        # Takeovers of a successor that had restarted followed one another.
        primary, replica = placement.Role.PRIMARY, placement.Role.REPLICA
        self.group.set_takeover(True, "", 10.0)
        self.group.set_takeover(False, "a", 11.0)
        self.register(11.5, a=primary, p=replica)
        self.assertIsNone(self.register(12.0, a=replica, p=replica))
        self.group.set_takeover(True, "a", 12.5, is_successor_confirmed=False)
        self.assertIsNone(self.group.primary)
        self.group.set_takeover(False, "a", 13.0)
        self.assertEqual("a", self.group.primary)
        self.assertEqual("a", self.register(13.5, a=primary, p=replica))

    def test_takeover_without_a_promotion_leaves_a_restarted_successor_unused(self):
        primary, replica = placement.Role.PRIMARY, placement.Role.REPLICA
        self.group.set_takeover(True, "", 10.0)
        self.group.set_takeover(False, "a", 11.0)
        self.register(11.5, a=primary, p=replica)
        self.register(12.0, a=replica, p=replica)
        self.group.set_takeover(True, "a", 12.5, is_successor_confirmed=False)
        self.group.set_takeover(False, "a", 13.0, is_successor_confirmed=False)
        self.assertIsNone(self.group.primary)

    def test_members_without_a_row_are_remembered_unless_they_were_leaving(self):
        group = placement.Group("g")
        steps = (
            (10.0, [member("a"), member("b"), member("c", leaving=True)], []),
            (11.0, [member("a")], ["b"]),
            (70.9, [member("a")], ["b"]),
            (71.0, [member("a")], []),
            (72.0, [member("a"), member("b")], []),
            (73.0, [member("b")], ["a"]),
            (74.0, [member("a"), member("b")], []),
        )
        for now, members, expected in steps:
            group.update(members, now)
            self.assertEqual(expected, [found.name for found in group.find_lapsed()])
            everybody = sorted({found.name for found in members} | {*expected})
            self.assertEqual(
                everybody, sorted(found.name for found in group.find_all())
            )

    def test_position_before_a_promotion_is_not_that_of_a_primary(self):
        # A lagging replica's position counted as the end of the log once it led.
        self.group.primary_lease_until = 99.0
        self.group.on_position("a", POSITION(1, 3), 10.8)
        self.group.set_takeover(True, "", 10.0)
        self.group.set_takeover(False, "a", 11.0)
        self.assertEqual("a", self.group.primary)
        self.group.on_position("a", POSITION(1, 4), 10.9)  # told by another instance
        self.assertIsNone(self.group.read_requirement(None, 1.0, 11.1))
        self.group.on_position("a", POSITION(1, 9), 11.0)
        found = self.group.read_requirement(None, 1.0, 11.1)
        self.assertEqual(POSITION(1, 9), found.position)

    def test_replaced_primary_is_not_used_while_its_successor_has_no_row(self):
        # Its commits were acknowledged, and rolled back once it followed.
        primary, replica = placement.Role.PRIMARY, placement.Role.REPLICA
        self.group.set_takeover(True, "", 10.0)
        self.group.set_takeover(False, "a", 11.0)
        self.assertEqual("a", self.register(11.5, a=primary, p=primary))
        self.assertIsNone(self.register(12.0, p=primary, r=replica))
        self.assertIsNone(self.register(18.0, p=primary, r=replica))
        self.assertEqual("a", self.register(19.0, a=primary, p=primary))

    def test_promoted_member_that_was_not_seen_to_lead_is_not_primary(self):
        primary, replica = placement.Role.PRIMARY, placement.Role.REPLICA
        self.group.set_takeover(True, "", 10.0)
        self.group.set_takeover(False, "a", 11.0, is_successor_confirmed=False)
        self.assertIsNone(self.group.primary)
        self.assertIsNone(self.register(11.5, a=replica, p=primary))
        self.assertEqual("a", self.register(12.0, a=primary, p=primary))

    def test_promoted_member_that_restarted_as_replica_is_not_primary(self):
        primary, replica = placement.Role.PRIMARY, placement.Role.REPLICA
        self.group.set_takeover(False, "a", 11.0)
        self.register(11.5, a=primary, p=replica)
        self.assertIsNone(self.register(12.0, a=replica, p=replica))
        self.assertIsNone(self.register(12.5, a=replica, p=primary))
        self.assertEqual("a", self.register(13.0, a=primary, p=replica))
