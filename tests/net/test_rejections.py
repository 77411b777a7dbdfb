"""Tests of the log of rows and messages that can't be used."""

import types

import testtools
from twisted.internet import task

from pomelograde.net import events, rejections


class RejectionLogTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.lines = []
        log = types.SimpleNamespace(write=lambda event, **f: self.lines.append(f))
        context = types.SimpleNamespace(now=self.clock.seconds, log=log)
        self.log = rejections.RejectionLog(context, events.Event.ROW_REJECTED)

    def test_same_item_is_logged_once_an_interval(self):
        for _ in range(5):
            self.log.write("is no object", key="a")
        self.assertEqual(1, len(self.lines))
        self.clock.advance(rejections.INTERVAL_S)
        self.log.write("is no object", key="a")
        self.assertEqual([0, 4], [line["omitted"] for line in self.lines])

    def test_number_of_lines_is_bounded(self):
        for number in range(1000):
            self.log.write("is no object", key=f"a{number}")
        self.assertEqual(rejections.MAX_PER_INTERVAL, len(self.lines))

    def test_names_of_any_content_are_one_line_of_text(self):
        for name in ("a\nb", "\ud800", "x" * 9999, None, ["a"], 10**400, b"\xff"):
            self.log.write("bad\n", key=name)
        for line in self.lines:
            text = f"{line['key']} {line['reason']}"
            text.encode("utf-8")
            self.assertTrue(text.isprintable())
            self.assertTrue(len(text) < 2000)
