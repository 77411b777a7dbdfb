"""Tests of the record of members that may hold acknowledged commits."""

import testtools

from pomelograde.core import takeovers


def make_member(name, port=1, is_leaving=False):
    return takeovers.RecordedMember(name, "x", "127.0.0.1", port, is_leaving)


def make_set(*members, primary="p", row_version=5):
    return takeovers.make_replica_set("g", primary, members, row_version)


class UpdateTests(testtools.TestCase):
    def test_member_whose_row_has_lapsed_stays(self):
        recorded = make_set(make_member("a"), make_member("p"))
        registered = [make_member("b", 2)]
        updated = takeovers.update_replica_set(recorded, registered, None)
        self.assertEqual({"a", "b", "p"}, updated.names)
        self.assertEqual(("p", 5), (updated.primary, updated.row_version))
        self.assertFalse(updated.has_same_content(recorded))

    def test_row_changes_what_is_recorded(self):
        recorded = make_set(make_member("a"))
        registered = [make_member("a", 2, is_leaving=True)]
        updated = takeovers.update_replica_set(recorded, registered, "a")
        self.assertEqual((registered[0],), updated.members)
        self.assertEqual("a", updated.primary)

    def test_log_of_a_member_that_was_leaving_is_at_its_address(self):
        for is_leaving, expected in ((True, {"b"}), (False, {"a", "b"})):
            recorded = make_set(make_member("a", 1, is_leaving))
            updated = takeovers.update_replica_set(recorded, [make_member("b")], None)
            self.assertEqual(expected, updated.names)

    def test_order_of_the_members_is_no_change(self):
        one = make_set(make_member("a"), make_member("b"))
        self.assertTrue(one.has_same_content(make_set(*reversed(one.members))))
        self.assertFalse(one.has_same_content(None))


class SelectTests(testtools.TestCase):
    def test_newer_row_replaces_what_is_known(self):
        known = make_set(make_member("a"))
        stored = make_set(make_member("b"), row_version=6)
        self.assertEqual(stored, takeovers.select_replica_set(known, stored))
        self.assertEqual(known, takeovers.select_replica_set(known, None))
        self.assertEqual(stored, takeovers.select_replica_set(None, stored))
        self.assertIsNone(takeovers.select_replica_set(None, None))

    def test_members_that_a_restored_store_lacks_stay(self):
        known = make_set(make_member("a"), primary="a", row_version=9)
        stored = make_set(make_member("b"))
        found = takeovers.select_replica_set(known, stored)
        self.assertEqual({"a", "b"}, found.names)
        self.assertEqual(("a", 9), (found.primary, found.row_version))


class CountTests(testtools.TestCase):
    def test_members_that_do_not_answer_count(self):
        count = takeovers.count_replicas
        self.assertEqual(2, count("abp", ["a"], "p", ""))
        self.assertEqual(2, count("abp", ["a"], None, "p"))
        self.assertEqual(3, count("abp", ["a"], None, ""))

    def test_last_primary_counts_once_it_is_a_replica(self):
        self.assertEqual(3, takeovers.count_replicas("abp", ["a", "p"], None, "p"))
