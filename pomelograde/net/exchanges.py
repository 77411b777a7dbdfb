"""Execution of one batch on an upstream, including retries."""

from pomelograde.core import placement, retries, routing, sessions
from pomelograde.net import _answers, _frames, _resolutions, events, groups, upstream

RETRY_INTERVAL_S = 0.01
PRIMARY_RETRY_INTERVAL_S = 0.02

_CLASS = routing.StatementClass
_READY = {status: _frames.ready_for_query(status) for status in (b"I", b"T", b"E")}
_NEEDS_NO_ACKNOWLEDGEMENT = frozenset(
    (_CLASS.READ, _CLASS.SET, _CLASS.BEGIN, _CLASS.BEGIN_READ_ONLY, _CLASS.EMPTY)
)
_REPLICA_CLASSES = frozenset(
    (_CLASS.READ, _CLASS.SET, _CLASS.BEGIN_READ_ONLY, _CLASS.EMPTY)
)
_BEGIN = _frames.query("BEGIN")
_POSITION_CHECKED_CLASSES = frozenset((_CLASS.READ, _CLASS.BEGIN_READ_ONLY))


class Exchange:
    """Executes one batch, retrying as long as its deadline and state allow.

    Parameters
    ----------
    session : Session
        Session of the caller.
    batch : Batch
        Batch to execute.
    deadline : float
        Deadline of the statement, in monotonic seconds.

    Attributes
    ----------
    on_primary : bool
        Whether the batch must run on the primary.
    opens_implicit, closes_implicit : bool
        Whether the batch begins or ends an implicit transaction, see
        `Session.implicit`.
    idempotent : bool
        Whether the write has an idempotency key and may thus be sent again.
    holds_whole_answer : bool
        Whether no frame is forwarded before the batch is complete.
    reading, writing : bool
        Whether the batch is a read, and whether it may have written in this
        attempt.
    connection : UpstreamConnection or None
        Connection of the current attempt.
    member_view : MemberView or None
        State of the member behind `connection`, in which the exchange is
        counted as outstanding.
    waiter : Waiter or None
        Pending request for a connection.
    resolution : Resolution or None
        Pending inquiry whether the write survived the loss of its primary.
    answer_handler : AnswerHandler or None
        Handler of the caller's answer in this attempt.
    position_before, position : Position or None
        Position that the primary had reported in its term before the write was
        sent, and its position after the write.
    required_position : Position or None
        Position that a member must have reached to serve the read.
    role : str
        Role of the member in use, "primary" or "replica".
    phase : Phase
        Progress of the current attempt.
    status : bytes
        Transaction status after the last answer.
    replica_deadline : float
        Time until which a read waits for a replica before it uses the primary.
    tried_members : set of str
        Members from which a connection was requested.
    refused_by, refused_at : str or None, float
        Member that refused the write as read-only, and when it first did.
    answered : bool
        Whether the caller has received part of the answer.
    earlier_unknown : bool
        Whether an earlier attempt may have run.
    waited_for_replica : bool
        Whether the read has waited for a replica to catch up.
    primary_was_behind : bool
        Whether the last attempt found the primary behind the required
        position; the position is then checked before the statement is sent.
    was_in_transaction : bool
        Whether a transaction was open when the batch started.

    Notes
    -----
    Answers are only processed from the current `connection`. Once that is
    replaced or None, anything that the previous connection still delivers is
    ignored.
    """

    __slots__ = (
        "answered",
        "batch",
        "closes_implicit",
        "connection",
        "member_view",
        "deadline",
        "done",
        "earlier_unknown",
        "group",
        "holds_whole_answer",
        "idempotent",
        "position_before",
        "primary_was_behind",
        "on_primary",
        "opens_implicit",
        "answer_handler",
        "paused",
        "phase",
        "position",
        "reading",
        "refused_at",
        "refused_by",
        "replica_deadline",
        "required_position",
        "resolution",
        "role",
        "session",
        "started_at",
        "statement_class",
        "status",
        "tried_members",
        "waited_for_replica",
        "waiter",
        "was_in_transaction",
        "writing",
    )

    def __init__(self, session, batch, deadline):
        self.session = session
        self.batch = batch
        self.deadline = deadline
        self.group = session.group
        self.started_at = session.context.now()
        self.replica_deadline = self.started_at + self.group.spec.replica_wait_s
        self.statement_class = batch.statement.statement_class
        self.reading = self.statement_class is _CLASS.READ
        self.on_primary = self.statement_class not in _REPLICA_CLASSES
        self.opens_implicit = _opens_implicit(session, batch)
        if self.opens_implicit:
            self.on_primary = True
        self.closes_implicit = session.implicit and batch.synced
        self.idempotent = False
        self.holds_whole_answer = False
        self.writing = False
        self.connection = None
        self.member_view = None
        self.waiter = None
        self.resolution = None
        self.answer_handler = None
        self.position_before = None
        self.position = None
        self.required_position = None
        self.role = "primary"
        self.phase = retries.Phase.NOT_SENT
        self.status = b"I"
        self.tried_members = set()
        self.refused_by = None
        self.refused_at = 0.0
        self.answered = False
        self.earlier_unknown = False
        self.waited_for_replica = False
        self.primary_was_behind = False
        self.paused = False
        self.done = False
        self.was_in_transaction = False

    def start(self):
        """Start the first attempt."""
        connection = self.session.connection
        if connection is None:
            self._request_connection()
            return
        self.was_in_transaction = True
        self.role = self.session.transaction_role
        if connection.is_lost:
            self.session.connection = None
            self._fail(retries.Failure(retries.ErrorKind.TRANSACTION_LOST))
            return
        self._attach(connection)
        if self.batch.is_empty:
            self._send_sync()
            return
        self._send_statement()

    def on_connection(self, connection):
        """Use the connection that the pool has assigned."""
        self.waiter = None
        if self.done:
            self._release_connection(connection)
            return
        self._use_connection(connection)

    def on_refused(self, failure):
        """Handle the pool's refusal to assign a connection."""
        self.waiter = None
        if self.done:
            return
        kinds = retries.ErrorKind
        if failure.kind is kinds.UPSTREAM_UNREACHABLE:
            self._retry_later(failure)
        elif failure.kind is kinds.QUEUE_FULL and not self.on_primary:
            self._request_replica()
        elif failure.kind is kinds.DEADLINE_BEFORE_RUN:
            self.expire()
        else:
            self._fail(failure)

    def expire(self):
        """Fail the statement because its deadline has passed."""
        kinds = retries.ErrorKind
        kind = retries.expiry_kind(self._attempt())
        if kind is kinds.DEADLINE_BEFORE_RUN:
            if self.on_primary and self.group.view.primary is None:
                kind = kinds.NO_PRIMARY
            elif not self.on_primary and self.required_position is not None:
                kind = kinds.SESSION_BEHIND
        self._fail(retries.Failure(kind))

    def abandon(self):
        """Abort the statement because its caller has disconnected."""
        self.done = True
        self._stop_waiting()
        connection = self._detach()
        if connection is not None:
            connection.close()

    def pause(self):
        """Stop reading from the upstream while the caller reads too slowly."""
        if self.connection is not None and not self.paused:
            self.paused = True
            self.connection.transport.pauseProducing()

    def resume(self):
        """Resume reading from the upstream."""
        if self.paused:
            self.paused = False
            self.connection.transport.resumeProducing()

    def on_position_checked(self, position):
        """Compare the position of the member with the required one."""
        self.connection.confirmed_position = position
        view = self.member_view
        has_position = view is not None and position is not None
        if has_position and view.name != self.group.view.primary:
            view.position = position
            view.position_at = self.session.context.now()
        covered = placement.covers(position, self.required_position)
        if self.answer_handler is None:
            if covered:
                self._send_statement()
            else:
                self._retry_on_other_member("replica_behind")
        elif covered:
            self.answer_handler.forwarding = _answers.ForwardingMode.OPEN
        else:
            self.answer_handler.forwarding = _answers.ForwardingMode.DISCARDING

    def on_answer_end(self, handler):
        """Handle the end of the upstream's answer."""
        if handler.forwarding is _answers.ForwardingMode.DISCARDING:
            if handler.refused:
                self.on_primary = True
            self._retry_on_other_member(
                "refused_by_replica" if handler.refused else "replica_behind"
            )
            return
        if handler.refused and self._can_retry_refused_write():
            self._retry_refused()
            return
        self.session.on_answered(
            self.batch.statement, self.connection, handler.failed, self.status
        )
        if self.closes_implicit:
            self._end_implicit()
            return
        # An outstanding position query completes the exchange in on_position.
        if self._needs_acknowledgement():
            if not self.connection.response_handlers:
                self._query_position()
            return
        if not self.connection.response_handlers:
            self._finish()

    def on_position(self, position):
        """Handle the primary's position after the write."""
        self.connection.confirmed_position = position
        if not self._needs_acknowledgement():
            self._finish()
            return
        self.phase = retries.Phase.ACKNOWLEDGING
        if position is None:
            self._retry_or_fail()
            return
        if self.member_view is not None:
            self.member_view.position = position
        self.acknowledge(position)

    def acknowledge(self, position):
        """Wait until a majority of members holds a position of the current primary."""
        self.position = position
        connection = self._detach()
        self.session.connection = None
        waiting = self.group.acknowledge(position, connection, self.deadline)
        waiting.addCallback(self._on_acknowledged)

    def on_lost(self, connection):
        """Handle the loss of an upstream connection."""
        if self.done or self.connection is not connection:
            return
        if self.answered and self.phase is retries.Phase.SENT:
            self.phase = retries.Phase.PARTLY_ANSWERED
        self._retry_or_fail()

    def on_answer_too_large(self):
        """Fail the statement because its buffered answer is too large."""
        self._fail(retries.Failure(retries.ErrorKind.ANSWER_TOO_LARGE))

    def on_survival(self, survival, position, connection):
        """Handle the result of checking a later primary's log for the write.

        Parameters
        ----------
        survival : Survival
            Whether the log contains the write.
        position : Position or None
            Position of the later primary.
        connection : UpstreamConnection or None
            Connection to the later primary.
        """
        self.resolution = None
        if survival is retries.Survival.SURVIVED:
            self._attach(connection)
            self.acknowledge(position)
            return
        if connection is not None:
            self._release_connection(connection)
        kind = retries.ErrorKind.ACKNOWLEDGEMENT_LOST
        if survival is retries.Survival.DISCARDED:
            kind = retries.ErrorKind.WRITE_DISCARDED
        may_restart = not (self.was_in_transaction or self.answered)
        if survival is retries.Survival.DISCARDED and may_restart:
            self._count_retry("discarded")
            self._restart()
            return
        self._fail(retries.Failure(kind))

    def release_connection(self, connection):
        """Return a connection to its pool."""
        self._release_connection(connection)

    def _query_position(self):
        handler = _answers.PositionHandler(self, self.connection)
        self.connection.send(handler, upstream.POSITION_QUERY)

    def _end_implicit(self):
        """End the implicit transaction that was begun before a Flush."""
        sql = "ROLLBACK" if self.status == b"E" else "COMMIT"
        handler = _answers.InternalQueryHandler(
            self, self.connection, self._on_implicit_end
        )
        self.connection.send(handler, _frames.query(sql))

    def _on_implicit_end(self, handler):
        self.session.implicit = False
        committed = handler.error is None and self.status != b"E"
        if handler.error is not None:
            self.answer_handler.buffered_frames = [
                _frames.error_frame(list(handler.error.items()))
            ]
        self.status = handler.status
        if committed:
            self.answer_handler.completed = True
            self._query_position()
            return
        self._finish()

    def _attempt(self):
        repeatable = self.idempotent or not self.writing or not self.batch.executes
        return retries.Attempt(
            self.phase,
            repeatable,
            self.was_in_transaction,
            self.batch.statement.commits or self.closes_implicit,
            self.earlier_unknown,
        )

    def _request_connection(self):
        if self.on_primary:
            self._request_primary()
        else:
            self._request_replica()

    def _request_primary(self):
        self.on_primary = True
        self.role = "primary"
        if self.group.view.primary is None:
            waiting = self.group.wait_for_primary(self.deadline)
            waiting.addCallback(lambda _: self._on_primary_known())
            return
        self._request_member(self.group.view.primary)

    def _on_primary_known(self):
        if self.done:
            return
        if self.group.view.primary is None:
            self.expire()
            return
        self._request_member(self.group.view.primary)

    def _request_replica(self):
        checked = self.statement_class in _POSITION_CHECKED_CLASSES
        session = self.session
        now = session.context.now()
        if checked and session.must_read_floor(now):
            self.group.read_floor().addCallback(self._on_floor)
            return
        if checked:
            self.required_position = session.required_position(now)
        candidates = placement.rank_replicas(
            list(self.group.view.members.values()),
            self.group.view.primary,
            self.required_position,
            session.context.settings.data_centre,
            now,
        )
        for view in candidates:
            if view.name not in self.tried_members:
                self.role = "replica"
                self._request_member(view.name)
                return
        self._wait_for_replica(now)

    def _wait_for_replica(self, now):
        replica_wait_breaker = self.group.replica_wait_breaker
        if now < self.replica_deadline and replica_wait_breaker.should_wait(now):
            self.waited_for_replica = True
            self.tried_members.clear()
            self._call_later(RETRY_INTERVAL_S, self._request_replica)
            return
        if self.waited_for_replica:
            replica_wait_breaker.on_wait_timed_out(now)
        self._request_primary()

    def _on_floor(self, floor):
        if self.done:
            return
        if floor is None:
            self._call_later(RETRY_INTERVAL_S, self._request_replica)
            return
        self.session.set_floor(floor)
        self._request_replica()

    def _request_member(self, member):
        self.tried_members.add(member)
        pool = self.group.pools.get(member)
        if pool is None:
            self._retry_later(retries.Failure(retries.ErrorKind.UPSTREAM_UNREACHABLE))
            return
        session = self.session
        connection = pool.try_acquire(session.role)
        if connection is not None:
            self._use_connection(connection)
            return
        self.waiter = groups.make_waiter(
            session.account, session.role, session.weight, self.deadline, self
        )
        pool.request(self.waiter)

    def _use_connection(self, connection):
        if connection.settings is None:
            # A failed commit has left the settings of this connection unknown.
            connection.close()
            self._call_later(0.0, self._request_connection)
            return
        self._attach(connection)
        wanted = self.session.settings
        if connection.settings is not wanted and connection.settings != wanted:
            sql = sessions.settings_sql(connection.settings, wanted)
            handler = _answers.InternalQueryHandler(self, connection, self._on_settings)
            connection.send(handler, _frames.query(sql))
            return
        self._check_position_or_send()

    def _on_settings(self, handler):
        if handler.error is not None:
            kind = retries.ErrorKind.INVALID_SETTING
            self._fail(retries.Failure(kind, handler.error.get("M", "")))
            return
        handler.connection.settings = self.session.settings
        self._check_position_or_send()

    def _check_position_or_send(self):
        """Send the statement, after a position check if one must come first.

        A read is usually sent together with its position check. But BEGIN READ
        ONLY binds later reads to the member, and a primary that was behind must
        not be sent the statement again before it has caught up.
        """
        check_first = (
            self.primary_was_behind or self.statement_class is _CLASS.BEGIN_READ_ONLY
        )
        if not check_first or placement.covers(
            self.connection.confirmed_position, self.required_position
        ):
            self._send_statement()
            return
        self.answer_handler = None
        check_handler = _answers.PositionCheckHandler(self, self.connection)
        self.connection.send(check_handler, upstream.POSITION_QUERY)

    def _send_statement(self):
        connection = self.connection
        batch = self.batch
        if batch.simple:
            translation = None
            data = batch.frames[0][1]
        else:
            translation = self.session.statement_registry.translate(
                batch, connection.prepared
            )
            data = translation.data
        self.phase = retries.Phase.SENT
        self.writing = self._may_write()
        if (
            self.reading
            and not self.was_in_transaction
            and self._send_with_position_check(translation, data)
        ):
            return
        ends_transaction = not self.was_in_transaction or batch.statement.commits
        hold_until_ack = self.writing and ends_transaction and not self.opens_implicit
        hold_until_ack = hold_until_ack or self.closes_implicit
        self.answer_handler = _answers.AnswerHandler(
            self, connection, translation, _answers.ForwardingMode.OPEN, hold_until_ack
        )
        if self.opens_implicit:
            begin_handler = _answers.InternalQueryHandler(
                self, connection, _ignore_answer
            )
            connection.send_two(begin_handler, self.answer_handler, _BEGIN + data)
            return
        if hold_until_ack:
            self.position_before = self._known_position()
        if hold_until_ack and not self.closes_implicit:
            position_handler = _answers.PositionHandler(self, connection)
            connection.send_two(
                self.answer_handler, position_handler, data + upstream.POSITION_QUERY
            )
            return
        connection.send(self.answer_handler, data)

    def _send_sync(self):
        """End an implicit transaction for a Sync that follows a Flush directly."""
        self.phase = retries.Phase.SENT
        self.status = self.session.status
        self.position_before = self._known_position()
        self.answer_handler = _answers.AnswerHandler(
            self,
            self.connection,
            None,
            _answers.ForwardingMode.OPEN,
            hold_until_ack=True,
        )
        self._end_implicit()

    def _send_with_position_check(self, translation, data):
        """Send a read in one write with a position query, if one is needed.

        Returns
        -------
        bool
            False, with nothing sent, if the batch may write, no position is
            required or the member is known to have reached it.
        """
        if self.writing:
            return False
        if self.required_position is None:
            self.required_position = self.session.required_position(
                self.session.context.now()
            )
            if self.required_position is None:
                return False
        connection = self.connection
        metrics = self.session.context.metrics
        if placement.covers(connection.confirmed_position, self.required_position):
            metrics.count(metrics.proofs, "connection")
            return False
        metrics.count(metrics.proofs, "check")
        check_handler = _answers.PositionCheckHandler(self, connection)
        self.answer_handler = _answers.AnswerHandler(
            self,
            connection,
            translation,
            _answers.ForwardingMode.WAITING,
            hold_until_ack=False,
        )
        connection.send_two(
            check_handler, self.answer_handler, upstream.POSITION_QUERY + data
        )
        return True

    def _may_write(self):
        if not self.batch.executes:
            return False
        if self.role == "replica":
            return False
        if self.reading:
            return not self.batch.statement.known_read_only
        return self.statement_class not in _NEEDS_NO_ACKNOWLEDGEMENT

    def _known_position(self):
        """Return a position that the current primary reported in its own term."""
        view = self.group.view
        position = self.member_view.position if self.member_view is not None else None
        if position is None or position.term != view.term:
            return None
        return position

    def _needs_acknowledgement(self):
        handler = self.answer_handler
        return (
            handler.hold_until_ack
            and self.status == b"I"
            and (handler.completed or not handler.failed)
        )

    def _can_retry_refused_write(self):
        """Return whether a write refused as read-only can be sent again.

        The write must be certain not to have run. The refusal is final if the
        same member refused before and has since been confirmed as the primary.
        """
        statement = self.batch.statement
        is_known_not_run = self.status == b"I" and not self.answered
        if not is_known_not_run or statement.commits or statement.opens:
            return False
        view = self.member_view
        if view is None or self.role != "primary":
            return False
        confirmed = (
            self.refused_by == view.name
            and view.name == self.group.view.primary
            and view.position_at > self.refused_at
        )
        return not confirmed

    def _retry_refused(self):
        if self.refused_by != self.member_view.name:
            self.refused_by = self.member_view.name
            self.refused_at = self.session.context.now()
        connection = self._detach()
        if connection.response_handlers:
            connection.close()
        else:
            self._release_connection(connection)
        self._count_retry("refused_by_primary")
        self._restart(PRIMARY_RETRY_INTERVAL_S)

    def _on_acknowledged(self, failure):
        if self.done:
            return
        if failure is not None:
            if self.idempotent or failure.kind is retries.ErrorKind.WRITE_DISCARDED:
                self._retry_or_fail()
            else:
                self._fail(failure)
            return
        self.session.on_write_acknowledged(self.position)
        token = self.session.token()
        self.session.write(_frames.parameter_status("pomelograde.session", token))
        self._finish()

    def _retry_or_fail(self):
        """Handle a lost connection or acknowledgement by retry or inquiry."""
        connection = self._detach()
        self.session.connection = None
        if connection is not None:
            connection.close()
        attempt = self._attempt()
        now = self.session.context.now()
        decision = retries.decide(attempt, now, self.deadline)
        if isinstance(decision, retries.Retry):
            if self.phase is not retries.Phase.NOT_SENT:
                self.earlier_unknown = True
            self._count_retry(self.phase.value)
            self._restart(RETRY_INTERVAL_S if self.on_primary else 0.0)
        elif self.position is not None and now < self.deadline:
            self.resolution = _resolutions.Resolution(self)
            self.resolution.start()
        else:
            self._fail(decision)

    def _restart(self, delay_s=0.0):
        self.phase = retries.Phase.NOT_SENT
        self.answer_handler = None
        self.position_before = None
        self.position = None
        if delay_s > 0.0:
            self._call_later(delay_s, self._request_connection)
        else:
            self._request_connection()

    def _finish(self):
        session = self.session
        frames = self.answer_handler.take_frames()
        if self.batch.synced:
            frames.append(_READY[self.status])
        session.write(b"".join(frames))
        if self.answer_handler.failed and not self.batch.synced:
            session.skipping_to_sync = True
        connection = self._detach()
        self.done = True
        if self.opens_implicit or (session.implicit and not self.closes_implicit):
            session.implicit = not self.answer_handler.failed
            if self.answer_handler.failed:
                # Closing the connection ends the failed implicit transaction.
                connection.close()
                connection = None
                self.status = b"I"
        if self.status != b"I":
            session.connection = connection
            session.transaction_role = self.role
        else:
            session.connection = None
            if connection is not None:
                self._release_connection(connection)
        metrics = session.context.metrics
        metrics.record("statement", session.context.now() - self.started_at)
        if self.reading and self.batch.executes:
            metrics.count(metrics.reads, self.role)
            session.context.decisions.count(session.account, "routed", self.role)
            if self.waited_for_replica and self.role == "replica":
                self.group.replica_wait_breaker.on_replica_served()
        session.on_exchange_done(self.status)

    def _retry_on_other_member(self, reason):
        self.primary_was_behind = self.role == "primary"
        self._release_connection(self._detach())
        self._count_retry(reason)
        delay_s = PRIMARY_RETRY_INTERVAL_S if self.role == "primary" else 0.0
        self._restart(delay_s)

    def _retry_later(self, failure):
        now = self.session.context.now()
        if now + RETRY_INTERVAL_S >= self.deadline:
            self._fail(failure)
            return
        self._count_retry("unreachable")
        self._call_later(RETRY_INTERVAL_S, self._request_connection)

    def _fail(self, failure):
        self.done = True
        self._stop_waiting()
        connection = self._detach()
        if connection is not None:
            connection.close()
        self.session.connection = None
        self.session.refuse(failure, self.batch, self.was_in_transaction)

    def _stop_waiting(self):
        if self.waiter is not None:
            self.waiter.abandoned = True
            self.waiter = None
        if self.resolution is not None:
            self.resolution.stop()
            self.resolution = None

    def _attach(self, connection):
        self.connection = connection
        view = self.group.view.members.get(connection.member)
        if view is not None:
            view.outstanding += 1
            view.sent += 1
        self.member_view = view
        if self.session.paused:
            self.pause()

    def _detach(self):
        """Detach the exchange from its connection and return the connection."""
        connection = self.connection
        if connection is None:
            return None
        if self.paused:
            self.resume()
        self.connection = None
        if self.member_view is not None:
            self.member_view.outstanding -= 1
        return connection

    def _release_connection(self, connection):
        pool = self.group.pools.get(connection.member)
        if pool is None or connection.settings is None:
            connection.close()
        else:
            pool.release(connection)

    def _call_later(self, delay_s, work):
        def run():
            if not self.done:
                work()

        self.session.context.reactor.callLater(delay_s, run)

    def _count_retry(self, reason):
        context = self.session.context
        context.metrics.count(context.metrics.retries, reason)
        context.log.write(events.Event.STATEMENT_RETRIED, reason=reason)


def _opens_implicit(session, batch):
    """Return whether a batch before a Flush needs a transaction that outlives it."""
    if batch.synced or session.connection is not None or batch.statement.opens:
        return False
    reads = (
        batch.statement.statement_class is _CLASS.READ
        and batch.statement.known_read_only
    )
    return batch.keeps_portal or (batch.executes and not reads)


def _ignore_answer(handler):
    """Ignore an answer; an error also fails the statement that follows."""
