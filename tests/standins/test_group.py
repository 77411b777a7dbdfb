"""Tests of the replication lag of the stand-in group."""

import testtools
from twisted.internet import task

from pomelograde.standins import group
from tests.core.failover import simulation


class ReplicationTests(testtools.TestCase):
    def test_each_entry_takes_the_whole_lag(self):
        clock = task.Clock()
        store = simulation.NullStore()
        members = [group.Member(n, "dc", store, lag_s=1.0) for n in "abc"]
        replicated_group = group.Group(clock, "g", members)
        replicated_group.append(members[0], ())
        clock.advance(0.9)
        replicated_group.append(members[0], ())
        clock.advance(0.2)
        self.assertEqual(2, members[1].position.index)
        clock.advance(0.8)
        self.assertEqual(3, members[1].position.index)
