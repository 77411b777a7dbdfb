"""Tests with unmodified PostgreSQL drivers, against real processes."""

import pg8000.native
import psycopg
import pytest
import testtools

from pomelograde.standins import deployments
from tests import fleets


@pytest.mark.xdist_group("drivers")
class DriverTests(testtools.TestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.running = fleets.run_fleet()
        cls.fleet = cls.running.__enter__()

    @classmethod
    def tearDownClass(cls):
        cls.running.__exit__(None, None, None)
        super().tearDownClass()

    def test_psycopg_reads_its_own_write_through_another_instance(self):
        with self.fleet.connect(0) as first, self.fleet.connect(1) as second:
            for number in range(10):
                first.execute(
                    "INSERT INTO readings (meter, kwh) VALUES (%s, %s)",
                    (f"m{number}", number),
                )
            with self.fleet.connect(1) as third:
                rows = third.execute(
                    "SELECT kwh FROM readings WHERE meter LIKE 'm%' ORDER BY kwh"
                ).fetchall()
            self.assertEqual([(number,) for number in range(10)], rows)
            self.assertEqual((1,), second.execute("SELECT 1 AS one").fetchone())

    def test_psycopg_prepared_statements(self):
        with self.fleet.connect(0) as connection:
            for number in range(20):
                row = connection.execute(
                    "SELECT %s::bigint AS n", (number,), prepare=True
                ).fetchone()
                self.assertEqual((number,), row)

    def test_psycopg_transaction_rolls_back(self):
        with psycopg.connect(self.fleet.dsn(0)) as connection:
            connection.execute("INSERT INTO readings (meter, kwh) VALUES ('tx', 1)")
            connection.rollback()
            found = connection.execute("SELECT 1 FROM readings WHERE meter = 'tx'")
            self.assertIsNone(found.fetchone())

    def test_pg8000_writes_and_reads(self):
        connection = pg8000.native.Connection(
            fleets.ACCOUNT,
            host="127.0.0.1",
            port=self.fleet.port(0),
            database=fleets.SERVICE,
            password=deployments.password_of(fleets.ACCOUNT),
        )
        self.addCleanup(connection.close)
        connection.run(
            "INSERT INTO readings (meter, kwh) VALUES (:meter, :kwh)",
            meter="pg8000",
            kwh=77,
        )
        rows = connection.run(
            "SELECT kwh FROM readings WHERE meter = :meter", meter="pg8000"
        )
        self.assertEqual([[77]], rows)

    def test_wrong_key_and_unknown_database_are_refused(self):
        wrong = self.fleet.dsn(0).replace("password=", "password=not-")
        error = self.assertRaises(psycopg.OperationalError, psycopg.connect, wrong)
        self.assertIn("key was not accepted", str(error))
        unknown = self.fleet.dsn(0, service="nowhere")
        error = self.assertRaises(psycopg.OperationalError, psycopg.connect, unknown)
        self.assertIn("does not exist", str(error))

    def test_error_detail_states_whether_the_statement_ran(self):
        with self.fleet.connect(0) as connection:
            error = self.assertRaises(
                psycopg.errors.FeatureNotSupported, connection.execute, "LISTEN a"
            )
            self.assertEqual("not run", error.diag.message_detail)
