"""Heartbeats, loss and leaving over several instances without a socket."""

import attrs
import hypothesis
import testtools
from hypothesis import strategies

from pomelograde.core import membership

STEP_S = 0.5


class Simulation:
    """Detectors that pass each other messages, some of which are lost."""

    def __init__(self, places):
        self.now = 0.0
        self.detectors = {}
        self.down = set()
        self.cut = set()
        for number, place in enumerate(places):
            self.start(f"{place}-{number}", place, 1)

    def start(self, name, place, incarnation):
        own = membership.Instance(name, place, incarnation, "127.0.0.1", 1)
        members = membership.Membership(own)
        for other in self.detectors.values():
            members.add_seed(other.members.own)
            other.members.add_seed(own)
        self.down.discard(name)
        self.detectors[name] = membership.FailureDetector(members)

    def passes(self, sender, receiver):
        places = {
            self.detectors[sender].members.own.data_centre,
            self.detectors[receiver].members.own.data_centre,
        }
        return not self.down & {sender, receiver} and frozenset(places) not in self.cut

    def run(self, sender, actions):
        for action in actions:
            if isinstance(action, membership.SendRecords):
                self.deliver(sender, action.instance.name, action.records)
            elif isinstance(action, membership.Probe):
                self.probe(sender, action.instance.name)

    def deliver(self, sender, receiver, records):
        if receiver not in self.detectors or not self.passes(sender, receiver):
            return
        found = self.detectors[receiver]
        self.run(receiver, found.on_heartbeat(sender, records, self.now))
        theirs = self.detectors[sender].members
        if found.members.digest() != theirs.digest():
            records = found.all_records()
            answer = self.detectors[sender].on_heartbeat(receiver, records, self.now)
            self.run(sender, answer)

    def probe(self, sender, receiver):
        found = self.detectors[sender]
        if self.passes(sender, receiver):
            found.on_probe_answered(receiver, self.now)
        else:
            self.run(sender, found.on_probe_failed(receiver, self.now))

    def advance(self, seconds):
        for _ in range(int(seconds / STEP_S)):
            self.now += STEP_S
            for name in sorted(self.detectors):
                if name not in self.down:
                    self.run(name, self.detectors[name].tick(self.now))

    def views(self):
        """Return the names that each running instance holds to be live."""
        return {
            name: {found.name for found in detector.members.live()}
            for name, detector in self.detectors.items()
            if name not in self.down
        }


PLACES = ["a", "a", "a", "a", "a", "b", "b", "c"]


class DetectorTests(testtools.TestCase):
    def start(self):
        fleet = Simulation(PLACES)
        fleet.advance(10.0)
        everyone = set(fleet.detectors)
        self.assertEqual([everyone] * len(everyone), list(fleet.views().values()))
        return fleet, everyone

    def test_dead_instance_is_lost_within_seconds_and_never_flaps_back(self):
        fleet, everyone = self.start()
        fleet.down.add("a-0")
        fleet.advance(4.0)
        for _ in range(20):
            for view in fleet.views().values():
                self.assertEqual(everyone - {"a-0"}, view)
            fleet.advance(STEP_S)

    def test_all_relays_dead_at_once(self):
        fleet, everyone = self.start()
        relays = set(fleet.detectors["a-0"].relays("a"))
        fleet.down |= relays
        fleet.advance(12.0)
        for view in fleet.views().values():
            self.assertEqual(everyone - relays, view)

    def test_leaving_is_final_for_its_incarnation_and_a_restart_returns(self):
        fleet, everyone = self.start()
        detector = fleet.detectors["b-5"]
        stale = detector.members.records["b-5"]
        fleet.run("b-5", detector.leave(fleet.now))
        fleet.down.add("b-5")
        for view in fleet.views().values():
            self.assertEqual(everyone - {"b-5"}, view)
        late = attrs.evolve(stale, beat=stale.beat + 1000)
        fleet.detectors["a-0"].on_heartbeat("a-1", [late], fleet.now)
        fleet.advance(2.0)
        self.assertNotIn("b-5", fleet.views()["a-0"])
        fleet.start("b-5", "b", 2)
        fleet.advance(3.0)
        for view in fleet.views().values():
            self.assertEqual(everyone, view)

    def test_partition_is_noticed_and_heals(self):
        fleet, everyone = self.start()
        fleet.cut = {frozenset("ab"), frozenset("bc")}
        fleet.advance(6.0)
        b_side = {"b-5", "b-6"}
        for name, view in fleet.views().items():
            expected = b_side if name in b_side else everyone - b_side
            self.assertEqual(expected, view, name)
        fleet.cut = set()
        fleet.advance(6.0)
        for view in fleet.views().values():
            self.assertEqual(everyone, view)

    @hypothesis.settings(max_examples=60, derandomize=True, deadline=None)
    @hypothesis.given(strategies.data())
    def test_views_agree_after_any_faults_end(self, data):
        fleet = Simulation(PLACES)
        names = sorted(fleet.detectors)
        for _ in range(4):
            fleet.down = data.draw(strategies.sets(strategies.sampled_from(names)))
            pairs = strategies.sampled_from(["ab", "ac", "bc"]).map(frozenset)
            fleet.cut = data.draw(strategies.sets(pairs))
            fleet.advance(data.draw(strategies.sampled_from([0.5, 2.0, 5.0])))
        fleet.down, fleet.cut = set(), set()
        fleet.advance(20.0)
        self.assertEqual([set(names)] * len(names), list(fleet.views().values()))

    @hypothesis.settings(max_examples=100, derandomize=True, deadline=None)
    @hypothesis.given(strategies.data())
    def test_records_merge_to_the_same_in_any_order(self, data):
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
