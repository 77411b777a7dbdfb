"""Tests of the graceful shutdown on SIGTERM, with real processes."""

import signal
import threading
import time

import psycopg
import pytest
import testtools

from tests import fleets

STATEMENT_DURATION_S = 0.2
CALLER_COUNT = 6


class WritingCallers:
    """Callers that insert rows one by one until a statement is refused.

    Each caller has a thread. `acknowledged` has the meters of the rows that were
    inserted, `errors` the SQLSTATE and detail of each refusal.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.acknowledged = []
        self.errors = []
        self.threads = [
            threading.Thread(target=self.write, args=(caller_number,))
            for caller_number in range(CALLER_COUNT)
        ]

    def write(self, caller_number):
        connection = self.fleet.connect(1)
        for row_number in range(200):
            meter = f"drain-{caller_number}-{row_number}"
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
        fleet_context = fleets.run_fleet(3)
        self.fleet = fleet_context.__enter__()
        self.addCleanup(fleet_context.__exit__, None, None, None)
        for data_centre in fleets.DATA_CENTRES:
            member = f"{fleets.SERVICE}-{data_centre}"
            self.fleet.change_member(member, service_s=STATEMENT_DURATION_S)

    def send_sigterm(self):
        self.fleet.daemons[1].send_signal(signal.SIGTERM)

    def test_statements_in_flight_finish(self):
        callers = WritingCallers(self.fleet)
        for thread in callers.threads:
            thread.start()
        time.sleep(4 * STATEMENT_DURATION_S)
        self.send_sigterm()
        for thread in callers.threads:
            thread.join()
        self.assertEqual([("57P01", "not run")] * CALLER_COUNT, callers.errors)
        self.assertEqual(0, self.fleet.daemons[1].wait(20.0))
        with self.fleet.connect(0) as connection:
            rows = connection.execute(
                "SELECT meter FROM readings WHERE meter LIKE 'drain-%'"
            ).fetchall()
        self.assertEqual(sorted(callers.acknowledged), sorted(row for (row,) in rows))

    def test_open_transaction_finishes_and_new_connections_are_refused(self):
        connection = psycopg.connect(self.fleet.dsn(1))
        self.addCleanup(connection.close)
        connection.execute("INSERT INTO readings (meter, kwh) VALUES ('first', 1)")
        idle = self.fleet.connect(1)
        self.addCleanup(idle.close)
        self.send_sigterm()
        time.sleep(2 * STATEMENT_DURATION_S)
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

    def test_rate_share_is_released(self):
        time.sleep(6.0)  # until the instances have divided the rates
        rate_before = self.rate_limit(0)
        self.send_sigterm()
        self.assertEqual(0, self.fleet.daemons[1].wait(20.0))
        time.sleep(3.0)  # until the others have taken over the released share
        self.assertGreater(self.rate_limit(0), 1.3 * rate_before)

    def rate_limit(self, instance_number):
        items = self.fleet.operate("GET", "/v1/limits", number=instance_number)["items"]
        limits = {item["name"]: item["status"] for item in items}
        return limits[fleets.ACCOUNT]["rate_per_s"]


@pytest.mark.xdist_group("drain")
class DrainTimeoutTests(testtools.TestCase):
    """What a stop does to callers that are left at the end of its time limit.

    Their connections were cut off without an error.
    """

    def setUp(self):
        super().setUp()
        fleet_context = fleets.run_fleet(1, drain_timeout_s=1.0)
        self.fleet = fleet_context.__enter__()
        self.addCleanup(fleet_context.__exit__, None, None, None)

    def connect(self):
        connection = psycopg.connect(self.fleet.dsn(0))
        self.addCleanup(connection.close)
        return connection

    def test_callers_that_are_left_get_an_error_that_says_what_has_run(self):
        insert = "INSERT INTO readings (meter, kwh) VALUES ('cut-off', 1)"
        idle, busy = self.connect(), self.connect()
        idle.execute(insert)
        busy.execute("SELECT 1")
        for data_centre in fleets.DATA_CENTRES:
            member = f"{fleets.SERVICE}-{data_centre}"
            self.fleet.change_member(member, service_s=5.0)
        self.fleet.daemons[0].send_signal(signal.SIGTERM)
        error = self.assertRaises(psycopg.errors.AdminShutdown, busy.execute, insert)
        self.assertEqual("outcome unknown", error.diag.message_detail)
        error = self.assertRaises(psycopg.errors.AdminShutdown, idle.commit)
        self.assertEqual("not run", error.diag.message_detail)
        self.assertEqual(0, self.fleet.daemons[0].wait(20.0))
