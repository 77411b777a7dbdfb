"""Periodic calls that continue after an exception."""

import pathlib
import traceback

from twisted.internet import defer

from pomelograde.net import events

MAX_LOCATION_FRAMES = 4
# Of the interval; a timer that fires a rounding error too early calls only once.
MIN_DELAY_FRACTION = 0.1


def start_loop(context, interval_s, function, now=True):
    """Call a function periodically; exceptions are logged and do not stop it.

    Parameters
    ----------
    context : InstanceContext
        State and services shared by all tasks of the daemon.
    interval_s : float
        Time between the starts of two calls.
    function : callable
        Called without arguments; may return a Deferred, and isn't called again
        until that has fired.
    now : bool
        Whether the first call is immediate.

    Returns
    -------
    Loop
        The running loop.
    """
    loop = Loop(context, interval_s, function)
    loop.start(now)
    return loop


class Loop:
    """Calls a function periodically.

    Parameters
    ----------
    context, interval_s, function
        As in `start_loop`.

    Attributes
    ----------
    running : bool
        Whether it was started and not stopped.

    Notes
    -----
    An instance runs about 60 such calls a second. `twisted.internet.task.LoopingCall`
    makes four Deferreds for each, which cost more than most of the functions.
    """

    def __init__(self, context, interval_s, function):
        self.context = context
        self.interval_s = interval_s
        self.function = function
        self.running = False
        self.started_at = 0.0
        self.timer = None

    def start(self, now):
        """Start the loop; the first call is immediate if `now` is true."""
        self.running = True
        self.started_at = self.context.reactor.seconds()
        if now:
            self._call()
        else:
            self._schedule()

    def stop(self):
        """Stop the loop; a call in progress goes on."""
        self.running = False
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def _call(self):
        try:
            called = self.function()
        except Exception:
            called = defer.fail()
        if isinstance(called, defer.Deferred):
            called.addErrback(self._on_error)
            called.addBoth(self._schedule)
        else:
            self._schedule()

    def _schedule(self, _=None):
        """Schedule the next call at the next multiple of the interval."""
        if self.running:
            reactor = self.context.reactor
            elapsed_s = reactor.seconds() - self.started_at
            delay_s = self.interval_s - elapsed_s % self.interval_s
            if delay_s < MIN_DELAY_FRACTION * self.interval_s:
                delay_s += self.interval_s
            self.timer = reactor.callLater(delay_s, self._call)

    def _on_error(self, reason):
        log_fault(self.context.log, self.function, reason)


def log_fault(log, function, reason):
    """Log a failure of a function; its message is left out, as for all faults.

    Parameters
    ----------
    log : Log
        Event log.
    function : callable
        What failed.
    reason : Failure
        The failure.
    """
    log.write(
        events.Event.INTERNAL_FAULT,
        where=getattr(function, "__qualname__", ""),
        error=reason.type.__name__,
        place=format_location(reason),
    )


def format_location(reason):
    """Return the innermost stack frames of a failure, without any values.

    Frames are given as file name and line number, the innermost one first.
    """
    frames = traceback.extract_tb(reason.getTracebackObject())
    locations = [f"{pathlib.PurePath(f.filename).name}:{f.lineno}" for f in frames]
    return " < ".join(reversed(locations[-MAX_LOCATION_FRAMES:]))
