"""One task for each database group: its members, pools and acknowledgements."""

import functools

import attrs
from twisted.internet import defer, task

from pomelograde.core import failover, placement, pooling, routing, sessions
from pomelograde.net import (
    acknowledgements,
    events,
    floors,
    group_watch,
    member_connections,
    peer_messages,
    platform,
    pools,
    upstream,
)

SWEEP_INTERVAL_S = 0.05
PRIMARY_PREFIX = "primaries/"
LEASE = "lease"


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
        self.replica_wait_breaker = routing.ReplicaWaitBreaker()
        self.waiting_for_primary = []
        self.abandoned = set()
        self.member_connections = member_connections.MemberConnections(context, self)
        self.watch = group_watch.WatchTask(context, self)
        self.floor_task = floors.FloorTask(context, self)
        self.acknowledgements = acknowledgements.AcknowledgementTask(context, self)
        self.sweep = task.LoopingCall(self._sweep)
        self.update(spec)

    def start(self):
        """Begin watching the members."""
        self.watch.start()
        defer.ensureDeferred(self.load_primary())
        self.sweep.clock = self.context.reactor
        self.sweep.start(SWEEP_INTERVAL_S)

    def stop(self):
        """Stop watching and close all connections that are not in use."""
        if self.sweep.running:
            self.sweep.stop()
        self.watch.stop()
        for pool in self.pools.values():
            pool.close()

    def update(self, spec):
        """Take in a changed spec."""
        self.spec = spec
        by_lease = spec.acknowledgement == LEASE
        self.watch.promoter.lease_s = failover.LEASE_S if by_lease else 0.0
        wanted = {member.name: member for member in spec.members}
        for name in [name for name in self.pools if name not in wanted]:
            self.pools.pop(name).close()
            self.view.members.pop(name, None)
            self.member_connections.drop(name)
        self.view.leaving = {name for name in wanted if wanted[name].leaving}
        for name, member in wanted.items():
            self._update_member(name, member)

    def _update_member(self, name, member):
        view = self.view.members.setdefault(
            name, placement.MemberView(name, member.data_centre)
        )
        view.leaving = member.leaving
        pool = self.pools.get(name)
        if pool is None:
            limit = self._connection_share(member)
            self.pools[name] = pools.MemberPool(
                self.context, member, self._open_connection, limit
            )
            return
        if (member.host, member.port) != (pool.spec.host, pool.spec.port):
            self.member_connections.drop(name)
        pool.update(member)

    def _open_connection(self, member, role):
        return upstream.open_connection(
            self.context.reactor,
            member,
            role,
            self.spec.database,
            self.context.credential,
            self.context.settings.addresses.bind_host,
        )

    def resize(self):
        """Adapt pools and watching to the live instances."""
        self.watch.update()
        for pool in self.pools.values():
            pool.resize(self._connection_share(pool.spec))

    def learn(self, term, primary):
        """Take in that a member leads in a term."""
        if self.view.update_primary(term, primary):
            self.on_primary_changed()

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
        return self.floor_task.read()

    def acknowledge(self, position, connection, deadline):
        """Wait until a write may be acknowledged.

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
        if self._has_lease_for(position, connection.member):
            self.pools[connection.member].release(connection)
            return defer.succeed(None)
        return self.acknowledgements.acknowledge(position, connection, deadline)

    def _has_lease_for(self, position, member):
        """Return whether a write needs no majority to be acknowledged."""
        view = self.view
        if self.spec.acknowledgement != LEASE:
            return False
        if (position.term, member) != (view.term, view.primary):
            return False
        return self.watch.lease.is_held(self.context.now())

    def abandon_unreachable(self):
        """Give up on what was sent to members that can't be reached.

        Notes
        -----
        A primary is excepted until another one replaces it: it may only be
        slow.
        """
        for name, view in self.view.members.items():
            if view.reachable or name == self.view.primary:
                self.abandoned.discard(name)
            elif name not in self.abandoned:
                self.abandoned.add(name)
                self.pools[name].abandon()

    async def store_primary(self, term, primary):
        """Write who leads into the platform's table, if it can be reached."""
        client = self.context.platform
        if client is None:
            return
        key = f"{PRIMARY_PREFIX}{self.name}"
        found = await client.rows(key)
        if found.is_err():
            return
        version = 0
        for row in found.ok_value[1]:
            if row.key == key and row.value is not None:
                version = row.version
                if row.value["term"] >= term:
                    return
        value = {"term": term, "primary": primary}
        await client.commit(
            [platform.Condition(key, version)], [platform.Write(key, value)]
        )

    async def load_primary(self):
        """Learn from the platform's table who leads, if it can be reached."""
        client = self.context.platform
        if client is None:
            return
        key = f"{PRIMARY_PREFIX}{self.name}"
        found = await client.rows(key)
        if found.is_err():
            return
        for row in found.ok_value[1]:
            if row.key == key and row.value is not None:
                self.learn(row.value["term"], row.value["primary"])

    def _connection_share(self, member):
        members = self.context.members
        names = [instance.name for instance in members.live()]
        watchers = failover.choose_watchers(self.name, members.live())
        return failover.connection_share(
            member.connection_limit,
            len(watchers),
            member.name,
            members.own.name,
            names,
        )

    def on_primary_changed(self):
        """Tell all that wait for, or depend on, the primary."""
        view = self.view
        self.context.log.write(
            events.Event.PRIMARY_CHANGED,
            group=self.name,
            term=view.term,
            primary=view.primary,
        )
        for listener in self.listeners:
            listener(PrimaryChanged(self.name, view.term, view.primary))
        self.abandon_unreachable()
        self.acknowledgements.on_primary_changed()
        if view.primary is not None:
            waiting, self.waiting_for_primary = self.waiting_for_primary, []
            for _, deferred in waiting:
                deferred.callback(None)

    def _sweep(self):
        now = self.context.now()
        for pool in self.pools.values():
            pool.expire(now)
        self.acknowledgements.sweep(now)
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


@functools.singledispatch
def on_message(message, group):
    """Take a peer's message about a group; returns the reply, if any."""
    raise TypeError(f"unknown message {message!r}")


@on_message.register
def _(message: peer_messages.PrimaryNews, group):
    group.learn(message.term, message.primary)


@on_message.register
def _(message: peer_messages.GroupNews, group):
    group.watch.on_news(message)


@on_message.register
def _(message: peer_messages.WitnessRequest, group):
    answer = group.watch.witness(message.member)
    return answer.addCallback(peer_messages.WitnessAnswer)


@on_message.register
def _(message: peer_messages.FloorRequest, group):
    if not group.watch.is_watching:
        return peer_messages.FloorAnswer(False)
    return group.floor_task.read().addCallback(_floor_answer)


def _floor_answer(floor):
    if floor is None:
        return peer_messages.FloorAnswer(False)
    return peer_messages.FloorAnswer(True, floor.term, floor.index)


PEER_MESSAGES = (
    peer_messages.PrimaryNews,
    peer_messages.GroupNews,
    peer_messages.WitnessRequest,
    peer_messages.FloorRequest,
)
