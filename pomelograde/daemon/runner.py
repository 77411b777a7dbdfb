"""Runs a daemon in the reactor, from its start to the end of the process."""

import signal
import sys

import click
from twisted.internet import defer

from pomelograde.daemon import hangup
from pomelograde.net import events

EXIT_INVALID_SETTINGS = 2


def settings_or_exit(loaded):
    """Return loaded settings, or print their errors and end the process.

    Parameters
    ----------
    loaded : Result of settings or list of str
        Checked settings, or the error messages.
    """
    if loaded.is_err():
        for error in loaded.err_value:
            click.echo(f"settings: {error}", err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    return loaded.ok_value


def run(reactor, daemon, on_hangup):
    """Run a daemon until the reactor stops; exit with status 1 if it did not start.

    Parameters
    ----------
    reactor : IReactorCore
        Reactor, installed.
    daemon : object
        Has a `context` with a `log`, and the coroutine functions `start` and
        `stop`.
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

    def stop():
        for number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(number, signal.SIG_IGN)  # the reactor can stop only once
        return defer.ensureDeferred(daemon.stop())

    reactor.callWhenRunning(start)
    reactor.callWhenRunning(hangup.handle, on_signal)
    reactor.addSystemEventTrigger("before", "shutdown", stop)
    reactor.run()
    if failures:
        sys.exit(1)
