"""Tests of how instances learn the log positions of the primaries."""

import collections
import random
import types

import attrs
import testtools

from pomelograde.core import membership, placement, sessions
from pomelograde.net import metrics, peer_messages, peers
from pomelograde.net.hosted import positions, relay

GROUPS = ("g", "h", "i", "j")
SHORTEST_STALENESS_S = 1.5  # of a read in use


class Network:
    """Delivers requests between instances at once, and counts them.

    Attributes
    ----------
    silent : set of str
        Instances that do not answer.
    earlier : set of str
        Instances of a build that answers for the first group of a request only.
    """

    def __init__(self):
        self.handlers = {}
        self.sent = collections.Counter()
        self.silent = set()
        self.earlier = set()

    def join(self, sender):
        """Return the peer task of an instance."""
        handlers = self.handlers[sender] = {}

        async def request(peer, message, timeout_s):
            self.sent[sender, peer.name] += 1
            if peer.name in self.silent:
                raise peers.NoReplyError(peer.name)
            if peer.name in self.earlier:
                message = attrs.evolve(message, queries=[])
            envelope = peer_messages.Envelope(sender, 1, 1, False, message)
            envelope = peer_messages.unpack(peer_messages.pack(envelope))
            answer = self.handlers[peer.name][type(message)](envelope.message, envelope)
            envelope = peer_messages.Envelope(peer.name, 1, 1, True, answer)
            return peer_messages.unpack(peer_messages.pack(envelope)).message

        return types.SimpleNamespace(
            handlers=handlers, request=request, drop_connection=lambda name: None
        )


class PositionTests(testtools.TestCase):
    """Several instances in two regions; the primaries are in the region `a`."""

    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.network = Network()
        self.fleet = {}

    def start(self, counts):
        """Start instances, given their number by data centre."""
        instances = [
            membership.Instance(
                f"{place}-{number}", place, 5, "127.0.0.1", 2, region=place[0]
            )
            for place, count in counts.items()
            for number in range(count)
        ]
        for own in instances:
            self.fleet[own.name] = self.make(own, instances)

    def make(self, own, instances):
        context = types.SimpleNamespace(
            now=lambda: self.now,
            random=random.Random(1),
            members=types.SimpleNamespace(own=own),
            peers=self.network.join(own.name),
            metrics=metrics.Metrics(),
            log=types.SimpleNamespace(write=lambda event, **fields: None),
        )
        proxy = types.SimpleNamespace(pools={}, placing=None, started_at=0.0)
        proxy.groups = {name: self.make_group(name) for name in GROUPS}
        proxy.relay = relay.Relay(context, proxy)
        proxy.relay.set_instances(instances)
        return positions.Positions(context, proxy)

    def make_group(self, name):
        group = placement.Group(name)
        primary = placement.Member(f"p-{name}", "ax", role=placement.Role.PRIMARY)
        group.update([primary], self.now)
        group.primary_lease_until = 1000.0
        return group

    def record_at_owners(self, index):
        """Let the owners of the primaries' connections know their positions."""
        any_relay = next(iter(self.fleet.values())).proxy.relay
        for name in GROUPS:
            member = placement.Member(f"p-{name}", "ax")
            owner = any_relay.find_owner(member, "").name
            group = self.fleet[owner].proxy.groups[name]
            group.on_position(member.name, sessions.Position(1, index), self.now)

    def refresh(self, rounds=3):
        for index in range(1, rounds + 1):
            self.record_at_owners(index)
            for found in self.fleet.values():
                found.refresh()
            self.now += positions.INTERVAL_S + 0.01

    def find_known(self):
        """Return the positions known by all instances."""
        return [
            group.members[f"p-{name}"].position
            for found in self.fleet.values()
            for name, group in found.proxy.groups.items()
        ]

    def test_all_instances_know_positions_well_within_the_staleness_limits(self):
        self.start({"ax": 10, "ay": 10, "bx": 10, "by": 10})
        self.refresh(rounds=6)
        known = self.find_known()
        self.assertNotIn(None, known)
        oldest = 6 - min(known).index
        self.assertTrue(oldest * positions.INTERVAL_S < SHORTEST_STALENESS_S, oldest)

    def test_requests_grow_with_instances_and_not_with_databases(self):
        counts = {"ax": 10, "ay": 10, "bx": 10, "by": 10}
        self.start(counts)
        self.refresh(rounds=1)
        of_sources = len(counts) * len(GROUPS)
        self.assertTrue(sum(self.network.sent.values()) <= 40 + of_sources)

    def test_one_instance_asks_the_owners_on_behalf_of_a_data_centre(self):
        self.start({"ax": 4, "bx": 6, "by": 5})
        self.refresh(rounds=1)
        for place in ("bx", "by"):
            asked = {
                receiver
                for (sender, receiver), _ in self.network.sent.items()
                if sender.startswith(place) and receiver.startswith("b")
            }
            self.assertEqual(1, len(asked), asked)
        over_regions = {
            sender for sender, receiver in self.network.sent if sender[0] != receiver[0]
        }
        self.assertTrue(len(over_regions) <= 2, over_regions)

    def test_source_asks_the_owner_and_no_other_source(self):
        self.start({f"b{number}": 4 for number in range(8)} | {"ax": 2})
        for found in self.fleet.values():
            primary = found.proxy.groups["g"].members["p-g"]
            owner = found.proxy.relay.find_owner(primary, "").name
            source = found.find_source(primary).name
            if source != owner:
                asked = self.fleet[source].find_source(primary).name
                self.assertEqual(owner, asked)

    def test_silent_source_is_replaced(self):
        self.start({"ax": 3, "bx": 4})
        found = self.fleet["bx-0"]
        primary = found.proxy.groups["g"].members["p-g"]
        source = next(
            each.find_source(primary).name
            for name, each in self.fleet.items()
            if name.startswith("bx") and each.find_source(primary).name[0] == "b"
        )
        self.network.silent.add(source)
        self.refresh(rounds=2)
        asked = {
            each.find_source(primary).name
            for name, each in self.fleet.items()
            if name.startswith("bx") and name != source
        }
        self.assertNotIn(source, asked)

    def test_source_of_an_earlier_build_is_asked_for_one_database_after_another(self):
        self.start({"ax": 4, "bx": 6})
        self.network.earlier.update(self.fleet)
        self.refresh()
        self.assertNotIn(None, self.find_known())

    def test_instance_that_does_not_know_a_group_answers_for_the_others(self):
        self.start({"ax": 2})
        found = self.fleet["ax-0"]
        del found.proxy.groups["g"]
        self.record_at_owners_of(found, 7)
        request = peer_messages.FloorRequest(
            "g", [], [peer_messages.FloorQuery("h"), peer_messages.FloorQuery("x")]
        )
        answer = self.network.handlers["ax-0"][peer_messages.FloorRequest](
            request, None
        )
        self.assertFalse(answer.known)
        self.assertEqual(
            [("h", True, 7), ("x", False, 0)],
            [(floor.group, floor.known, floor.index) for floor in answer.floors],
        )

    def test_answer_counts_for_nothing_after_a_change_of_the_primary(self):
        self.start({"ax": 2})
        found = self.fleet["ax-0"]
        group = found.proxy.groups["g"]
        answer = peer_messages.FloorAnswer(True, 1, 7)
        group.update(
            [
                placement.Member("p-g", "ax"),
                placement.Member("new", "ax", role=placement.Role.PRIMARY),
            ],
            self.now,
        )
        found._apply(group, "p-g", answer, self.now)
        self.assertIsNone(group.members["new"].position)
        self.assertIsNone(group.read_requirement(None, 1.5, self.now))

    def record_at_owners_of(self, found, index):
        for name, group in found.proxy.groups.items():
            group.on_position(f"p-{name}", sessions.Position(1, index), self.now)
