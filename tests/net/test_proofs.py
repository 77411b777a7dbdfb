"""What proves that a replica holds a session's writes."""

import pytest
import testtools

from tests import fleets


@pytest.mark.xdist_group("drivers")
class ProofTests(testtools.TestCase):
    def test_position_is_asked_again_only_when_the_bookmark_has_moved(self):
        with fleets.run_fleet(instances=1) as fleet, fleet.connect(0) as connection:
            for _ in range(20):
                connection.execute("SELECT count(*) FROM readings")
            quiet = self.proofs(fleet)
            self.assertGreater(quiet["connection"], quiet["check"])
            connection.execute("INSERT INTO readings (meter, kwh) VALUES ('p', 1)")
            found = connection.execute("SELECT 1 FROM readings WHERE meter = 'p'")
            self.assertEqual((1,), found.fetchone())
            self.assertGreater(self.proofs(fleet)["check"], quiet["check"])

    def proofs(self, fleet):
        counters = fleet.operate("GET", "/v1/status")["metrics"]["counters"]
        return counters["pomelograde_read_proofs_total"]
