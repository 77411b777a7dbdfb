"""The task of one caller: carries out what the core's session decides."""

import collections
import functools
import itertools

from pomelograde.core import pooling, retries, statements
from pomelograde.net import events

MAX_WAITING = 64  # statements that a caller may send ahead of their answers

_NUMBERS = itertools.count(1)


class SessionTask:
    """Joins one caller's connection, the core's session and the pools.

    Parameters
    ----------
    context : HostedContext
        Parts of the instance that all tasks share.
    proxy : Proxy
        Groups, pools and rates.
    caller : object
        Connection of the caller: `respond(answer, status)`,
        `refuse(failure, status)` and `finish()`.
    database : str
        Database that the caller named.
    account, key : str
        Client account, and the key that proved it; empty without a key.

    Attributes
    ----------
    core : Session
        Decides.
    waiting : deque of Statement
        Statements that came ahead of the answer to an earlier one.
    """

    def __init__(self, context, proxy, caller, database, account, key):
        self.context = context
        self.proxy = proxy
        self.caller = caller
        self.database = database
        self.account = account
        self.key = key
        self.number = next(_NUMBERS)
        data_centre = context.settings.data_centre
        self.core = statements.Session(account, data_centre, self)
        self.waiting = collections.deque()
        self.current = None
        self.started_at = 0.0
        self.waiter = None
        self.closed = False

    def resolve(self, now):
        """Return the Route in force, or why there is none."""
        return self.proxy.resolve(self.database, self.key, now)

    def check(self, now):
        """Return why statements may not go on, or None."""
        return self.proxy.check(self.database, self.key, now)

    def group(self, service):
        """Return a Group, or None."""
        return self.proxy.groups.get(service)

    def receive(self, statement):
        """Take a statement of the caller."""
        if self.current is not None:
            if len(self.waiting) >= MAX_WAITING:
                self.on_malformed()
                return
            self.waiting.append(statement)
            return
        now = self.context.now()
        self.current = statement
        self.started_at = now
        self.run(self.core.on_statement(statement, now))

    def on_malformed(self):
        """End the session because of a line that is no statement."""
        failure = retries.Failure(retries.ErrorKind.MALFORMED_FRAME)
        self.proxy.note_refusal(self, failure)
        self.caller.refuse(failure, self.core.status)
        self.close()

    def on_closed(self):
        """Let go of everything; the caller is gone."""
        if self.closed:
            return
        self.closed = True
        self.proxy.sessions.discard(self)
        self.run(self.core.on_closed())

    def close(self):
        """End the session."""
        if not self.closed:
            self.caller.finish()
            self.on_closed()

    def sweep(self, now, transaction_idle_s):
        """Give up what has passed its deadline."""
        actions = self.core.expire(now, transaction_idle_s)
        if actions:
            self.run(actions)

    def on_connection(self, connection):
        """Take the connection that the pool gives."""
        self.waiter = None
        if connection.is_remote:
            connection.on_refused = functools.partial(self._on_not_sent, connection)
        connection.on_lost = functools.partial(self._on_connection_lost, connection)
        self.run(self.core.on_connection(connection, self.context.now()))

    def on_refused(self, failure):
        """Take the pool's refusal."""
        self.waiter = None
        self.run(self.core.on_refused(failure, self.context.now()))

    def run(self, actions):
        """Carry out what the core has decided."""
        for action in actions:
            _carry_out(action, self)
        if self.current is None and self.waiting and not self.closed:
            self.receive(self.waiting.popleft())

    def _on_connection_lost(self, connection, outstanding):
        self.proxy.note_answered(connection)
        if not self.closed:
            self.run(self.core.on_connection_lost(self.context.now()))

    def _on_not_sent(self, connection, failure):
        connection.on_lost = None
        self.proxy.note_answered(connection)
        if not self.closed:
            self.run(self.core.on_not_sent(failure, self.context.now()))

    def _on_answer(self, answer):
        if not self.closed:
            self.run(self.core.on_answer(answer, self.context.now()))

    def _on_admission(self, failure, statement):
        if self.closed or self.current is not statement:
            if failure is None:
                self.proxy.rates.refund(self.account)
            return
        now = self.context.now()
        if failure is None:
            self.run(self.core.on_admitted(now))
        else:
            self.run(self.core.on_refused(failure, now))

    def _on_timer(self, statement):
        if not self.closed and self.current is statement:
            self.run(self.core.on_timer(self.context.now()))

    def _finish(self, outcome, digest=None):
        """Note the end of the statement under way."""
        statement, self.current = self.current, None
        self.proxy.note_done(self, statement, outcome, digest)


@functools.singledispatch
def _carry_out(action, task):
    raise TypeError(f"unknown action {action!r}")


@_carry_out.register
def _(action: statements.Admit, task):
    now = task.context.now()
    if not action.account or task.proxy.rates.try_admit(action.account, now):
        task.run(task.core.on_admitted(now))
        return
    waiting = task.proxy.rates.admit(
        action.account, action.deadline, action.max_wait_s, action.priority
    )
    waiting.addCallback(task._on_admission, task.current)


@_carry_out.register
def _(action: statements.RefundRate, task):
    task.proxy.rates.refund(action.account)


@_carry_out.register
def _(action: statements.Acquire, task):
    role = task.account
    remote = task.proxy.connect_remote(action, role)
    if remote is not None:
        task.on_connection(remote)
        return
    pool = task.proxy.pools.get(action.member)
    if pool is None:
        kind = retries.ErrorKind.UPSTREAM_UNREACHABLE
        task.on_refused(retries.Failure(kind, action.member))
        return
    connection = pool.take_at_once(role)
    if connection is not None:
        task.on_connection(connection)
        return
    task.waiter = pooling.Waiter(task.account, role, action.deadline, task)
    pool.request(task.waiter)


@_carry_out.register
def _(action: statements.CancelAcquire, task):
    if task.waiter is not None:
        task.waiter.abandoned = True
        task.waiter = None


@_carry_out.register
def _(action: statements.Begin, task):
    task.proxy.note_sent(action.connection)
    action.connection.begin(
        action.read_only, action.after, action.settings, task._on_answer
    )


@_carry_out.register
def _(action: statements.Execute, task):
    task.proxy.note_sent(action.connection)
    action.connection.execute(
        action.statement,
        action.prepared,
        action.after,
        action.settings,
        task._on_answer,
    )


@_carry_out.register
def _(action: statements.Release, task):
    action.connection.on_lost = None
    task.proxy.release(action.connection)


@_carry_out.register
def _(action: statements.Abandon, task):
    action.connection.on_lost = None
    task.proxy.abandon(action.connection, action.in_transaction)


@_carry_out.register
def _(action: statements.Discard, task):
    action.connection.on_lost = None
    task.proxy.note_answered(action.connection)
    action.connection.close()


@_carry_out.register
def _(action: statements.Respond, task):
    task.caller.respond(action.answer, action.status)
    task._finish("ok", action.answer.digest)


@_carry_out.register
def _(action: statements.Refuse, task):
    task.caller.refuse(action.failure, action.status)
    task.proxy.note_refusal(task, action.failure)
    task._finish(action.failure.kind.value)


@_carry_out.register
def _(action: statements.Close, task):
    task.close()


@_carry_out.register
def _(action: statements.StartTimer, task):
    task.context.reactor.callLater(action.delay_s, task._on_timer, task.current)


@_carry_out.register
def _(action: statements.RecordRetry, task):
    context = task.context
    context.metrics.count(context.metrics.retries, action.reason)
    context.log.write(
        events.Event.STATEMENT_RETRIED,
        id=task.current.request_id.decode("latin-1"),
        session=task.number,
        reason=action.reason,
        member=action.member,
    )
