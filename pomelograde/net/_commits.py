"""Commits configuration changes conditionally on the revision row."""

import attrs
import result
from twisted.internet import task

from pomelograde.core import resources
from pomelograde.net import _rows, platform

MAX_ATTEMPTS = 8
COMMIT_TIMEOUT_S = 8.0
RETRY_DELAY_S = 0.1


@attrs.frozen
class RevisionConflict:
    """The expected revision of a change is not the resource's current revision.

    Attributes
    ----------
    current : Resource or None
        The current resource.
    """

    current: resources.Resource | None


@attrs.frozen
class InvalidReference:
    """A change is inconsistent with the rest of the configuration.

    Attributes
    ----------
    faults : list of str
        Descriptions of the faults, each with the field concerned.
    """

    faults: list[str]


@attrs.frozen
class OutcomeUnknown:
    """The platform did not confirm whether the change was accepted.

    Attributes
    ----------
    reason : str
        Description of the failure.
    change_id : str
        Id with which the same change can be sent again without being applied
        twice.
    """

    reason: str
    change_id: str


@attrs.frozen
class NotAccepted:
    """The platform was unavailable; the change was not sent to it."""

    reason: str


@attrs.frozen
class Change:
    """A change requested by an operator.

    Attributes
    ----------
    kind, name : str
        Kind and name of the resource.
    spec : object or None
        Validated spec; None deletes the resource.
    change_id : str
        Unique id of the change.
    expected : int or None
        Revision that the resource must have; 0 if it must not exist; None for
        no condition.
    operator : str
        Name of the operator.
    """

    kind: str
    name: str
    spec: object = attrs.field(repr=False)
    change_id: str
    expected: int | None = None
    operator: str = ""

    def make_resource(self, revision):
        """Return the resource that results from the change at a revision."""
        return resources.Resource(
            self.kind, self.name, self.spec, revision, self.operator
        )


class Committer:
    """Commits changes and resolves commits whose answer was lost.

    Parameters
    ----------
    context : InstanceContext
        State and services shared by all tasks of the daemon.
    client : PlatformClient
        Client of the platform.
    log : ConfigurationLog
        Configuration in force.
    refresh : callable
        Coroutine function that fetches the latest configuration and returns
        a Result of the `RevisionRow`.

    Attributes
    ----------
    unresolved : dict of str to bool
        Ids of changes whose outcome is unknown; True once no further attempt
        is made.
    """

    def __init__(self, context, client, log, refresh):
        self.context = context
        self.client = client
        self.log = log
        self.refresh = refresh
        self.unresolved = {}

    def on_confirmed(self):
        """Forget abandoned changes once the platform has shown its latest revision."""
        self.unresolved = {
            change_id: given_up
            for change_id, given_up in self.unresolved.items()
            if not given_up
        }

    async def commit(self, change):
        """Commit a change.

        Parameters
        ----------
        change : Change
            Change to commit.

        Returns
        -------
        Result of Resource or RevisionConflict or InvalidReference \
or OutcomeUnknown or NotAccepted
            The accepted resource.

        Notes
        -----
        Every attempt is conditional on the version of the revision row. A
        commit whose answer was lost therefore either shows its change id in the
        row that is read next, or can no longer take effect once a later attempt
        has succeeded.
        """
        deadline = self.context.now() + COMMIT_TIMEOUT_S
        sent = False
        reason = "too many changes at once"
        for _ in range(MAX_ATTEMPTS):
            head = await self.refresh()
            if head.is_err():
                reason = head.err_value.reason
                if not sent or self.context.now() >= deadline:
                    break
                await task.deferLater(self.context.reactor, RETRY_DELAY_S)
                continue
            outcome = self._find_outcome(change, head.ok_value)
            if outcome is not None:
                self.unresolved.pop(change.change_id, None)
                return outcome
            self.unresolved[change.change_id] = False
            answer = await self._send(change, head.ok_value)
            if answer.is_ok():
                del self.unresolved[change.change_id]
                return answer
            if isinstance(answer.err_value, platform.Unavailable):
                sent = True
                reason = answer.err_value.reason
        return self._give_up(change, sent, reason)

    def _find_outcome(self, change, head):
        """Return the outcome if the current configuration determines it, else None."""
        revision = head.recent.get(change.change_id)
        if revision is not None:
            return result.Ok(self._find_accepted(change, revision))
        configuration = self.log.current
        current_resource = configuration.resources.get((change.kind, change.name))
        current_revision = 0 if current_resource is None else current_resource.revision
        if change.expected is not None and change.expected != current_revision:
            return result.Err(RevisionConflict(current_resource))
        faults = resources.check_change(
            configuration, change.kind, change.name, change.spec
        )
        return result.Err(InvalidReference(faults)) if faults else None

    def _find_accepted(self, change, revision):
        """Return the resource that was accepted under the same change id before."""
        current_resource = self.log.current.resources.get((change.kind, change.name))
        if current_resource is not None and current_resource.revision == revision:
            return current_resource
        return change.make_resource(revision)

    async def _send(self, change, head):
        revision = head.revision + 1
        accepted = change.make_resource(revision)
        value = head.next_value(change.change_id)
        answer = await self.client.commit(
            [platform.Condition(_rows.REVISION_KEY, head.version)],
            [
                platform.Write(_rows.REVISION_KEY, value),
                _rows.make_write(accepted, change.change_id),
            ],
        )
        return answer.map(lambda _: accepted)

    def _give_up(self, change, sent, reason):
        if not sent:
            self.unresolved.pop(change.change_id, None)
            return result.Err(NotAccepted(reason))
        self.unresolved[change.change_id] = True
        return result.Err(OutcomeUnknown(reason, change.change_id))
