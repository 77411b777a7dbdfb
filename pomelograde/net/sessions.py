"""The task of one authenticated caller."""

import collections
import functools

from pomelograde.core import retries, routing, sessions
from pomelograde.net import (
    _answers,
    _batches,
    _frames,
    _keyed,
    _proxy_settings,
    _sending,
    events,
    exchanges,
)

CLOSE_DELAY_S = 0.1
_CLASS = routing.StatementClass
_ENDS = frozenset((_CLASS.COMMIT, _CLASS.ROLLBACK))
_READ_ONLY = frozenset(
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
    read_only : bool
        Whether anything but reads is refused.
    route : OpenRoute or None
        Open route that the caller uses in place of a key.

    Attributes
    ----------
    settings : dict of str to str
        Statements that make the session's settings, by name; replaced and
        never altered, so that connections share it.
    aborted : bool
        Whether a transaction was lost and the caller has not ended it yet.
    skipping : bool
        Whether what comes before the next Sync is dropped.
    implicit : bool
        Whether the transaction was opened by the proxy, for statements that a
        Flush separates and that end together at Sync.
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
        self.book = _batches.StatementBook(
            context.classifier, context.settings.limits.prepared_statements
        )
        self.proxy_settings = _proxy_settings.ProxySettings()
        self.batches = collections.deque()
        self.waiting_bytes = 0
        self.extended = []
        self.extended_bytes = 0
        self.flush_at = 0
        self.exchange = None
        self.connection = None
        self.transaction_role = "primary"
        self.settings = _NO_SETTINGS
        self.pending_settings = ()
        self.aborted = False
        self.skipping = False
        self.implicit = False
        self.paused = False
        self.reading_stopped = False
        self.status = b"I"
        self.position = None
        self.rule = None
        self.rule_source = None
        self.needs_floor = True
        self.closing = None
        self.closed = False
        self.write = functools.partial(_sending.send, caller.transport)
        caller.transport.registerProducer(_Flow(self), True)

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

    def max_staleness_s(self):
        """Return the age of data that reads accept; 0 where none is stated."""
        if self.proxy_settings.max_staleness_s > 0.0:
            return self.proxy_settings.max_staleness_s
        current = self.gateway.configuration.current
        if current is not self.rule_source:
            self.rule_source = current
            self.rule = self._find_rule(current)
        return 0.0 if self.rule is None else self.rule.max_staleness_s

    def _find_rule(self, configuration):
        if self.route is not None:
            return configuration.get("rules", self.route.name)
        return routing.find_rule(configuration, self.service, self.account)

    def needs_probe(self, now):
        """Return whether a read must ask the members for a floor first."""
        if self.needs_floor:
            return True
        age_s = self.max_staleness_s()
        if age_s <= 0.0:
            return False
        floors = self.group.floors
        if floors.find(now, age_s) is None:
            return True
        if floors.is_due(now, age_s):
            self.group.read_floor()
        return False

    def required_position(self, now):
        """Return the lowest position that reads may be served from."""
        age_s = self.max_staleness_s()
        if age_s <= 0.0:
            return self.position
        floor = self.group.floors.find(now, age_s)
        if floor is None or (self.position is not None and self.position > floor):
            return self.position
        return floor

    def on_written(self, position):
        """Take the position of an acknowledged write of this session."""
        if self.position is None or position > self.position:
            self.position = position

    def token(self):
        """Return the session token."""
        position = self.position or sessions.Position(0, 0)
        return sessions.encode_token(sessions.Bookmark(self.service, position))

    def on_answered(self, statement, connection, failed, status):
        """Keep the settings that a statement made.

        Parameters
        ----------
        statement : Statement
            What ran.
        connection : UpstreamConnection
            Where it ran.
        failed : bool
            Whether there was an error.
        status : bytes
            Transaction status after it.
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
            connection.settings = None
        elif not failed and not rolled_back and self.status != b"E":
            self.settings = sessions.apply_settings(self.settings, changes)
            connection.settings = self.settings

    def set_upstream(self, name, value):
        """Make a setting of the upstream that the start-up packet names."""
        quoted = value.replace("'", "''")
        change = sessions.SettingChange(name, f"SET {name} TO '{quoted}'")
        self.settings = sessions.apply_settings(self.settings, (change,))

    def receive(self, frames):
        """Take frames from the caller."""
        for kind, frame in frames:
            if self.closed:
                return
            if kind == _batches.QUERY and frame.endswith(b"\0"):
                self._enqueue(self.book.read_simple(frame), len(frame))
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
        if self.flush_at:
            self._flush()

    def pause(self):
        """Stop taking answers from the upstream; the caller reads too slowly."""
        self.paused = True
        if self.exchange is not None:
            self.exchange.pause()

    def resume(self):
        """Take answers again."""
        self.paused = False
        if self.exchange is not None:
            self.exchange.resume()
        else:
            self._next()

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
        self._note_refusal(failure)
        self.write(_frames.error_response(failure))
        self.on_closed()
        self.caller.finish()

    def on_closed(self):
        """Let go of everything; the caller is gone."""
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
        """Answer a batch with an error, and go on with the next one.

        Parameters
        ----------
        failure : Failure
            What went wrong.
        batch : Batch
            What it is the answer to.
        was_in_transaction : bool
            Whether a transaction was open, and is lost now.

        Notes
        -----
        After the loss of a transaction, or of the statement that should have
        begun one, the session is in an aborted transaction, as on a server.
        What the caller has sent ahead thus does not run outside of it.
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
        """Take the end of the current batch."""
        self.status = status
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            self.gateway.exchanges.discard(exchange)
        if self.closing is not None and status == b"I":
            self._close_after_answer()
            return
        if self.batches:
            self._next()
        elif self.reading_stopped:
            self._check_backlog()

    def _close_after_answer(self):
        """Close as the answer to the next batch, or soon without one.

        Notes
        -----
        A driver that reads the error together with the answer before it takes
        it for a notice, and its next statement fails without a reason.
        """
        if self.batches:
            self.fail(self.closing)
            return
        self.context.reactor.callLater(CLOSE_DELAY_S, self.fail, self.closing)

    def _note_refusal(self, failure):
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
        self._note_refusal(failure)
        self.context.log.write(
            events.Event.STATEMENT_REFUSED,
            account=self.account,
            service=self.service,
            reason=failure.kind.value,
        )
        self.write(_frames.error_response(failure))
        if retries.ANSWERS[failure.kind].fatal:
            self.on_closed()
            self.caller.transport.loseConnection()
        elif batch.synced:
            self.write(_frames.ready_for_query(status))
        else:
            self.skipping = True

    def _add_extended(self, kind, frame):
        if kind == _batches.FLUSH:
            self.flush_at = len(self.extended)
            return
        self.extended.append((kind, frame))
        self.extended_bytes += len(frame)
        if self.extended_bytes > self.context.settings.limits.pipelined_bytes:
            kind = retries.ErrorKind.FRAME_TOO_LARGE
            self.fail(retries.Failure(kind, "too many frames before Sync"))

    def _flush(self):
        """Make a batch of what came before a Flush that no Sync has followed."""
        rest = self.extended[self.flush_at :]
        del self.extended[self.flush_at :]
        self._end_extended(_batches.FLUSH, b"")
        self.extended = rest
        self.extended_bytes = sum(len(frame) for _, frame in rest)

    def _end_extended(self, kind, frame):
        self.flush_at = 0
        frames, self.extended = self.extended, []
        size, self.extended_bytes = self.extended_bytes, 0
        frames.append((kind, frame))
        batch = self.book.read_extended(frames)
        if isinstance(batch, retries.ErrorKind):
            self.fail(retries.Failure(batch))
            return
        self._enqueue(batch, size)

    def _enqueue(self, batch, size):
        self.batches.append((batch, size))
        self.waiting_bytes += size
        if self.closing is not None and self.exchange is None and not self.connection:
            self.fail(self.closing)
        elif self.exchange is None:
            self._next()
        else:
            self._check_backlog()

    def _check_backlog(self):
        """Read from the caller only while what waits is within the limit."""
        full = self.waiting_bytes > self.context.settings.limits.pipelined_bytes
        if full and not self.reading_stopped:
            self.reading_stopped = True
            self.caller.transport.pauseProducing()
        elif not full and self.reading_stopped and not self.closed:
            self.reading_stopped = False
            self.caller.transport.resumeProducing()

    def _next(self):
        while self.batches and not self.closed and self.exchange is None:
            if self.paused:
                return
            batch, size = self.batches.popleft()
            self.waiting_bytes -= size
            if self.reading_stopped:
                self._check_backlog()
            statement = batch.statement
            self.context.metrics.count(
                self.context.metrics.statements, statement.statement_class.value
            )
            if not self._answer_locally(batch, statement):
                self._admit(batch, self._deadline())

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
        self.exchange = _Admission(self.context.now())
        waiting = admission.wait(self.account, deadline)
        waiting.addCallback(self._on_admission, self.exchange, batch, deadline)

    def _on_admission(self, failure, admission, batch, deadline):
        if self.closed or self.exchange is not admission:
            return
        self.exchange = None
        if failure is not None:
            self.refuse(failure, batch)
            return
        wait_ms = round((self.context.now() - admission.since) * 1000.0, 1)
        self.context.decisions.record(
            self.account, "delayed", "rate", self.service, wait_ms=wait_ms
        )
        self._start_exchange(batch, deadline)

    def _start_exchange(self, batch, deadline):
        made = exchanges.Exchange
        if self.proxy_settings.idempotency_key and _may_write(batch):
            made = _keyed.KeyedExchange
        exchange = self.exchange = made(self, batch, deadline)
        self.gateway.exchanges.add(exchange)
        exchange.start()

    def _deadline(self):
        limit_s = self.proxy_settings.deadline_s
        if limit_s <= 0.0:
            limit_s = self.group.spec.statement_timeout_s
        return self.context.now() + limit_s

    def _answer_locally(self, batch, statement):
        """Answer what needs no upstream; returns whether it did."""
        found = statement.statement_class
        if self.skipping:
            self._skip(batch)
            return True
        if batch.is_empty and not self.implicit:
            self.write(_frames.ready_for_query(self.status))
            return True
        if self.aborted:
            self._answer_aborted(batch, found)
            return True
        failure = self._check_allowed(batch, statement)
        if failure is not None:
            self._write_refusal(failure, batch, self.status)
            return True
        answer = _LOCAL.get(found)
        if answer is None:
            return False
        answer(self, batch, statement)
        return True

    def _skip(self, batch):
        if batch.synced:
            self.skipping = False
            self.write(_frames.ready_for_query(self.status))

    def _answer_aborted(self, batch, found):
        if found not in _ENDS:
            kind = retries.ErrorKind.TRANSACTION_ABORTED
            self._write_refusal(retries.Failure(kind), batch, b"E")
            return
        self.aborted = False
        self.status = b"I"
        _answers.answer_locally(self, batch, [], [], "ROLLBACK")

    def _check_allowed(self, batch, statement):
        """Return the Failure for a statement that is not let through, or None."""
        kinds = retries.ErrorKind
        found = statement.statement_class
        if found is _CLASS.UNSUPPORTED:
            return retries.Failure(kinds.UNSUPPORTED, statement.name)
        if self.read_only and not (found in _READ_ONLY and statement.known_read_only):
            return retries.Failure(kinds.ROUTE_FORBIDDEN)
        if self.proxy_settings.idempotency_key and _may_write(batch):
            return self._check_keyed(batch, statement)
        if self.implicit and (statement.opens or statement.commits):
            text = "transaction control after Flush and before Sync"
            return retries.Failure(kinds.UNSUPPORTED, text)
        return None

    def _check_keyed(self, batch, statement):
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
            self.book.statements.clear()
        _answers.answer_locally(self, batch, [], [], tag)

    def _deallocate(self, batch, name):
        if name is None:
            self.book.statements.clear()
            _answers.answer_locally(self, batch, [], [], "DEALLOCATE ALL")
            return
        if self.book.statements.pop(name.encode("utf-8"), None) is None:
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
    statement = batch.statement
    found = statement.statement_class
    writes = found is _CLASS.WRITE or (
        found is _CLASS.READ and not statement.known_read_only
    )
    return batch.executes and writes


class _Admission:
    """Stands for a batch that waits for its client account's rate.

    Parameters
    ----------
    since : float
        When the wait began, in monotonic seconds.
    """

    def __init__(self, since):
        self.since = since

    def abandon(self):
        """Do nothing; the session ignores the answer."""

    def pause(self):
        """Do nothing; no answer is under way."""

    def resume(self):
        """Do nothing; no answer is under way."""


class _Flow:
    """Told by the caller's transport when it takes no more data.

    Parameters
    ----------
    session : Session
        Whose answers are held up.
    """

    def __init__(self, session):
        self.session = session

    def pauseProducing(self):  # noqa: N802
        """Hold up answers."""
        self.session.pause()

    def resumeProducing(self):  # noqa: N802
        """Let answers through."""
        self.session.resume()

    def stopProducing(self):  # noqa: N802
        """Do nothing; the loss of the connection says it all."""


_LOCAL = {
    _CLASS.PROXY_SHOW: Session._show,
    _CLASS.PROXY_SET: Session._set,
    _CLASS.DISCARD: Session._discard,
}
