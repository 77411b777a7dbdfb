"""Sessions of callers: perform the actions that the core session decides on."""

import collections
import functools
import itertools

import attrs

from pomelograde.core import pooling, retries, statements
from pomelograde.net import events

MAX_QUEUED_STATEMENTS = 64  # statements that a caller may pipeline
END_LINGER_S = 1.0  # for callers to close their connections; several round trips

_SESSION_IDS = itertools.count(1)


class SessionTask:
    """Connects a caller, its core session and the pools.

    Parameters
    ----------
    context : HostedContext
        Components that all tasks of the instance share.
    proxy : Proxy
        Groups, pools and rates.
    caller : object
        Connection of the caller; has `respond(answer, status)`,
        `refuse(failure, status)`, `announce_end(failure, status)`,
        `refuse_rest(failure, status)` and `close_gracefully()`.
    database : str
        Database that the caller requested.
    key : str
        Key that authenticates the caller; empty without one.

    Attributes
    ----------
    account : str
        Client account that had the key when the operation began; empty without a
        known key.
    core : Session
        Decides which actions to perform.
    statement : Statement or None
        Statement in progress.
    started_at : float
        When its processing started.
    queued : deque of Statement
        Statements received before the answer to an earlier one.
    fault : Failure or None
        Answer to input that ends the session, once the statements before it have
        been answered; None without such input.
    waiter : Waiter or None
        Request for a connection that the pool has not answered yet.
    session_id : int
        Number of the session in the log.
    ended_at : float or None
        When the caller was told that the session has ended.
    """

    def __init__(self, context, proxy, caller, database, key):
        self.context = context
        self.proxy = proxy
        self.caller = caller
        self.database = database
        self.account = ""
        self.key = key
        self.session_id = next(_SESSION_IDS)
        data_centre = context.settings.data_centre
        self.core = statements.Session("", data_centre, self)
        self._set_account(proxy.find_account(key))
        self.core.tries_other_members = context.settings.shares_members
        self.queued = collections.deque()
        self.fault = None
        self.statement = None
        self.started_at = 0.0
        self.waiter = None
        self.closed = False
        self.ended_at = None

    @property
    def is_idle(self):
        """Whether no statement is being run or queued, and no transaction is open."""
        return self.statement is None and not self.queued and self.core.is_idle

    def resolve(self, now):
        """Return the Route in force, or a Failure if there is none."""
        return self.proxy.resolve(self.database, self.key, now)

    def check(self, now):
        """Return the Failure that keeps statements from running, or None.

        Notes
        -----
        A transaction is open at a member under the account that it began with.
        """
        failure = self.proxy.check(self.database, self.key, now)
        if failure is None and self.proxy.find_account(self.key) != self.account:
            return retries.Failure(retries.ErrorKind.KEY_MOVED)
        return failure

    def group(self, service):
        """Return the Group of a service, or None."""
        return self.proxy.groups.get(service)

    def receive(self, statement):
        """Run a statement of the caller, or queue it behind an earlier one."""
        if self.fault is not None:
            return
        if self.statement is None:
            self._start(statement)
        elif len(self.queued) < MAX_QUEUED_STATEMENTS:
            self.queued.append(statement)
        else:
            self.on_malformed(retries.Failure(retries.ErrorKind.MALFORMED_FRAME))

    def _start(self, statement):
        now = self.context.now()
        account = self.proxy.find_account(self.key)
        if account != self.account and self.core.is_idle:
            self._set_account(account)
        self.statement = statement
        self.started_at = now
        self.proxy.timed_sessions.add(self)
        self.perform(self.core.on_statement(statement, now))

    def on_malformed(self, failure):
        """End the session because of invalid input, after earlier statements.

        Parameters
        ----------
        failure : Failure
            Answer to the input.

        Notes
        -----
        This is also called for too many queued statements. Later input is dropped.
        """
        if self.fault is None:
            self.fault = failure
            if self.statement is None:
                self._end_on_fault()

    def _end_on_fault(self):
        self._refuse_fault()
        self.close("error")

    def _refuse_fault(self):
        fault, self.fault = self.fault, None
        if fault is not None:
            self.caller.refuse(fault, self.core.status)
            self.proxy.record_refusal(self, fault)

    def on_closed(self, reason="caller"):
        """Release all resources after the caller has disconnected.

        Parameters
        ----------
        reason : str
            Why the session ended, for the log.
        """
        if self.closed:
            return
        self.closed = True
        if self.statement is not None or self.queued:
            self.proxy.record_cut_off(self, reason)
        self.proxy.sessions.discard(self)
        self.proxy.timed_sessions.discard(self)
        self.perform(self.core.on_closed())

    def close(self, reason):
        """End the session.

        Parameters
        ----------
        reason : str
            Why it ends, for the log.
        """
        if not self.closed:
            self.caller.close_gracefully()
            self.on_closed(reason)

    def end(self, failure):
        """End the idle session without cutting off a request that is on its way.

        The caller closes the connection, or this instance after `END_LINGER_S`.

        Parameters
        ----------
        failure : Failure
            Why the session ends.
        """
        if not self.closed and self.ended_at is None:
            self.ended_at = self.context.now()
            self.proxy.timed_sessions.add(self)
            self.caller.announce_end(failure, self.core.status)

    def end_transaction(self):
        """End an open transaction and the session, unless a statement is running."""
        if self.statement is None and self.core.transaction is not None:
            self.perform(self.core.on_stopping())

    def stop(self, failure):
        """Answer what has been received with an error, and end the session.

        Parameters
        ----------
        failure : Failure
            Answer to the statements that are queued.

        Returns
        -------
        int
            Number of statements that were answered.
        """
        queued, self.queued = self.queued, collections.deque()
        fault, self.fault = self.fault, None
        count = len(queued) + (self.statement is not None)
        self.ended_at = self.context.now()  # The answers tell, not an announcement.
        self.perform(self.core.on_stopped())
        self.queued = queued
        self.fault = fault
        self.refuse_queued(failure)
        self.close("stop")
        return count

    def refuse_queued(self, failure):
        """Answer the statements that are queued, and input behind them, with errors."""
        while self.queued:
            self.queued.popleft()
            self.caller.refuse(failure, self.core.status)
            self.proxy.record_refusal(self, failure)
        self._refuse_fault()

    def sweep(self, now, transaction_idle_s):
        """Apply the time limits of the operation and of the end of the session."""
        if self.ended_at is None and self.is_idle:
            self.proxy.timed_sessions.discard(self)
            return
        if self.ended_at is not None and now - self.ended_at >= END_LINGER_S:
            self.close("time")
            return
        actions = self.core.expire(now, transaction_idle_s)
        if actions:
            self.perform(actions)

    def on_connection(self, connection):
        """Handle a connection that was obtained."""
        self.waiter = None
        if connection.is_remote:
            connection.on_refused = functools.partial(self._on_not_sent, connection)
        connection.on_lost = functools.partial(self._on_connection_lost, connection)
        self.perform(self.core.on_connection(connection, self.context.now()))

    def on_refused(self, failure):
        """Handle the refusal of a connection."""
        self.waiter = None
        if self.proxy.placing is not None:
            self.proxy.placing.on_own_refusal(self)
        now = self.context.now()
        if failure.path_failed and self.core.in_flight.on_primary:
            self.perform(self.core.on_path_lost(now))
        else:
            failure = attrs.evolve(failure, path_failed=False)
            self.perform(self.core.on_not_granted(failure, now))

    def on_path_lost(self, member):
        """Move a read that waits for a member's answer to another path."""
        connection = self.core.may_move and self.core.in_flight.connection
        if not connection or connection.is_remote or connection.member != member:
            return
        connection.on_lost = None
        connection.close()
        self.proxy.clear_outstanding(connection)
        now = self.context.now()
        on_primary = self.core.in_flight.on_primary
        self.perform(self.core.on_connection_lost(now, path_failed=on_primary))

    def give_up_read(self, member):
        """Retry a read that waits for a silent member, if it may be repeated."""
        in_flight = self.core.in_flight
        connection = None if in_flight is None else in_flight.connection
        is_read = in_flight is not None and not in_flight.writes
        if connection is None or connection.is_remote or not is_read:
            return
        if connection.member == member and self.core.transaction is None:
            connection.on_lost = None
            self.proxy.clear_outstanding(connection)
            self.proxy.abandon(connection, False)
            self.perform(self.core.on_connection_lost(self.context.now()))

    def perform(self, actions):
        """Perform the actions that the core session decided on."""
        for action in actions:
            _execute(action, self)
        if self.statement is not None or self.closed:
            return
        if self.queued:
            self._start(self.queued.popleft())
        elif self.fault is not None:
            self._end_on_fault()
        elif self.proxy.is_ending_transactions and self.core.transaction is not None:
            self.end_transaction()
        elif self.proxy.is_refusing and self.is_idle:
            self.end(retries.Failure(retries.ErrorKind.DRAINING))

    def _on_connection_lost(self, connection, outstanding):
        self.proxy.clear_outstanding(connection)
        if self.closed:
            return
        is_remote = connection.is_remote
        self.perform(
            self.core.on_connection_lost(
                self.context.now(),
                was_sent=connection.is_sent,
                path_failed=is_remote and connection.is_path_lost,
            )
        )

    def _on_not_sent(self, connection, failure):
        connection.on_lost = None
        self.proxy.clear_outstanding(connection)
        if not self.closed:
            self.perform(self.core.on_not_sent(failure, self.context.now()))

    def _on_answer(self, answer):
        if not self.closed:
            if self.proxy.placing is not None:
                self.proxy.placing.on_own_answer(self, answer)
            self.proxy.read_log.record(self.core, answer)
            self.perform(self.core.on_answer(answer, self.context.now()))

    def _set_account(self, account):
        """Run the next operations on behalf of a client account."""
        self.account = self.core.account = account
        if self.proxy.health is not None:
            self.core.retry_budget = self.proxy.health.retry_budget(
                account, self.database
            )

    def _on_admission(self, failure, statement, account):
        if self.closed or self.statement is not statement:
            if failure is None:
                self.proxy.rates.refund(account)
            return
        now = self.context.now()
        if failure is None:
            self.perform(self.core.on_admitted(now))
        else:
            self.perform(self.core.on_not_granted(failure, now))

    def _on_timer(self, statement):
        if not self.closed and self.statement is statement:
            self.perform(self.core.on_timer(self.context.now()))

    def _finish_statement(self, outcome, digest=None):
        """Record the end of the statement in progress."""
        statement, self.statement = self.statement, None
        self.proxy.record_done(self, statement, outcome, digest)


@functools.singledispatch
def _execute(action, task):
    raise TypeError(f"unknown action {action!r}")


@_execute.register
def _(action: statements.Admit, task):
    now = task.context.now()
    if not action.account or task.proxy.rates.try_admit(action.account, now):
        task.perform(task.core.on_admitted(now))
        return
    waiting = task.proxy.rates.admit(
        action.account, action.deadline, action.max_wait_s, action.priority
    )
    waiting.addCallback(task._on_admission, task.statement, action.account)


@_execute.register
def _(action: statements.RefundToken, task):
    task.proxy.rates.refund(action.account)


@_execute.register
def _(action: statements.Acquire, task):
    role = task.account
    remote = task.proxy.connect_remote(action, role)
    if remote is not None:
        remote.kind = task.database
        task.on_connection(remote)
        return
    failure = task.proxy.relay.check_path(action.member)
    if failure is not None:
        now = task.context.now()
        task.perform(task.core.on_not_granted(failure, now))
        return
    pool = task.proxy.pools.get(action.member)
    if pool is None:
        kind = retries.ErrorKind.UPSTREAM_UNREACHABLE
        task.on_refused(retries.Failure(kind, action.member))
        return
    connection = pool.try_acquire(role, action.priority)
    if connection is not None:
        task.on_connection(connection)
        return
    task.waiter = pooling.Waiter(
        task.account,
        role,
        action.deadline,
        task,
        priority=action.priority,
        has_alternative=action.has_alternative,
        useful_until=action.useful_until,
    )
    pool.request(task.waiter)


@_execute.register
def _(action: statements.CancelPending, task):
    if task.waiter is not None:
        task.waiter.abandoned = True
        task.waiter = None


@_execute.register
def _(action: statements.Begin, task):
    task.proxy.mark_outstanding(action.connection)
    action.connection.begin(
        action.read_only, action.after, action.settings, task._on_answer
    )


@_execute.register
def _(action: statements.Execute, task):
    task.proxy.mark_outstanding(action.connection)
    action.connection.execute(
        action.statement,
        action.prepared,
        action.after,
        action.settings,
        task._on_answer,
    )


@_execute.register
def _(action: statements.Release, task):
    action.connection.on_lost = None
    task.proxy.release(action.connection)


@_execute.register
def _(action: statements.Abandon, task):
    action.connection.on_lost = None
    task.proxy.abandon(action.connection, action.in_transaction)


@_execute.register
def _(action: statements.Discard, task):
    action.connection.on_lost = None
    task.proxy.clear_outstanding(action.connection)
    action.connection.close()


@_execute.register
def _(action: statements.Respond, task):
    task.caller.respond(action.answer, action.status)
    task._finish_statement("ok", action.answer.digest)


@_execute.register
def _(action: statements.RespondError, task):
    task.caller.refuse(action.failure, action.status)
    task.proxy.record_refusal(task, action.failure)
    task._finish_statement(action.failure.kind.value)


@_execute.register
def _(action: statements.Close, task):
    task.refuse_queued(action.failure)
    task.caller.refuse_rest(action.failure, task.core.status)
    task.close("error")


@_execute.register
def _(action: statements.StartTimer, task):
    task.context.reactor.callLater(action.delay_s, task._on_timer, task.statement)


@_execute.register
def _(action: statements.RecordRetry, task):
    context = task.context
    context.metrics.count(context.metrics.retries, action.reason)
    context.log.write(
        events.Event.STATEMENT_RETRIED,
        id=task.statement.request_id.decode("latin-1"),
        session=task.session_id,
        reason=action.reason,
        member=action.member,
    )
