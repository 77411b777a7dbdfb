"""The task of one authenticated caller."""

import collections
import functools

from pomelograde.core import retries, routing, sessions
from pomelograde.net import (
    _batches,
    _frames,
    _proxy_settings,
    _sending,
    events,
    exchanges,
)

_CLASS = routing.StatementClass


class Session:
    """Takes a caller's batches one after the other.

    Parameters
    ----------
    context : InstanceContext
        Parts of the daemon that all tasks share.
    gateway : Gateway
        Groups, configuration and admission.
    caller : CallerProtocol
        Socket of the caller.
    service, account, key_name, role : str
        What the caller authenticated for.
    weight : float
        Share of the client account.
    """

    def __init__(
        self, context, gateway, caller, service, account, key_name, role, weight
    ):
        self.context = context
        self.gateway = gateway
        self.caller = caller
        self.service = service
        self.account = account
        self.key_name = key_name
        self.role = role
        self.weight = weight
        self.group = gateway.groups[service]
        self.book = _batches.StatementBook(
            context.classifier, context.settings.limits.prepared_statements
        )
        self.proxy_settings = _proxy_settings.ProxySettings()
        self.batches = collections.deque()
        self.waiting_bytes = 0
        self.extended = []
        self.exchange = None
        self.connection = None
        self.status = b"I"
        self.position = None
        self.needs_floor = True
        self.closing = None
        self.closed = False
        self.write = functools.partial(_sending.send, caller.transport)

    def set_option(self, name, value):
        """Set a proxy setting; returns a Result of None or str."""
        outcome = self.proxy_settings.set(name, value)
        if outcome.is_err() or name != _proxy_settings.SESSION:
            return outcome.map(lambda _: None)
        bookmark = outcome.ok_value
        if bookmark.group == self.service:
            self.needs_floor = False
            if self.position is None or bookmark.position > self.position:
                self.position = bookmark.position
        return outcome.map(lambda _: None)

    def set_floor(self, floor):
        """Take a position at or above all writes from before the session."""
        self.needs_floor = False
        if self.position is None or floor > self.position:
            self.position = floor

    def required_position(self):
        """Return the lowest position that reads may be served from."""
        return self.position

    def on_written(self, position):
        """Take the position of an acknowledged write of this session."""
        if self.position is None or position > self.position:
            self.position = position

    def token(self):
        """Return the session token."""
        position = self.position or sessions.Position(0, 0)
        return sessions.encode(sessions.Bookmark(self.service, position))

    def receive(self, frames):
        """Take frames from the caller."""
        for kind, frame in frames:
            if kind == _batches.QUERY and frame.endswith(b"\0"):
                self._enqueue(self.book.read_simple(frame), len(frame))
            elif kind == _batches.SYNC:
                self._end_extended(kind, frame)
            elif kind in _batches.EXTENDED_KINDS:
                self._add_extended(kind, frame)
            elif kind == _batches.TERMINATE:
                self.caller.transport.loseConnection()
                return
            else:
                self.fail(retries.Failure(retries.ErrorKind.MALFORMED_FRAME))
                return

    def close_soon(self, failure):
        """Close at the next transaction boundary."""
        self.closing = failure
        if self.exchange is None and self.connection is None:
            self.fail(failure)

    def fail(self, failure):
        """Answer a fatal error and close the connection at once."""
        if self.closed:
            return
        self.context.metrics.count(self.context.metrics.refusals, failure.kind.value)
        self.write(_frames.error_response(failure))
        self.caller.transport.loseConnection()
        self.on_closed()

    def on_closed(self):
        """Let go of everything; the caller is gone."""
        if self.closed:
            return
        self.closed = True
        self.gateway.forget(self)
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.abandon()
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.close()

    def refuse(self, failure):
        """Answer the current batch with an error."""
        if self.closed:
            return
        metrics = self.context.metrics
        metrics.count(metrics.refusals, failure.kind.value)
        self.context.log.write(
            events.Event.STATEMENT_REFUSED,
            account=self.account,
            service=self.service,
            reason=failure.kind.value,
        )
        answer = retries.ANSWERS[failure.kind]
        self.write(_frames.error_response(failure))
        if answer.fatal:
            self.caller.transport.loseConnection()
            self.on_closed()
            return
        status = b"I" if self.connection is None else self.status
        self.write(_frames.ready_for_query(status))
        self.on_exchange_done(status)

    def on_exchange_done(self, status):
        """Take the end of the current batch."""
        self.status = status
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            self.gateway.exchanges.discard(exchange)
        if self.closing is not None and status == b"I":
            self.fail(self.closing)
            return
        self._next()

    def _add_extended(self, kind, frame):
        if kind == _batches.FLUSH and not self.extended:
            return
        self.extended.append((kind, frame))
        self.waiting_bytes += len(frame)
        self._check_backlog()

    def _end_extended(self, kind, frame):
        frames, self.extended = self.extended, []
        frames.append((kind, frame))
        batch = self.book.read_extended(frames)
        if isinstance(batch, retries.ErrorKind):
            self.fail(retries.Failure(batch))
            return
        self._enqueue(batch, len(frame))

    def _enqueue(self, batch, size):
        self.batches.append(batch)
        self.waiting_bytes += size
        if self.exchange is None:
            self._next()
        else:
            self._check_backlog()

    def _check_backlog(self):
        if self.waiting_bytes > self.context.settings.limits.pipelined_bytes:
            kind = retries.ErrorKind.FRAME_TOO_LARGE
            self.fail(retries.Failure(kind, "too many statements waiting"))

    def _next(self):
        while self.batches and not self.closed and self.exchange is None:
            batch = self.batches.popleft()
            if not self.batches and not self.extended:
                self.waiting_bytes = 0
            statement = batch.statement
            self.context.metrics.count(
                self.context.metrics.statements, statement.statement_class.value
            )
            if self._answer_locally(batch, statement):
                continue
            self._admit(batch, self._deadline())

    def _admit(self, batch, deadline):
        if not self.gateway.is_current(self.context.now()):
            kind = retries.ErrorKind.CONFIGURATION_STALE
            self.refuse(retries.Failure(kind))
            return
        admission = self.gateway.admission
        admitted = self.connection is not None or admission.try_admit(
            self.account, self.context.now()
        )
        if admitted:
            self._start_exchange(batch, deadline)
            return
        self.exchange = _Admission()
        waiting = admission.wait(self.account, deadline)
        waiting.addCallback(self._on_admission, self.exchange, batch, deadline)

    def _on_admission(self, failure, admission, batch, deadline):
        if self.closed or self.exchange is not admission:
            return
        self.exchange = None
        if failure is not None:
            self.refuse(failure)
            return
        self._start_exchange(batch, deadline)

    def _start_exchange(self, batch, deadline):
        exchange = self.exchange = exchanges.Exchange(self, batch, deadline)
        self.gateway.exchanges.add(exchange)
        exchange.start()

    def _deadline(self):
        limit_s = self.proxy_settings.deadline_s
        if limit_s <= 0.0:
            limit_s = self.group.spec.statement_timeout_s
        return self.context.now() + limit_s

    def _answer_locally(self, batch, statement):
        if statement.statement_class is _CLASS.UNSUPPORTED:
            kind = retries.ErrorKind.UNSUPPORTED
            self._refuse_locally(retries.Failure(kind, statement.name))
            return True
        if statement.statement_class is _CLASS.PROXY_SHOW:
            self._show(batch, statement)
            return True
        if statement.statement_class is _CLASS.PROXY_SET:
            self._set(batch, statement)
            return True
        return False

    def _refuse_locally(self, failure):
        metrics = self.context.metrics
        metrics.count(metrics.refusals, failure.kind.value)
        self.write(_frames.error_response(failure))
        self.write(_frames.ready_for_query(self.status))

    def _show(self, batch, statement):
        value = self.proxy_settings.show(statement.name, self.token())
        if value is None:
            kind = retries.ErrorKind.INVALID_SETTING
            self._refuse_locally(retries.Failure(kind, statement.name))
            return
        row = [value.encode("utf-8")]
        exchanges.answer_locally(self, batch, [statement.name], row, "SHOW")

    def _set(self, batch, statement):
        outcome = self.set_option(statement.name, statement.value or "")
        if outcome.is_err():
            kind = retries.ErrorKind.INVALID_SETTING
            self._refuse_locally(retries.Failure(kind, outcome.err_value))
            return
        exchanges.answer_locally(self, batch, [], [], "SET")


class _Admission:
    """Stands for a batch that waits for its client account's rate."""

    def abandon(self):
        """Do nothing; the session ignores the answer."""
