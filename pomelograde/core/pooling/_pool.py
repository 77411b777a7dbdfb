"""Who gets which upstream connection of one member."""

import attrs

from pomelograde.core.pooling import _pace, _queue
from pomelograde.core.retries import _errors

MAX_QUEUE_LENGTH = 2000  # waiters for one member
ROLE_RETENTION_S = 0.03  # time that a role keeps a connection others wait for


@attrs.frozen
class Assign:
    """Give a connection to a waiter."""

    waiter: _queue.Waiter
    connection: object


@attrs.frozen
class Open:
    """Open a connection with a database role."""

    role: str


@attrs.frozen
class Close:
    """Close an idle connection."""

    connection: object


@attrs.frozen
class Refuse:
    """Answer a waiter with an error."""

    waiter: _queue.Waiter
    failure: _errors.Failure


class Pool:
    """Connections of this instance to one member.

    Parameters
    ----------
    limit : int
        Most connections that this instance may hold, those being opened
        included.
    max_queue : int
        Most waiters.

    Notes
    -----
    A connection belongs to one database role for its life. When the limit is
    reached, an idle connection of another role is closed to make room. A role
    that has waiters of its own keeps a connection for `ROLE_RETENTION_S` first,
    so that the time for opening is spread over several statements.

    A waiter that can't be served by its deadline, as the queue moves now, is
    refused at once.
    """

    def __init__(self, limit, max_queue=MAX_QUEUE_LENGTH):
        self.limit = limit
        self.max_queue = max_queue
        self.queue = _queue.FairQueue()
        self.pace = _pace.Pace()
        self.idle = {}
        self.idle_count = 0
        self.opening = {}
        self.opening_count = 0
        self.busy_count = 0
        self.opened_at = {}

    @property
    def size(self):
        """Connections held, those being opened included."""
        return self.idle_count + self.opening_count + self.busy_count

    def try_acquire(self, role):
        """Return an idle connection if nobody waits for one, else None."""
        if self.queue.length:
            return None
        return self._take_idle(role)

    def request(self, waiter, now):
        """Ask for a connection; returns the actions to carry out."""
        connection = self.try_acquire(waiter.role)
        if connection is not None:
            return [Assign(waiter, connection)]
        failure = self._forecast(waiter, now)
        if failure is not None:
            return [Refuse(waiter, failure)]
        self.queue.push(waiter)
        return self.dispatch(now)

    def release(self, connection, role, now):
        """Give a healthy connection back; returns the actions to carry out."""
        self.busy_count -= 1
        if self.size >= self.limit:
            self.opened_at.pop(connection, None)
            return [Close(connection), *self.dispatch(now)]
        self._put_idle(connection, role)
        if self.queue.length == 0:
            return []
        return self.dispatch(now)

    def opened(self, connection, role, now):
        """Take in a connection that was opened; returns the actions."""
        self._forget_opening(role)
        self.opened_at[connection] = now
        self._put_idle(connection, role)
        return self.dispatch(now)

    def open_failed(self, role, failure, now):
        """Note that opening failed; the role's first waiter is refused."""
        self._forget_opening(role)
        waiter = self.queue.pop_role(role)
        refusals = [] if waiter is None else [Refuse(waiter, failure)]
        return [*refusals, *self.dispatch(now)]

    def open_refused(self, role, failure, now):
        """Note that the member has no room for a connection more.

        Notes
        -----
        Waiters are served by the connections that there are; without any, the
        role's first waiter is refused.
        """
        self._forget_opening(role)
        self.limit = max(1, self.size)
        if self.size:
            return self.dispatch(now)
        waiter = self.queue.pop_role(role)
        refusals = [] if waiter is None else [Refuse(waiter, failure)]
        return [*refusals, *self.dispatch(now)]

    def lost(self, connection, role, was_idle, now):
        """Note that an open connection is gone; returns the actions."""
        self.opened_at.pop(connection, None)
        if was_idle:
            self._drop_idle(connection, role)
        else:
            self.busy_count -= 1
        return self.dispatch(now)

    def expire(self, now):
        """Refuse the waiters whose deadline has passed."""
        failure = _errors.Failure(_errors.ErrorKind.DEADLINE_BEFORE_RUN)
        return [Refuse(waiter, failure) for waiter in self.queue.expire(now)]

    def refuse_all(self, failure):
        """Refuse all waiters; returns the actions to carry out."""
        refusals = []
        while (waiter := self.queue.pop()) is not None:
            refusals.append(Refuse(waiter, failure))
        return refusals

    def resize(self, limit, now):
        """Change the limit; returns the actions to carry out."""
        self.limit = limit
        actions = []
        while self.size > limit and self.idle_count:
            actions.append(Close(self._evict(None)))
        return [*actions, *self.dispatch(now)]

    def dispatch(self, now):
        """Serve waiters as far as connections allow."""
        actions = []
        while True:
            waiter = self.queue.peek()
            if waiter is None:
                return actions
            connection = self._take_idle(waiter.role)
            if connection is not None:
                actions.append(self._assign(self.queue.pop(), connection, now))
                continue
            assigned = self._serve_within_tenure(waiter.role, now)
            if assigned is not None:
                actions.append(assigned)
                continue
            self._make_room(actions)
            return actions

    def _forecast(self, waiter, now):
        """Return why a waiter can't be queued, or None."""
        kind = _errors.ErrorKind.QUEUE_FULL
        wait_s = self.pace.expect_wait(
            self.queue.count_account(waiter.account), len(self.queue.by_account)
        )
        if self.queue.length >= self.max_queue or now + wait_s > waiter.deadline:
            return _errors.Failure(kind, retry_after_s=wait_s)
        return None

    def _assign(self, waiter, connection, now):
        self.pace.note(now, self.queue.length == 0)
        return Assign(waiter, connection)

    def _serve_within_tenure(self, wanted_role, now):
        """Let a role with waiters use its idle connection a while longer."""
        if self.size < self.limit:
            return None
        for role, connections in self.idle.items():
            if role == wanted_role or not connections:
                continue
            tenure_s = now - self.opened_at.get(connections[-1], now)
            if tenure_s >= ROLE_RETENTION_S:
                continue
            waiter = self.queue.pop_role(role)
            if waiter is not None:
                return self._assign(waiter, self._take_idle(role), now)
        return None

    def _make_room(self, actions):
        """Open a connection for the first role that one is useful for.

        Notes
        -----
        A role that a connection is being opened for has to wait for it when
        connections are scarce, so that another role gets the next one.
        """
        scarce = self.size >= self.limit
        if scarce and not self.idle_count:
            return
        for role in self.queue.roles():
            opening = self.opening.get(role, 0)
            if opening >= (1 if scarce else self.queue.count_role(role)):
                continue
            if scarce:
                actions.append(Close(self._evict(role)))
            self.opening[role] = opening + 1
            self.opening_count += 1
            actions.append(Open(role))
            return

    def _take_idle(self, role):
        connections = self.idle.get(role)
        if not connections:
            return None
        self.idle_count -= 1
        self.busy_count += 1
        return connections.pop()

    def _put_idle(self, connection, role):
        self.idle.setdefault(role, []).append(connection)
        self.idle_count += 1

    def _drop_idle(self, connection, role):
        connections = self.idle.get(role, [])
        if connection in connections:
            connections.remove(connection)
            self.idle_count -= 1

    def _evict(self, keep_role):
        roles = [r for r, found in self.idle.items() if found and r != keep_role]
        role = max(roles, key=lambda r: len(self.idle[r]), default=keep_role)
        self.idle_count -= 1
        connection = self.idle[role].pop(0)
        self.opened_at.pop(connection, None)
        return connection

    def _forget_opening(self, role):
        self.opening[role] -= 1
        self.opening_count -= 1
