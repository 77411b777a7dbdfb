"""Tests of the JSON log on standard output."""

import json

import testtools

from pomelograde.net import events, json_log


class JsonLogTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.lines = []
        self.now = 100.0
        self.is_full = False
        self.log = json_log.JsonLog("a", lambda: self.now, self.write_line)

    def write_line(self, line):
        if self.is_full:
            raise BlockingIOError
        self.lines.append(json.loads(line))

    def write(self, count=1):
        for number in range(count):
            self.log.write(events.Event.STATEMENT_DONE, id=f"q{number}")

    def test_line_has_the_event_and_its_fields(self):
        self.write()
        expected = {
            "time": 100.0,
            "event": 212,
            "name": "STATEMENT_DONE",
            "instance": "a",
            "id": "q0",
        }
        self.assertEqual([expected], self.lines)

    def test_lines_beyond_the_rate_are_dropped_and_counted(self):
        self.write(json_log.MAX_LINES_PER_S + 7)
        self.assertEqual(json_log.MAX_LINES_PER_S, len(self.lines))
        self.now = 101.0
        self.write(2)
        dropped = [line.get("dropped") for line in self.lines[-2:]]
        self.assertEqual([7, None], dropped)

    def test_full_output_does_not_block(self):
        self.is_full = True
        self.write(3)
        self.is_full = False
        self.write()
        self.assertEqual(3, self.lines[0]["dropped"])
