"""What all tasks of one daemon share."""

import random
import time

import attrs

from pomelograde.core import membership, routing
from pomelograde.net import events, metrics, records, upstream


@attrs.define(eq=False)
class InstanceContext:
    """Parts of one daemon that all its tasks use.

    Attributes
    ----------
    reactor : IReactorTime
        Reactor.
    settings : Settings
        Settings of the daemon.
    log : Log
        Event log.
    metrics : Metrics
        Counters and histograms.
    credential : Credential
        How the proxy authenticates to members.
    members : Membership
        Instances of the fleet.
    random : random.Random
        Source of randomness.
    peers : PeerTask
        Messages to and from other instances.
    platform : PlatformClient or None
        The platform.
    classifier : Classifier
        Statement classes.
    events : EventBuffer
        Last events of this instance.
    decisions : DecisionBuffer
        Recent decisions on requests, by client account.
    """

    reactor: object
    settings: object
    log: events.Log
    metrics: metrics.Metrics
    credential: upstream.Credential
    members: membership.Membership
    random: random.Random
    peers: object = None
    platform: object = None
    classifier: routing.Classifier = attrs.field(factory=routing.Classifier)
    events: records.EventBuffer = attrs.field(
        factory=lambda: records.EventBuffer(time.time)
    )
    decisions: records.DecisionBuffer = attrs.field(
        factory=lambda: records.DecisionBuffer(time.time)
    )

    def now(self):
        """Return monotonic seconds."""
        return self.reactor.seconds()
