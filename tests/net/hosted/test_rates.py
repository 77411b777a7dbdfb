"""Tests of rate limits on a fleet of many instances, on a simulated network."""

import random
import types

import testtools
from twisted.internet import defer, task

from pomelograde.core import configuration, membership, retries
from pomelograde.net import metrics, peer_messages
from pomelograde.net.hosted import rates
from tests import windows

INSTANCES = 72
DATA_CENTRES = 6
LATENCY_S = 0.005  # one way
RATE_PER_S = 5.0
BURST = 5.0
EXCESS = 0.1
SLACK = 20.0
WINDOW_S = 5.0
RUN_S = 30.0
STEP_S = 0.002


class Network:
    """Delivers messages between instances after `LATENCY_S`."""

    def __init__(self):
        self.clock = task.Clock()
        self.clock.advance(1000.0)
        self.handlers = {}
        self.silent = set()

    def request(self, name, message, sender):
        if name in self.silent:
            return defer.Deferred()
        envelope = types.SimpleNamespace(sender=sender)
        done = task.deferLater(self.clock, LATENCY_S, lambda: None)
        done.addCallback(
            lambda _: self.handlers[name][type(message)](message, envelope)
        )
        return done.addCallback(
            lambda answer: task.deferLater(self.clock, LATENCY_S, lambda: answer)
        )


class Relay:
    """Sends calls; knows at once which instances are silent."""

    def __init__(self, network, context):
        self.network = network
        self.context = context

    def is_usable(self, instance, now):
        return instance.name not in self.network.silent

    def send(self, call, request):
        own = self.context.members.own.name
        sent = self.network.request(call.peer.name, request, own)
        sent.addCallback(call.on_answer)


class Rates(rates.RegisteredRates):
    def clock(self):
        return self.context.now()


class Fleet:
    """Rate limits of all instances, and callers of one account at each of them."""

    def __init__(self, count=INSTANCES):
        self.network = Network()
        self.clock = self.network.clock
        self.instances = [
            membership.Instance(f"i{n}", f"dc{n % DATA_CENTRES}", n, "127.0.0.1", 2)
            for n in range(count)
        ]
        fleet_configuration = configuration.FleetConfiguration(
            accounts={
                "a": types.SimpleNamespace(
                    name="a", keys=(), rate_per_s=RATE_PER_S, burst=BURST
                )
            }
        )
        self.configuration = fleet_configuration
        self.admitted_at = []
        self.refused = []
        self.start()

    def start(self):
        """Start all instances without their earlier state, as after a kill."""
        self.rates = [self.make_rates(own) for own in self.instances]
        for instance_rates in self.rates:
            instance_rates.set_configuration(self.configuration)
            instance_rates.set_instances(self.instances)

    def make_rates(self, own):
        handlers = self.network.handlers[own.name] = {}
        members = membership.Membership(own)
        for found in self.instances:
            members.merge(membership.Record(found))
        context = types.SimpleNamespace(
            reactor=self.clock,
            now=self.clock.seconds,
            metrics=metrics.Metrics(),
            members=members,
            settings=types.SimpleNamespace(rate_excess=EXCESS, rate_slack=SLACK),
            peers=types.SimpleNamespace(
                handlers=handlers,
                request=lambda instance, message, timeout_s: self.network.request(
                    instance.name, message, own.name
                ),
            ),
        )
        # Its state stays recent.
        freshness = configuration.Freshness(5.0, float("inf"), float("inf"))
        return Rates(context, Relay(self.network, context), freshness)

    def run(self, demand_per_s, seconds=RUN_S):
        """Send requests at random instances; returns the admitted fraction."""
        rng = random.Random(1)
        end = self.clock.seconds() + seconds
        sent = 0
        next_at = self.clock.seconds()
        while self.clock.seconds() < end:
            while next_at <= self.clock.seconds():
                next_at += rng.expovariate(demand_per_s)
                sent += 1
                self.call(rng.choice(self.rates))
            self.clock.advance(STEP_S)
        return len(self.admitted_at) / sent

    def call(self, instance_rates):
        now = self.clock.seconds()
        if instance_rates.try_admit("a", now):
            self.admitted_at.append(now)
        else:
            waiting = instance_rates.admit("a", now + 4.0, 0.2, 1)
            waiting.addCallback(self.on_decided)

    def on_decided(self, failure):
        if failure is None:
            self.admitted_at.append(self.clock.seconds())
        else:
            self.refused.append(failure)


class ManyInstancesTests(testtools.TestCase):
    def test_account_within_a_low_rate_is_admitted_at_all_instances(self):
        fleet = Fleet()
        fleet.clock.advance(10.0)
        admitted = fleet.run(0.8 * RATE_PER_S)
        self.assertTrue(admitted > 0.98, (admitted, fleet.refused[:3]))

    def test_account_beyond_its_rate_gets_that_rate_and_no_more(self):
        fleet = Fleet()
        fleet.clock.advance(10.0)
        fleet.run(4.0 * RATE_PER_S)
        admitted = len(fleet.admitted_at)
        self.assertTrue(admitted > 0.97 * RATE_PER_S * RUN_S, admitted)
        bound = (RATE_PER_S * WINDOW_S + BURST) * (1.0 + EXCESS) + SLACK
        self.assertTrue(
            windows.max_count_in_window(fleet.admitted_at, WINDOW_S) < 0.9 * bound
        )
        kinds = {failure.kind for failure in fleet.refused}
        self.assertEqual({retries.ErrorKind.RATE_EXCEEDED}, kinds)
        self.assertTrue(all(found.retry_after_s > 0.0 for found in fleet.refused))

    def test_tokens_accrued_while_all_were_down_are_available_after_the_start(self):
        fleet = Fleet()
        fleet.run(4.0 * RATE_PER_S, 10.0)
        fleet.clock.advance(0.7)
        fleet.start()
        fleet.admitted_at.clear()
        fleet.run(4.0 * RATE_PER_S, 0.3)
        self.assertTrue(len(fleet.admitted_at) >= 3, fleet.admitted_at)

    def test_repeated_kills_of_all_instances_stay_within_the_bound(self):
        fleet = Fleet()
        fleet.run(4.0 * RATE_PER_S, 10.0)
        for _ in range(5):
            fleet.clock.advance(0.5)
            fleet.start()
            fleet.run(10.0 * RATE_PER_S, 0.4)
        bound = (RATE_PER_S * WINDOW_S + BURST) * (1.0 + EXCESS) + SLACK
        self.assertTrue(
            windows.max_count_in_window(fleet.admitted_at, WINDOW_S) < 0.9 * bound
        )

    def test_silent_holders_are_skipped(self):
        fleet = Fleet()
        holders = fleet.rates[0].find_holders("a")
        fleet.clock.advance(10.0)
        fleet.network.silent.update(holders[:1])
        admitted = fleet.run(0.4 * RATE_PER_S)
        self.assertTrue(admitted > 0.9, admitted)

    def test_holders_borrow_only_from_each_other(self):
        fleet = Fleet()
        holders = fleet.rates[0].find_holders("a")
        names = [found.name for found in fleet.instances]
        for holder in holders:
            instance_rates = fleet.rates[names.index(holder)]
            others = sorted(set(holders) - {holder})
            self.assertEqual(others, sorted(instance_rates.find_lenders("a")))

    def test_refund_at_an_instance_that_is_no_holder_admits_the_next_request(self):
        fleet = Fleet()
        holders = fleet.rates[0].find_holders("a")
        names = [found.name for found in fleet.instances]
        other = fleet.rates[names.index(next(n for n in names if n not in holders))]
        self.assertFalse(other.try_admit("a", 0.0))
        other.refund("a")
        self.assertTrue(other.try_admit("a", 0.0))
        other.refund("a")
        fleet.clock.advance(1.5)
        self.assertFalse(other.try_admit("a", 0.0))

    def test_instance_that_is_no_holder_refuses_to_admit(self):
        fleet = Fleet()
        holders = fleet.rates[0].find_holders("a")
        name = next(n.name for n in fleet.instances if n.name not in holders)
        request = peer_messages.AdmitRequest("a", 1000, 200, 1)
        answered = []
        fleet.network.request(name, request, "x").addCallback(answered.append)
        fleet.clock.pump([LATENCY_S, LATENCY_S])
        self.assertEqual(
            [retries.ErrorKind.NO_RATE_SHARE.value],
            [found.refusal for found in answered],
        )

    def test_place_of_a_holder_that_may_still_admit_is_not_given_to_another(self):
        fleet = Fleet()
        holders = fleet.rates[0].find_holders("a")
        left = [found for found in fleet.instances if found.name != holders[0]]
        for instance_rates in fleet.rates:
            instance_rates.set_instances(left)
        for wait_s, is_released in ((0.0, False), (2.4, False), (0.2, True)):
            fleet.clock.advance(wait_s)
            for instance_rates in fleet.rates:
                instance_rates.update_part()
            found = fleet.rates[0].find_holders("a")
            self.assertEqual(is_released, holders[0] not in found)
            self.assertEqual(len(holders), len(found))

    def test_cut_off_holders_and_their_replacements_stay_within_the_bound(self):
        fleet = Fleet()
        holders = fleet.rates[0].find_holders("a")
        fleet.clock.advance(10.0)
        left = [found for found in fleet.instances if found.name not in holders]
        cut = [found for found in fleet.rates if found.context.members.own not in left]
        fleet.run(4.0 * RATE_PER_S, 4.0)
        # Their registrations end 2.5 s after the cut; they admit until 4.8 s.
        for instance_rates in fleet.rates:
            if instance_rates not in cut:
                instance_rates.set_instances(left)
        started_at = fleet.clock.seconds()
        fleet.network.silent.update(holders)
        for _ in range(40):
            fleet.run(8.0 * RATE_PER_S, 0.1)
            for instance_rates in fleet.rates:
                instance_rates.update_part()
            if fleet.clock.seconds() - started_at > 2.3:
                for instance_rates in cut:
                    instance_rates.freshness.members_at = float("-inf")
        bound = (RATE_PER_S * WINDOW_S + BURST) * (1.0 + EXCESS) + SLACK
        self.assertTrue(
            windows.max_count_in_window(fleet.admitted_at, WINDOW_S) < 0.9 * bound
        )
