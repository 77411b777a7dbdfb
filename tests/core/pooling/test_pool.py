"""Tests of the connection pool and its fair queue."""

import itertools
import random

import hypothesis
import hypothesis.strategies as st
import testtools
from hypothesis import stateful

from pomelograde.core import pooling, retries

NO_DEADLINE_S = 1e9


def waiter(account, deadline=NO_DEADLINE_S, role=None, weight=1.0):
    return pooling.Waiter(account, role or account, deadline, None, weight)


class FairQueueTests(testtools.TestCase):
    def test_busy_account_does_not_starve_another(self):
        queue = pooling.FairQueue()
        for _ in range(100):
            queue.push(waiter("busy"))
        queue.push(waiter("quiet"))
        first = [queue.pop().account for _ in range(3)]
        self.assertIn("quiet", first)

    def test_turns_follow_the_weights(self):
        queue = pooling.FairQueue()
        for _ in range(100):
            queue.push(waiter("heavy", weight=3.0))
            queue.push(waiter("light"))
        turns = [queue.pop().account for _ in range(40)]
        self.assertEqual(30, turns.count("heavy"))

    def test_abandoned_waiters_are_skipped(self):
        queue = pooling.FairQueue()
        first = waiter("a")
        second = waiter("a")
        queue.push(first)
        queue.push(second)
        first.abandoned = True
        self.assertIs(second, queue.pop())
        self.assertEqual(0, queue.length)

    def test_lower_priority_waits_where_the_queue_goes_by_it(self):
        queue = pooling.FairQueue()
        for account, priority in (("a", 2), ("b", 1), ("c", 0)):
            found = waiter(account)
            found.priority = priority
            queue.push(found, by_priority=True)
        self.assertEqual(["c", "b", "a"], [queue.pop().account for _ in range(3)])


class UnevenAccountTests(testtools.TestCase):
    """Statements of 24 accounts, one after the other, over 8 connections."""

    ACCOUNTS = 24
    LIMIT = 8

    def play(self, weights, statements):
        """Return the part of the statements that had to open a connection."""
        rng = random.Random(5)
        pool = pooling.Pool(self.LIMIT)
        numbers = itertools.count()
        opened = 0
        for account in rng.choices(range(self.ACCOUNTS), weights, k=statements):
            role = str(account)
            actions = pool.request(waiter(role), 0.0)
            if any(isinstance(action, pooling.Open) for action in actions):
                opened += 1
                actions = pool.opened(next(numbers), role, 0.0)
            (assigned,) = [each for each in actions if isinstance(each, pooling.Assign)]
            pool.release(assigned.connection, role, 0.0)
            self.assertTrue(pool.size <= self.LIMIT)
        return opened / statements

    def test_accounts_that_send_most_keep_their_connections(self):
        weights = [1.0 / (1 + account) for account in range(self.ACCOUNTS)]
        # One connection changes hands, the others stay with those who send most.
        best = sum(weights[self.LIMIT - 1 :]) / sum(weights)
        found = self.play(weights, 20_000)
        self.assertTrue(found <= 1.1 * best, (found, best))

    def test_account_that_stops_sending_loses_its_connection(self):
        pool = pooling.Pool(1)
        pool.uses.record("busy")
        for _ in range(2_000):
            pool.uses.record("new")
        self.assertTrue(pool.uses.count("busy") < 0.01)
        self.assertTrue(100.0 < pool.uses.count("new") < 1_000.0)


class PoolTests(testtools.TestCase):
    def test_opens_no_more_than_the_limit(self):
        pool = pooling.Pool(2)
        actions = [pool.request(waiter("a"), 0.0) for _ in range(5)]
        opened = [a for part in actions for a in part if isinstance(a, pooling.Open)]
        self.assertEqual(2, len(opened))

    def test_closes_idle_connections_of_roles_that_others_own(self):
        pool = pooling.Pool(4)
        for number, role in enumerate(["one", "two", "two"]):
            pool.request(waiter(role), 0.0)
            pool.opened(f"c{number}", role, 0.0)
        pool.release("c0", "one", 0.0)
        pool.release("c1", "two", 0.0)
        actions = pool.close_roles(lambda role: role == "one")
        self.assertEqual([pooling.Close("c1")], actions)
        self.assertEqual(2, pool.size)
        self.assertEqual([], pool.close_roles(lambda role: role == "one"))
        self.assertEqual("c0", pool.try_acquire("one"))
        self.assertIsNone(pool.try_acquire("two"))

    def test_closes_idle_connection_of_another_role_to_make_room(self):
        pool = pooling.Pool(1)
        pool.request(waiter("one"), 0.0)
        pool.opened("c1", "one", 0.0)
        pool.release("c1", "one", 0.0)
        actions = pool.request(waiter("two"), 0.0)
        self.assertEqual([pooling.Close("c1"), pooling.Open("two")], actions)

    def test_role_with_waiters_keeps_its_connection_for_the_retention_time(self):
        pool = pooling.Pool(1)
        pool.request(waiter("one"), 0.0)
        pool.opened("c1", "one", 0.0)
        first_other = waiter("two")
        pool.request(first_other, 0.0)
        own = waiter("one")
        pool.request(own, 0.0)
        self.assertEqual([pooling.Assign(own, "c1")], pool.release("c1", "one", 0.01))
        pool.request(waiter("one"), 0.02)
        self.assertEqual(
            [pooling.Close("c1"), pooling.Open("two")],
            pool.release("c1", "one", 0.05),
        )

    def test_expired_waiters_are_refused_as_not_run(self):
        pool = pooling.Pool(1)
        pool.request(waiter("a", deadline=1.0), 0.0)
        actions = pool.expire(2.0)
        self.assertEqual(1, len(actions))
        self.assertIsInstance(actions[0], pooling.Refuse)
        self.assertIsNone(pool.queue.peek())

    def test_waiter_that_cannot_be_served_in_time_is_refused_immediately(self):
        pool = pooling.Pool(1)
        pool.request(waiter("a"), 0.0)
        pool.opened("c", "a", 0.0)
        for _ in range(60):
            pool.request(waiter("a"), 0.0)
        for turn in range(40):
            pool.release("c", "a", 1.0 + turn)
        (refusal,) = pool.request(waiter("a", deadline=45.0), 41.0)
        self.assertIs(retries.ErrorKind.QUEUE_FULL, refusal.failure.kind)
        self.assertTrue(refusal.failure.retry_after_s > 4.0)


class PoolMachine(stateful.RuleBasedStateMachine):
    """Any order of events keeps the pool's counters consistent."""

    def __init__(self):
        super().__init__()
        self.pool = pooling.Pool(3)
        self.now = 0.0
        self.roles = {}
        self.opening = []
        self.busy = []
        self.waiting = []
        self.served = 0
        self.requested = 0
        self.refused = 0

    def carry_out(self, actions):
        for action in actions:
            if isinstance(action, pooling.Assign):
                assert self.roles[action.connection] == action.waiter.role
                assert action.connection not in self.busy
                self.busy.append(action.connection)
                self.served += 1
            elif isinstance(action, pooling.Open):
                self.opening.append(action.role)
            elif isinstance(action, pooling.Close):
                assert action.connection not in self.busy
                del self.roles[action.connection]
            else:
                self.refused += 1

    @stateful.rule(account=st.sampled_from("abc"), timeout_s=st.floats(0.1, 5.0))
    def request(self, account, timeout_s):
        self.requested += 1
        new_waiter = waiter(account, deadline=self.now + timeout_s)
        self.carry_out(self.pool.request(new_waiter, self.now))

    @stateful.precondition(lambda self: self.opening)
    @stateful.rule(fails=st.booleans())
    def finish_opening(self, fails):
        role = self.opening.pop(0)
        if fails:
            failure = retries.Failure(retries.ErrorKind.UPSTREAM_UNREACHABLE)
            self.carry_out(self.pool.open_failed(role, failure, self.now))
            return
        connection = f"c{len(self.roles)}-{self.requested}-{self.served}-{self.now}"
        while connection in self.roles:
            connection += "x"
        self.roles[connection] = role
        self.carry_out(self.pool.opened(connection, role, self.now))

    @stateful.precondition(lambda self: self.busy)
    @stateful.rule(lose=st.booleans())
    def finish_statement(self, lose):
        connection = self.busy.pop(0)
        role = self.roles[connection]
        if lose:
            del self.roles[connection]
            self.carry_out(self.pool.lost(connection, role, False, self.now))
        else:
            self.carry_out(self.pool.release(connection, role, self.now))

    @stateful.rule(step=st.floats(0.001, 1.0))
    def advance_clock(self, step):
        self.now += step
        self.carry_out(self.pool.expire(self.now))

    @stateful.rule(limit=st.integers(1, 4))
    def resize(self, limit):
        self.carry_out(self.pool.resize(limit, self.now))

    @stateful.invariant()
    def counters_match_connections(self):
        pool = self.pool
        assert pool.busy_count == len(self.busy)
        assert pool.opening_count == len(self.opening)
        assert pool.idle_count + pool.busy_count == len(self.roles)
        assert set(pool.opened_at) == set(self.roles)

    @stateful.invariant()
    def waiters_wait_for_a_pending_connection(self):
        pool = self.pool
        if pool.queue.peek() is not None:
            assert pool.busy_count or pool.opening_count


PoolMachine.TestCase.settings = hypothesis.settings(
    derandomize=True, max_examples=200, stateful_step_count=40, deadline=None
)
PoolMachineTests = PoolMachine.TestCase
