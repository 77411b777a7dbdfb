"""Who gets which upstream connection of one member."""

import attrs

from pomelograde.core.pooling import _queue
from pomelograde.core.retries import _errors

MAX_QUEUE_LENGTH = 2000  # waiters for one member


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
    reached, an idle connection of another role is closed to make room.
    """

    def __init__(self, limit, max_queue=MAX_QUEUE_LENGTH):
        self.limit = limit
        self.max_queue = max_queue
        self.queue = _queue.FairQueue()
        self.idle = {}
        self.idle_count = 0
        self.opening = {}
        self.opening_count = 0
        self.busy_count = 0

    @property
    def size(self):
        """Connections held, those being opened included."""
        return self.idle_count + self.opening_count + self.busy_count

    def take_at_once(self, role):
        """Return an idle connection if nobody waits for one, else None."""
        if self.queue.length:
            return None
        return self._take_idle(role)

    def request(self, waiter, now):
        """Ask for a connection; returns the actions to carry out."""
        connection = self.take_at_once(waiter.role)
        if connection is not None:
            return [Assign(waiter, connection)]
        if self.queue.length >= self.max_queue:
            return [Refuse(waiter, _errors.Failure(_errors.ErrorKind.QUEUE_FULL))]
        self.queue.push(waiter)
        return self.dispatch(now)

    def release(self, connection, role, now):
        """Give a healthy connection back; returns the actions to carry out."""
        self.busy_count -= 1
        if self.size >= self.limit:
            return [Close(connection), *self.dispatch(now)]
        if self.queue.length == 0:
            self._put_idle(connection, role)
            return []
        self._put_idle(connection, role)
        return self.dispatch(now)

    def opened(self, connection, role, now):
        """Take in a connection that was opened; returns the actions."""
        self._forget_opening(role)
        self._put_idle(connection, role)
        return self.dispatch(now)

    def open_failed(self, role, failure, now):
        """Note that opening failed; the role's first waiter is refused."""
        self._forget_opening(role)
        waiter = self._first_of_role(role)
        actions = []
        if waiter is not None:
            waiter.abandoned = True
            actions.append(Refuse(waiter, failure))
        return [*actions, *self.dispatch(now)]

    def lost(self, connection, role, was_idle, now):
        """Note that an open connection is gone; returns the actions."""
        if was_idle:
            self._drop_idle(connection, role)
        else:
            self.busy_count -= 1
        return self.dispatch(now)

    def expire(self, now):
        """Refuse the waiters whose deadline has passed."""
        failure = _errors.Failure(_errors.ErrorKind.DEADLINE_BEFORE_RUN)
        return [Refuse(waiter, failure) for waiter in self.queue.expire(now)]

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
                self.queue.pop()
                actions.append(Assign(waiter, connection))
                continue
            if not self._make_room(waiter.role, actions):
                return actions

    def _make_room(self, role, actions):
        """Open a connection for `role` if one more is useful and allowed."""
        if self.opening.get(role, 0) >= self._waiting(role):
            return False
        if self.size >= self.limit:
            if not self.idle_count:
                return False
            actions.append(Close(self._evict(role)))
        self.opening[role] = self.opening.get(role, 0) + 1
        self.opening_count += 1
        actions.append(Open(role))
        return False

    def _waiting(self, role):
        return sum(
            1
            for entry in self.queue.heap
            if entry[2].role == role and not entry[2].abandoned
        )

    def _first_of_role(self, role):
        for _, _, waiter in sorted(self.queue.heap, key=lambda entry: entry[:2]):
            if waiter.role == role and not waiter.abandoned:
                return waiter
        return None

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
        return self.idle[role].pop(0)

    def _forget_opening(self, role):
        self.opening[role] -= 1
        self.opening_count -= 1
