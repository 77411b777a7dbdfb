"""Tests of the detection of stale registrations."""

import attrs
import testtools

from pomelograde.core import membership
from pomelograde.core.membership import _registrations


def names_of(instances):
    return [instance.name for instance in instances]


class RegistrationTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.monitor = membership.RegistrationMonitor()
        self.instances = [
            membership.Instance(name, "x", 1, "127.0.0.1", 2)
            for name in ("own", "a", "b")
        ]

    def check_until(self, start, end, heard_names=(), answering_names=()):
        """Check twice a second, and end probes after 0.3 s.

        Returns the names of the registrations that the last check found, to be
        marked as ended and to be removed.
        """
        now = start
        while now <= end:
            for name in heard_names:
                self.monitor.record_message(name, now)
            stale = self.monitor.find_stale(self.instances, "own", now)
            for instance in stale.unconfirmed:
                self.monitor.start_probe(instance.name, now)
                answered = instance.name in answering_names
                self.monitor.end_probe(instance.name, answered, now + 0.3)
            now += 0.5
        return names_of(stale.silent), names_of(stale.removable)

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

    def test_instance_that_answers_a_probe_is_not_silent(self):
        names = ["a", "b"]
        self.assertEqual(([], []), self.check_until(10.0, 20.0, ["a"], names))
        self.assertEqual((["b"], []), self.check_until(20.5, 23.0, ["a"]))

    def test_silence_goes_on_while_registrations_are_not_checked(self):
        self.check_until(10.0, 12.0, ["a", "b"])
        self.assertEqual((["b"], []), self.check_until(18.0, 18.5, ["a"]))

    # Guards against a registration made right before an outage that stays after it.
    def test_silence_of_a_new_registration_goes_on_while_it_is_not_checked(self):
        self.monitor.record_registrations(self.instances, 10.0)
        self.assertEqual((["a", "b"], []), self.check_until(13.0, 13.5))

    def test_gap_in_checks_alone_ends_no_registration(self):
        self.check_until(10.0, 12.0, ["a", "b"])
        names = ["a", "b"]
        self.assertEqual(([], []), self.check_until(30.0, 34.0, [], names))

    def test_failure_of_a_probe_that_is_noticed_late_does_not_count(self):
        self.check_until(10.0, 12.0, ["a", "b"])
        self.monitor.start_probe("b", 13.5)
        self.monitor.end_probe("b", False, 15.5)
        self.assertEqual(([], []), self.check_until(15.5, 15.5, ["a"]))

    def test_earlier_failure_of_a_probe_does_not_count(self):
        self.check_until(10.0, 12.0, ["a", "b"])
        self.monitor.start_probe("b", 13.0)
        self.monitor.end_probe("b", False, 13.3)
        self.assertEqual(([], []), self.check_until(16.0, 16.0, ["a"]))

    def test_few_instances_are_probed_at_a_time(self):
        self.instances = [
            membership.Instance(f"i{number}", "x", 1, "127.0.0.1", 2)
            for number in range(100)
        ]
        self.monitor.find_stale(self.instances, "own", 10.0)
        probed = self.monitor.find_stale(self.instances, "own", 20.0).unconfirmed
        self.assertEqual(_registrations.MAX_PROBES, len(probed))
        for instance in probed:
            self.monitor.start_probe(instance.name, 20.0)
        more = self.monitor.find_stale(self.instances, "own", 20.5).unconfirmed
        self.assertEqual([], more)

    def test_gap_in_checks_restarts_the_removal_delay(self):
        self.mark_ended("b")
        self.check_until(10.0, 12.0, ["a"])
        self.assertEqual(([], []), self.check_until(30.0, 33.0, ["a"]))
        self.assertEqual(([], ["b"]), self.check_until(33.5, 33.5, ["a"]))
