"""Keeps the configuration up to date and commits changes to it."""

import functools
import uuid

import attrs
import result
from twisted.internet import defer, task

from pomelograde.core import resources
from pomelograde.net import (
    _commits,
    _propagation,
    _rows,
    _snapshots,
    events,
    faults,
    platform,
    rejections,
    timers,
)

RevisionConflict = _commits.RevisionConflict
InvalidReference = _commits.InvalidReference
OutcomeUnknown = _commits.OutcomeUnknown
NotAccepted = _commits.NotAccepted
Change = _commits.Change

START_RETRY_INTERVAL_S = 0.25
WAITING_LOG_INTERVAL_S = 5.0
MAX_CONCURRENT_POLLS = 8  # bounds the polls that pile up on a slow platform
MAX_LOGGED_CHANGES = 32  # per batch


@attrs.frozen
class Changed:
    """Event: a newer configuration is in force.

    Attributes
    ----------
    old, new : Configuration
        Configuration before and after.
    changes : list of Resource
        Changes that were new, ordered by revision. The spec of a deletion is
        None.
    """

    old: resources.Configuration
    new: resources.Configuration
    changes: list = attrs.field(factory=list)


class ConfigurationTask:
    """Owns the configuration in force on this instance.

    Parameters
    ----------
    context : InstanceContext
        Context shared by all tasks of the daemon.
    client : PlatformClient
        Client of the platform.

    Attributes
    ----------
    log : ConfigurationLog
        Configuration in force and the last change of each resource.
    freshness : FreshnessTracker
        Tracks when the revision was last confirmed as the latest.
    table_version, table_revision : int
        Version of the platform's table that was last read, and the revision
        of the configuration at that version.
    revision_row : RevisionRow or None
        Revision row at `table_version`; None if it is invalid, so that no change
        can be committed.
    snapshot_revision : int
        Revision of the last snapshot that was loaded or stored here.
    listeners : list of callable
        Called with each `Changed`.
    in_force_listeners : list of callable
        Called with each change that was accepted here, once it is in force on
        all instances.
    """

    def __init__(self, context, client):
        self.context = context
        self.client = client
        self.log = resources.ConfigurationLog()
        self.rejections = rejections.RejectionLog(
            context, events.Event.CONFIGURATION_REJECTED
        )
        self.freshness = resources.FreshnessTracker()
        self.committer = _commits.Committer(
            context, client, self.log, self.read_revision_row
        )
        self.propagation = _propagation.Propagation(context, self)
        self.table_version = 0
        self.table_revision = 0
        self.revision_row = _rows.RevisionRow()
        self.snapshot_revision = 0
        self.snapshot_running = False
        self.listeners = []
        self.in_force_listeners = []
        self.platform_available = True
        self.stopped = False
        self.poll_loop = None
        self.polls_in_flight = 0
        self.propagation.register_handlers()

    @property
    def current(self):
        """Configuration in force."""
        return self.log.current

    @property
    def confirmed_at(self):
        """Time when the revision was last confirmed as the latest."""
        return self.freshness.confirmed_at

    def is_fresh(self, now):
        """Return whether the last confirmation is recent enough to serve by keys."""
        limit_s = self.context.settings.configuration.stale_after_s
        return now - self.freshness.confirmed_at < limit_s

    async def start(self):
        """Fetch the configuration from the platform or from peers, then poll."""
        warned_at = float("-inf")
        while not self.stopped:
            await self._load_snapshot()
            if (await self.refresh()).is_ok():
                break
            await self.propagation.poll_all_peers()
            if self.current.revision and self.is_fresh(self.context.now()):
                break
            if self.context.now() - warned_at >= WAITING_LOG_INTERVAL_S:
                warned_at = self.context.now()
                self._log_waiting()
            await task.deferLater(self.context.reactor, START_RETRY_INTERVAL_S)
        if self.stopped:
            return
        interval_s = self.context.settings.platform.poll_interval_s
        self.poll_loop = timers.start_loop(
            self.context, interval_s, self._poll, now=False
        )
        self.propagation.start()

    def stop(self):
        """Stop polling the platform and the peers."""
        self.stopped = True
        self.propagation.stop()
        if self.poll_loop is not None and self.poll_loop.running:
            self.poll_loop.stop()

    async def refresh(self):
        """Fetch the changes since the last read of the table; returns a Result."""
        asked_at = self.context.now()
        after, after_version = self.table_revision, self.table_version
        answer = await self.client.rows(_rows.PREFIX, after_version)
        self._record_availability(answer)
        if answer.is_err():
            return answer
        read = answer.ok_value
        if read.version < after_version:
            # What was taken for the table's version isn't, so rows may be missing.
            self.table_version = self.table_revision = 0
            return result.Err(platform.Unavailable("table is older than before"))
        batch = _rows.read_batch(read, after, self.on_rejected)
        if batch is not None:
            self.apply_batch(batch, whole=after_version == 0)
            if batch.revision >= self.table_revision:
                self.table_revision = batch.revision
                self._update_revision_row(read.rows, after_version == 0)
        if read.version > self.table_version:
            self.table_version = read.version
        self.freshness.on_platform_answer(asked_at)
        self.committer.on_confirmed()
        return answer

    def _update_revision_row(self, rows, whole):
        row = _rows.find_revision_row(rows)
        if row is not None:
            self.revision_row = _rows.read_revision_row(row).ok()
        elif whole:
            self.revision_row = None

    async def read_revision_row(self):
        """Fetch the latest configuration; returns a Result of `RevisionRow`."""
        answer = await self.refresh()
        if answer.is_ok() and self.revision_row is None:
            return result.Err(platform.Unavailable("invalid revision row"))
        return answer.map(lambda _: self.revision_row)

    async def write(self, kind, name, spec, expected=None, change_id="", operator=""):
        """Commit a change of one resource.

        Parameters
        ----------
        kind, name : str
            Kind and name of the resource.
        spec : object or None
            Checked spec; None deletes the resource.
        expected : int or None
            Revision that the resource must have; 0 if it must not exist, None
            to accept any.
        change_id : str
            Id that makes the change idempotent; generated if empty.
        operator : str
            Name of the operator who makes the change.

        Returns
        -------
        Result of Resource or RevisionConflict or InvalidReference \
or OutcomeUnknown or NotAccepted
            The resource as committed.
        """
        if not change_id:
            change_id = uuid.UUID(int=self.context.random.getrandbits(128)).hex
        before = self.current.revision
        change = _commits.Change(kind, name, spec, change_id, expected, operator)
        outcome = await self.committer.commit(change)
        if outcome.is_ok():
            accepted = outcome.ok_value
            after = accepted.revision - 1
            self.apply_batch(resources.Batch(after, accepted.revision, [accepted]))
            self.propagation.push(min(before, after))
            self.propagation.watch_rollout(accepted)
        return outcome

    def apply_batch(self, batch, whole=False):
        """Apply a batch from the platform or a peer.

        Parameters
        ----------
        batch : Batch
            Changes to apply.
        whole : bool
            Whether the batch holds the whole state.

        Returns
        -------
        Applied or Ignored or Gap
            Whether the batch advanced the configuration.

        Notes
        -----
        The records of deletions up to the horizon of a batch may have been
        dropped. A whole state therefore replaces a configuration whose revision
        is below its horizon.
        """
        behind_horizon = whole and batch.horizon > self.current.revision > 0
        apply = self.log.apply_snapshot if behind_horizon else self.log.apply_batch
        outcome = apply(batch)
        if isinstance(outcome, resources.Applied):
            self._notify(outcome)
        return outcome

    def _notify(self, applied):
        self.context.log.write(
            events.Event.CONFIGURATION_APPLIED, revision=applied.new.revision
        )
        for change in applied.changes[-MAX_LOGGED_CHANGES:]:
            self._log_change(change)
        changed = Changed(applied.old, applied.new, applied.changes)
        for listener in list(self.listeners):
            faults.run(self.context, listener, changed)

    def _log_change(self, change):
        self.context.log.write(
            events.Event.RESOURCE_CHANGED,
            resource=f"{change.kind}/{change.name}",
            revision=change.revision,
            operator=change.operator,
        )

    def _poll(self):
        if (
            self.polls_in_flight < MAX_CONCURRENT_POLLS
            and self.propagation.should_poll_platform()
        ):
            self.polls_in_flight += 1
            polled = defer.ensureDeferred(self._poll_platform())
            polled.addBoth(self._on_polled)

    def _on_polled(self, outcome):
        self.polls_in_flight -= 1
        return outcome

    async def _poll_platform(self):
        answer = await self.refresh()
        if answer.is_err() or self.snapshot_running:
            return
        due = self.snapshot_revision + _snapshots.SNAPSHOT_INTERVAL_REVISIONS
        is_due = self.snapshot_revision == 0 or self.current.revision >= due
        if self.propagation.is_poller() and is_due and self.current.revision:
            await self._store_snapshot()

    async def _store_snapshot(self):
        self.snapshot_running = True
        try:
            stored = await _snapshots.store(self.client)
        finally:
            self.snapshot_running = False
        if stored is not None:
            self.snapshot_revision = stored

    async def _load_snapshot(self):
        if self.current.revision:
            return
        answer = await _snapshots.load(self.client, self.on_rejected)
        if answer.is_err() or answer.ok_value is None:
            return
        snapshot = answer.ok_value
        self.apply_batch(snapshot.batch)
        self.revision_row = snapshot.revision_row
        self.table_version = snapshot.table_version
        self.table_revision = self.snapshot_revision = snapshot.batch.revision

    def _log_waiting(self):
        self.context.log.write(
            events.Event.CONFIGURATION_AWAITED,
            platform=self.context.settings.platform.url,
            peers=len(self.context.members.instances) - 1,
        )

    def on_rejected(self, key, reason):
        """Log a stored resource that fails validation."""
        self.rejections.write(reason, resource=key)

    def _record_availability(self, answer):
        available = answer.is_ok()
        if available == self.platform_available:
            return
        self.platform_available = available
        if available:
            self.context.log.write(events.Event.PLATFORM_AVAILABLE)
        else:
            self.context.log.write(
                events.Event.PLATFORM_UNAVAILABLE, reason=answer.err_value.reason
            )


@functools.cache
def kind_names():
    """Return the kinds of resources, sorted by name."""
    return tuple(sorted(resources.KINDS))
