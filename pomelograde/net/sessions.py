"""Session of one authenticated caller."""

import collections
import functools

from pomelograde.core import retries, routing, sessions
from pomelograde.net import (
    _answers,
    _batches,
    _frames,
    _idempotency,
    _proxy_settings,
    _sending,
    events,
    exchanges,
)

CLOSE_DELAY_S = 0.1  # separates the closing error from the last answer
_CLASS = routing.StatementClass
_TRANSACTION_ENDS = frozenset((_CLASS.COMMIT, _CLASS.ROLLBACK))
_READ_ONLY_CLASSES = frozenset(
    (
        _CLASS.READ,
        _CLASS.BEGIN,
        _CLASS.BEGIN_READ_ONLY,
        _CLASS.COMMIT,
        _CLASS.ROLLBACK,
        _CLASS.PROXY_SET,
        _CLASS.PROXY_SHOW,
        _CLASS.DISCARD,
        _CLASS.EMPTY,
    )
)
_NO_SETTINGS = {}


class Session:
    """Runs the batches of one caller in order, one exchange at a time.

    Parameters
    ----------
    context : InstanceContext
        State and services shared by all tasks of the daemon.
    gateway : Gateway
        Access to groups, configuration and admission control.
    caller : CallerProtocol
        Connection to the caller.
    service, account, key_name, role : str
        Database service, client account, key and database role of the caller.
    weight : float
        Weight of the client account in fair queues.
    read_only : bool
        Whether statements other than reads are refused.
    route : OpenRoute or None
        Open route that admitted the caller without a key.

    Attributes
    ----------
    settings : dict of str to str
        SET statements that reproduce the session's settings, by setting name.
        The dictionary is replaced and never modified, so that connections can
        refer to it.
    pending_settings : tuple of SettingChange
        Setting changes of the open transaction, applied when it commits.
    batches : deque of (Batch, int)
        Batches that wait for their turn, with their sizes in bytes.
    queued_bytes : int
        Total size of `batches`.
    extended_frames : list of (int, bytes)
        Frames of the extended protocol that are not part of a batch yet.
    flush_index : int
        Number of these frames that precede the last Flush.
    exchange : Exchange or _RateWait or None
        The batch that is being served.
    connection : UpstreamConnection or None
        Connection that the open transaction is bound to.
    transaction_role : str
        Role of the member that the open transaction is bound to, "primary" or
        "replica".
    aborted : bool
        Whether a transaction was lost and the caller has not ended it yet.
    skipping_to_sync : bool
        Whether frames are discarded until the next Sync, after an error.
    implicit : bool
        Whether the open transaction was begun by the proxy, to run the
        statements of an extended-protocol sequence that is split by Flush
        messages as one transaction up to its Sync.
    paused : bool
        Whether answers are held back because the caller reads too slowly.
    reading_stopped : bool
        Whether reading from the caller is paused because too many batches are
        queued.
    position : Position or None
        Log position that a member must have reached to serve this session.
    rule : object or None
        Routing rule of the session in `rule_configuration`, the configuration
        in which it was last looked up.
    needs_floor : bool
        Whether the position of the writes acknowledged before the session
        began is not known yet.
    closing : Failure or None
        Error with which the session closes at the next transaction boundary.
    """

    def __init__(
        self,
        context,
        gateway,
        caller,
        service,
        account,
        key_name,
        role,
        weight,
        read_only=False,
        route=None,
    ):
        self.context = context
        self.gateway = gateway
        self.caller = caller
        self.service = service
        self.account = account
        self.key_name = key_name
        self.role = role
        self.weight = weight
        self.read_only = read_only
        self.route = route
        self.group = gateway.groups[service]
        self.statement_registry = _batches.StatementRegistry(
            context.classifier, context.settings.limits.prepared_statements
        )
        self.proxy_settings = _proxy_settings.ProxySettings()
        self.batches = collections.deque()
        self.queued_bytes = 0
        self.extended_frames = []
        self.extended_bytes = 0
        self.flush_index = 0
        self.exchange = None
        self.connection = None
        self.transaction_role = "primary"
        self.settings = _NO_SETTINGS
        self.pending_settings = ()
        self.aborted = False
        self.skipping_to_sync = False
        self.implicit = False
        self.paused = False
        self.reading_stopped = False
        self.status = b"I"
        self.position = None
        self.rule = None
        self.rule_configuration = None
        self.needs_floor = True
        self.closing = None
        self.closed = False
        self.write = functools.partial(_sending.send, caller.transport)
        caller.transport.registerProducer(_CallerFlowControl(self), True)

    def set_option(self, name, value):
        """Set a proxy setting; return a Result of None or an error message.

        A bookmark of this service also raises the session's position.
        """
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
        """Set the position at or above all writes acknowledged before the session."""
        self.needs_floor = False
        if self.position is None or floor > self.position:
            self.position = floor

    def max_staleness_s(self):
        """Return the maximum staleness of reads; 0 where none is set."""
        if self.proxy_settings.max_staleness_s > 0.0:
            return self.proxy_settings.max_staleness_s
        configuration = self.gateway.configuration.current
        if configuration is not self.rule_configuration:
            self.rule_configuration = configuration
            self.rule = self._find_rule(configuration)
        return 0.0 if self.rule is None else self.rule.max_staleness_s

    def _find_rule(self, configuration):
        if self.route is not None:
            return configuration.get("rules", self.route.name)
        return routing.find_rule(configuration, self.service, self.account)

    def must_read_floor(self, now):
        """Return whether a read must query the members for a floor first."""
        if self.needs_floor:
            return True
        limit_s = self.max_staleness_s()
        if limit_s <= 0.0:
            return False
        floors = self.group.floors
        if floors.find(now, limit_s) is None:
            return True
        if floors.is_due(now, limit_s):
            self.group.read_floor()
        return False

    def required_position(self, now):
        """Return the lowest position at which a member may serve a read."""
        limit_s = self.max_staleness_s()
        if limit_s <= 0.0:
            return self.position
        floor = self.group.floors.find(now, limit_s)
        if floor is None or (self.position is not None and self.position > floor):
            return self.position
        return floor

    def on_write_acknowledged(self, position):
        """Raise the required position to that of an acknowledged write."""
        if self.position is None or position > self.position:
            self.position = position

    def token(self):
        """Return the session token, which encodes the required position."""
        position = self.position or sessions.Position(0, 0)
        return sessions.encode_token(sessions.Bookmark(self.service, position))

    def on_answered(self, statement, connection, failed, status):
        """Record the setting changes of a completed statement.

        Parameters
        ----------
        statement : Statement
            The statement.
        connection : UpstreamConnection
            Connection on which it ran.
        failed : bool
            Whether it was answered with an error.
        status : bytes
            Transaction status after the statement.
        """
        if not statement.setting_changes and not self.pending_settings:
            return
        if status != b"I":
            if not failed:
                self.pending_settings += statement.setting_changes
            return
        changes = self.pending_settings + statement.setting_changes
        self.pending_settings = ()
        rolled_back = statement.statement_class is _CLASS.ROLLBACK
        if failed and statement.commits:
            # It is not known whether the commit applied the changes.
            connection.settings = None
        elif not failed and not rolled_back and self.status != b"E":
            self.settings = sessions.apply_settings(self.settings, changes)
            connection.settings = self.settings

    def set_upstream_setting(self, name, value):
        """Apply an upstream setting given in the start-up message."""
        quoted = value.replace("'", "''")
        change = sessions.SettingChange(name, f"SET {name} TO '{quoted}'")
        self.settings = sessions.apply_settings(self.settings, (change,))

    def receive(self, frames):
        """Process frames from the caller."""
        for kind, frame in frames:
            if self.closed:
                return
            if kind == _batches.QUERY and frame.endswith(b"\0"):
                self._enqueue(self.statement_registry.read_simple(frame), len(frame))
            elif kind == _batches.SYNC:
                self._end_extended(kind, frame)
            elif kind in _batches.EXTENDED_KINDS:
                self._add_extended(kind, frame)
            elif kind == _batches.TERMINATE:
                self.caller.transport.unregisterProducer()
                self.caller.transport.loseConnection()
                return
            else:
                self.fail(retries.Failure(retries.ErrorKind.MALFORMED_FRAME))
                return
        if self.flush_index:
            self._flush()

    def pause(self):
        """Stop reading from the upstream while the caller reads too slowly."""
        self.paused = True
        if self.exchange is not None:
            self.exchange.pause()

    def resume(self):
        """Resume reading from the upstream."""
        self.paused = False
        if self.exchange is not None:
            self.exchange.resume()
        else:
            self._process_queue()

    def close_when_idle(self, failure):
        """Close with an error at the next transaction boundary."""
        self.closing = failure
        if self.exchange is None and self.connection is None:
            self.fail(failure)

    def fail(self, failure):
        """Send a fatal error and close the connection."""
        if self.closed:
            return
        self.context.metrics.count(self.context.metrics.refusals, failure.kind.value)
        self._record_refusal(failure)
        self.write(_frames.error_response(failure))
        self.on_closed()
        self.caller.close_gracefully()

    def on_closed(self):
        """Release all resources after the caller has disconnected."""
        if self.closed:
            return
        self.closed = True
        self.caller.transport.unregisterProducer()
        self.gateway.remove_session(self)
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.abandon()
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.close()

    def refuse(self, failure, batch, was_in_transaction=False):
        """Answer a batch with an error and proceed with the next one.

        Parameters
        ----------
        failure : Failure
            The error.
        batch : Batch
            The batch that is answered.
        was_in_transaction : bool
            Whether a transaction was open, which is now lost.

        Notes
        -----
        After the loss of a transaction, or of the statement that should have
        begun one, the session is in an aborted transaction, as on a PostgreSQL
        server. Statements that the caller has pipelined therefore do not run
        outside the transaction.
        """
        if self.closed:
            return
        statement = batch.statement
        lost = was_in_transaction and not statement.commits and not self.implicit
        self.aborted = lost or statement.opens
        self.implicit = False
        self.pending_settings = ()
        self._write_refusal(failure, batch, b"E" if self.aborted else b"I")
        if not self.closed:
            self.on_exchange_done(self.status)

    def on_exchange_done(self, status):
        """Complete the current batch and start the next one."""
        self.status = status
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            self.gateway.exchanges.discard(exchange)
        self._record_idle()
        if self.closing is not None and status == b"I":
            self._close_after_answer()
            return
        if self.batches:
            self._process_queue()
        elif self.reading_stopped:
            self._apply_backpressure()

    def _close_after_answer(self):
        """Send the closing error as the answer to the next batch.

        If no batch is queued, the error is sent after `CLOSE_DELAY_S`.

        Notes
        -----
        A driver that reads the error together with the preceding answer treats
        it as a notice, and its next statement then fails without a reason.
        """
        if self.batches:
            self.fail(self.closing)
            return
        self.context.reactor.callLater(CLOSE_DELAY_S, self.fail, self.closing)

    def _record_refusal(self, failure):
        self.context.decisions.record(
            self.account,
            "refused",
            failure.kind.value,
            self.service,
            retry_after_s=round(failure.retry_after_s, 3),
        )

    def _write_refusal(self, failure, batch, status):
        self.status = status
        metrics = self.context.metrics
        metrics.count(metrics.refusals, failure.kind.value)
        self._record_refusal(failure)
        self.context.log.write(
            events.Event.STATEMENT_REFUSED,
            account=self.account,
            service=self.service,
            reason=failure.kind.value,
        )
        self.write(_frames.error_response(failure))
        if retries.ERROR_RESPONSES[failure.kind].fatal:
            self.on_closed()
            self.caller.transport.loseConnection()
        elif batch.synced:
            self.write(_frames.ready_for_query(status))
        else:
            self.skipping_to_sync = True

    def _add_extended(self, kind, frame):
        if kind == _batches.FLUSH:
            self.flush_index = len(self.extended_frames)
            return
        self.extended_frames.append((kind, frame))
        self.extended_bytes += len(frame)
        if self.extended_bytes > self.context.settings.limits.pipelined_bytes:
            kind = retries.ErrorKind.FRAME_TOO_LARGE
            self.fail(retries.Failure(kind, "too many frames before Sync"))

    def _flush(self):
        """Queue the frames before a Flush as a batch of their own."""
        rest = self.extended_frames[self.flush_index :]
        del self.extended_frames[self.flush_index :]
        self._end_extended(_batches.FLUSH, b"")
        self.extended_frames = rest
        self.extended_bytes = sum(len(frame) for _, frame in rest)

    def _end_extended(self, kind, frame):
        self.flush_index = 0
        frames, self.extended_frames = self.extended_frames, []
        size, self.extended_bytes = self.extended_bytes, 0
        frames.append((kind, frame))
        batch = self.statement_registry.read_extended(frames)
        if isinstance(batch, retries.ErrorKind):
            self.fail(retries.Failure(batch))
            return
        self._enqueue(batch, size)

    def _enqueue(self, batch, size):
        self.batches.append((batch, size))
        self.queued_bytes += size
        if self.closing is not None and self.exchange is None and not self.connection:
            self.fail(self.closing)
        elif self.exchange is None:
            self._process_queue()
        else:
            self._apply_backpressure()

    def _apply_backpressure(self):
        """Pause reading from the caller while queued batches exceed the limit."""
        full = self.queued_bytes > self.context.settings.limits.pipelined_bytes
        if full and not self.reading_stopped:
            self.reading_stopped = True
            self.caller.transport.pauseProducing()
        elif not full and self.reading_stopped and not self.closed:
            self.reading_stopped = False
            self.caller.transport.resumeProducing()

    def _process_queue(self):
        while self.batches and not self.closed and self.exchange is None:
            if self.paused:
                return
            batch, size = self.batches.popleft()
            self.queued_bytes -= size
            if self.reading_stopped:
                self._apply_backpressure()
            statement = batch.statement
            self.context.metrics.count(
                self.context.metrics.statements, statement.statement_class.value
            )
            if self._answer_locally(batch, statement):
                self._record_idle()
            else:
                self._admit(batch, self._deadline())

    def _record_idle(self):
        """Start the idle time of an open transaction."""
        if self.connection is not None:
            self.gateway.idle_transactions[self] = self.context.now()

    def _admit(self, batch, deadline):
        if not self.gateway.may_serve(self, self.context.now()):
            kind = retries.ErrorKind.CONFIGURATION_STALE
            self.refuse(retries.Failure(kind), batch)
            return
        admission = self.gateway.admission
        admitted = self.connection is not None or admission.try_admit(
            self.account, self.context.now()
        )
        if admitted:
            self._start_exchange(batch, deadline)
            return
        self.exchange = _RateWait(self.context.now())
        waiting = admission.admit(self.account, deadline)
        waiting.addCallback(self._on_admission, self.exchange, batch, deadline)

    def _on_admission(self, failure, rate_wait, batch, deadline):
        if self.closed or self.exchange is not rate_wait:
            return
        self.exchange = None
        if failure is not None:
            self.refuse(failure, batch)
            return
        wait_ms = round((self.context.now() - rate_wait.since) * 1000.0, 1)
        self.context.decisions.record(
            self.account, "delayed", "rate", self.service, wait_ms=wait_ms
        )
        self._start_exchange(batch, deadline)

    def _start_exchange(self, batch, deadline):
        exchange_class = exchanges.Exchange
        if self.proxy_settings.idempotency_key and _may_write(batch):
            exchange_class = _idempotency.IdempotentExchange
        exchange = self.exchange = exchange_class(self, batch, deadline)
        self.gateway.exchanges.add(exchange)
        self.gateway.idle_transactions.pop(self, None)
        exchange.start()

    def _deadline(self):
        limit_s = self.proxy_settings.deadline_s
        if limit_s <= 0.0:
            limit_s = self.group.spec.statement_timeout_s
        return self.context.now() + limit_s

    def _answer_locally(self, batch, statement):
        """Answer a batch that needs no upstream; return whether it was answered."""
        statement_class = statement.statement_class
        if self.skipping_to_sync:
            self._skip(batch)
            return True
        if batch.is_empty and not self.implicit:
            self.write(_frames.ready_for_query(self.status))
            return True
        if self.aborted:
            self._answer_aborted(batch, statement_class)
            return True
        failure = self._check_allowed(batch, statement)
        if failure is not None:
            self._write_refusal(failure, batch, self.status)
            return True
        answer = _LOCAL_HANDLERS.get(statement_class)
        if answer is None:
            return False
        answer(self, batch, statement)
        return True

    def _skip(self, batch):
        if batch.synced:
            self.skipping_to_sync = False
            self.write(_frames.ready_for_query(self.status))

    def _answer_aborted(self, batch, statement_class):
        if statement_class not in _TRANSACTION_ENDS:
            kind = retries.ErrorKind.TRANSACTION_ABORTED
            self._write_refusal(retries.Failure(kind), batch, b"E")
            return
        self.aborted = False
        self.status = b"I"
        _answers.answer_locally(self, batch, [], [], "ROLLBACK")

    def _check_allowed(self, batch, statement):
        """Return the Failure for a statement that is not permitted, or None."""
        kinds = retries.ErrorKind
        statement_class = statement.statement_class
        if statement_class is _CLASS.UNSUPPORTED:
            return retries.Failure(kinds.UNSUPPORTED, statement.name)
        if self.read_only and not (
            statement_class in _READ_ONLY_CLASSES and statement.known_read_only
        ):
            return retries.Failure(kinds.ROUTE_FORBIDDEN)
        if self.proxy_settings.idempotency_key and _may_write(batch):
            return self._check_idempotency_key(batch, statement)
        if self.implicit and (statement.opens or statement.commits):
            text = "transaction control after Flush and before Sync"
            return retries.Failure(kinds.UNSUPPORTED, text)
        return None

    def _check_idempotency_key(self, batch, statement):
        in_transaction = self.connection is not None
        if (
            not in_transaction
            and batch.synced
            and not (statement.opens or statement.commits)
        ):
            return None
        kind = retries.ErrorKind.IDEMPOTENCY_UNAVAILABLE
        return retries.Failure(kind, "only a write outside a transaction takes one")

    def _discard(self, batch, statement):
        """Answer a DISCARD or DEALLOCATE statement."""
        if statement.name == "DEALLOCATE":
            self._deallocate(batch, statement.value)
            return
        if self.connection is not None:
            kind = retries.ErrorKind.UNSUPPORTED
            failure = retries.Failure(kind, "DISCARD inside a transaction")
            self._write_refusal(failure, batch, self.status)
            return
        tag = statement.name.replace("_", " ")
        if statement.name == "DISCARD_ALL":
            self.settings = _NO_SETTINGS
            self.statement_registry.statements.clear()
        _answers.answer_locally(self, batch, [], [], tag)

    def _deallocate(self, batch, name):
        if name is None:
            self.statement_registry.statements.clear()
            _answers.answer_locally(self, batch, [], [], "DEALLOCATE ALL")
            return
        if self.statement_registry.statements.pop(name.encode("utf-8"), None) is None:
            kind = retries.ErrorKind.UNKNOWN_STATEMENT
            self._write_refusal(retries.Failure(kind, name), batch, self.status)
            return
        _answers.answer_locally(self, batch, [], [], "DEALLOCATE")

    def _show(self, batch, statement):
        value = self.proxy_settings.show(statement.name, self.token())
        if value is None:
            kind = retries.ErrorKind.INVALID_SETTING
            self._write_refusal(
                retries.Failure(kind, statement.name), batch, self.status
            )
            return
        row = [value.encode("utf-8")]
        _answers.answer_locally(self, batch, [statement.name], row, "SHOW")

    def _set(self, batch, statement):
        outcome = self.set_option(statement.name, statement.value or "")
        if outcome.is_err():
            kind = retries.ErrorKind.INVALID_SETTING
            failure = retries.Failure(kind, outcome.err_value)
            self._write_refusal(failure, batch, self.status)
            return
        _answers.answer_locally(self, batch, [], [], "SET")


def _may_write(batch):
    """Return whether a batch executes a write or a read with possible side effects."""
    statement = batch.statement
    statement_class = statement.statement_class
    writes = statement_class is _CLASS.WRITE or (
        statement_class is _CLASS.READ and not statement.known_read_only
    )
    return batch.executes and writes


class _RateWait:
    """Placeholder exchange of a batch that waits for a rate token.

    Parameters
    ----------
    since : float
        Start of the wait, in monotonic seconds.
    """

    def __init__(self, since):
        self.since = since

    def abandon(self):
        """Do nothing; the session ignores the outcome of the wait."""

    def pause(self):
        """Do nothing; no answer is being received."""

    def resume(self):
        """Do nothing; no answer is being received."""


class _CallerFlowControl:
    """Push producer that applies the caller's backpressure to a session.

    Parameters
    ----------
    session : Session
        Session whose answers are paused.
    """

    def __init__(self, session):
        self.session = session

    def pauseProducing(self):  # noqa: N802
        """Pause answers while the send buffer is full."""
        self.session.pause()

    def resumeProducing(self):  # noqa: N802
        """Resume answers once the send buffer has drained."""
        self.session.resume()

    def stopProducing(self):  # noqa: N802
        """Do nothing; `Session.on_closed` handles the loss of the connection."""


_LOCAL_HANDLERS = {
    _CLASS.PROXY_SHOW: Session._show,
    _CLASS.PROXY_SET: Session._set,
    _CLASS.DISCARD: Session._discard,
}
