"""Tests of one instance's share where the shares are small."""

import testtools

from pomelograde.core import limits

INSTANCES = 7
RATE_PER_S = 10.0
BURST = 10.0
ROUND_TRIP_S = 0.004
STEP_S = 0.001
GROUP = 3  # requests that come at once
FEW_ROUND_TRIPS_S = 10 * ROUND_TRIP_S
FILL_S = 10.0  # buckets start empty


class SmallShareTests(testtools.TestCase):
    def run_requests(self, per_s, seconds):
        """Send groups of requests to one of seven shares.

        Returns how many were admitted, how many were refused, and the sorted
        waits of those admitted.
        """
        shares = {f"i{n}": limits.RateShare(0.0) for n in range(INSTANCES)}
        for share in shares.values():
            share.resize(RATE_PER_S, BURST, 1.0 / INSTANCES, 0.0)
        home = shares["i0"]
        peers = [name for name in shares if name != "i0"]
        answers = []
        waits = []
        refused = asked = 0
        now = FILL_S
        while now < FILL_S + seconds:
            now += STEP_S
            for action, at in [found for found in answers if found[1] <= now]:
                answers.remove((action, at))
                amount = shares[action.peer].lend(action.amount, now)
                home.on_borrowed(action, amount, now)
            due = asked < (now - FILL_S) * per_s
            for _ in range(GROUP if due else 0):
                asked += 1
                if home.take(now):
                    waits.append(0.0)
                elif not isinstance(home.enqueue(now + 1.0, now, now), limits.Waiter):
                    refused += 1
            for action in home.serve(now):
                if isinstance(action, limits.Admit):
                    waits.append(now - action.waiter.context)
                else:
                    refused += 1
            if home.waiters or home.may_need_tokens(now):
                turn = asked % len(peers)
                order = peers[turn:] + peers[:turn]
                for action in home.borrow(order[:3], now):
                    answers.append((action, now + ROUND_TRIP_S))
        return len(waits), refused, sorted(waits)

    def test_one_instance_can_spend_the_rate_of_an_account(self):
        admitted, refused, waits = self.run_requests(
            per_s=0.8 * RATE_PER_S, seconds=60.0
        )
        self.assertEqual(0, refused)
        self.assertTrue(admitted >= 0.8 * RATE_PER_S * 60.0 - 2, admitted)
        self.assertTrue(waits[len(waits) // 2] <= FEW_ROUND_TRIPS_S, waits[::40])

    def test_rate_and_burst_bound_what_is_admitted(self):
        admitted, _, _ = self.run_requests(per_s=5.0 * RATE_PER_S, seconds=60.0)
        self.assertTrue(admitted <= BURST + RATE_PER_S * 60.0, admitted)
        self.assertTrue(admitted >= 0.9 * RATE_PER_S * 60.0, admitted)
