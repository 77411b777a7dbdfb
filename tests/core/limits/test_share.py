"""Tests of an instance's rate share that has room for less than two tokens."""

import testtools

from pomelograde.core import limits

INSTANCES = 7
RATE_PER_S = 10.0
BURST = 10.0
ROUND_TRIP_S = 0.004
STEP_S = 0.001
BATCH_SIZE = 3  # requests that arrive together
MAX_MEDIAN_WAIT_S = 10 * ROUND_TRIP_S
FILL_S = 10.0  # buckets start empty and fill in this time


class SmallShareTests(testtools.TestCase):
    def run_requests(self, per_s, seconds):
        """Send batches of requests to one of seven shares.

        Returns the number of admitted requests, the number of refused ones,
        and the sorted waits of the admitted ones.
        """
        shares = {f"i{n}": limits.RateShare(0.0) for n in range(INSTANCES)}
        for each in shares.values():
            each.resize(RATE_PER_S, BURST, 1.0 / INSTANCES, 0.0)
        share = shares["i0"]
        peers = [name for name in shares if name != "i0"]
        answers = []
        waits = []
        refused = sent = 0
        now = FILL_S
        while now < FILL_S + seconds:
            now += STEP_S
            for action, arrives_at in [
                answer for answer in answers if answer[1] <= now
            ]:
                answers.remove((action, arrives_at))
                amount = shares[action.peer].lend(action.amount, now)
                share.on_borrowed(action, amount, now)
            due = sent < (now - FILL_S) * per_s
            for _ in range(BATCH_SIZE if due else 0):
                sent += 1
                if share.take(now):
                    waits.append(0.0)
                elif not isinstance(share.enqueue(now + 1.0, now, now), limits.Waiter):
                    refused += 1
            for action in share.serve(now):
                if isinstance(action, limits.Admit):
                    waits.append(now - action.waiter.context)
                else:
                    refused += 1
            if share.waiters or share.may_need_tokens(now):
                turn = sent % len(peers)
                order = peers[turn:] + peers[:turn]
                for action in share.borrow(order[:3], now):
                    answers.append((action, now + ROUND_TRIP_S))
        return len(waits), refused, sorted(waits)

    def test_one_instance_can_use_the_whole_rate(self):
        admitted, refused, waits = self.run_requests(
            per_s=0.8 * RATE_PER_S, seconds=60.0
        )
        self.assertEqual(0, refused)
        self.assertTrue(admitted >= 0.8 * RATE_PER_S * 60.0 - 2, admitted)
        self.assertTrue(waits[len(waits) // 2] <= MAX_MEDIAN_WAIT_S, waits[::40])

    def test_admissions_stay_within_rate_and_burst(self):
        admitted, _, _ = self.run_requests(per_s=5.0 * RATE_PER_S, seconds=60.0)
        self.assertTrue(admitted <= BURST + RATE_PER_S * 60.0, admitted)
        self.assertTrue(admitted >= 0.9 * RATE_PER_S * 60.0, admitted)
