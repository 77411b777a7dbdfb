"""Bare Twisted forwarder of whole frames over pooled connections."""

import collections
import struct

from twisted.internet import protocol

from measure.throughput import _synthetic
from pomelograde.net import _frames

POOLED_CONNECTIONS = 8
_READY = ord("Z")


class UpstreamProtocol(protocol.Protocol):
    """One pooled connection.

    Parameters
    ----------
    pool : Pool
        The pool that it belongs to.
    """

    def __init__(self, pool):
        self.pool = pool
        self.caller = None
        self.reader = _frames.FrameReader()

    def connectionMade(self):  # noqa: N802
        """Start up as a user that needs no password."""
        self.transport.setTcpNoDelay(True)
        user = {"user": _synthetic.TRUSTED_USER, "database": "main"}
        self.transport.write(_frames.startup(user))

    def dataReceived(self, data):  # noqa: N802
        """Hand whole frames to the caller."""
        out = []
        is_ready = False
        for kind, frame in self.reader.feed(data):
            out.append(frame)
            is_ready = is_ready or kind == _READY
        if self.caller is not None:
            self.caller.transport.write(b"".join(out))
        if is_ready:
            self.caller = None
            self.pool.release(self)


class Pool:
    """Pooled connections and the queue of callers.

    Attributes
    ----------
    idle : collections.deque of UpstreamProtocol
        Connections that are free.
    waiting : collections.deque
        Callers and their frames.
    """

    def __init__(self):
        self.idle = collections.deque()
        self.waiting = collections.deque()

    def request(self, caller, data):
        """Send a caller's frames as soon as a connection is free."""
        if not self.idle:
            self.waiting.append((caller, data))
            return
        self._send(self.idle.popleft(), caller, data)

    def release(self, upstream):
        """Take back a connection."""
        if self.waiting:
            self._send(upstream, *self.waiting.popleft())
        else:
            self.idle.append(upstream)

    def _send(self, upstream, caller, data):
        upstream.caller = caller
        upstream.transport.write(data)


class CallerProtocol(protocol.Protocol):
    """One caller, accepted without a password.

    Parameters
    ----------
    pool : Pool
        Where its frames go.
    """

    def __init__(self, pool):
        self.pool = pool
        self.reader = None

    def connectionMade(self):  # noqa: N802
        """Turn off delayed sending."""
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data):  # noqa: N802
        """Forward whole frames unread."""
        if self.reader is None:
            self.reader = _frames.FrameReader()
            accepted = _frames.frame(b"R", struct.pack(">I", 0))
            self.transport.write(accepted + _frames.ready_for_query())
            return
        frames = self.reader.feed(data)
        if frames:
            self.pool.request(self, b"".join(frame for _, frame in frames))


class CallerFactory(protocol.Factory):
    """Accepts callers.

    Parameters
    ----------
    pool : Pool
        Where their frames go.
    """

    noisy = False

    def __init__(self, pool):
        self.pool = pool

    def buildProtocol(self, addr):  # noqa: N802
        """Return the protocol of a new caller."""
        return CallerProtocol(self.pool)


class UpstreamFactory(protocol.ClientFactory):
    """Opens pooled connections.

    Parameters
    ----------
    pool : Pool
        Where they are kept.
    """

    noisy = False

    def __init__(self, pool):
        self.pool = pool

    def buildProtocol(self, addr):  # noqa: N802
        """Return the protocol of a new connection."""
        return UpstreamProtocol(self.pool)
