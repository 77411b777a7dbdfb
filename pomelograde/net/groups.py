"""One task for each database group: its members, pools and acknowledgements."""

import attrs
from twisted.internet import defer, task

from pomelograde.core import failover, pooling, retries, routing, sessions
from pomelograde.net import events, pools, upstream

SYSTEM_ROLE = "pomelograde"
WATCH_INTERVAL_S = 0.25
SWEEP_INTERVAL_S = 0.05
ACKNOWLEDGE_WAIT_MS = 1000
STATUS_QUERY = "SELECT * FROM pomelograde.status()"


@attrs.frozen
class PrimaryChanged:
    """Another primary is known for a group.

    Attributes
    ----------
    group : str
        Name of the database service.
    term : int
        Term of the primary.
    primary : str or None
        Its name, or None while there is none.
    """

    group: str
    term: int
    primary: str | None


@attrs.define(eq=False)
class PendingAcknowledgement:
    """A write that waits until a majority of members holds it."""

    position: sessions.Position
    deadline: float
    done: defer.Deferred = attrs.field(factory=defer.Deferred)


class GroupTask:
    """Owns the pools, the view and the acknowledgements of a group.

    Parameters
    ----------
    context : InstanceContext
        Parts of the daemon that all tasks share.
    name : str
        Name of the database service.
    spec : DatabaseService
        The service.

    Attributes
    ----------
    view : GroupView
        What is known of the group.
    pools : dict of str to MemberPool
        Pools by member.
    listeners : list of callable
        Called with each `PrimaryChanged`.
    """

    def __init__(self, context, name, spec):
        self.context = context
        self.name = name
        self.spec = spec
        self.view = failover.GroupView(name, {})
        self.pools = {}
        self.listeners = []
        self.floors = sessions.FloorHistory()
        self.patience = routing.Patience()
        self.waiting_for_primary = []
        self.pending = []
        self.carrier = None
        self.probe = None
        self.next_probe = None
        self.watch_connections = {}
        self.watching = set()
        self.loops = []
        self.update(spec)

    def start(self):
        """Begin watching the members."""
        for interval_s, work in (
            (WATCH_INTERVAL_S, self._watch),
            (SWEEP_INTERVAL_S, self._sweep),
        ):
            loop = task.LoopingCall(work)
            loop.clock = self.context.reactor
            loop.start(interval_s)
            self.loops.append(loop)

    def stop(self):
        """Stop watching and close all connections that are not in use."""
        for loop in self.loops:
            loop.stop()
        self.loops = []
        for pool in self.pools.values():
            pool.close()
        for connection in self.watch_connections.values():
            connection.close()

    def update(self, spec):
        """Take in a changed spec."""
        self.spec = spec
        wanted = {member.name: member for member in spec.members}
        for name in [name for name in self.pools if name not in wanted]:
            self.pools.pop(name).close()
            self.view.members.pop(name, None)
        for name, member in wanted.items():
            view = self.view.members.setdefault(
                name, routing.MemberView(name, member.data_centre)
            )
            view.leaving = member.leaving
            if name in self.pools:
                self.pools[name].update(member)
                continue
            limit = self._connection_share(member)
            self.pools[name] = pools.MemberPool(
                self.context, member, spec.database, limit
            )

    def resize(self):
        """Adapt the pools to the number of live instances."""
        for pool in self.pools.values():
            pool.resize(self._connection_share(pool.spec))

    def learn(self, term, primary):
        """Take in that a member leads in a term."""
        if self.view.learn(term, primary):
            self._on_primary_changed()

    def wait_for_primary(self, deadline):
        """Return a Deferred that fires when a primary is known.

        Parameters
        ----------
        deadline : float
            Monotonic seconds after which it fires all the same.
        """
        if self.view.primary is not None:
            return defer.succeed(None)
        waiting = defer.Deferred()
        self.waiting_for_primary.append((deadline, waiting))
        return waiting

    def read_floor(self):
        """Return a Deferred of a position at or above all earlier writes.

        Notes
        -----
        It fires with the highest position of a majority of members, each read
        after this call. Every write that was acknowledged before the call is
        held by a majority, and so by one of those that answer. All calls that
        come while a round is under way share the next one.
        """
        waiting = defer.Deferred()
        if self.probe is None:
            self.probe = [waiting]
            self._start_probe()
        else:
            if self.next_probe is None:
                self.next_probe = []
            self.next_probe.append(waiting)
        return waiting

    def acknowledge(self, position, connection, deadline):
        """Wait until a majority of members holds a write.

        Parameters
        ----------
        position : Position
            Position of the write.
        connection : UpstreamConnection
            Idle connection to the primary that the write ran on. The task
            keeps it for as long as it needs it, then gives it back.
        deadline : float
            Monotonic seconds.

        Returns
        -------
        Deferred of Failure or None
            None once the write is acknowledged.
        """
        entry = PendingAcknowledgement(position, deadline)
        self.pending.append(entry)
        if self.carrier is None:
            self.carrier = connection
            self._carry()
        else:
            self.pools[connection.member].release(connection)
        return entry.done

    def _connection_share(self, member):
        instances = max(1, len(self.context.members.live()))
        return max(1, (member.connection_limit - len(self.pools)) // instances)

    def _carry(self):
        first = min(self.pending, key=lambda entry: entry.position)
        position = first.position
        asked = upstream.call(
            self.carrier,
            "SELECT * FROM pomelograde.wait_majority("
            f"{position.term}, {position.index}, {ACKNOWLEDGE_WAIT_MS})",
        )
        asked.addCallbacks(self._on_carried, self._on_carrier_lost)

    def _on_carried(self, row):
        held = upstream.read_position(row)
        now = self.context.now()
        self._finish_pending(lambda entry: entry.position <= held, None)
        late = retries.Failure(retries.ErrorKind.ACKNOWLEDGEMENT_LOST)
        self._finish_pending(lambda entry: entry.deadline <= now, late)
        if self.pending:
            self._carry()
            return
        carrier, self.carrier = self.carrier, None
        pool = self.pools.get(carrier.member)
        if pool is not None:
            pool.release(carrier)

    def _on_carrier_lost(self, reason):
        reason.trap(upstream.UpstreamCallError)
        carrier, self.carrier = self.carrier, None
        if not carrier.is_lost:
            carrier.close()
        lost = retries.Failure(retries.ErrorKind.ACKNOWLEDGEMENT_LOST)
        self._finish_pending(lambda entry: True, lost)

    def _finish_pending(self, chosen, outcome):
        finished = [entry for entry in self.pending if chosen(entry)]
        self.pending = [entry for entry in self.pending if not chosen(entry)]
        for entry in finished:
            entry.done.callback(outcome)

    def _start_probe(self):
        defer.ensureDeferred(self._probe())

    async def _probe(self):
        asked_at = self.context.now()
        calls = [self._member_status(name) for name in list(self.pools)]
        needed = failover.majority(len(calls))
        statuses = await _first_answers(calls, needed)
        floor = max((status.position for status in statuses), default=None)
        waiting, self.probe = self.probe, None
        if len(statuses) < needed:
            floor = None
        if floor is not None:
            self.floors.add(asked_at, floor)
        if self.next_probe is not None:
            self.probe, self.next_probe = self.next_probe, None
            self._start_probe()
        for deferred in waiting:
            deferred.callback(floor)

    def _watch(self):
        for name in list(self.pools):
            if name not in self.watching:
                self.watching.add(name)
                watched = self._member_status(name)
                watched.addBoth(lambda _, name=name: self.watching.discard(name))

    def _member_status(self, name):
        """Return a Deferred of the member's `MemberStatus`, or None."""
        return defer.ensureDeferred(self._ask_status(name))

    async def _ask_status(self, name):
        try:
            connection = await self._watch_connection(name)
            row = await upstream.call(connection, STATUS_QUERY)
        except (upstream.UpstreamOpenError, upstream.UpstreamCallError):
            view = self.view.members.get(name)
            if view is not None:
                view.reachable = False
            return None
        status = failover.MemberStatus(
            name=row[0],
            role=row[1],
            term=int(row[2]),
            fenced_term=int(row[3]),
            position=sessions.Position(int(row[4]), int(row[5])),
            leader=row[6],
            leaving=row[7] == "t",
        )
        if self.view.apply(status, self.context.now()):
            self._on_primary_changed()
        return status

    async def _watch_connection(self, name):
        connection = self.watch_connections.get(name)
        if connection is not None and not connection.is_lost:
            return connection
        connection = await upstream.open_connection(
            self.context.reactor,
            self.pools[name].spec,
            SYSTEM_ROLE,
            self.spec.database,
            self.context.credential,
            self.context.settings.addresses.bind_host,
        )
        other = self.watch_connections.get(name)
        if other is not None and not other.is_lost:
            connection.close()
            return other
        self.watch_connections[name] = connection
        return connection

    def _on_primary_changed(self):
        view = self.view
        self.context.log.write(
            events.Event.PRIMARY_CHANGED,
            group=self.name,
            term=view.term,
            primary=view.primary,
        )
        for listener in self.listeners:
            listener(PrimaryChanged(self.name, view.term, view.primary))
        if view.primary is not None:
            waiting, self.waiting_for_primary = self.waiting_for_primary, []
            for _, deferred in waiting:
                deferred.callback(None)

    def _sweep(self):
        now = self.context.now()
        for pool in self.pools.values():
            pool.expire(now)
        late = [entry for entry in self.waiting_for_primary if entry[0] <= now]
        if late:
            self.waiting_for_primary = [
                entry for entry in self.waiting_for_primary if entry[0] > now
            ]
            for _, deferred in late:
                deferred.callback(None)


def make_waiter(account, role, weight, deadline, context):
    """Return a `Waiter` for a pool of this group."""
    return pooling.Waiter(account, role, deadline, context, weight)


def _first_answers(calls, needed):
    """Return a Deferred of the first `needed` answers that are not None.

    It fires with fewer once all calls have ended.
    """
    done = defer.Deferred()
    answers = []
    left = [len(calls)]

    def on_answer(answer):
        left[0] -= 1
        if answer is not None:
            answers.append(answer)
        if not done.called and (len(answers) >= needed or left[0] == 0):
            done.callback(list(answers))

    for call in calls:
        call.addCallback(on_answer)
    return done
