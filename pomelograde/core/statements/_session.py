"""The state machine of one caller's session.

It answers what needs no upstream, chooses the member for everything else, and
decides after each answer between another attempt and the final word.
"""

import attrs

from pomelograde.core.retries import _decide, _errors
from pomelograde.core.statements import _actions, _state, _statements

WAIT_PART = 0.25  # of the latency objective; leaves the rest for the statement
POLL_INTERVAL_S = 0.01  # half of the usual lag of a replica
BUSY_PAUSE_S = 0.02  # about the time of one statement
MAX_FAILED_READS = 1  # further attempts at a read that failed on a member

_KIND = _errors.ErrorKind
_OP = _statements.Operation
_ERROR = _statements.UpstreamError
_PHASE = _decide.Phase
_LOCAL_ANSWER = _statements.Answer()


class Session:
    """Decides on the statements of one caller, one after the other.

    Parameters
    ----------
    account : str
        Client account; empty for a caller without a key.
    data_centre : str
        Data centre of this instance.
    gate : object
        `gate.resolve(now)` returns the Route in force, or a Failure;
        `gate.check(now)` a Failure if statements may no longer run, or None;
        `gate.group(service)` the Group, or None.

    Attributes
    ----------
    settings : dict of bytes to bytes
        Settings of the session; replaced and never altered, so that
        connections share it.
    prepared : dict of bytes to Prepared
        Prepared statements by the caller's name.
    written : Position or None
        Position after the session's last commit.
    attempt : Attempt or None
        The statement under way.
    last : Attempt or None
        The last one that was under way.
    transaction : Transaction or None
        The open transaction.

    Notes
    -----
    Every method returns the actions to carry out, in order. A transaction is
    opened on a member only with its first statement. The pause of a caller
    after BEGIN thus holds no connection, and a first statement that did not
    run can be tried elsewhere, since the caller has seen nothing of the
    transaction yet.
    """

    def __init__(self, account, data_centre, gate):
        self.account = account
        self.data_centre = data_centre
        self.gate = gate
        self.settings = {}
        self.prepared = {}
        self.written = None
        self.attempt = None
        self.last_statement = None
        self.transaction = None

    @property
    def status(self):
        """Transaction status of the session, as callers are told it."""
        if self.transaction is None:
            return b"I"
        return b"E" if self.transaction.failed else b"T"

    @property
    def is_idle(self):
        """Whether no statement is under way and no transaction is open."""
        return self.attempt is None and self.transaction is None

    def on_statement(self, statement, now):
        """Take a statement of the caller."""
        if self.transaction is not None and self.transaction.failed:
            return self._on_failed_transaction(statement)
        local = _LOCAL.get(statement.operation)
        if local is not None:
            return local(self, statement, now)
        if statement.operation is _OP.COMMIT and self.transaction is None:
            return self._refuse(_errors.Failure(_KIND.INVALID_TRANSACTION_STATE))
        prepared = None
        writes = statement.operation in (_OP.WRITE, _OP.COMMIT)
        if statement.operation is _OP.EXECUTE:
            prepared = self.prepared.get(statement.name)
            if prepared is None:
                return self._refuse(_errors.Failure(_KIND.UNKNOWN_STATEMENT))
            writes = prepared.writes
        if self.transaction is not None:
            return self._continue(statement, prepared, writes, now)
        return self._open(statement, prepared, writes, now)

    def on_admitted(self, now):
        """Take that the client account's rate has room."""
        attempt = self.attempt
        attempt.acquiring = False
        attempt.admitted = True
        if attempt.statement.operation in (_OP.BEGIN, _OP.BEGIN_READ_ONLY):
            read_only = attempt.statement.operation is _OP.BEGIN_READ_ONLY
            self.transaction = _state.Transaction(
                read_only, attempt.route, idle_since=now
            )
            self.attempt = None
            return [_actions.Respond(_LOCAL_ANSWER, b"T")]
        return self._place(now)

    def on_refused(self, failure, now):
        """Take that no connection, or no part of the rate, is to be had."""
        attempt = self.attempt
        attempt.acquiring = False
        if failure.kind is not _KIND.UPSTREAM_UNREACHABLE:
            return self._fail(failure)
        attempt.tried.add(attempt.member)
        return [self._note("unreachable"), *self._place(now)]

    def on_not_sent(self, failure, now):
        """Take that what was to be sent on the connection in use was not sent."""
        attempt = self.attempt
        attempt.connection = None
        attempt.phase = _PHASE.NOT_SENT
        attempt.beginning = False
        attempt.attempts -= 1
        return self.on_refused(failure, now)

    def on_connection(self, connection, now):
        """Take a connection to the chosen member."""
        attempt = self.attempt
        attempt.acquiring = False
        if attempt.on_primary and not self._may_use_primary(attempt.member, now):
            return [_actions.Release(connection), *self._place(now)]
        attempt.connection = connection
        if self.transaction is None:
            return self._execute(attempt.required, now)
        attempt.beginning = True
        attempt.phase = _PHASE.SENT
        attempt.sent_at = now
        attempt.attempts += 1
        begin = _actions.Begin(
            connection, self.transaction.read_only, attempt.required, self.settings
        )
        return [begin]

    def on_answer(self, answer, now):
        """Take the answer to what was sent last."""
        attempt = self.attempt
        group = self.gate.group(attempt.route.service)
        if group is not None and answer.position is not None:
            group.on_position(attempt.member, answer.position, attempt.sent_at)
        if attempt.beginning:
            return self._on_begun(answer, now)
        if self.transaction is not None:
            return self._on_answer_in_transaction(answer, now)
        if answer.error is None:
            return self._on_success(answer, now)
        return self._on_error(answer, now)

    def on_connection_lost(self, now):
        """Take that the connection in use is gone."""
        attempt = self.attempt
        transaction = self.transaction
        if attempt is None:
            transaction.connection = None
            transaction.failed = True
            return []
        attempt.connection = None
        fresh = transaction is None or not transaction.has_run
        commits = attempt.commits
        repeatable = not attempt.writes or (transaction is not None and not commits)
        if fresh and repeatable:
            attempt.tried.add(attempt.member)
            return [self._note("lost"), *self._again(now)]
        return self._fail(_decide_loss(attempt, transaction is not None, commits))

    def on_timer(self, now):
        """Go on after a pause."""
        attempt = self.attempt
        if attempt is None or attempt.acquiring:
            return []
        if attempt.connection is None:
            return self._place(now)
        if attempt.phase is _PHASE.REFUSED:
            return self._execute(None, now)
        return []

    def expire(self, now, transaction_idle_s):
        """Give up what has passed its deadline."""
        attempt = self.attempt
        transaction = self.transaction
        if attempt is not None:
            return self._expire_statement() if now >= attempt.deadline else []
        if transaction is None or transaction.connection is None:
            return []
        if now - transaction.idle_since < transaction_idle_s:
            return []
        connection, transaction.connection = transaction.connection, None
        transaction.failed = True
        return [_actions.Abandon(connection, in_transaction=True)]

    def uses_primary(self, service):
        """Return whether anything is under way at the service's primary."""
        attempt = self.attempt
        if attempt is not None and attempt.connection is not None:
            return attempt.on_primary and attempt.route.service == service
        transaction = self.transaction
        if transaction is None or transaction.connection is None:
            return False
        return transaction.on_primary and transaction.route.service == service

    def on_primary_fenced(self):
        """Give up what is under way at a primary that is replaced."""
        attempt = self.attempt
        transaction = self.transaction
        if attempt is None:
            connection, transaction.connection = transaction.connection, None
            transaction.failed = True
            return [_actions.Discard(connection)]
        commits = attempt.commits
        return self._fail(_decide_loss(attempt, transaction is not None, commits))

    def on_closed(self):
        """Let go of everything; the caller is gone."""
        attempt, self.attempt = self.attempt, None
        transaction, self.transaction = self.transaction, None
        actions = []
        if attempt is not None and attempt.acquiring:
            actions.append(_actions.CancelAcquire())
        if attempt is not None and attempt.connection is not None:
            opened = transaction is not None
            actions.append(_actions.Abandon(attempt.connection, opened))
        elif transaction is not None and transaction.connection is not None:
            actions.append(_actions.Abandon(transaction.connection, True))
        return actions

    def _open(self, statement, prepared, writes, now):
        """Begin an operation by the route in force."""
        route = self.gate.resolve(now)
        if isinstance(route, _errors.Failure):
            return self._refuse(route)
        self._start(statement, prepared, writes, route, now)
        return self._admit()

    def _start(self, statement, prepared, writes, route, now):
        self.attempt = self.last_statement = _state.Attempt(
            statement, prepared, route, writes, now, now + route.timeout_s
        )

    def _admit(self):
        """Ask for a part of the client account's rate.

        Notes
        -----
        An account that keeps asking for more than its rate fills whatever
        queue there is, so that each of its requests waits for the longest
        time allowed. It is kept short enough for the answer to be in time.
        """
        attempt = self.attempt
        attempt.acquiring = True
        route = attempt.route
        max_wait_s = WAIT_PART * route.latency_objective_s
        admit = _actions.Admit(
            self.account, attempt.deadline, max_wait_s, route.priority
        )
        return [admit]

    def _continue(self, statement, prepared, writes, now):
        """Run a statement inside the open transaction."""
        transaction = self.transaction
        failure = self.gate.check(now)
        if failure is not None:
            actions = self._end_transaction()
            return [*actions, *self._refuse(failure)]
        self._start(statement, prepared, writes, transaction.route, now)
        self.attempt.admitted = True
        if transaction.connection is None:
            return self._place(now)
        attempt = self.attempt
        attempt.connection = transaction.connection
        attempt.member = transaction.member
        attempt.on_primary = transaction.on_primary
        return self._execute_in_transaction(now)

    def _begin(self, statement, now):
        if self.transaction is not None:
            return self._refuse(_errors.Failure(_KIND.INVALID_TRANSACTION_STATE))
        return self._open(statement, None, False, now)

    def _rollback(self, statement, now):
        return [*self._end_transaction(), _actions.Respond(_LOCAL_ANSWER, b"I")]

    def _set(self, statement, now):
        self.settings = {**self.settings, statement.name: statement.value}
        return [_actions.Respond(_LOCAL_ANSWER, self.status)]

    def _prepare(self, statement, now):
        prepared = _statements.Prepared(statement.value, statement.writes)
        self.prepared[statement.name] = prepared
        return [_actions.Respond(_LOCAL_ANSWER, self.status)]

    def _deallocate(self, statement, now):
        self.prepared.pop(statement.name, None)
        return [_actions.Respond(_LOCAL_ANSWER, self.status)]

    def _on_failed_transaction(self, statement):
        if statement.operation is _OP.ROLLBACK:
            self.transaction = None
            return [_actions.Respond(_LOCAL_ANSWER, b"I")]
        return self._refuse(_errors.Failure(_KIND.TRANSACTION_ABORTED))

    def _needs_primary(self):
        attempt = self.attempt
        if attempt.route.route_type is _statements.RouteType.PRIMARY:
            return True
        if self.transaction is not None:
            return not self.transaction.read_only
        return attempt.writes

    def _place(self, now):
        """Choose a member and ask for a connection to it."""
        attempt = self.attempt
        group = self.gate.group(attempt.route.service)
        if group is None:
            return self._fail(_errors.Failure(_KIND.SERVICE_DELETED))
        requirement = None
        if not self._needs_primary():
            requirement = group.read_requirement(
                self.written, attempt.route.max_staleness_s, now
            )
        if requirement is None:
            return self._place_on_primary(group, now)
        found = group.rank_members(
            requirement.position, self.data_centre, now, attempt.tried
        )
        if found:
            attempt.required = requirement.position
            return self._acquire(found[0], found[0].name == group.primary)
        attempt.tried.clear()
        return self._wait(now, _KIND.SESSION_BEHIND)

    def _place_on_primary(self, group, now):
        attempt = self.attempt
        attempt.required = None
        member = group.usable_primary(now)
        if member is not None and member.name not in attempt.tried:
            return self._acquire(member, True)
        attempt.tried.clear()
        return self._wait(now, _KIND.NO_PRIMARY)

    def _acquire(self, member, on_primary):
        attempt = self.attempt
        attempt.member = member.name
        attempt.on_primary = on_primary
        if on_primary:
            attempt.required = None
        attempt.acquiring = True
        route = attempt.route
        acquire = _actions.Acquire(
            route.service, member.name, on_primary, attempt.deadline, route.priority
        )
        return [acquire]

    def _wait(self, now, kind):
        """Wait a little for a member that may serve, or give up early.

        Notes
        -----
        A statement that no member was ever asked for is held for a part of
        its objective only: the caller can then come back in time, through
        this instance or another one.
        """
        attempt = self.attempt
        wait_s = WAIT_PART * attempt.route.latency_objective_s
        limit = attempt.deadline if attempt.attempts else attempt.started_at + wait_s
        if now >= min(limit, attempt.deadline):
            return self._fail(_errors.Failure(kind))
        return [_actions.StartTimer(POLL_INTERVAL_S)]

    def _may_use_primary(self, name, now):
        group = self.gate.group(self.attempt.route.service)
        member = None if group is None else group.usable_primary(now)
        return member is not None and member.name == name

    def _may_finish(self, name, now):
        group = self.gate.group(self.attempt.route.service)
        return group is not None and group.may_report_success(name, now)

    def _execute(self, after, now):
        attempt = self.attempt
        attempt.beginning = False
        attempt.phase = _PHASE.SENT
        attempt.sent_at = now
        attempt.attempts += 1
        execute = _actions.Execute(
            attempt.connection,
            attempt.statement,
            attempt.prepared,
            after,
            self.settings,
        )
        return [execute]

    def _on_begun(self, answer, now):
        attempt = self.attempt
        transaction = self.transaction
        if answer.error is not None:
            return self._on_error(answer, now)
        transaction.connection = attempt.connection
        transaction.member = attempt.member
        transaction.on_primary = attempt.on_primary
        return self._execute_in_transaction(now)

    def _execute_in_transaction(self, now):
        """Execute on the transaction's connection, unless its right has ended."""
        attempt = self.attempt
        if attempt.on_primary and not self._may_finish(attempt.member, now):
            return self._fail(_errors.Failure(_KIND.TRANSACTION_LOST))
        return self._execute(None, now)

    def _on_success(self, answer, now):
        attempt = self.attempt
        actions = [_actions.Release(attempt.connection)]
        if attempt.writes:
            if not self._may_finish(attempt.member, now):
                attempt.connection = None
                kind = _KIND.ACKNOWLEDGEMENT_LOST
                return [*actions, *self._fail(_errors.Failure(kind))]
            self._on_written(answer.position)
        self.attempt = None
        return [*actions, _actions.Respond(answer, b"I")]

    def _on_written(self, position):
        if position is not None and (self.written is None or position > self.written):
            self.written = position

    def _on_error(self, answer, now):
        """Judge an error of a statement that may be tried again."""
        attempt = self.attempt
        error = answer.error
        member = attempt.member
        connection, attempt.connection = attempt.connection, None
        actions = [_let_go(connection, answer)]
        if self.transaction is not None:
            self.transaction.connection = None
        if error is _ERROR.BEHIND:
            group = self.gate.group(attempt.route.service)
            if group is not None:
                group.on_behind(member, now)
        if error in _statements.NOT_RUN:
            attempt.tried.add(member)
            retried = self._again(now, pause=error is not _ERROR.BEHIND)
            return [*actions, self._note(error.value, member), *retried]
        read = not attempt.writes or attempt.beginning
        if error is _ERROR.FAILED and read and attempt.failed_reads < MAX_FAILED_READS:
            attempt.failed_reads += 1
            attempt.tried.add(member)
            return [*actions, self._note(error.value, member), *self._again(now)]
        kind = _FAILURES.get(error, _KIND.UPSTREAM_FAILED)
        return [*actions, *self._fail(_errors.Failure(kind))]

    def _on_answer_in_transaction(self, answer, now):
        attempt = self.attempt
        transaction = self.transaction
        commits = attempt.statement.operation is _OP.COMMIT
        if answer.error is None and commits:
            self.transaction = None
            if not transaction.read_only:
                return self._on_success(answer, now)
            self.attempt = None
            return [
                _actions.Release(attempt.connection),
                _actions.Respond(answer, b"I"),
            ]
        if answer.error is None:
            transaction.has_run = True
            transaction.idle_since = now
            self.attempt = None
            return [_actions.Respond(answer, b"T")]
        if answer.error is _ERROR.BUSY and answer.status == b"T":
            attempt.phase = _PHASE.REFUSED
            return [self._note("busy"), _actions.StartTimer(BUSY_PAUSE_S)]
        if not transaction.has_run and not commits:
            return self._on_error(answer, now)
        return self._on_lost_transaction(answer, commits)

    def _on_lost_transaction(self, answer, commits):
        """Answer an error after which the transaction can't go on."""
        attempt = self.attempt
        connection, attempt.connection = attempt.connection, None
        self.transaction.connection = None
        actions = [_let_go(connection, answer)]
        kind = _KIND.TRANSACTION_LOST
        if commits and answer.error not in _statements.NOT_RUN:
            kind = _FAILURES.get(answer.error, _KIND.UPSTREAM_FAILED)
        elif answer.error is _ERROR.FAILED:
            kind = _KIND.UPSTREAM_FAILED
        return [*actions, *self._fail(_errors.Failure(kind))]

    def _again(self, now, pause=False):
        """Make another attempt, at once or after a pause."""
        attempt = self.attempt
        attempt.phase = _PHASE.NOT_SENT
        attempt.beginning = False
        if self.transaction is not None:
            self.transaction.connection = None
        if pause:
            return [_actions.StartTimer(BUSY_PAUSE_S)]
        return self._place(now)

    def _expire_statement(self):
        attempt = self.attempt
        in_transaction = self.transaction is not None
        found = _decide.Attempt(
            attempt.phase, not attempt.writes, in_transaction, attempt.commits
        )
        kind = _decide.expiry_kind(found)
        if kind is _KIND.DEADLINE_BEFORE_RUN and self._needs_primary():
            group = self.gate.group(attempt.route.service)
            if group is None or group.primary is None:
                kind = _KIND.NO_PRIMARY
        return self._fail(_errors.Failure(kind))

    def _fail(self, failure):
        """Give up the statement, and the transaction that it is part of."""
        attempt, self.attempt = self.attempt, None
        actions = []
        if attempt.acquiring:
            actions.append(_actions.CancelAcquire())
        if attempt.connection is not None:
            actions.append(_actions.Discard(attempt.connection))
        has_run = self.transaction is not None and self.transaction.has_run
        if attempt.admitted and not attempt.attempts and not has_run:
            actions.append(_actions.RefundRate(self.account))
        if self.transaction is not None:
            self.transaction.connection = None
            self.transaction.failed = True
        return [*actions, *self._refuse(failure)]

    def _end_transaction(self):
        """Roll the transaction back, if one is open."""
        transaction, self.transaction = self.transaction, None
        if transaction is None or transaction.connection is None:
            return []
        return [_actions.Abandon(transaction.connection, in_transaction=True)]

    def _refuse(self, failure):
        actions = [_actions.Refuse(failure, self.status)]
        if _errors.ANSWERS[failure.kind].fatal:
            actions.append(_actions.Close())
        return actions

    def _note(self, reason, member=""):
        return _actions.RecordRetry(reason, member or self.attempt.member)


def _let_go(connection, answer):
    """Return the action that frees a connection after an error."""
    if answer.status == b"I":
        return _actions.Release(connection)
    return _actions.Abandon(connection, in_transaction=True)


def _decide_loss(attempt, in_transaction, commits):
    found = _decide.Attempt(attempt.phase, not attempt.writes, in_transaction, commits)
    if attempt.beginning:
        found = attrs.evolve(found, phase=_PHASE.NOT_SENT)
    return _decide.decide(found, 0.0, float("-inf"))


_LOCAL = {
    _OP.BEGIN: Session._begin,
    _OP.BEGIN_READ_ONLY: Session._begin,
    _OP.ROLLBACK: Session._rollback,
    _OP.SET: Session._set,
    _OP.PREPARE: Session._prepare,
    _OP.DEALLOCATE: Session._deallocate,
}

_FAILURES = {
    _ERROR.FAILED: _KIND.UPSTREAM_FAILED,
    _ERROR.TIMEOUT: _KIND.UPSTREAM_TIMEOUT,
}
