"""Tests of when a member's position is checked before a read."""

import pytest
import testtools

from tests import fleets


@pytest.mark.xdist_group("drivers")
class PositionCheckTests(testtools.TestCase):
    def test_position_is_queried_again_only_after_a_write(self):
        with fleets.run_fleet(instances=1) as fleet, fleet.connect(0) as connection:
            for _ in range(20):
                connection.execute("SELECT count(*) FROM readings")
            before = self.count_checks(fleet)
            self.assertGreater(before["connection"], before["check"])
            connection.execute("INSERT INTO readings (meter, kwh) VALUES ('p', 1)")
            found = connection.execute("SELECT 1 FROM readings WHERE meter = 'p'")
            self.assertEqual((1,), found.fetchone())
            self.assertGreater(self.count_checks(fleet)["check"], before["check"])

    def count_checks(self, fleet):
        counters = fleet.operate("GET", "/v1/status")["metrics"]["counters"]
        return counters["pomelograde_read_proofs_total"]
