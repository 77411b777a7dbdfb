"""Caller connections: start-up, TLS, authentication and cancellation."""

import hashlib
import struct

import scramp
from twisted.internet import protocol

from pomelograde.core import accounts, retries, routing
from pomelograde.core.membership import process_ids
from pomelograde.net import (
    _frames,
    _proxy_settings,
    events,
    peer_messages,
    upstream,
)
from pomelograde.net import sessions as session_tasks

SERVER_VERSION = "15.0 (pomelograde)"
SALT_BYTES = 16
LINGER_S = 1.0  # time for a refused caller to read the error

PARAMETERS = {
    "server_version": SERVER_VERSION,
    "server_encoding": "UTF8",
    "client_encoding": "UTF8",
    "DateStyle": "ISO, MDY",
    "IntervalStyle": "postgres",
    "TimeZone": "UTC",
    "integer_datetimes": "on",
    "standard_conforming_strings": "on",
    "is_superuser": "off",
    "in_hot_standby": "off",
    "default_transaction_read_only": "off",
}


class CallerProtocol(protocol.Protocol):
    """Connection of one caller.

    Parameters
    ----------
    listener : CallerListener
        Listener that accepted the connection.

    Attributes
    ----------
    buffer : bytes
        Received bytes that are not parsed yet, until authentication begins.
    reader : FrameReader or None
        Frame reader; None until the start-up message has been read.
    parameters : dict of str to str or None
        Parameters of the start-up message.
    session : Session or None
        Session; None until the caller is authenticated.
    timer : IDelayedCall or None
        Limit of the time for start-up.
    key : Key or None
        Key that the caller authenticates with; None if it is unknown.
    route : OpenRoute or None
        Open route that admits the caller without a key.
    secure : bool
        Whether the connection uses TLS.
    process_id, secret : int
        Cancel key sent to the caller.
    """

    def __init__(self, listener):
        self.listener = listener
        self.context = listener.context
        self.buffer = b""
        self.reader = None
        self.parameters = None
        self.session = None
        self.timer = None
        self.scram = None
        self.key = None
        self.route = None
        self.secure = False
        self.process_id = 0
        self.secret = 0

    def connectionMade(self):  # noqa: N802
        """Enforce the limits on time and number of connections in start-up."""
        self.transport.setTcpNoDelay(True)
        limits = self.context.settings.limits
        if self.listener.is_full():
            self._refuse(retries.ErrorKind.TOO_MANY_CONNECTIONS)
            return
        self.listener.starting.add(self)
        self.timer = self.context.reactor.callLater(
            limits.startup_timeout_s, self._on_startup_timeout
        )

    def dataReceived(self, data):  # noqa: N802
        """Process bytes from the caller."""
        if self.session is not None:
            frames = self.reader.feed(data)
            if frames:
                self.session.receive(frames)
            if self.reader.failure is not None and not self.session.closed:
                self.session.fail(retries.Failure(self.reader.failure))
            return
        if self.parameters is None:
            self.buffer += data
            self._read_startup()
        elif self.reader is not None:
            self._read_authentication(data)

    def close_gracefully(self):
        """Close the connection once the caller has had time to read the answer.

        Notes
        -----
        Closing a socket with unread bytes resets the connection, and the
        caller may then never receive what was written last. Only the sending
        side is closed at first, and incoming data is discarded for `LINGER_S`.
        """
        self.listener.lingering.add(self)
        if self.secure:
            self.transport.loseConnection()
            return
        self.transport.loseWriteConnection()
        self.context.reactor.callLater(LINGER_S, self.transport.loseConnection)

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        """Release all resources of the connection."""
        self.listener.lingering.discard(self)
        self._end_startup()
        self.listener.cancel_keys.pop(self.process_id, None)
        if self.session is not None:
            self.context.log.write(events.Event.CALLER_CLOSED)
            self.session.on_closed()

    def _read_startup(self):
        while len(self.buffer) >= 8 and self.parameters is None:
            length, code = struct.unpack_from(">II", self.buffer)
            if not 8 <= length <= _frames.MAX_STARTUP_BYTES:
                self._refuse(retries.ErrorKind.MALFORMED_FRAME)
                return
            if len(self.buffer) < length:
                return
            payload = self.buffer[4:length]
            self.buffer = self.buffer[length:]
            if code in (_frames.TLS_CODE, _frames.GSS_CODE):
                self._answer_encryption(code)
            elif code == _frames.CANCEL_CODE:
                self._cancel(payload)
                return
            else:
                self._process_startup(payload)

    def _answer_encryption(self, code):
        contexts = self.listener.tls_contexts
        if code == _frames.GSS_CODE or contexts is None:
            self.transport.write(b"N")
            return
        if self.buffer:
            self._refuse(retries.ErrorKind.MALFORMED_FRAME)
            return
        self.transport.write(b"S")
        self.transport.startTLS(contexts)
        self.secure = True

    def _cancel(self, payload):
        message = _frames.CANCEL.parse(payload.ljust(12, b"\0"))
        self.listener.on_cancel(message.process_id, message.secret)
        self.transport.loseConnection()

    def _process_startup(self, payload):
        outcome = _frames.read_startup(payload)
        if outcome.is_err():
            self._refuse(outcome.err_value)
            return
        if self.context.settings.tls.required and not self.secure:
            self._refuse(retries.ErrorKind.TLS_REQUIRED)
            return
        self.parameters = outcome.ok_value
        self.reader = _frames.FrameReader(_frames.MAX_STARTUP_BYTES)
        self.route = routing.find_open_route(
            self.listener.gateway.configuration.current,
            self.parameters.get("user", ""),
            self._service(),
        )
        if self.route is not None:
            self._start_open_route()
            return
        self.transport.write(
            _frames.frame(b"R", struct.pack(">I", 10) + b"SCRAM-SHA-256\0\0")
        )
        if self.buffer:
            data, self.buffer = self.buffer, b""
            self._read_authentication(data)

    def _read_authentication(self, data):
        for kind, frame in self.reader.feed(data):
            if kind != ord("p") or self.session is not None:
                self._refuse(retries.ErrorKind.MALFORMED_FRAME)
                return
            try:
                self._authenticate(frame[5:])
            except (scramp.ScramException, ValueError):
                self._refuse(retries.ErrorKind.AUTHENTICATION_FAILED)
                return
        if self.reader.failure is not None:
            self._refuse(self.reader.failure)

    def _authenticate(self, payload):
        if self.scram is None:
            message = _frames.read_sasl_initial(payload)
            self.key = self._find_key()
            info = self._auth_info()
            self.scram = accounts.make_server(info)
            accounts.set_client_first(self.scram, message)
            first = self.scram.get_server_first().encode("utf-8")
            body = struct.pack(">I", 11) + first
            self.transport.write(_frames.frame(b"R", body))
            return
        self.scram.set_client_final(payload.decode("utf-8"))
        final = self.scram.get_server_final().encode("utf-8")
        if self.key is None:
            raise ValueError("unknown key")
        self.transport.write(_frames.frame(b"R", struct.pack(">I", 12) + final))
        self._finish_startup()

    def _find_key(self):
        name = self.parameters.get("user", "")
        return self.listener.gateway.configuration.current.get("keys", name)

    def _auth_info(self):
        """Return the SCRAM verifier to authenticate against.

        Notes
        -----
        For an unknown key a mock verifier is derived from its name, so that
        the caller cannot distinguish it from a wrong password.
        """
        if self.key is not None:
            return self.key.verifier.auth_info()
        name = self.parameters.get("user", "").encode("utf-8")
        seed = self.listener.mock_verifier_seed + name
        salt = hashlib.sha256(seed).digest()[:SALT_BYTES]
        stored = hashlib.sha256(b"stored" + seed).digest()
        server = hashlib.sha256(b"server" + seed).digest()
        return salt, stored, server, accounts.ITERATIONS

    def _finish_startup(self):
        current = self.listener.gateway.configuration.current
        if self.key.withdrawn or self.key != self._find_key():
            self._refuse(retries.ErrorKind.KEY_WITHDRAWN)
            return
        if not self.listener.gateway.is_fresh(self.context.now()):
            self._refuse(retries.ErrorKind.CONFIGURATION_STALE)
            return
        account = current.get("accounts", self.key.account)
        session = self._make_session(
            account=self.key.account,
            key_name=self.parameters.get("user", ""),
            role=current.role_of(self.key.account),
            weight=account.weight if account is not None else 1.0,
        )
        if session is not None:
            self._add_session(session)

    def _start_open_route(self):
        """Start a read-only session for a caller on an open route."""
        session = self._make_session(
            account=self.route.account,
            key_name=self.route.account,
            role=self.route.role,
            weight=1.0,
            read_only=True,
            route=self.route,
        )
        if session is None:
            return
        self._add_session(session)
        if self.buffer:
            data, self.buffer = self.buffer, b""
            self.dataReceived(data)

    def _service(self):
        return self.parameters.get("database") or self.parameters.get("user", "")

    def _make_session(self, **session_arguments):
        gateway = self.listener.gateway
        service = self._service()
        if gateway.draining:
            self._refuse(retries.ErrorKind.DRAINING)
            return None
        if service not in gateway.groups:
            self._refuse(retries.ErrorKind.UNKNOWN_DATABASE)
            return None
        session = session_tasks.Session(
            self.context, gateway, self, service, **session_arguments
        )
        return session if self._set_options(session) else None

    def _add_session(self, session):
        self._end_startup()
        self.session = session
        self.listener.gateway.add_session(session)
        self.reader = _frames.FrameReader(self.context.settings.limits.frame_bytes)
        self.process_id, self.secret = self.listener.new_cancel_key(session)
        self.transport.write(self._startup_response())
        self.context.log.write(
            events.Event.CALLER_AUTHENTICATED,
            key=session.key_name,
            account=session.account,
            service=session.service,
        )

    def _set_options(self, session):
        options = _proxy_settings.read_options(self.parameters.get("options", ""))
        options.update(self.parameters)
        for name, value in options.items():
            if not name.startswith(_proxy_settings.PREFIX):
                continue
            outcome = session.set_option(name, value)
            if outcome.is_err():
                kind = retries.ErrorKind.INVALID_SETTING
                self._refuse(kind, outcome.err_value)
                return False
        return True

    def _startup_response(self):
        frames = [_frames.frame(b"R", struct.pack(">I", 0))]
        for name, value in PARAMETERS.items():
            frames.append(_frames.parameter_status(name, value))
        user = self.parameters.get("user", "")
        frames.append(_frames.parameter_status("session_authorization", user))
        application = self.parameters.get("application_name", "")
        frames.append(_frames.parameter_status("application_name", application))
        key = struct.pack(">II", self.process_id, self.secret)
        frames.append(_frames.frame(b"K", key))
        frames.append(_frames.ready_for_query())
        return b"".join(frames)

    def _on_startup_timeout(self):
        self._refuse(retries.ErrorKind.STARTUP_TIMEOUT)
        self.timer = self.context.reactor.callLater(
            LINGER_S, self.transport.abortConnection
        )

    def _refuse(self, kind, detail=""):
        self._end_startup()
        self.context.metrics.count(self.context.metrics.refusals, kind.value)
        self.context.log.write(events.Event.CALLER_REFUSED, reason=kind.value)
        self.transport.write(_frames.error_response(retries.Failure(kind, detail)))
        self.transport.loseConnection()

    def _end_startup(self):
        self.listener.starting.discard(self)
        timer, self.timer = self.timer, None
        if timer is not None and timer.active():
            timer.cancel()


class CallerListener(protocol.Factory):
    """Accepts connections of callers.

    Parameters
    ----------
    context : InstanceContext
        State and services shared by all tasks of the daemon.
    gateway : Gateway
        Access to groups, configuration and admission control.
    tls_contexts : IOpenSSLServerConnectionCreator or None
        TLS configuration for callers; None disables TLS.

    Attributes
    ----------
    starting : set of CallerProtocol
        Connections in start-up.
    lingering : set of CallerProtocol
        Connections that are being closed after a fatal error.
    cancel_keys : dict of int to (int, Session)
        Secrets and sessions by the process id of their cancel key.
    mock_verifier_seed : bytes
        Secret input of the verifiers for unknown keys.
    """

    noisy = False

    def __init__(self, context, gateway, tls_contexts=None):
        self.context = context
        self.gateway = gateway
        self.tls_contexts = tls_contexts
        self.starting = set()
        self.lingering = set()
        self.cancel_keys = {}
        self.mock_verifier_seed = context.random.randbytes(SALT_BYTES)

    def buildProtocol(self, addr):  # noqa: N802
        """Return the protocol of a new connection."""
        return CallerProtocol(self)

    def is_full(self):
        """Return whether further callers are refused."""
        limits = self.context.settings.limits
        return (
            len(self.starting) >= limits.starting_connections
            or len(self.gateway.sessions) >= limits.caller_connections
        )

    def new_cancel_key(self, session):
        """Return a new process id and secret for a session."""
        own = self.context.members.own.name
        process_id = 0
        while process_id in self.cancel_keys or process_id == 0:
            number = self.context.random.getrandbits(process_ids.SESSION_NUMBER_BITS)
            process_id = process_ids.make_process_id(own, number)
        secret = self.context.random.getrandbits(32)
        self.cancel_keys[process_id] = (secret, session)
        return process_id, secret

    def on_cancel(self, process_id, secret):
        """Handle a CancelRequest; forward it where another instance may own it."""
        if self.cancel(process_id, secret):
            return
        message = peer_messages.CancelStatement(process_id, secret)
        members = self.context.members
        for instance in process_ids.find_owners(process_id, members.live()):
            if instance.name != members.own.name:
                self.context.peers.send(instance, message)

    def on_peer_cancel(self, message, envelope):
        """Handle a CancelRequest forwarded by another instance."""
        self.cancel(message.process_id, message.secret)

    def cancel(self, process_id, secret):
        """Cancel the running statement of one of this instance's sessions.

        Returns
        -------
        bool
            Whether the process id belongs to a session of this instance.
        """
        entry = self.cancel_keys.get(process_id)
        if entry is None:
            return False
        if entry[0] != secret:
            return True
        exchange = entry[1].exchange
        connection = getattr(exchange, "connection", None)
        if connection is not None:
            pool = exchange.group.pools.get(connection.member)
            if pool is not None:
                upstream.send_cancel(self.context.reactor, pool.spec, connection)
        return True
