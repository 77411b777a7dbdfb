"""Accepts configuration changes by conditional commits."""

import attrs
import result
from twisted.internet import task

from pomelograde.core import resources
from pomelograde.net import _rows, platform

MAX_TRIES = 8
COMMIT_TIMEOUT_S = 8.0
RETRY_DELAY_S = 0.1


@attrs.frozen
class RevisionConflict:
    """A change named a revision that is no longer the resource's.

    Attributes
    ----------
    current : Resource or None
        The resource as it is now.
    """

    current: resources.Resource | None


@attrs.frozen
class InvalidReference:
    """A change does not fit the rest of the configuration.

    Attributes
    ----------
    faults : list of str
        Faults, each with its field.
    """

    faults: list[str]


@attrs.frozen
class OutcomeUnknown:
    """The platform did not say whether the change was accepted.

    Attributes
    ----------
    reason : str
        What went wrong.
    change_id : str
        Id under which the same change can be sent again without being
        applied twice.
    """

    reason: str
    change_id: str


@attrs.frozen
class NotAccepted:
    """The platform can't be reached; nothing was sent to it."""

    reason: str


@attrs.frozen
class Change:
    """A change that an operator asks for.

    Attributes
    ----------
    kind, name : str
        Which resource.
    spec : object or None
        Checked spec; None deletes the resource.
    change_id : str
        Unique id of the change.
    expected : int or None
        Revision that the resource must have; 0 for none; None for any.
    operator : str
        Who makes the change.
    """

    kind: str
    name: str
    spec: object = attrs.field(repr=False)
    change_id: str
    expected: int | None = None
    operator: str = ""

    def accepted(self, revision):
        """Return the resource that the change makes."""
        return resources.Resource(
            self.kind, self.name, self.spec, revision, self.operator
        )


class Committer:
    """Commits changes and finds out what became of lost answers.

    Parameters
    ----------
    context : InstanceContext
        Parts of the daemon that all tasks share.
    client : PlatformClient
        The platform.
    log : ConfigurationLog
        Configuration in force.
    refresh : callable
        Coroutine function that fetches the latest configuration and returns
        a Result of the `RevisionRow`.

    Attributes
    ----------
    unresolved : dict of str to bool
        Ids of changes whose outcome is not known; True once given up.
    """

    def __init__(self, context, client, log, refresh):
        self.context = context
        self.client = client
        self.log = log
        self.refresh = refresh
        self.unresolved = {}

    def on_confirmed(self):
        """Take note that the platform has shown the latest revision."""
        self.unresolved = {
            change_id: given_up
            for change_id, given_up in self.unresolved.items()
            if not given_up
        }

    async def commit(self, change):
        """Accept a change.

        Parameters
        ----------
        change : Change
            What to change.

        Returns
        -------
        Result of Resource or RevisionConflict or InvalidReference \
or OutcomeUnknown or NotAccepted
            The resource as accepted.

        Notes
        -----
        Every try is conditional on the revision row. A commit whose answer
        was lost therefore either shows its id in the row that is read next, or
        can no longer take effect once another try has succeeded.
        """
        end = self.context.now() + COMMIT_TIMEOUT_S
        sent = False
        fault = "too many changes at once"
        for _ in range(MAX_TRIES):
            head = await self.refresh()
            if head.is_err():
                fault = head.err_value.reason
                if not sent or self.context.now() >= end:
                    break
                await task.deferLater(self.context.reactor, RETRY_DELAY_S)
                continue
            outcome = self._judge(change, head.ok_value)
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
                fault = answer.err_value.reason
        return self._give_up(change, sent, fault)

    def _judge(self, change, head):
        """Return the outcome where the configuration as it is decides it."""
        revision = head.recent.get(change.change_id)
        if revision is not None:
            return result.Ok(self._find_accepted(change, revision))
        current = self.log.current
        known = current.resources.get((change.kind, change.name))
        at = 0 if known is None else known.revision
        if change.expected is not None and change.expected != at:
            return result.Err(RevisionConflict(known))
        faults = resources.check_change(current, change.kind, change.name, change.spec)
        return result.Err(InvalidReference(faults)) if faults else None

    def _find_accepted(self, change, revision):
        """Return what was accepted under a change id that is known already."""
        known = self.log.current.resources.get((change.kind, change.name))
        if known is not None and known.revision == revision:
            return known
        return change.accepted(revision)

    async def _send(self, change, head):
        revision = head.revision + 1
        accepted = change.accepted(revision)
        value = head.next_value(change.change_id)
        answer = await self.client.commit(
            [platform.Condition(_rows.REVISION_KEY, head.version)],
            [
                platform.Write(_rows.REVISION_KEY, value),
                _rows.make_write(accepted, change.change_id),
            ],
        )
        return answer.map(lambda _: accepted)

    def _give_up(self, change, sent, fault):
        if not sent:
            self.unresolved.pop(change.change_id, None)
            return result.Err(NotAccepted(fault))
        self.unresolved[change.change_id] = True
        return result.Err(OutcomeUnknown(fault, change.change_id))
