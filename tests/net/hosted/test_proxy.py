"""Tests of which connections an instance keeps and opens."""

import random
import types

import attrs
import testtools
from twisted.internet import defer, task

from pomelograde.core import (
    configuration,
    membership,
    placement,
    pooling,
    takeovers,
)
from pomelograde.net import metrics, pools
from pomelograde.net.hosted import proxy

PRIMARY = placement.Member("p", "a-x", role=placement.Role.PRIMARY)
INSTANCES = [
    membership.Instance(name, "a-x", 5, "127.0.0.1", 2, region="a")
    for name in ("a1", "a2")
]


class Connection:
    """Idle connection of a client account."""

    is_lost = is_remote = False
    response_handlers = ()

    def __init__(self, role):
        self.role = role
        self.is_closed = False

    def withdraw(self):
        pass

    def close(self):
        self.is_closed = True


def make_proxy():
    """Return the proxy of the first instance."""
    context = types.SimpleNamespace(
        reactor=None,
        now=lambda: 100.0,
        members=types.SimpleNamespace(own=INSTANCES[0]),
        peers=types.SimpleNamespace(handlers={}),
        metrics=metrics.Metrics(),
        random=random.Random(1),
        log=types.SimpleNamespace(write=lambda event, **_: None),
        settings=types.SimpleNamespace(
            rate_excess=0.1,
            rate_slack=20.0,
            host="127.0.0.1",
            shares_members=False,
        ),
    )
    found = proxy.Proxy(context, configuration.Freshness(5.0), None)
    found.relay.set_instances(INSTANCES)
    return found


class OwnershipTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.proxy = make_proxy()
        accounts = {
            f"account-{number}": configuration.ClientAccount(
                f"account-{number}", (), 10.0, 10.0
            )
            for number in range(8)
        }
        self.proxy.configuration = configuration.FleetConfiguration(accounts=accounts)
        self.accounts = list(accounts)

    def owns(self, account):
        return self.proxy.relay.find_owner(PRIMARY, account).name == "a1"

    def open_connections(self, member, accounts):
        """Return a pool to a member with an idle connection for each account."""
        pool = self.proxy.pools[member.name] = self.proxy._make_pool("s", member)
        pool.core.limit = len(accounts)
        connections = [Connection(account) for account in accounts]
        for connection in connections:
            pool.core.opening[connection.role] = 1
            pool.core.opening_count += 1
            pool._on_opened(connection)
        return pool, connections

    def test_last_connection_stays_where_the_position_is_queried(self):
        foreign = next(name for name in self.accounts if not self.owns(name))
        for name in ("p", "q", "r", "s"):
            member = placement.Member(name, "a-x")
            pool, (connection,) = self.open_connections(member, [foreign])
            self.proxy._close_connections_of_others()
            queries = self.proxy.relay.find_owner(member, "").name == "a1"
            owned = self.proxy.relay.find_owner(member, foreign).name == "a1"
            self.assertEqual(not (queries or owned), connection.is_closed)

    def test_idle_connections_of_the_other_owner_are_closed(self):
        pool, connections = self.open_connections(PRIMARY, self.accounts)
        self.proxy._close_connections_of_others()
        self.assertEqual(
            [not self.owns(account) for account in self.accounts],
            [connection.is_closed for connection in connections],
        )
        self.assertEqual(sum(map(self.owns, self.accounts)), pool.core.size)

    def test_position_is_queried_with_an_account_that_belongs_here(self):
        self.assertTrue(self.owns(self.proxy.positions._choose_role(PRIMARY)))

    def test_position_can_be_queried_without_client_accounts(self):
        self.proxy.configuration = configuration.FleetConfiguration()
        self.assertEqual("", self.proxy.positions._choose_role(PRIMARY))

    def test_failed_attempt_to_connect_to_a_member_that_has_gone_is_no_fault(self):
        # It was looked up among the pools that are left.
        opening = defer.Deferred()
        self.proxy.open_connection = lambda *arguments: opening
        pool = self.proxy.pools["p"] = self.proxy._make_pool("s", PRIMARY)
        reported = []
        pool.on_unreachable = reported.append
        waiter = pooling.Waiter("a", "a", 200.0, types.SimpleNamespace())
        waiter.context.on_refused = reported.append
        pool.request(waiter)
        (attempt,) = pool.opening
        self.proxy._update_pools()
        pool.refuse_waiters()
        opening.errback(pools.UpstreamOpenError("no answer", refused=False))
        failures = []
        attempt.addErrback(failures.append)
        self.assertEqual([], failures)
        self.assertEqual(["p"], [found.detail for found in reported])

    def test_pool_limits_statements_only_where_members_are_shared(self):
        member = placement.Member("p", "a-x", slots=5)
        self.assertIsNone(self.proxy._make_pool("s", member).core.room)
        self.proxy.context.settings.shares_members = True
        service = configuration.DatabaseService("s", 32)
        self.proxy.configuration = configuration.FleetConfiguration(
            services={"s": service}
        )
        self.proxy.created_at = 0.0
        limiter = self.proxy._make_pool("s", member).core.room.limiter
        # Two owners, and a quarter of the connections reserved.
        self.assertEqual((12.0, 12.0), (limiter.maximum, limiter.limit))
        self.assertEqual(2.5, limiter.floor)


class SilentConnectionTests(testtools.TestCase):
    """Connections that may have gone silent, while an answer is outstanding."""

    def setUp(self):
        super().setUp()
        self.proxy = make_proxy()
        self.clock = self.proxy.context.reactor = task.Clock()
        self.connection = Connection("account")
        self.asked = []
        self.connection.ask_position = self.asked.append

    def test_connection_without_an_answer_is_closed(self):
        self.proxy.query_position(self.connection, self.fail)
        self.clock.advance(proxy.ABANDON_TIMEOUT_S)
        self.assertTrue(self.connection.is_closed)

    def test_connection_with_an_answer_stays_open(self):
        answers = []
        self.proxy.query_position(self.connection, answers.append)
        self.asked[0]("answer")
        self.clock.advance(proxy.ABANDON_TIMEOUT_S)
        self.assertEqual((["answer"], False), (answers, self.connection.is_closed))

    def test_abandoned_connection_without_an_answer_is_closed(self):
        self.connection.response_handlers = [self.fail]
        self.proxy.abandon(self.connection, in_transaction=False)
        self.clock.advance(proxy.ABANDON_TIMEOUT_S)
        self.assertTrue(self.connection.is_closed)


class TakeoverTests(testtools.TestCase):
    """The primary of a service after a takeover whose successor is r."""

    def setUp(self):
        super().setUp()
        self.proxy = make_proxy()
        self.group = self.proxy.groups["s"] = placement.Group("s")
        self.group.update([PRIMARY, placement.Member("r", "a-x")], 99.0)

    def learn(self, revision, **fields):
        takeover = takeovers.Takeover("s", "", "", revision, revision)
        self.proxy.set_takeover(attrs.evolve(takeover, **fields))
        return self.group.primary

    def test_successor_that_was_seen_to_lead_is_used_before_its_row_says_so(self):
        self.learn(7, holder="a1/5")
        self.assertEqual("r", self.learn(8, successor="r", term=2))

    def test_successor_that_was_not_seen_to_lead_is_not_used(self):
        self.learn(7, holder="a1/5")
        self.assertIsNone(self.learn(8, successor="r"))

    def test_instance_that_has_just_started_goes_by_the_row_of_the_successor(self):
        # The successor may have started again as a replica since the takeover.
        self.assertIsNone(self.learn(8, successor="r", term=2))
        leader = placement.Member("r", "a-x", role=placement.Role.PRIMARY)
        self.group.update([PRIMARY, leader], 100.0)
        self.assertEqual("r", self.group.primary)

    def test_successor_that_is_promoted_again_is_used_before_its_row_says_so(self):
        self.learn(7, holder="a1/5", successor="r", term=2)
        self.assertIsNone(self.group.primary)
        self.assertEqual("r", self.learn(8, successor="r", term=3))

    def test_takeover_without_a_promotion_does_not_make_its_successor_primary(self):
        self.learn(7, holder="a1/5", successor="r", term=2)
        self.assertIsNone(self.learn(8, successor="r", term=2))
