"""Minimal Twisted forwarder of whole frames over pooled connections."""

import collections
import struct

from twisted.internet import protocol

from measure.throughput import _synthetic
from pomelograde.net import _frames

POOLED_CONNECTIONS = 8
_READY = ord("Z")


class UpstreamProtocol(protocol.Protocol):
    """Pooled connection to the upstream member.

    Parameters
    ----------
    pool : Pool
        Pool that the connection belongs to.
    """

    def __init__(self, pool):
        self.pool = pool
        self.caller = None
        self.reader = _frames.FrameReader()

    def connectionMade(self):  # noqa: N802
        """Send the startup message of a user that needs no password."""
        self.transport.setTcpNoDelay(True)
        user = {"user": _synthetic.TRUSTED_USER, "database": "main"}
        self.transport.write(_frames.startup(user))

    def dataReceived(self, data):  # noqa: N802
        """Forward whole frames to the caller."""
        frames = []
        is_ready = False
        for kind, frame in self.reader.feed(data):
            frames.append(frame)
            is_ready = is_ready or kind == _READY
        if self.caller is not None:
            self.caller.transport.write(b"".join(frames))
        if is_ready:
            self.caller = None
            self.pool.release(self)


class Pool:
    """Pool of upstream connections with a queue of requests.

    Attributes
    ----------
    idle : collections.deque of UpstreamProtocol
        Idle connections.
    queue : collections.deque
        Callers and their frames that wait for a connection.
    """

    def __init__(self):
        self.idle = collections.deque()
        self.queue = collections.deque()

    def request(self, caller, data):
        """Send a caller's frames when a connection is idle."""
        if not self.idle:
            self.queue.append((caller, data))
            return
        self._send(self.idle.popleft(), caller, data)

    def release(self, upstream):
        """Use a connection for the next request in the queue, or make it idle."""
        if self.queue:
            self._send(upstream, *self.queue.popleft())
        else:
            self.idle.append(upstream)

    def _send(self, upstream, caller, data):
        upstream.caller = caller
        upstream.transport.write(data)


class CallerProtocol(protocol.Protocol):
    """Connection of a caller, accepted without a password.

    Parameters
    ----------
    pool : Pool
        Pool that its frames are sent through.
    """

    def __init__(self, pool):
        self.pool = pool
        self.reader = None

    def connectionMade(self):  # noqa: N802
        """Disable Nagle's algorithm."""
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data):  # noqa: N802
        """Accept the startup message, then forward whole frames uninterpreted."""
        if self.reader is None:
            self.reader = _frames.FrameReader()
            accepted = _frames.frame(b"R", struct.pack(">I", 0))
            self.transport.write(accepted + _frames.ready_for_query())
            return
        frames = self.reader.feed(data)
        if frames:
            self.pool.request(self, b"".join(frame for _, frame in frames))


class CallerFactory(protocol.Factory):
    """Creates the protocols of callers.

    Parameters
    ----------
    pool : Pool
        Pool that their frames are sent through.
    """

    noisy = False

    def __init__(self, pool):
        self.pool = pool

    def buildProtocol(self, addr):  # noqa: N802
        """Return the protocol of a new caller."""
        return CallerProtocol(self.pool)


class UpstreamFactory(protocol.ClientFactory):
    """Creates the protocols of pooled connections.

    Parameters
    ----------
    pool : Pool
        Pool that the connections belong to.
    """

    noisy = False

    def __init__(self, pool):
        self.pool = pool

    def buildProtocol(self, addr):  # noqa: N802
        """Return the protocol of a new connection."""
        return UpstreamProtocol(self.pool)
