"""Tests of savepoints on a stand-in member, through the proxy."""

import psycopg
import pytest
import testtools

from tests import fleets


@pytest.mark.xdist_group("drivers")
class SavepointTests(testtools.TestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.running = fleets.run_fleet(instances=1)
        cls.fleet = cls.running.__enter__()

    @classmethod
    def tearDownClass(cls):
        cls.running.__exit__(None, None, None)
        super().tearDownClass()

    def test_return_to_a_savepoint_undoes_what_came_after_it(self):
        insert = "INSERT INTO readings (meter, kwh) VALUES ('savepoint', %s)"
        with psycopg.connect(self.fleet.dsn(0)) as connection:
            connection.execute(insert, (1,))
            with connection.transaction():
                connection.execute(insert, (2,))
            with connection.transaction() as block:
                connection.execute(insert, (3,))
                raise psycopg.Rollback(block)
            try:
                with connection.transaction():
                    connection.execute("SELECT * FROM nowhere")
            except psycopg.errors.UndefinedTable:
                connection.execute(insert, (4,))
        with self.fleet.connect(0) as connection:
            rows = connection.execute(
                "SELECT kwh FROM readings WHERE meter = 'savepoint' ORDER BY kwh"
            ).fetchall()
        self.assertEqual([(1,), (2,), (4,)], rows)
