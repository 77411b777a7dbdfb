"""Delivery of SIGHUP, whose default action ends the process."""

import signal


def hold():
    """Hold SIGHUP back until `handle` is called."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def handle(handler):
    """Install the handler of SIGHUP, and deliver a signal that was held back.

    Parameters
    ----------
    handler : callable
        Called with the number of the signal and the current stack frame.
    """
    signal.signal(signal.SIGHUP, handler)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
