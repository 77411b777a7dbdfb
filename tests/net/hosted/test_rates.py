"""Rates on a fleet of many instances, without a network."""

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
WAY_S = 0.005
RATE_PER_S = 5.0
BURST = 5.0
EXCESS = 0.1
SLACK = 20.0
WINDOW_S = 5.0
RUN_S = 30.0
STEP_S = 0.002


class Network:
    """Delivers messages between instances after a while."""

    def __init__(self):
        self.clock = task.Clock()
        self.clock.advance(1000.0)
        self.handlers = {}
        self.silent = set()

    def request(self, name, message, sender):
        if name in self.silent:
            return defer.Deferred()
        envelope = types.SimpleNamespace(sender=sender)
        done = task.deferLater(self.clock, WAY_S, lambda: None)
        done.addCallback(
            lambda _: self.handlers[name][type(message)](message, envelope)
        )
        return done.addCallback(
            lambda answer: task.deferLater(self.clock, WAY_S, lambda: answer)
        )


class Relays:
    """Sends calls; silent instances are known at once."""

    def __init__(self, network, context):
        self.network = network
        self.context = context

    def is_usable(self, instance, now):
        return instance.name not in self.network.silent

    def send(self, call, request):
        own = self.context.members.own.name
        sent = self.network.request(call.keeper.name, request, own)
        sent.addCallback(call.on_answer)


class Rates(rates.RegisteredRates):
    def clock(self):
        return self.context.now()


class Fleet:
    """Rates of all instances, and callers of one account at all of them."""

    def __init__(self):
        self.network = Network()
        self.clock = self.network.clock
        self.instances = [
            membership.Instance(f"i{n}", f"dc{n % DATA_CENTRES}", n, "127.0.0.1", 2)
            for n in range(INSTANCES)
        ]
        found = configuration.FleetConfiguration(
            accounts={
                "a": types.SimpleNamespace(
                    name="a", keys=(), rate_per_s=RATE_PER_S, burst=BURST
                )
            }
        )
        self.configuration = found
        self.admitted_at = []
        self.refused = []
        self.start()

    def start(self):
        """Start all instances, as after they were killed."""
        self.rates = [self.make_rates(own) for own in self.instances]
        for known in self.rates:
            known.set_configuration(self.configuration)
            known.set_instances(self.instances)

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
        return Rates(context, Relays(self.network, context))

    def run(self, demand_per_s, seconds=RUN_S):
        """Send from random instances; returns the part that was admitted."""
        chance = random.Random(1)
        end = self.clock.seconds() + seconds
        sent = 0
        next_at = self.clock.seconds()
        while self.clock.seconds() < end:
            while next_at <= self.clock.seconds():
                next_at += chance.expovariate(demand_per_s)
                sent += 1
                self.call(chance.choice(self.rates))
            self.clock.advance(STEP_S)
        return len(self.admitted_at) / sent

    def call(self, found):
        now = self.clock.seconds()
        if found.try_admit("a", now):
            self.admitted_at.append(now)
        else:
            waiting = found.admit("a", now + 4.0, 0.2, 1)
            waiting.addCallback(self.on_decided)

    def on_decided(self, failure):
        if failure is None:
            self.admitted_at.append(self.clock.seconds())
        else:
            self.refused.append(failure)


class ManyInstancesTests(testtools.TestCase):
    def test_account_within_its_small_rate_is_served_everywhere(self):
        fleet = Fleet()
        fleet.clock.advance(10.0)
        served = fleet.run(0.8 * RATE_PER_S)
        self.assertTrue(served > 0.98, (served, fleet.refused[:3]))

    def test_account_beyond_it_gets_its_rate_and_no_more(self):
        fleet = Fleet()
        fleet.clock.advance(10.0)
        fleet.run(4.0 * RATE_PER_S)
        served = len(fleet.admitted_at)
        self.assertTrue(served > 0.97 * RATE_PER_S * RUN_S, served)
        bound = (RATE_PER_S * WINDOW_S + BURST) * (1.0 + EXCESS) + SLACK
        self.assertTrue(windows.count_most(fleet.admitted_at, WINDOW_S) < 0.9 * bound)
        kinds = {failure.kind for failure in fleet.refused}
        self.assertEqual({retries.ErrorKind.RATE_EXCEEDED}, kinds)
        self.assertTrue(all(found.retry_after_s > 0.0 for found in fleet.refused))

    def test_what_gathered_while_all_were_down_is_served_soon(self):
        fleet = Fleet()
        fleet.run(4.0 * RATE_PER_S, 10.0)
        fleet.clock.advance(0.7)
        fleet.start()
        fleet.admitted_at.clear()
        fleet.run(4.0 * RATE_PER_S, 0.3)
        self.assertTrue(len(fleet.admitted_at) >= 3, fleet.admitted_at)

    def test_kills_of_all_in_a_row_stay_within_the_bound(self):
        fleet = Fleet()
        fleet.run(4.0 * RATE_PER_S, 10.0)
        for _ in range(5):
            fleet.clock.advance(0.5)
            fleet.start()
            fleet.run(10.0 * RATE_PER_S, 0.4)
        bound = (RATE_PER_S * WINDOW_S + BURST) * (1.0 + EXCESS) + SLACK
        self.assertTrue(windows.count_most(fleet.admitted_at, WINDOW_S) < 0.9 * bound)

    def test_holders_that_are_silent_are_passed_over(self):
        fleet = Fleet()
        holders = fleet.rates[0].find_holders("a")
        fleet.clock.advance(10.0)
        fleet.network.silent.update(holders[:1])
        served = fleet.run(0.4 * RATE_PER_S)
        self.assertTrue(served > 0.9, served)

    def test_holders_borrow_from_each_other_only(self):
        fleet = Fleet()
        holders = fleet.rates[0].find_holders("a")
        names = [found.name for found in fleet.instances]
        for holder in holders:
            known = fleet.rates[names.index(holder)]
            others = sorted(set(holders) - {holder})
            self.assertEqual(others, sorted(known.find_lenders("a")))

    def test_token_given_back_elsewhere_serves_the_next_request(self):
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

    def test_instance_that_holds_nothing_of_a_rate_refuses_to_admit(self):
        fleet = Fleet()
        holders = fleet.rates[0].find_holders("a")
        name = next(n.name for n in fleet.instances if n.name not in holders)
        request = peer_messages.AdmitRequest("a", 1000, 200, 1)
        answered = []
        fleet.network.request(name, request, "x").addCallback(answered.append)
        fleet.clock.pump([WAY_S, WAY_S])
        self.assertEqual(
            [retries.ErrorKind.NO_RATE_SHARE.value],
            [found.refusal for found in answered],
        )
