"""Tests of heartbeats, loss and leaving in a simulated fleet."""

import attrs
import hypothesis
import testtools
from hypothesis import strategies

from pomelograde.core import membership

STEP_S = 0.5


class Simulation:
    """Failure detectors connected by a network that may lose messages."""

    def __init__(self, data_centres):
        self.now = 0.0
        self.detectors = {}
        self.down = set()
        self.partitions = set()
        for number, data_centre in enumerate(data_centres):
            self.start(f"{data_centre}-{number}", data_centre, 1)

    def start(self, name, data_centre, incarnation):
        own = membership.Instance(name, data_centre, incarnation, "127.0.0.1", 1)
        members = membership.Membership(own)
        for other in self.detectors.values():
            members.add_seed(other.members.own)
            other.members.add_seed(own)
        self.down.discard(name)
        self.detectors[name] = membership.FailureDetector(members)

    def is_connected(self, sender, receiver):
        data_centres = {
            self.detectors[sender].members.own.data_centre,
            self.detectors[receiver].members.own.data_centre,
        }
        return (
            not self.down & {sender, receiver}
            and frozenset(data_centres) not in self.partitions
        )

    def run(self, sender, actions):
        for action in actions:
            if isinstance(action, membership.SendRecords):
                self.deliver(sender, action.instance.name, action.records)
            elif isinstance(action, membership.Probe):
                self.probe(sender, action.instance.name)

    def deliver(self, sender, receiver, records):
        if receiver not in self.detectors or not self.is_connected(sender, receiver):
            return
        detector = self.detectors[receiver]
        self.run(receiver, detector.on_heartbeat(sender, records, self.now))
        sender_members = self.detectors[sender].members
        if detector.members.digest() != sender_members.digest():
            records = detector.all_records()
            answer = self.detectors[sender].on_heartbeat(receiver, records, self.now)
            self.run(sender, answer)

    def probe(self, sender, receiver):
        detector = self.detectors[sender]
        if self.is_connected(sender, receiver):
            detector.on_probe_answered(receiver, self.now)
        else:
            self.run(sender, detector.on_probe_failed(receiver, self.now))

    def advance(self, seconds):
        for _ in range(int(seconds / STEP_S)):
            self.now += STEP_S
            for name in sorted(self.detectors):
                if name not in self.down:
                    self.run(name, self.detectors[name].tick(self.now))

    def views(self):
        """Return the names of the live instances as seen by each running one."""
        return {
            name: {instance.name for instance in detector.members.live()}
            for name, detector in self.detectors.items()
            if name not in self.down
        }


DATA_CENTRES = ["a", "a", "a", "a", "a", "b", "b", "c"]


class DetectorTests(testtools.TestCase):
    def start(self):
        fleet = Simulation(DATA_CENTRES)
        fleet.advance(10.0)
        all_names = set(fleet.detectors)
        self.assertEqual([all_names] * len(all_names), list(fleet.views().values()))
        return fleet, all_names

    def test_dead_instance_is_lost_within_four_seconds_and_stays_lost(self):
        fleet, all_names = self.start()
        fleet.down.add("a-0")
        fleet.advance(4.0)
        for _ in range(20):
            for view in fleet.views().values():
                self.assertEqual(all_names - {"a-0"}, view)
            fleet.advance(STEP_S)

    def test_loss_of_all_relays_of_a_data_centre_is_detected(self):
        fleet, all_names = self.start()
        relays = set(fleet.detectors["a-0"].relays("a"))
        fleet.down |= relays
        fleet.advance(12.0)
        for view in fleet.views().values():
            self.assertEqual(all_names - relays, view)

    def test_leaving_is_final_until_a_restart(self):
        fleet, all_names = self.start()
        detector = fleet.detectors["b-5"]
        stale = detector.members.records["b-5"]
        fleet.run("b-5", detector.leave(fleet.now))
        fleet.down.add("b-5")
        for view in fleet.views().values():
            self.assertEqual(all_names - {"b-5"}, view)
        late = attrs.evolve(stale, beat=stale.beat + 1000)
        fleet.detectors["a-0"].on_heartbeat("a-1", [late], fleet.now)
        fleet.advance(2.0)
        self.assertNotIn("b-5", fleet.views()["a-0"])
        fleet.start("b-5", "b", 2)
        fleet.advance(3.0)
        for view in fleet.views().values():
            self.assertEqual(all_names, view)

    def test_partition_is_detected_and_heals(self):
        fleet, all_names = self.start()
        fleet.partitions = {frozenset("ab"), frozenset("bc")}
        fleet.advance(6.0)
        b_side = {"b-5", "b-6"}
        for name, view in fleet.views().items():
            expected = b_side if name in b_side else all_names - b_side
            self.assertEqual(expected, view, name)
        fleet.partitions = set()
        fleet.advance(6.0)
        for view in fleet.views().values():
            self.assertEqual(all_names, view)

    @hypothesis.settings(max_examples=60, derandomize=True, deadline=None)
    @hypothesis.given(strategies.data())
    def test_views_converge_after_faults_end(self, data):
        fleet = Simulation(DATA_CENTRES)
        names = sorted(fleet.detectors)
        for _ in range(4):
            fleet.down = data.draw(strategies.sets(strategies.sampled_from(names)))
            pairs = strategies.sampled_from(["ab", "ac", "bc"]).map(frozenset)
            fleet.partitions = data.draw(strategies.sets(pairs))
            fleet.advance(data.draw(strategies.sampled_from([0.5, 2.0, 5.0])))
        fleet.down, fleet.partitions = set(), set()
        fleet.advance(20.0)
        self.assertEqual([set(names)] * len(names), list(fleet.views().values()))

    @hypothesis.settings(max_examples=100, derandomize=True, deadline=None)
    @hypothesis.given(strategies.data())
    def test_merge_order_does_not_matter(self, data):
        own = membership.Instance("own", "a", 1, "127.0.0.1", 1)
        records = [
            membership.Record(
                membership.Instance("x", "a", incarnation, "127.0.0.1", 1), beat, state
            )
            for incarnation, beat, state in data.draw(
                strategies.lists(
                    strategies.tuples(
                        strategies.integers(1, 3),
                        strategies.integers(0, 3),
                        strategies.sampled_from(list(membership.State)),
                    ),
                    min_size=1,
                )
            )
        ]
        first, second = membership.Membership(own), membership.Membership(own)
        for record in records:
            first.merge(record)
        for record in data.draw(strategies.permutations(records)):
            second.merge(record)
        self.assertEqual(first.digest(), second.digest())
