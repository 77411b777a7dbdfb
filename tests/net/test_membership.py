"""Failure detection and membership in a fleet of real processes."""

import signal
import time
import types

import hypothesis
import pytest
import testtools
from hypothesis import strategies as st
from twisted.internet import task

from pomelograde.core import membership as core_membership
from pomelograde.net import membership, peer_messages
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


class HeartbeatTests(testtools.TestCase):
    """Records of a heartbeat, whoever has written them."""

    def setUp(self):
        super().setUp()
        self.own = core_membership.Instance("own", "suva", 1, "127.0.0.1", 7432)
        self.rejected = []
        clock = task.Clock()
        context = types.SimpleNamespace(
            reactor=clock,
            now=clock.seconds,
            members=core_membership.Membership(self.own),
            log=types.SimpleNamespace(write=lambda event, **fields: None),
            peers=types.SimpleNamespace(
                handlers={},
                send=lambda instance, message: None,
                drop_connection=lambda name: None,
                reject=lambda message, sender, reason: self.rejected.append(reason),
            ),
        )
        configuration = types.SimpleNamespace(current=types.SimpleNamespace(revision=0))
        self.task = membership.MembershipTask(context, None, configuration)
        self.handle = context.peers.handlers[peer_messages.Heartbeat]
        self.members = context.members

    def make_news(self, name="a", **change):
        values = {"data_centre": "suva", "region": "r", "incarnation": 3}
        values.update(host="127.0.0.1", peer_port=7432, beat=5)
        return peer_messages.InstanceNews(name, **{**values, **change})

    def receive(self, items, sender="a"):
        heartbeat = peer_messages.Heartbeat(1, 0, items)
        envelope = peer_messages.Envelope(sender, 1, 0, False, heartbeat)
        self.handle(heartbeat, envelope)

    def test_odd_record_costs_itself_only(self):
        for number, change in enumerate(
            (
                {"state": 3},
                {"state": 255},
                {"host": "a.example"},
                {"host": ""},
                {"host": "127.0.0.1\n"},
                {"peer_port": 0},
                {"data_centre": ""},
                {"data_centre": "a\nb"},
                {"name": ""},
                {"name": "a\x00"},
            ),
            start=1,
        ):
            odd = self.make_news(**{"name": "odd", **change})
            self.receive([odd, self.make_news(f"good-{number}")])
            self.assertEqual(number, len(self.rejected), change)
            self.assertIn(f"good-{number}", self.members.instances)
        self.assertEqual(12, len(self.members.records) + 1)
        self.assertEqual(0.0, self.task.detector.heard_at["a"])

    @hypothesis.settings(max_examples=400, deadline=None, derandomize=True)
    @hypothesis.given(
        st.lists(
            st.builds(
                peer_messages.InstanceNews,
                name=st.sampled_from(("a", "b", "own", "")) | st.text(max_size=3),
                data_centre=st.sampled_from(("suva", "nadi", "")),
                region=st.text(max_size=2),
                incarnation=st.integers(0, 2**64 - 1),
                host=st.sampled_from(("127.0.0.1", "::1", "x", "")),
                peer_port=st.integers(0, 65535),
                leaving=st.booleans(),
                beat=st.integers(0, 2**64 - 1),
                state=st.integers(0, 255) | st.integers(0, 2),
            ),
            max_size=4,
        ),
        st.sampled_from(("a", "stranger", "own", "")),
    )
    def test_any_heartbeat_leaves_records_that_can_be_sent(self, items, sender):
        self.receive(items, sender)
        self.task.execute(self.task.detector.tick(self.task.context.now()))
        heartbeat = self.task._heartbeat(self.task.detector.all_records())
        envelope = peer_messages.Envelope("own", 1, 0, False, heartbeat)
        peer_messages.decode(peer_messages.encode(envelope))
        self.assertEqual(self.own, self.members.instances["own"])
