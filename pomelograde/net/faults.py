"""Turns what the event loop reports as unhandled into logged events."""

from twisted import logger

from pomelograde.net import events, timers


class FaultObserver:
    """Logs unhandled failures without the values that they carry.

    Parameters
    ----------
    log : Log
        Event log.
    """

    def __init__(self, log):
        self.log = log

    def __call__(self, event):
        """Take one event of Twisted's log."""
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
    """Log unhandled failures as events from now on."""
    logger.globalLogBeginner.beginLoggingTo(
        [FaultObserver(log)], redirectStandardIO=False, discardBuffer=True
    )
