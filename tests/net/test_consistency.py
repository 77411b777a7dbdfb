"""Tests of read-your-writes and bounded staleness, against real processes."""

import time

import psycopg
import pytest

from pomelograde.core import sessions
from tests import fleets
from tests.net import test_outcomes

REPLICA_LAG_S = 60.0
MAX_STALENESS_S = 0.3


@pytest.mark.xdist_group("consistency")
class ConsistencyTests(test_outcomes.OutcomeTestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        member = f"{fleets.SERVICE}-{fleets.DATA_CENTRES[1]}"
        cls.fleet.change_member(member, lag_s=REPLICA_LAG_S)

    def write(self, connection, meter):
        connection.execute(test_outcomes.INSERT, (meter,))

    def test_writes_are_visible_through_another_instance_beside_a_lagging_replica(self):
        for number in range(1, 9):
            self.write(self.connect(number % 2), "roam")
            self.assertEqual(number, self.count("roam", (number + 1) % 2))

    def test_session_token_is_reported_with_each_write(self):
        connection = self.connect()
        before = None
        for _ in range(3):
            self.write(connection, "token")
            token = connection.pgconn.parameter_status(b"pomelograde.session").decode()
            shown = connection.execute("SHOW pomelograde.session").fetchone()[0]
            bookmark = sessions.decode_token(token).ok_value
            self.assertEqual(token, shown)
            self.assertTrue(before is None or bookmark.position > before)
            before = bookmark.position
        moved = self.connect(1, session=token)
        found = moved.execute(test_outcomes.COUNT, ("token",)).fetchone()
        self.assertEqual((3,), found)

    def test_read_with_an_unreachable_token_position_is_refused_as_not_run(self):
        token = f"{fleets.SERVICE}:99:1"
        connection = self.connect(1, session=token, deadline="600ms")
        error = self.assertRaises(psycopg.Error, connection.execute, "SELECT 1 AS n")
        self.assertEqual("not run", error.diag.message_detail)

    def test_maximum_staleness_holds_beside_a_lagging_replica(self):
        reader = self.connect(1, max_staleness=f"{MAX_STALENESS_S}s")
        reader.execute(test_outcomes.COUNT, ("age",))
        writer = self.connect(0)
        for number in range(1, 4):
            self.write(writer, "age")
            time.sleep(MAX_STALENESS_S)
            found = reader.execute(test_outcomes.COUNT, ("age",)).fetchone()
            self.assertEqual((number,), found)

    def test_reads_avoid_the_lagging_replica(self):
        connection = self.connect(1)
        self.write(connection, "alone")
        served = self.metric("pomelograde_reads", "replica", 1)
        behind = self.metric("pomelograde_retries", "replica_behind", 1)
        for _ in range(50):
            connection.execute(test_outcomes.COUNT, ("alone",))
        served = self.metric("pomelograde_reads", "replica", 1) - served
        behind = self.metric("pomelograde_retries", "replica_behind", 1) - behind
        self.assertEqual(50, served)
        self.assertLess(behind, 5)
