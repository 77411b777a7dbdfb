"""Learns the log positions of the primaries, and tells other instances of them.

A read that may be stale needs a position which covers all commits up to a moment.
An instance with a connection to a primary queries it; the others of a data centre
ask one instance, for all databases at once, which asks the owners of the
primaries' connections.
"""

import collections

from twisted.internet import defer

from pomelograde.core import membership, pooling, sessions
from pomelograde.net import peer_messages, peers

INTERVAL_S = 0.4  # 3 updates within the shortest staleness limit in use
REQUEST_TIMEOUT_S = 0.3
# Time in which starting instances learn of each other. Until it has passed, no
# connection is requested only to query a position.
STARTUP_SETTLE_S = 3.0


class Positions:
    """Keeps the positions of the primaries recent.

    Parameters
    ----------
    context : HostedContext
        Components that all tasks of the instance share.
    proxy : Proxy
        Groups, pools and relay.
    """

    def __init__(self, context, proxy):
        self.context = context
        self.proxy = proxy
        context.peers.handlers[peer_messages.FloorRequest] = self._on_request

    def refresh(self):
        """Query the positions that are old, here or at another instance."""
        now = self.context.now()
        asked = collections.defaultdict(list)
        sources = {}
        for group in self.proxy.groups.values():
            primary = group.usable_primary(now)
            if primary is None:
                continue
            is_recent = now - primary.position_at <= INTERVAL_S
            if is_recent and group.leads_since(primary.name, primary.position_at):
                continue
            source = self._query_here(group, primary)
            if source is not None:
                sources[source.name] = source
                asked[source.name].append((group, primary.name))
        for name, queries in asked.items():
            defer.ensureDeferred(self._request(sources[name], queries))

    def find_source(self, primary):
        """Return the instance to ask for the log position of a primary.

        Parameters
        ----------
        primary : Member
            The primary of a group.

        Returns
        -------
        Instance
            The same one of this data centre for all groups and for all of its
            instances; itself, it asks the owner of the connections. One of another
            data centre might ask an instance of this one in turn.
        """
        relay = self.proxy.relay
        own = self.context.members.own
        owner = relay.find_owner(primary, "")
        candidates = relay.find_usable("data_centre", own.data_centre)
        if owner.name == own.name or not candidates:
            return owner
        key = f"positions/{own.data_centre}"
        source = candidates[membership.rendezvous(key, candidates, 1)[0]]
        return owner if source.name == own.name else source

    def _query_here(self, group, primary):
        """Query over an own connection; returns the instance to ask otherwise.

        Notes
        -----
        Only the owner of the primary's connections opens one.
        """
        pool = self.proxy.pools.get(primary.name)
        role = None
        if pool is not None:
            role = next((found.role for found in pool.idle), None)
        connection = None
        if role is not None:
            connection = pool.try_acquire(role, needs_room=False)
        query = PositionQuery(self.proxy, group, primary.name)
        if connection is not None:
            query.on_connection(connection)
            return None
        source = self.find_source(primary)
        if source.name != self.context.members.own.name:
            return source
        if pool is not None and (not pool.open or pool.core.gate is not None):
            now = self.context.now()
            if now - self.proxy.started_at >= STARTUP_SETTLE_S:
                role = self._choose_role(primary)
                waiter = pooling.Waiter(role, role, now + INTERVAL_S, query)
                waiter.has_alternative = True  # The next query comes soon.
                pool.request(waiter)
        return None

    def _choose_role(self, primary):
        """Return the client account to query a primary's position with.

        Notes
        -----
        The query needs no particular one, but a connection that another instance
        owns would be closed again.
        """
        accounts = list(self.proxy.configuration.accounts) or [""]
        candidates = self.proxy.relay.find_candidates(primary)
        owned = (
            name for name in accounts if self.proxy.owns(primary, candidates, name)
        )
        return next(owned, accounts[0])

    async def _request(self, source, queries):
        """Request the positions of primaries from an instance.

        Parameters
        ----------
        source : Instance
            The instance to ask.
        queries : list of (Group, str)
            Groups with the names of their primaries. An answer counts for nothing
            if another member is the primary by then.

        Notes
        -----
        An earlier build answers for the first group only, so that the others are
        requested one by one.
        """
        asked_at = self.context.now()
        first, *others = queries
        request = peer_messages.FloorRequest(
            first[0].name,
            self._describe_loads(first[0], asked_at),
            [
                peer_messages.FloorQuery(
                    group.name, self._describe_loads(group, asked_at)
                )
                for group, _ in others
            ],
        )
        try:
            answer = await self.context.peers.request(
                source, request, REQUEST_TIMEOUT_S
            )
        except peers.PeerUnreachableError:
            self.proxy.relay.check_silent(source.name)
            return
        if not isinstance(answer, peer_messages.FloorAnswer):
            return
        self._apply(*first, answer, asked_at, source.name)
        by_name = {floor.group: floor for floor in answer.floors}
        for group, primary in others:
            if group.name in by_name:
                self._apply(group, primary, by_name[group.name], asked_at, source.name)
            else:
                defer.ensureDeferred(self._request(source, [(group, primary)]))

    def _describe_loads(self, group, now):
        placing = self.proxy.placing
        return [] if placing is None else placing.describe(group, now)

    def _apply(self, group, primary, floor, asked_at, source=""):
        """Record what another instance knows of a group and its primary."""
        if self.proxy.placing is not None:
            self.proxy.placing.on_loads(group, floor.loads, asked_at)
        if floor.known:
            position = sessions.Position(floor.term, floor.index)
            position_at = asked_at - floor.age_ms / 1000.0
            group.on_position(primary, position, position_at, source)

    def _on_request(self, message, envelope):
        """Return the known log positions of the primaries, with their ages."""
        known, term, index, age_ms, loads = self._describe(message)
        floors = [
            peer_messages.FloorNews(query.group, *self._describe(query))
            for query in message.queries
        ]
        return peer_messages.FloorAnswer(known, term, index, age_ms, loads, floors)

    def _describe(self, query):
        """Return the fields of the answer for a group."""
        group = self.proxy.groups.get(query.group)
        if group is None:
            return False, 0, 0, 0, []
        now = self.context.now()
        primary = group.usable_primary(now)
        loads = self._describe_loads(group, now)
        if self.proxy.placing is not None:
            self.proxy.placing.on_loads(group, query.loads, now)
        if primary is None or primary.position is None:
            return False, 0, 0, 0, loads
        age_ms = int((now - primary.position_at) * 1000.0) + 1
        return True, primary.position.term, primary.position.index, age_ms, loads


class PositionQuery:
    """Queries the log position of a primary once a connection is available.

    Parameters
    ----------
    proxy : Proxy
        Gets the connection back.
    group : Group
        Group to update.
    member : str
        Name of the primary.
    """

    def __init__(self, proxy, group, member):
        self.proxy = proxy
        self.group = group
        self.member = member
        self.connection = None

    def on_connection(self, connection):
        """Send the query."""
        self.connection = connection
        self.proxy.query_position(connection, self._on_answer)

    def on_refused(self, failure):
        """Do nothing; the next periodic update queries again."""

    def _on_answer(self, answer):
        connection = self.connection
        if answer.error is None and answer.position is not None:
            self.group.on_position(self.member, answer.position, connection.sent_at)
            if self.group.outliers is not None:
                now = self.proxy.context.now()
                self.group.outliers.record_alive(self.member, now)
        self.proxy.release(connection)
