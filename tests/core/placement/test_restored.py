"""Tests of the members to use after the store has returned from an older copy."""

import attrs
import testtools

from pomelograde.core import placement
from pomelograde.platform import source


def make_member(name, leaving=False, started_ms=1):
    return placement.Member(name, "x", leaving=leaving, started_ms=started_ms)


class RestoredMembersTests(testtools.TestCase):
    """A service of which `a` is in use, and `b` has left after the copy was taken."""

    def setUp(self):
        super().setUp()
        self.selection = placement.RestoredMembers(heartbeat_s=1.0)
        self.current = {"g": [make_member("a")]}
        self.read(1, 0.0, a=(make_member("a"), 40))

    def read(self, era, now, **rows):
        """Return the members selected from rows of a member and its version."""
        found = source.MemberRows(
            members={"g": [member for member, _ in rows.values()]},
            versions={name: version for name, (_, version) in rows.items()},
            era=era,
            as_of=now,
        )
        return self.selection.select(found, self.current, now)["g"]

    def names(self, *arguments, **rows):
        return [member.name for member in self.read(*arguments, **rows)]

    def test_members_of_a_store_that_was_never_restored_are_used(self):
        rows = {"a": (make_member("a"), 40), "b": (make_member("b"), 30)}
        self.assertEqual(["a", "b"], self.names(1, 100.0, **rows))

    def test_member_that_had_left_is_used_only_once_its_row_is_written_again(self):
        old = {"a": (make_member("a"), 20), "b": (make_member("b"), 10)}
        self.assertEqual(["a"], self.names(2, 1.0, **old))
        written = {**old, "b": (make_member("b"), 21)}
        self.assertEqual(["a", "b"], self.names(2, 1.5, **written))

    def test_member_whose_row_is_not_written_again_in_time_is_left_out(self):
        old = {"a": (make_member("a"), 20)}
        self.assertEqual(["a"], self.names(2, 1.0, **old))
        self.assertEqual(["a"], self.names(2, 3.4, **old))
        self.assertEqual([], self.names(2, 3.6, **old))

    def test_slow_heartbeat_extends_the_time(self):
        self.selection.heartbeat_s = 2.0
        old = {"a": (make_member("a"), 20)}
        self.names(2, 1.0, **old)
        self.assertEqual(["a"], self.names(2, 5.9, **old))
        self.assertEqual([], self.names(2, 6.1, **old))

    def test_leaving_member_does_not_become_ready_by_an_old_row(self):
        self.current = {"g": [make_member("a", leaving=True)]}
        (found,) = self.read(2, 1.0, a=(make_member("a"), 20))
        self.assertTrue(found.leaving)
        (written,) = self.read(2, 2.0, a=(make_member("a"), 21))
        self.assertFalse(written.leaving)

    def test_old_rows_do_not_name_a_former_primary(self):
        primary, replica = placement.Role.PRIMARY, placement.Role.REPLICA
        a, b = make_member("a"), make_member("b")
        self.current = {"g": [a, attrs.evolve(b, role=primary)]}
        old = {"a": (attrs.evolve(a, role=primary), 20), "b": (b, 21)}
        found = self.read(2, 1.0, **old)
        self.assertEqual([replica, primary], [member.role for member in found])
        written = {**old, "b": (b, 25)}
        found = self.read(2, 1.5, **written)
        self.assertEqual([replica, replica], [member.role for member in found])

    def test_row_of_an_earlier_process_of_a_member_in_use_is_left_out(self):
        row = attrs.evolve(make_member("a"), started_ms=0)
        self.assertEqual([], self.read(2, 1.0, a=(row, 20)))

    def test_second_return_is_judged_by_its_own_first_read(self):
        self.names(2, 1.0, a=(make_member("a"), 20))
        self.names(2, 2.0, a=(make_member("a"), 25))
        self.assertEqual(["a"], self.names(3, 3.0, a=(make_member("a"), 15)))
        self.assertEqual([], self.names(3, 5.6, a=(make_member("a"), 15)))


class FirstReadTests(testtools.TestCase):
    """The first read of a process, of a store that may have been restored."""

    def setUp(self):
        super().setUp()
        self.selection = placement.RestoredMembers(heartbeat_s=1.0)

    def read(self, era=2, **rows):
        return source.MemberRows(
            members={"g": [make_member(name) for name in rows]},
            versions=rows,
            era=era,
            as_of=0.0,
        )

    def select(self, rows, now):
        found = self.selection.select(rows, {}, now)
        return [member.name for member in found["g"]]

    def test_rows_of_the_copy_are_not_used_before_they_are_known(self):
        self.selection.restore(self.read(a=5, b=6), 1.0)
        self.assertEqual([], self.select(self.read(a=5, b=6), 1.1))
        self.selection.learn({"g": [make_member("a")]})
        self.assertEqual(["a"], self.select(self.read(a=5, b=6), 1.2))
        self.assertEqual(["a", "b"], self.select(self.read(a=5, b=7), 1.3))

    def test_what_is_known_before_the_first_read_counts_over_a_copy(self):
        self.selection.learn({"g": [make_member("a")]})
        self.assertEqual(["a"], self.select(self.read(a=5, b=6), 1.0))

    def test_store_without_eras_is_believed(self):
        self.selection.learn({"g": [make_member("a")]})
        self.assertEqual(["a", "b"], self.select(self.read(0, a=5, b=6), 1.0))
