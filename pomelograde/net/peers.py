"""Authenticated connections between instances."""

import itertools

import capnp
from twisted.internet import defer, endpoints, protocol
from twisted.internet import error as net_error
from twisted.protocols import basic

from pomelograde.net import events, peer_messages

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
CONNECT_TIMEOUT_S = 1.0
REQUEST_TIMEOUT_S = 1.0


class PeerUnreachableError(Exception):
    """A peer did not answer in time, or can't be reached."""


class PlainPeers:
    """Unprotected connections, for a network that only the fleet can reach.

    Notes
    -----
    A peer is whoever its messages say that it is.
    """

    def listen(self, reactor, host, port, factory):
        """Listen for peers; returns the port."""
        return reactor.listenTCP(port, factory, interface=host)

    def wrap_endpoint(self, endpoint, name):
        """Return the endpoint that connects to the instance of a name."""
        return endpoint

    def read_name(self, transport):
        """Return the name that the other side has proved, or None."""
        return


class PeerProtocol(basic.Int32StringReceiver):
    """One connection between two instances.

    Parameters
    ----------
    task : PeerTask
        What sends and receives.
    expected : str
        Name of the peer where this side connected; empty where it accepted.

    Attributes
    ----------
    accepted : bool
        Whether the peer opened the connection.
    sent : set of int
        Requests sent over it that are not answered.
    """

    MAX_LENGTH = MAX_MESSAGE_BYTES

    def __init__(self, task, expected=""):
        self.task = task
        self.expected = expected
        self.accepted = not expected
        self.sent = set()

    def stringReceived(self, data):  # noqa: N802
        """Take one message."""
        try:
            envelope = peer_messages.decode(data)
        except (capnp.KjException, KeyError, ValueError):
            self.transport.abortConnection()
            return
        if not self.expected:
            security = self.task.security
            self.expected = security.read_name(self.transport) or envelope.sender
        if envelope.sender != self.expected:
            self.task.on_impostor(envelope.sender)
            self.transport.abortConnection()
            return
        self.task.receive(envelope, self)

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        """Tell the task."""
        self.task.on_connection_lost(self)

    def lengthLimitExceeded(self, length):  # noqa: N802
        """Drop a peer that sends too much."""
        self.transport.abortConnection()


class PeerTask(protocol.Factory):
    """Sends and receives typed messages.

    Parameters
    ----------
    context : InstanceContext
        Parts of the daemon that all tasks share.
    security : PeerTls, PlainPeers or None
        How connections are protected; None for an instance without peers.

    Attributes
    ----------
    drops_on_timeout : bool
        Whether a connection is replaced once a request got no answer in time.
    on_lost : callable or None
        Called with the name of a peer, and whether the peer had opened it,
        once a connection is gone.
    handlers : dict of type to callable
        For each message class, a function of message and `Envelope` that
        returns the reply, a Deferred of it, or None.
    """

    noisy = False

    def __init__(self, context, security):
        self.context = context
        self.security = security
        self.handlers = {}
        self.on_lost = None
        self.drops_on_timeout = True
        self.connections = {}
        self.connecting = {}
        self.waiting = {}
        self.request_ids = itertools.count(1)

    def buildProtocol(self, addr):  # noqa: N802
        """Return the protocol of an accepted connection."""
        return PeerProtocol(self)

    def listen(self, host, port):
        """Listen for peers; returns the port."""
        return self.security.listen(self.context.reactor, host, port, self)

    def stop(self):
        """Close all connections."""
        for connection in list(self.connections.values()):
            connection.transport.loseConnection()

    def drop_connection(self, name):
        """Drop the kept connection to a peer; the next message opens another."""
        connection = self.connections.pop(name, None)
        if connection is not None and connection.transport is not None:
            connection.transport.abortConnection()

    def send(self, instance, message):
        """Send a message without waiting for anything.

        Parameters
        ----------
        instance : Instance
            Receiver.
        message : object
            One of the message classes.
        """
        sent = defer.ensureDeferred(self._send(instance, message, 0))
        sent.addErrback(lambda reason: reason.trap(PeerUnreachableError) and None)

    async def request(self, instance, message, timeout_s=REQUEST_TIMEOUT_S):
        """Send a request and return the reply.

        Raises
        ------
        PeerUnreachableError
            If there is no reply within the time limit.
        """
        request_id = next(self.request_ids)
        answer = defer.Deferred()
        self.waiting[request_id] = answer
        answer.addTimeout(timeout_s, self.context.reactor)
        try:
            await self._send(instance, message, request_id)
            return await answer
        except defer.TimeoutError as error:
            if self.drops_on_timeout:
                self.drop_connection(instance.name)
            raise PeerUnreachableError(instance.name) from error
        finally:
            self.waiting.pop(request_id, None)
            # Where nothing was sent, nobody awaits what the time limit does.
            answer.addErrback(lambda reason: None)
            answer.cancel()

    def receive(self, envelope, connection):
        """Take a message from a peer."""
        if envelope.is_reply:
            connection.sent.discard(envelope.request_id)
            answer = self.waiting.pop(envelope.request_id, None)
            if answer is not None:
                answer.callback(envelope.message)
            return
        handler = self.handlers.get(type(envelope.message))
        if handler is None:
            return
        done = defer.maybeDeferred(handler, envelope.message, envelope)
        if envelope.request_id:
            done.addCallback(self._reply, envelope.request_id, connection)

    def on_connection_lost(self, connection):
        """Forget a connection; requests that were sent over it fail."""
        if self.connections.get(connection.expected) is connection:
            del self.connections[connection.expected]
        for request_id in connection.sent:
            answer = self.waiting.pop(request_id, None)
            if answer is not None:
                answer.errback(PeerUnreachableError(connection.expected))
        connection.sent.clear()
        if self.on_lost is not None and connection.expected:
            self.on_lost(connection.expected, connection.accepted)

    def on_impostor(self, name):
        """Note a peer whose certificate is not its own."""
        self.context.log.write(events.Event.PEER_REFUSED, sender=name)

    def _reply(self, message, request_id, connection):
        reply = self._envelope(message or peer_messages.Empty(), request_id, True)
        connection.sendString(peer_messages.encode(reply))

    async def _send(self, instance, message, request_id):
        connection = await self._connect(instance)
        if request_id:
            connection.sent.add(request_id)
        envelope = self._envelope(message, request_id, False)
        connection.sendString(peer_messages.encode(envelope))

    def _envelope(self, message, request_id, is_reply):
        own = self.context.members.own
        return peer_messages.Envelope(
            own.name, own.incarnation, request_id, is_reply, message
        )

    async def _connect(self, instance):
        connection = self.connections.get(instance.name)
        if connection is not None:
            return connection
        waiters = self.connecting.get(instance.name)
        if waiters is not None:
            waiter = defer.Deferred()
            waiters.append(waiter)
            return await waiter
        self.connecting[instance.name] = []
        try:
            connection = await self._open(instance)
        except PeerUnreachableError as error:
            for waiter in self.connecting.pop(instance.name):
                waiter.errback(error)
            raise
        self.connections[instance.name] = connection
        for waiter in self.connecting.pop(instance.name):
            waiter.callback(connection)
        return connection

    async def _open(self, instance):
        if self.security is None:
            raise PeerUnreachableError("no peer certificates are set")
        bind_host = self.context.settings.addresses.bind_host
        endpoint = endpoints.TCP4ClientEndpoint(
            self.context.reactor,
            instance.host,
            instance.peer_port,
            timeout=CONNECT_TIMEOUT_S,
            bindAddress=(bind_host, 0) if bind_host else None,
        )
        endpoint = self.security.wrap_endpoint(endpoint, instance.name)
        connection = PeerProtocol(self, instance.name)
        try:
            await endpoints.connectProtocol(endpoint, connection)
        except (net_error.ConnectError, defer.CancelledError) as error:
            raise PeerUnreachableError(instance.name) from error
        return connection
