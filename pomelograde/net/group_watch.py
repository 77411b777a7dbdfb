"""Probes the members of a group and executes the promoter's actions."""

import functools

from twisted.internet import defer

from pomelograde.core import failover, sessions
from pomelograde.net import (
    events,
    member_connections,
    peer_messages,
    peers,
    timers,
    upstream,
)

PROBE_INTERVAL_S = 0.2
TICK_INTERVAL_S = 0.05
GROUP_STATE_INTERVAL_S = 0.5
GROUP_STATE_TIMEOUT_S = 1.5
PROBE_TIMEOUT_S = 0.3
NEW_CONNECTION_TIMEOUT_S = 0.4
COMMAND_TIMEOUT_S = 0.5
WITNESS_TIMEOUT_S = 0.9
CONNECTION_IDLE_S = 2.0
STATUS_SQL = "SELECT * FROM pomelograde.status()"
STATUS_COLUMNS = 8
FENCE_COLUMNS = 5


class WatchTask:
    """Probes the members of one group and runs its promoter.

    Parameters
    ----------
    context : InstanceContext
        State and services shared by all tasks of the daemon.
    group : GroupTask
        The group.

    Attributes
    ----------
    lease : WriteLease
        Time during which no other member can have become the primary.
    is_watching : bool
        Whether this instance probes the members itself.
    watchers : list of Instance
        Instances that are to probe the members, by rank.
    group_state_received_at : float
        Monotonic seconds at which a watcher last sent the group's state.
    probing : set of str
        Members whose regular probe is under way.
    witness_waiters : dict of str to list of tuple
        For each member, the witness requests that wait for the next probe: time
        of the request and the Deferred of the result.
    """

    def __init__(self, context, group):
        self.context = context
        self.group = group
        self.promoter = failover.Promoter(group.view, context.random)
        self.lease = failover.WriteLease(group.view)
        self.is_watching = False
        self.watchers = []
        self.group_state_received_at = context.now()
        self.group_state_sent_at = 0.0
        self.probing = set()
        self.witness_waiters = {}
        self.loops = []

    def start(self):
        """Start the loops; members are probed only while this instance watches."""
        self.update()
        for interval_s, function in (
            (PROBE_INTERVAL_S, self._probe_all),
            (TICK_INTERVAL_S, self._tick),
        ):
            self.loops.append(timers.start_loop(self.context, interval_s, function))

    def stop(self):
        """Stop the loops and close the connections to the members."""
        for loop in self.loops:
            loop.stop()
        self.loops = []
        self.group.member_connections.close()

    def update(self):
        """Recompute the watchers and whether this instance is one of them.

        Notes
        -----
        An instance also watches if no watcher has sent the group's state for
        `GROUP_STATE_TIMEOUT_S`.
        """
        members = self.context.members
        self.watchers = failover.choose_watchers(self.group.name, members.live())
        names = [instance.name for instance in self.watchers]
        own = members.own.name
        self.promoter.rank = names.index(own) if own in names else len(names)
        overdue = (
            self.context.now() - self.group_state_received_at > GROUP_STATE_TIMEOUT_S
        )
        is_watching = own in names or overdue
        if is_watching == self.is_watching:
            return
        self.is_watching = is_watching
        self.promoter.reset_health()
        self.context.log.write(
            events.Event.WATCHING_CHANGED, group=self.group.name, watching=is_watching
        )

    def nearest_watcher(self):
        """Return another watcher, preferably in this data centre, or None."""
        own = self.context.members.own
        others = [watcher for watcher in self.watchers if watcher.name != own.name]
        near = [watcher for watcher in others if watcher.data_centre == own.data_centre]
        return next(iter(near or others), None)

    def on_group_state(self, state):
        """Update the view from a watcher's `GroupNews`.

        Notes
        -----
        An instance that watches trusts its own probes for the members, and
        takes only the primary from the message.
        """
        self.group_state_received_at = self.context.now()
        self.group.update_primary(state.term, state.primary)
        for member in state.members:
            view = self.group.view.members.get(member.name)
            if view is None or self.is_watching:
                continue
            view.reachable = member.reachable
            view.leaving = member.leaving
            if member.term:
                view.position = sessions.Position(member.term, member.index)
                view.position_at = self.group_state_received_at
        self.group.abandon_unreachable()

    def check_reachable(self, member):
        """Return a Deferred of whether this instance reaches a member.

        Notes
        -----
        A watcher answers at once if the member is known to be unreachable, and
        otherwise with the result of a regular probe; a status only counts if its
        probe started after the request. Other instances probe the member over a
        new connection.
        """
        if member not in self.group.view.members:
            return defer.succeed(False)
        if not self.is_watching:
            return defer.ensureDeferred(self._probe_as_witness(member))
        if self.promoter.known_reachability(member) is False:
            return defer.succeed(False)
        result = defer.Deferred()
        waiter = (self.context.now(), result)
        self.witness_waiters.setdefault(member, []).append(waiter)
        return result

    def publish_primary(self):
        """Send the known primary to all instances."""
        view = self.group.view
        message = peer_messages.PrimaryNews(self.group.name, view.term, view.primary)
        for instance in list(self.context.members.instances.values()):
            if instance.name != self.context.members.own.name:
                self.context.peers.send(instance, message)

    def send_group_state(self):
        """Send the group's state to the instances of this data centre."""
        self.group_state_sent_at = self.context.now()
        own = self.context.members.own
        message = self._group_state()
        for instance in list(self.context.members.instances.values()):
            if instance.name != own.name and instance.data_centre == own.data_centre:
                self.context.peers.send(instance, message)

    def _group_state(self):
        view = self.group.view
        members = []
        for member in view.members.values():
            position = member.position or sessions.Position(0, 0)
            members.append(
                peer_messages.MemberNews(
                    member.name,
                    position.term,
                    position.index,
                    member.reachable,
                    member.leaving,
                )
            )
        return peer_messages.GroupNews(
            self.group.name, view.term, view.primary or "", members
        )

    def _tick(self):
        now = self.context.now()
        self.update()
        if not self.is_watching:
            if now - self.group.member_connections.used_at > CONNECTION_IDLE_S:
                self.group.member_connections.close()
            return
        self._handle(failover.Tick())
        if now - self.group_state_sent_at >= GROUP_STATE_INTERVAL_S:
            self.send_group_state()

    def _probe_all(self):
        if not self.is_watching:
            return
        for name in list(self.group.pools):
            if name not in self.probing:
                self.probing.add(name)
                defer.ensureDeferred(self._probe(name))

    async def _probe(self, name):
        started_at = self.context.now()
        try:
            status = await self._read_status(name, PROBE_TIMEOUT_S)
        except member_connections.MemberCallError as error:
            if error.alive:
                self._on_alive(name)
            else:
                self._handle(failover.ProbeFailed(name))
        else:
            self._on_status(status, started_at)
        finally:
            self.probing.discard(name)

    async def _probe_new_connection(self, name):
        self.group.member_connections.drop(name)
        started_at = self.context.now()
        try:
            status = await self._read_status(name, NEW_CONNECTION_TIMEOUT_S)
        except member_connections.MemberCallError as error:
            if error.alive:
                self._on_alive(name)
            else:
                self._on_unreachable(name)
            return
        self._on_status(status, started_at)

    def _on_alive(self, name):
        """Handle an error from a member, which only shows that it is alive."""
        health = self.promoter.health.get(name)
        if health is not None:
            health.probing = False
        for _, result in self.witness_waiters.pop(name, []):
            result.callback(True)

    def _on_unreachable(self, name):
        health = self.promoter.health.get(name)
        if health is not None and health.reachable is not False:
            self.context.log.write(
                events.Event.MEMBER_UNREACHABLE, group=self.group.name, member=name
            )
        self._handle(failover.MemberUnreachable(name))
        self.group.abandon_unreachable()
        for _, result in self.witness_waiters.pop(name, []):
            result.callback(False)

    def _on_status(self, status, started_at):
        self.lease.record(status, started_at)
        self._handle(failover.StatusReceived(status))
        waiters = self.witness_waiters.pop(status.name, [])
        for waiter in waiters:
            if waiter[0] <= started_at:
                waiter[1].callback(True)
            else:
                self.witness_waiters.setdefault(status.name, []).append(waiter)

    async def _probe_as_witness(self, member):
        self.group.member_connections.drop(member)
        try:
            await self._read_status(member, NEW_CONNECTION_TIMEOUT_S)
        except member_connections.MemberCallError as error:
            return error.alive
        return True

    async def _read_status(self, name, timeout_s):
        status = await self.group.member_connections.call(
            name, STATUS_SQL, timeout_s, read_status
        )
        if status.name != name:
            raise member_connections.MemberCallError(f"another member: {status.name}")
        return status

    def _handle(self, event):
        view, promoter = self.group.view, self.promoter
        primary_before = (view.term, view.primary)
        step_before = promoter.step
        actions = promoter.handle(event, self.context.now())
        self._log_step(step_before)
        for action in actions:
            _execute(action, self)
        if (view.term, view.primary) != primary_before:
            self.group.on_primary_changed()
            self.send_group_state()

    def _log_step(self, step_before):
        promoter = self.promoter
        if promoter.step is step_before:
            return
        if promoter.step is failover.Step.FENCING:
            metrics = self.context.metrics
            metrics.count(metrics.promotions, promoter.reason.value)
            self.context.log.write(
                events.Event.PROMOTION_STARTED,
                group=self.group.name,
                term=promoter.term,
                reason=promoter.reason.value,
            )
        self.context.log.write(
            events.Event.PROMOTION_STEP,
            group=self.group.name,
            term=promoter.term,
            step=promoter.step.value,
        )

    def _holder_id(self):
        own = self.context.members.own
        return f"{own.name}/{own.incarnation}"

    async def _query_witnesses(self, member):
        reachable = await self._collect_witness_reports(member)
        self._handle(failover.WitnessesAnswered(member, reachable))

    async def _collect_witness_reports(self, member):
        own = self.context.members.own
        others = [watcher for watcher in self.watchers if watcher.name != own.name]
        reports = await defer.gatherResults(
            [
                defer.ensureDeferred(self._query_witness(instance, member))
                for instance in others
                if instance.data_centre != own.data_centre
            ]
        )
        return failover.combine_witness_reports(
            self.group.view.members[member].data_centre, reports
        )

    async def _query_witness(self, instance, member):
        request = peer_messages.WitnessRequest(self.group.name, member)
        try:
            answer = await self.context.peers.request(
                instance, request, WITNESS_TIMEOUT_S
            )
        except peers.PeerUnreachableError:
            return None
        if not isinstance(answer, peer_messages.WitnessAnswer):
            return None
        return failover.WitnessReport(instance.data_centre, answer.reachable)

    async def _fence(self, member, term):
        sql = f"SELECT * FROM pomelograde.fence({term}, '{self._holder_id()}')"
        try:
            answer = await self.group.member_connections.call(
                member, sql, COMMAND_TIMEOUT_S, read_fence_answer
            )
        except member_connections.MemberCallError:
            return
        self._handle(failover.FenceAnswered(member, term, *answer))

    async def _promote(self, member, term):
        sql = f"SELECT * FROM pomelograde.promote({term}, '{self._holder_id()}')"
        try:
            row = await self.group.member_connections.call(
                member, sql, COMMAND_TIMEOUT_S
            )
            done = row[:1] == ["t"]
        except member_connections.MemberCallError:
            done = False
        self._handle(failover.PromoteAnswered(member, term, done))

    async def _follow(self, member, term, leader):
        sql = f"SELECT * FROM pomelograde.follow({term}, '{leader}')"
        try:
            await self.group.member_connections.call(member, sql, COMMAND_TIMEOUT_S)
        except member_connections.MemberCallError:
            return


def read_status(row):
    """Return the `MemberStatus` of a row of `STATUS_SQL`.

    Raises
    ------
    UpstreamCallError
        If the row is invalid.
    """
    row = upstream.read_columns(row, STATUS_COLUMNS)
    name, role, term, fenced_term, _, _, leader, leaving = row
    if None in (name, role):
        raise upstream.UpstreamCallError(upstream.INVALID_ROW, "no name or role")
    return failover.MemberStatus(
        name=name,
        role=role,
        term=upstream.read_bigint(term),
        fenced_term=upstream.read_bigint(fenced_term),
        position=upstream.read_position(row[4:6]),
        leader=leader,
        leaving=leaving == "t",
    )


def read_fence_answer(row):
    """Return whether a fence was accepted, the fenced term, and the position.

    Raises
    ------
    UpstreamCallError
        If the row is invalid.
    """
    row = upstream.read_columns(row, FENCE_COLUMNS)
    position = upstream.read_position(row[3:5])
    return row[0] == "t", upstream.read_bigint(row[1]), position


@functools.singledispatch
def _execute(action, watch):
    raise TypeError(f"unknown action {action!r}")


@_execute.register
def _(action: failover.ProbeNewConnection, watch):
    defer.ensureDeferred(watch._probe_new_connection(action.member))


@_execute.register
def _(action: failover.QueryWitnesses, watch):
    defer.ensureDeferred(watch._query_witnesses(action.member))


@_execute.register
def _(action: failover.Fence, watch):
    defer.ensureDeferred(watch._fence(action.member, action.term))


@_execute.register
def _(action: failover.Promote, watch):
    defer.ensureDeferred(watch._promote(action.member, action.term))


@_execute.register
def _(action: failover.Follow, watch):
    defer.ensureDeferred(watch._follow(action.member, action.term, action.leader))


@_execute.register
def _(action: failover.PublishPrimary, watch):
    watch.publish_primary()
    defer.ensureDeferred(watch.group.store_primary(action.term, action.primary))
