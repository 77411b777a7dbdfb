"""Applies evacuations: what was sent to evacuated data centres ends in time."""

import collections

from twisted.internet import defer

from pomelograde.core import retries
from pomelograde.net import events, timers

SWEEP_INTERVAL_S = 0.1  # short against the time left after a deadline
REPORT_INTERVAL_S = 1.0

_UNREACHABLE = retries.ErrorKind.UPSTREAM_UNREACHABLE


class EvacuationTask:
    """Keeps statements, transactions and connections from evacuated members.

    New statements are kept away by the groups; this ends what is there already.

    Parameters
    ----------
    context : HostedContext
        Components that all tasks of the instance share.
    sync : StateSync
        This instance's copy of the store's state.
    proxy : Proxy
        Groups, sessions and pools.

    Attributes
    ----------
    deadlines : dict of str to float
        Time from which nothing is sent, by evacuated data centre.
    remaining : dict of str to tuple
        What was last logged of each data centre: names of its primaries, and
        the number of statements and of transactions there.
    recorded : dict of str to tuple or None
        Status rows in the store: the primaries that this instance wrote for each
        data centre, or None for a row that it has only found.
    recorded_era : int or None
        Era of the store in which the status rows were read; None while another
        instance is the reader.
    reported_at : float
        Time of the last report.
    """

    def __init__(self, context, sync, proxy):
        self.context = context
        self.sync = sync
        self.proxy = proxy
        self.deadlines = {}
        self.remaining = {}
        self.recorded = {}
        self.recorded_era = None
        self.reported_at = float("-inf")
        self.is_recording = False
        self.loop = None
        self.ended = context.metrics.add_counter(
            "pomelograde_evacuated_transactions",
            "Transactions that were ended since their data centre was evacuated.",
            "data_centre",
        )
        self.gauge = context.metrics.add_gauge(
            "pomelograde_evacuated_data_centres", "Data centres that are evacuated."
        )

    def start(self):
        """Start the periodic work."""
        self.loop = timers.start_loop(
            self.context, SWEEP_INTERVAL_S, self._sweep, now=False
        )

    def stop(self):
        """Stop the periodic work."""
        if self.loop is not None and self.loop.running:
            self.loop.stop()

    def update(self):
        """Apply changed evacuations."""
        known = self.sync.fleet.evacuations
        now = self.context.now()
        before = self.deadlines
        self.deadlines = known.deadlines(self.context.settings.evacuation_s)
        self.proxy.set_evacuations(self.deadlines)
        self.gauge.set(len(self.deadlines))
        for name in sorted(self.deadlines.keys() - before.keys()):
            self.context.log.write(
                events.Event.EVACUATION_STARTED,
                data_centre=name,
                revision=known.read.revision,
                left_s=_round(self.deadlines[name] - now),
                services=len(self._find_primaries(name)),
            )
        for name in sorted(before.keys() - self.deadlines.keys()):
            self.remaining.pop(name, None)
            self.context.log.write(
                events.Event.EVACUATION_ENDED,
                data_centre=name,
                revision=known.read.revision,
            )
        self.reported_at = float("-inf")
        self._sweep()

    def _sweep(self):
        now = self.context.now()
        if self.deadlines:
            self._end_work(now)
        if now - self.reported_at >= REPORT_INTERVAL_S:
            self.reported_at = now
            self._report(now)
            self._record_status()

    def _end_work(self, now):
        """End what is open in the evacuated data centres and may not go on."""
        for group in self.proxy.groups.values():
            for name, member in group.members.items():
                if member.data_centre in self.deadlines:
                    self._empty_pool(group, name, now)
        self._end_transactions(now)

    def _empty_pool(self, group, name, now):
        """Refuse the waiters for a member, and close its idle connections.

        Notes
        -----
        Connections to a primary are kept until it is replaced.
        """
        pool = self.proxy.pools.get(name)
        if pool is None or (name == group.primary and not group.is_closed(name, now)):
            return
        if pool.core.queue.length:
            pool.refuse_waiters(retries.Failure(_UNREACHABLE, name))
        if pool.idle:
            pool.close_roles(_owns_none)

    def _end_transactions(self, now):
        """End the transactions at members to which nothing more may be sent."""
        groups = self.proxy.groups
        for task in list(self.proxy.sessions):
            found = task.core.find_idle_member()
            if found is None:
                continue
            group = groups.get(found[0])
            if group is not None and group.is_closed(found[1], now):
                self._count_ended(group.members[found[1]])
                task.perform(task.core.on_member_closed())
        relay = self.proxy.relay
        for number, transaction in list(relay.open_transactions.items()):
            connection = transaction.connection
            group = groups.get(connection.service)
            if group is None or connection.response_handlers:
                continue
            if group.is_closed(connection.member, now):
                self._count_ended(group.members[connection.member])
                del relay.open_transactions[number]
                connection.on_lost = None
                connection.close()

    def _count_ended(self, member):
        self.context.metrics.count(self.ended, member.data_centre)

    def _find_primaries(self, data_centre):
        """Return the primaries in a data centre, as sorted names of members."""
        return sorted(
            group.primary
            for group in self.proxy.groups.values()
            if group.primary in group.members
            and group.members[group.primary].data_centre == data_centre
        )

    def _report(self, now):
        """Log what is left in each evacuated data centre, if that has changed."""
        if not self.deadlines:
            return
        statements = collections.Counter()
        for group in self.proxy.groups.values():
            for member in group.members.values():
                if member.data_centre in self.deadlines:
                    statements[member.data_centre] += member.outstanding
        for name in sorted(self.deadlines):
            found = (tuple(self._find_primaries(name)), statements[name])
            if self.remaining.get(name) == found:
                continue
            self.remaining[name] = found
            self.context.log.write(
                events.Event.EVACUATION_REMAINING,
                data_centre=name,
                left_s=_round(self.deadlines[name] - now),
                primaries=list(found[0]),
                statements=found[1],
            )

    def _record_status(self):
        """Write the primaries that are left to the store, once they have changed.

        Notes
        -----
        Only the reader does this. A row that it could not write is tried again.
        The rows that an earlier reader has left, and those of a store that has
        returned from an older copy, are read first.
        """
        if self.is_recording:
            return
        if not self.sync.is_reader(self.context.now()):
            self.recorded_era = None
            return
        era = self.sync.source.era
        if self.recorded_era != era:
            if self.sync.store_available:
                self.is_recording = True
                defer.ensureDeferred(self._read_status(era))
            return
        wanted = {name: tuple(self._find_primaries(name)) for name in self.deadlines}
        for name in sorted(wanted.keys() | self.recorded.keys()):
            if name not in wanted or wanted[name] != self.recorded.get(name):
                self.is_recording = True
                defer.ensureDeferred(self._write_status(name, wanted.get(name)))
                return

    async def _read_status(self, era):
        source = self.sync.source
        try:
            found = await source.fetch_recorded_evacuations()
        except source.StoreUnavailableError as error:
            self.context.log.write(
                events.Event.EVACUATION_STATUS_NOT_WRITTEN, reason=str(error)
            )
            return
        finally:
            self.is_recording = False
        self.recorded = dict.fromkeys(found)
        self.recorded_era = era

    async def _write_status(self, name, primaries):
        try:
            await self.sync.source.record_evacuation(name, primaries)
        except self.sync.source.StoreUnavailableError as error:
            self.context.log.write(
                events.Event.EVACUATION_STATUS_NOT_WRITTEN,
                data_centre=name,
                reason=str(error),
            )
            return
        finally:
            self.is_recording = False
        if primaries is None:
            self.recorded.pop(name, None)
        else:
            self.recorded[name] = primaries


def _owns_none(account):
    return False


def _round(left_s):
    """Return a remaining time for the log; 0 if it is over, or was never known."""
    return round(max(0.0, left_s), 3)
