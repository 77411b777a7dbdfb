"""Sends and receives heartbeats, and maintains the set of live instances."""

import functools

import attrs
import result
from twisted.internet import defer

from pomelograde.core import membership
from pomelograde.net import events, faults, peer_messages, peers, timers

INSTANCE_LIST_INTERVAL_S = 2.0
LEAVE_TIMEOUT_S = 1.0
RECORD_SYNC_INTERVAL_S = 1.0

STATES = frozenset(state.value for state in membership.State)
CHANGE_EVENTS = {
    membership.State.LIVE: events.Event.INSTANCE_JOINED,
    membership.State.LOST: events.Event.INSTANCE_LOST,
    membership.State.LEAVING: events.Event.INSTANCE_LEAVING,
}


class MembershipTask:
    """Runs the failure detector and notifies listeners of its changes.

    Parameters
    ----------
    context : InstanceContext
        State and services shared by all tasks of the daemon.
    client : PlatformClient
        Client of the platform, whose list of instances has addresses to try.
    configuration : ConfigurationTask
        Has the configuration revision in force.

    Attributes
    ----------
    listeners : list of callable
        Called without arguments when the set of instances has changed.
    records_sent_at : dict of str to float
        For each peer, the monotonic time at which all records were last sent to
        it because its digest differed.
    """

    def __init__(self, context, client, configuration):
        self.context = context
        self.client = client
        self.configuration = configuration
        self.detector = membership.FailureDetector(context.members)
        self.listeners = []
        self.instance_list_loop = None
        self.timer = None
        self.records_sent_at = {}
        context.peers.handlers[peer_messages.Heartbeat] = self._on_heartbeat

    def start(self):
        """Start to send heartbeats and to read the platform's list of instances."""
        self.instance_list_loop = timers.start_loop(
            self.context, INSTANCE_LIST_INTERVAL_S, self._start_instance_list_read
        )
        self._on_heartbeat_due()

    def stop(self):
        """Stop the heartbeats and the reads of the list."""
        if self.instance_list_loop is not None:
            self.instance_list_loop.stop()
        timer, self.timer = self.timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def leave(self):
        """Announce to the peers that this instance stops.

        Returns
        -------
        Deferred
            Fires when the receivers have confirmed it, or after
            `LEAVE_TIMEOUT_S`.
        """
        actions = self.detector.leave(self.context.now())
        announcements = [
            defer.ensureDeferred(self._announce(action.instance, action.records))
            for action in actions
        ]
        return defer.DeferredList(announcements, consumeErrors=True)

    def other_instances(self):
        """Return the live instances without this one."""
        members = self.context.members
        return [
            instance for instance in members.live() if instance.name != members.own.name
        ]

    async def probe(self, instance):
        """Send a heartbeat to a silent instance over a new connection."""
        self.context.peers.drop_connection(instance.name)
        heartbeat = self._heartbeat((self.context.members.advance_heartbeat(),))
        try:
            await self.context.peers.request(
                instance, heartbeat, membership.PROBE_TIMEOUT_S
            )
        except peers.PeerUnreachableError:
            now = self.context.now()
            self.execute(self.detector.on_probe_failed(instance.name, now))
            return
        self.detector.on_probe_answered(instance.name, self.context.now())

    def execute(self, actions):
        """Execute the failure detector's actions and notify the listeners."""
        for action in actions:
            _execute(action, self)
        if any(isinstance(action, membership.Changed) for action in actions):
            for listener in self.listeners:
                faults.run(self.context, listener)

    def send(self, instance, records):
        """Send a heartbeat that carries the given records."""
        self.context.peers.send(instance, self._heartbeat(records))

    def _on_heartbeat_due(self):
        self.timer = self.context.reactor.callLater(
            self.detector.interval_s(), self._on_heartbeat_due
        )
        self.execute(self.detector.tick(self.context.now()))

    async def _announce(self, instance, records):
        heartbeat = self._heartbeat(records)
        await self.context.peers.request(instance, heartbeat, LEAVE_TIMEOUT_S)

    def _heartbeat(self, records):
        return peer_messages.Heartbeat(
            self.configuration.current.revision,
            0,
            [_to_news(record) for record in records],
            self.context.members.digest(),
        )

    def _on_heartbeat(self, message, envelope):
        records = self._read_records(message.instances, envelope.sender)
        now = self.context.now()
        self.execute(self.detector.on_heartbeat(envelope.sender, records, now))
        if envelope.request_id:
            # A probe: the sender receives no heartbeats from this instance, so the
            # connection to the sender may be dead.
            self.context.peers.drop_connection(envelope.sender)
            return self._heartbeat((self.context.members.advance_heartbeat(),))
        if message.digest != self.context.members.digest():
            self._send_all_records(envelope.sender, now)
        return None

    def _read_records(self, items, sender):
        """Return the records of a heartbeat that can be used; logs the others."""
        records = []
        for item in items:
            record = _to_record(item)
            if record.is_ok():
                records.append(record.ok_value)
            else:
                self.context.peers.reject(item, sender, record.err_value)
        return records

    def _send_all_records(self, name, now):
        """Send the records of all instances to a peer whose digest differs."""
        instance = self.context.members.instances.get(name)
        sent_at = self.records_sent_at.get(name, float("-inf"))
        if instance is None or now - sent_at < RECORD_SYNC_INTERVAL_S:
            return
        self.records_sent_at[name] = now
        self.context.members.advance_heartbeat()
        self.send(instance, self.detector.all_records())

    def _start_instance_list_read(self):
        return defer.ensureDeferred(self._read_instance_list())

    async def _read_instance_list(self):
        answer = await self.client.instances()
        if answer.is_err():
            return
        for instance in answer.ok_value.instances:
            if not instance.leaving:
                self.context.members.add_seed(instance)


def _to_news(record):
    return peer_messages.write_instance(
        record.instance, beat=record.beat, state=int(record.state)
    )


def _to_record(item):
    """Return the Result of the `Record` of an `InstanceNews`, or what is wrong."""
    if item.state not in STATES:
        return result.Err(f"has an unknown state {item.state}")
    state = membership.State(item.state)
    leaving = state is membership.State.LEAVING
    return peer_messages.read_instance(item).map(
        lambda found: membership.Record(
            attrs.evolve(found, leaving=leaving), item.beat, state
        )
    )


@functools.singledispatch
def _execute(action, membership_task):
    raise TypeError(f"unknown action {action!r}")


@_execute.register
def _(action: membership.SendRecords, membership_task):
    membership_task.send(action.instance, action.records)


@_execute.register
def _(action: membership.Probe, membership_task):
    defer.ensureDeferred(membership_task.probe(action.instance))


@_execute.register
def _(action: membership.Changed, membership_task):
    instance = action.record.instance
    if action.record.state is membership.State.LOST:
        membership_task.context.peers.drop_connection(instance.name)
    membership_task.context.log.write(
        CHANGE_EVENTS[action.record.state], peer=instance.name
    )
