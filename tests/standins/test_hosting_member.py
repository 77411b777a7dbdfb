"""Tests of what a stand-in member of the hosting platform records."""

import testtools
from twisted.internet import task, testing

from pomelograde.standins.hosting import member


class TraceTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.member = member.Member("i-a", "a", member.PRIMARY)
        self.group = member.Group("g", [self.member], 10, self.clock)
        self.protocol = self.connect()

    def connect(self):
        protocol = member.MemberProtocol(self.group, self.member)
        protocol.makeConnection(testing.StringTransport())
        protocol.lineReceived(b"START g red i-a")
        protocol.transport.clear()
        return protocol

    def query(self, *texts, request_id="q1", protocol=None):
        """Send statements at once, and return the lines of the answers."""
        protocol = protocol or self.protocol
        for text in texts:
            protocol.lineReceived(f"QUERY {request_id} {text}".encode())
        return self.read(protocol)

    def read(self, protocol):
        lines = protocol.transport.value().decode().splitlines()
        protocol.transport.clear()
        return lines

    def test_statements_are_recorded_with_their_transaction_and_settings(self):
        self.query("SET zone 1", "PARSE s READ q7", "BEGIN", "EXECUTE s k", "COMMIT")
        self.query("READ k", protocol=self.connect())
        read, commit, alone = self.member.trace[3:]
        self.assertEqual("EXECUTE READ q7 k", read.text)
        self.assertEqual((1, {"zone": "1"}), (read.transaction, read.settings))
        self.assertEqual(("COMMIT", 1), (commit.text, commit.transaction))
        self.assertEqual((0, {}), (alone.transaction, alone.settings))
        self.assertNotEqual(read.connection, alone.connection)

    def test_statement_that_is_refused_has_not_run(self):
        self.member.role = member.REPLICA
        self.query("WRITE k 1", "READ k")
        self.assertEqual(
            [False, True], [found.ran_at is not None for found in self.member.trace]
        )

    def test_commits_of_the_proxy_are_recorded_with_their_writes(self):
        self.query("BEGIN", "WRITE k 1", "COMMIT", request_id="-")
        (commit,) = self.member.trace
        self.assertEqual(("-", 1), (commit.request_id, commit.written))

    def test_silent_connection_answers_nothing_and_is_dropped(self):
        other = self.connect()
        self.member.silence()
        self.assertEqual([], self.query("READ k"))
        self.assertEqual([], self.query("READ k", protocol=other))
        self.assertEqual(2, self.member.connections)
        self.clock.advance(member.DROP_SILENT_S)
        self.assertEqual((0, []), (self.member.connections, self.member.protocols))
        self.assertNotEqual([], self.query("READ k", protocol=self.connect()))

    def test_statements_take_their_time_one_after_the_other(self):
        self.member.work_s = 0.2
        self.assertEqual([], self.query("WRITE k 1", "READ k"))
        self.assertEqual([], self.member.log)
        self.clock.advance(0.2)
        self.assertEqual(2, len(self.read(self.protocol)))
        self.clock.advance(0.2)
        self.assertEqual("DATAROW 1", self.read(self.protocol)[0])

    def test_connection_that_ends_drops_what_waits(self):
        self.member.work_s = 0.2
        self.query("WRITE k 1", "WRITE k 2")
        self.protocol.connectionLost()
        self.clock.advance(0.2)
        self.clock.advance(0.2)
        self.assertEqual([("k", "1", "q1")], self.member.log)


class ReplicationTests(testtools.TestCase):
    """A primary and two replicas, one of which must receive each commit."""

    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.members = [
            member.Member(name, name, member.REPLICA, receive_s=0.01, lag_s=0.5)
            for name in "abc"
        ]
        self.primary, self.replica, _ = self.members
        self.primary.role = member.PRIMARY
        self.group = member.Group("g", self.members, 10, self.clock)
        self.group.synchronous_replicas = 1
        self.done = []

    def commit(self):
        self.group.commit(self.primary, [("k", "1", "q1")], lambda: self.done.append(1))

    def test_commit_is_answered_once_a_replica_has_received_it(self):
        self.commit()
        self.assertEqual([], self.done)
        self.clock.advance(0.01)
        self.assertEqual([1], self.done)
        self.assertEqual((1, 0), (len(self.replica.log), self.replica.applied))
        self.clock.advance(0.5)
        self.assertEqual(1, self.replica.applied)

    def test_commit_of_a_replaced_primary_is_not_answered(self):
        self.commit()
        self.group.promote("b")
        self.clock.advance(1.0)
        self.assertEqual([], self.done)

    def test_primary_that_is_cut_off_learns_later_that_it_was_replaced(self):
        self.primary.is_store_cut = True
        self.group.promote("b")
        self.group.demote_replaced()
        self.assertEqual(member.PRIMARY, self.primary.role)
        self.primary.is_store_cut = False
        self.group.demote_replaced()
        self.assertEqual(member.REPLICA, self.primary.role)
