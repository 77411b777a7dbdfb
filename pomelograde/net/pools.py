"""Pools of upstream connections, one for each member."""

import functools

from twisted.internet import defer

from pomelograde.core import pooling, retries
from pomelograde.net import events


class UpstreamOpenError(Exception):
    """An upstream connection could not be opened.

    Attributes
    ----------
    refused : bool
        Whether the member itself answered, and so is alive.
    is_full : bool
        Whether it refused because all of its connections are taken.
    """

    def __init__(self, message, refused=False, is_full=False):
        super().__init__(message)
        self.refused = refused
        self.is_full = is_full


class MemberPool:
    """Carries out what the core pool of one member decides.

    Parameters
    ----------
    context : InstanceContext
        Parts of the daemon that all tasks share.
    spec : MemberSpec
        The member; has `name`, `host` and `port`.
    open_connection : callable
        Called with the member and a database role; returns a coroutine of a
        connection, which fails with `UpstreamOpenError`.
    limit : int
        Most connections that this instance may hold to it.

    Attributes
    ----------
    on_full : callable or None
        Called with this pool when the member has no room for a connection.
    """

    def __init__(self, context, spec, open_connection, limit):
        self.context = context
        self.spec = spec
        self.open_connection = open_connection
        self.on_full = None
        self.core = pooling.Pool(limit)
        self.idle = set()
        self.open = set()
        self.closed = False

    def try_acquire(self, role):
        """Return an idle connection if nobody waits for one, else None."""
        connection = self.core.try_acquire(role)
        if connection is not None:
            self.idle.discard(connection)
        return connection

    def request(self, waiter):
        """Ask for a connection.

        Parameters
        ----------
        waiter : Waiter
            Its context must have `on_connection(connection)` and
            `on_refused(failure)`.
        """
        self._run(self.core.request(waiter, self.context.now()))

    def release(self, connection):
        """Give back a connection that has no answer outstanding."""
        if connection.is_lost:
            return
        if connection.response_handlers or self.closed:
            self.discard(connection)
            return
        self.idle.add(connection)
        actions = self.core.release(connection, connection.role, self.context.now())
        if actions:
            self._run(actions)

    def discard(self, connection):
        """Close a connection instead of giving it back."""
        if not connection.is_lost:
            connection.close()

    def expire(self, now):
        """Refuse the waiters whose deadline has passed."""
        if self.core.queue.length:
            self._run(self.core.expire(now))

    def resize(self, limit):
        """Change how many connections this instance may hold."""
        self._run(self.core.resize(limit, self.context.now()))

    def update(self, spec):
        """Take in a changed spec; connections to an old address are dropped."""
        moved = (spec.host, spec.port) != (self.spec.host, self.spec.port)
        self.spec = spec
        if moved:
            self.drop_idle()

    def drop_idle(self):
        """Close all idle connections."""
        for connection in list(self.idle):
            connection.close()

    def abandon(self):
        """Give up on a member that can't be reached.

        Notes
        -----
        All waiters are refused, so that they try elsewhere, and connections
        in use are closed, since their answers would come late or never.
        """
        failure = retries.Failure(
            retries.ErrorKind.UPSTREAM_UNREACHABLE, self.spec.name
        )
        self._run(self.core.refuse_all(failure))
        for connection in list(self.open):
            connection.close()

    def close(self):
        """Close the pool; connections in use are closed when given back."""
        self.closed = True
        self.drop_idle()

    def _run(self, actions):
        for action in actions:
            _carry_out(action, self)

    def _on_opened(self, connection):
        connection.on_closed = self._on_closed
        now = self.context.now()
        self.context.log.write(events.Event.UPSTREAM_OPENED, member=self.spec.name)
        self.idle.add(connection)
        self.open.add(connection)
        self._run(self.core.opened(connection, connection.role, now))

    def _on_open_failed(self, reason, role):
        reason.trap(UpstreamOpenError)
        text = reason.getErrorMessage()
        self.context.log.write(
            events.Event.UPSTREAM_OPEN_FAILED, member=self.spec.name, reason=text
        )
        failure = retries.Failure(retries.ErrorKind.UPSTREAM_UNREACHABLE, text)
        now = self.context.now()
        if not reason.value.is_full:
            self._run(self.core.open_failed(role, failure, now))
            return
        self._run(self.core.open_refused(role, failure, now))
        if self.on_full is not None:
            self.on_full(self)

    def _on_closed(self, connection):
        was_idle = connection in self.idle
        self.idle.discard(connection)
        self.open.discard(connection)
        now = self.context.now()
        self._run(self.core.lost(connection, connection.role, was_idle, now))


@functools.singledispatch
def _carry_out(action, pool):
    raise TypeError(f"unknown action {action!r}")


@_carry_out.register
def _(action: pooling.Assign, pool):
    pool.idle.discard(action.connection)
    action.waiter.context.on_connection(action.connection)


@_carry_out.register
def _(action: pooling.Refuse, pool):
    action.waiter.context.on_refused(action.failure)


@_carry_out.register
def _(action: pooling.Close, pool):
    pool.idle.discard(action.connection)
    pool.open.discard(action.connection)
    action.connection.on_closed = None
    action.connection.close()


@_carry_out.register
def _(action: pooling.Open, pool):
    opening = defer.ensureDeferred(pool.open_connection(pool.spec, action.role))
    opening.addCallback(pool._on_opened)
    opening.addErrback(pool._on_open_failed, action.role)
