"""One statement's way from a caller to an upstream and back."""

import enum

from pomelograde.core import retries, routing
from pomelograde.net import _batches, _frames, events, groups, upstream

FLUSH_BYTES = 32_768
READ_ONLY_SQLSTATE = "25006"
REPLICA_RETRY_S = 0.01

_CLASS = routing.StatementClass
_COMMAND_COMPLETE = ord("C")
_ERROR = ord("E")
_PARSE_COMPLETE = ord("1")
_CLOSE_COMPLETE = ord("3")
_EMPTY_RESPONSE = ord("I")
_PARAMETER_STATUS = ord("S")

_READY = {status: _frames.ready_for_query(status) for status in (b"I", b"T", b"E")}
_UNACKNOWLEDGED = frozenset(
    (_CLASS.READ, _CLASS.SET, _CLASS.BEGIN, _CLASS.BEGIN_READ_ONLY, _CLASS.EMPTY)
)


class Gate(enum.Enum):
    """What happens to the frames of an answer."""

    WAITING = "waiting"
    OPEN = "open"
    DISCARDING = "discarding"


class Exchange:
    """Carries one batch, over as many attempts as are allowed.

    Parameters
    ----------
    session : Session
        Session of the caller.
    batch : Batch
        What the caller sent.
    deadline : float
        Monotonic seconds.
    """

    __slots__ = (
        "answered",
        "batch",
        "connection",
        "deadline",
        "done",
        "group",
        "held",
        "on_primary",
        "part",
        "position",
        "replica_deadline",
        "required",
        "role",
        "session",
        "started_at",
        "status",
        "tried",
        "was_in_transaction",
    )

    def __init__(self, session, batch, deadline):
        self.session = session
        self.batch = batch
        self.deadline = deadline
        self.group = session.group
        self.started_at = session.context.now()
        self.replica_deadline = self.started_at + self.group.spec.replica_wait_s
        self.connection = None
        self.part = None
        self.position = None
        self.required = None
        self.role = "primary"
        self.status = b"I"
        self.held = []
        self.tried = set()
        self.answered = False
        self.done = False
        self.on_primary = batch.statement.statement_class is not _CLASS.READ
        self.was_in_transaction = False

    def start(self):
        """Make the first attempt."""
        connection = self.session.connection
        if connection is not None:
            self.was_in_transaction = True
            self._send(connection)
        elif self.on_primary:
            self._request_primary()
        else:
            self._request_replica()

    def on_connection(self, connection):
        """Take the connection that the pool gives."""
        if self.done:
            self.group.pools[connection.member].release(connection)
            return
        self._send(connection)

    def on_refused(self, failure):
        """Take the pool's refusal."""
        if self.done:
            return
        if failure.kind is retries.ErrorKind.UPSTREAM_UNREACHABLE:
            self._retry_later(failure)
            return
        self._fail(failure)

    def expire(self):
        """End the statement because its deadline has passed."""
        if self.connection is None:
            kinds = retries.ErrorKind
            behind = not self.on_primary and self.required is not None
            kind = kinds.SESSION_BEHIND if behind else kinds.DEADLINE_BEFORE_RUN
            if self.on_primary and self.group.view.primary is None:
                kind = kinds.NO_PRIMARY
            self._fail(retries.Failure(kind))
            return
        connection, self.connection = self.connection, None
        self.session.connection = None
        failure = retries.Failure(retries.ErrorKind.DEADLINE_AFTER_SEND)
        self._fail(failure)
        connection.close()

    def abandon(self):
        """Drop the statement because its caller is gone."""
        self.done = True
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.close()

    def _request_primary(self):
        self.on_primary = True
        self.role = "primary"
        if self.group.view.primary is None:
            waiting = self.group.wait_for_primary(self.deadline)
            waiting.addCallback(lambda _: self._on_primary_known())
            return
        self._request(self.group.view.primary)

    def _on_primary_known(self):
        if self.done:
            return
        if self.group.view.primary is None:
            self._fail(retries.Failure(retries.ErrorKind.NO_PRIMARY))
            return
        self._request(self.group.view.primary)

    def _request_replica(self):
        if self.session.needs_floor:
            floor = self.group.read_floor()
            floor.addCallback(self._on_floor)
            return
        self.required = self.session.required_position()
        now = self.session.context.now()
        candidates = routing.choose_replicas(
            list(self.group.view.members.values()),
            self.group.view.primary,
            self.required,
            self.session.context.settings.data_centre,
            now,
        )
        fresh = [view for view in candidates if view.name not in self.tried]
        if fresh:
            self.role = "replica"
            self._request(fresh[0].name)
            return
        if now < self.replica_deadline:
            self.tried.clear()
            self._later(REPLICA_RETRY_S, self._request_replica)
            return
        self._request_primary()

    def _on_floor(self, floor):
        if self.done:
            return
        if floor is None:
            self._later(REPLICA_RETRY_S, self._request_replica)
            return
        self.session.set_floor(floor)
        self._request_replica()

    def _request(self, member):
        self.tried.add(member)
        pool = self.group.pools.get(member)
        if pool is None:
            self._retry_later(retries.Failure(upstream.OPEN_FAILURE))
            return
        session = self.session
        connection = pool.take_at_once(session.role)
        if connection is not None:
            self._send(connection)
            return
        pool.request(
            groups.make_waiter(
                session.account, session.role, session.weight, self.deadline, self
            )
        )

    def _send(self, connection):
        self.connection = connection
        batch = self.batch
        view = self.group.view.members.get(connection.member)
        if view is not None:
            view.outstanding += 1
        if batch.simple:
            translation = None
            data = batch.frames[0][1]
        else:
            translation = self.session.book.translate(batch, connection.prepared)
            data = translation.data
        reading = batch.statement.statement_class is _CLASS.READ
        checked = reading and not self.was_in_transaction
        if checked and self.required is None and not self.session.needs_floor:
            self.required = self.session.required_position()
        if checked and self.required is not None:
            check = _CheckPart(self)
            self.part = _AnswerPart(self, translation, Gate.WAITING, hold=False)
            connection.send_two(check, self.part, upstream.POSITION_QUERY + data)
            return
        acknowledged = batch.statement.statement_class not in _UNACKNOWLEDGED
        self.part = _AnswerPart(self, translation, Gate.OPEN, hold=acknowledged)
        ends_here = not self.was_in_transaction or (
            batch.statement.statement_class is _CLASS.COMMIT
        )
        if acknowledged and ends_here:
            position = _PositionPart(self)
            connection.send_two(self.part, position, data + upstream.POSITION_QUERY)
            return
        connection.send(self.part, data)

    def on_checked(self, position):
        """Take the position of the member that the read was sent to."""
        view = self.group.view.members.get(self.connection.member)
        if view is not None and position is not None:
            view.position = position
            view.position_at = self.session.context.now()
        if routing.covers(position, self.required):
            self.part.gate = Gate.OPEN
        else:
            self.part.gate = Gate.DISCARDING

    def on_answer_end(self, part):
        """Take the end of the upstream's answer."""
        self._note_answered()
        if part.gate is Gate.DISCARDING:
            self._try_elsewhere(part)
            return
        if part.hold and self.status == b"I" and not part.failed:
            if not self.connection.parts:
                self.connection.send(_PositionPart(self), upstream.POSITION_QUERY)
            return
        if self.connection.parts:
            return
        self._finish()

    def on_position(self, position):
        """Take the primary's position after the write."""
        if self.part.failed or self.status != b"I":
            self._finish()
            return
        if position is None:
            self._fail_attempt(retries.Phase.ACKNOWLEDGING)
            return
        self.position = position
        connection, self.connection = self.connection, None
        self.session.connection = None
        waiting = self.group.acknowledge(position, connection, self.deadline)
        waiting.addCallback(self._on_acknowledged)

    def on_lost(self):
        """Take the loss of the upstream connection."""
        if self.done or self.connection is None:
            return
        self._note_answered()
        self.connection = None
        self.session.connection = None
        if self.position is not None:
            self._fail_attempt(retries.Phase.ACKNOWLEDGING)
        elif self.answered:
            self._fail_attempt(retries.Phase.PARTLY_ANSWERED)
        else:
            self._fail_attempt(retries.Phase.SENT)

    def _on_acknowledged(self, failure):
        if self.done:
            return
        if failure is not None:
            self._fail(failure)
            return
        self.session.on_written(self.position)
        token = self.session.token()
        self.session.write(_frames.parameter_status("pomelograde.session", token))
        self._finish()

    def _finish(self):
        session = self.session
        self.held.append(_READY[self.status])
        session.write(b"".join(self.held))
        self.held = []
        connection, self.connection = self.connection, None
        self.done = True
        if connection is not None:
            if self.status == b"I":
                session.connection = None
                self.group.pools[connection.member].release(connection)
            else:
                session.connection = connection
        session.context.metrics.record(
            "statement", session.context.now() - self.started_at
        )
        if self.batch.statement.statement_class is _CLASS.READ:
            session.context.metrics.count(session.context.metrics.reads, self.role)
        session.on_exchange_done(self.status)

    def _try_elsewhere(self, part):
        connection, self.connection = self.connection, None
        self.group.pools[connection.member].release(connection)
        reason = "refused_by_replica" if part.refused else "replica_behind"
        self._count_retry(reason)
        if part.refused:
            self._request_primary()
        elif self.on_primary:
            self._later(REPLICA_RETRY_S, self._request_primary)
        else:
            self._request_replica()

    def _fail_attempt(self, phase):
        now = self.session.context.now()
        decision = retries.decide(
            phase,
            self.batch.statement.statement_class,
            self.was_in_transaction,
            now,
            self.deadline,
        )
        if isinstance(decision, retries.Failure):
            self._fail(decision)
            return
        self._count_retry(phase.value)
        self.held = []
        if self.on_primary:
            self._later(REPLICA_RETRY_S, self._request_primary)
        else:
            self._request_replica()

    def _retry_later(self, failure):
        if self.session.context.now() + REPLICA_RETRY_S >= self.deadline:
            self._fail(failure)
            return
        self._count_retry("unreachable")
        if self.on_primary:
            self._later(REPLICA_RETRY_S, self._request_primary)
        else:
            self._later(REPLICA_RETRY_S, self._request_replica)

    def _fail(self, failure):
        self.done = True
        connection, self.connection = self.connection, None
        if connection is not None:
            self.session.connection = None
            connection.close()
        self.session.refuse(failure)

    def _later(self, delay_s, work):
        def run():
            if not self.done:
                work()

        self.session.context.reactor.callLater(delay_s, run)

    def _count_retry(self, reason):
        context = self.session.context
        context.metrics.count(context.metrics.retries, reason)
        context.log.write(events.Event.STATEMENT_RETRIED, reason=reason)

    def _note_answered(self):
        view = self.group.view.members.get(self.connection.member)
        if view is not None and view.outstanding > 0:
            view.outstanding -= 1


class _CheckPart:
    """Reads the position of a member ahead of a read."""

    __slots__ = ("exchange", "position")

    def __init__(self, exchange):
        self.exchange = exchange
        self.position = None

    def on_frame(self, kind, frame):
        if kind == upstream.DATA_ROW:
            self.position = upstream.read_position(_frames.read_row(frame))

    def on_ready(self, status):
        if not self.exchange.done:
            self.exchange.on_checked(self.position)

    def on_lost(self):
        pass


class _PositionPart(_CheckPart):
    """Reads the position of the primary after a write."""

    __slots__ = ()

    def on_ready(self, status):
        if not self.exchange.done:
            self.exchange.on_position(self.position)


class _AnswerPart:
    """Passes an upstream's answer on to the caller."""

    __slots__ = (
        "exchange",
        "failed",
        "gate",
        "hold",
        "holding",
        "out",
        "out_bytes",
        "refused",
        "translation",
    )

    def __init__(self, exchange, translation, gate, hold):
        self.exchange = exchange
        self.translation = translation
        self.gate = gate
        self.hold = hold
        self.holding = False
        self.failed = False
        self.refused = False
        self.out = []
        self.out_bytes = 0

    def on_frame(self, kind, frame):
        if self.exchange.done or self.gate is Gate.DISCARDING:
            return
        if kind == _ERROR:
            self._on_error(frame)
            if self.gate is Gate.DISCARDING:
                return
        elif self.translation is not None and self._is_internal(kind):
            return
        if self.hold and (kind in (_COMMAND_COMPLETE, _EMPTY_RESPONSE)):
            self.holding = True
        if self.holding:
            self.exchange.held.append(frame)
            return
        self.out.append(frame)
        self.out_bytes += len(frame)
        if self.out_bytes > FLUSH_BYTES:
            self._flush()

    def on_ready(self, status):
        exchange = self.exchange
        if exchange.done:
            return
        exchange.status = status
        if self.gate is not Gate.DISCARDING and self.out:
            if self.hold:
                self._flush()
            else:
                exchange.answered = True
                exchange.held = self.out
        exchange.on_answer_end(self)

    def on_lost(self):
        self.exchange.on_lost()

    def _flush(self):
        self.exchange.answered = True
        self.exchange.session.write(b"".join(self.out))
        self.out = []
        self.out_bytes = 0

    def _is_internal(self, kind):
        translation = self.translation
        if kind == _PARSE_COMPLETE and translation.keep_parsed:
            keep = translation.keep_parsed.popleft()
            if keep and translation.parsed_names:
                translation.parsed_names.popleft()
            return not keep
        if kind == _CLOSE_COMPLETE and translation.keep_closed:
            return not translation.keep_closed.popleft()
        return False

    def _on_error(self, frame):
        exchange = self.exchange
        self.failed = True
        if self.translation is not None:
            exchange.session.book.forget(self.translation.parsed_names)
            for name in self.translation.upstream_names:
                exchange.connection.prepared.discard(name)
        if exchange.role != "replica" or exchange.was_in_transaction:
            return
        if _frames.read_error(frame).get("C") == READ_ONLY_SQLSTATE:
            self.refused = True
            self.gate = Gate.DISCARDING


def answer_locally(session, batch, columns, row, tag):
    """Answer a batch without an upstream.

    Parameters
    ----------
    session : Session
        Session of the caller.
    batch : Batch
        What the caller sent.
    columns : list of str
        Names of the result's text columns; empty for no result.
    row : list of bytes
        The one row of the result.
    tag : str
        Command tag.
    """
    description = _frames.row_description([(name, 25, -1) for name in columns])
    result_frames = _frames.data_row(row) if columns else b""
    if batch.simple:
        out = description if columns else b""
        out += result_frames + _frames.command_complete(tag)
        session.write(out + _frames.ready_for_query(session.status))
        return
    answers = {
        _batches.PARSE: _frames.frame(b"1"),
        _batches.BIND: _frames.frame(b"2"),
        _batches.CLOSE: _frames.frame(b"3"),
        _batches.EXECUTE: result_frames + _frames.command_complete(tag),
        _batches.SYNC: _frames.ready_for_query(session.status),
    }
    out = b""
    for kind, frame in batch.frames:
        if kind == _batches.DESCRIBE:
            if frame[5:6] == b"S":
                out += _frames.frame(b"t", b"\0\0")
            out += description if columns else _frames.frame(b"n")
        else:
            out += answers.get(kind, b"")
    session.write(out)
