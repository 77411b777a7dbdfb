"""Repeated work that outlives a fault in one of its rounds."""

from twisted.internet import defer, task

from pomelograde.net import events


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
            place=place_of(reason),
        )

    loop = task.LoopingCall(run)
    loop.clock = context.reactor
    loop.start(interval_s, now=now)
    return loop


def place_of(reason):
    """Return file and line of a fault, without any value."""
    frames = reason.getTracebackObject()
    if frames is None:
        return ""
    while frames.tb_next is not None:
        frames = frames.tb_next
    return f"{frames.tb_frame.f_code.co_filename.rpartition('/')[2]}:{frames.tb_lineno}"
