"""Logs failures that the event loop reports as unhandled."""

from twisted import logger
from twisted.python import failure

from pomelograde.net import events, timers


class FaultObserver:
    """Observer of Twisted's log that logs unhandled failures as events.

    Messages of exceptions are left out, since they may hold callers' data.

    Parameters
    ----------
    log : Log
        Event log.
    """

    def __init__(self, log):
        self.log = log

    def __call__(self, event):
        """Process one event of Twisted's log."""
        reason = event.get("log_failure")
        if reason is None:
            return
        self.log.write(
            events.Event.INTERNAL_FAULT,
            where=event.get("log_namespace", ""),
            error=reason.type.__name__,
            place=timers.format_location(reason),
        )


def run(context, function, *arguments):
    """Call a function; an exception is logged and goes no further.

    Parameters
    ----------
    context : InstanceContext or HostedContext
        State and services shared by all tasks of the daemon.
    function : callable
        Function whose failure must not keep others from being called.
    *arguments : object
        Its arguments.

    Returns
    -------
    bool
        Whether it has returned.
    """
    try:
        function(*arguments)
    except Exception:
        timers.log_fault(context.log, function, failure.Failure())
        return False
    return True


def install(log):
    """Start to log unhandled failures as events."""
    logger.globalLogBeginner.beginLoggingTo(
        [FaultObserver(log)], redirectStandardIO=False, discardBuffer=True
    )
