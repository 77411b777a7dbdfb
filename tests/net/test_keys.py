"""Tests of withdrawn keys and open routes, with real daemons."""

import threading
import time

import psycopg
import pytest

from tests import fleets
from tests.net import test_configuration

LIMIT_S = test_configuration.IN_FORCE_LIMIT_S
ROUTE = "standings"
CROSSINGS = 20  # statements that are sent while their key is withdrawn
MAX_CROSSING_S = 0.03  # from the request to withdraw; it takes about 0.01 s


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

    def find_primary(self):
        """Return the name of the service's primary, once it is known."""
        found = []

        def find():
            status = self.fleet.operate("GET", "/v1/status")
            found.append(status["groups"][fleets.SERVICE]["primary"])
            return found[-1]

        self.assertIsNotNone(test_configuration.wait_until(find, LIMIT_S))
        return found[-1]

    def count_outstanding(self, member):
        """Return the number of statements that the first instance runs there."""
        name = f"{fleets.SERVICE}/{member}"
        listed = self.fleet.operate("GET", "/v1/upstreams")["items"]
        (found,) = [item for item in listed if item["name"] == name]
        return found["status"]["outstanding"]

    def test_statement_in_flight_at_withdrawal_has_an_unknown_outcome(self):
        account = "bollette-audit"
        connection = self.fleet.connect(0, account=account)
        self.addCleanup(connection.close)
        primary = self.find_primary()
        errors = []

        def insert():
            try:
                connection.execute("INSERT INTO readings (meter, kwh) VALUES ('u', 1)")
            except psycopg.Error as error:
                errors.append(error)

        self.fleet.change_member(primary, service_s=1.0)
        try:
            worker = threading.Thread(target=insert)
            worker.start()
            self.assertIsNotNone(
                test_configuration.wait_until(
                    lambda: self.count_outstanding(primary), 1.0
                )
            )
            self.withdraw(account)
            worker.join(10.0)
        finally:
            self.fleet.change_member(primary, service_s=0.0)
        self.assertEqual("outcome unknown", errors[0].diag.message_detail)

    def test_statement_that_crosses_the_withdrawal_is_not_run_if_that_is_said(self):
        self.find_primary()
        details = []
        for number in range(CROSSINGS):
            account = f"crossing-{number}"
            spec = {"rate_per_s": 50.0, "burst": 50.0, "role": fleets.ACCOUNT}
            self.fleet.operate("PUT", f"/v1/accounts/{account}", {"spec": spec})
            issued = self.fleet.operate(
                "PUT", f"/v1/keys/{account}", {"spec": {"account": account}}
            )
            connection = self.connect_with(account, issued["key"])
            sql = f"INSERT INTO readings (meter, kwh) VALUES ('{account}', 1)"

            def insert(connection=connection, sql=sql, number=number):
                time.sleep(number * MAX_CROSSING_S / CROSSINGS)
                try:
                    connection.execute(sql)
                    details.append("done")
                except psycopg.Error as error:
                    details.append(error.diag.message_detail)

            worker = threading.Thread(target=insert)
            worker.start()
            self.withdraw(account)
            worker.join(10.0)
            connection.close()
        self.assertEqual(CROSSINGS, len(details))
        self.assertEqual(set(), set(details) - {"done", "not run", "outcome unknown"})
        time.sleep(1.0)
        with self.fleet.connect(1) as other:
            rows = other.execute(
                "SELECT meter FROM readings WHERE meter LIKE 'crossing-%'"
            ).fetchall()
        for number, detail in enumerate(details):
            if detail == "not run":
                self.assertNotIn((f"crossing-{number}",), rows)

    def connect_with(self, account, key):
        """Open a connection with a key that the fleet may not know yet."""
        opened = []

        def connect():
            try:
                opened.append(
                    psycopg.connect(
                        f"host=127.0.0.1 port={self.fleet.port(0)} "
                        f"dbname={fleets.SERVICE} user={account} password={key}",
                        autocommit=True,
                    )
                )
            except psycopg.Error:
                return False
            return True

        self.assertIsNotNone(test_configuration.wait_until(connect, LIMIT_S))
        self.addCleanup(opened[0].close)
        return opened[0]

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
