"""Components that all tasks of one hosted instance share."""

import random

import attrs

from pomelograde.core import membership
from pomelograde.net import events, metrics


@attrs.define(eq=False)
class HostedContext:
    """Components of one instance that all its tasks use.

    Attributes
    ----------
    reactor : IReactorTCP
        Reactor on a clock that is monotonic and counts suspended time.
    settings : HostedSettings
        Settings of the instance.
    log : Log
        Event log.
    metrics : Metrics
        Counters and histograms.
    members : Membership
        Registered instances.
    random : random.Random
        Source of randomness.
    peers : PeerTask
        Messages to and from other instances.
    """

    reactor: object
    settings: object
    log: events.Log
    metrics: metrics.Metrics
    members: membership.Membership
    random: random.Random
    peers: object = None

    def now(self):
        """Return the time of the reactor's clock in seconds."""
        return self.reactor.seconds()
