"""Membership between real processes."""

import signal
import time

import pytest
import testtools

from tests import fleets

INSTANCES = 7
LEAVING_LIMIT_S = 2.0
LOST_LIMIT_S = 6.0


def live(fleet, number):
    """Return the names of the instances that one holds to be live."""
    known = fleet.operate("GET", "/v1/status", number=number)["instances"]
    return {name for name, found in known.items() if not found["leaving"]}


def wait_until(condition, limit_s):
    """Return the seconds until a condition holds, or infinity."""
    start = time.monotonic()
    while time.monotonic() < start + limit_s:
        if condition():
            return time.monotonic() - start
        time.sleep(0.05)
    return float("inf")


@pytest.mark.xdist_group("membership")
class MembershipTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        running = fleets.run_fleet(INSTANCES, linked=True)
        self.fleet = running.__enter__()
        self.addCleanup(running.__exit__, None, None, None)
        self.names = {settings["instance"] for settings in self.fleet.settings}
        self.assert_all_see(self.names, range(INSTANCES), LOST_LIMIT_S)

    def assert_all_see(self, names, numbers, limit_s):
        def holds():
            return all(live(self.fleet, number) == names for number in numbers)

        self.assertLess(wait_until(holds, limit_s), limit_s)

    def test_stop_is_known_everywhere_in_time_and_a_kill_within_seconds(self):
        fleet = self.fleet
        first, second = sorted(self.names)[:2]
        place = {each["instance"]: at for at, each in enumerate(fleet.settings)}
        leaver, dead = place[first], place[second]
        fleet.daemons[leaver].send_signal(signal.SIGTERM)
        rest = [number for number in range(INSTANCES) if number != leaver]
        self.assert_all_see(self.names - {first}, rest, LEAVING_LIMIT_S)
        self.assertEqual(0, fleet.daemons[leaver].wait(10.0))
        fleet.daemons[dead].kill()
        rest.remove(dead)
        left = self.names - {first, second}
        self.assert_all_see(left, rest, LOST_LIMIT_S)
        # The platform's list still has both names.
        end = time.monotonic() + 5.0
        while time.monotonic() < end:
            for number in rest:
                self.assertEqual(left, live(fleet, number))
            time.sleep(0.2)

    def test_silent_connections_are_replaced_and_a_cut_is_noticed(self):
        fleet = self.fleet
        fleet.silence_peers()
        end = time.monotonic() + 6.0
        while time.monotonic() < end:
            for number in range(INSTANCES):
                self.assertEqual(self.names, live(fleet, number))
            time.sleep(0.2)
        cut_off = fleets.PLACES[0]
        others = set(fleets.PLACES[1:])
        fleet.cut(*((cut_off, other) for other in others))
        inside = {name for name in self.names if name.startswith(cut_off)}
        numbers = range(INSTANCES)
        near = [n for n in numbers if fleet.settings[n]["data_centre"] == cut_off]
        far = [n for n in numbers if n not in near]
        self.assert_all_see(inside, near, 2 * LOST_LIMIT_S)
        self.assert_all_see(self.names - inside, far, 2 * LOST_LIMIT_S)
        fleet.cut()
        self.assert_all_see(self.names, numbers, 2 * LOST_LIMIT_S)
