"""One statement's way from a caller to an upstream and back."""

from pomelograde.core import placement, retries, routing, sessions
from pomelograde.net import _answers, _frames, _resolutions, events, groups, upstream

RETRY_INTERVAL_S = 0.01
PRIMARY_RETRY_INTERVAL_S = 0.02

_CLASS = routing.StatementClass
_READY = {status: _frames.ready_for_query(status) for status in (b"I", b"T", b"E")}
_UNACKNOWLEDGED = frozenset(
    (_CLASS.READ, _CLASS.SET, _CLASS.BEGIN, _CLASS.BEGIN_READ_ONLY, _CLASS.EMPTY)
)
_ON_REPLICAS = frozenset(
    (_CLASS.READ, _CLASS.SET, _CLASS.BEGIN_READ_ONLY, _CLASS.EMPTY)
)
_BEGIN = _frames.query("BEGIN")
_CHECKED = frozenset((_CLASS.READ, _CLASS.BEGIN_READ_ONLY))


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

    Notes
    -----
    What an answer of an upstream means for the exchange depends on the
    connection that it comes from: once `connection` is another one, or None,
    nothing that the former one still delivers is heeded.
    """

    __slots__ = (
        "answered",
        "batch",
        "closes_implicit",
        "connection",
        "counted",
        "deadline",
        "done",
        "earlier_unknown",
        "group",
        "holds_all",
        "keyed",
        "lower",
        "missed",
        "on_primary",
        "opens_implicit",
        "part",
        "paused",
        "phase",
        "position",
        "reading",
        "refused_at",
        "refused_by",
        "replica_deadline",
        "required",
        "resolution",
        "role",
        "session",
        "started_at",
        "statement_class",
        "status",
        "tried",
        "waited",
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
        self.on_primary = self.statement_class not in _ON_REPLICAS
        self.opens_implicit = _opens_implicit(session, batch)
        if self.opens_implicit:
            self.on_primary = True
        self.closes_implicit = session.implicit and batch.synced
        self.keyed = False
        self.holds_all = False
        self.writing = False
        self.connection = None
        self.counted = None
        self.waiter = None
        self.resolution = None
        self.part = None
        self.lower = None
        self.position = None
        self.required = None
        self.role = "primary"
        self.phase = retries.Phase.NOT_SENT
        self.status = b"I"
        self.tried = set()
        self.refused_by = None
        self.refused_at = 0.0
        self.answered = False
        self.earlier_unknown = False
        self.waited = False
        self.missed = False
        self.paused = False
        self.done = False
        self.was_in_transaction = False

    def start(self):
        """Make the first attempt."""
        connection = self.session.connection
        if connection is None:
            self._request()
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
        """Take the connection that the pool gives."""
        self.waiter = None
        if self.done:
            self._give_back(connection)
            return
        self._take(connection)

    def on_refused(self, failure):
        """Take the pool's refusal."""
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
        """End the statement because its deadline has passed."""
        kinds = retries.ErrorKind
        kind = retries.expiry_kind(self._attempt())
        if kind is kinds.DEADLINE_BEFORE_RUN:
            if self.on_primary and self.group.view.primary is None:
                kind = kinds.NO_PRIMARY
            elif not self.on_primary and self.required is not None:
                kind = kinds.SESSION_BEHIND
        self._fail(retries.Failure(kind))

    def abandon(self):
        """Drop the statement because its caller is gone."""
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
        """Read from the upstream again."""
        if self.paused:
            self.paused = False
            self.connection.transport.resumeProducing()

    def on_checked(self, position):
        """Take the position of the member that a statement is meant for."""
        self.connection.proved = position
        view = self.counted
        known = view is not None and position is not None
        if known and view.name != self.group.view.primary:
            view.position = position
            view.position_at = self.session.context.now()
        covered = placement.covers(position, self.required)
        if self.part is None:
            if covered:
                self._send_statement()
            else:
                self._try_elsewhere("replica_behind")
        elif covered:
            self.part.gate = _answers.Gate.OPEN
        else:
            self.part.gate = _answers.Gate.DISCARDING

    def on_answer_end(self, part):
        """Take the end of the upstream's answer."""
        if part.gate is _answers.Gate.DISCARDING:
            if part.refused:
                self.on_primary = True
            self._try_elsewhere(
                "refused_by_replica" if part.refused else "replica_behind"
            )
            return
        if part.refused and self._is_fenced():
            self._retry_refused()
            return
        self.session.on_answered(
            self.batch.statement, self.connection, part.failed, self.status
        )
        if self.closes_implicit:
            self._end_implicit()
            return
        if self._needs_acknowledgement():
            if not self.connection.parts:
                self._ask_position()
            return
        if not self.connection.parts:
            self._finish()

    def on_position(self, position):
        """Take the primary's position after the write."""
        self.connection.proved = position
        if not self._needs_acknowledgement():
            self._finish()
            return
        self.phase = retries.Phase.ACKNOWLEDGING
        if position is None:
            self._after_loss()
            return
        if self.counted is not None:
            self.counted.position = position
        self.acknowledge(position)

    def acknowledge(self, position):
        """Wait until a majority holds a position of the primary in use."""
        self.position = position
        connection = self._detach()
        self.session.connection = None
        waiting = self.group.acknowledge(position, connection, self.deadline)
        waiting.addCallback(self._on_acknowledged)

    def on_lost(self, connection):
        """Take the loss of an upstream connection."""
        if self.done or self.connection is not connection:
            return
        if self.answered and self.phase is retries.Phase.SENT:
            self.phase = retries.Phase.PARTLY_ANSWERED
        self._after_loss()

    def on_too_large(self):
        """End the statement because its held answer is too large."""
        self._fail(retries.Failure(retries.ErrorKind.ANSWER_TOO_LARGE))

    def on_survival(self, survival, position, connection):
        """Take whether the write is part of a later primary's log.

        Parameters
        ----------
        survival : Survival
            Whether it is.
        position : Position or None
            Position of the later primary.
        connection : UpstreamConnection or None
            Connection to it.
        """
        self.resolution = None
        if survival is retries.Survival.SURVIVED:
            self._attach(connection)
            self.acknowledge(position)
            return
        if connection is not None:
            self._give_back(connection)
        kind = retries.ErrorKind.ACKNOWLEDGEMENT_LOST
        if survival is retries.Survival.DISCARDED:
            kind = retries.ErrorKind.WRITE_DISCARDED
        again = not (self.was_in_transaction or self.answered)
        if survival is retries.Survival.DISCARDED and again:
            self._count_retry("discarded")
            self._restart()
            return
        self._fail(retries.Failure(kind))

    def give_back(self, connection):
        """Return a connection to its pool."""
        self._give_back(connection)

    def _ask_position(self):
        part = _answers.PositionPart(self, self.connection)
        self.connection.send(part, upstream.POSITION_QUERY)

    def _end_implicit(self):
        """End the transaction that was opened for statements before a Flush."""
        sql = "ROLLBACK" if self.status == b"E" else "COMMIT"
        part = _answers.HiddenPart(self, self.connection, self._on_implicit_end)
        self.connection.send(part, _frames.query(sql))

    def _on_implicit_end(self, part):
        self.session.implicit = False
        committed = part.error is None and self.status != b"E"
        if part.error is not None:
            self.part.out = [_frames.error_frame(list(part.error.items()))]
        self.status = part.status
        if committed:
            self.part.completed = True
            self._ask_position()
            return
        self._finish()

    def _attempt(self):
        repeatable = self.keyed or not self.writing or not self.batch.executes
        return retries.Attempt(
            self.phase,
            repeatable,
            self.was_in_transaction,
            self.batch.statement.commits or self.closes_implicit,
            self.earlier_unknown,
        )

    def _request(self):
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
        checked = self.statement_class in _CHECKED
        session = self.session
        now = session.context.now()
        if checked and session.needs_probe(now):
            self.group.read_floor().addCallback(self._on_floor)
            return
        if checked:
            self.required = session.required_position(now)
        candidates = placement.rank_replicas(
            list(self.group.view.members.values()),
            self.group.view.primary,
            self.required,
            session.context.settings.data_centre,
            now,
        )
        for view in candidates:
            if view.name not in self.tried:
                self.role = "replica"
                self._request_member(view.name)
                return
        self._wait_for_replica(now)

    def _wait_for_replica(self, now):
        replica_wait_breaker = self.group.replica_wait_breaker
        if now < self.replica_deadline and replica_wait_breaker.should_wait(now):
            self.waited = True
            self.tried.clear()
            self._later(RETRY_INTERVAL_S, self._request_replica)
            return
        if self.waited:
            replica_wait_breaker.on_wait_timed_out(now)
        self._request_primary()

    def _on_floor(self, floor):
        if self.done:
            return
        if floor is None:
            self._later(RETRY_INTERVAL_S, self._request_replica)
            return
        self.session.set_floor(floor)
        self._request_replica()

    def _request_member(self, member):
        self.tried.add(member)
        pool = self.group.pools.get(member)
        if pool is None:
            self._retry_later(retries.Failure(retries.ErrorKind.UPSTREAM_UNREACHABLE))
            return
        session = self.session
        connection = pool.take_at_once(session.role)
        if connection is not None:
            self._take(connection)
            return
        self.waiter = groups.make_waiter(
            session.account, session.role, session.weight, self.deadline, self
        )
        pool.request(self.waiter)

    def _take(self, connection):
        if connection.settings is None:
            connection.close()
            self._later(0.0, self._request)
            return
        self._attach(connection)
        wanted = self.session.settings
        if connection.settings is not wanted and connection.settings != wanted:
            sql = sessions.plan_settings(connection.settings, wanted)
            part = _answers.HiddenPart(self, connection, self._on_settings)
            connection.send(part, _frames.query(sql))
            return
        self._send_checked()

    def _on_settings(self, part):
        if part.error is not None:
            kind = retries.ErrorKind.INVALID_SETTING
            self._fail(retries.Failure(kind, part.error.get("M", "")))
            return
        part.connection.settings = self.session.settings
        self._send_checked()

    def _send_checked(self):
        first = self.missed or self.statement_class is _CLASS.BEGIN_READ_ONLY
        if not first or placement.covers(self.connection.proved, self.required):
            self._send_statement()
            return
        self.part = None
        check = _answers.CheckPart(self, self.connection)
        self.connection.send(check, upstream.POSITION_QUERY)

    def _send_statement(self):
        connection = self.connection
        batch = self.batch
        if batch.simple:
            translation = None
            data = batch.frames[0][1]
        else:
            translation = self.session.book.translate(batch, connection.prepared)
            data = translation.data
        self.phase = retries.Phase.SENT
        self.writing = self._may_write()
        if (
            self.reading
            and not self.was_in_transaction
            and self._send_after_check(translation, data)
        ):
            return
        ends = not self.was_in_transaction or batch.statement.commits
        hold = self.writing and ends and not self.opens_implicit
        hold = hold or self.closes_implicit
        self.part = _answers.AnswerPart(
            self, connection, translation, _answers.Gate.OPEN, hold
        )
        if self.opens_implicit:
            begin = _answers.HiddenPart(self, connection, _ignore)
            connection.send_two(begin, self.part, _BEGIN + data)
            return
        if hold:
            self.lower = self._known_position()
        if hold and not self.closes_implicit:
            position = _answers.PositionPart(self, connection)
            connection.send_two(self.part, position, data + upstream.POSITION_QUERY)
            return
        connection.send(self.part, data)

    def _send_sync(self):
        """End an implicit transaction where nothing has come since the Flush."""
        self.phase = retries.Phase.SENT
        self.status = self.session.status
        self.lower = self._known_position()
        self.part = _answers.AnswerPart(
            self, self.connection, None, _answers.Gate.OPEN, hold=True
        )
        self._end_implicit()

    def _send_after_check(self, translation, data):
        if self.writing:
            return False
        if self.required is None:
            self.required = self.session.required_position(self.session.context.now())
            if self.required is None:
                return False
        connection = self.connection
        metrics = self.session.context.metrics
        if placement.covers(connection.proved, self.required):
            metrics.count(metrics.proofs, "connection")
            return False
        metrics.count(metrics.proofs, "check")
        check = _answers.CheckPart(self, connection)
        self.part = _answers.AnswerPart(
            self, connection, translation, _answers.Gate.WAITING, hold=False
        )
        connection.send_two(check, self.part, upstream.POSITION_QUERY + data)
        return True

    def _may_write(self):
        if not self.batch.executes:
            return False
        if self.role == "replica":
            return False
        if self.reading:
            return not self.batch.statement.known_read_only
        return self.statement_class not in _UNACKNOWLEDGED

    def _known_position(self):
        """Return a position that the primary in use reported in its term."""
        view = self.group.view
        known = self.counted.position if self.counted is not None else None
        if known is None or known.term != view.term:
            return None
        return known

    def _needs_acknowledgement(self):
        part = self.part
        return part.hold and self.status == b"I" and (part.completed or not part.failed)

    def _is_fenced(self):
        """Whether a refused write is certain not to have run, but may elsewhere."""
        statement = self.batch.statement
        certain = self.status == b"I" and not self.answered
        if not certain or statement.commits or statement.opens:
            return False
        view = self.counted
        if view is None or self.role != "primary":
            return False
        confirmed = (
            self.refused_by == view.name
            and view.name == self.group.view.primary
            and view.position_at > self.refused_at
        )
        return not confirmed

    def _retry_refused(self):
        if self.refused_by != self.counted.name:
            self.refused_by = self.counted.name
            self.refused_at = self.session.context.now()
        connection = self._detach()
        if connection.parts:
            connection.close()
        else:
            self._give_back(connection)
        self._count_retry("refused_by_primary")
        self._restart(PRIMARY_RETRY_INTERVAL_S)

    def _on_acknowledged(self, failure):
        if self.done:
            return
        if failure is not None:
            if self.keyed or failure.kind is retries.ErrorKind.WRITE_DISCARDED:
                self._after_loss()
            else:
                self._fail(failure)
            return
        self.session.on_written(self.position)
        token = self.session.token()
        self.session.write(_frames.parameter_status("pomelograde.session", token))
        self._finish()

    def _after_loss(self):
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
        self.part = None
        self.lower = None
        self.position = None
        if delay_s > 0.0:
            self._later(delay_s, self._request)
        else:
            self._request()

    def _finish(self):
        session = self.session
        held = self.part.take()
        if self.batch.synced:
            held.append(_READY[self.status])
        session.write(b"".join(held))
        if self.part.failed and not self.batch.synced:
            session.skipping = True
        connection = self._detach()
        self.done = True
        if self.opens_implicit or (session.implicit and not self.closes_implicit):
            session.implicit = not self.part.failed
            if self.part.failed:
                connection.close()
                connection = None
                self.status = b"I"
        if self.status != b"I":
            session.connection = connection
            session.transaction_role = self.role
        else:
            session.connection = None
            if connection is not None:
                self._give_back(connection)
        metrics = session.context.metrics
        metrics.record("statement", session.context.now() - self.started_at)
        if self.reading and self.batch.executes:
            metrics.count(metrics.reads, self.role)
            session.context.decisions.count(session.account, "routed", self.role)
            if self.waited and self.role == "replica":
                self.group.replica_wait_breaker.on_replica_served()
        session.on_exchange_done(self.status)

    def _try_elsewhere(self, reason):
        self.missed = self.role == "primary"
        self._give_back(self._detach())
        self._count_retry(reason)
        delay_s = PRIMARY_RETRY_INTERVAL_S if self.role == "primary" else 0.0
        self._restart(delay_s)

    def _retry_later(self, failure):
        now = self.session.context.now()
        if now + RETRY_INTERVAL_S >= self.deadline:
            self._fail(failure)
            return
        self._count_retry("unreachable")
        self._later(RETRY_INTERVAL_S, self._request)

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
        self.counted = view
        if self.session.paused:
            self.pause()

    def _detach(self):
        """Let go of the connection, and return it."""
        connection = self.connection
        if connection is None:
            return None
        if self.paused:
            self.resume()
        self.connection = None
        if self.counted is not None:
            self.counted.outstanding -= 1
        return connection

    def _give_back(self, connection):
        pool = self.group.pools.get(connection.member)
        if pool is None or connection.settings is None:
            connection.close()
        else:
            pool.release(connection)

    def _later(self, delay_s, work):
        def run():
            if not self.done:
                work()

        self.session.context.reactor.callLater(delay_s, run)

    def _count_retry(self, reason):
        context = self.session.context
        context.metrics.count(context.metrics.retries, reason)
        context.log.write(events.Event.STATEMENT_RETRIED, reason=reason)


def _opens_implicit(session, batch):
    """Whether a batch before a Flush needs a transaction that outlives it."""
    if batch.synced or session.connection is not None or batch.statement.opens:
        return False
    reads = (
        batch.statement.statement_class is _CLASS.READ
        and batch.statement.known_read_only
    )
    return batch.keeps_portal or (batch.executes and not reads)


def _ignore(part):
    """Heed nothing of an answer; an error shows in the next one."""
