"""Repeated work that outlives a fault in one of its rounds."""

import pathlib
import traceback

from twisted.internet import defer, task

from pomelograde.net import events

SHOWN_FRAMES = 4


def start_loop(context, interval_s, work, now=True):
    """Repeat work until the returned loop is stopped.

    Parameters
    ----------
    context : InstanceContext
        Parts of the daemon that all tasks share.
    interval_s : float
        Time between two starts.
    work : callable
        Called without arguments; may return a Deferred.
    now : bool
        Whether the first round is at once.

    Returns
    -------
    twisted.internet.task.LoopingCall
        The running loop.
    """

    def run():
        return defer.maybeDeferred(work).addErrback(on_fault)

    def on_fault(reason):
        context.log.write(
            events.Event.INTERNAL_FAULT,
            where=getattr(work, "__qualname__", ""),
            error=reason.type.__name__,
            place=format_location(reason),
        )

    loop = task.LoopingCall(run)
    loop.clock = context.reactor
    loop.start(interval_s, now=now)
    return loop


def format_location(reason):
    """Return the innermost places of a fault, without any value."""
    frames = traceback.extract_tb(reason.getTracebackObject())
    places = [f"{pathlib.PurePath(f.filename).name}:{f.lineno}" for f in frames]
    return " < ".join(reversed(places[-SHOWN_FRAMES:]))
