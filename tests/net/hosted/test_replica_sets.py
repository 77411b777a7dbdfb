"""Tests of the task that records which members may hold acknowledged commits."""

import types

import testtools
from twisted.internet import defer, task

from pomelograde.core import membership, placement, takeovers
from pomelograde.net import events
from pomelograde.net.hosted import replica_sets

OWN = membership.Instance("reader", "x", 1, "127.0.0.1", 2)


class Source:
    MAX_REPLICA_SETS = 2

    class StoreUnavailableError(Exception):
        pass

    def __init__(self):
        self.replica_sets = {}
        self.calls = []
        self.is_away = False

    async def record_replica_sets(self, replica_sets):
        if self.is_away:
            raise self.StoreUnavailableError("away")
        self.calls.append([found.service for found in replica_sets])
        version = len(self.calls)
        written = [
            takeovers.make_replica_set(
                found.service, found.primary, found.members, version
            )
            for found in replica_sets
        ]
        self.replica_sets.update((found.service, found) for found in written)
        return written


class ReplicaSetTaskTests(testtools.TestCase):
    """A service with a primary, p, and two replicas, a and b."""

    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.clock.advance(100.0)
        self.log = []
        self.source = Source()
        self.is_reader = True
        self.answering = set()
        self.witnesses = {}
        self.is_held = True
        self.asked = []
        context = types.SimpleNamespace(
            reactor=self.clock,
            now=self.clock.seconds,
            log=types.SimpleNamespace(write=self.write),
            members=types.SimpleNamespace(own=OWN),
        )
        sync = types.SimpleNamespace(
            is_reader=lambda now: self.is_reader,
            is_registered=True,
            freshness=types.SimpleNamespace(
                primary_lease_until=lambda: self.clock.seconds() + 3.0
            ),
            source=self.source,
            find_replica_set=self.find_replica_set,
        )
        self.groups = {"g": placement.Group("g")}
        proxy = types.SimpleNamespace(groups=self.groups, is_stopping=False)
        self.synchronous = {"g": 1}
        takeover_task = types.SimpleNamespace(
            count_synchronous=lambda service: self.synchronous.get(service, 0),
            apply_replica_set=self.apply_replica_set,
            check_member=self.check_member,
            query_witnesses=self.query_witnesses,
            is_log_held=self.is_log_held,
        )
        self.known = {}
        self.task = replica_sets.ReplicaSetTask(context, sync, proxy, takeover_task)
        self.register("pab")
        self.task.start()
        self.addCleanup(self.task.stop)

    def write(self, event, **fields):
        self.log.append((event, fields))

    def find_replica_set(self, service):
        found = takeovers.select_replica_set(
            self.known.get(service), self.source.replica_sets.get(service)
        )
        if found is not None:
            self.known[service] = found
        return found

    def apply_replica_set(self, group):
        recorded = self.find_replica_set(group.name)
        group.recorded = {
            found.name: placement.Member(found.name, found.data_centre)
            for found in recorded.members
        }

    async def check_member(self, group, member):
        self.asked.append(member.name)
        return member.name in self.answering

    async def query_witnesses(self, group, member):
        return self.witnesses.get(member.name, [])

    async def is_log_held(self, group, primary, count):
        return self.is_held

    def register(self, names, service="g", leaving=()):
        roles = {"p": placement.Role.PRIMARY}
        members = [
            placement.Member(
                name,
                "x",
                role=roles.get(name, placement.Role.REPLICA),
                leaving=name in leaving,
                host="127.0.0.1",
                port=ord(name),
            )
            for name in names
        ]
        group = self.groups.setdefault(service, placement.Group(service))
        group.update(members, self.clock.seconds())
        group.primary_lease_until = float("inf")

    def advance(self, seconds):
        for _ in range(int(seconds / 0.25)):
            self.clock.advance(0.25)

    def names(self):
        return sorted(self.source.replica_sets["g"].names)

    def test_members_are_recorded_once(self):
        self.advance(5.0)
        self.assertEqual([["g"]], self.source.calls)
        self.assertEqual(["a", "b", "p"], self.names())
        self.assertEqual("p", self.source.replica_sets["g"].primary)

    def test_complete_record_is_compared_again_only_after_a_change(self):
        self.advance(2.0)
        compared = []
        find = self.task.sync.find_replica_set
        self.task.sync.find_replica_set = lambda service: (
            compared.append(service) or find(service)
        )
        self.advance(5.0)
        self.assertEqual([], compared)
        self.register("pabc")
        self.advance(0.5)
        self.assertEqual(["g"], compared)
        self.assertEqual(["a", "b", "c", "p"], self.names())

    def test_service_without_synchronous_replicas_is_not_recorded(self):
        self.synchronous = {}
        self.advance(5.0)
        self.assertEqual([], self.source.calls)

    def test_only_the_reader_records(self):
        self.is_reader = False
        self.advance(5.0)
        self.assertEqual([], self.source.calls)

    def test_many_services_are_recorded_in_several_calls(self):
        for service in "hi":
            self.synchronous[service] = 1
            self.register("pab", service)
        self.advance(0.5)
        self.assertEqual([["g", "h"], ["i"]], self.source.calls)

    def test_new_member_is_added(self):
        self.advance(1.0)
        self.register("pabc")
        self.advance(0.5)
        self.assertEqual(["a", "b", "c", "p"], self.names())

    def test_lost_member_stays_while_the_primary_is_lost_as_well(self):
        # Both may be back with commits that nobody else holds.
        self.advance(1.0)
        self.register("b")
        self.advance(120.0)
        self.assertEqual(["a", "b", "p"], self.names())

    def test_lost_member_is_removed_once_others_hold_all_commits(self):
        self.advance(1.0)
        self.register("pb")
        self.is_held = False
        self.advance(20.0)
        self.assertEqual(["a", "b", "p"], self.names())
        self.is_held = True
        self.advance(1.0)
        self.assertEqual(["b", "p"], self.names())
        self.assertIn("a", self.asked)
        removed = [fields["removed"] for _, fields in self.log]
        self.assertEqual([[], ["a"]], removed)

    def test_member_without_a_row_that_answers_stays(self):
        self.advance(1.0)
        self.register("pb")
        self.answering = {"a"}
        self.advance(20.0)
        self.answering = set()
        self.witnesses = {"a": ["answer"]}
        self.advance(20.0)
        self.assertEqual(["a", "b", "p"], self.names())
        self.witnesses = {}
        self.advance(replica_sets.ABSENT_TIMEOUT_S - 1.0)
        self.assertEqual(["a", "b", "p"], self.names())
        self.advance(2.0)
        self.assertEqual(["b", "p"], self.names())

    def test_member_that_is_back_is_not_removed(self):
        self.advance(1.0)
        self.register("pb")
        self.advance(replica_sets.ABSENT_TIMEOUT_S - 1.0)
        self.register("pab")
        self.advance(1.0)
        self.register("pb")
        self.advance(replica_sets.ABSENT_TIMEOUT_S - 1.0)
        self.assertEqual(["a", "b", "p"], self.names())

    def test_member_of_an_evacuated_data_centre_is_not_asked(self):
        self.advance(1.0)
        self.register("pb")
        self.groups["g"].set_evacuations({"x": 0.0})
        self.advance(1.0)
        self.assertEqual([], self.asked)

    def test_successor_of_a_member_that_left_takes_its_place(self):
        self.advance(1.0)
        self.register("pab", leaving="a")
        self.advance(1.0)
        members = [
            placement.Member("c", "x", host="127.0.0.1", port=ord("a")),
            *[self.groups["g"].members[name] for name in "pb"],
        ]
        self.groups["g"].update(members, self.clock.seconds())
        self.advance(0.5)
        self.assertEqual(["b", "c", "p"], self.names())

    def test_record_that_the_store_has_lost_is_written_again(self):
        self.advance(1.0)
        self.register("pabc")
        self.advance(1.0)
        old = takeovers.make_replica_set("g", "p", (), 0)
        self.source.replica_sets["g"] = old
        self.advance(0.5)
        self.assertEqual(["a", "b", "c", "p"], self.names())

    def test_record_that_is_not_written_is_logged_and_written_later(self):
        self.source.is_away = True
        self.advance(0.5)
        self.assertEqual(
            [
                (
                    events.Event.REPLICA_SETS_NOT_WRITTEN,
                    {"services": ["g"], "reason": "away"},
                )
            ],
            self.log,
        )
        self.source.is_away = False
        self.advance(0.5)
        self.assertEqual(["a", "b", "p"], self.names())

    def test_fault_of_a_check_is_logged(self):
        self.advance(1.0)
        self.register("pb")
        self.task.takeover_task.check_member = lambda group, member: defer.fail(
            ValueError("x")
        )
        self.advance(1.0)
        self.assertIn(events.Event.INTERNAL_FAULT, [event for event, _ in self.log])
