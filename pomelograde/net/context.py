"""State and services shared by all tasks of one daemon."""

import random
import time

import attrs

from pomelograde.core import membership, routing
from pomelograde.net import events, metrics, records, upstream


@attrs.define(eq=False)
class InstanceContext:
    """State and services shared by all tasks of one daemon.

    Attributes
    ----------
    reactor : IReactorTime
        Event loop.
    settings : Settings
        Settings of the daemon.
    log : Log
        Event log.
    metrics : Metrics
        Counters and histograms.
    credential : Credential
        Credential of the proxy for connections to members.
    members : Membership
        Instances of the fleet.
    random : random.Random
        Source of random numbers.
    peers : PeerTask
        Sends and receives messages of other instances.
    platform : PlatformClient or None
        Client of the platform, if one is configured.
    classifier : Classifier
        Classifies statements.
    events : EventRecord
        Most recent log events of this instance.
    decisions : DecisionRecord
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
