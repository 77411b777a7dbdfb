"""Periodic calls that continue after an exception."""

import pathlib
import traceback

from twisted.internet import defer, task

from pomelograde.net import events

MAX_LOCATION_FRAMES = 4


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
    twisted.internet.task.LoopingCall
        The running loop.
    """

    def run():
        return defer.maybeDeferred(function).addErrback(on_error)

    def on_error(reason):
        context.log.write(
            events.Event.INTERNAL_FAULT,
            where=getattr(function, "__qualname__", ""),
            error=reason.type.__name__,
            place=format_location(reason),
        )

    loop = task.LoopingCall(run)
    loop.clock = context.reactor
    loop.start(interval_s, now=now)
    return loop


def format_location(reason):
    """Return the innermost stack frames of a failure, without any values.

    Frames are given as file name and line number, the innermost one first.
    """
    frames = traceback.extract_tb(reason.getTracebackObject())
    locations = [f"{pathlib.PurePath(f.filename).name}:{f.lineno}" for f in frames]
    return " < ".join(reversed(locations[-MAX_LOCATION_FRAMES:]))
