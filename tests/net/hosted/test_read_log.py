"""Tests of the log of reads after a takeover."""

import types

import testtools

from pomelograde.core import placement, sessions, statements
from pomelograde.net import events
from pomelograde.net.hosted import read_log

POSITION = sessions.Position
OP = statements.Operation


class ReadLogTests(testtools.TestCase):
    """A session reads at a service whose primary has just been replaced."""

    def setUp(self):
        super().setUp()
        self.now = 10.0
        self.records = []
        log = types.SimpleNamespace(write=self.write)
        context = types.SimpleNamespace(now=lambda: self.now, log=log)
        self.group = placement.Group("g")
        self.group.update(
            [placement.Member("p", "here"), placement.Member("a", "here")], self.now
        )
        self.group.primary_lease_until = 99.0
        self.log = read_log.ReadLog(context, {"g": self.group})
        kind = statements.RouteType.READ_YOUR_WRITES
        route = statements.Route("db", "g", kind, 0.8, 0.4, 1, 1.5)
        router = types.SimpleNamespace(
            resolve=lambda now: route,
            check=lambda now: None,
            group=lambda service: self.group,
        )
        self.session = statements.Session("desk", "here", router)

    def write(self, event, **fields):
        self.records.append((event, fields))

    def promote(self, fence):
        """Let a takeover end now, with the position of its successor."""
        self.group.set_takeover(True, "", self.now, fence=fence)
        self.group.set_takeover(False, "p", self.now, fence=fence)
        self.group.on_position("p", POSITION(2, fence), self.now, "source")

    def read(self, operation=OP.READ):
        """Read, with an answer after 20 ms."""
        statement = statements.Statement(b"q1", operation, b"text")
        self.session.on_statement(statement, self.now)
        self.session.on_admitted(self.now)
        self.session.on_connection("connection", self.now)
        self.now += 0.02
        answer = statements.Answer(digest=b"d", position=POSITION(2, 8))
        self.log.record(self.session, answer)
        self.session.on_answer(answer, self.now)

    def test_read_after_a_takeover_is_logged_with_what_it_went_by(self):
        self.promote(7)
        self.session.commit_position = POSITION(1, 6)
        self.now += 0.1
        self.read()
        ((event, fields),) = self.records
        self.assertIs(events.Event.READ_ANSWERED, event)
        expected = {
            "id": "q1",
            "service": "g",
            "member": "a",
            "on_primary": False,
            "required": "2.7",
            "position": "2.8",
            "error": None,
            "bookmark": "1.6",
            "floor": "2.7",
            "floor_s": 0.12,
            "floor_member": "p",
            "floor_source": "source",
            "term": 2,
            "sent_s": 0.02,
            "primary": "p",
            "primary_s": 0.12,
        }
        self.assertEqual(expected, {name: fields[name] for name in expected})

    def test_reads_are_logged_for_a_while_after_each_takeover(self):
        self.read()
        self.assertEqual([], self.records)
        for fence in (7, 8):
            self.promote(fence)
            self.read()
            self.now += read_log.WINDOW_S
            self.read()
        self.assertEqual(2, len(self.records))

    def test_number_of_reads_that_are_logged_is_bounded(self):
        self.promote(7)
        at = self.now
        for _ in range(read_log.MAX_READS + 5):
            self.now = at
            self.read()
        self.assertEqual(read_log.MAX_READS, len(self.records))

    def test_writes_are_not_logged(self):
        self.promote(7)
        self.read(OP.WRITE)
        self.assertEqual([], self.records)
