"""Watches the members of a group and carries out what the promoter decides."""

import functools

from twisted.internet import defer, task

from pomelograde.core import failover, sessions
from pomelograde.net import events, member_connections, peer_messages, peers, upstream

PROBE_INTERVAL_S = 0.2
TICK_INTERVAL_S = 0.05
NEWS_INTERVAL_S = 0.5
NEWS_TIMEOUT_S = 1.5
KEPT_TIMEOUT_S = 0.3
FRESH_TIMEOUT_S = 0.4
COMMAND_TIMEOUT_S = 0.5
WITNESS_TIMEOUT_S = 0.9
LINK_IDLE_S = 2.0
STATUS_SQL = "SELECT * FROM pomelograde.status()"


class WatchTask:
    """Owns one group's promoter and its probes.

    Parameters
    ----------
    context : InstanceContext
        Parts of the daemon that all tasks share.
    group : GroupTask
        The group.

    Attributes
    ----------
    is_watching : bool
        Whether this instance probes the members by itself.
    """

    def __init__(self, context, group):
        self.context = context
        self.group = group
        self.promoter = failover.Promoter(group.view, context.random)
        self.lease = failover.WriteLease(group.view)
        self.is_watching = False
        self.watchers = []
        self.news_at = context.now()
        self.news_sent_at = 0.0
        self.probing = set()
        self.awaiting = {}
        self.loops = []

    def start(self):
        """Begin to watch where it is this instance's turn."""
        self.update()
        for interval_s, work in (
            (PROBE_INTERVAL_S, self._probe_all),
            (TICK_INTERVAL_S, self._tick),
        ):
            loop = task.LoopingCall(work)
            loop.clock = self.context.reactor
            loop.start(interval_s)
            self.loops.append(loop)

    def stop(self):
        """Stop watching."""
        for loop in self.loops:
            loop.stop()
        self.loops = []
        self.group.member_connections.close()

    def update(self):
        """Choose anew who watches, from the live instances and the news."""
        members = self.context.members
        self.watchers = failover.choose_watchers(self.group.name, members.live())
        names = [instance.name for instance in self.watchers]
        own = members.own.name
        self.promoter.rank = names.index(own) if own in names else len(names)
        overdue = self.context.now() - self.news_at > NEWS_TIMEOUT_S
        is_watching = own in names or overdue
        if is_watching == self.is_watching:
            return
        self.is_watching = is_watching
        self.promoter.reset_health()
        self.context.log.write(
            events.Event.WATCHING_CHANGED, group=self.group.name, watching=is_watching
        )

    def nearest_watcher(self):
        """Return another instance that watches, of this data centre if any."""
        own = self.context.members.own
        others = [found for found in self.watchers if found.name != own.name]
        near = [found for found in others if found.data_centre == own.data_centre]
        return next(iter(near or others), None)

    def on_news(self, news):
        """Take in what a watcher says of the group."""
        self.news_at = self.context.now()
        self.group.learn(news.term, news.primary)
        for member in news.members:
            view = self.group.view.members.get(member.name)
            if view is None or self.is_watching:
                continue
            view.reachable = member.reachable
            view.leaving = member.leaving
            if member.term:
                view.position = sessions.Position(member.term, member.index)
                view.position_at = self.news_at
        self.group.abandon_unreachable()

    def witness(self, member):
        """Return a Deferred of whether this instance reaches a member."""
        if member not in self.group.view.members:
            return defer.succeed(False)
        if not self.is_watching:
            return defer.ensureDeferred(self._probe_as_witness(member))
        if self.promoter.known_reachability(member) is False:
            return defer.succeed(False)
        waiting = defer.Deferred()
        entry = (self.context.now(), waiting)
        self.awaiting.setdefault(member, []).append(entry)
        return waiting

    def publish(self):
        """Tell all instances who leads."""
        view = self.group.view
        news = peer_messages.PrimaryNews(self.group.name, view.term, view.primary)
        for instance in list(self.context.members.instances.values()):
            if instance.name != self.context.members.own.name:
                self.context.peers.send(instance, news)

    def send_news(self):
        """Tell the instances of this data centre what is known."""
        self.news_sent_at = self.context.now()
        own = self.context.members.own
        news = self._describe()
        for instance in list(self.context.members.instances.values()):
            if instance.name != own.name and instance.data_centre == own.data_centre:
                self.context.peers.send(instance, news)

    def _describe(self):
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
            if now - self.group.member_connections.used_at > LINK_IDLE_S:
                self.group.member_connections.close()
            return
        self._handle(failover.Tick())
        if now - self.news_sent_at >= NEWS_INTERVAL_S:
            self.send_news()

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
            status = await self._status(name, KEPT_TIMEOUT_S)
        except member_connections.MemberCallError as error:
            if error.alive:
                self._on_alive(name)
            else:
                self._handle(failover.ProbeFailed(name))
        else:
            self._on_status(status, started_at)
        finally:
            self.probing.discard(name)

    async def _probe_fresh(self, name):
        self.group.member_connections.drop(name)
        started_at = self.context.now()
        try:
            status = await self._status(name, FRESH_TIMEOUT_S)
        except member_connections.MemberCallError as error:
            if error.alive:
                self._on_alive(name)
            else:
                self._on_unreachable(name)
            return
        self._on_status(status, started_at)

    def _on_alive(self, name):
        """Take a member's refusal, which tells no more than that it lives."""
        health = self.promoter.health.get(name)
        if health is not None:
            health.probing = False
        for _, waiting in self.awaiting.pop(name, []):
            waiting.callback(True)

    def _on_unreachable(self, name):
        health = self.promoter.health.get(name)
        if health is not None and health.reachable is not False:
            self.context.log.write(
                events.Event.MEMBER_UNREACHABLE, group=self.group.name, member=name
            )
        self._handle(failover.MemberUnreachable(name))
        self.group.abandon_unreachable()
        for _, waiting in self.awaiting.pop(name, []):
            waiting.callback(False)

    def _on_status(self, status, started_at):
        self.lease.record(status, started_at)
        self._handle(failover.StatusReceived(status))
        waiting = self.awaiting.pop(status.name, [])
        for entry in waiting:
            if entry[0] <= started_at:
                entry[1].callback(True)
            else:
                self.awaiting.setdefault(status.name, []).append(entry)

    async def _probe_as_witness(self, member):
        self.group.member_connections.drop(member)
        try:
            await self._status(member, FRESH_TIMEOUT_S)
        except member_connections.MemberCallError as error:
            return error.alive
        return True

    async def _status(self, name, timeout_s):
        row = await self.group.member_connections.call(name, STATUS_SQL, timeout_s)
        return failover.MemberStatus(
            name=row[0],
            role=row[1],
            term=int(row[2]),
            fenced_term=int(row[3]),
            position=sessions.Position(int(row[4]), int(row[5])),
            leader=row[6],
            leaving=row[7] == "t",
        )

    def _handle(self, event):
        view, promoter = self.group.view, self.promoter
        known = (view.term, view.primary)
        step = promoter.step
        actions = promoter.handle(event, self.context.now())
        self._log_step(step)
        for action in actions:
            _carry_out(action, self)
        if (view.term, view.primary) != known:
            self.group.on_primary_changed()
            self.send_news()

    def _log_step(self, before):
        promoter = self.promoter
        if promoter.step is before:
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

    def _holder(self):
        own = self.context.members.own
        return f"{own.name}/{own.incarnation}"

    async def _ask_witnesses(self, member):
        reachable = await self._collect_witnesses(member)
        self._handle(failover.WitnessesAnswered(member, reachable))

    async def _collect_witnesses(self, member):
        own = self.context.members.own
        others = [found for found in self.watchers if found.name != own.name]
        answers = await defer.gatherResults(
            [
                defer.ensureDeferred(self._ask_witness(instance, member))
                for instance in others
                if instance.data_centre != own.data_centre
            ]
        )
        return failover.combine_witness_reports(
            self.group.view.members[member].data_centre, answers
        )

    async def _ask_witness(self, instance, member):
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
        sql = f"SELECT * FROM pomelograde.fence({term}, '{self._holder()}')"
        try:
            row = await self.group.member_connections.call(
                member, sql, COMMAND_TIMEOUT_S
            )
        except member_connections.MemberCallError:
            return
        position = upstream.read_position(row[3:5])
        self._handle(
            failover.FenceAnswered(member, term, row[0] == "t", int(row[1]), position)
        )

    async def _promote(self, member, term):
        sql = f"SELECT * FROM pomelograde.promote({term}, '{self._holder()}')"
        try:
            row = await self.group.member_connections.call(
                member, sql, COMMAND_TIMEOUT_S
            )
            done = row[0] == "t"
        except member_connections.MemberCallError:
            done = False
        self._handle(failover.PromoteAnswered(member, term, done))

    async def _follow(self, member, term, leader):
        sql = f"SELECT * FROM pomelograde.follow({term}, '{leader}')"
        try:
            await self.group.member_connections.call(member, sql, COMMAND_TIMEOUT_S)
        except member_connections.MemberCallError:
            return


@functools.singledispatch
def _carry_out(action, watch):
    raise TypeError(f"unknown action {action!r}")


@_carry_out.register
def _(action: failover.ProbeNewConnection, watch):
    defer.ensureDeferred(watch._probe_fresh(action.member))


@_carry_out.register
def _(action: failover.QueryWitnesses, watch):
    defer.ensureDeferred(watch._ask_witnesses(action.member))


@_carry_out.register
def _(action: failover.Fence, watch):
    defer.ensureDeferred(watch._fence(action.member, action.term))


@_carry_out.register
def _(action: failover.Promote, watch):
    defer.ensureDeferred(watch._promote(action.member, action.term))


@_carry_out.register
def _(action: failover.Follow, watch):
    defer.ensureDeferred(watch._follow(action.member, action.term, action.leader))


@_carry_out.register
def _(action: failover.PublishPrimary, watch):
    watch.publish()
    defer.ensureDeferred(watch.group.store_primary(action.term, action.primary))
