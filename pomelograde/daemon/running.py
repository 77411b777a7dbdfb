"""Runs a daemon from its start to the end of its process."""

import signal
import sys

from twisted.internet import defer

from pomelograde.net import events


def run(reactor, daemon, on_hangup):
    """Run a daemon until it is told to stop; ends the process on a failure.

    Parameters
    ----------
    reactor : IReactorCore
        Reactor, installed.
    daemon : object
        Has `context`, and `start()` and `stop()` that return coroutines.
    on_hangup : callable
        Called without arguments after each SIGHUP.
    """
    failures = []

    def start():
        started = defer.ensureDeferred(daemon.start())
        started.addErrback(on_failure)

    def on_failure(reason):
        failures.append(reason)
        daemon.context.log.write(
            events.Event.DAEMON_FAILED,
            error=reason.type.__name__,
            reason=reason.getErrorMessage(),
        )
        reactor.stop()

    def on_signal(number, frame):
        reactor.callFromThread(on_hangup)

    reactor.callWhenRunning(start)
    reactor.callWhenRunning(signal.signal, signal.SIGHUP, on_signal)
    reactor.addSystemEventTrigger(
        "before", "shutdown", lambda: defer.ensureDeferred(daemon.stop())
    )
    reactor.run()
    if failures:
        sys.exit(1)
