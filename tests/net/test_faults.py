"""Tests of logging unhandled errors of the event loop."""

import testtools
from twisted.python import failure

from pomelograde.net import events, faults

SECRET = "a-value-that-must-not-show"


class RecordingLog:
    def __init__(self):
        self.written = []

    def write(self, event, **fields):
        self.written.append((event, fields))


def fail(value):
    raise ValueError(f"bad {value}")


class FaultTests(testtools.TestCase):
    def test_error_is_logged_with_its_location_and_without_values(self):
        log = RecordingLog()
        try:
            fail(SECRET)
        except ValueError:
            faults.FaultObserver(log)({"log_failure": failure.Failure()})
        event, fields = log.written[0]
        self.assertIs(events.Event.INTERNAL_FAULT, event)
        self.assertEqual("ValueError", fields["error"])
        self.assertIn("test_faults.py:", fields["place"])
        self.assertNotIn(SECRET, str(fields))

    def test_other_messages_of_the_event_loop_are_not_logged(self):
        log = RecordingLog()
        faults.FaultObserver(log)({"log_format": "Starting factory"})
        self.assertEqual([], log.written)
