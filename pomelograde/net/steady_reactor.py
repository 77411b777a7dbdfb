"""Event loop whose timers use a steady clock instead of the wall clock.

Twisted schedules its timers by the wall clock. A step of that clock would let
leases and deadlines expire early, or extend them by the size of the step. The
clock used here can't be stepped. It also counts the time during which the
machine is suspended, so that a lease that other instances wait for expires
meanwhile.
"""

import time

from twisted.internet import epollreactor, main


def steady_seconds():
    """Return the seconds since the machine was booted, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SteadyReactor(epollreactor.EPollReactor):
    """An epoll reactor with a steady clock."""

    seconds = staticmethod(steady_seconds)


def install():
    """Install the reactor; must run before another one is imported."""
    reactor = SteadyReactor()
    main.installReactor(reactor)
    return reactor
