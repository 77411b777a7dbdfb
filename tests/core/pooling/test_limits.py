"""Tests of how a member's connections are divided between their owners."""

import collections

import attrs
import testtools

from pomelograde.core import pooling, retries

STEP_S = 0.001
OPEN_S = 0.012
STATEMENT_S = 0.015


class DivisionTests(testtools.TestCase):
    def test_owners_of_running_instances_leave_a_quarter_free(self):
        shares = [pooling.divide_connections(22, 3, rank, False) for rank in range(3)]
        self.assertEqual([6, 6, 5], shares)

    def test_starting_owners_divide_the_rest(self):
        shares = [pooling.divide_connections(22, 3, rank, True) for rank in range(3)]
        self.assertEqual([2, 2, 1], shares)

    def test_every_owner_has_a_connection(self):
        shares = {pooling.divide_connections(8, 12, rank, True) for rank in range(12)}
        self.assertEqual({1}, shares)

    def test_running_and_starting_owners_together_fit(self):
        for maximum in range(4, 200):
            for count in range(1, maximum // 4 + 1):
                total = sum(
                    pooling.divide_connections(maximum, count, rank, is_starting)
                    for rank in range(count)
                    for is_starting in (False, True)
                )
                self.assertEqual(maximum, total)


class Member:
    """A member that keeps the connections of lost instances for some time."""

    def __init__(self, limit):
        self.limit = limit
        self.open = set()
        self.refused = 0

    def connect(self, connection):
        """Accept a connection if there is room; returns whether there was."""
        if len(self.open) >= self.limit:
            self.refused += 1
            return False
        self.open.add(connection)
        return True


@attrs.define(eq=False)
class Statement:
    """A statement of an account, repeated until it is served."""

    account: str
    created_at: float
    retry_at: float = 0.0
    served_at: float = float("inf")
    is_waiting: bool = False


class Owner:
    """An instance with a pool, driven in steps of time."""

    def __init__(self, member, limit):
        self.member = member
        self.pool = pooling.Pool(limit)
        self.events = collections.defaultdict(list)
        self.roles = {}
        self.serial = 0

    def submit(self, statement, step):
        """Request a connection for a statement."""
        now = step * STEP_S
        waiter = pooling.Waiter(
            statement.account, statement.account, now + 0.8, statement
        )
        statement.is_waiting = True
        self._execute(self.pool.request(waiter, now), step)

    def advance(self, step):
        """Perform the events that are due."""
        for event in self.events.pop(step, ()):
            event(step)
        self._execute(self.pool.expire(step * STEP_S), step)

    def _after(self, step, seconds, event):
        self.events[step + round(seconds / STEP_S)].append(event)

    def _execute(self, actions, step):
        for action in actions:
            if isinstance(action, pooling.Assign):
                self._run(action, step)
            elif isinstance(action, pooling.Open):
                self._after(
                    step, OPEN_S, lambda at, role=action.role: self._connect(role, at)
                )
            elif isinstance(action, pooling.Close):
                self.member.open.discard(action.connection)
            else:
                statement = action.waiter.context
                statement.is_waiting = False
                statement.retry_at = step * STEP_S + max(
                    0.01, action.failure.retry_after_s
                )

    def _connect(self, role, step):
        now = step * STEP_S
        self.serial += 1
        connection = (self, self.serial)
        if self.member.connect(connection):
            self._execute(self.pool.opened(connection, role, now), step)
            return
        failure = retries.Failure(retries.ErrorKind.UPSTREAM_UNREACHABLE)
        self._execute(self.pool.open_refused(role, failure, now), step)

    def _run(self, assign, step):
        statement = assign.waiter.context

        def done(at):
            statement.served_at = at * STEP_S
            statement.is_waiting = False
            actions = self.pool.release(
                assign.connection, statement.account, at * STEP_S
            )
            self._execute(actions, at)

        self._after(step, STATEMENT_S, done)


class PowerLossTests(testtools.TestCase):
    """All owners of a member lose power and start again within a second."""

    def play(self, member, limit_of, accounts, seconds):
        """Return the statements of a load of 30 a second."""
        owners = [Owner(member, limit_of(rank)) for rank in range(2)]
        statements = []
        for step in range(round(seconds / STEP_S)):
            now = step * STEP_S
            if step % 33 == 0:
                account = accounts[len(statements) % len(accounts)]
                statements.append(Statement(account, now))
            for statement in statements:
                is_open = statement.served_at == float("inf")
                if is_open and not statement.is_waiting and now >= statement.retry_at:
                    owner = owners[accounts.index(statement.account) % 2]
                    owner.submit(statement, step)
            for owner in owners:
                owner.advance(step)
        return statements

    def test_starting_instances_serve_before_the_member_drops_lost_connections(self):
        member = Member(16)
        accounts = [f"account-{number}" for number in range(8)]
        for rank in range(2):
            held = pooling.divide_connections(16, 2, rank, is_starting=False)
            member.open.update((rank, number) for number in range(held))
        statements = self.play(
            member,
            lambda rank: pooling.divide_connections(16, 2, rank, is_starting=True),
            accounts,
            seconds=2.0,
        )
        late = [
            found
            for found in statements
            if found.created_at < 1.7 and found.served_at - found.created_at > 0.25
        ]
        self.assertEqual([], late)
        self.assertEqual(0, member.refused)

    def test_full_member_is_asked_ten_times_a_second_at_most(self):
        member = Member(4)
        member.open.update(range(4))
        accounts = ["one", "two", "three", "four"]
        statements = self.play(member, lambda rank: 2, accounts, seconds=1.0)
        self.assertTrue(all(found.served_at == float("inf") for found in statements))
        self.assertLessEqual(member.refused, 2 * 10)
        member.open.clear()
        statements = self.play(member, lambda rank: 2, accounts, seconds=0.5)
        served = [found for found in statements if found.served_at < float("inf")]
        self.assertGreaterEqual(len(served), len(statements) - 2)
