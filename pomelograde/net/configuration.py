"""Keeps the configuration in force up to date and commits changes to it."""

import functools
import uuid

import attrs
import result
from twisted.internet import defer, task

from pomelograde.core import resources
from pomelograde.net import events, platform

PREFIX = "config/"
REVISION_KEY = "revision"
MAX_COMMIT_TRIES = 5


@attrs.frozen
class Changed:
    """A newer configuration is in force.

    Attributes
    ----------
    old, new : Configuration
        Before and after.
    """

    old: resources.Configuration
    new: resources.Configuration


@attrs.frozen
class RevisionConflict:
    """A change named a revision that is no longer the resource's.

    Attributes
    ----------
    current : Resource or None
        The resource as it is now.
    """

    current: resources.Resource | None


class ConfigurationTask:
    """Owns the configuration in force on this instance.

    Parameters
    ----------
    context : InstanceContext
        Parts of the daemon that all tasks share.
    client : PlatformClient
        The platform.

    Attributes
    ----------
    current : Configuration
        Configuration in force.
    listeners : list of callable
        Called with each `Changed`.
    confirmed_at : float
        When the platform last confirmed the revision, in monotonic seconds.
    """

    def __init__(self, context, client):
        self.context = context
        self.client = client
        self.current = resources.Configuration()
        self.table_version = 0
        self.confirmed_at = float("-inf")
        self.listeners = []
        self.available = True
        self.loop = task.LoopingCall(self._poll)

    def start(self):
        """Begin polling; returns a Deferred that fires after the first poll."""
        self.loop.clock = self.context.reactor
        first = defer.ensureDeferred(self.refresh())
        interval_s = self.context.settings.platform.poll_interval_s
        first.addCallback(lambda _: self._loop(interval_s) and None)
        return first

    def stop(self):
        """End polling."""
        if self.loop.running:
            self.loop.stop()

    async def refresh(self):
        """Fetch what has changed since the last look."""
        asked_at = self.context.now()
        answer = await self.client.rows(PREFIX, self.table_version)
        self._note_availability(answer)
        if answer.is_err():
            return
        version, rows = answer.ok_value
        self._apply(rows)
        self.table_version = max(self.table_version, version)
        self.confirmed_at = asked_at

    async def write(self, kind, name, spec, expected=None):
        """Accept a change of one resource.

        Parameters
        ----------
        kind, name : str
            Which resource.
        spec : object or None
            Checked spec; None deletes the resource.
        expected : int or None
            Revision that the resource must have; 0 for none; None for any.

        Returns
        -------
        Result of Resource or RevisionConflict or Unavailable
            The resource as accepted.
        """
        change_id = uuid.UUID(int=self.context.random.getrandbits(128)).hex
        for _ in range(MAX_COMMIT_TRIES):
            await self.refresh()
            known = self.current.resources.get((kind, name))
            at = 0 if known is None else known.revision
            if expected is not None and expected != at:
                return result.Err(RevisionConflict(known))
            outcome = await self._commit(kind, name, spec, change_id)
            if outcome.is_ok():
                await self.refresh()
                return outcome
            if isinstance(outcome.err_value, platform.Unavailable):
                return outcome
        return result.Err(RevisionConflict(self.current.resources.get((kind, name))))

    async def _commit(self, kind, name, spec, change_id):
        before = await self.client.rows(REVISION_KEY)
        if before.is_err():
            return before
        _, rows = before.ok_value
        row = rows[0] if rows else platform.Row(REVISION_KEY, {"revision": 0}, 0)
        revision = row.value["revision"] + 1
        value = {
            "revision": revision,
            "change_id": change_id,
            "spec": None if spec is None else resources.dump(spec),
        }
        answer = await self.client.commit(
            [platform.Condition(REVISION_KEY, row.version)],
            [
                platform.Write(REVISION_KEY, {"revision": revision}),
                platform.Write(f"{PREFIX}{kind}/{name}", value),
            ],
        )
        return answer.map(lambda _: resources.Resource(kind, name, spec, revision))

    def _loop(self, interval_s):
        self.loop.start(interval_s, now=False)

    def _poll(self):
        return defer.ensureDeferred(self.refresh())

    def _apply(self, rows):
        old = self.current
        new = old
        parsed = filter(None, map(self._parse, rows))
        for resource in sorted(parsed, key=lambda found: found.revision):
            new = new.apply(resource)
        if new is old:
            return
        self.current = new
        self.context.log.write(
            events.Event.CONFIGURATION_APPLIED, revision=new.revision
        )
        for listener in self.listeners:
            listener(Changed(old, new))

    def _parse(self, row):
        kind, _, name = row.key.removeprefix(PREFIX).partition("/")
        value = row.value
        if kind not in resources.KINDS or value is None:
            return None
        if value["spec"] is None:
            return resources.Resource(kind, name, None, value["revision"])
        checked = resources.validate(kind, value["spec"])
        if checked.is_err():
            self.context.log.write(
                events.Event.CONFIGURATION_REJECTED,
                resource=row.key,
                reason="; ".join(checked.err_value),
            )
            return None
        return resources.Resource(kind, name, checked.ok_value, value["revision"])

    def _note_availability(self, answer):
        available = answer.is_ok()
        if available == self.available:
            return
        self.available = available
        if available:
            self.context.log.write(events.Event.PLATFORM_AVAILABLE)
        else:
            self.context.log.write(
                events.Event.PLATFORM_UNAVAILABLE, reason=answer.err_value.reason
            )


@functools.cache
def kind_names():
    """Return the kinds of resources, in the order of their names."""
    return tuple(sorted(resources.KINDS))
