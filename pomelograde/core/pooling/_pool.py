"""Pool of the upstream connections to one member."""

import math

import attrs

from pomelograde.core.limits import _cold_starts
from pomelograde.core.pooling import _priority_queue, _queue, _wait_estimator
from pomelograde.core.retries import _errors

MAX_QUEUE_LENGTH = 2000  # for one member
ROLE_RETENTION_S = 0.03  # time for which a role keeps a connection others wait for
REOPEN_DELAY_S = 0.1  # before a member that had no room for a single one is asked again
RETRY_SPREAD = 0.25  # largest random part of a time to retry after
USE_HORIZON = 300.0  # uses of all roles, after which one use counts for 37 %
MIN_SERVICE_S = 0.002  # before the first answer of a member


@attrs.frozen
class Assign:
    """Hand a connection to a waiter."""

    waiter: _queue.Waiter
    connection: object


@attrs.frozen
class Open:
    """Open a connection that logs in as a database role."""

    role: str


@attrs.frozen
class Close:
    """Close an idle connection."""

    connection: object


@attrs.frozen
class Refuse:
    """Answer a waiter with an error.

    Attributes
    ----------
    cause : str
        Which decision refused it, for the metrics; empty for others than those
        on its time.
    """

    waiter: _queue.Waiter
    failure: _errors.Failure
    cause: str = ""


class RoleUses:
    """Counts how often each role is used; uses of long ago count for less.

    The load that this answers: many more client accounts than connections, of
    which a few send most of the statements. A connection that is used rarely is
    closed before one that is used often, though the rare use was the last one.

    Attributes
    ----------
    total : int
        Number of uses of all roles.
    by_role : dict of str to tuple
        Decayed number of uses, and `total` at the last of them.
    """

    def __init__(self):
        self.total = 0
        self.by_role = {}

    def record(self, role):
        """Record a use."""
        self.by_role[role] = (1.0 + self.count(role), self.total)
        self.total += 1

    def count(self, role):
        """Return the decayed number of uses."""
        count, at = self.by_role.get(role, (0.0, 0))
        return count * math.exp((at - self.total) / USE_HORIZON)


class Pool:
    """Connections of this instance to one member.

    It performs no I/O: the caller carries out the actions that the methods return.

    Parameters
    ----------
    limit : int
        Maximum number of connections, including those being opened.
    max_queue : int
        Maximum number of waiters.
    room : Room or None
        Limits the statements in flight; None for no limit but that of the
        connections.
    random : random.Random or None
        Spreads the times after which refused callers return; required with
        `room`.

    Attributes
    ----------
    gate : ColdPace or None
        Limits when connections are assigned, as the member is cold; None for no
        limit.
    uses : RoleUses
        How often the connections of each role are used.

    Notes
    -----
    With `room`, waiters are ordered by priority and refused once no answer can
    reach their callers in useful time.

    A connection keeps its database role until it is closed. When the limit is
    reached, an idle connection of another role is closed to make room for a
    new one, of the role that uses its own least. If the role of a connection has
    waiters, too, they may use it for `ROLE_RETENTION_S` after it was opened, so
    that the cost of opening is spread over several statements.

    A waiter whose expected wait exceeds its deadline is refused immediately. So
    is every waiter while the member has no room for a single connection; it is
    told when the member is asked again.
    """

    def __init__(self, limit, max_queue=MAX_QUEUE_LENGTH, room=None, random=None):
        self.limit = limit
        self.max_queue = max_queue
        self.room = room
        self.random = random
        self.queue = (
            _queue.FairQueue() if room is None else _priority_queue.PriorityQueue()
        )
        self.wait_estimator = _wait_estimator.WaitEstimator()
        self.class_estimators = {}
        self.idle = {}
        self.idle_count = 0
        self.opening = {}
        self.opening_count = 0
        self.busy_count = 0
        self.opened_at = {}
        self.reopen_at = float("-inf")
        self.gate = None
        self.uses = RoleUses()

    @property
    def size(self):
        """Number of connections, including those being opened."""
        return self.idle_count + self.opening_count + self.busy_count

    def try_acquire(self, role, priority=0, needs_room=True):
        """Return an idle connection, or None if there is none or others wait.

        Parameters
        ----------
        role : str
            Database role.
        priority : int
            Priority class of the statement.
        needs_room : bool
            Whether the request that it is for takes one of the member's slots.
        """
        if self.queue.length or self.gate is not None:
            return None
        if self.room is None or not needs_room:
            return self._take_idle(role)
        if not self.room.has_space():
            return None
        connection = self._take_idle(role)
        if connection is not None:
            self.room.assign(connection, priority)
        return connection

    def request(self, waiter, now):
        """Request a connection for a waiter; returns the actions to carry out."""
        connection = self.try_acquire(waiter.role, waiter.priority)
        if connection is not None:
            return [Assign(waiter, connection)]
        failure = self._check_reopening(now) or self._check_gate(waiter, now)
        if failure is not None:
            return [Refuse(waiter, failure)]
        if self.room is not None:
            self._classify(waiter, now)
        refusal = self._check_admission(waiter, now)
        if refusal is not None:
            return [refusal]
        if self.gate is not None:
            waiter.deadline -= _cold_starts.RUN_TIME_S
        self.queue.push(waiter, by_priority=self.gate is not None)
        return self.dispatch(now)

    def send(self, connection, kind, now):
        """Record that a statement is sent on a connection in use.

        Parameters
        ----------
        connection : object
            The connection.
        kind : object
            Statements of one kind take about as long; None if the time of this
            one isn't compared.
        now : float
            Monotonic seconds.
        """
        self.room.send(connection, kind, now)

    def answer(self, connection, is_busy, now, is_failed=False):
        """Record an answer; the room that it frees is used by `dispatch`.

        Parameters
        ----------
        connection : object
            Connection that the statement was sent on.
        is_busy : bool
            Whether the member refused the statement for lack of room.
        now : float
            Monotonic seconds.
        is_failed : bool
            Whether it is another error.
        """
        accounts = self.queue.account_count
        self.room.answer(connection, is_busy, accounts, now, is_failed)

    def release(self, connection, role, now):
        """Put a healthy connection back; returns the actions to carry out."""
        self.busy_count -= 1
        if self.room is not None:
            self.room.release(connection)
        if self.size >= self.limit:
            self.opened_at.pop(connection, None)
            return [Close(connection), *self.dispatch(now)]
        self._put_idle(connection, role)
        if self.queue.length == 0:
            return []
        return self.dispatch(now)

    def opened(self, connection, role, now):
        """Add a connection that was opened; returns the actions to carry out."""
        self._decrement_opening(role)
        self.opened_at[connection] = now
        self._put_idle(connection, role)
        return self.dispatch(now)

    def open_failed(self, role, failure, now):
        """Handle a failure to open a connection; refuses the role's next waiter."""
        self._decrement_opening(role)
        waiter = self.queue.pop_role(role)
        refusals = [] if waiter is None else [Refuse(waiter, failure)]
        return [*refusals, *self.dispatch(now)]

    def open_refused(self, role, failure, now):
        """Handle that the member has reached its own connection limit.

        Notes
        -----
        The limit is lowered to the current number of connections, which go on
        to serve the waiters. Without any, all waiters are refused, and the member
        is not asked again before `REOPEN_DELAY_S` has passed.
        """
        self._decrement_opening(role)
        self.limit = max(1, self.size)
        if self.size:
            return self.dispatch(now)
        self.reopen_at = now + REOPEN_DELAY_S
        return self.refuse_all(attrs.evolve(failure, retry_after_s=REOPEN_DELAY_S))

    def lost(self, connection, role, was_idle, now):
        """Remove a connection that was closed; returns the actions to carry out."""
        self.opened_at.pop(connection, None)
        if self.room is not None:
            self.room.release(connection)
        if was_idle:
            self._drop_idle(connection, role)
        else:
            self.busy_count -= 1
        return self.dispatch(now)

    def expire(self, now):
        """Refuse waiters whose time has passed, and serve those due at a cold member.

        With room, their useful time ends it as well as their deadline.
        """
        failure = _errors.Failure(_errors.ErrorKind.DEADLINE_BEFORE_RUN)
        refusals = [
            Refuse(waiter, failure, "deadline") for waiter in self.queue.expire(now)
        ]
        if self.room is not None:
            for waiter in self.queue.expire_useless(now):
                wait_s = self._expected_wait_s(waiter, now)
                refusal = self._refuse_for_room(waiter, wait_s, "useful time", now)
                refusals.append(refusal)
        return refusals if self.gate is None else [*refusals, *self.dispatch(now)]

    def set_gate(self, gate, now):
        """Limit when connections are assigned; returns the actions to carry out."""
        self.gate = gate
        if gate is not None and not gate.is_owner:
            kind = _errors.ErrorKind.UPSTREAM_UNREACHABLE
            return self.refuse_all(_errors.Failure(kind))
        return self.dispatch(now)

    def refuse_all(self, failure):
        """Refuse all waiters; returns the actions to carry out."""
        refusals = []
        while (waiter := self.queue.pop()) is not None:
            refusals.append(Refuse(waiter, failure))
        return refusals

    def close_roles(self, is_owned):
        """Close idle connections of roles that belong to other instances now.

        Parameters
        ----------
        is_owned : callable
            Called with a role; returns whether this instance owns its connections.

        Returns
        -------
        list of Close
            The connections to close.

        Notes
        -----
        While an owner does not answer, other instances open connections in its
        place. If they kept them, a member would soon have no room left.
        """
        closed = []
        for role, connections in self.idle.items():
            if connections and not is_owned(role):
                closed.extend(connections)
                connections.clear()
        self.idle_count -= len(closed)
        for connection in closed:
            self.opened_at.pop(connection, None)
        return [Close(connection) for connection in closed]

    def resize(self, limit, now):
        """Change the limit; returns the actions to carry out."""
        self.limit = limit
        actions = []
        while self.size > limit and self.idle_count:
            actions.append(Close(self._evict(None)))
        return [*actions, *self.dispatch(now)]

    def dispatch(self, now):
        """Assign connections to waiters; returns the actions to carry out."""
        actions = []
        while True:
            waiter = self.queue.peek()
            if waiter is None or not self._has_space():
                return actions
            if self.gate is not None and self._gate_wait_s(actions, now):
                if not self.idle_count and not self.opening_count:
                    self._open_next(actions)
                return actions
            connection = self._take_idle(waiter.role)
            if connection is not None:
                actions.append(self._assign(self.queue.pop(), connection, now))
                continue
            assigned = self._serve_retained_role(waiter.role, now)
            if assigned is not None:
                actions.append(assigned)
                continue
            self._open_next(actions)
            return actions

    def _has_space(self, further=0):
        return self.room is None or self.room.has_space(further)

    def _check_reopening(self, now):
        """Return a Failure while the member accepts no connection, otherwise None."""
        if self.size or now >= self.reopen_at:
            return None
        return _errors.Failure(
            _errors.ErrorKind.UPSTREAM_UNREACHABLE,
            retry_after_s=self.reopen_at - now,
        )

    def _gate_wait_s(self, actions, now):
        """Return the time until the next waiter may start, after those of `actions`."""
        starting = sum(isinstance(action, Assign) for action in actions)
        return self.gate.wait_s(now, self.busy_count, starting)

    def _check_gate(self, waiter, now):
        """Return why a waiter can't wait for a cold member, or None if it can.

        Notes
        -----
        One that another member may serve does not wait.
        """
        if self.gate is None:
            return None
        wait_s = self.gate.expected_wait_s(now, self.busy_count, self.queue.length)
        if not wait_s:
            return None
        if not self.gate.is_owner:
            return _errors.Failure(_errors.ErrorKind.UPSTREAM_UNREACHABLE)
        if waiter.has_alternative:
            kind = _errors.ErrorKind.UPSTREAM_UNREACHABLE
            return _errors.Failure(kind, retry_after_s=wait_s)
        if now + wait_s > waiter.deadline - _cold_starts.RUN_TIME_S:
            return _errors.Failure(_errors.ErrorKind.QUEUE_FULL, retry_after_s=wait_s)
        return None

    def _classify(self, waiter, now):
        """Choose the class of a waiter; one that is late anyway goes behind others.

        Notes
        -----
        This answers the load after a takeover: statements that have waited for
        its end arrive together. A late answer is still worth something to their
        callers, and a new attempt would be later still. One that only the pace of
        a cold member makes late waits in the class of its priority.
        """
        service_s = max(MIN_SERVICE_S, self.room.service_s)
        is_late = now + service_s >= waiter.useful_until
        gate_s = 0.0 if self.gate is None else self.gate.wait_s(now, self.busy_count)
        if is_late or now + gate_s + service_s >= waiter.useful_until:
            waiter.useful_until = float("inf")
        self.queue.classify(waiter, is_late)

    def _check_admission(self, waiter, now):
        """Return the Refuse of a waiter that can't be queued, or None if it can."""
        wait_s = self._expected_wait_s(waiter, now)
        if self.queue.length >= self.max_queue:
            return self._refuse_for_room(waiter, wait_s, "queue length", now)
        if self.room is None:
            is_late = now + wait_s > waiter.deadline
            return self._refuse_for_room(waiter, wait_s, "", now) if is_late else None
        if not wait_s:
            return None
        answer_at = now + wait_s + self.room.service_s
        if answer_at > waiter.deadline:
            return self._refuse_for_room(waiter, wait_s, "deadline", now)
        if answer_at > waiter.useful_until:
            return self._refuse_for_room(waiter, wait_s, "useful time", now)
        return None

    def _refuse_for_room(self, waiter, wait_s, cause, now):
        """Return the Refuse of a waiter that others are served before.

        Notes
        -----
        Callers that are refused together return spread over a time, not at once.
        Waiters with the same time limit have all left when this one's is over.
        """
        if self.room is not None:
            wait_s = max(min(wait_s, waiter.deadline - now), self.room.service_s)
            wait_s *= 1.0 + RETRY_SPREAD * self.random.random()
        failure = _errors.Failure(_errors.ErrorKind.QUEUE_FULL, retry_after_s=wait_s)
        return Refuse(waiter, failure, cause)

    def _expected_wait_s(self, waiter, now):
        """Return the expected wait of one more waiter in seconds."""
        if self.room is None:
            return self.wait_estimator.expected_wait_s(
                self.queue.count_account(waiter.account), len(self.queue.by_account)
            )
        if not self.queue.length:
            return 0.0
        estimator = self.class_estimators.get(waiter.turn_class)
        turn_s = None if estimator is None else estimator.turn_s(now)
        if turn_s is None:
            turns = self.queue.count_turns(waiter.account, waiter.turn_class)
            return turns * self.room.turn_s
        return turn_s * (1 + self.queue.count_ahead(waiter.account, waiter.turn_class))

    def _assign(self, waiter, connection, now):
        if self.room is None:
            self.wait_estimator.record(now, self.queue.length == 0)
            return Assign(waiter, connection)
        self.room.assign(connection, waiter.priority)
        estimator = self.class_estimators.get(waiter.turn_class)
        if estimator is None:
            estimator = _wait_estimator.TurnEstimator()
            self.class_estimators[waiter.turn_class] = estimator
        estimator.record(now, not self.queue.count_accounts(waiter.turn_class))
        return Assign(waiter, connection)

    def _serve_retained_role(self, next_role, now):
        """Assign an idle connection of a role that is not next in the queue.

        A connection opened less than `ROLE_RETENTION_S` ago may still go to a
        waiter of its own role, although another role is next.
        """
        if self.size < self.limit:
            return None
        for role, connections in self.idle.items():
            if role == next_role or not connections:
                continue
            held_s = now - self.opened_at.get(connections[-1], now)
            if held_s >= ROLE_RETENTION_S:
                continue
            waiter = self.queue.pop_role(role)
            if waiter is not None:
                return self._assign(waiter, self._take_idle(role), now)
        return None

    def _open_next(self, actions):
        """Open a connection for the first role that needs one more.

        Notes
        -----
        At the limit, no second connection is opened for a role while one is
        being opened, so that the next one goes to another role.
        """
        at_limit = self.size >= self.limit
        if at_limit and not self.idle_count:
            return
        if not self._has_space(self.opening_count):
            return
        for role in self.queue.roles():
            opening = self.opening.get(role, 0)
            if opening >= (1 if at_limit else self.queue.count_role(role)):
                continue
            if at_limit:
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
        self.uses.record(role)
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
        roles = [
            r for r, connections in self.idle.items() if connections and r != keep_role
        ]
        role = min(
            roles,
            key=lambda r: self.uses.count(r) / len(self.idle[r]),
            default=keep_role,
        )
        self.idle_count -= 1
        connection = self.idle[role].pop(0)
        self.opened_at.pop(connection, None)
        return connection

    def _decrement_opening(self, role):
        self.opening[role] -= 1
        self.opening_count -= 1
