"""Readiness probe of the load balancer."""

from twisted.web import resource, server

from pomelograde.net import events

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


class ReadinessResource(resource.Resource):
    """``GET /ready``: 200 if the instance should get new callers, 503 if not.

    Parameters
    ----------
    readiness : Readiness
        Decides on the answer.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, readiness):
        super().__init__()
        self.readiness = readiness

    def render_GET(self, request):  # noqa: N802
        """Return the JSON body of the probe's answer."""
        ready = self.readiness.check()
        request.setResponseCode(200 if ready else 503)
        request.setHeader("content-type", "application/json")
        return b'{"ready":true}' if ready else b'{"ready":false}'


def make_site(readiness):
    """Return the HTTP site that answers the probe."""
    site = server.Site(ReadinessResource(readiness))
    site.noisy = False
    return site
