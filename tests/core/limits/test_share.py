"""Tests of one instance's share where the shares are small."""

import testtools

from pomelograde.core import limits

INSTANCES = 7
RATE_PER_S = 10.0
BURST = 10.0
ROUND_TRIP_S = 0.004
STEP_S = 0.001


class SmallShareTests(testtools.TestCase):
    def run_requests(self, per_s, seconds):
        """Send evenly spaced requests to one of seven shares.

        Returns how many were admitted, and how many were refused.
        """
        shares = {f"i{n}": limits.Share(0.0) for n in range(INSTANCES)}
        for share in shares.values():
            share.resize(RATE_PER_S, BURST, 1.0 / INSTANCES, 0.0)
        home = shares["i0"]
        peers = [name for name in shares if name != "i0"]
        answers = []
        admitted = refused = asked = 0
        now = 0.0
        while now < seconds:
            now += STEP_S
            for action, at in [found for found in answers if found[1] <= now]:
                answers.remove((action, at))
                amount = shares[action.peer].lend(action.amount, now)
                home.on_borrowed(action, amount, now)
            if asked < now * per_s:
                asked += 1
                if home.take(now):
                    admitted += 1
                elif not isinstance(home.wait(now + 1.0, now, None), limits.Waiter):
                    refused += 1
            for action in home.serve(now):
                admitted += isinstance(action, limits.Admit)
                refused += isinstance(action, limits.Expire)
            if home.waiters or home.may_be_short(now):
                turn = asked % len(peers)
                order = peers[turn:] + peers[:turn]
                for action in home.borrow(order[:3], now):
                    answers.append((action, now + ROUND_TRIP_S))
        return admitted, refused

    def test_one_instance_can_spend_the_rate_of_an_account(self):
        admitted, refused = self.run_requests(per_s=0.8 * RATE_PER_S, seconds=60.0)
        self.assertEqual(0, refused)
        self.assertTrue(admitted >= 0.8 * RATE_PER_S * 60.0 - 2, admitted)

    def test_rate_and_burst_bound_what_is_admitted(self):
        admitted, refused = self.run_requests(per_s=5.0 * RATE_PER_S, seconds=60.0)
        self.assertTrue(admitted <= BURST + RATE_PER_S * 60.0, admitted)
        self.assertTrue(admitted >= 0.9 * RATE_PER_S * 60.0, admitted)
