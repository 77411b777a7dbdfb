"""Logs failures that the event loop reports as unhandled."""

from twisted import logger

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
        failure = event.get("log_failure")
        if failure is None:
            return
        self.log.write(
            events.Event.INTERNAL_FAULT,
            where=event.get("log_namespace", ""),
            error=failure.type.__name__,
            place=timers.format_location(failure),
        )


def install(log):
    """Start to log unhandled failures as events."""
    logger.globalLogBeginner.beginLoggingTo(
        [FaultObserver(log)], redirectStandardIO=False, discardBuffer=True
    )
