"""Tests of following the store."""

import types

import testtools
from twisted.internet import defer, task

from pomelograde.core import configuration
from pomelograde.net import events
from pomelograde.net.hosted import news


class Source:
    """A store whose calls are answered by the test."""

    class HistoryLostError(Exception):
        pass

    class StoreUnavailableError(Exception):
        pass

    def __init__(self):
        self.calls = []

    def call(self, *arguments):
        self.calls.append(defer.Deferred())
        return self.calls[-1]

    fetch_configuration = fetch_members = fetch_instances = call


class NewsTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.logged = []
        context = types.SimpleNamespace(
            reactor=self.clock,
            now=self.clock.seconds,
            peers=types.SimpleNamespace(handlers={}),
            log=types.SimpleNamespace(
                write=lambda event, **_: self.logged.append(event)
            ),
        )
        self.source = Source()
        freshness = configuration.Freshness(5.0)
        self.task = news.NewsTask(context, self.source, freshness)
        defer.ensureDeferred(self.task.start())

    def fail_calls(self):
        for call in self.source.calls:
            call.errback(self.source.StoreUnavailableError("gone"))

    def test_loss_of_the_store_is_logged_once(self):
        self.fail_calls()
        self.source.calls.clear()
        self.clock.advance(1.0)
        self.fail_calls()
        self.assertEqual([events.Event.PLATFORM_UNAVAILABLE], self.logged)

    def test_calls_that_the_end_breaks_off_are_not_logged(self):
        self.task.stop()
        self.fail_calls()
        self.assertEqual([], self.logged)
