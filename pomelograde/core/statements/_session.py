"""State machine of one caller's session.

It performs no I/O. Statements that need no upstream are answered locally. For
all others it selects a member, and after each answer decides whether to retry
or to respond to the caller.
"""

import attrs

from pomelograde.core.placement import _homes
from pomelograde.core.retries import _decide, _errors
from pomelograde.core.statements import _actions, _state, _statements

# Largest fraction of the latency objective spent waiting for admission or for a
# member; the rest is left for the statement itself.
MAX_WAIT_FRACTION = 0.25
MEMBER_POLL_INTERVAL_S = 0.01  # half of the usual replication lag
TAKEOVER_POLL_INTERVAL_S = 0.03
# A takeover that takes longer waits for the lease of a silent instance.
USUAL_TAKEOVER_S = 2.0
RUN_TIME_S = 0.1  # of a statement that waits for the end of a takeover
BUSY_RETRY_DELAY_S = 0.02  # about the duration of one statement
MAX_READ_RETRIES = 1  # after a read that failed on a member

_KIND = _errors.ErrorKind
_OP = _statements.Operation
_ERROR = _statements.UpstreamError
_PHASE = _decide.Phase
_EMPTY_ANSWER = _statements.Answer()


class Session:
    """Processes the statements of one caller, one at a time.

    Parameters
    ----------
    account : str
        Client account; empty for a caller without a key. The driver replaces it
        between operations if the key has moved to another account.
    data_centre : str
        Data centre of this instance.
    router : object
        `router.resolve(now)` returns the current Route, or a Failure;
        `router.check(now)` returns a Failure if the session may no longer run
        statements, else None; `router.group(service)` returns the Group, or
        None if the service does not exist.

    Attributes
    ----------
    settings : dict of bytes to bytes
        Settings of the session. Replaced on change and never mutated, because
        connections hold references to it.
    prepared : dict of bytes to Prepared
        Prepared statements, by the name that the caller gave them.
    commit_position : Position or None
        Log position after the session's last commit.
    in_flight : InFlightStatement or None
        The statement being processed.
    last_statement : InFlightStatement or None
        The most recent value of `in_flight`; kept for the log after the
        statement has ended.
    transaction : Transaction or None
        The open transaction.
    retry_budget : RetryBudget or None
        Limits the retries at members; None for no limit.
    tries_other_members : bool
        Whether a read that a member has no room for goes to another one.

    Notes
    -----
    Methods return the actions that the driver has to carry out, in order.

    A transaction is opened on a member only together with its first statement.
    A caller that pauses after BEGIN thus occupies no connection. A first
    statement that did not run can also be retried on another member, because
    the caller has seen no result of the transaction yet.
    """

    def __init__(self, account, data_centre, router):
        self.account = account
        self.data_centre = data_centre
        self.router = router
        self.settings = {}
        self.prepared = {}
        self.commit_position = None
        self.in_flight = None
        self.last_statement = None
        self.transaction = None
        self.retry_budget = None
        self.tries_other_members = False

    @property
    def status(self):
        """Transaction status as reported to the caller: ``I``, ``T`` or ``E``."""
        if self.transaction is None:
            return b"I"
        return b"E" if self.transaction.failed else b"T"

    @property
    def is_idle(self):
        """Whether no statement is in flight and no transaction is open."""
        return self.in_flight is None and self.transaction is None

    def on_statement(self, statement, now):
        """Handle a statement from the caller."""
        if self.transaction is not None and self.transaction.failed:
            return self._on_failed_transaction(statement)
        local = _LOCAL_HANDLERS.get(statement.operation)
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
            return self._run_in_transaction(statement, prepared, writes, now)
        return self._start_operation(statement, prepared, writes, now)

    def on_admitted(self, now):
        """Handle the admission of the statement by the rate limiter."""
        in_flight = self.in_flight
        in_flight.awaiting_grant = False
        in_flight.admitted = True
        if in_flight.statement.operation in (_OP.BEGIN, _OP.BEGIN_READ_ONLY):
            read_only = in_flight.statement.operation is _OP.BEGIN_READ_ONLY
            self.transaction = _state.Transaction(
                read_only, in_flight.route, idle_since=now
            )
            self.in_flight = None
            return [_actions.Respond(_EMPTY_ANSWER, b"T")]
        return self._select_member(now)

    def on_not_granted(self, failure, now):
        """Handle the failure to get a connection or to be admitted."""
        in_flight = self.in_flight
        in_flight.awaiting_grant = False
        if failure.kind is not _KIND.UPSTREAM_UNREACHABLE:
            if self._has_room_elsewhere(failure, now):
                return [self._record_retry("no_room"), *self._select_member(now)]
            return self._fail(failure)
        in_flight.tried.add(in_flight.member)
        in_flight.is_cut_off = failure.path_failed and self._is_cut_off()
        retry_at = now + failure.retry_after_s
        if in_flight.is_cut_off or not failure.path_failed:
            in_flight.retry_at = retry_at
        group = self.router.group(in_flight.route.service)
        if group is not None:
            group.on_refused(in_flight.member, retry_at, now)
        return [self._record_retry("unreachable"), *self._select_member(now)]

    def _is_cut_off(self):
        """Note that no path leads to the member; returns whether no other will do."""
        in_flight = self.in_flight
        in_flight.cut_off.add(in_flight.member)
        group = self.router.group(in_flight.route.service)
        return self._needs_primary() or (
            group is not None and in_flight.cut_off >= set(group.members)
        )

    def on_path_lost(self, now):
        """Select again, as the member may be reached on another path."""
        self.in_flight.awaiting_grant = False
        return [self._record_retry("path"), *self._select_member(now)]

    def _has_room_elsewhere(self, failure, now):
        """Return whether another member may serve what one had no room for.

        Notes
        -----
        The member is added to those tried. The primary is the only one that may
        run a write, so that its refusal is final.
        """
        in_flight = self.in_flight
        if failure.kind is not _KIND.QUEUE_FULL or not self.tries_other_members:
            return False
        if not in_flight.member or self._needs_primary():
            return False
        group = self.router.group(in_flight.route.service)
        if group is None:
            return False
        requirement = group.read_requirement(
            self.commit_position, in_flight.route.max_staleness_s, now
        )
        if requirement is None:
            return False
        in_flight.tried.add(in_flight.member)
        return bool(
            group.rank_members(
                requirement.position,
                self.data_centre,
                now,
                in_flight.tried,
                in_flight.route.regions,
            )
        )

    def on_not_sent(self, failure, now):
        """Handle that the last Begin or Execute was never sent to the member."""
        in_flight = self.in_flight
        in_flight.connection = None
        in_flight.phase = _PHASE.NOT_SENT
        in_flight.awaiting_begin = False
        in_flight.attempts -= 1
        if failure.path_failed:
            return self.on_path_lost(now)
        return self.on_not_granted(failure, now)

    def on_connection(self, connection, now):
        """Handle a connection to the selected member."""
        in_flight = self.in_flight
        in_flight.awaiting_grant = False
        if in_flight.on_primary and not self._may_use_primary(in_flight.member, now):
            return [_actions.Release(connection), *self._select_member(now)]
        if not in_flight.on_primary and not self._may_start_at(in_flight.member):
            return [_actions.Release(connection), *self._select_member(now)]
        in_flight.connection = connection
        if self.transaction is None:
            return self._execute(in_flight.required, now)
        in_flight.awaiting_begin = True
        in_flight.phase = _PHASE.SENT
        in_flight.sent_at = now
        in_flight.attempts += 1
        begin = _actions.Begin(
            connection, self.transaction.read_only, in_flight.required, self.settings
        )
        return [begin]

    def on_answer(self, answer, now):
        """Handle the answer to the last Begin or Execute."""
        in_flight = self.in_flight
        group = self.router.group(in_flight.route.service)
        if group is not None and answer.position is not None:
            group.on_position(in_flight.member, answer.position, in_flight.sent_at)
        if group is not None and group.outliers is not None:
            self._record_answer(group.outliers, answer, now)
        if in_flight.awaiting_begin:
            return self._on_begin_answer(answer, now)
        if self.transaction is not None:
            return self._on_answer_in_transaction(answer, now)
        if answer.error is None:
            return self._on_success(answer, now)
        return self._on_error(answer, now)

    @property
    def may_move(self):
        """Whether the statement in flight may be sent again on another path."""
        in_flight = self.in_flight
        return (
            in_flight is not None
            and in_flight.connection is not None
            and self.transaction is None
            and not in_flight.writes
        )

    def on_connection_lost(self, now, was_sent=True, path_failed=False):
        """Handle the loss of the connection in use.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        was_sent : bool
            Whether the outstanding request may have reached the member.
        path_failed : bool
            Whether the way to the member was lost, so that the member is not
            excluded from further attempts.
        """
        in_flight = self.in_flight
        transaction = self.transaction
        if in_flight is None:
            transaction.connection = None
            transaction.failed = True
            return []
        if not path_failed:
            self._record_loss(in_flight, now)
        in_flight.connection = None
        if not was_sent:
            in_flight.phase = _PHASE.NOT_SENT
        restartable = transaction is None or not transaction.has_run
        commits = in_flight.commits
        # A write inside a transaction is rolled back with the connection.
        repeatable = (
            not was_sent
            or not in_flight.writes
            or (transaction is not None and not commits)
        )
        if restartable and repeatable and self._may_retry(now):
            if not path_failed:
                in_flight.tried.add(in_flight.member)
            return [self._record_retry("lost"), *self._retry(now)]
        return self._fail(_failure_on_loss(in_flight, transaction is not None, commits))

    def on_timer(self, now):
        """Continue after the delay of a StartTimer action."""
        in_flight = self.in_flight
        if in_flight is None or in_flight.awaiting_grant:
            return []
        if in_flight.connection is None:
            return self._select_member(now)
        if in_flight.phase is _PHASE.REFUSED:
            return self._execute_in_transaction(now)
        return []

    def expire(self, now, transaction_idle_s):
        """End a statement past its deadline or a transaction idle for too long.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        transaction_idle_s : float
            Longest time that an open transaction may hold a connection without
            running a statement.
        """
        in_flight = self.in_flight
        transaction = self.transaction
        if in_flight is not None:
            return self._expire_statement() if now >= in_flight.deadline else []
        if transaction is None or transaction.connection is None:
            return []
        if now - transaction.idle_since < transaction_idle_s:
            return []
        return self._fail_transaction()

    def uses_primary(self, service):
        """Return whether the session uses a connection to the service's primary."""
        in_flight = self.in_flight
        if in_flight is not None and in_flight.connection is not None:
            return in_flight.on_primary and in_flight.route.service == service
        transaction = self.transaction
        if transaction is None or transaction.connection is None:
            return False
        return transaction.on_primary and transaction.route.service == service

    def find_idle_member(self):
        """Return service and member of an open transaction between statements.

        Returns
        -------
        tuple of str or None
            None if there is no such transaction, or it has no connection yet.
        """
        transaction = self.transaction
        if self.in_flight is not None or transaction is None:
            return None
        if transaction.connection is None:
            return None
        return transaction.route.service, transaction.member

    def on_member_closed(self):
        """End the transaction at a member to which nothing more may be sent.

        Call only if `find_idle_member` returns that member.
        """
        transaction = self.transaction
        connection, transaction.connection = transaction.connection, None
        transaction.failed = True
        return [_actions.Discard(connection)]

    def on_primary_fenced(self):
        """End the statement or transaction on a primary that is being replaced.

        Call only if `uses_primary` is true for the primary's service.
        """
        in_flight = self.in_flight
        transaction = self.transaction
        if in_flight is None:
            connection, transaction.connection = transaction.connection, None
            transaction.failed = True
            return [_actions.Discard(connection)]
        commits = in_flight.commits
        return self._fail(_failure_on_loss(in_flight, transaction is not None, commits))

    def on_stopping(self):
        """Roll back the open transaction, as the instance is about to stop.

        Call only while no statement is in flight.
        """
        return self._end_transaction()

    def on_stopped(self):
        """End the statement in flight, if there is one, as the instance stops now."""
        in_flight = self.in_flight
        if in_flight is None:
            return []
        kind = self._expiry_kind()
        if kind is _KIND.DEADLINE_BEFORE_RUN:
            kind = _KIND.DRAINING
        elif kind is _KIND.DEADLINE_AFTER_SEND:
            kind = _KIND.DRAINING_IN_FLIGHT
        actions = self._fail(_errors.Failure(kind))
        # The driver closes the session, once it has answered queued statements.
        return [found for found in actions if not isinstance(found, _actions.Close)]

    def on_closed(self):
        """Release all resources after the caller has disconnected."""
        in_flight, self.in_flight = self.in_flight, None
        transaction, self.transaction = self.transaction, None
        actions = []
        if in_flight is not None and in_flight.awaiting_grant:
            actions.append(_actions.CancelPending())
        if in_flight is not None and in_flight.connection is not None:
            in_transaction = transaction is not None
            actions.append(_actions.Abandon(in_flight.connection, in_transaction))
        elif transaction is not None and transaction.connection is not None:
            actions.append(_actions.Abandon(transaction.connection, True))
        return actions

    def _start_operation(self, statement, prepared, writes, now):
        """Start a statement outside a transaction, or a BEGIN."""
        route = self.router.resolve(now)
        if isinstance(route, _errors.Failure):
            return self._refuse(route)
        self._set_in_flight(statement, prepared, writes, route, now)
        group = self.router.group(route.service)
        opens_for_writes = statement.operation is _OP.BEGIN
        if group is not None and not self._is_placeable(group, opens_for_writes):
            return self._fail_unplaceable()
        return self._admit()

    def _set_in_flight(self, statement, prepared, writes, route, now):
        self.in_flight = self.last_statement = _state.InFlightStatement(
            statement, prepared, route, writes, now, now + route.timeout_s
        )

    def _admit(self):
        """Request admission by the client account's rate limiter.

        Notes
        -----
        An account that stays above its rate keeps the queue full, so that each
        of its requests waits for the longest time allowed. The limit leaves
        enough of the latency objective for the statement itself.
        """
        in_flight = self.in_flight
        in_flight.awaiting_grant = True
        route = in_flight.route
        max_wait_s = MAX_WAIT_FRACTION * route.latency_objective_s
        admit = _actions.Admit(
            self.account, in_flight.deadline, max_wait_s, route.priority
        )
        return [admit]

    def _run_in_transaction(self, statement, prepared, writes, now):
        """Run a statement in the open transaction.

        Notes
        -----
        Only the BEGIN of a transaction counts against the rate. The transaction of
        a statement that is refused stays open and failed, so that the statements
        that a caller has sent after it do not run on their own.
        """
        transaction = self.transaction
        failure = self.router.check(now)
        if failure is not None:
            return [*self._fail_transaction(), *self._refuse(failure)]
        self._set_in_flight(statement, prepared, writes, transaction.route, now)
        self.in_flight.admitted = self.in_flight.in_transaction = True
        if transaction.connection is None:
            return self._select_member(now)
        in_flight = self.in_flight
        in_flight.connection = transaction.connection
        in_flight.member = transaction.member
        in_flight.on_primary = transaction.on_primary
        return self._execute_in_transaction(now)

    def _begin(self, statement, now):
        if self.transaction is not None:
            return self._refuse(_errors.Failure(_KIND.INVALID_TRANSACTION_STATE))
        return self._start_operation(statement, None, False, now)

    def _rollback(self, statement, now):
        return [*self._end_transaction(), _actions.Respond(_EMPTY_ANSWER, b"I")]

    def _set(self, statement, now):
        self.settings = {**self.settings, statement.name: statement.value}
        return [_actions.Respond(_EMPTY_ANSWER, self.status)]

    def _prepare(self, statement, now):
        prepared = _statements.Prepared(statement.value, statement.writes)
        self.prepared[statement.name] = prepared
        return [_actions.Respond(_EMPTY_ANSWER, self.status)]

    def _deallocate(self, statement, now):
        self.prepared.pop(statement.name, None)
        return [_actions.Respond(_EMPTY_ANSWER, self.status)]

    def _on_failed_transaction(self, statement):
        if statement.operation is _OP.ROLLBACK:
            self.transaction = None
            return [_actions.Respond(_EMPTY_ANSWER, b"I")]
        return self._refuse(_errors.Failure(_KIND.TRANSACTION_ABORTED))

    def _record_answer(self, outliers, answer, now):
        """Record what an answer says about the member that gave it."""
        in_flight = self.in_flight
        is_own = not getattr(in_flight.connection, "is_remote", False)
        if answer.error in _statements.MEMBER_FAILURES:
            outliers.record_failure(in_flight.member, is_own, True, now)
        elif answer.error is None:
            is_read = not (in_flight.writes or in_flight.awaiting_begin)
            read_s = now - in_flight.sent_at if is_read else None
            outliers.record_success(in_flight.member, is_own, read_s, now)
        elif is_own:
            outliers.record_heard(in_flight.member, now)

    def _record_loss(self, in_flight, now):
        """Record the loss of the connection to a member that a statement ran on.

        Notes
        -----
        The loss of another instance, which owned the connection, says nothing
        about the member.
        """
        connection = in_flight.connection
        is_own = not getattr(connection, "is_remote", False)
        group = self.router.group(in_flight.route.service)
        if (
            group is None
            or group.outliers is None
            or in_flight.phase is not _PHASE.SENT
        ):
            return
        if is_own or connection.is_lost_at_member:
            group.outliers.record_failure(in_flight.member, is_own, False, now)

    def _may_retry(self, now):
        """Return whether the budget allows another attempt at a member."""
        return self.retry_budget is None or self.retry_budget.take(now)

    def _needs_primary(self):
        in_flight = self.in_flight
        if in_flight.route.route_type is _statements.RouteType.PRIMARY:
            return True
        if self.transaction is not None:
            return not self.transaction.read_only
        return in_flight.writes

    def _is_placeable(self, group, opens_for_writes=False):
        """Return whether a member may serve the statement, now or soon."""
        needs_primary = opens_for_writes or self._needs_primary()
        return _homes.is_placeable(group, self.in_flight.route.regions, needs_primary)

    def _fail_unplaceable(self):
        """End a statement that no member may serve, which waiting does not change."""
        kind = _KIND.NO_ALLOWED_MEMBER
        retry_after_s = _errors.ERROR_RESPONSES[kind].retry_after_s
        return self._fail(_errors.Failure(kind, retry_after_s=retry_after_s))

    def _select_member(self, now):
        """Select a member and request a connection to it.

        Notes
        -----
        A read goes to the primary if no known position proves that a replica
        is fresh enough.
        """
        in_flight = self.in_flight
        group = self.router.group(in_flight.route.service)
        if group is None:
            return self._fail(_errors.Failure(_KIND.SERVICE_DELETED))
        if not self._is_placeable(group):
            return self._fail_unplaceable()
        requirement = None
        if not self._needs_primary():
            requirement = group.read_requirement(
                self.commit_position, in_flight.route.max_staleness_s, now
            )
        if requirement is None:
            return self._select_primary(group, now)
        candidates = group.rank_members(
            requirement.position,
            self.data_centre,
            now,
            in_flight.tried,
            in_flight.route.regions,
        )
        if candidates:
            in_flight.required = requirement.position
            in_flight.floor = requirement.floor
            member = candidates[0]
            on_primary = member.name == group.primary
            is_unanswered = group.is_unanswered(member, now)
            if (on_primary or is_unanswered) and self._awaits_replica(
                group, member, now
            ):
                in_flight.tried.clear()
                return [_actions.StartTimer(MEMBER_POLL_INTERVAL_S)]
            if is_unanswered:
                return self._refuse_unanswered(group, member, now)
            return self._acquire(member, on_primary, len(candidates) > 1)
        in_flight.tried.clear()
        if group.is_evacuated(now, in_flight.route.regions):
            return self._fail(_errors.Failure(_KIND.EVACUATED))
        return self._wait_for_member(now, _KIND.SESSION_BEHIND)

    def _select_primary(self, group, now):
        in_flight = self.in_flight
        in_flight.required = None
        member = group.usable_primary(now, in_flight.route.regions)
        if member is not None and member.name not in in_flight.tried:
            if group.is_unanswered(member, now):
                return self._refuse_unanswered(group, member, now)
            return self._acquire(member, True)
        in_flight.tried.clear()
        if group.is_primary_blocked:
            return self._wait_for_takeover(group, now)
        if group.is_primary_closed(now):
            return self._fail(_errors.Failure(_KIND.EVACUATED))
        return self._wait_for_member(now, _KIND.NO_PRIMARY)

    def _awaits_replica(self, group, member, now):
        """Return whether a read waits for another member than an ejected one.

        Notes
        -----
        This answers the load when a primary fails many statements while the
        replicas lag, which they usually do for shorter than this.
        """
        in_flight = self.in_flight
        others = [found for found in group.members.values() if found is not member]
        if not group.is_ejected(member) or all(
            group.is_ejected(found) or found.leaving for found in others
        ):
            return False
        wait_s = MAX_WAIT_FRACTION * in_flight.route.latency_objective_s
        return now < in_flight.started_at + wait_s

    def _refuse_unanswered(self, group, member, now):
        """Refuse what only a member that answers nobody may serve.

        It waits instead if the member may be back within its objective.
        """
        in_flight = self.in_flight
        retry_after_s = group.outliers.retry_after_s(member.name, now)
        route = in_flight.route
        if now + retry_after_s < in_flight.started_at + route.latency_objective_s:
            return [_actions.StartTimer(TAKEOVER_POLL_INTERVAL_S)]
        has_run = in_flight.attempts and not in_flight.writes
        kind = _KIND.UPSTREAM_LOST if has_run else _KIND.UPSTREAM_UNREACHABLE
        return self._fail(_errors.Failure(kind, member.name, retry_after_s))

    def _wait_for_takeover(self, group, now):
        """Check again after a delay, or fail if it will not end in time.

        Notes
        -----
        This answers the load while a primary is replaced. A caller that is
        refused comes back before the takeover has ended, here or at another
        instance, and has used up its retries after a few rounds, so waiting as
        long as the statement may take serves more callers, and sooner. Once the
        takeover takes longer than usual, the end of it is not near.
        """
        in_flight = self.in_flight
        if now >= group.blocked_since + USUAL_TAKEOVER_S:
            return self._wait_for_member(now, _KIND.NO_PRIMARY)
        if now >= in_flight.deadline - RUN_TIME_S:
            return self._fail(_errors.Failure(_KIND.NO_PRIMARY))
        return [_actions.StartTimer(TAKEOVER_POLL_INTERVAL_S)]

    def _acquire(self, member, on_primary, has_alternative=False):
        in_flight = self.in_flight
        in_flight.member = member.name
        in_flight.on_primary = on_primary
        if on_primary:
            in_flight.required = in_flight.floor = None
        in_flight.awaiting_grant = True
        route = in_flight.route
        acquire = _actions.Acquire(
            route.service,
            member.name,
            on_primary,
            in_flight.deadline,
            route.priority,
            route.regions,
            has_alternative,
            in_flight.started_at + route.latency_objective_s,
        )
        return [acquire]

    def _wait_for_member(self, now, kind):
        """Check again after a delay, or fail if no member became available in time.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        kind : ErrorKind
            Error for the caller once the time is over.

        Notes
        -----
        A statement that was never sent to a member waits for only a part of
        its latency objective, so that the caller can still retry in time
        through this instance or another one.
        """
        in_flight = self.in_flight
        wait_s = MAX_WAIT_FRACTION * in_flight.route.latency_objective_s
        limit = (
            in_flight.deadline if in_flight.attempts else in_flight.started_at + wait_s
        )
        limit = min(limit, in_flight.deadline)
        if now >= limit or (in_flight.is_cut_off and in_flight.retry_at >= limit):
            wait_s = max(0.0, in_flight.retry_at - now) if in_flight.is_cut_off else 0.0
            return self._fail(_errors.Failure(kind, retry_after_s=wait_s))
        delay_s = max(MEMBER_POLL_INTERVAL_S, in_flight.retry_at - now)
        return [_actions.StartTimer(delay_s)]

    def _may_use_primary(self, name, now):
        route = self.in_flight.route
        group = self.router.group(route.service)
        member = None if group is None else group.usable_primary(now, route.regions)
        return member is not None and member.name == name

    def _may_start_at(self, name):
        """Return whether a new statement may be sent to a replica."""
        group = self.router.group(self.in_flight.route.service)
        if group is None or not group.evacuated:
            return True
        member = group.members.get(name)
        return member is None or member.data_centre not in group.evacuated

    def _is_closed(self, name, now):
        group = self.router.group(self.in_flight.route.service)
        return group is not None and group.is_closed(name, now)

    def _may_report_success(self, name, now):
        group = self.router.group(self.in_flight.route.service)
        return group is not None and group.may_report_success(name, now)

    def _execute(self, after, now):
        in_flight = self.in_flight
        in_flight.awaiting_begin = False
        in_flight.phase = _PHASE.SENT
        in_flight.sent_at = now
        in_flight.attempts += 1
        execute = _actions.Execute(
            in_flight.connection,
            in_flight.statement,
            in_flight.prepared,
            after,
            self.settings,
        )
        return [execute]

    def _on_begin_answer(self, answer, now):
        in_flight = self.in_flight
        transaction = self.transaction
        if answer.error is not None:
            return self._on_error(answer, now)
        transaction.connection = in_flight.connection
        transaction.member = in_flight.member
        transaction.on_primary = in_flight.on_primary
        return self._execute_in_transaction(now)

    def _execute_in_transaction(self, now):
        """Execute on the transaction's connection if its member may still be used."""
        in_flight = self.in_flight
        if in_flight.on_primary and not self._may_report_success(in_flight.member, now):
            return self._fail(_errors.Failure(_KIND.TRANSACTION_LOST))
        if self._is_closed(in_flight.member, now):
            return self._fail(_errors.Failure(_KIND.TRANSACTION_LOST))
        return self._execute(None, now)

    def _on_success(self, answer, now):
        in_flight = self.in_flight
        actions = [_actions.Release(in_flight.connection)]
        if self.retry_budget is not None:
            self.retry_budget.on_served()
        if in_flight.writes:
            if not self._may_report_success(in_flight.member, now):
                in_flight.connection = None
                kind = _KIND.ACKNOWLEDGEMENT_LOST
                return [*actions, *self._fail(_errors.Failure(kind))]
            self._advance_commit_position(answer.position)
        self.in_flight = None
        return [*actions, _actions.Respond(answer, b"I")]

    def _advance_commit_position(self, position):
        if position is not None and (
            self.commit_position is None or position > self.commit_position
        ):
            self.commit_position = position

    def _on_error(self, answer, now):
        """Handle an error of a statement that may be retried."""
        in_flight = self.in_flight
        error = answer.error
        member = in_flight.member
        connection, in_flight.connection = in_flight.connection, None
        actions = [_release_action(connection, answer)]
        if self.transaction is not None:
            self.transaction.connection = None
        if error is _ERROR.BEHIND:
            group = self.router.group(in_flight.route.service)
            if group is not None:
                group.on_behind(member, now)
        if error in _statements.NOT_RUN_ERRORS:
            # A replica that lags is left alone by its back-off.
            if error is not _ERROR.BEHIND and not self._may_retry(now):
                return [*actions, *self._fail_not_run()]
            in_flight.tried.add(member)
            retried = self._retry(now, pause=error is not _ERROR.BEHIND)
            return [*actions, self._record_retry(error.value, member), *retried]
        read = not in_flight.writes or in_flight.awaiting_begin
        if (
            error is _ERROR.FAILED
            and read
            and in_flight.failed_reads < MAX_READ_RETRIES
            and self._may_retry(now)
        ):
            in_flight.failed_reads += 1
            in_flight.tried.add(member)
            return [
                *actions,
                self._record_retry(error.value, member),
                *self._retry(now),
            ]
        kind = _KIND_BY_ERROR.get(error, _KIND.UPSTREAM_FAILED)
        return [*actions, *self._fail(_errors.Failure(kind))]

    def _fail_not_run(self):
        """End a statement that a member has refused without running it."""
        in_flight = self.in_flight
        in_flight.phase = _PHASE.NOT_SENT
        in_flight.awaiting_begin = False
        failed_before = in_flight.failed_reads and not in_flight.writes
        kind = _KIND.UPSTREAM_FAILED if failed_before else _KIND.QUEUE_FULL
        response = _errors.ERROR_RESPONSES[kind]
        failure = _errors.Failure(kind, retry_after_s=response.retry_after_s)
        return self._fail(failure)

    def _on_answer_in_transaction(self, answer, now):
        in_flight = self.in_flight
        transaction = self.transaction
        commits = in_flight.statement.operation is _OP.COMMIT
        if answer.error is None and commits:
            self.transaction = None
            if not transaction.read_only:
                return self._on_success(answer, now)
            self.in_flight = None
            return [
                _actions.Release(in_flight.connection),
                _actions.Respond(answer, b"I"),
            ]
        if answer.error is None:
            transaction.has_run = True
            transaction.idle_since = now
            self.in_flight = None
            return [_actions.Respond(answer, b"T")]
        if answer.error is _ERROR.BUSY and answer.status == b"T":
            in_flight.phase = _PHASE.REFUSED
            return [self._record_retry("busy"), _actions.StartTimer(BUSY_RETRY_DELAY_S)]
        if not transaction.has_run and not commits:
            return self._on_error(answer, now)
        return self._on_lost_transaction(answer, commits)

    def _on_lost_transaction(self, answer, commits):
        """Handle an error after which the transaction cannot continue."""
        in_flight = self.in_flight
        connection, in_flight.connection = in_flight.connection, None
        self.transaction.connection = None
        actions = [_release_action(connection, answer)]
        kind = _KIND.TRANSACTION_LOST
        if commits and answer.error not in _statements.NOT_RUN_ERRORS:
            kind = _KIND_BY_ERROR.get(answer.error, _KIND.UPSTREAM_FAILED)
        elif answer.error is _ERROR.FAILED:
            kind = _KIND.UPSTREAM_FAILED
        return [*actions, *self._fail(_errors.Failure(kind))]

    def _retry(self, now, pause=False):
        """Start another attempt, at once or after a delay."""
        in_flight = self.in_flight
        in_flight.phase = _PHASE.NOT_SENT
        in_flight.awaiting_begin = False
        if self.transaction is not None:
            self.transaction.connection = None
        if pause:
            return [_actions.StartTimer(BUSY_RETRY_DELAY_S)]
        return self._select_member(now)

    def _expiry_kind(self):
        """Return the error kind for a statement in flight that may not go on."""
        in_flight = self.in_flight
        in_transaction = self.transaction is not None
        attempt = _decide.Attempt(
            in_flight.phase, not in_flight.writes, in_transaction, in_flight.commits
        )
        return _decide.expiry_kind(attempt)

    def _expire_statement(self):
        in_flight = self.in_flight
        kind = self._expiry_kind()
        if kind is _KIND.DEADLINE_BEFORE_RUN and self._needs_primary():
            group = self.router.group(in_flight.route.service)
            if group is None or group.primary is None:
                kind = _KIND.NO_PRIMARY
        return self._fail(_errors.Failure(kind))

    def _fail(self, failure):
        """End the statement with an error, and fail the transaction it belongs to."""
        in_flight, self.in_flight = self.in_flight, None
        actions = []
        if in_flight.awaiting_grant:
            actions.append(_actions.CancelPending())
        if in_flight.connection is not None:
            actions.append(_actions.Discard(in_flight.connection))
        has_run = self.transaction is not None and self.transaction.has_run
        if in_flight.admitted and not in_flight.attempts and not has_run:
            actions.append(_actions.RefundToken(self.account))
        if self.transaction is not None:
            self.transaction.connection = None
            self.transaction.failed = True
        return [*actions, *self._refuse(failure)]

    def _fail_transaction(self):
        """Roll back the open transaction, which then accepts only ROLLBACK."""
        transaction = self.transaction
        connection, transaction.connection = transaction.connection, None
        transaction.failed = True
        if connection is None:
            return []
        return [_actions.Abandon(connection, in_transaction=True)]

    def _end_transaction(self):
        """Roll back the open transaction, if there is one."""
        transaction, self.transaction = self.transaction, None
        if transaction is None or transaction.connection is None:
            return []
        return [_actions.Abandon(transaction.connection, in_transaction=True)]

    def _refuse(self, failure):
        actions = [_actions.RespondError(failure, self.status)]
        if _errors.ERROR_RESPONSES[failure.kind].fatal:
            actions.append(_actions.Close(failure))
        return actions

    def _record_retry(self, reason, member=""):
        return _actions.RecordRetry(reason, member or self.in_flight.member)


def _release_action(connection, answer):
    """Return the action that gives up a connection after an error answer."""
    if answer.status == b"I":
        return _actions.Release(connection)
    return _actions.Abandon(connection, in_transaction=True)


def _failure_on_loss(in_flight, in_transaction, commits):
    """Return the Failure for a statement whose connection was lost."""
    attempt = _decide.Attempt(
        in_flight.phase, not in_flight.writes, in_transaction, commits
    )
    if in_flight.awaiting_begin:
        # The statement itself is sent only after BEGIN has succeeded.
        attempt = attrs.evolve(attempt, phase=_PHASE.NOT_SENT)
    # A deadline that has already passed rules out a Retry.
    return _decide.decide(attempt, 0.0, float("-inf"))


_LOCAL_HANDLERS = {
    _OP.BEGIN: Session._begin,
    _OP.BEGIN_READ_ONLY: Session._begin,
    _OP.ROLLBACK: Session._rollback,
    _OP.SET: Session._set,
    _OP.PREPARE: Session._prepare,
    _OP.DEALLOCATE: Session._deallocate,
}

_KIND_BY_ERROR = {
    _ERROR.FAILED: _KIND.UPSTREAM_FAILED,
    _ERROR.TIMEOUT: _KIND.UPSTREAM_TIMEOUT,
}
