"""Pools of upstream connections, one for each member."""

import functools

from twisted.internet import defer

from pomelograde.core import pooling, retries, statements
from pomelograde.net import events

LIMIT_LOG_INTERVAL_S = 1.0  # between two log entries on one member
LIMIT_LOG_FACTOR = 2.5  # change of the limit that is logged


class UpstreamOpenError(Exception):
    """Raised when an upstream connection could not be opened.

    Attributes
    ----------
    refused : bool
        Whether the member itself answered, and is therefore alive.
    is_full : bool
        Whether the member refused because its connection limit is reached.
    is_misdirected : bool
        Whether the address has answered under another name.
    """

    def __init__(self, message, refused=False, is_full=False, is_misdirected=False):
        super().__init__(message)
        self.refused = refused
        self.is_full = is_full
        self.is_misdirected = is_misdirected


class RoomGauges:
    """Gauges of the waiters and statements in flight by member.

    Parameters
    ----------
    metrics : Metrics
        Holds the gauges; sets them when they are read.
    pools : dict of str to MemberPool
        Pools by member; those without connections and waiters are left out.
    """

    def __init__(self, metrics, pools):
        self.pools = pools
        self.waiting, self.in_flight, self.limit = (
            metrics.add_gauge(f"pomelograde_member_{name}", documentation, "member")
            for name, documentation in (
                ("waiting", "Statements that wait here for room at a member."),
                ("in_flight", "Statements of this instance that a member has."),
                ("in_flight_limit", "Largest number of such statements."),
            )
        )
        metrics.collectors.append(self.update)

    def update(self):
        """Set the gauges."""
        for gauge in (self.waiting, self.in_flight, self.limit):
            gauge.values.clear()
        for name, pool in self.pools.items():
            core = pool.core
            if core.room is None or not (core.size or core.queue.length):
                continue
            self.waiting.set(core.queue.length, name)
            self.in_flight.set(core.room.in_flight, name)
            self.limit.set(core.room.limiter.limit, name)


class MemberPool:
    """Pool of connections to one member; executes the core pool's actions.

    Parameters
    ----------
    context : InstanceContext
        State and services shared by all tasks of the daemon.
    spec : MemberSpec
        The member; has `name`, `host` and `port`.
    open_connection : callable
        Called with the member and a database role; returns a coroutine of a
        connection, which fails with `UpstreamOpenError`.
    limit : int
        Maximum number of connections from this instance to the member.
    room : Room or None
        Limits the statements in flight; None for no limit.

    Attributes
    ----------
    on_full : callable or None
        Called with this pool when the member's connection limit is reached.
    on_unreachable : callable or None
        Called with this pool when the member did not answer an attempt to connect.
    opening : dict of Deferred to float
        When each connection that is being opened was requested.
    on_open_failed : callable or None
        Called with this pool and the `UpstreamOpenError` when a connection could
        not be opened.
    core : Pool
        Assigns connections to waiters and decides when to open and close them.
    idle, open : set of UpstreamConnection
        Idle connections and all open connections.
    logged_limit, logged_at : float
        Limit of the statements in flight that the log has last, and when.
    """

    def __init__(self, context, spec, open_connection, limit, room=None):
        self.context = context
        self.spec = spec
        self.open_connection = open_connection
        self.on_full = None
        self.on_unreachable = None
        self.opening = {}
        self.on_open_failed = None
        random = None if room is None else context.random
        self.core = pooling.Pool(limit, room=room, random=random)
        self.logged_limit = float(limit)
        self.logged_at = float("-inf")
        self.idle = set()
        self.open = set()
        self.closed = False

    def try_acquire(self, role, priority=0, needs_room=True):
        """Return an idle connection if no waiter is queued, else None.

        Parameters
        ----------
        role : str
            Database role.
        priority : int
            Priority class of the statement.
        needs_room : bool
            Whether the request that it is for takes one of the member's slots.
        """
        connection = self.core.try_acquire(role, priority, needs_room)
        if connection is not None:
            self.idle.discard(connection)
        return connection

    def request(self, waiter):
        """Request a connection.

        Parameters
        ----------
        waiter : Waiter
            Waiter whose context implements `on_connection(connection)` and
            `on_refused(failure)`.
        """
        self._execute_all(self.core.request(waiter, self.context.now()))

    def release(self, connection):
        """Return a connection; it is closed if an answer is outstanding."""
        if connection.is_lost:
            return
        if connection.response_handlers or self.closed:
            self.discard(connection)
            return
        self.idle.add(connection)
        actions = self.core.release(connection, connection.role, self.context.now())
        if actions:
            self._execute_all(actions)

    def discard(self, connection):
        """Close a connection instead of returning it to the pool."""
        if not connection.is_lost:
            connection.close()

    def expire(self, now):
        """Refuse the waiters whose deadline has passed."""
        if self.core.queue.length:
            self._execute_all(self.core.expire(now))

    def close_roles(self, is_owned):
        """Close idle connections of the roles for which `is_owned(role)` is false."""
        self._execute_all(self.core.close_roles(is_owned))

    def resize(self, limit, slots_share=0.0):
        """Change the maximum number of connections, and the share of the slots."""
        if self.core.room is not None:
            self.core.room.limiter.resize(float(limit), slots_share)
            # Only changes that follow from the load are logged.
            self.logged_limit = self.core.room.limiter.limit
        self._execute_all(self.core.resize(limit, self.context.now()))

    def update(self, spec):
        """Apply a changed spec; idle connections to an old address are closed."""
        moved = (spec.host, spec.port) != (self.spec.host, self.spec.port)
        self.spec = spec
        if moved:
            self.drop_idle()

    def refuse_waiters(self, failure=None):
        """Refuse all waiters; without a failure they may try another pool or member."""
        if failure is None:
            kind = retries.ErrorKind.UPSTREAM_UNREACHABLE
            failure = retries.Failure(kind, self.spec.name)
        self._execute_all(self.core.refuse_all(failure))

    def set_gate(self, gate):
        """Limit when connections are assigned, or end the limit with None."""
        self._execute_all(self.core.set_gate(gate, self.context.now()))

    def drop_idle(self):
        """Close all idle connections."""
        for connection in list(self.idle):
            connection.close()

    def abandon(self):
        """Refuse all waiters and close all connections to an unreachable member.

        Notes
        -----
        Refused waiters can try another member. Connections in use are closed
        as well, since their answers would arrive late or never.
        """
        self.refuse_waiters()
        for connection in list(self.open):
            connection.close()

    def close(self):
        """Close the pool; connections in use are closed when returned."""
        self.closed = True
        self.drop_idle()

    def on_sent(self, connection, kind):
        """Count a statement that was sent, of a kind that takes about as long."""
        self.core.send(connection, kind, self.context.now())

    def on_answer(self, connection, answer):
        """Record an answer before it is handled."""
        is_busy = answer.error is statements.UpstreamError.BUSY
        is_failed = answer.error is not None and not is_busy
        self.core.answer(connection, is_busy, self.context.now(), is_failed)

    def on_handled(self, connection):
        """Use the room of a statement whose transaction goes on."""
        if self.core.queue.length:
            self._execute_all(self.core.dispatch(self.context.now()))

    def report_limit(self, now):
        """Log the limit of the statements in flight if it has changed noticeably."""
        room = self.core.room
        if room is None or now - self.logged_at < LIMIT_LOG_INTERVAL_S:
            return
        limit = room.limiter.limit
        if 1.0 / LIMIT_LOG_FACTOR < limit / self.logged_limit < LIMIT_LOG_FACTOR:
            return
        self.logged_limit, self.logged_at = limit, now
        self.context.log.write(
            events.Event.ROOM_LIMIT_CHANGED,
            member=self.spec.name,
            limit=round(limit, 1),
            in_flight=room.in_flight,
            waiting=self.core.queue.length,
            ratio=round(room.limiter.ratio, 1),
        )

    def _execute_all(self, actions):
        for action in actions:
            _execute(action, self)

    def _on_opened(self, connection):
        connection.on_closed = self._on_closed
        if self.core.room is not None:
            connection.observer = self
        now = self.context.now()
        self.context.log.write(events.Event.UPSTREAM_OPENED, member=self.spec.name)
        self.idle.add(connection)
        self.open.add(connection)
        self._execute_all(self.core.opened(connection, connection.role, now))

    def _on_open_failed(self, reason, role):
        reason.trap(UpstreamOpenError)
        text = reason.getErrorMessage()
        self.context.log.write(
            events.Event.UPSTREAM_OPEN_FAILED, member=self.spec.name, reason=text
        )
        failure = retries.Failure(retries.ErrorKind.UPSTREAM_UNREACHABLE, text)
        now = self.context.now()
        if self.on_open_failed is not None and not self.closed:
            self.on_open_failed(self, reason.value)
        if not reason.value.is_full:
            is_silent = not (reason.value.refused or self.closed)
            if is_silent and self.on_unreachable is not None:
                self.on_unreachable(self)
            self._execute_all(self.core.open_failed(role, failure, now))
            return
        self._execute_all(self.core.open_refused(role, failure, now))
        if self.on_full is not None:
            self.on_full(self)

    def _on_closed(self, connection):
        was_idle = connection in self.idle
        self.idle.discard(connection)
        self.open.discard(connection)
        now = self.context.now()
        self._execute_all(self.core.lost(connection, connection.role, was_idle, now))


@functools.singledispatch
def _execute(action, pool):
    raise TypeError(f"unknown action {action!r}")


@_execute.register
def _(action: pooling.Assign, pool):
    pool.idle.discard(action.connection)
    action.waiter.context.on_connection(action.connection)


@_execute.register
def _(action: pooling.Refuse, pool):
    if action.cause and pool.core.room is not None:
        metrics = pool.context.metrics
        metrics.count(metrics.room_refusals, action.cause)
    action.waiter.context.on_refused(action.failure)


@_execute.register
def _(action: pooling.Close, pool):
    pool.idle.discard(action.connection)
    pool.open.discard(action.connection)
    action.connection.on_closed = None
    action.connection.close()


@_execute.register
def _(action: pooling.Open, pool):
    opening = defer.ensureDeferred(pool.open_connection(pool.spec, action.role))
    pool.opening[opening] = pool.context.now()

    def end_opening(found):
        pool.opening.pop(opening, None)
        return found

    opening.addBoth(end_opening)
    opening.addCallback(pool._on_opened)
    opening.addErrback(pool._on_open_failed, action.role)
