"""Tests of withdrawn keys and open routes, with real daemons."""

import threading

import psycopg
import pytest

from tests import fleets
from tests.net import test_configuration

LIMIT_S = test_configuration.IN_FORCE_LIMIT_S
ROUTE = "standings"


@pytest.mark.xdist_group("keys")
class KeyTests(test_configuration.FleetCase):
    def withdraw(self, account, number=0):
        spec = {"account": account, "withdrawn": True}
        path = f"/v1/keys/{account}"
        return self.fleet.operate("PUT", path, {"spec": spec}, number)

    def is_closed_by_withdrawal(self, connection):
        try:
            connection.execute("SELECT 1")
        except psycopg.Error as error:
            return "withdrawn" in str(error) or connection.closed
        return False

    def test_withdrawn_key_ends_open_transactions_on_every_instance(self):
        account = "bollette-legal"
        connections = [self.fleet.connect(n, account=account) for n in range(3)]
        for connection in connections:
            self.addCleanup(connection.close)
            connection.execute("BEGIN")
            connection.execute("SELECT count(*) FROM readings")
        # Only one connection writes, because the stand-in member runs one
        # writing transaction at a time.
        connections[2].execute("INSERT INTO readings (meter, kwh) VALUES ('held', 1)")
        self.withdraw(account)
        for connection in connections:
            closed = test_configuration.wait_until(
                lambda one=connection: self.is_closed_by_withdrawal(one), LIMIT_S
            )
            self.assertIsNotNone(closed)
        with self.fleet.connect(1) as other:
            found = other.execute("SELECT 1 FROM readings WHERE meter = 'held'")
            self.assertIsNone(found.fetchone())

    def test_statement_in_flight_at_withdrawal_has_an_unknown_outcome(self):
        account = "bollette-audit"
        connection = self.fleet.connect(0, account=account)
        self.addCleanup(connection.close)
        group = self.fleet.operate("GET", "/v1/status")["groups"][fleets.SERVICE]
        errors = []

        def insert():
            try:
                connection.execute("INSERT INTO readings (meter, kwh) VALUES ('u', 1)")
            except psycopg.Error as error:
                errors.append(error)

        self.fleet.change_member(group["primary"], service_s=1.0)
        try:
            worker = threading.Thread(target=insert)
            worker.start()
            self.withdraw(account)
            worker.join(10.0)
        finally:
            self.fleet.change_member(group["primary"], service_s=0.0)
        self.assertEqual("outcome unknown", errors[0].diag.message_detail)

    def route_dsn(self, number):
        port = self.fleet.port(number)
        return f"host=127.0.0.1 port={port} dbname={fleets.SERVICE} user={ROUTE}"

    def reads(self, number):
        try:
            with psycopg.connect(self.route_dsn(number), autocommit=True) as caller:
                caller.execute("SELECT count(*) FROM readings")
        except psycopg.Error:
            return False
        return True

    def test_open_route_allows_only_reads(self):
        self.assertFalse(self.reads(2))
        spec = {
            "service": fleets.SERVICE,
            "open": True,
            "rate_per_s": 50.0,
            "burst": 50.0,
        }
        self.fleet.operate("PUT", f"/v1/rules/{ROUTE}", {"spec": spec})
        opened = test_configuration.wait_until(lambda: self.reads(2), LIMIT_S)
        self.assertIsNotNone(opened)
        with psycopg.connect(self.route_dsn(2), autocommit=True) as caller:
            error = self.assertRaises(
                psycopg.errors.InsufficientPrivilege,
                caller.execute,
                "INSERT INTO readings (meter, kwh) VALUES ('open', 1)",
            )
            self.assertEqual("not run", error.diag.message_detail)
            elsewhere = self.route_dsn(2).replace(fleets.SERVICE, "cases")
            self.assertRaises(psycopg.OperationalError, psycopg.connect, elsewhere)
            explained = self.fleet.operate("GET", f"/v1/explain/rule/{ROUTE}", None, 2)
            self.assertEqual("route_forbidden", explained["recent"][0]["reason"])
            self.assertTrue(any("routed" in name for name in explained["counts"]))
            self.fleet.operate("DELETE", f"/v1/rules/{ROUTE}")
            closed = test_configuration.wait_until(
                lambda: self.is_closed_by_withdrawal(caller), LIMIT_S
            )
            self.assertIsNotNone(closed)
