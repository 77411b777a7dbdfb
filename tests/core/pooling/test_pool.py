"""Tests of the pool and its fair queue."""

import testtools

from pomelograde.core import pooling


def waiter(account, deadline=10.0, role="role"):
    return pooling.Waiter(account, role, deadline, None)


class PoolTests(testtools.TestCase):
    def test_opens_no_more_than_the_limit(self):
        pool = pooling.Pool(2)
        actions = [pool.request(waiter("a"), 0.0) for _ in range(5)]
        opened = [a for part in actions for a in part if isinstance(a, pooling.Open)]
        self.assertEqual(2, len(opened))

    def test_closes_idle_connection_of_another_role_to_make_room(self):
        pool = pooling.Pool(1)
        pool.request(waiter("a", role="one"), 0.0)
        pool.opened("c1", "one", 0.0)
        pool.release("c1", "one", 0.0)
        actions = pool.request(waiter("b", role="two"), 0.0)
        self.assertEqual([pooling.Close("c1"), pooling.Open("two")], actions)

    def test_busy_account_does_not_starve_another(self):
        queue = pooling.FairQueue()
        for _ in range(100):
            queue.push(waiter("busy"))
        queue.push(waiter("quiet"))
        first = [queue.pop().account for _ in range(3)]
        self.assertIn("quiet", first)

    def test_expired_waiters_are_refused_as_not_run(self):
        pool = pooling.Pool(1)
        pool.request(waiter("a", deadline=1.0), 0.0)
        actions = pool.expire(2.0)
        self.assertEqual(1, len(actions))
        self.assertIsInstance(actions[0], pooling.Refuse)
        self.assertIsNone(pool.queue.peek())
