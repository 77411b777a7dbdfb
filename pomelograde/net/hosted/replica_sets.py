"""Records which members of a service may hold acknowledged commits."""

from twisted.internet import defer

from pomelograde.core import takeovers
from pomelograde.net import events, faults, timers
from pomelograde.net.hosted import state_sync

CHECK_INTERVAL_S = 0.5  # as often as the reader reads the members
MAX_CHECKS = 8  # of services with members to remove, at once
# Time for which a member has answered no instance before it is removed.
ABSENT_TIMEOUT_S = 5.0


class ReplicaSetTask:
    """Keeps the record of each service with synchronous replicas.

    A member is added as soon as its row is read. One without a row is removed only
    while the primary works, and enough other replicas have received all that the
    primary has committed meanwhile: then nothing acknowledged depends on it.

    Parameters
    ----------
    context : HostedContext
        Components that all tasks of the instance share.
    sync : StateSync
        This instance's copy of the store's state.
    proxy : Proxy
        Groups and sessions.
    takeover_task : TakeoverTask
        Asks members, directly and through other instances.

    Attributes
    ----------
    absent_since : dict of tuple of str to float
        Since when each member, by service and name, has answered no instance.
    checking : set of str
        Services whose missing members are being asked.
    checked_at : dict of str to float
        When that was begun last.
    complete : dict of str to tuple of (dict, str or None, ReplicaSet)
        Members, primary and stored record of each service at the last check, if
        the record held these members and no others.
    """

    def __init__(self, context, sync, proxy, takeover_task):
        self.context = context
        self.sync = sync
        self.proxy = proxy
        self.takeover_task = takeover_task
        self.absent_since = {}
        self.checking = set()
        self.checked_at = {}
        self.complete = {}
        self.loop = None

    def start(self):
        """Start keeping the records."""
        self.loop = timers.start_loop(
            self.context, CHECK_INTERVAL_S, self._check, now=False
        )

    def stop(self):
        """Stop keeping the records."""
        if self.loop is not None and self.loop.running:
            self.loop.stop()

    def _check(self):
        now = self.context.now()
        may_act = state_sync.may_act_for_fleet(self.sync, now)
        if not may_act or self.proxy.is_stopping:
            self.absent_since.clear()
            return None
        changed = []
        for service, group in self.proxy.groups.items():
            if not self.takeover_task.count_synchronous(service):
                continue
            stored = self.sync.source.replica_sets.get(service)
            if self._is_complete(group, stored):
                continue
            recorded = self.sync.find_replica_set(service)
            updated = takeovers.update_replica_set(
                recorded or takeovers.ReplicaSet(service),
                [_make_recorded(member) for member in group.members.values()],
                group.primary,
            )
            is_stored = updated.has_same_content(stored)
            if updated.members and not is_stored:
                changed.append(updated)
            if is_stored and updated.names == group.members.keys():
                self.complete[service] = (group.members, group.primary, stored)
            faults.run(self.context, self._check_missing, group, updated, now)
        if not changed:
            return None
        return defer.ensureDeferred(self._write_all(changed))

    def _is_complete(self, group, stored):
        """Return whether nothing has changed since the record was complete."""
        members, primary, record = self.complete.get(group.name, (None, None, None))
        is_same = members is group.members and record is stored
        return is_same and primary == group.primary

    async def _write_all(self, changed):
        limit = self.sync.source.MAX_REPLICA_SETS
        for start in range(0, len(changed), limit):
            await self._write(changed[start : start + limit])

    async def _write(self, changed, removed=()):
        """Replace records; returns whether the store has taken them."""
        reason = "the rows have changed"
        written = None
        try:
            written = await self.sync.source.record_replica_sets(changed)
        except self.sync.source.StoreUnavailableError as error:
            reason = str(error) or type(error).__name__
        if written is None:
            self.context.log.write(
                events.Event.REPLICA_SETS_NOT_WRITTEN,
                services=[found.service for found in changed],
                reason=reason,
            )
            return False
        for found in written:
            self.context.log.write(
                events.Event.REPLICA_SET_CHANGED,
                service=found.service,
                primary=found.primary,
                members=[member.name for member in found.members],
                removed=sorted(removed),
            )
        return True

    def _check_missing(self, group, recorded, now):
        """Ask the members without a row, and remove those that nobody depends on."""
        service = group.name
        missing = recorded.names - group.members.keys()
        for known in [found for found in self.absent_since if found[0] == service]:
            if known[1] not in missing:
                del self.absent_since[known]
        is_due = now - self.checked_at.get(service, float("-inf")) >= CHECK_INTERVAL_S
        if not missing or service in self.checking or not is_due:
            return
        if len(self.checking) >= MAX_CHECKS or group.usable_primary(now) is None:
            return
        self.checking.add(service)
        self.checked_at[service] = now
        removing = defer.ensureDeferred(self._remove_absent(group, missing))
        removing.addErrback(self._on_fault)
        removing.addBoth(lambda _: self.checking.discard(service))

    def _on_fault(self, reason):
        timers.log_fault(self.context.log, self._remove_absent, reason)

    async def _remove_absent(self, group, missing):
        """Remove the members that answer nobody once others hold all commits."""
        self.takeover_task.apply_replica_set(group)
        members = [found for found in group.find_lapsed() if found.name in missing]
        answers = await defer.gatherResults(
            [defer.ensureDeferred(self._answers(group, found)) for found in members]
        )
        now = self.context.now()
        absent = set()
        for member, is_answering in zip(members, answers, strict=True):
            key = (group.name, member.name)
            if is_answering:
                self.absent_since.pop(key, None)
            elif now - self.absent_since.setdefault(key, now) >= ABSENT_TIMEOUT_S:
                absent.add(member.name)
        if not absent or not await self._is_held_by_others(group):
            return
        recorded = self.sync.find_replica_set(group.name)
        absent = {name for name in absent if name not in group.members}
        if recorded is None or not absent:
            return
        staying = [found for found in recorded.members if found.name not in absent]
        changed = takeovers.make_replica_set(
            recorded.service, recorded.primary, staying, recorded.row_version
        )
        if await self._write([changed], absent):
            for name in absent:
                self.absent_since.pop((group.name, name), None)

    async def _answers(self, group, member):
        """Return whether a member answers this instance or another one.

        Notes
        -----
        One whose data centre is evacuated may not be asked, and counts as absent.
        """
        if group.is_closed(member.name, self.context.now()):
            return False
        if await self.takeover_task.check_member(group, member):
            return True
        return bool(await self.takeover_task.query_witnesses(group, member))

    async def _is_held_by_others(self, group):
        """Return whether enough registered replicas hold all commits of the primary."""
        primary = group.usable_primary(self.context.now())
        if primary is None:
            return False
        needed = self.takeover_task.count_synchronous(group.name)
        return needed > 0 and await self.takeover_task.is_log_held(
            group, primary.name, needed
        )


def _make_recorded(member):
    return takeovers.RecordedMember(
        member.name, member.data_centre, member.host, member.port, member.leaving
    )
