"""Tests of positions and connections of the stand-in group at a change of primary."""

import tempfile

import testtools
from twisted.internet import task

from pomelograde.core import sessions
from pomelograde.standins import _store, group


class Session:
    """Connection that records whether it was aborted."""

    def __init__(self):
        self.aborted = False

    def abort_unless_system_role(self):
        self.aborted = True


class GroupTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.clock = task.Clock()
        members = [
            group.Member(name, "place", _store.Store(directory.name, name))
            for name in ("a", "b", "c")
        ]
        for member in members:
            self.addCleanup(member.store.close)
        self.group = group.Group(self.clock, "g", members)
        self.a, self.b, self.c = members

    def change_primary(self):
        """Append an entry that only `a` holds, then make `b` the primary of term 2."""
        self.a.faults.cut_members = ["b", "c"]
        self.group.append(self.a, ())
        for member in (self.b, self.c):
            self.assertTrue(self.group.fence(member, 2, "holder"))
        self.assertTrue(self.group.promote(self.b, 2, "holder"))
        self.a.faults.cut_members = []

    def test_member_that_discards_entries_ends_its_connections_first(self):
        self.change_primary()
        session = Session()
        self.a.sessions.add(session)
        self.assertEqual(sessions.Position(1, 2), self.a.position)
        self.assertTrue(self.group.follow(self.a, 2, "b"))
        self.assertTrue(session.aborted)
        self.assertEqual(sessions.Position(2, 2), self.a.position)

    def test_member_that_discards_nothing_keeps_its_connections(self):
        self.change_primary()
        session = Session()
        self.c.sessions.add(session)
        self.assertTrue(self.group.follow(self.c, 2, "b"))
        self.clock.advance(0.0)
        self.assertFalse(session.aborted)
        self.assertEqual(sessions.Position(2, 2), self.c.position)

    def test_isolated_primary_holds_nothing_by_majority(self):
        self.a.faults.cut_members = ["b", "c"]
        self.group.append(self.a, ())
        self.clock.advance(0.0)
        self.assertTrue(self.group.held_by_majority(self.a) < sessions.Position(1, 2))
