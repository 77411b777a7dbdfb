"""Tests of the rates while all instances return after a kill, without a network."""

import collections
import random
import types

import testtools

from pomelograde.core import configuration
from tests import windows
from tests.net.hosted import test_rates

INSTANCES = 74
ACCOUNTS = 24
GREEDY = "account-0"
GREEDY_FACTOR = 8.0  # times its rate
DEMAND_PER_S = 240.0  # of the accounts within their rates
RATE_FACTOR = 1.6  # of an account's usual demand
WINDOW_S = test_rates.WINDOW_S
KILLED_WITHIN_S = 0.5
REGISTERED_WITHIN_S = 2.0
SERVED_SHARE = 0.95
RETURN_S = 2.0  # after the first registration


class ReturningFleet(test_rates.Fleet):
    """Rate limits of many accounts, with instances that start one after the other."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.admitted = collections.defaultdict(list)
        self.owed = collections.defaultdict(list)
        self.decided = collections.Counter()
        super().__init__(INSTANCES)
        weights = [1.0 / (1 + number) for number in range(ACCOUNTS)]
        self.demand_per_s = {
            f"account-{number}": DEMAND_PER_S * weight / sum(weights)
            for number, weight in enumerate(weights)
        }
        self.rate_per_s = {
            name: RATE_FACTOR * demand for name, demand in self.demand_per_s.items()
        }
        self.demand_per_s[GREEDY] = GREEDY_FACTOR * self.rate_per_s[GREEDY]
        self.configuration = configuration.FleetConfiguration(
            accounts={
                name: types.SimpleNamespace(
                    name=name, keys=(), rate_per_s=rate_per_s, burst=rate_per_s
                )
                for name, rate_per_s in self.rate_per_s.items()
            }
        )
        self.start()

    def kill_all(self):
        """Kill all instances, and schedule their starts."""
        first = KILLED_WITHIN_S
        self.rates_by_number = dict(enumerate(self.rates))
        self.rates = []
        self.network.silent.update(found.name for found in self.instances)
        for number, own in enumerate(self.instances):
            delay_s = first
            if number:
                delay_s += self.random.uniform(0.0, REGISTERED_WITHIN_S)
            self.clock.callLater(delay_s, self.start_one, own)
        self.first_at = self.clock.seconds() + first

    def start_one(self, own):
        """Start one instance without its earlier state."""
        found = self.make_rates(own)
        found.set_configuration(self.configuration)
        found.set_instances(self.instances)
        self.network.silent.discard(own.name)
        self.rates.append(found)

    def play(self, seconds):
        """Let callers of all accounts send requests to instances that run."""
        end = self.clock.seconds() + seconds
        names = list(self.demand_per_s)
        weights = list(self.demand_per_s.values())
        total_per_s = sum(weights)
        next_at = self.clock.seconds()
        while self.clock.seconds() < end:
            while next_at <= self.clock.seconds():
                next_at += self.random.expovariate(total_per_s)
                if self.rates:
                    (account,) = self.random.choices(names, weights)
                    self.send(account, self.random.choice(self.rates))
            self.clock.advance(test_rates.STEP_S * 2)

    def send(self, account, instance_rates):
        now = self.clock.seconds()
        self.owed[account].append(now)
        if instance_rates.try_admit(account, now):
            self.admitted[account].append(now)
            self.decided["admitted"] += 1
            return
        waiting = instance_rates.admit(account, now + 4.0, 0.2, 1)
        waiting.addCallback(self.on_account_decided, account, now)

    def on_account_decided(self, failure, account, sent_at):
        if failure is None:
            self.admitted[account].append(sent_at)
            self.decided["admitted"] += 1
        else:
            self.decided[failure.kind] += 1


class FleetReturnTests(testtools.TestCase):
    def test_accounts_within_their_rates_are_served_soon_after_a_kill_of_all(self):
        fleet = ReturningFleet(1)
        fleet.clock.advance(5.0)
        fleet.play(3.0)
        fleet.kill_all()
        fleet.play(KILLED_WITHIN_S + RETURN_S + 3.0)
        since = fleet.first_at + RETURN_S
        others = [name for name in fleet.demand_per_s if name != GREEDY]
        owed = sum(at >= since for name in others for at in fleet.owed[name])
        served = sum(at >= since for name in others for at in fleet.admitted[name])
        self.assertTrue(served >= SERVED_SHARE * owed, (served, owed, fleet.decided))

    def test_no_account_exceeds_its_rate_over_a_kill_of_all(self):
        fleet = ReturningFleet(2)
        fleet.clock.advance(5.0)
        fleet.play(2.0)
        fleet.kill_all()
        fleet.play(WINDOW_S)
        for name, rate_per_s in fleet.rate_per_s.items():
            bound = (rate_per_s * WINDOW_S + rate_per_s) * (
                1.0 + test_rates.EXCESS
            ) + test_rates.SLACK
            most = windows.max_count_in_window(fleet.admitted[name], WINDOW_S)
            self.assertTrue(most <= bound, (name, most, bound))
