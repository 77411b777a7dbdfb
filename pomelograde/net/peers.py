"""Connections between instances that carry messages and requests."""

import itertools

import attrs
from twisted.internet import defer, endpoints, protocol
from twisted.internet import error as net_error
from twisted.protocols import basic

from pomelograde.net import events, peer_messages, peer_streams, rejections, timers

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
CONNECT_TIMEOUT_S = 1.0
REQUEST_TIMEOUT_S = 1.0


class PeerUnreachableError(Exception):
    """Raised when a peer can't be reached or does not reply in time."""


class NoReplyError(PeerUnreachableError):
    """Raised when a peer does not reply in time."""


class PlainPeers:
    """Connections without TLS, for a network that only the fleet can reach.

    Notes
    -----
    Peers are not authenticated: the sender named in a message is trusted.
    """

    def listen(self, reactor, host, port, factory):
        """Listen for peers; returns the port."""
        return reactor.listenTCP(port, factory, interface=host)

    def wrap_endpoint(self, endpoint, name):
        """Return the endpoint for connections to the named instance."""
        return endpoint

    def authenticated_name(self, transport):
        """Return None, since peers are not authenticated."""
        return


class PeerProtocol(basic.Int32StringReceiver):
    """One connection between two instances.

    Parameters
    ----------
    task : PeerTask
        Task that sends and receives over the connection.
    peer_name : str
        Name of the peer; empty for an accepted connection, whose first message
        sets it.

    Attributes
    ----------
    is_inbound : bool
        Whether the peer opened the connection.
    pending_requests : set of int
        Ids of the requests sent over the connection that are not answered.
    encoder : StreamEncoder or None
        Compresses the messages to a peer in another region, where bytes are
        scarce; None until the peer is known to accept streams.
    decoder : StreamDecoder
        Decodes the messages of the peer.
    """

    MAX_LENGTH = MAX_MESSAGE_BYTES

    def __init__(self, task, peer_name=""):
        self.task = task
        self.peer_name = peer_name
        self.is_inbound = not peer_name
        self.pending_requests = set()
        self.encoder = None
        self.decoder = peer_streams.StreamDecoder()

    def send_envelope(self, envelope):
        """Send a message."""
        encode = peer_messages.encode if self.encoder is None else self.encoder.encode
        self.sendString(encode(envelope))

    def stringReceived(self, data):  # noqa: N802
        """Process one message; close the connection if it is invalid."""
        try:
            envelope = self.decoder.decode(data)
        except Exception as error:
            self._refuse(f"can't be decoded: {type(error).__name__}")
            return
        if not envelope.sender:
            self._refuse("names no sender")
            return
        if not self.peer_name:
            security = self.task.security
            self.peer_name = (
                security.authenticated_name(self.transport) or envelope.sender
            )
        if envelope.sender != self.peer_name:
            self.task.on_name_mismatch(envelope.sender)
            self.transport.abortConnection()
            return
        if (
            self.encoder is None
            and envelope.accepts_streams
            and self.task.is_in_other_region(self.peer_name)
        ):
            self.encoder = peer_streams.StreamEncoder()
        self.task.receive(envelope, self)

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        """Report the loss to the task."""
        self.task.on_connection_lost(self)

    def lengthLimitExceeded(self, length):  # noqa: N802
        """Close the connection if a message exceeds `MAX_MESSAGE_BYTES`."""
        self._refuse(f"is longer than {MAX_MESSAGE_BYTES} bytes")

    def _refuse(self, reason):
        """Log a message that can't be used, and close the connection."""
        self.task.reject(None, self.peer_name, reason)
        self.transport.abortConnection()


class PeerTask(protocol.Factory):
    """Sends messages and requests to peers, and dispatches received ones.

    Parameters
    ----------
    context : InstanceContext
        State and services shared by all tasks of the daemon.
    security : PeerTls, PlainPeers or None
        How connections are protected; None for an instance without peers.

    Attributes
    ----------
    connect_timeout_s : float
        Time limit for connecting to a peer.
    drops_on_timeout : bool
        Whether a connection is dropped when a request over it times out.
    on_lost : callable or None
        Called with the PeerProtocol of each lost connection whose peer is known.
    handlers : dict of type to callable
        For each message class, a function of message and `Envelope` that
        returns the reply, a Deferred of it, or None.
    connections : dict of str to PeerProtocol
        Connections opened by this instance, by peer.
    connecting : dict of str to list of Deferred
        For each peer that is being connected to, the sends that wait for the
        connection.
    pending_replies : dict of int to Deferred
        Replies that requests wait for, by request id.
    """

    noisy = False

    def __init__(self, context, security):
        self.context = context
        self.security = security
        self.handlers = {}
        self.on_lost = None
        self.connect_timeout_s = CONNECT_TIMEOUT_S
        self.drops_on_timeout = True
        self.connections = {}
        self.connecting = {}
        self.pending_replies = {}
        self.request_ids = itertools.count(1)
        self.rejections = rejections.RejectionLog(
            context, events.Event.MESSAGE_REJECTED
        )

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
        """Drop the connection to a peer; the next message opens a new one."""
        connection = self.connections.pop(name, None)
        if connection is not None and connection.transport is not None:
            connection.transport.abortConnection()

    def send(self, instance, message):
        """Send a message without a reply; it is lost if the peer is unreachable.

        Parameters
        ----------
        instance : Instance
            Receiver.
        message : object
            One of the message classes.
        """
        sent = defer.ensureDeferred(self._send(instance, message, 0))
        sent.addErrback(self._on_send_failed, message, instance.name)

    def _on_send_failed(self, reason, message, receiver):
        if not reason.check(PeerUnreachableError):
            place = timers.format_location(reason)
            fault = f"can't be sent: {reason.type.__name__} at {place}"
            self.reject(message, receiver, fault)

    async def request(
        self, instance, message, timeout_s=REQUEST_TIMEOUT_S, on_sent=None
    ):
        """Send a request and return the reply.

        Parameters
        ----------
        instance : Instance
            Receiver.
        message : object
            One of the message classes.
        timeout_s : float
            Time limit for the reply.
        on_sent : callable or None
            Called once the request is written to a connection.

        Raises
        ------
        NoReplyError
            If there is no reply within the time limit. A request that still waits
            for its connection then is not sent any more.
        PeerUnreachableError
            If the connection can't be opened or is lost.
        """
        request_id = next(self.request_ids)
        reply = defer.Deferred()
        self.pending_replies[request_id] = reply
        reply.addTimeout(timeout_s, self.context.reactor)
        sending = defer.ensureDeferred(
            self._send(instance, message, request_id, on_sent)
        )
        sending.addErrback(_fail_reply, reply)
        try:
            return await reply
        except defer.TimeoutError as error:
            if self.drops_on_timeout:
                self.drop_connection(instance.name)
            raise NoReplyError(instance.name) from error
        finally:
            self.pending_replies.pop(request_id, None)

    def receive(self, envelope, connection):
        """Handle a message from a peer."""
        if envelope.is_reply:
            # Only the peer that was asked may answer, and once.
            if envelope.request_id not in connection.pending_requests:
                return
            connection.pending_requests.discard(envelope.request_id)
            reply = self.pending_replies.pop(envelope.request_id, None)
            if reply is not None:
                reply.callback(envelope.message)
            return
        handler = self.handlers.get(type(envelope.message))
        if handler is None:
            return
        envelope = attrs.evolve(envelope, connection=connection)
        done = defer.maybeDeferred(handler, envelope.message, envelope)
        if envelope.request_id:
            done.addCallback(self._reply, envelope.request_id, connection)
        done.addErrback(self._on_handler_failed, envelope)

    def _on_handler_failed(self, reason, envelope):
        """Log a message that its handler can't process; it gets no reply.

        Notes
        -----
        An empty reply would confirm what was asked. The connection stays open, as
        it serves other clients, too.
        """
        place = timers.format_location(reason)
        fault = f"{reason.type.__name__} at {place}"
        self.reject(envelope.message, envelope.sender, fault)

    def on_connection_lost(self, connection):
        """Remove a lost connection and fail the requests sent over it."""
        if self.connections.get(connection.peer_name) is connection:
            del self.connections[connection.peer_name]
        for request_id in connection.pending_requests:
            reply = self.pending_replies.pop(request_id, None)
            if reply is not None:
                reply.errback(PeerUnreachableError(connection.peer_name))
        connection.pending_requests.clear()
        if self.on_lost is not None and connection.peer_name:
            self.on_lost(connection)

    def reject(self, message, sender, reason):
        """Log a message that can't be used.

        Parameters
        ----------
        message : object or None
            One of the message classes; None if it can't be decoded.
        sender : str
            Name of the sender; empty if it isn't known.
        reason : str
            What is wrong with it.
        """
        kind = "" if message is None else type(message).__name__
        self.rejections.write(reason, sender=sender, message=kind)

    def is_in_other_region(self, name):
        """Return whether a known instance is in another region than this one."""
        members = self.context.members
        known = members.records.get(name)
        return known is not None and known.instance.region != members.own.region

    def on_name_mismatch(self, name):
        """Log a peer whose messages name another sender than its certificate."""
        self.context.log.write(events.Event.PEER_REFUSED, sender=name)

    def _reply(self, message, request_id, connection):
        reply = self._make_envelope(message or peer_messages.Empty(), request_id, True)
        connection.send_envelope(reply)

    async def _send(self, instance, message, request_id, on_sent=None):
        connection = await self._connect(instance)
        if request_id:
            if request_id not in self.pending_replies:
                return
            connection.pending_requests.add(request_id)
        if on_sent is not None:
            on_sent()
        connection.send_envelope(self._make_envelope(message, request_id, False))

    def _make_envelope(self, message, request_id, is_reply):
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
        except Exception as error:
            for waiter in self.connecting.pop(instance.name):
                waiter.errback(error)
            raise
        self.connections[instance.name] = connection
        for waiter in self.connecting.pop(instance.name):
            waiter.callback(connection)
        return connection

    async def _open(self, instance):
        if self.security is None:
            raise PeerUnreachableError("no peer certificates are configured")
        bind_host = self.context.settings.addresses.bind_host
        endpoint = endpoints.TCP4ClientEndpoint(
            self.context.reactor,
            instance.host,
            instance.peer_port,
            timeout=self.connect_timeout_s,
            bindAddress=(bind_host, 0) if bind_host else None,
        )
        endpoint = self.security.wrap_endpoint(endpoint, instance.name)
        connection = PeerProtocol(self, instance.name)
        try:
            await endpoints.connectProtocol(endpoint, connection)
        except (net_error.ConnectError, defer.CancelledError) as error:
            raise PeerUnreachableError(instance.name) from error
        except Exception as error:
            # The address can't be used: no IP address, or no port.
            fault = f"connection can't be opened: {type(error).__name__}"
            self.reject(None, instance.name, fault)
            raise PeerUnreachableError(instance.name) from error
        return connection


def _fail_reply(reason, reply):
    """Fail a request that was not sent, unless it has timed out before."""
    if reply.called:
        reason.trap(PeerUnreachableError)
    else:
        reply.errback(reason)
