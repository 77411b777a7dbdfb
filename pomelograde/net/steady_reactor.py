"""The event loop on a clock that no change of the time of day moves.

Twisted reckons its timers by the time of day. A step of that clock would end
leases and deadlines early, or keep them for as long as the step is. The clock
here also counts the time that the machine is suspended, so that a lease which
others wait for runs out meanwhile.
"""

import time

from twisted.internet import epollreactor, main


def steady_seconds():
    """Return seconds since the machine's start, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SteadyReactor(epollreactor.EPollReactor):
    """The epoll reactor with a steady clock."""

    seconds = staticmethod(steady_seconds)


def install():
    """Install the reactor; nothing may have imported another one before."""
    reactor = SteadyReactor()
    main.installReactor(reactor)
    return reactor
