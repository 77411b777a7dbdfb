"""Who sends heartbeats to whom, and which instances have gone silent."""

import attrs

from pomelograde.core.membership import _instances

RELAYS_PER_DATA_CENTRE = 3
HEARTBEAT_INTERVAL_S = 0.5
MESSAGES_PER_S = 50.0  # of one relay
SILENT_INTERVALS = 4
SILENT_DATA_CENTRE_INTERVALS = 8
REPEAT_INTERVALS = 3  # how long a change is sent with each heartbeat
PROBE_TIMEOUT_S = 1.0
REMEMBER_S = 600.0

_LIVE = _instances.State.LIVE
_LOST = _instances.State.LOST
_LEAVING = _instances.State.LEAVING


@attrs.frozen
class SendRecords:
    """Send a heartbeat with these records."""

    instance: _instances.Instance
    records: tuple


@attrs.frozen
class Probe:
    """Try a silent instance over a fresh connection."""

    instance: _instances.Instance


@attrs.frozen
class Changed:
    """The known state of an instance has changed."""

    record: _instances.Record
    known: bool


class FailureDetector:
    """Decides on heartbeats, suspicion and loss.

    Parameters
    ----------
    members : Membership
        What is known of the fleet.

    Notes
    -----
    In each data centre a few relays are chosen by rendezvous hash. Every
    instance sends its heartbeats to the relays of its own data centre; relays
    send theirs to all instances of their data centre and to the relays of the
    others. Changes travel with the heartbeats, and a digest tells two sides
    that they know different things.
    """

    def __init__(self, members):
        self.members = members
        self.heard_at = {}
        self.heard_from_data_centre = {}
        self.changed_at = {}
        self.probing = set()
        self.retry_index = 0
        self.relay_cache = (None, None)

    def relays(self, data_centre):
        """Return the names of the relays of a data centre."""
        live = self.members.live()
        if self.relay_cache[0] is not live:
            by_place = {}
            for found in live:
                by_place.setdefault(found.data_centre, []).append(found.name)
            chosen = {
                place: _instances.rendezvous(place, names, RELAYS_PER_DATA_CENTRE)
                for place, names in by_place.items()
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
        It grows with the number of receivers of a relay, so that a relay
        sends at most `MESSAGES_PER_S`.
        """
        own = self.members.own.data_centre
        live = self.members.live()
        near = sum(1 for found in live if found.data_centre == own)
        places = {found.data_centre for found in live} | {own}
        receivers = near + RELAYS_PER_DATA_CENTRE * (len(places) - 1)
        return max(HEARTBEAT_INTERVAL_S, receivers / MESSAGES_PER_S)

    def heartbeat_peers(self):
        """Return the instances that heartbeats go to and come from."""
        own = self.members.own
        is_relay = self.is_relay()
        return [
            found
            for found in self.members.live()
            if found.name != own.name
            and (is_relay or found.data_centre == own.data_centre)
            and (
                self._relays_for_its_place(found) or self._follows_own(found, is_relay)
            )
        ]

    def tick(self, now):
        """Take the time for one more heartbeat.

        Returns
        -------
        list of SendRecords, Probe or Changed
            What to do.
        """
        own = self.members.advance_heartbeat()
        actions = self._suspect(now)
        records = (own, *self._recent(now))
        for instance in [*self.heartbeat_peers(), *self._retries()]:
            actions.append(SendRecords(instance, records))
        self._forget_old(now)
        return actions

    def leave(self, now):
        """Announce that this instance stops; returns the actions."""
        receivers = self._announced_to()
        self.members.mark_leaving()
        record = self.members.advance_heartbeat()
        self.changed_at[record.instance.name] = now
        return [SendRecords(instance, (record,)) for instance in receivers]

    def on_heartbeat(self, sender, records, now):
        """Take a heartbeat.

        Parameters
        ----------
        sender : str
            Name of the instance that it came from.
        records : list of Record
            What it carried.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of SendRecords or Changed
            What to do; a relay passes changes on at once.
        """
        self.heard_at[sender] = now
        changes = []
        for record in records:
            known = record.instance.name in self.members.records
            if self.members.merge(record):
                self.changed_at[record.instance.name] = now
                changes.append(Changed(record, known))
        place = self.members.records.get(sender)
        if place is not None:
            self.heard_from_data_centre[place.instance.data_centre] = now
        if not changes or not self.is_relay():
            return changes
        news = tuple(change.record for change in changes)
        passed = [
            SendRecords(instance, (self.members.advance_heartbeat(), *news))
            for instance in self.heartbeat_peers()
            if instance.name != sender
        ]
        return [*changes, *passed]

    def on_probe_failed(self, name, now):
        """Take that a silent instance does not answer a fresh connection."""
        self.probing.discard(name)
        record = self.members.records.get(name)
        silent_s = SILENT_INTERVALS * self.interval_s()
        heard = self.heard_at.get(name, float("-inf"))
        if record is None or record.state is not _LIVE or now - heard < silent_s:
            return []
        return self._lose([name], now)

    def on_probe_answered(self, name, now):
        """Take that a silent instance answers after all."""
        self.probing.discard(name)
        self.heard_at[name] = now

    def all_records(self):
        """Return the records of all instances."""
        return tuple(self.members.records.values())

    def _relays_for_its_place(self, instance):
        return instance.name in self.relays(instance.data_centre)

    def _follows_own(self, instance, is_relay):
        return is_relay and instance.data_centre == self.members.own.data_centre

    def _suspect(self, now):
        actions = []
        silent_s = SILENT_INTERVALS * self.interval_s()
        for instance in self.heartbeat_peers():
            name = instance.name
            heard = self.heard_at.setdefault(name, now)
            if now - heard >= silent_s and name not in self.probing:
                self.probing.add(name)
                actions.append(Probe(instance))
        return [*actions, *self._lose_silent_data_centres(now)]

    def _lose_silent_data_centres(self, now):
        if not self.is_relay():
            return []
        own = self.members.own.data_centre
        limit = now - SILENT_DATA_CENTRE_INTERVALS * self.interval_s()
        names = [
            found.name
            for found in self.members.live()
            if found.data_centre != own
            and self.heard_from_data_centre.setdefault(found.data_centre, now) < limit
        ]
        return self._lose(names, now)

    def _lose(self, names, now):
        actions = []
        for name in names:
            record = self.members.mark_lost(name)
            self.changed_at[name] = now
            self.heard_at.pop(name, None)
            actions.append(Changed(record, True))
        return actions

    def _recent(self, now):
        limit = now - REPEAT_INTERVALS * self.interval_s()
        own = self.members.own.name
        return [
            self.members.records[name]
            for name, changed in self.changed_at.items()
            if changed >= limit and name != own and name in self.members.records
        ]

    def _retries(self):
        """Return one instance that is not live, to see whether it is back."""
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

    def _announced_to(self):
        own = self.members.own
        return [
            found
            for found in self.members.live()
            if found.name != own.name
            and (
                found.data_centre == own.data_centre
                or self._relays_for_its_place(found)
            )
        ]

    def _forget_old(self, now):
        limit = now - REMEMBER_S
        for name, changed in list(self.changed_at.items()):
            record = self.members.records.get(name)
            if changed >= limit:
                continue
            del self.changed_at[name]
            if record is not None and record.state is not _LIVE:
                self.members.forget(name)
