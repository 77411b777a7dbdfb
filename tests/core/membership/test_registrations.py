"""Tests of the detection of stale registrations."""

import attrs
import testtools

from pomelograde.core import membership


class RegistrationTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.monitor = membership.RegistrationMonitor()
        self.instances = [
            membership.Instance(name, "x", 1, "127.0.0.1", 2)
            for name in ("own", "a", "b")
        ]

    def check_until(self, start, end, heard_names=()):
        """Check twice a second; returns the names that the last check found."""
        now = start
        while now <= end:
            for name in heard_names:
                self.monitor.record_message(name, now)
            stale = self.monitor.find_stale(self.instances, "own", now)
            now += 0.5
        return tuple([instance.name for instance in names] for names in stale)

    def mark_ended(self, name):
        self.instances = [
            attrs.evolve(known, leaving=known.leaving or known.name == name)
            for known in self.instances
        ]

    def test_only_silent_instances_are_marked(self):
        self.assertEqual(([], []), self.check_until(10.0, 12.0, ["a"]))
        self.assertEqual((["b"], []), self.check_until(12.5, 13.0, ["a"]))

    def test_marked_registration_is_removed_after_the_primary_lease(self):
        self.check_until(10.0, 12.5, ["a"])
        self.mark_ended("b")
        self.assertEqual(([], []), self.check_until(13.0, 16.0, ["a"]))
        self.assertEqual(([], ["b"]), self.check_until(16.5, 16.5, ["a"]))

    def test_new_registration_gets_the_whole_silence_timeout(self):
        self.check_until(10.0, 12.5, ["a"])
        self.instances[2] = attrs.evolve(self.instances[2], incarnation=2)
        self.assertEqual(([], []), self.check_until(13.0, 15.0, ["a"]))
        self.assertEqual((["b"], []), self.check_until(15.5, 15.5, ["a"]))

    def test_gap_in_checks_restarts_the_silence_timeout(self):
        self.check_until(10.0, 12.0, ["a", "b"])
        self.assertEqual(([], []), self.check_until(30.0, 32.0))
        self.assertEqual((["a", "b"], []), self.check_until(32.5, 32.5))

    def test_gap_in_checks_restarts_the_removal_delay(self):
        self.mark_ended("b")
        self.check_until(10.0, 12.0, ["a"])
        self.assertEqual(([], []), self.check_until(30.0, 33.0, ["a"]))
        self.assertEqual(([], ["b"]), self.check_until(33.5, 33.5, ["a"]))
