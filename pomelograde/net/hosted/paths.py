"""Carries what `membership.Reachability` decides about instances and members."""

import functools

import attrs
from twisted.internet import defer

from pomelograde.core import membership, retries
from pomelograde.net import events, peer_messages, peers, pools

CONNECT_TIMEOUT_S = 0.4  # to another instance: a round trip and a busy process
RECENT_S = 0.5  # in which an answer shows that a member is reached
MAX_UNANSWERED_S = 5.0  # after which nobody waits for a member's answer any more
PING_TIMEOUT_S = 1.0  # after which an answer isn't waited for any more

_KIND = retries.ErrorKind


class Paths:
    """Which instances and members this instance reaches.

    Parameters
    ----------
    context : HostedContext
        Components that all tasks of the instance share.
    proxy : Proxy
        Its relay sends statements to other instances, its pools to members.

    Attributes
    ----------
    instances : InstancePaths
        Paths to other instances.
    members : MemberPaths
        Paths to members.
    findings : Findings
        What the fleet has found out recently.
    marks : OwnerMarks
        Other instances that do not reach a member.
    in_use : set of str
        Members that connections were opened to.
    counter : Counter
        Pings, losses, recoveries, hints and refusals.
    """

    def __init__(self, context, proxy):
        self.context = context
        self.proxy = proxy
        self.relay = proxy.relay
        self.instances = InstancePaths(self)
        self.members = MemberPaths(self)
        self.findings = membership.Findings()
        self.marks = membership.OwnerMarks()
        self.in_use = set()
        self.counter = context.metrics.add_counter(
            "pomelograde_paths", "Pings of paths and what they found.", "event"
        )

    def set_instances(self, previous, instances):
        """Update the registered instances; one that has restarted is pinged soon."""
        self.instances.set_instances(instances)
        incarnations = {found.name: found.incarnation for found in previous}
        for found in instances:
            if incarnations.get(found.name, found.incarnation) != found.incarnation:
                self.on_contact(found.name)
        self.marks.forget(self.instances.by_name, self.context.now())

    def set_members(self, found_pools):
        """Update the registered members, given by their pools."""
        self.members.reach.set_places(
            {name: pool.spec.data_centre for name, pool in found_pools.items()}
        )

    def tick(self):
        """Ping silent instances and members, and act on pings without an answer."""
        now = self.context.now()
        waiting = {
            name: min(call.sent_at for call in calls)
            for name, calls in self.relay.outstanding.items()
            if calls
        }
        self.instances.perform(self.instances.reach.tick(now, waiting))
        self.members.tick(now)
        self.findings.update(now)

    def is_usable(self, name, now):
        """Return whether statements may be sent to an instance."""
        return self.instances.reach.is_usable(name, now)

    def find_candidates(self, member):
        """Return the instances to reach a member through, by name."""
        near = self.relay.find_usable("data_centre", member.data_centre)
        reaches = not self.members.reach.is_unreachable(member.name)
        if reaches and member.name not in self.marks.marks:
            return near
        return membership.choose_paths(
            near,
            self._find_all_usable,
            self.marks.find_marked(member.name, self.context.now()),
            self.context.members.own.name,
            reaches,
        )

    def _find_all_usable(self):
        now = self.context.now()
        own = self.context.members.own
        return {
            found.name: found
            for found in self.relay.instances
            if self.relay._may_use(found, own, now)
        }

    def check_member(self, name):
        """Return the Failure while this instance does not reach a member, or None."""
        reach = self.members.reach
        if not reach.is_unreachable(name):
            return None
        self.count("refused")
        wait_s = reach.next_trial_s(name, self.context.now())
        return _make_failure(name, wait_s)

    def check(self, name):
        """Ping an instance that did not answer something else."""
        now = self.context.now()
        self.instances.perform(self.instances.reach.check(name, now))

    def on_send(self, peer):
        """Note that a request is sent to an instance."""
        now = self.context.now()
        self.instances.perform(self.instances.reach.on_send(peer.name, now))

    def on_heard(self, name):
        """Note that an instance has answered a request."""
        self.instances.reach.on_heard(name, self.context.now())

    def on_contact(self, name):
        """Note that an instance has sent a request."""
        self.instances.reach.on_contact(name, self.context.now())

    def on_lost(self, name):
        """Handle that the connection to an instance is lost, or can't be opened."""
        now = self.context.now()
        self.instances.perform(self.instances.reach.on_lost(name, now))

    def on_member_unreachable(self, pool):
        """Handle that a connection to a member can't be opened.

        Notes
        -----
        A member that answers on other connections is only pinged.
        """
        now = self.context.now()
        reach = self.members.reach
        heard_at = max((found.released_at for found in pool.open), default=0.0)
        if now - heard_at < RECENT_S:
            self.members.perform(reach.check(pool.spec.name, now))
        else:
            self.members.perform(reach.on_lost(pool.spec.name, now))

    def on_relay_answer(self, owner, member, message):
        """Note what an owner's answer says about its path to a member."""
        if message.path_failed:
            now = self.context.now()
            self.marks.mark(owner.name, member, now)
            self.findings.add(
                membership.Finding(owner.name, member, True, now, owner.name), now
            )
        elif member in self.marks.marks and not message.refusal:
            self.marks.clear(owner.name, member)
        if message.paths:
            self.receive_news(message.paths)

    def record(self, name, member, is_lost):
        """Record an own finding, to be passed on."""
        now = self.context.now()
        own = self.context.members.own.name
        finding = membership.Finding(name, member, is_lost, now, own)
        if self.findings.add(finding, now):
            self.findings.update(now)

    def receive_news(self, news):
        """Handle what another instance knows about paths."""
        now = self.context.now()
        for found in news:
            if found.instance == self.context.members.own.name:
                continue
            found_at = now - found.age_ms / 1000.0
            finding = membership.Finding(
                found.instance, found.member, found.is_lost, found_at, found.origin
            )
            if not self.findings.add(finding, now):
                continue
            self.count("hint")
            if not found.member:
                self.instances.perform(
                    self.instances.reach.on_hint(
                        found.instance, found_at, found.origin, now
                    )
                )
            elif found.is_lost:
                self.marks.mark(found.instance, found.member, found_at)
            else:
                self.marks.clear(found.instance, found.member)

    def list_news(self, limit=membership.MAX_IN_NEWS):
        """Return the latest findings as parts of a message."""
        now = self.context.now()
        return [
            peer_messages.PathNews(
                found.instance,
                found.member,
                found.is_lost,
                int((now - found.found_at) * 1000.0),
                found.origin,
            )
            for found in self.findings.outgoing[:limit]
        ]

    def add_news(self, message):
        """Return a request or answer of the relay with the latest findings."""
        if not self.findings.outgoing:
            return message
        return attrs.evolve(message, paths=self.list_news(membership.MAX_IN_ANSWER))

    def count(self, event):
        """Count an event of a path."""
        self.context.metrics.count(self.counter, event)


class InstancePaths:
    """Pings instances and stops using those that do not answer.

    Parameters
    ----------
    paths : Paths
        What all paths share.

    Attributes
    ----------
    reach : Reachability
        Decides when to ping.
    by_name : dict of str to Instance
        Registered instances.
    """

    def __init__(self, paths):
        self.paths = paths
        self.reach = membership.Reachability(membership.INSTANCE_LIMITS)
        self.by_name = {}

    def set_instances(self, instances):
        """Set the registered instances."""
        self.by_name = {found.name: found for found in instances}
        self.reach.set_places({found.name: found.data_centre for found in instances})

    def perform(self, actions):
        """Perform what was decided."""
        for action in actions:
            _execute(action, self)

    def ping(self, name):
        """Ping an instance."""
        peer = self.by_name.get(name)
        if peer is None:
            return
        context = self.paths.context
        sent = defer.ensureDeferred(
            context.peers.request(peer, peer_messages.Ping(), PING_TIMEOUT_S)
        )
        sent.addCallbacks(self._on_answer, self._on_failed, [name], None, [name])

    def _on_answer(self, message, name):
        now = self.paths.context.now()
        self.perform(self.reach.on_answer(name, now))

    def _on_failed(self, reason, name):
        reason.trap(peers.PeerUnreachableError)
        if not reason.check(peers.NoReplyError):
            self.paths.on_lost(name)

    def on_unreachable(self, action):
        """Stop using an instance; its calls go elsewhere."""
        paths = self.paths
        paths.context.log.write(
            events.Event.KEEPER_SUSPECTED,
            keeper=action.name,
            reason=action.cause.value,
            hint=action.origin,
        )
        paths.record(action.name, "", True)
        paths.relay.fail_calls(action.name)
        paths.context.peers.drop_connection(action.name)

    def on_recovered(self, action):
        """Use an instance again."""
        self.paths.context.log.write(
            events.Event.KEEPER_ANSWERS,
            keeper=action.name,
            after_s=round(action.after_s, 3),
        )


class MemberPaths:
    """Pings members that do not answer, and gives up what waits for them.

    Parameters
    ----------
    paths : Paths
        What all paths share.

    Attributes
    ----------
    reach : Reachability
        Decides when to ping.
    pinged : dict of str to UpstreamConnection
        Connections that a ping is outstanding on, by member.
    repeat_at : float
        When the others are told again which members are not reached.
    """

    def __init__(self, paths):
        self.paths = paths
        self.reach = membership.Reachability(membership.MEMBER_LIMITS)
        self.pinged = {}
        self.repeat_at = 0.0

    def tick(self, now):
        """Ping silent members, and act on pings without an answer."""
        waiting = {}
        for name in list(self.paths.in_use):
            pool = self.paths.proxy.pools.get(name)
            if pool is None or not (pool.open or pool.opening):
                self.paths.in_use.discard(name)
                continue
            sent = [
                found.sent_at
                for found in pool.open
                if found.response_handlers and now - found.sent_at < MAX_UNANSWERED_S
            ]
            sent.extend(pool.opening.values())
            if sent:
                waiting[name] = min(sent)
                heard_at = max((found.released_at for found in pool.open), default=0.0)
                peer = self.reach.peers.get(name)
                if peer is not None and heard_at > peer.heard_at:
                    self.reach.on_heard(name, heard_at)
        self.perform(self.reach.tick(now, waiting))
        if now >= self.repeat_at:
            self.repeat_at = now + membership.REPEAT_S
            paths = self.paths
            paths.marks.forget(paths.instances.by_name, now)
            for name in self.reach.find_unreachable():
                paths.record(paths.context.members.own.name, name, True)

    def perform(self, actions):
        """Perform what was decided."""
        for action in actions:
            _execute(action, self)

    def ping(self, name):
        """Ping a member over an idle connection, or by opening one.

        Notes
        -----
        While it is unreachable, only a new connection shows that it is reached.
        One that evacuations have closed is forgotten instead, until something is
        sent to it again.
        """
        proxy = self.paths.proxy
        pool = proxy.pools.get(name)
        if pool is None:
            return
        if not proxy.may_send(pool.service, name, True):
            self.reach.forget(name)
            return
        role = next((found.role for found in pool.idle), None)
        if role is not None and not self.reach.is_unreachable(name):
            connection = pool.try_acquire(role, needs_room=False)
            if connection is not None:
                self.pinged[name] = connection
                proxy.query_position(
                    connection, functools.partial(self._on_position, connection)
                )
                return
        opening = defer.ensureDeferred(
            pool.open_connection(pool.spec, role or self._choose_role(pool))
        )
        opening.addCallbacks(
            self._on_opened, self._on_open_failed, [name], None, [name]
        )

    def _choose_role(self, pool):
        accounts = self.paths.proxy.configuration.accounts
        roles = (found.role for found in pool.open)
        return next(roles, next(iter(accounts), ""))

    def _on_position(self, connection, answer):
        self.pinged.pop(connection.member, None)
        self.paths.proxy.release(connection)
        self._on_answer(connection.member)

    def _on_opened(self, connection, name):
        connection.close()
        self._on_answer(name)

    def _on_open_failed(self, reason, name):
        reason.trap(pools.UpstreamOpenError)
        if reason.value.refused:
            self._on_answer(name)
        else:
            now = self.paths.context.now()
            self.perform(self.reach.on_lost(name, now))

    def _on_answer(self, name):
        now = self.paths.context.now()
        self.perform(self.reach.on_answer(name, now))

    def on_unreachable(self, action):
        """Refuse what waits for a member; reads under way go elsewhere."""
        paths = self.paths
        name = action.name
        paths.context.log.write(
            events.Event.MEMBER_CUT_OFF, member=name, reason=action.cause.value
        )
        paths.record(paths.context.members.own.name, name, True)
        pool = paths.proxy.pools.get(name)
        if pool is None:
            return
        wait_s = self.reach.next_trial_s(name, paths.context.now())
        pool.refuse_waiters(_make_failure(name, wait_s))
        pool.drop_idle()
        pinged = self.pinged.pop(name, None)
        if pinged is not None:
            pinged.close()
        for handler in list(paths.relay.pending):
            handler.on_path_lost(name)
        for task in list(paths.proxy.sessions):
            task.on_path_lost(name)

    def on_recovered(self, action):
        """Use a member again, and tell the others."""
        paths = self.paths
        paths.context.log.write(
            events.Event.MEMBER_REACHED,
            member=action.name,
            after_s=round(action.after_s, 3),
        )
        paths.record(paths.context.members.own.name, action.name, False)


def _make_failure(member, wait_s):
    return retries.Failure(
        _KIND.UPSTREAM_UNREACHABLE, member, retry_after_s=wait_s, path_failed=True
    )


@functools.singledispatch
def _execute(action, side):
    raise TypeError(f"unknown action {action!r}")


@_execute.register
def _(action: membership.Ping, side):
    side.paths.count("ping")
    side.ping(action.name)


@_execute.register
def _(action: membership.Unreachable, side):
    side.paths.count("unreachable")
    side.on_unreachable(action)


@_execute.register
def _(action: membership.Recovered, side):
    side.paths.count("recovered")
    side.on_recovered(action)
