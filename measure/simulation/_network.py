"""Simulated time and connections between the processes of a fleet.

Each process sees the network as a reactor. Bytes arrive after a latency and in
order. A cut holds them back until it ends, as a network that drops packets does.
"""

import collections
import functools
import heapq
import itertools

import attrs
from twisted.internet import address, error
from twisted.python import failure

LATENCY_S = 0.002
CUT_CHECK_S = 0.05
MIN_DELAY_S = 1e-6  # time goes on in reality, whatever a process does
HOST = "127.0.0.1"


class Timer:
    """Call that is due at a time, with the interface of a delayed call.

    Parameters
    ----------
    network : Network
        Clock of the call.
    function : callable
        Called without arguments.
    """

    def __init__(self, network, function):
        self.network = network
        self.function = function
        self.due_at = 0.0
        self.is_active = True

    def active(self):
        """Return whether the call is still due."""
        return self.is_active

    def cancel(self):
        """Call nothing."""
        if not self.is_active:
            raise error.AlreadyCancelled
        self.is_active = False

    def reset(self, delay_s):
        """Call after a delay from now."""
        delay_s = max(MIN_DELAY_S, delay_s)
        self.network.schedule(self, self.network.seconds() + delay_s)

    def getTime(self):  # noqa: N802
        """Return the time at which the call is due."""
        return self.due_at


class Network:
    """Clock and network that all processes share.

    Attributes
    ----------
    listeners : dict of int to Listener
        Listening ports.
    cuts : set of tuple of (str, int)
        Names of processes, and ports that they can't reach.
    links : set of Link
        Open connections.
    """

    def __init__(self, now=1000.0):
        self.now = now
        self.timers = []
        self.timer_numbers = itertools.count()
        self.listeners = {}
        self.cuts = set()
        self.links = set()
        self.last_port = 1024

    def seconds(self):
        """Return the simulated time in seconds."""
        return self.now

    def callLater(self, delay_s, function, *arguments):  # noqa: N802
        """Call a function after a delay."""
        timer = Timer(self, functools.partial(function, *arguments))
        self.schedule(timer, self.now + delay_s)
        return timer

    def schedule(self, timer, due_at):
        """Set the time of a Timer."""
        timer.due_at = due_at
        heapq.heappush(self.timers, (due_at, next(self.timer_numbers), timer))

    def run_until(self, end):
        """Run all calls that are due until a time, each at its own time."""
        while self.timers and self.timers[0][0] <= end:
            due_at, _, timer = heapq.heappop(self.timers)
            if timer.is_active and timer.due_at == due_at:
                timer.is_active = False
                self.now = max(self.now, due_at)
                timer.function()
        self.now = max(self.now, end)

    def find_free_port(self):
        """Return a port that was not used before."""
        self.last_port += 1
        return self.last_port

    def is_cut(self, name, port):
        """Return whether a process can't reach a port."""
        return (name, port) in self.cuts


class Process:
    """One process, which sees the network as a reactor.

    Parameters
    ----------
    network : Network
        The network.
    name : str
        Name of the process.

    Attributes
    ----------
    is_running : bool
        False once it was killed; its calls are not run any more.
    """

    def __init__(self, network, name):
        self.network = network
        self.name = name
        self.is_running = True

    def seconds(self):
        """Return the simulated time in seconds."""
        return self.network.seconds()

    def callLater(self, delay_s, function, *arguments, **options):  # noqa: N802
        """Call a function later, unless the process was killed."""

        def call():
            if self.is_running:
                function(*arguments, **options)

        return self.network.callLater(max(MIN_DELAY_S, delay_s), call)

    def listenTCP(self, port, factory, backlog=50, interface=""):  # noqa: N802
        """Accept connections at a port, any free one for 0."""
        port = port or self.network.find_free_port()
        listener = Listener(self, port, factory)
        self.network.listeners[port] = listener
        factory.doStart()
        return listener

    def connectTCP(  # noqa: N802
        self,
        host,
        port,
        factory,
        timeout=30,
        bindAddress=None,  # noqa: N803
    ):
        """Open a connection."""
        connector = Connector(self, port, factory)
        connector.start(timeout)
        return connector

    def kill(self):
        """End the process; the others see its connections end."""
        self.is_running = False
        for port, listener in list(self.network.listeners.items()):
            if listener.process is self:
                del self.network.listeners[port]
        for link in list(self.network.links):
            for end in link.ends:
                if end.process is self:
                    end.vanish()


@attrs.define(eq=False)
class Listener:
    """Port at which a process accepts connections."""

    process: Process
    port: int
    factory: object

    def getHost(self):  # noqa: N802
        """Return the address."""
        return address.IPv4Address("TCP", HOST, self.port)

    def stopListening(self):  # noqa: N802
        """Accept no further connections."""
        listeners = self.process.network.listeners
        if listeners.get(self.port) is self:
            del listeners[self.port]
            self.factory.doStop()


class Connector:
    """Attempt of a process to connect to a port.

    Parameters
    ----------
    process : Process
        The process that connects.
    port : int
        Port to connect to.
    factory : ClientFactory
        Builds the protocol.
    """

    def __init__(self, process, port, factory):
        self.process = process
        self.port = port
        self.factory = factory
        self.is_pending = True
        self.transport = None
        self.timer = None

    def start(self, timeout_s):
        """Connect, or fail after a time."""
        self.factory.doStart()
        self.factory.startedConnecting(self)
        self.timer = self.process.callLater(timeout_s, self._fail, error.TimeoutError())
        self.process.callLater(LATENCY_S, self._arrive)

    def _arrive(self):
        network = self.process.network
        if not self.is_pending:
            return
        if network.is_cut(self.process.name, self.port):
            self.process.callLater(CUT_CHECK_S, self._arrive)
            return
        listener = network.listeners.get(self.port)
        if listener is None:
            self._fail(error.ConnectionRefusedError())
            return
        link = Link(network, self.process, listener)
        served = listener.factory.buildProtocol(link.ends[0].getHost())
        if served is None:
            self._fail(error.ConnectionRefusedError())
            return
        self._finish()
        network.links.add(link)
        near, far = link.ends
        self.transport = near
        near.protocol = self.factory.buildProtocol(far.getHost())
        far.protocol = served
        near.on_lost = lambda reason: self.factory.clientConnectionLost(self, reason)
        far.protocol.makeConnection(far)
        near.protocol.makeConnection(near)

    def _finish(self):
        self.is_pending = False
        if self.timer.active():
            self.timer.cancel()

    def _fail(self, reason):
        if self.is_pending:
            self._finish()
            self.factory.clientConnectionFailed(self, failure.Failure(reason))

    def stopConnecting(self):  # noqa: N802
        """Give the attempt up."""
        self._fail(error.UserError())

    def disconnect(self):
        """Give the attempt up, or close the connection."""
        if self.is_pending:
            self.stopConnecting()
        elif self.transport is not None:
            self.transport.loseConnection()

    def getDestination(self):  # noqa: N802
        """Return the address that it connects to."""
        return address.IPv4Address("TCP", HOST, self.port)


class Link:
    """Open connection, from the process that opened it to the one that accepted it.

    Attributes
    ----------
    port : int
        Port that was connected to.
    ends : tuple of (Transport, Transport)
        Of the process that connected, and of the other one.
    is_silent : bool
        Whether all that is sent is lost for good.
    """

    def __init__(self, network, client, listener):
        self.network = network
        self.client = client
        self.port = listener.port
        self.is_silent = False
        near = Transport(self, client, network.find_free_port())
        far = Transport(self, listener.process, listener.port)
        near.peer, far.peer = far, near
        self.ends = (near, far)

    @property
    def is_cut(self):
        """Whether nothing arrives at present."""
        return self.network.is_cut(self.client.name, self.port)

    def reset(self):
        """End the connection for both sides."""
        for end in self.ends:
            end.reset()


class Transport:
    """One end of a connection."""

    def __init__(self, link, process, port):
        self.link = link
        self.process = process
        self.port = port
        self.peer = None
        self.protocol = None
        self.on_lost = None
        self.connected = True
        self.disconnecting = False
        self.is_paused = False
        self.is_pumping = False
        self.outgoing = collections.deque()
        self.unread = collections.deque()
        self.producer = None

    def getHost(self):  # noqa: N802
        """Return the address of this end."""
        return address.IPv4Address("TCP", HOST, self.port)

    def getPeer(self):  # noqa: N802
        """Return the address of the other end."""
        return self.peer.getHost()

    def setTcpNoDelay(self, enabled):  # noqa: N802
        """Do nothing."""

    def setTcpKeepAlive(self, enabled):  # noqa: N802
        """Do nothing."""

    def write(self, data):
        """Send bytes."""
        if self.connected and not self.disconnecting and data:
            self._send(bytes(data))

    def writeSequence(self, parts):  # noqa: N802
        """Send the bytes of several parts."""
        self.write(b"".join(parts))

    def _send(self, item):
        if self.link.is_silent:
            return
        arrives_at = self.link.network.seconds() + LATENCY_S
        self.outgoing.append((arrives_at, item))
        self._pump()

    def _pump(self):
        if self.is_pumping or not self.outgoing:
            return
        self.is_pumping = True
        network = self.link.network
        delay_s = max(0.0, self.outgoing[0][0] - network.seconds())
        if self.link.is_cut:
            delay_s = CUT_CHECK_S
        network.callLater(delay_s, self._deliver)

    def _deliver(self):
        self.is_pumping = False
        now = self.link.network.seconds()
        while self.outgoing and self.outgoing[0][0] <= now and not self.link.is_cut:
            _, item = self.outgoing.popleft()
            self.peer._receive(item)
        self._pump()

    def _receive(self, item):
        if not self.connected or not self.process.is_running:
            return
        if self.is_paused:
            self.unread.append(item)
        elif isinstance(item, bytes):
            self.protocol.dataReceived(item)
        else:
            self._lose(item)

    def pauseProducing(self):  # noqa: N802
        """Read nothing for now."""
        self.is_paused = True

    def resumeProducing(self):  # noqa: N802
        """Go on reading."""
        self.is_paused = False
        while self.unread and not self.is_paused:
            self._receive(self.unread.popleft())

    def stopProducing(self):  # noqa: N802
        """Close the connection."""
        self.loseConnection()

    def registerProducer(self, producer, streaming):  # noqa: N802
        """Record the producer; what it writes is never too much."""
        self.producer = producer

    def unregisterProducer(self):  # noqa: N802
        """Forget the producer."""
        self.producer = None

    def loseWriteConnection(self):  # noqa: N802
        """Close this end once the other one has everything."""
        self.loseConnection()

    def loseConnection(self, reason=None):  # noqa: N802
        """Close the connection once everything was sent."""
        if self.connected and not self.disconnecting:
            self._send(error.ConnectionDone())
            self.disconnecting = True
            self.process.callLater(0.0, self._lose, error.ConnectionDone())

    def abortConnection(self):  # noqa: N802
        """Close the connection at once."""
        if self.connected:
            self.outgoing.clear()
            self._send(error.ConnectionLost())
            self.disconnecting = True
            self.process.callLater(0.0, self._lose, error.ConnectionAborted())

    def reset(self):
        """End this side as the network does."""
        if self.connected and self.process.is_running:
            self.outgoing.clear()
            self.process.callLater(0.0, self._lose, error.ConnectionLost())

    def vanish(self):
        """End without a word to the protocol of this side."""
        if self.connected:
            self.connected = False
            self.link.network.links.discard(self.link)
            self._send(error.ConnectionLost())

    def _lose(self, reason):
        if not self.connected:
            return
        self.connected = False
        self.link.network.links.discard(self.link)
        wrapped = failure.Failure(reason)
        self.protocol.connectionLost(wrapped)
        if self.on_lost is not None:
            self.on_lost(wrapped)
