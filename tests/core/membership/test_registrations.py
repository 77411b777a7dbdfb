"""Tests of the registrations whose processes are gone."""

import attrs
import testtools

from pomelograde.core import membership


class RegistrationTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.found = membership.RegistrationMonitor()
        self.instances = [
            membership.Instance(name, "x", 1, "127.0.0.1", 2)
            for name in ("own", "a", "b")
        ]

    def look(self, start, end, on_heartbeat=()):
        """Look twice a second; returns what is to be marked and removed at last."""
        now = start
        while now <= end:
            for name in on_heartbeat:
                self.found.record_message(name, now)
            ended = self.found.find_stale(self.instances, "own", now)
            now += 0.5
        return tuple([instance.name for instance in names] for names in ended)

    def end(self, name):
        self.instances = [
            attrs.evolve(known, leaving=known.leaving or known.name == name)
            for known in self.instances
        ]

    def test_silent_instance_is_marked_and_one_that_is_heard_is_not(self):
        self.assertEqual(([], []), self.look(10.0, 14.5, ["a"]))
        self.assertEqual((["b"], []), self.look(15.0, 15.5, ["a"]))

    def test_marked_registration_is_removed_once_no_right_is_left(self):
        self.look(10.0, 15.0, ["a"])
        self.end("b")
        self.assertEqual(([], []), self.look(15.5, 18.0, ["a"]))
        self.assertEqual(([], ["b"]), self.look(18.5, 18.5, ["a"]))

    def test_new_registration_is_given_time(self):
        self.look(10.0, 15.0, ["a"])
        self.instances[2] = attrs.evolve(self.instances[2], incarnation=2)
        self.assertEqual(([], []), self.look(15.5, 20.0, ["a"]))
        self.assertEqual((["b"], []), self.look(20.5, 20.5, ["a"]))

    def test_instance_that_was_away_itself_marks_nobody_at_first(self):
        self.look(10.0, 12.0, ["a", "b"])
        self.assertEqual(([], []), self.look(30.0, 34.5))
        self.assertEqual((["a", "b"], []), self.look(35.0, 35.0))

    def test_marks_seen_before_a_gap_are_given_their_time_again(self):
        self.end("b")
        self.look(10.0, 12.0, ["a"])
        self.assertEqual(([], []), self.look(30.0, 32.5, ["a"]))
        self.assertEqual(([], ["b"]), self.look(33.0, 33.0, ["a"]))
