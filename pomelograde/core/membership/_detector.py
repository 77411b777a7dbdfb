"""Failure detection by heartbeats between instances."""

import attrs

from pomelograde.core.membership import _instances

RELAYS_PER_DATA_CENTRE = 3
HEARTBEAT_INTERVAL_S = 0.5
MAX_RELAY_MESSAGES_PER_S = 50.0
SUSPECT_AFTER_INTERVALS = 4
DATA_CENTRE_LOST_AFTER_INTERVALS = 8
CHANGE_REPEAT_INTERVALS = 3  # each heartbeat repeats changes for this long
PROBE_TIMEOUT_S = 1.0
RECORD_RETENTION_S = 600.0  # of instances that are lost or leaving

_LIVE = _instances.State.LIVE
_LOST = _instances.State.LOST
_LEAVING = _instances.State.LEAVING


@attrs.frozen
class SendRecords:
    """Send a heartbeat that carries the given records."""

    instance: _instances.Instance
    records: tuple


@attrs.frozen
class Probe:
    """Contact a silent instance over a new connection."""

    instance: _instances.Instance


@attrs.frozen
class Changed:
    """The known state of an instance has changed.

    Attributes
    ----------
    record : Record
        The new record of the instance.
    known : bool
        Whether there was a record of the instance before.
    """

    record: _instances.Record
    known: bool


class FailureDetector:
    """Decides when to send heartbeats, and when an instance is lost.

    It performs no I/O: the caller carries out the actions that the methods return.

    Parameters
    ----------
    members : Membership
        Records of the fleet's instances.

    Attributes
    ----------
    heard_at : dict of str to float
        Time of the last message from each instance, by name.
    data_centre_heard_at : dict of str to float
        Time of the last heartbeat from each data centre.
    changed_at : dict of str to float
        Time of the last change of each instance's record, by name.
    probing : set of str
        Names of the silent instances with a probe under way.

    Notes
    -----
    A few relays are chosen in each data centre by rendezvous hashing. Every
    instance sends heartbeats to the relays of its own data centre; relays send
    heartbeats to all instances of their data centre and to the relays of the
    other data centres. Changes are carried by the heartbeats. A digest in each
    heartbeat reveals when two instances have different records.
    """

    def __init__(self, members):
        self.members = members
        self.heard_at = {}
        self.data_centre_heard_at = {}
        self.changed_at = {}
        self.probing = set()
        self.retry_index = 0
        self.relay_cache = (None, None)

    def relays(self, data_centre):
        """Return the names of the relays of a data centre."""
        live = self.members.live()
        if self.relay_cache[0] is not live:
            by_data_centre = {}
            for instance in live:
                by_data_centre.setdefault(instance.data_centre, []).append(
                    instance.name
                )
            chosen = {
                name: _instances.rendezvous(name, names, RELAYS_PER_DATA_CENTRE)
                for name, names in by_data_centre.items()
            }
            self.relay_cache = (live, chosen)
        return self.relay_cache[1].get(data_centre, [])

    def is_relay(self):
        """Return whether this instance is a relay."""
        own = self.members.own
        return own.name in self.relays(own.data_centre)

    def interval_s(self):
        """Return the time between two heartbeats.

        Notes
        -----
        It grows with the number of instances that a relay sends to, which
        limits the relay to `MAX_RELAY_MESSAGES_PER_S`.
        """
        own_data_centre = self.members.own.data_centre
        live = self.members.live()
        local_count = sum(
            1 for instance in live if instance.data_centre == own_data_centre
        )
        data_centres = {instance.data_centre for instance in live} | {own_data_centre}
        receivers = local_count + RELAYS_PER_DATA_CENTRE * (len(data_centres) - 1)
        return max(HEARTBEAT_INTERVAL_S, receivers / MAX_RELAY_MESSAGES_PER_S)

    def heartbeat_peers(self):
        """Return the instances with which this one exchanges heartbeats."""
        own = self.members.own
        is_relay = self.is_relay()
        return [
            instance
            for instance in self.members.live()
            if instance.name != own.name
            and (is_relay or instance.data_centre == own.data_centre)
            and (
                self._is_data_centre_relay(instance)
                or self._uses_this_relay(instance, is_relay)
            )
        ]

    def tick(self, now):
        """Handle the end of a heartbeat interval.

        Returns
        -------
        list of SendRecords, Probe or Changed
            Actions to carry out.
        """
        own = self.members.advance_heartbeat()
        actions = self._suspect(now)
        records = (own, *self._recent_changes(now))
        for instance in [*self.heartbeat_peers(), *self._contact_candidates()]:
            actions.append(SendRecords(instance, records))
        self._forget_expired(now)
        return actions

    def leave(self, now):
        """Announce that this instance stops; returns the actions to carry out."""
        receivers = self._leave_receivers()
        self.members.mark_leaving()
        record = self.members.advance_heartbeat()
        self.changed_at[record.instance.name] = now
        return [SendRecords(instance, (record,)) for instance in receivers]

    def on_heartbeat(self, sender, records, now):
        """Handle a heartbeat.

        Parameters
        ----------
        sender : str
            Name of the instance that sent it.
        records : list of Record
            Records that it carried.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of SendRecords or Changed
            Actions to carry out; a relay forwards changes immediately.
        """
        self.heard_at[sender] = now
        changes = []
        for record in records:
            known = record.instance.name in self.members.records
            if self.members.merge(record):
                self.changed_at[record.instance.name] = now
                changes.append(Changed(record, known))
        sender_record = self.members.records.get(sender)
        if sender_record is not None:
            self.data_centre_heard_at[sender_record.instance.data_centre] = now
        if not changes or not self.is_relay():
            return changes
        changed_records = tuple(change.record for change in changes)
        forwarded = [
            SendRecords(instance, (self.members.advance_heartbeat(), *changed_records))
            for instance in self.heartbeat_peers()
            if instance.name != sender
        ]
        return [*changes, *forwarded]

    def on_probe_failed(self, name, now):
        """Handle that a silent instance did not answer over a new connection."""
        self.probing.discard(name)
        record = self.members.records.get(name)
        silent_s = SUSPECT_AFTER_INTERVALS * self.interval_s()
        heard = self.heard_at.get(name, float("-inf"))
        if record is None or record.state is not _LIVE or now - heard < silent_s:
            return []
        return self._mark_lost([name], now)

    def on_probe_answered(self, name, now):
        """Handle that a silent instance has answered over a new connection."""
        self.probing.discard(name)
        self.heard_at[name] = now

    def all_records(self):
        """Return the records of all instances."""
        return tuple(self.members.records.values())

    def _is_data_centre_relay(self, instance):
        return instance.name in self.relays(instance.data_centre)

    def _uses_this_relay(self, instance, is_relay):
        return is_relay and instance.data_centre == self.members.own.data_centre

    def _suspect(self, now):
        actions = []
        silent_s = SUSPECT_AFTER_INTERVALS * self.interval_s()
        for instance in self.heartbeat_peers():
            name = instance.name
            heard = self.heard_at.setdefault(name, now)
            if now - heard >= silent_s and name not in self.probing:
                self.probing.add(name)
                actions.append(Probe(instance))
        return [*actions, *self._mark_silent_data_centres_lost(now)]

    def _mark_silent_data_centres_lost(self, now):
        if not self.is_relay():
            return []
        own_data_centre = self.members.own.data_centre
        limit = now - DATA_CENTRE_LOST_AFTER_INTERVALS * self.interval_s()
        names = [
            instance.name
            for instance in self.members.live()
            if instance.data_centre != own_data_centre
            and self.data_centre_heard_at.setdefault(instance.data_centre, now) < limit
        ]
        return self._mark_lost(names, now)

    def _mark_lost(self, names, now):
        actions = []
        for name in names:
            record = self.members.mark_lost(name)
            self.changed_at[name] = now
            self.heard_at.pop(name, None)
            actions.append(Changed(record, True))
        return actions

    def _recent_changes(self, now):
        limit = now - CHANGE_REPEAT_INTERVALS * self.interval_s()
        own_name = self.members.own.name
        return [
            self.members.records[name]
            for name, changed in self.changed_at.items()
            if changed >= limit and name != own_name and name in self.members.records
        ]

    def _contact_candidates(self):
        """Return instances to contact because they may have become reachable.

        Lost instances and seeds without a record take turns, one for each
        heartbeat; an instance that knows no live peer contacts several.
        """
        records = self.members.records
        candidates = {
            name: record.instance
            for name, record in records.items()
            if record.state is _LOST
        }
        for name, seed in self.members.seeds.items():
            if name not in records:
                candidates[name] = seed
        if not candidates:
            return []
        names = sorted(candidates)
        if len(self.members.live()) == 1:
            return [candidates[name] for name in names[:RELAYS_PER_DATA_CENTRE]]
        self.retry_index += 1
        return [candidates[names[self.retry_index % len(names)]]]

    def _leave_receivers(self):
        own = self.members.own
        return [
            instance
            for instance in self.members.live()
            if instance.name != own.name
            and (
                instance.data_centre == own.data_centre
                or self._is_data_centre_relay(instance)
            )
        ]

    def _forget_expired(self, now):
        limit = now - RECORD_RETENTION_S
        for name, changed in list(self.changed_at.items()):
            record = self.members.records.get(name)
            if changed >= limit:
                continue
            del self.changed_at[name]
            if record is not None and record.state is not _LIVE:
                self.members.forget(name)
