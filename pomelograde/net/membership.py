"""Heartbeats between instances, and what they tell of each other."""

import functools

import attrs
from twisted.internet import defer, task

from pomelograde.core import membership
from pomelograde.net import events, peer_messages, peers

LIST_INTERVAL_S = 2.0
ANNOUNCE_TIMEOUT_S = 1.0
EXCHANGE_INTERVAL_S = 1.0

CHANGE_EVENTS = {
    membership.State.LIVE: events.Event.INSTANCE_JOINED,
    membership.State.LOST: events.Event.INSTANCE_LOST,
    membership.State.LEAVING: events.Event.INSTANCE_LEAVING,
}


class MembershipTask:
    """Owns the set of live instances.

    Parameters
    ----------
    context : InstanceContext
        Parts of the daemon that all tasks share.
    client : PlatformClient
        The platform, whose list gives addresses to try.
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
        self.detector = membership.FailureDetector(context.members)
        self.listeners = []
        self.list_loop = task.LoopingCall(self._read_list)
        self.timer = None
        self.exchanged_at = {}
        context.peers.handlers[peer_messages.Heartbeat] = self._on_heartbeat

    def start(self):
        """Begin to send heartbeats."""
        self.list_loop.clock = self.context.reactor
        self.list_loop.start(LIST_INTERVAL_S)
        self._beat()

    def stop(self):
        """End the heartbeats."""
        if self.list_loop.running:
            self.list_loop.stop()
        timer, self.timer = self.timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def leave(self):
        """Announce that this instance stops.

        Returns
        -------
        Deferred
            Fires when the receivers have confirmed it, or after
            `ANNOUNCE_TIMEOUT_S`.
        """
        actions = self.detector.leave(self.context.now())
        announced = [
            defer.ensureDeferred(self._announce(action.instance, action.records))
            for action in actions
        ]
        return defer.DeferredList(announced, consumeErrors=True)

    def others(self):
        """Return the live instances without this one."""
        members = self.context.members
        return [found for found in members.live() if found.name != members.own.name]

    async def probe(self, instance):
        """Try an instance over a fresh connection."""
        self.context.peers.drop_connection(instance.name)
        heartbeat = self._heartbeat((self.context.members.advance_heartbeat(),))
        try:
            await self.context.peers.request(
                instance, heartbeat, membership.PROBE_TIMEOUT_S
            )
        except peers.PeerUnreachableError:
            now = self.context.now()
            self.run(self.detector.on_probe_failed(instance.name, now))
            return
        self.detector.on_probe_answered(instance.name, self.context.now())

    def run(self, actions):
        """Carry out what the core decided."""
        for action in actions:
            _carry_out(action, self)
        if any(isinstance(action, membership.Changed) for action in actions):
            for listener in self.listeners:
                listener()

    def send(self, instance, records):
        """Send a heartbeat."""
        self.context.peers.send(instance, self._heartbeat(records))

    def _beat(self):
        self.run(self.detector.tick(self.context.now()))
        self.timer = self.context.reactor.callLater(
            self.detector.interval_s(), self._beat
        )

    async def _announce(self, instance, records):
        heartbeat = self._heartbeat(records)
        await self.context.peers.request(instance, heartbeat, ANNOUNCE_TIMEOUT_S)

    def _heartbeat(self, records):
        return peer_messages.Heartbeat(
            self.configuration.current.revision,
            0,
            [_to_news(record) for record in records],
            self.context.members.digest(),
        )

    def _on_heartbeat(self, message, envelope):
        records = [_to_record(news) for news in message.instances]
        now = self.context.now()
        self.run(self.detector.on_heartbeat(envelope.sender, records, now))
        if envelope.request_id:
            # The sender does not hear this instance: its connection is silent.
            self.context.peers.drop_connection(envelope.sender)
            return self._heartbeat((self.context.members.advance_heartbeat(),))
        if message.digest != self.context.members.digest():
            self._exchange(envelope.sender, now)
        return None

    def _exchange(self, name, now):
        """Send all that is known to a peer that knows something else."""
        instance = self.context.members.instances.get(name)
        before = self.exchanged_at.get(name, float("-inf"))
        if instance is None or now - before < EXCHANGE_INTERVAL_S:
            return
        self.exchanged_at[name] = now
        self.context.members.advance_heartbeat()
        self.send(instance, self.detector.all_records())

    def _read_list(self):
        return defer.ensureDeferred(self._fetch_list())

    async def _fetch_list(self):
        answer = await self.client.instances()
        if answer.is_err():
            return
        members = self.context.members
        for entry in answer.ok_value:
            if entry["leaving"]:
                continue
            seed = membership.Instance(
                name=entry["name"],
                data_centre=entry["data_centre"],
                incarnation=0,
                host=entry["host"],
                peer_port=entry["peer_port"],
            )
            members.add_seed(seed)


def _to_news(record):
    return peer_messages.write_instance(
        record.instance, beat=record.beat, state=int(record.state)
    )


def _to_record(news):
    state = membership.State(news.state)
    leaving = state is membership.State.LEAVING
    instance = attrs.evolve(peer_messages.read_instance(news), leaving=leaving)
    return membership.Record(instance, news.beat, state)


@functools.singledispatch
def _carry_out(action, members):
    raise TypeError(f"unknown action {action!r}")


@_carry_out.register
def _(action: membership.SendRecords, members):
    members.send(action.instance, action.records)


@_carry_out.register
def _(action: membership.Probe, members):
    defer.ensureDeferred(members.probe(action.instance))


@_carry_out.register
def _(action: membership.Changed, members):
    instance = action.record.instance
    if action.record.state is membership.State.LOST:
        members.context.peers.drop_connection(instance.name)
    members.context.log.write(CHANGE_EVENTS[action.record.state], peer=instance.name)
