"""Tests of what the task ends in evacuated data centres, and of the relay's owner."""

import random
import types

import testtools
from twisted.internet import task

from pomelograde.core import configuration, membership, placement, pooling
from pomelograde.net import events, metrics, peer_messages
from pomelograde.net.hosted import evacuations, proxy, relay

OWN = membership.Instance("a1", "x", 5, "127.0.0.1", 2, region="a")


class Connection:
    """Connection to a member; the test answers its requests."""

    is_remote = is_lost = is_counted = is_closed = False
    settings = on_lost = None
    sent_at = 0.0

    def __init__(self, role, member):
        self.role = role
        self.service = "g"
        self.member = member
        self.response_handlers = []
        self.sent = []

    def execute(self, statement, prepared, after, settings, done):
        self.sent.append(statement.text)

    def roll_back(self, done):
        self.sent.append(b"ROLLBACK")

    def close(self):
        self.is_closed = True


class Source:
    class StoreUnavailableError(Exception):
        pass

    def __init__(self):
        self.recorded = []
        self.rows = set()
        self.era = 0
        self.is_away = False

    async def record_evacuation(self, data_centre, primaries):
        if self.is_away:
            raise self.StoreUnavailableError("away")
        self.recorded.append((data_centre, primaries))
        self.rows.discard(data_centre)
        if primaries is not None:
            self.rows.add(data_centre)

    async def fetch_recorded_evacuations(self):
        if self.is_away:
            raise self.StoreUnavailableError("away")
        return frozenset(self.rows)


class EvacuationTaskTests(testtools.TestCase):
    """An instance and a service with its primary p in x, and r in x and s in y."""

    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.clock.advance(100.0)
        self.logged = []
        context = types.SimpleNamespace(
            reactor=self.clock,
            now=self.clock.seconds,
            random=random.Random(1),
            members=types.SimpleNamespace(own=OWN),
            peers=types.SimpleNamespace(handlers={}),
            metrics=metrics.Metrics(),
            log=types.SimpleNamespace(
                write=lambda event, **fields: self.logged.append((event, fields))
            ),
            settings=types.SimpleNamespace(
                rate_excess=0.1,
                rate_slack=20.0,
                host="127.0.0.1",
                evacuation_s=5.0,
                drain_s=7.0,
                regions={},
                shares_members=False,
            ),
        )
        freshness = configuration.Freshness(5.0, 99.9, 99.9)
        self.proxy = proxy.Proxy(context, freshness, None)
        self.proxy.set_configuration(
            configuration.FleetConfiguration(
                services={
                    name: configuration.DatabaseService(name, 22) for name in "gh"
                }
            )
        )
        self.proxy.relay.set_instances([OWN])
        self.known = placement.Evacuations()
        self.is_reader = True
        self.source = Source()
        sync = types.SimpleNamespace(
            fleet=types.SimpleNamespace(evacuations=self.known),
            source=self.source,
            store_available=True,
            is_reader=lambda now: self.is_reader,
        )
        self.task = evacuations.EvacuationTask(context, sync, self.proxy)
        self.read(1)
        self.proxy.set_members(
            {
                "g": [
                    placement.Member("p", "x", role=placement.Role.PRIMARY),
                    placement.Member("r", "x"),
                    placement.Member("s", "y"),
                ]
            },
            self.clock.seconds(),
        )

    def read(self, revision, *names):
        now = self.clock.seconds()
        found = placement.EvacuationsRead(frozenset(names), 1, revision, now)
        if self.known.apply(found, now):
            self.task.update()

    def open_connection(self, name):
        """Return a connection in the pool of a member, in use."""
        pool = self.proxy.pools[name]
        connection = Connection("desk", name)
        pool.core.opening["desk"] = pool.core.opening_count = 1
        pool._on_opened(connection)
        return pool, pool.try_acquire("desk")

    def hold_transaction(self, name):
        """Return a connection on which a transaction of another instance is open."""
        connection = self.open_connection(name)[1]
        self.proxy.relay.open_transactions[7] = relay.OpenTransaction(
            "b", connection, 0
        )
        return connection

    def relay_request(self, member, transaction=0, step="execute"):
        """Return the answer to a request of another instance; None if it is sent."""
        message = peer_messages.RelayRequest(
            step=step,
            service="g",
            member=member,
            account="desk",
            transaction=transaction,
            operation="read",
            text=b"READ k",
            budget_ms=1000,
        )
        handler = relay.RelayHandler(self.proxy.relay, message, "b")
        handler.start()
        return handler.done

    def test_idle_connections_and_waiters_of_replicas_go_at_once(self):
        pool, connection = self.open_connection("r")
        refused = []
        context = types.SimpleNamespace(on_refused=refused.append)
        pool.core.limit = 1
        pool.request(pooling.Waiter("other", "other", 200.0, context))
        self.read(2, "x")
        self.assertEqual(1, len(refused))
        self.assertFalse(connection.is_closed)
        pool.release(connection)
        self.task._sweep()
        self.assertTrue(connection.is_closed)

    def test_connections_to_the_primary_go_at_the_deadline(self):
        pool, connection = self.open_connection("p")
        pool.release(connection)
        self.read(2, "x")
        self.clock.advance(3.9)
        self.task._sweep()
        self.assertFalse(connection.is_closed)
        self.clock.advance(0.2)
        self.task._sweep()
        self.assertTrue(connection.is_closed)

    def test_transaction_of_another_instance_ends_at_the_deadline(self):
        connection = self.hold_transaction("r")
        self.read(2, "x")
        self.assertFalse(connection.is_closed)
        self.clock.advance(4.1)
        connection.response_handlers.append(None)
        self.task._sweep()
        self.assertFalse(connection.is_closed)  # its last statement is still running
        connection.response_handlers.clear()
        self.task._sweep()
        self.assertTrue(connection.is_closed)
        self.assertEqual({}, self.proxy.relay.open_transactions)
        self.assertEqual({"x": 1}, self.task.ended.values)

    def test_owner_refuses_what_the_other_instance_sends_too_late(self):
        pool, connection = self.open_connection("r")
        pool.release(connection)
        self.read(2, "x")
        answer = self.relay_request("r").result
        self.assertEqual("upstream_unreachable", answer.refusal)
        self.assertEqual([], connection.sent)

    def test_owner_ends_a_transaction_that_is_continued_too_late(self):
        for step in ("execute", "roll_back"):
            connection = self.hold_transaction("r")
            self.read(2, "x")
            self.relay_request("r", 7)
            self.assertEqual([b"READ k"], connection.sent)
            self.clock.advance(4.1)
            self.assertIsNone(self.relay_request("r", 7, step).result)
            self.assertTrue(connection.is_closed)
            self.assertEqual([b"READ k"], connection.sent)
            self.known = self.task.sync.fleet.evacuations = placement.Evacuations()
            self.read(1)
            self.task.update()

    def test_abandoned_transaction_is_closed_and_not_rolled_back(self):
        connection = self.open_connection("r")[1]
        self.read(2, "x")
        self.clock.advance(4.1)
        self.proxy.abandon(connection, in_transaction=True)
        self.assertTrue(connection.is_closed)
        self.assertEqual([], connection.sent)

    def test_new_service_is_evacuated_too(self):
        self.read(2, "x")
        self.proxy.set_members(
            {"h": [placement.Member("q", "x")]}, self.clock.seconds()
        )
        self.assertEqual({"x"}, self.proxy.groups["h"].evacuated)

    def sweep_repeatedly(self):
        for _ in range(5):
            self.clock.advance(1.0)
            self.task._sweep()

    def test_status_that_a_restored_store_lacks_is_written_again(self):
        self.read(2, "x")
        self.sweep_repeatedly()
        self.source.rows.clear()
        self.source.era = 1
        self.sweep_repeatedly()
        self.assertEqual([("x", ("p",))] * 2, self.source.recorded)

    def test_status_that_a_restored_store_brings_back_is_removed(self):
        self.read(2, "x")
        self.sweep_repeatedly()
        self.read(3)
        self.sweep_repeatedly()
        self.source.rows.add("x")
        self.source.era = 1
        self.sweep_repeatedly()
        self.assertEqual(set(), self.source.rows)

    def test_status_that_an_earlier_reader_left_is_removed(self):
        self.is_reader = False
        self.source.rows.add("x")
        self.sweep_repeatedly()
        self.assertEqual([], self.source.recorded)
        self.is_reader = True
        self.sweep_repeatedly()
        self.assertEqual([("x", None)], self.source.recorded)

    def test_members_of_a_service_are_used_once_the_configuration_names_it(self):
        members = {"unnamed": [placement.Member("q", "x")]}
        self.proxy.set_members(members, self.clock.seconds())
        self.assertNotIn("unnamed", self.proxy.groups)
        self.assertNotIn("q", self.proxy.pools)
        event, fields = self.logged[-1]
        self.assertEqual("UPSTREAM_MEMBERS_CHANGED", event.name)
        self.assertEqual({"unnamed": ["q"]}, fields["unnamed"])
        service = configuration.DatabaseService("unnamed", 22)
        self.proxy.set_configuration(
            configuration.FleetConfiguration(services={"unnamed": service})
        )
        self.assertEqual(["q"], list(self.proxy.groups["unnamed"].members))
        self.assertIn("q", self.proxy.pools)

    def test_status_is_written_once_per_change_and_again_after_a_failure(self):
        self.source.is_away = True
        self.read(2, "x")
        self.assertEqual([], self.source.recorded)
        self.source.is_away = False
        self.sweep_repeatedly()
        self.assertEqual([("x", ("p",))], self.source.recorded)
        self.read(3)
        self.sweep_repeatedly()
        self.assertEqual([("x", ("p",)), ("x", None)], self.source.recorded)
        names = [event for event, _ in self.logged]
        for event in (
            events.Event.EVACUATION_STARTED,
            events.Event.EVACUATION_STATUS_NOT_WRITTEN,
            events.Event.EVACUATION_ENDED,
        ):
            self.assertEqual(1, names.count(event), event)

    def test_primary_is_not_queried_after_the_deadline(self):
        queried = []
        self.proxy.positions._query_here = lambda group, primary: queried.append(
            primary.name
        )
        self.proxy.groups["g"].primary_lease_until = 200.0
        self.read(2, "x")
        self.proxy._refresh_positions()
        self.clock.advance(4.1)
        self.proxy._refresh_positions()
        self.assertEqual(["p"], queried)
