"""Faults of the event loop as events."""

import testtools
from twisted.python import failure

from pomelograde.net import events, faults

SECRET = "a-value-that-must-not-show"


class KeptLog:
    def __init__(self):
        self.written = []

    def write(self, event, **fields):
        self.written.append((event, fields))


def fail(value):
    raise ValueError(f"bad {value}")


class FaultTests(testtools.TestCase):
    def test_fault_is_logged_with_its_place_and_without_values(self):
        log = KeptLog()
        try:
            fail(SECRET)
        except ValueError:
            faults.FaultObserver(log)({"log_failure": failure.Failure()})
        event, fields = log.written[0]
        self.assertIs(events.Event.INTERNAL_FAULT, event)
        self.assertEqual("ValueError", fields["error"])
        self.assertIn("test_faults.py:", fields["place"])
        self.assertNotIn(SECRET, str(fields))

    def test_other_messages_of_the_event_loop_are_left_out(self):
        log = KeptLog()
        faults.FaultObserver(log)({"log_format": "Starting factory"})
        self.assertEqual([], log.written)
