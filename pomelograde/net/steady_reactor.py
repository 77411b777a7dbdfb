"""Event loop with a steady clock that writes without waiting for the poller.

Twisted schedules its timers by the wall clock. A step of that clock would let
leases and deadlines expire early, or extend them by the size of the step. The
clock used here can't be stepped. It also counts the time during which the
machine is suspended, so that a lease that other instances wait for expires
meanwhile.

Twisted registers a connection with the poller for each write, writes after the
next poll, and changes the registration again. Most messages fit into the socket's
buffer, so they are written at the end of the loop's pass, and only what is left
waits for the poller.
"""

import time

from twisted.internet import epollreactor, main
from twisted.python import log


def steady_seconds():
    """Return the seconds since the machine was booted, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SteadyReactor(epollreactor.EPollReactor):
    """An epoll reactor with a steady clock, and writes in the same pass.

    Attributes
    ----------
    unwritten : dict of IWriteDescriptor to None
        Connections with data that was not offered to the socket yet, in order.
    """

    seconds = staticmethod(steady_seconds)

    def __init__(self):
        self.unwritten = {}
        super().__init__()

    def addWriter(self, writer):  # noqa: N802
        """Write to a connection at the end of this pass.

        Notes
        -----
        A socket that is being connected reports the end of that by the poller.
        """
        if getattr(writer, "connected", False) and writer.fileno() not in self._writes:
            self.unwritten[writer] = None
        else:
            super().addWriter(writer)

    def removeWriter(self, writer):  # noqa: N802
        """Stop writing to a connection."""
        self.unwritten.pop(writer, None)
        super().removeWriter(writer)

    def removeAll(self):  # noqa: N802
        """Remove all connections, and return a list of them."""
        for writer in list(self.unwritten):
            super().addWriter(writer)
        self.unwritten.clear()
        return super().removeAll()

    def getWriters(self):  # noqa: N802
        """Return the connections that have data to write."""
        return [*super().getWriters(), *self.unwritten]

    def runUntilCurrent(self):  # noqa: N802
        """Run the calls that are due, and write what they and events have left."""
        super().runUntilCurrent()
        while self.unwritten:
            self._write(next(iter(self.unwritten)))

    def _write(self, writer):
        """Write to a connection, and let the rest wait for the poller."""
        descriptor = writer.fileno()
        log.callWithLogger(
            writer, self._doReadOrWrite, writer, descriptor, self._POLL_OUT
        )
        # A connection without anything left has called `removeWriter`.
        if writer in self.unwritten:
            del self.unwritten[writer]
            super().addWriter(writer)


def install():
    """Install the reactor; must run before another one is imported."""
    reactor = SteadyReactor()
    main.installReactor(reactor)
    return reactor
