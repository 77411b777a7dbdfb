"""Tests of what relays carry for the room at members, and of its counting."""

import random
import types

import testtools
from twisted.internet import defer, task, testing

from pomelograde.core import configuration, membership, pooling, statements
from pomelograde.net import events, exposition, metrics, peer_messages, peers, pools
from pomelograde.net.hosted import proxy as hosted_proxy
from pomelograde.net.hosted import relay
from pomelograde.platform import upstreams

OWNER, ENTRY = (
    membership.Instance(name, "a-x", 5, "127.0.0.1", 2, region="a")
    for name in ("a1", "a2")
)
STATEMENT = statements.Statement(b"q1", statements.Operation.READ, b"READ 1")


class Transport(testing.StringTransport):
    """Transport of an upstream connection."""

    def setTcpNoDelay(self, enabled):  # noqa: N802
        """Do nothing."""


class RoomTests(testtools.TestCase):
    """An owner with one connection in use, and an instance that relays to it."""

    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.clock = task.Clock()
        self.sent = []
        self.logged = []
        self.peer_connection = peers.PeerProtocol(None)
        self.peer_connection.peer_name = ENTRY.name
        self.context = types.SimpleNamespace(
            now=lambda: self.now,
            random=random.Random(1),
            reactor=self.clock,
            members=types.SimpleNamespace(own=OWNER),
            metrics=metrics.Metrics(),
            settings=types.SimpleNamespace(
                shares_members=True, rate_excess=0.1, rate_slack=20.0
            ),
            log=types.SimpleNamespace(
                write=lambda event, **fields: self.logged.append((event, fields))
            ),
        )
        self.context.peers = types.SimpleNamespace(
            handlers={},
            request=self.request,
            send=lambda peer, message: self.sent.append(message),
        )
        room = pooling.Room(pooling.AdaptiveLimit(1.0))
        self.pool = pools.MemberPool(
            self.context,
            types.SimpleNamespace(name="p"),
            lambda spec, role: defer.Deferred(),
            1,
            room,
        )
        freshness = configuration.Freshness(5.0)
        owner = hosted_proxy.Proxy(self.context, freshness, None)
        owner.pools["p"] = self.pool
        self.owner = owner.relay
        self.upstream = self.open_upstream("hot")

    def request(self, peer, message, timeout_s, on_sent=None):
        self.sent.append(message)
        return defer.Deferred()

    def open_upstream(self, role):
        """Put an open connection in the pool and take it."""
        connection = upstreams.UpstreamConnection("g", "p", role, lambda: self.now)
        connection.makeConnection(Transport())
        connection.dataReceived(b"READY I -\r\n")
        self.pool.core.opening[role] = 1
        self.pool.core.opening_count += 1
        self.pool._on_opened(connection)
        return self.pool.try_acquire(role)

    def relay_statement(self, priority=2, useful_s=0.5, step="execute"):
        """Relay a statement; returns the entry's connection and the message."""
        connection = relay.RemoteConnection(self.owner, OWNER, "g", "p", "hot")
        connection.budget_s = 2.0
        connection.useful_s = useful_s
        connection.priority = priority
        if step == "begin":
            connection.begin(False, None, {}, lambda answer: None)
        else:
            connection.execute(STATEMENT, None, None, {}, lambda answer: None)
        return connection, self.decode(self.sent[-1])

    def decode(self, message):
        envelope = peer_messages.Envelope("a2", 5, 1, False, message)
        return peer_messages.decode(peer_messages.encode(envelope)).message

    def receive(self, message):
        """Let the owner handle a message; returns the Deferred of its answer."""
        envelope = types.SimpleNamespace(
            sender=ENTRY.name, incarnation=5, connection=self.peer_connection
        )
        return self.context.peers.handlers[peer_messages.RelayRequest](
            message, envelope
        )

    def waiters(self):
        found = []
        while (waiter := self.pool.core.queue.pop()) is not None:
            found.append(waiter)
        return found


class RelayedRoomTests(RoomTests):
    def test_priority_and_useful_time_reach_the_owners_queue(self):
        _, message = self.relay_statement()
        self.receive(message)
        (waiter,) = self.waiters()
        self.assertEqual(2, waiter.priority)
        self.assertAlmostEqual(self.now + 0.5, waiter.useful_until, 3)
        self.assertAlmostEqual(self.now + 2.0, waiter.deadline, 3)

    def test_request_of_an_earlier_build_has_no_useful_time(self):
        request = peer_messages.RelayRequest(
            "execute", "g", "p", "hot", budget_ms=900, operation="read"
        )
        self.receive(self.decode(request))
        (waiter,) = self.waiters()
        self.assertEqual((0, float("inf")), (waiter.priority, waiter.useful_until))

    def test_statement_whose_caller_has_left_leaves_the_owners_queue(self):
        for leave in ("close", "abandon"):
            connection, message = self.relay_statement()
            answers = []
            self.receive(message).addCallback(answers.append)
            arguments = (False,) if leave == "abandon" else ()
            getattr(connection, leave)(*arguments)
            withdrawal = self.decode(self.sent[-1])
            self.assertEqual("discard", withdrawal.step)
            self.receive(withdrawal)
            self.assertEqual([None], answers)
            self.assertEqual([], self.waiters())
            self.assertFalse(self.owner.is_busy)

    def test_withdrawal_ends_only_the_request_that_it_names(self):
        first, message = self.relay_statement()
        self.receive(message)
        _, message = self.relay_statement()
        self.receive(message)
        first.close()
        self.receive(self.decode(self.sent[-1]))
        self.assertEqual(
            [message.call], [w.context.message.call for w in self.waiters()]
        )

    def withdraw_running(self, step):
        """Withdraw a request that runs at the member; returns its sent bytes."""
        remote, message = self.relay_statement(step=step)
        self.receive(message)
        self.pool.release(self.upstream)
        remote.close()
        self.receive(self.decode(self.sent[-1]))
        self.assertFalse(self.owner.is_busy)
        self.assertEqual(1, self.pool.core.room.in_flight)
        return self.upstream.transport.value()

    def test_statement_that_runs_when_its_caller_leaves_may_end(self):
        self.withdraw_running("execute")
        self.upstream.dataReceived(b"COMPLETE d\r\nREADY I -\r\n")
        self.assertEqual(0, self.pool.core.room.in_flight)
        self.assertEqual(1, self.pool.core.idle_count)

    def test_transaction_that_opens_when_its_caller_leaves_is_rolled_back(self):
        sent = self.withdraw_running("begin")
        self.assertIn(b"ROLLBACK", sent)
        self.upstream.dataReceived(b"COMPLETE -\r\nREADY T -\r\n")
        self.assertEqual({}, self.owner.open_transactions)
        self.upstream.dataReceived(b"COMPLETE -\r\nREADY I -\r\n")
        self.assertEqual(0, self.pool.core.room.in_flight)
        self.assertEqual(1, self.pool.core.idle_count)

    def test_silent_member_keeps_no_room_for_callers_that_have_left(self):
        self.withdraw_running("execute")
        self.clock.advance(hosted_proxy.ABANDON_TIMEOUT_S)
        self.assertTrue(self.upstream.is_lost)
        self.assertEqual(0, self.pool.core.room.in_flight)

    def test_answered_request_is_not_withdrawn(self):
        connection, message = self.relay_statement()
        answers = []
        self.receive(message).addCallback(answers.append)
        self.pool.release(self.upstream)
        self.upstream.dataReceived(b"COMPLETE d\r\nREADY I -\r\n")
        connection.close()
        self.receive(self.decode(self.sent[-1]))
        self.assertEqual(b"d", answers[0].digest)
        self.assertEqual({}, self.owner.calls)

    def test_requests_of_a_lost_instance_leave_the_queue(self):
        _, message = self.relay_statement()
        self.receive(message)
        self.owner._on_peer_lost(self.peer_connection)
        self.assertEqual([], self.waiters())
        self.assertFalse(self.owner.is_busy)

    def test_nothing_is_withdrawn_where_members_are_not_shared(self):
        self.context.settings.shares_members = False
        connection, _ = self.relay_statement()
        self.sent.clear()
        connection.close()
        self.assertEqual([], self.sent)


class CountingTests(RoomTests):
    def test_statement_holds_room_until_its_answer(self):
        room = self.pool.core.room
        answers = []
        self.upstream.execute(STATEMENT, None, None, {}, answers.append)
        self.assertEqual(1, room.in_flight)
        self.upstream.dataReceived(b"COMPLETE d\r\nREADY T -\r\n")
        self.assertEqual((0, 1), (room.in_flight, len(answers)))
        self.upstream.execute(STATEMENT, None, None, {}, answers.append)
        self.assertEqual(1, room.in_flight)
        self.upstream.close()
        self.assertEqual((0, {}), (room.in_flight, room.assigned))

    def test_refusal_for_lack_of_room_shrinks_the_limit(self):
        self.pool.resize(8)
        self.upstream.execute(STATEMENT, None, None, {}, lambda answer: None)
        self.upstream.dataReceived(b"ERROR RETRY -\r\nREADY I -\r\n")
        self.assertTrue(self.pool.core.room.limiter.limit < 8.0)

    def test_query_of_the_position_needs_no_room(self):
        self.pool.resize(2)
        self.pool.core.room.limiter.resize(1.0, 0.0)
        self.open_upstream("other")
        connection = self.pool.core.try_acquire("other", needs_room=False)
        self.assertIsNotNone(connection)
        self.assertEqual(1, self.pool.core.room.in_flight)

    def test_limit_is_logged_once_a_second_when_it_has_changed_much(self):
        self.pool.resize(8)
        self.logged.clear()
        self.pool.report_limit(self.now)
        self.pool.core.room.limiter.limit = 3.0
        for step in range(10):
            self.pool.report_limit(self.now + step * 0.05)
        ((event, fields),) = self.logged
        self.assertIs(events.Event.ROOM_LIMIT_CHANGED, event)
        self.assertEqual(("p", 3.0), (fields["member"], fields["limit"]))

    def test_metrics_show_waiters_in_flight_and_refusals_by_cause(self):
        _, message = self.relay_statement(useful_s=0.5)
        self.receive(message)
        text = exposition.expose(self.context.metrics).decode()
        self.assertIn('pomelograde_member_waiting{member="p"} 1.0', text)
        self.assertIn('pomelograde_member_in_flight{member="p"} 1.0', text)
        self.pool.expire(self.now + 0.5)
        text = exposition.expose(self.context.metrics).decode()
        self.assertIn('pomelograde_room_refusals_total{cause="useful time"} 1', text)
