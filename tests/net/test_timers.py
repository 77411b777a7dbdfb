"""Tests of periodic calls."""

import types

import testtools
from twisted.internet import defer, task

from pomelograde.net import timers

INTERVAL_S = 0.125


class LoopTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.called_at = []
        self.logged = []
        self.results = []
        self.context = types.SimpleNamespace(
            reactor=self.clock,
            log=types.SimpleNamespace(
                write=lambda event, **fields: self.logged.append((event.name, fields))
            ),
        )

    def call(self):
        self.called_at.append(round(self.clock.seconds(), 4))
        result = self.results.pop(0) if self.results else None
        if isinstance(result, Exception):
            raise result
        return result

    def pass_time(self, seconds, step_s=1 / 64):
        for _ in range(round(seconds / step_s)):
            self.clock.advance(step_s)

    def test_calls_keep_to_multiples_of_the_interval(self):
        loop = timers.start_loop(self.context, INTERVAL_S, self.call)
        self.pass_time(0.4375)
        self.clock.advance(0.25)  # the loop was held up
        self.pass_time(0.125)
        self.assertEqual([0.0, 0.125, 0.25, 0.375, 0.6875, 0.75], self.called_at)
        loop.stop()
        self.pass_time(0.5)
        self.assertEqual(6, len(self.called_at))
        self.assertEqual((False, []), (loop.running, self.clock.getDelayedCalls()))

    def test_first_call_may_wait(self):
        timers.start_loop(self.context, INTERVAL_S, self.call, now=False)
        self.assertEqual([], self.called_at)
        self.pass_time(0.1875)
        self.assertEqual([INTERVAL_S], self.called_at)

    def test_every_multiple_is_called_once_over_a_long_time(self):
        timers.start_loop(self.context, INTERVAL_S, self.call, now=False)
        self.pass_time(100.0, step_s=0.0127)
        self.assertEqual(799, len(self.called_at))

    def test_next_call_waits_for_a_deferred(self):
        done = defer.Deferred()
        self.results = [done]
        timers.start_loop(self.context, INTERVAL_S, self.call)
        self.pass_time(0.5)
        self.assertEqual([0.0], self.called_at)
        done.callback(None)
        self.pass_time(0.1875)
        self.assertEqual([0.0, 0.625], self.called_at)

    def test_exceptions_are_logged_and_do_not_stop_it(self):
        self.results = [ValueError(), defer.fail(KeyError())]
        timers.start_loop(self.context, INTERVAL_S, self.call)
        self.pass_time(0.3125)
        self.assertEqual([0.0, 0.125, 0.25], self.called_at)
        self.assertEqual(
            ["ValueError", "KeyError"], [fields["error"] for _, fields in self.logged]
        )
