"""Failure detection and membership in a fleet of real processes."""

import signal
import time

import pytest
import testtools

from tests import fleets

INSTANCES = 7
MAX_LEAVE_DETECTION_S = 2.0
MAX_LOSS_DETECTION_S = 6.0


def live_names(fleet, number):
    """Return the names of the instances that an instance considers live."""
    instances = fleet.operate("GET", "/v1/status", number=number)["instances"]
    return {name for name, found in instances.items() if not found["leaving"]}


def wait_until(condition, limit_s):
    """Return the seconds until a condition holds, or infinity after `limit_s`."""
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
        self.assert_all_see(self.names, range(INSTANCES), MAX_LOSS_DETECTION_S)

    def assert_all_see(self, names, numbers, limit_s):
        """Wait until the given instances all consider exactly `names` live."""

        def holds():
            return all(live_names(self.fleet, number) == names for number in numbers)

        self.assertLess(wait_until(holds, limit_s), limit_s)

    def test_stopped_and_killed_instances_are_removed_everywhere(self):
        fleet = self.fleet
        first, second = sorted(self.names)[:2]
        numbers_by_name = {
            settings["instance"]: number
            for number, settings in enumerate(fleet.settings)
        }
        leaving, killed = numbers_by_name[first], numbers_by_name[second]
        fleet.daemons[leaving].send_signal(signal.SIGTERM)
        remaining = [number for number in range(INSTANCES) if number != leaving]
        self.assert_all_see(self.names - {first}, remaining, MAX_LEAVE_DETECTION_S)
        self.assertEqual(0, fleet.daemons[leaving].wait(10.0))
        fleet.daemons[killed].kill()
        remaining.remove(killed)
        remaining_names = self.names - {first, second}
        self.assert_all_see(remaining_names, remaining, MAX_LOSS_DETECTION_S)
        # The platform's list still has both names; they must not be added again.
        end = time.monotonic() + 5.0
        while time.monotonic() < end:
            for number in remaining:
                self.assertEqual(remaining_names, live_names(fleet, number))
            time.sleep(0.2)

    def test_silent_connections_are_replaced_and_a_cut_is_noticed(self):
        fleet = self.fleet
        fleet.silence_peers()
        end = time.monotonic() + 6.0
        while time.monotonic() < end:
            for number in range(INSTANCES):
                self.assertEqual(self.names, live_names(fleet, number))
            time.sleep(0.2)
        isolated = fleets.DATA_CENTRES[0]
        others = set(fleets.DATA_CENTRES[1:])
        fleet.cut(*((isolated, other) for other in others))
        inside = {name for name in self.names if name.startswith(isolated)}
        numbers = range(INSTANCES)
        near = [n for n in numbers if fleet.settings[n]["data_centre"] == isolated]
        far = [n for n in numbers if n not in near]
        self.assert_all_see(inside, near, 2 * MAX_LOSS_DETECTION_S)
        self.assert_all_see(self.names - inside, far, 2 * MAX_LOSS_DETECTION_S)
        fleet.cut()
        self.assert_all_see(self.names, numbers, 2 * MAX_LOSS_DETECTION_S)
