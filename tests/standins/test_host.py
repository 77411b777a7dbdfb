"""Tests of the process that runs groups of stand-in members."""

import socket

import testtools
from twisted.internet import testing

from pomelograde.standins import host


class PortTests(testtools.TestCase):
    def test_port_of_a_killed_member_is_not_given_to_others(self):
        members = [host.MemberSettings(name="m1", data_centre="dc")]
        groups = [host.GroupSettings(name="g", members=members)]
        settings = host.HostSettings(groups=groups, password="p")
        running = host.Host(testing.MemoryReactorClock(), settings)
        running.start()
        self.addCleanup(running.stop)
        running.change("g", "m1", {"faults": {"killed": True}})

        port = running.describe()["groups"]["g"][0]["port"]
        other = socket.socket()
        self.addCleanup(other.close)
        self.assertRaises(OSError, other.bind, ("127.0.0.1", port))
