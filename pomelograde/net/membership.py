"""Heartbeats between instances, and what they tell of each other."""

from twisted.internet import defer, task

from pomelograde.core import membership
from pomelograde.net import events, peer_messages

HEARTBEAT_INTERVAL_S = 0.5
LIST_INTERVAL_S = 2.0
DEAD_AFTER_S = 3.0


class MembershipTask:
    """Owns the set of live instances.

    Parameters
    ----------
    context : InstanceContext
        Parts of the daemon that all tasks share.
    client : PlatformClient
        The platform, whose list gives the first peers.
    configuration : ConfigurationTask
        Tells the revision in force.

    Attributes
    ----------
    listeners : list of callable
        Called without arguments when the set of instances has changed.
    """

    def __init__(self, context, client, configuration):
        self.context = context
        self.client = client
        self.configuration = configuration
        self.heard_at = {}
        self.listeners = []
        self.loops = []
        context.peers.handlers[peer_messages.Heartbeat] = self._on_heartbeat

    def start(self):
        """Begin to send heartbeats."""
        for interval_s, work in (
            (LIST_INTERVAL_S, self._read_list),
            (HEARTBEAT_INTERVAL_S, self._beat),
        ):
            loop = task.LoopingCall(work)
            loop.clock = self.context.reactor
            loop.start(interval_s)
            self.loops.append(loop)

    def stop(self):
        """End the heartbeats."""
        for loop in self.loops:
            loop.stop()
        self.loops = []

    def leave(self):
        """Announce that this instance stops."""
        members = self.context.members
        members.set_leaving()
        self._beat()

    def others(self):
        """Return the live instances without this one."""
        members = self.context.members
        return [found for found in members.live() if found.name != members.own.name]

    def _read_list(self):
        return defer.ensureDeferred(self._fetch_list())

    async def _fetch_list(self):
        answer = await self.client.instances()
        if answer.is_err():
            return
        changed = False
        for entry in answer.ok_value:
            if entry["name"] in self.context.members.instances or entry["leaving"]:
                continue
            seed = membership.Instance(
                name=entry["name"],
                data_centre=entry["data_centre"],
                incarnation=0,
                host=entry["host"],
                peer_port=entry["peer_port"],
            )
            if self.context.members.learn(seed):
                self.heard_at[seed.name] = self.context.now()
                changed = True
        if changed:
            self._notify()

    def _beat(self):
        self._forget_dead()
        own = self.context.members.own
        news = peer_messages.InstanceNews(
            name=own.name,
            data_centre=own.data_centre,
            region=own.region,
            incarnation=own.incarnation,
            host=own.host,
            peer_port=own.peer_port,
            leaving=own.leaving,
        )
        heartbeat = peer_messages.Heartbeat(
            self.configuration.current.revision, 0, [news]
        )
        for instance in list(self.context.members.instances.values()):
            if instance.name != own.name:
                self.context.peers.send(instance, heartbeat)

    def _on_heartbeat(self, message, envelope):
        changed = False
        for news in message.instances:
            if news.name == self.context.members.own.name:
                continue
            known = news.name in self.context.members.instances
            instance = membership.Instance(
                name=news.name,
                data_centre=news.data_centre,
                incarnation=news.incarnation,
                host=news.host,
                peer_port=news.peer_port,
                leaving=news.leaving,
                region=news.region,
            )
            self.heard_at[news.name] = self.context.now()
            if self.context.members.learn(instance):
                changed = True
                self._log_news(instance, known)
        if changed:
            self._notify()

    def _log_news(self, instance, known):
        if instance.leaving:
            event = events.Event.INSTANCE_LEAVING
        elif not known:
            event = events.Event.INSTANCE_JOINED
        else:
            return
        self.context.log.write(event, peer=instance.name)

    def _forget_dead(self):
        limit = self.context.now() - DEAD_AFTER_S
        dead = [name for name, heard in self.heard_at.items() if heard < limit]
        for name in dead:
            del self.heard_at[name]
            self.context.members.forget(name)
            self.context.log.write(events.Event.INSTANCE_LOST, peer=name)
        if dead:
            self._notify()

    def _notify(self):
        for listener in self.listeners:
            listener()
