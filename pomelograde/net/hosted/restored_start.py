"""Learns at the start of a process what a store that was restored may lack.

The store may have returned from an older copy a moment ago, and what it lacks may
not have been written again. A process without a past can't tell, so it asks the
instances that run. It serves callers once one of them has answered that knows, or
once everything must have been written again.
"""

from twisted.internet import defer

from pomelograde.core import configuration
from pomelograde.net import events

# The operator has written its rows again this long after the store's return, and the
# reader those of takeovers. Members may take longer.
REWRITE_TIMEOUT_S = 7.0
MAX_ASKED = 8  # instances in one round
RETRY_INTERVAL_S = 0.3
MANY_INSTANCES = 20
MANY_INTERVAL_S = 1.0  # so that a large fleet does not overload the store


class RestoredStart:
    """Decides when the state that a process has read at its start is complete.

    Parameters
    ----------
    context : HostedContext
        Components that all tasks of the instance share.
    sync : StateSync
        This instance's copy of the store's state.
    stale_after_s : float
        Age in seconds from which a configuration may have been replaced.

    Attributes
    ----------
    is_settled : bool
        Whether this instance knows what the store may have lacked at its start.
    asked_since : float or None
        When other instances were first asked; None if they weren't.
    retry_interval_s : float
        Time until the store is read again.
    """

    def __init__(self, context, sync, stale_after_s):
        self.context = context
        self.sync = sync
        self.stale_after_s = stale_after_s
        self.is_settled = False
        self.asked_since = None
        self.retry_interval_s = RETRY_INTERVAL_S

    def record_answer(self):
        """Record that the store has answered; without eras, it is never restored."""
        if self.sync.source.era == 0:
            self._finish("store without eras")

    async def settle(self):
        """Return whether the state is complete; asks other instances if need be.

        Notes
        -----
        Members and configuration must have been read before.
        """
        if self.is_settled:
            return True
        source = self.sync.source
        instances = await self.sync.fetch_listed()
        if instances is None:
            return False
        if not source.rows:
            # Whoever finds the registration of this instance finds this row as well.
            if await self.sync.record_settled_era():
                self._finish("first instance")
        elif source.settled_era == source.rows_era:
            self._finish("store")
        else:
            await self._ask(instances)
        if not self.is_settled and self.is_rewritten():
            self._finish("time")
        return self.is_settled

    def is_rewritten(self):
        """Return whether all has been written again that the store had lost."""
        rewrite_s = max(REWRITE_TIMEOUT_S, self.sync.restored_members.rewrite_s)
        return self.context.now() - self.sync.source.era_since >= rewrite_s

    def knows_store_is_complete(self):
        """Return whether the store lacks nothing that this instance knows of."""
        return self.is_settled and self.is_rewritten()

    async def _ask(self, instances):
        """Ask some instances at once for all that they know."""
        if self.asked_since is None:
            self.asked_since = self.context.now()
        if len(instances) > MANY_INSTANCES:
            self.retry_interval_s = MANY_INTERVAL_S
        self.sync.presume_restored_members()
        own = self.context.members.own.name
        others = [found for found in instances if found.name != own]
        if len(others) > MAX_ASKED:
            others = self.context.random.sample(others, MAX_ASKED)
        await defer.gatherResults(
            [defer.ensureDeferred(self.sync.pull_from(found)) for found in others]
        )

    def accept(self, answer, name):
        """Return whether an instance's whole state shows what the store lacks.

        Parameters
        ----------
        answer : NewsAnswer
            Its answer.
        name : str
            Its name.

        Notes
        -----
        The instance must have followed the store until its return. A configuration
        that the store has lost isn't confirmed since, and counts for as long as
        keys are accepted by it.
        """
        limit_s = self.stale_after_s
        if answer.configuration_version > self.sync.stored_version:
            revocation_s = self.sync.freshness.revocation_s
            limit_s = revocation_s - configuration.KEY_MARGIN_S
        is_recent = answer.configuration_age_ms <= limit_s * 1000.0
        if answer.is_unsettled or not is_recent:
            return False
        self._finish(name)
        return True

    def _finish(self, source):
        if self.is_settled:
            return
        self.is_settled = True
        now = self.context.now()
        since = now if self.asked_since is None else self.asked_since
        self.context.log.write(
            events.Event.STATE_SETTLED,
            source=source,
            era=self.sync.source.era,
            s=round(now - since, 3),
        )
