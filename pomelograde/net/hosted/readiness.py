"""Readiness probe of the load balancer."""

from pomelograde.net import events
from pomelograde.net.hosted import probe_site

MAX_READY_AGE_S = 4.0  # of the configuration; keys are refused soon after this


class Readiness:
    """Decides whether this instance should get new callers.

    Parameters
    ----------
    context : HostedContext
        Components that all tasks of the instance share.
    freshness : Freshness
        How recent this instance's state is.

    Attributes
    ----------
    has_started : bool
        Whether the state was read, the instance registered, and callers can
        connect.
    is_stopping : bool
        Whether the instance is shutting down.
    last_ready : bool or None
        Result of the last check; None before the first.
    """

    def __init__(self, context, freshness):
        self.context = context
        self.freshness = freshness
        self.has_started = False
        self.is_stopping = False
        self.last_ready = None

    def check(self):
        """Return whether this instance should get new callers."""
        now = self.context.now()
        age_s = now - self.freshness.configuration_at
        recent = age_s < MAX_READY_AGE_S
        ready = self.has_started and not self.is_stopping and recent
        if ready != self.last_ready:
            self.last_ready = ready
            self.context.log.write(
                events.Event.READINESS_CHANGED,
                ready=ready,
                started=self.has_started,
                stopping=self.is_stopping,
                configuration_age_s=round(min(age_s, 1e6), 3),
            )
        return ready

    def render(self):
        """Return the Page that answers the probe."""
        if self.check():
            return probe_site.Page(200, "application/json", b'{"ready":true}')
        return probe_site.Page(503, "application/json", b'{"ready":false}')
