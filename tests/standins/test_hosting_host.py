"""Tests of the process that hosts the stand-ins of the hosting platform."""

import testtools
from twisted.internet import testing

from pomelograde.standins.hosting import host, member


class HostTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reactor = testing.MemoryReactorClock()
        self.host = host.Host(self.reactor)
        self.host.start()

    def find_rows(self):
        return [row["key"] for row in self.host.tables.read("servers", "")]

    def test_row_of_a_member_that_does_not_reach_the_store_lapses(self):
        name = self.host.group.members[1].name
        self.host.find(name).is_store_cut = True
        self.reactor.pump([host.HEARTBEAT_S] * (host.MISSED_HEARTBEATS - 1))
        self.assertIn(name, self.find_rows())
        self.reactor.pump([host.HEARTBEAT_S])
        self.assertNotIn(name, self.find_rows())
        self.host.find(name).is_store_cut = False
        self.reactor.pump([host.HEARTBEAT_S])
        self.assertIn(name, self.find_rows())

    def test_promotion_takes_effect_after_its_time(self):
        promoted = self.host.group.members[1]
        self.host.set_promotion_times(effect_s=0.3, answer_s=1.5)
        self.assertEqual(200, self.host.promote({"id": promoted.name}, "a", 7))
        self.assertEqual(member.REPLICA, promoted.role)
        self.reactor.pump([0.3])
        self.assertEqual((member.PRIMARY, 2), (promoted.role, promoted.term))

    def test_promotion_of_the_present_primary_begins_no_term(self):
        primary = self.host.group.members[0]
        self.assertEqual(200, self.host.promote({"id": primary.name}, "a", 7))
        self.assertEqual(1, primary.term)
