"""Tests of transactions that an owner of connections holds for other instances."""

import random
import types

import attrs
import hypothesis
import testtools
from hypothesis import strategies as st
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
    is_sent = True
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
        self.released = []
        self.waiters = []
        self.requests = []
        self.logged = []
        self.now = 100.0
        context = types.SimpleNamespace(
            now=lambda: self.now,
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
                reject=lambda message, sender, reason: self.rejected.append(reason),
            ),
        )
        self.rejected = []
        self.handlers = context.peers.handlers
        proxy = types.SimpleNamespace(
            pools={
                "p": types.SimpleNamespace(
                    try_acquire=self.open_upstream, request=self.waiters.append
                )
            },
            groups={},
            placing=None,
            health=None,
            may_send=lambda *arguments: True,
            confirm_row=lambda service, name: None,
            suspect_row=lambda service, name: None,
            release=self.released.append,
            abandon=lambda connection, in_transaction: connection.close(),
            cold_starts=types.SimpleNamespace(
                paces={}, presume_restart=lambda service, member: None
            ),
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
        return self.start(request, envelope).result

    def start(self, request, envelope):
        """Handle a request; returns the Deferred of its answer."""
        return self.handlers[peer_messages.RelayRequest](request, envelope)

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


class Busy(Upstream):
    """Connection to a member on which statements wait to be answered."""

    def execute(self, statement, prepared, after, settings, done):
        self.sent.append(statement.operation.value)
        self.response_handlers.append(done)

    def answer(self, answer):
        self.response_handlers.pop(0)(answer)


class SilentMemberTests(testtools.TestCase):
    """Relayed statements on a connection that has gone silent for good."""

    def setUp(self):
        super().setUp()
        self.owner = Process(OWNER, seed=1)
        self.upstream = Busy("p", "red")
        self.owner.relay.proxy.pools["p"].try_acquire = lambda *_: self.upstream

    def execute(self, number):
        request = make_request("execute", "red", number)
        connection = connect(ENTRY)
        if number:
            connection = self.owner.relay.open_transactions[number].origin
        envelope = types.SimpleNamespace(
            sender=ENTRY.name, incarnation=1, connection=connection
        )
        return self.owner.start(request, envelope)

    def sweep(self, after_s):
        self.owner.now = 100.0 + after_s
        self.owner.relay.sweep(self.owner.now, transaction_idle_s=3.0)
        return self.upstream.is_closed

    def test_statement_without_an_answer_frees_its_connection(self):
        # An owner's connections stayed taken for good, and it opened no others.
        answer = self.execute(0)
        self.assertFalse(self.sweep(1.8))
        self.assertTrue(self.sweep(1.9))
        self.assertIsNone(answer.result)
        self.assertFalse(self.owner.relay.is_busy)
        self.assertEqual([events.Event.RELAYED_REQUEST_EXPIRED], self.owner.logged)

    def test_transaction_without_an_answer_frees_its_connection(self):
        number = self.owner.begin("red", connect(ENTRY))
        answer = self.execute(number)
        self.assertFalse(self.sweep(20.9))
        self.assertTrue(self.sweep(21.0))
        self.assertIsNone(answer.result)
        self.assertFalse(self.owner.relay.is_busy)

    def test_statement_that_was_not_sent_to_the_member_is_no_lost_one(self):
        # The member had refused a session setting in front of it.
        for is_sent in (True, False):
            answer = self.execute(0)
            self.upstream.is_sent = is_sent
            self.upstream.on_lost(True)
            refusal = answer.result.refusal if answer.result else None
            self.assertEqual(None if is_sent else "upstream_unreachable", refusal)
        number = self.owner.begin("red", connect(ENTRY))
        answer = self.execute(number)
        self.upstream.on_lost(True)
        self.assertIsNone(answer.result)

    def test_transaction_that_is_not_continued_frees_its_connection(self):
        self.owner.begin("red", connect(ENTRY))
        self.assertFalse(self.sweep(4.0))
        self.assertTrue(self.sweep(4.1))
        self.assertFalse(self.owner.relay.is_busy)

    def test_answer_in_time_leaves_the_connection_open(self):
        answer = self.execute(0)
        self.upstream.answer(statements.Answer())
        self.assertFalse(self.sweep(30.0))
        self.assertEqual(b"I", answer.result.status)

    def test_request_that_still_waits_for_a_connection_leaves_the_queue(self):
        self.owner.relay.proxy.pools["p"].try_acquire = lambda *_: None
        answer = self.execute(0)
        self.sweep(1.9)
        self.assertTrue(self.owner.waiters[0].abandoned)
        self.assertIsNone(answer.result)


class MalformedRequestTests(testtools.TestCase):
    """Requests of other instances that can't be carried out."""

    def setUp(self):
        super().setUp()
        self.owner = Process(OWNER, seed=1)
        self.entry = connect(ENTRY)

    def use_busy_upstream(self):
        """Let the transaction that is begun next have a busy connection."""
        upstream = Busy("p", "red")
        self.owner.relay.proxy.pools["p"].try_acquire = lambda *_: upstream
        return upstream

    def test_request_that_cannot_be_carried_out_takes_no_connection(self):
        write = make_request("execute", "red", 0)
        for change in (
            {"step": "explode"},
            {"step": ""},
            {"operation": "explode"},
            {"operation": ""},
            {"text": b"WRITE a 1\r\nWRITE b 2"},
            {"text": b"WRITE a\n"},
            {"value": b"\r\n"},
            {"request_id": b"1 READ a\r\n"},
            {"shape": b"\n", "is_prepared": True},
            {"settings": [peer_messages.Setting(b"a", b"1\r\nROLLBACK")]},
            {"settings": [peer_messages.Setting(b"\n", b"")]},
            {"account": "red\r\nQUERY"},
            {"account": "red p"},
            {"member": "p\n"},
        ):
            answer = self.owner.receive(attrs.evolve(write, **change), self.entry)
            self.assertEqual("upstream_unreachable", answer.refusal, change)
        self.assertEqual([], self.owner.upstreams)
        self.assertEqual(14, len(self.owner.rejected))
        self.assertFalse(self.owner.relay.is_busy)

    def test_discard_of_no_transaction_is_answered(self):
        request = make_request("discard", "red", 0)
        self.assertNotEqual("", self.owner.receive(request, self.entry).refusal)

    def test_repeated_request_does_not_free_the_connection_of_the_next_client(self):
        upstream = self.use_busy_upstream()
        number = self.owner.begin("red", self.entry)
        envelope = types.SimpleNamespace(
            sender="a2", incarnation=1, connection=self.entry
        )
        commit = attrs.evolve(
            make_request("execute", "red", number), operation="commit"
        )
        first = self.owner.start(commit, envelope)
        self.assertIsNone(self.owner.receive(commit, self.entry))
        upstream.answer(statements.Answer())
        self.assertEqual(b"I", first.result.status)
        self.assertEqual(["BEGIN", "commit"], upstream.sent)
        self.assertEqual([upstream], self.owner.released)

    def test_discard_ends_the_request_that_waits_for_an_answer(self):
        upstream = self.use_busy_upstream()
        number = self.owner.begin("red", self.entry)
        envelope = types.SimpleNamespace(
            sender="a2", incarnation=1, connection=self.entry
        )
        self.owner.start(make_request("execute", "red", number), envelope)
        self.owner.receive(make_request("discard", "red", number), self.entry)
        self.assertTrue(upstream.is_closed)
        self.assertFalse(self.owner.relay.is_busy)

    def test_error_in_a_request_closes_its_connection(self):
        upstream = self.use_busy_upstream()

        def fail(*arguments):
            raise RuntimeError

        upstream.execute = fail
        request = make_request("execute", "red", 0)
        self.assertIsNone(self.owner.receive(request, self.entry))
        self.assertTrue(upstream.is_closed)
        self.assertFalse(self.owner.relay.is_busy)
        self.assertEqual(1, len(self.owner.rejected))

    @hypothesis.settings(max_examples=400, deadline=None, derandomize=True)
    @hypothesis.given(
        st.lists(
            st.builds(
                peer_messages.RelayRequest,
                step=st.sampled_from(
                    ("execute", "begin", "roll_back", "discard", "", "later")
                ),
                service=st.sampled_from(("g", "h", "")),
                member=st.sampled_from(("p", "q", "", "a\n")),
                account=st.sampled_from(("red", "blue", "")),
                transaction=st.sampled_from((0, 1, 2, 2**64 - 1)),
                budget_ms=st.integers(0, 2**32 - 1),
                on_primary=st.booleans(),
                operation=st.sampled_from(("write", "commit", "read", "", "later")),
                text=st.binary(max_size=5),
                priority=st.integers(0, 255),
                is_cold=st.booleans(),
                useful_ms=st.integers(0, 2**32 - 1),
                call=st.integers(0, 3),
                paths=st.just([peer_messages.PathNews("a9", "p", True, 2**32 - 1)]),
            ),
            max_size=8,
        )
    )
    def test_any_requests_are_answered_and_leave_the_transactions_of_others(
        self, requests
    ):
        owner = Process(OWNER, seed=1)
        other, entry = connect(OTHER), connect(ENTRY)
        number = owner.begin("blue", other)
        base = next(owner.relay.transaction_numbers)
        for request in requests:
            if 0 < request.transaction < 3:
                transaction = base - request.transaction
                request = attrs.evolve(request, transaction=transaction)
            envelope = types.SimpleNamespace(
                sender="a2", incarnation=1, connection=entry
            )
            done = owner.start(request, envelope)
            self.assertTrue(done.called or owner.waiters)
        self.assertEqual(["BEGIN"], owner.upstreams[0].sent)
        self.assertIn(number, owner.relay.open_transactions)
        answer = owner.receive(make_request("execute", "blue", number), other)
        self.assertEqual(number, answer.transaction)


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


class MalformedAnswerTests(testtools.TestCase):
    """Answers of an owner that name something unknown, or contradict themselves."""

    def ask(self, answer):
        """Return what a statement gets of an answer: answers, losses, refusals."""
        entry = Process(ENTRY, seed=1)
        remote = relay.RemoteConnection(entry.relay, OWNER, "g", "p", "red")
        answers, losses, refusals = [], [], []
        remote.on_lost = losses.append
        remote.on_refused = refusals.append
        statement = statements.Statement(b"1", statements.Operation.READ, b"READ k")
        remote.execute(statement, None, None, {}, answers.append)
        entry.answer.callback(answer)
        return answers, losses, refusals

    def test_unknown_refusal_says_that_nothing_was_sent(self):
        answer = peer_messages.RelayAnswer(refusal="later", retry_after_ms=2**32 - 1)
        answers, losses, refusals = self.ask(answer)
        self.assertEqual(([], []), (answers, losses))
        self.assertEqual("upstream_unreachable", refusals[0].kind.value)

    def test_unknown_error_is_an_error(self):
        answer = peer_messages.RelayAnswer(error="later", status=b"I")
        answers, _, _ = self.ask(answer)
        self.assertIs(statements.UpstreamError.OTHER, answers[0].error)

    def test_answer_that_contradicts_itself_is_a_loss(self):
        for answer in (
            peer_messages.RelayAnswer(status=b"T"),
            peer_messages.RelayAnswer(status=b"I", transaction=5),
            peer_messages.RelayAnswer(status=b""),
            peer_messages.Empty(),
            peer_messages.AdmitAnswer("later"),
        ):
            self.assertEqual(([], [True], []), self.ask(answer), answer)

    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    @hypothesis.given(
        st.builds(
            peer_messages.RelayAnswer,
            refusal=st.sampled_from(("", "later", "upstream_unreachable", "\0")),
            retry_after_ms=st.integers(0, 2**32 - 1),
            transaction=st.integers(0, 2**64 - 1) | st.just(0),
            rows=st.lists(st.binary(max_size=4), max_size=3),
            error=st.sampled_from(("", "later", "busy", "failed")),
            status=st.sampled_from((b"I", b"T", b"E", b"", b"xx")),
            term=st.integers(0, 2**64 - 1),
            index=st.integers(0, 2**64 - 1),
            has_position=st.booleans(),
            path_failed=st.booleans(),
        )
    )
    def test_any_answer_ends_the_wait(self, answer):
        self.assertEqual(1, sum(map(len, self.ask(answer))))
