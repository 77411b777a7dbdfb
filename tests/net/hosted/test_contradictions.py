"""Tests of rows that name a member's address under another id or service."""

import base64
import contextlib
import json
import types

import testtools
from twisted.internet import defer, task

from pomelograde.core import placement
from pomelograde.net import events, pools
from pomelograde.net.hosted import contradictions
from pomelograde.standins import http, processes
from pomelograde.standins.hosting import fleets, host
from tests.net.hosted import test_fleet

MISDIRECTED = pools.UpstreamOpenError("misdirected", is_misdirected=True)
SILENT = pools.UpstreamOpenError("no answer")
FULL = pools.UpstreamOpenError("too many", refused=True, is_full=True)


def make_member(name, port=1):
    return placement.Member(name=name, data_centre="x", host="h", port=port)


class SelectionTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.logged = []
        self.changes = []
        self.calls = []
        self.member = make_member("m")
        context = types.SimpleNamespace(
            reactor=self.clock,
            now=self.clock.seconds,
            log=types.SimpleNamespace(
                write=lambda event, **fields: self.logged.append((event, fields))
            ),
        )
        self.known = contradictions.Contradictions(
            context, self.connect, lambda: self.changes.append(1)
        )

    def connect(self, service, member):
        self.calls.append(defer.Deferred())
        return self.calls[-1]

    def answer(self):
        """Let the address answer the last check under the row's id."""
        self.calls[-1].callback(types.SimpleNamespace(close=lambda: None))

    def select(self, *members):
        """Return the names that may be used."""
        selected = self.known.select({"g": list(members)})
        return [member.name for member in selected["g"]]

    def contradict(self):
        self.known.record_refusal("g", self.member, MISDIRECTED)
        self.clock.advance(0.0)

    def test_row_whose_address_answers_under_another_id_is_not_used(self):
        self.contradict()
        self.contradict()
        other = make_member("n")
        self.assertEqual(["n"], self.select(self.member, other))
        self.assertEqual([1], self.changes)
        ((event, fields),) = self.logged
        self.assertEqual(events.Event.MEMBER_CONTRADICTED, event)
        self.assertEqual(("m", "h:1"), (fields["member"], fields["address"]))

    def test_member_that_has_answered_under_its_id_stays(self):
        self.known.record_answer("g", self.member)
        self.contradict()
        self.assertEqual(["m"], self.select(self.member))
        self.assertEqual([], self.logged)

    def test_refusals_that_say_nothing_of_the_id_change_nothing(self):
        self.known.record_refusal("g", self.member, SILENT)
        self.assertEqual(["m"], self.select(self.member))
        self.known.record_refusal("g", self.member, FULL)
        self.contradict()
        self.assertEqual(["m"], self.select(self.member))

    def test_row_is_used_again_when_it_changes(self):
        self.contradict()
        self.assertEqual([], self.select(self.member))
        self.assertEqual(["m"], self.select(make_member("m", port=2)))
        self.assertEqual([], self.clock.getDelayedCalls())

    def test_row_is_used_again_once_its_address_answers_under_its_id(self):
        self.contradict()
        self.clock.advance(contradictions.FIRST_CHECK_S)
        self.answer()
        self.clock.advance(0.0)
        self.assertEqual(["m"], self.select(self.member))
        self.assertEqual([1, 1], self.changes)
        self.assertFalse(self.logged[-1][1]["contradicted"])
        self.contradict()
        self.assertEqual(["m"], self.select(self.member))

    def test_checks_become_rarer(self):
        self.contradict()
        for number in range(600):
            self.clock.advance(0.1)
            if self.calls and not self.calls[-1].called:
                self.calls[-1].errback(SILENT if number % 2 else MISDIRECTED)
        self.assertEqual(9, len(self.calls))  # after 1, 3, 7, 15, 23, ... seconds
        self.assertEqual([], self.select(self.member))

    def test_row_that_has_gone_is_forgotten(self):
        self.contradict()
        self.known.record_answer("g", make_member("n"))
        self.assertEqual([], self.select())
        self.assertEqual(({}, {}), (self.known.found, self.known.answered))
        self.assertEqual([], self.clock.getDelayedCalls())

    def test_check_that_ends_after_its_row_has_gone_changes_nothing(self):
        self.contradict()
        self.clock.advance(contradictions.FIRST_CHECK_S)
        self.select()
        self.calls[-1].errback(SILENT)
        self.assertEqual([], self.clock.getDelayedCalls())

    def test_stop_ends_the_checks(self):
        self.contradict()
        self.known.stop()
        self.known.record_refusal("g", self.member, MISDIRECTED)
        self.assertEqual([], self.clock.getDelayedCalls())

    def test_word_of_another_instance_is_checked_at_a_bounded_rate(self):
        for _ in range(5):
            self.known.suspect("g", self.member)
        self.assertEqual(1, len(self.calls))
        self.calls[-1].errback(SILENT)
        self.assertEqual(["m"], self.select(self.member))
        self.clock.advance(contradictions.SUSPICION_INTERVAL_S)
        self.known.suspect("g", self.member)
        self.calls[-1].errback(MISDIRECTED)
        self.assertEqual([], self.select(self.member))

    def test_check_that_fails_unexpectedly_is_made_again(self):
        self.contradict()
        for _ in range(2):
            self.clock.advance(contradictions.MAX_CHECK_S)
            self.calls[-1].errback(OverflowError())
        self.assertEqual(2, len(self.calls))
        self.assertEqual([], self.select(self.member))

    def test_member_that_has_moved_has_not_answered_there(self):
        self.known.record_answer("g", self.member)
        moved = make_member("m", port=2)
        self.assertFalse(self.known.has_answered("g", moved))
        self.known.record_answer("g", moved)
        self.assertTrue(self.known.has_answered("g", moved))

    def test_member_that_has_answered_is_not_suspected(self):
        self.known.record_answer("g", self.member)
        self.known.suspect("g", self.member)
        self.assertEqual([], self.calls)


class ContradictedRowTests(test_fleet.FleetTests):
    """Rows that stand in the store before the instances start."""

    @classmethod
    def setUpClass(cls):
        testtools.TestCase.setUpClass()
        cls.exits = contextlib.ExitStack()
        running = cls.exits.enter_context(processes.Processes())
        cls.fleet = fleets.Fleet(running, cls.contracts)
        cls.version = host.MANIFEST["version"]
        url = f"http://{cls.fleet.store}/rows-get?table=servers"
        rows = {row["key"]: row for row in http.send("GET", url)["rows"]}
        primary = json.loads(base64.b64decode(rows[test_fleet.PRIMARY]["value"]))
        replica = {**primary, "dbRole": "replica"}
        leaving = {**primary, "state": "draining"}
        cls.fleet.put("servers", "zz-leaving", json.dumps(leaving))
        for number in range(4):
            cls.fleet.put("servers", f"z-primary-{number}", json.dumps(primary))
            cls.fleet.put("servers", f"z-replica-{number}", json.dumps(replica))
            row = json.dumps({**replica, "service": "other-group"})
            cls.fleet.put("servers", f"z-other-{number}", row)
        cls.fleet.start_instances()

    def serve(self, database):
        """Return whether all instances serve a write or a read now."""
        text = "READ k1" if "bounded" in database else "WRITE k1 v"
        return all(
            any(
                line.startswith("COMPLETE")
                for line in self.call(number, database=database).query(text)
            )
            for number in range(3)
        )

    def find_all(self, name):
        """Return the records of an event of all instances."""
        return [
            record for number in range(3) for record in self.find_records(name, number)
        ]

    def test_rows_under_other_ids_take_no_statements_and_start_no_takeover(self):
        for database in ("meters", "meters-own", "meters-bounded"):
            self.assertTrue(
                test_fleet.wait_until(lambda name=database: self.serve(name), 6.0)
            )
        # Members without a primary are replaced after 3 s.
        self.assertFalse(
            test_fleet.wait_until(lambda: self.find_all("TAKEOVER_STARTED"), 4.0)
        )
        for _ in range(5):
            for database in ("meters", "meters-own", "meters-bounded"):
                self.assertTrue(self.serve(database))
        contradicted = {
            record["member"] for record in self.find_all("MEMBER_CONTRADICTED")
        }
        self.assertTrue(
            any(name.startswith("z-primary") for name in contradicted), contradicted
        )
        self.assertFalse(any(name.startswith("i-") for name in contradicted))
        used = self.find_all("UPSTREAM_MEMBERS_CHANGED")[-1]
        self.assertEqual(4, len(used["unnamed"]["other-group"]))
        self.assertEqual([], self.find_all("INTERNAL_FAULT"))


class JudgedContradictedRowTests(ContradictedRowTests):
    contracts = ("health", "pool")
