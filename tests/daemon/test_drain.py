"""SIGTERM under load, with real processes."""

import signal
import threading
import time

import psycopg
import pytest
import testtools

from tests import fleets

STATEMENT_S = 0.2
CALLERS = 6


class Callers:
    """Callers that write until they are told to connect elsewhere."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.acknowledged = []
        self.errors = []
        self.threads = [
            threading.Thread(target=self.write, args=(number,))
            for number in range(CALLERS)
        ]

    def write(self, number):
        connection = self.fleet.connect(1)
        for count in range(200):
            meter = f"drain-{number}-{count}"
            try:
                connection.execute(
                    "INSERT INTO readings (meter, kwh) VALUES (%s, 1)", (meter,)
                )
            except psycopg.Error as error:
                self.errors.append((error.diag.sqlstate, error.diag.message_detail))
                return
            self.acknowledged.append(meter)


@pytest.mark.xdist_group("drain")
class DrainTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        running = fleets.run_fleet(3)
        self.fleet = running.__enter__()
        self.addCleanup(running.__exit__, None, None, None)
        for place in fleets.PLACES:
            member = f"{fleets.SERVICE}-{place}"
            self.fleet.change_member(member, service_s=STATEMENT_S)

    def stop(self):
        self.fleet.daemons[1].send_signal(signal.SIGTERM)

    def test_no_statement_in_flight_is_cut(self):
        callers = Callers(self.fleet)
        for thread in callers.threads:
            thread.start()
        time.sleep(4 * STATEMENT_S)
        self.stop()
        for thread in callers.threads:
            thread.join()
        self.assertEqual([("57P01", "not run")] * CALLERS, callers.errors)
        self.assertEqual(0, self.fleet.daemons[1].wait(20.0))
        with self.fleet.connect(0) as connection:
            rows = connection.execute(
                "SELECT meter FROM readings WHERE meter LIKE 'drain-%'"
            ).fetchall()
        self.assertEqual(sorted(callers.acknowledged), sorted(row for (row,) in rows))

    def test_transaction_ends_before_its_connection_and_new_ones_are_refused(self):
        connection = psycopg.connect(self.fleet.dsn(1))
        self.addCleanup(connection.close)
        connection.execute("INSERT INTO readings (meter, kwh) VALUES ('first', 1)")
        idle = self.fleet.connect(1)
        self.addCleanup(idle.close)
        self.stop()
        time.sleep(2 * STATEMENT_S)
        self.assertRaises(psycopg.errors.AdminShutdown, idle.execute, "SELECT 1")
        error = self.assertRaises(
            psycopg.OperationalError, psycopg.connect, self.fleet.dsn(1)
        )
        self.assertIn("instance is stopping", str(error))
        connection.execute("INSERT INTO readings (meter, kwh) VALUES ('second', 1)")
        connection.commit()
        self.assertEqual(0, self.fleet.daemons[1].wait(20.0))
        with self.fleet.connect(0) as other:
            row = other.execute(
                "SELECT count(*) FROM readings WHERE meter IN ('first', 'second')"
            ).fetchone()
        self.assertEqual((2,), row)

    def test_share_of_the_rates_is_handed_back(self):
        time.sleep(6.0)
        before = self.limit(0)
        self.stop()
        self.assertEqual(0, self.fleet.daemons[1].wait(20.0))
        time.sleep(3.0)
        self.assertGreater(self.limit(0), 1.3 * before)

    def limit(self, number):
        items = self.fleet.operate("GET", "/v1/limits", number=number)["items"]
        found = {item["name"]: item["status"] for item in items}
        return found[fleets.ACCOUNT]["rate_per_s"]
