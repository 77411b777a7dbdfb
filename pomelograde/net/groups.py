"""State of one database group: members, connection pools, acknowledgements."""

import functools

import attrs
import result
from twisted.internet import defer

from pomelograde.core import failover, placement, pooling, routing, sessions
from pomelograde.net import (
    acknowledgements,
    events,
    faults,
    floors,
    group_watch,
    member_connections,
    peer_messages,
    platform,
    pools,
    timers,
    upstream,
)

EXPIRY_INTERVAL_S = 0.05
PRIMARY_KEY_PREFIX = "primaries/"
LEASE_ACKNOWLEDGEMENT = "lease"


@attrs.frozen
class StoredPrimary:
    """A group's primary as it is stored in the platform's table.

    Attributes
    ----------
    term : int
        Term of the primary.
    primary : str
        Name of the member.
    version : int
        Version of the row.
    """

    term: int
    primary: str
    version: int


@attrs.frozen
class PrimaryChanged:
    """The known primary of a group has changed.

    Attributes
    ----------
    group : str
        Name of the database service.
    term : int
        Term of the primary.
    primary : str or None
        Name of the member, or None while no primary is known.
    """

    group: str
    term: int
    primary: str | None


class GroupTask:
    """Manages the members, pools and acknowledgements of one database group.

    Parameters
    ----------
    context : InstanceContext
        State and services shared by all tasks of the daemon.
    name : str
        Name of the database service.
    spec : DatabaseService
        The service.

    Attributes
    ----------
    view : GroupView
        Known state of the group.
    pools : dict of str to MemberPool
        Connection pools by member name.
    listeners : list of callable
        Called with each `PrimaryChanged`.
    waiting_for_primary : list of tuple
        Deadline and Deferred of each request that waits for a primary.
    abandoned : set of str
        Unreachable members whose pools have been abandoned.
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
        self.expiry_loop = None
        self.update(spec)

    def start(self):
        """Start watching the members and load the stored primary."""
        self.watch.start()
        defer.ensureDeferred(self.load_primary())
        self.expiry_loop = timers.start_loop(
            self.context, EXPIRY_INTERVAL_S, self._expire
        )

    def stop(self):
        """Stop watching and close all connections that are not in use."""
        if self.expiry_loop is not None:
            self.expiry_loop.stop()
        self.watch.stop()
        for pool in self.pools.values():
            pool.close()

    def update(self, spec):
        """Apply a changed spec."""
        self.spec = spec
        uses_lease = spec.acknowledgement == LEASE_ACKNOWLEDGEMENT
        self.watch.promoter.lease_s = failover.LEASE_S if uses_lease else 0.0
        members = {member.name: member for member in spec.members}
        for name in [name for name in self.pools if name not in members]:
            self.pools.pop(name).close()
            self.view.members.pop(name, None)
            self.member_connections.drop(name)
        self.view.leaving = {name for name in members if members[name].leaving}
        for name, member in members.items():
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
        """Adapt the watchers and the pool sizes to the live instances."""
        self.watch.update()
        for pool in self.pools.values():
            pool.resize(self._connection_share(pool.spec))

    def update_primary(self, term, primary):
        """Record that a member is the primary of a term."""
        if self.view.update_primary(term, primary):
            self.on_primary_changed()

    def wait_for_primary(self, deadline):
        """Return a Deferred that fires when a primary is known.

        Parameters
        ----------
        deadline : float
            Monotonic seconds at which it fires even without a primary.
        """
        if self.view.primary is not None:
            return defer.succeed(None)
        waiter = defer.Deferred()
        self.waiting_for_primary.append((deadline, waiter))
        return waiter

    def read_floor(self):
        """Return a Deferred of a position at or above all earlier writes.

        Notes
        -----
        It fires with the highest position of a majority of members, each read
        after this call. A write that was acknowledged before the call is held by
        a majority, and therefore by at least one of the members that answer.
        Calls made while a round of queries is under way share the next round.
        """
        return self.floor_task.read()

    def acknowledge(self, position, connection, deadline):
        """Wait until a write may be acknowledged.

        Parameters
        ----------
        position : Position
            Position of the write.
        connection : UpstreamConnection
            Idle connection to the primary that ran the write. It is returned to
            the pool once it is no longer needed.
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
        """Return whether a write lease makes a majority's answer unnecessary."""
        view = self.view
        if self.spec.acknowledgement != LEASE_ACKNOWLEDGEMENT:
            return False
        if (position.term, member) != (view.term, view.primary):
            return False
        return self.watch.lease.is_held(self.context.now())

    def abandon_unreachable(self):
        """Abandon the pools of unreachable members.

        Notes
        -----
        The primary is exempt until it is replaced, since it may only be slow.
        """
        for name, view in self.view.members.items():
            if view.reachable or name == self.view.primary:
                self.abandoned.discard(name)
            elif name not in self.abandoned:
                self.abandoned.add(name)
                self.pools[name].abandon()

    async def store_primary(self, term, primary):
        """Store the primary in the platform's table, if the platform is reachable."""
        client = self.context.platform
        if client is None:
            return
        key = f"{PRIMARY_KEY_PREFIX}{self.name}"
        answer = await client.rows(key)
        if answer.is_err():
            return
        row = _find_row(answer.ok_value.rows, key)
        stored = read_primary(row)
        if stored.is_ok() and stored.ok_value.term >= term:
            return
        version = 0 if row is None else row.version
        value = {"term": term, "primary": primary}
        await client.commit(
            [platform.Condition(key, version)], [platform.Write(key, value)]
        )

    async def load_primary(self):
        """Read the primary from the platform's table, if the platform is reachable."""
        client = self.context.platform
        if client is None:
            return
        key = f"{PRIMARY_KEY_PREFIX}{self.name}"
        answer = await client.rows(key)
        if answer.is_err():
            return
        row = _find_row(answer.ok_value.rows, key)
        if row is None:
            return
        stored = read_primary(row)
        if stored.is_ok():
            self.update_primary(stored.ok_value.term, stored.ok_value.primary)
        else:
            client.reject(key, stored.err_value)

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
        """Notify the listeners and the requests that wait for a primary."""
        view = self.view
        self.context.log.write(
            events.Event.PRIMARY_CHANGED,
            group=self.name,
            term=view.term,
            primary=view.primary,
        )
        for listener in self.listeners:
            changed = PrimaryChanged(self.name, view.term, view.primary)
            faults.run(self.context, listener, changed)
        self.abandon_unreachable()
        self.acknowledgements.on_primary_changed()
        if view.primary is not None:
            waiters, self.waiting_for_primary = self.waiting_for_primary, []
            for _, deferred in waiters:
                deferred.callback(None)

    def _expire(self):
        now = self.context.now()
        for pool in self.pools.values():
            pool.expire(now)
        self.acknowledgements.expire(now)
        expired = [waiter for waiter in self.waiting_for_primary if waiter[0] <= now]
        if expired:
            self.waiting_for_primary = [
                waiter for waiter in self.waiting_for_primary if waiter[0] > now
            ]
            for _, deferred in expired:
                deferred.callback(None)


def read_primary(row):
    """Return the Result of a `StoredPrimary`, or why a row of the table is none."""
    value = None if row is None else row.value
    if not isinstance(value, dict):
        return result.Err("is no object")
    term, primary = value.get("term"), value.get("primary")
    if type(term) is not int or not 0 < term < failover.TERM_LIMIT:
        return result.Err("has no valid term")
    if not isinstance(primary, str):
        return result.Err("has no name of a member")
    return result.Ok(StoredPrimary(term, primary, row.version))


def _find_row(rows, key):
    """Return the row of a key, or None."""
    found = (row for row in rows if row.key == key and row.value is not None)
    return next(found, None)


def make_waiter(account, role, weight, deadline, context):
    """Return a `Waiter` for a member's pool."""
    return pooling.Waiter(account, role, deadline, context, weight)


def has_valid_terms(message):
    """Return whether the members can hold the terms and positions of a message.

    Notes
    -----
    A higher term than the group's is taken for the latest one, so that one which
    no member can reach would hide every later primary.
    """
    numbers = [getattr(message, "term", 0)]
    for member in getattr(message, "members", ()):
        numbers += (member.term, member.index)
    return max(numbers) < failover.TERM_LIMIT


@functools.singledispatch
def on_message(message, group):
    """Handle a peer's message about a group; returns the reply, if any."""
    raise TypeError(f"unknown message {message!r}")


@on_message.register
def _(message: peer_messages.PrimaryNews, group):
    group.update_primary(message.term, message.primary)


@on_message.register
def _(message: peer_messages.GroupNews, group):
    group.watch.on_group_state(message)


@on_message.register
def _(message: peer_messages.WitnessRequest, group):
    answer = group.watch.check_reachable(message.member)
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
