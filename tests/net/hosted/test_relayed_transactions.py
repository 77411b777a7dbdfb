"""Tests of transactions that an owner of connections holds for other instances."""

import random
import types

import testtools
from twisted.internet import defer

from pomelograde.core import membership, statements
from pomelograde.net import events, peer_messages, peers
from pomelograde.net.hosted import relay

OWNER, ENTRY, OTHER = (
    membership.Instance(name, "a-x", 5, "127.0.0.1", 2, region="a")
    for name in ("a1", "a2", "a3")
)
IN_TRANSACTION = statements.Answer(status=b"T")


class Upstream:
    """Connection to a member on which each statement succeeds at once."""

    service = "g"
    is_remote = is_lost = is_closed = False
    on_lost = None
    sent_at = 0.0

    def __init__(self, member, role):
        self.member = member
        self.role = role
        self.sent = []
        self.response_handlers = []

    def begin(self, read_only, after, settings, done):
        self.sent.append("BEGIN")
        done(IN_TRANSACTION)

    def execute(self, statement, prepared, after, settings, done):
        self.sent.append(statement.operation.value)
        done(IN_TRANSACTION)

    def roll_back(self, done):
        self.sent.append("ROLLBACK")
        done(statements.Answer())

    def close(self):
        self.is_closed = self.is_lost = True


class Process:
    """One process of an instance, with a relay and its members' connections."""

    def __init__(self, own, seed):
        self.upstreams = []
        self.requests = []
        self.logged = []
        context = types.SimpleNamespace(
            now=lambda: 100.0,
            random=random.Random(seed),
            members=types.SimpleNamespace(own=own),
            settings=types.SimpleNamespace(shares_members=False),
            log=types.SimpleNamespace(
                write=lambda event, **fields: self.logged.append(event)
            ),
            peers=types.SimpleNamespace(
                handlers={},
                request=self.request,
                send=lambda peer, message: self.requests.append(message),
                drop_connection=lambda name: None,
            ),
        )
        self.handlers = context.peers.handlers
        proxy = types.SimpleNamespace(
            pools={"p": types.SimpleNamespace(try_acquire=self.open_upstream)},
            groups={},
            placing=None,
            health=None,
            may_send=lambda *arguments: True,
            release=lambda connection: None,
        )
        self.relay = relay.Relay(context, proxy)
        self.relay.set_instances([OWNER, ENTRY, OTHER])

    def open_upstream(self, role, priority=0):
        self.upstreams.append(Upstream("p", role))
        return self.upstreams[-1]

    def request(self, peer, message, timeout_s, on_sent=None):
        on_sent()
        self.answer = defer.Deferred()
        self.requests.append(message)
        return self.answer

    def receive(self, request, connection):
        """Handle a request over a peer connection; returns its answer."""
        envelope = types.SimpleNamespace(
            sender=connection.peer_name, incarnation=1, connection=connection
        )
        return self.handlers[peer_messages.RelayRequest](request, envelope).result

    def begin(self, account, connection):
        """Open a transaction for another instance; returns its number."""
        request = make_request("begin", account, 0)
        return self.receive(request, connection).transaction


def connect(peer, is_inbound=True):
    """Return a connection that a peer has opened, or that was opened to it."""
    connection = peers.PeerProtocol(None, "" if is_inbound else peer.name)
    connection.peer_name = peer.name
    return connection


def make_request(step, account, number):
    return peer_messages.RelayRequest(
        step, "g", "p", account, number, budget_ms=900, operation="write"
    )


class OwnerTests(testtools.TestCase):
    """Which transaction a request of another instance continues."""

    def test_number_of_an_earlier_process_names_no_transaction_of_the_next(self):
        # An owner was killed under open transactions and started again.
        # Statements of one client account ran inside transactions of another one.
        stale = Process(OWNER, seed=1).begin("red", connect(ENTRY))
        owner = Process(OWNER, seed=2)
        entry = connect(ENTRY)
        owner.begin("blue", connect(OTHER))
        owner.begin("red", entry)
        for step in ("execute", "roll_back", "discard"):
            self.assertIsNone(owner.receive(make_request(step, "red", stale), entry))
        self.assertEqual([["BEGIN"], ["BEGIN"]], [u.sent for u in owner.upstreams])
        self.assertFalse(any(found.is_closed for found in owner.upstreams))

    def test_transaction_is_continued_by_its_own_connection_and_account_only(self):
        owner = Process(OWNER, seed=1)
        entry = connect(ENTRY)
        number = owner.begin("red", entry)
        for account, connection in (
            ("blue", entry),
            ("red", connect(OTHER)),
            ("red", connect(ENTRY)),
        ):
            for step in ("execute", "roll_back", "discard"):
                request = make_request(step, account, number)
                self.assertIsNone(owner.receive(request, connection))
        self.assertEqual([events.Event.TRANSACTION_MISMATCHED] * 9, owner.logged)
        self.assertEqual(["BEGIN"], owner.upstreams[0].sent)
        answer = owner.receive(make_request("execute", "red", number), entry)
        self.assertEqual((number, b"T"), (answer.transaction, answer.status))
        self.assertEqual(["BEGIN", "write"], owner.upstreams[0].sent)

    def test_end_of_an_earlier_connection_leaves_transactions_of_the_next(self):
        owner = Process(OWNER, seed=1)
        earlier, later = connect(ENTRY), connect(ENTRY)
        owner.begin("red", earlier)
        number = owner.begin("red", later)
        owner.relay._on_peer_lost(earlier)
        self.assertEqual([True, False], [u.is_closed for u in owner.upstreams])
        self.assertEqual([number], list(owner.relay.open_transactions))


class EntryTests(testtools.TestCase):
    """What an instance does about transactions at an owner that it has lost."""

    def setUp(self):
        super().setUp()
        self.entry = Process(ENTRY, seed=1)
        self.losses = []
        self.remote = relay.RemoteConnection(self.entry.relay, OWNER, "g", "p", "red")
        self.remote.on_lost = self.losses.append
        self.remote.begin(False, None, {}, lambda answer: None)
        self.entry.answer.callback(
            peer_messages.RelayAnswer(transaction=7, status=b"T")
        )

    def test_idle_transaction_is_lost_with_the_connection_to_its_owner(self):
        self.entry.relay._on_peer_lost(connect(OTHER, is_inbound=False))
        self.entry.relay._on_peer_lost(connect(OWNER))
        self.assertEqual([], self.losses)
        self.entry.relay._on_peer_lost(connect(OWNER, is_inbound=False))
        self.assertEqual([False], self.losses)
        self.assertTrue(self.remote.is_lost)
        sent = len(self.entry.requests)
        self.remote.close()
        self.assertEqual(sent, len(self.entry.requests))

    def test_ended_transaction_is_not_lost_with_the_connection(self):
        self.remote.roll_back(lambda answer: None)
        self.entry.answer.callback(peer_messages.RelayAnswer(status=b"I"))
        self.entry.relay._on_peer_lost(connect(OWNER, is_inbound=False))
        self.assertEqual([], self.losses)

    def test_transaction_whose_caller_has_left_is_not_kept(self):
        self.remote.execute(
            statements.Statement(b"1", statements.Operation.WRITE, b"k"),
            None,
            None,
            {},
            lambda answer: None,
        )
        self.remote.abandon(True)
        self.entry.answer.callback(
            peer_messages.RelayAnswer(transaction=7, status=b"T")
        )
        self.assertEqual("discard", self.entry.requests[-1].step)
        self.assertEqual(set(), self.entry.relay.remote_transactions[OWNER.name])
