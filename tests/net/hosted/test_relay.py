"""Tests of the choice of peers by the relay."""

import collections
import random
import types

import attrs
import testtools
from twisted.internet import defer

from pomelograde.core import (
    configuration,
    membership,
    placement,
    pooling,
    retries,
    statements,
)
from pomelograde.net import metrics, peer_messages, peers, pools
from pomelograde.net.hosted import admissions, cold_starts, paths, relay

INSTANCES = [
    membership.Instance(name, place, 5, "127.0.0.1", 2, region=place[0])
    for name, place in (
        ("a1", "a-x"),
        ("a2", "a-x"),
        ("b1", "b-x"),
        ("b2", "b-x"),
        ("b3", "b-y"),
    )
]
PRIMARY = placement.Member("p", "a-x", role=placement.Role.PRIMARY)


class Connection:
    """Connection to the primary."""

    service = "g"
    member = "p"
    is_lost = False


class Pool:
    """Pool with open connections."""

    def __init__(self, connections):
        self.open = connections
        self.core = types.SimpleNamespace(gate=None)

    def set_gate(self, gate):
        self.core.gate = gate


class RelayTests(testtools.TestCase):
    def make(self, own):
        context = types.SimpleNamespace(
            now=lambda: 100.0,
            random=random.Random(1),
            members=types.SimpleNamespace(own=own),
            peers=types.SimpleNamespace(handlers={}),
            log=types.SimpleNamespace(write=lambda event, **_: None),
        )
        self.requests = []

        def request(instance, message, timeout_s, on_sent=None):
            self.requests.append((instance.name, defer.Deferred()))
            return self.requests[-1][1]

        context.peers.request = request
        context.peers.drop_connection = self.drop_connection
        found = relay.Relay(context, None)
        found.set_instances(INSTANCES)
        return found

    def drop_connection(self, name):
        """Fail the outstanding requests of a connection that is replaced."""
        for other, answer in self.requests:
            if other == name and not answer.called:
                answer.errback(peers.PeerUnreachableError(name))

    def test_silent_holder_does_not_make_the_next_holder_suspected(self):
        found = self.make(INSTANCES[4])
        done = defer.Deferred()
        request = peer_messages.AdmitRequest("account", 1000, 100, 1)
        admissions.AdmissionCall(found, INSTANCES[:3], request, done).start()
        found._suspect("a1", "no answer")
        self.assertEqual(["a1", "a2"], [name for name, _ in self.requests])
        self.assertEqual({"a1"}, set(found.suspected_until))
        self.requests[1][1].callback(peer_messages.AdmitAnswer())
        self.assertTrue(done.called)
        self.assertEqual(set(), found.outstanding["a2"])

    def test_request_that_waits_for_a_connection_is_not_sent_after_it_has_failed(self):
        # The caller's statement goes elsewhere, and would run twice.
        found = self.make(INSTANCES[4])
        remote = relay.RemoteConnection(found, INSTANCES[0], "g", "p", "account")
        refused = []
        remote.on_refused = refused.append
        statement = statements.Statement(b"q1", statements.Operation.WRITE, b"WRITE k")
        remote.execute(statement, None, None, {}, lambda answer: None)
        ((_, waiting),) = self.requests
        found.fail_calls("a1")
        self.assertEqual(1, len(refused))
        self.assertTrue(waiting.called)

    def test_request_that_was_sent_is_not_withdrawn(self):
        found = self.make(INSTANCES[4])
        remote = relay.RemoteConnection(found, INSTANCES[0], "g", "p", "account")
        remote.on_lost = lambda outstanding: None
        remote.begin(True, None, {}, lambda answer: None)
        remote.is_sent = True
        ((_, waiting),) = self.requests
        found.fail_calls("a1")
        self.assertFalse(waiting.called)

    def ask_holders(self, *answers):
        """Return the holders asked, the waits allowed, and the result."""
        found = self.make(INSTANCES[4])
        waits_ms = []
        send = found.send

        def record(call, request):
            waits_ms.append(request.wait_ms)
            send(call, request)

        found.send = record
        done = defer.Deferred()
        results = []
        done.addCallback(results.append)
        request = peer_messages.AdmitRequest("account", 1000, 100, 1)
        admissions.AdmissionCall(found, INSTANCES[:3], request, done).start()
        for number, answer in enumerate(answers):
            self.requests[number][1].callback(answer)
        return [name for name, _ in self.requests], waits_ms, results

    def test_second_holder_is_asked_after_a_refusal(self):
        kind = retries.ErrorKind.RATE_EXCEEDED
        refusal = peer_messages.AdmitAnswer(kind.value, 700)
        found = self.ask_holders(refusal, peer_messages.AdmitAnswer())
        self.assertEqual((["a1", "a2"], [50, 100], [None]), found)

    def test_shorter_wait_of_two_refusals_is_told(self):
        kind = retries.ErrorKind.RATE_EXCEEDED
        names, _, (failure,) = self.ask_holders(
            peer_messages.AdmitAnswer(kind.value, 300),
            peer_messages.AdmitAnswer(kind.value, 700),
        )
        self.assertEqual(["a1", "a2"], names)
        self.assertEqual((kind, 0.3), (failure.kind, failure.retry_after_s))

    def test_statement_with_regions_is_relayed_within_them_or_not_at_all(self):
        for own in INSTANCES:
            found = self.make(own)
            for silent in ((), ("a1",), ("a1", "a2")):
                found.suspected_until = dict.fromkeys(silent, 200.0)
                for account in map(str, range(20)):
                    remote = found.connect(PRIMARY, "g", account, frozenset("a"))
                    region = own.region if remote is None else remote.peer.region
                    self.assertIn(region, {own.region, "a"})

    def test_owner_outside_of_the_regions_is_passed_over(self):
        found = self.make(INSTANCES[4])
        found.find_candidates = lambda member: {"a1": INSTANCES[0]}
        self.assertIsNone(found.connect(PRIMARY, "g", "x", frozenset("c")))
        self.assertIsNone(found.connect(PRIMARY, "g", "x", frozenset()))
        self.assertEqual("a1", found.connect(PRIMARY, "g", "x").peer.name)

    def make_cold(self, own, registered=INSTANCES):
        found = self.make(own)
        proxy = types.SimpleNamespace(relay=found)
        found.proxy = proxy
        proxy.cold_starts = cold_starts.ColdStarts(found.context, proxy)
        found.set_instances(registered)
        return found

    def test_cold_member_has_one_owner_for_all_accounts_and_instances(self):
        cold = attrs.evolve(PRIMARY, cold_until=200.0)
        owners = set()
        for own in INSTANCES:
            found = self.make_cold(own)
            for account in ("", "x", "y", "z"):
                owners.add(found.find_owner(cold, account).name)
        self.assertEqual(1, len(owners))
        self.assertIn(owners.pop(), ("a1", "a2"))

    def test_cold_member_of_a_suspected_owner_is_used_by_nobody_else(self):
        cold = attrs.evolve(PRIMARY, cold_until=200.0)
        found = self.make_cold(INSTANCES[4])
        remote = found.connect(cold, "g", "x")
        self.assertTrue(remote.is_cold)
        owner = remote.peer.name
        found.suspected_until[owner] = 150.0
        self.assertEqual(owner, found.find_owner(cold, "x").name)
        self.assertIsNone(found.connect(cold, "g", "x"))

    def test_restart_is_presumed_once_the_last_connection_has_ended(self):
        found = self.make_cold(INSTANCES[0])
        group = placement.Group("g")
        group.cold_start_s = 5.0
        group.update([attrs.evolve(PRIMARY)], 99.0)
        found.proxy.groups = {"g": group}
        found.proxy.freshness = types.SimpleNamespace(members_at=99.0)
        service = configuration.DatabaseService("g", 5, 0, 5.0, 20.0)
        found.proxy.configuration = configuration.FleetConfiguration(
            services={"g": service}
        )
        found.context.settings = types.SimpleNamespace(cold_excess=1.5, cold_slack=5.0)
        first, last = (Connection(), Connection())
        found.proxy.pools = {"p": Pool({first, last})}
        found.proxy.cold_starts.on_cut(first)
        self.assertEqual({}, found.proxy.cold_starts.paces)
        first.is_lost = True
        found.proxy.cold_starts.on_cut(last)
        self.assertEqual({"p"}, set(found.proxy.cold_starts.paces))
        self.assertTrue(group.members["p"].cold_until > 100.0)

    def test_body_stays_here_if_the_sender_to_a_cold_member_is_elsewhere(self):
        cold = attrs.evolve(PRIMARY, cold_until=200.0, data_centre="c-x", region="c")
        for own in INSTANCES:
            found = self.make_cold(own)
            remote = found.connect(cold, "g", "x", frozenset("c"))
            region = own.region if remote is None else remote.peer.region
            self.assertEqual(own.region, region)

    def test_stopping_instance_owns_no_connections_until_it_has_restarted(self):
        found = self.make(INSTANCES[2])
        owner = found.find_owner(PRIMARY, "account")
        envelope = types.SimpleNamespace(sender=owner.name, incarnation=5)
        handlers = found.context.peers.handlers
        handlers[peer_messages.Leaving](peer_messages.Leaving(), envelope)
        self.assertNotEqual(owner, found.find_owner(PRIMARY, "account"))
        found.set_instances(
            [
                membership.Instance(
                    known.name, known.data_centre, 6, "127.0.0.1", 2, region="a"
                )
                for known in INSTANCES
            ]
        )
        self.assertEqual(owner.name, found.find_owner(PRIMARY, "account").name)

    def test_owner_moves_while_it_is_suspected_and_comes_back(self):
        found = self.make(INSTANCES[0])
        accounts = [f"account-{number}" for number in range(40)]
        before = [found.find_owner(PRIMARY, account).name for account in accounts]
        self.assertEqual({"a1", "a2"}, set(before))
        found._suspect("a2", "no answer")
        during = {found.find_owner(PRIMARY, account).name for account in accounts}
        self.assertEqual({"a1"}, during)
        found.suspected_until.clear()
        after = [found.find_owner(PRIMARY, account).name for account in accounts]
        self.assertEqual(before, after)

    def test_ranks_of_a_members_owners_are_distinct(self):
        ranks = [self.make(own).rank_owner(PRIMARY) for own in INSTANCES[:2]]
        self.assertEqual([(2, 0), (2, 1)], ranks)
        self.assertEqual((5, 4), self.make(INSTANCES[4]).rank_owner(PRIMARY))

    def test_instances_that_become_known_in_a_stop_are_told_of_it(self):
        found = self.make(INSTANCES[0])
        told = []
        found.context.peers.send = lambda peer, message: told.append(peer.name)
        found.set_instances(INSTANCES[:2])
        found.begin_stop()
        self.assertEqual(["a2"], told)
        found.set_instances(INSTANCES[:4])
        self.assertEqual(["a2", "b1", "b2"], told)
        found.set_instances(INSTANCES[:4])
        self.assertEqual(["a2", "b1", "b2"], told)


class Clock:
    """Time that a test sets."""

    def __init__(self):
        self.now = 100.0


class Peers:
    """Requests of an instance; each is answered by the test."""

    def __init__(self):
        self.handlers = {}
        self.requests = []
        self.dropped = []

    def request(self, instance, message, timeout_s, on_sent=None):
        done = defer.Deferred()
        self.requests.append((instance.name, message, done))
        if on_sent is not None and instance.name not in self.dropped:
            on_sent()
        return done

    def drop_connection(self, name):
        self.dropped.append(name)
        for other, _, done in self.requests:
            if other == name and not done.called:
                done.errback(peers.PeerUnreachableError(name))

    def find(self, kind):
        """Return the unanswered requests of a type, as name and Deferred."""
        return [
            (name, done)
            for name, message, done in self.requests
            if isinstance(message, kind) and not done.called
        ]

    def answer_pings(self, silent=""):
        for name, done in self.find(peer_messages.Ping):
            if name != silent:
                done.callback(peer_messages.Empty())


class PathTestCase(testtools.TestCase):
    """A relay with fake peers, and statements that it sends."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.peers = Peers()
        self.events = []
        self.context = types.SimpleNamespace(
            now=lambda: self.clock.now,
            random=random.Random(1),
            members=types.SimpleNamespace(own=INSTANCES[2]),
            peers=self.peers,
            metrics=metrics.Metrics(),
            log=types.SimpleNamespace(
                write=lambda event, **fields: self.events.append((event.name, fields))
            ),
        )
        self.proxy = types.SimpleNamespace(
            pools={},
            sessions=set(),
            placing=None,
            health=None,
            may_send=lambda *arguments: True,
            confirm_row=lambda service, name: None,
            suspect_row=lambda service, name: self.suspected.append(name),
        )
        self.suspected = []
        self.relay = self.proxy.relay = relay.Relay(self.context, self.proxy)
        self.relay.paths = self.paths = paths.Paths(self.context, self.proxy)
        self.relay.set_instances(INSTANCES)
        self.refusals = []
        self.losses = []
        self.answers = []

    def start(self, member=PRIMARY, on_primary=True, value=b"v"):
        """Send a statement by its owner; returns the RemoteConnection."""
        connection = self.relay.connect(member, "g", "account")
        connection.budget_s = 1.0
        connection.on_primary = on_primary
        connection.on_refused = self.refusals.append
        connection.on_lost = self.losses.append
        statement = statements.Statement(
            b"1", statements.Operation.WRITE, b"k", value=value
        )
        connection.execute(statement, None, None, {}, self.answers.append)
        return connection

    def pass_time(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.clock.now += 0.05
            self.paths.tick()


class PathTests(PathTestCase):
    """How the relay carries what is known about instances and members."""

    def test_statement_to_a_silent_owner_goes_elsewhere_after_a_ping(self):
        connection = self.start()
        self.peers.answer_pings()
        for _ in range(10):
            self.pass_time(0.05)
            self.peers.answer_pings(silent=connection.peer.name)
        self.assertEqual([True], self.losses)
        self.assertTrue(connection.is_sent and connection.is_path_lost)
        (fields,) = [found for name, found in self.events if name == "KEEPER_SUSPECTED"]
        self.assertEqual(
            {"keeper": connection.peer.name, "reason": "no answer", "hint": ""}, fields
        )
        other = self.start()
        self.assertNotEqual(connection.peer.name, other.peer.name)

    def test_no_statement_is_sent_until_a_ping_is_answered(self):
        name = self.start().peer.name
        self.peers.drop_connection(name)
        self.peers.dropped.clear()
        self.pass_time(0.3)
        self.assertNotEqual(name, self.start().peer.name)
        pings = self.peers.find(peer_messages.Ping)
        self.assertIn(name, [found for found, _ in pings])
        self.peers.answer_pings()
        self.assertEqual(name, self.start().peer.name)
        self.assertIn("KEEPER_ANSWERS", [event for event, _ in self.events])

    def test_statement_under_way_is_not_lost_while_pings_are_answered(self):
        self.start()
        for _ in range(40):
            self.pass_time(0.05)
            self.peers.answer_pings()
        self.assertEqual([], self.losses)

    def test_hint_of_another_instance_costs_one_ping_and_gives_nobody_up(self):
        connection = self.start()
        self.peers.answer_pings()
        self.clock.now += 2.0
        news = [peer_messages.PathNews(connection.peer.name, "", True, 0, "b1")]
        self.paths.receive_news(news * 3)
        (found,) = self.peers.find(peer_messages.Ping)
        self.assertEqual(connection.peer.name, found[0])
        self.assertNotEqual(connection.peer.name, self.start().peer.name)
        self.peers.answer_pings()
        self.assertEqual(connection.peer.name, self.start().peer.name)
        self.assertEqual([], self.losses)

    def test_owner_without_a_path_to_the_member_is_passed_over(self):
        connection = self.start()
        _, done = self.peers.find(peer_messages.RelayRequest)[0]
        kind = retries.ErrorKind.UPSTREAM_UNREACHABLE
        done.callback(
            peer_messages.RelayAnswer(
                refusal=kind.value, retry_after_ms=100, path_failed=True
            )
        )
        (failure,) = self.refusals
        self.assertEqual((kind, True), (failure.kind, failure.path_failed))
        self.assertEqual([connection.member], self.suspected)
        other = self.start()
        self.assertNotEqual(connection.peer.name, other.peer.name)
        self.clock.now += 0.1
        news = peer_messages.PathNews(connection.peer.name, "p", False, 0, "a1")
        self.paths.receive_news([news])
        self.assertEqual(connection.peer.name, self.start().peer.name)

    def test_owner_that_takes_a_read_back_is_no_refusal(self):
        self.start()
        _, done = self.peers.find(peer_messages.RelayRequest)[0]
        done.callback(peer_messages.RelayAnswer(path_failed=True))
        self.assertEqual(([], [True], []), (self.refusals, self.losses, self.answers))

    def test_own_member_is_used_through_instances_elsewhere_while_it_is_cut_off(self):
        member = placement.Member("q", "b-x")
        own_account = next(
            account
            for account in map(str, range(99))
            if self.relay.find_owner(member, account).name == "b1"
        )
        self.paths.set_members({"q": types.SimpleNamespace(spec=member)})
        pool = types.SimpleNamespace(spec=member, open=(), close=None)
        self.paths.on_member_unreachable(pool)
        self.assertEqual("b2", self.relay.find_owner(member, own_account).name)
        self.paths.marks.mark("b2", "q", self.clock.now)
        elsewhere = self.relay.find_owner(member, own_account).name
        self.assertIn(elsewhere, ("a1", "a2", "b3"))
        for name in ("a1", "a2", "b3"):
            self.paths.marks.mark(name, "q", self.clock.now)
        self.assertIsNone(self.relay.connect(member, "g", own_account))
        failure = self.relay.check_path("q")
        self.assertTrue(failure.path_failed and failure.retry_after_s > 0.0)

    def test_findings_are_passed_on_with_their_age(self):
        connection = self.start()
        self.peers.drop_connection(connection.peer.name)
        self.clock.now += 0.2
        answer = self.paths.add_news(peer_messages.RelayAnswer())
        (news,) = answer.paths
        expected = (connection.peer.name, "", True, "b1")
        self.assertEqual(
            expected, (news.instance, news.member, news.is_lost, news.origin)
        )
        self.assertTrue(199 <= news.age_ms <= 201)
        envelope = peer_messages.Envelope("b1", 5, 1, True, answer)
        decoded = peer_messages.decode(peer_messages.encode(envelope))
        self.assertEqual(answer, decoded.message)
        self.start(placement.Member("r", "b-y"))
        (message,) = [
            found
            for _, found, done in self.peers.requests
            if isinstance(found, peer_messages.RelayRequest) and not done.called
        ]
        self.assertEqual(answer.paths, message.paths)
        self.pass_time(3.0)
        self.assertEqual([], self.paths.add_news(peer_messages.RelayAnswer()).paths)


class SilentConnection:
    """SilentConnection to a member that answers nothing by itself."""

    is_remote = is_lost = is_counted = False
    on_lost = on_closed = None

    def __init__(self, now):
        self.member = "q"
        self.service = "g"
        self.role = "account"
        self.response_handlers = collections.deque()
        self.sent_at = self.released_at = now

    def execute(self, statement, prepared, after, settings, done):
        self.response_handlers.append(done)

    def close(self):
        if not self.is_lost:
            self.is_lost = True
            if self.on_closed is not None:
                self.on_closed(self)


class MemberPathTests(PathTestCase):
    """An owner that is cut off from a member."""

    def setUp(self):
        super().setUp()
        self.openings = []
        self.opened_names = []
        self.member = placement.Member("q", "b-x")
        self.pool = self.make_pool(self.member)
        self.proxy.groups = {}
        self.proxy.configuration = types.SimpleNamespace(accounts={"account": None})
        self.proxy.release = self.pool.release
        self.paths.set_members(self.proxy.pools)

    def make_pool(self, member):
        pool = pools.MemberPool(self.context, member, self.open, 3)
        pool.service = "g"
        pool.on_unreachable = self.relay.on_member_unreachable
        self.proxy.pools[member.name] = pool
        return pool

    async def open(self, spec, role):
        self.paths.in_use.add(spec.name)
        self.opened_names.append(spec.name)
        self.openings.append(defer.Deferred())
        return await self.openings[-1]

    def wait(self):
        """Wait for a connection; returns the list of what the waiter is told."""
        told = []
        waiter = types.SimpleNamespace(
            on_connection=told.append, on_refused=told.append
        )
        self.pool.request(pooling.Waiter("account", "account", 200.0, waiter))
        return told

    def relay_statement(self, operation):
        request = peer_messages.RelayRequest(
            "execute", "g", "q", "account", budget_ms=900, operation=operation
        )
        envelope = types.SimpleNamespace(sender="a1", incarnation=5, connection=None)
        answers = []
        self.relay._on_request(request, envelope).addCallback(answers.append)
        return answers

    def test_all_waiters_are_refused_once_the_member_does_not_answer(self):
        told = [self.wait(), self.wait()]
        relayed = self.relay_statement("read")
        self.pass_time(0.6)
        for (failure,) in told:
            self.assertTrue(failure.path_failed)
        (answer,) = relayed
        self.assertEqual(
            ("upstream_unreachable", True), (answer.refusal, answer.path_failed)
        )
        (late,) = self.relay_statement("read")
        self.assertTrue(late.path_failed and late.retry_after_ms > 0)
        self.assertIn(("b1", "q", True), self.list_findings(late))

    def list_findings(self, answer):
        return [(news.instance, news.member, news.is_lost) for news in answer.paths]

    def test_member_is_used_again_after_it_has_accepted_a_connection(self):
        self.wait()
        self.pass_time(1.0)
        self.assertIsNotNone(self.relay.check_path("q"))
        self.openings[-1].callback(SilentConnection(self.clock.now))
        self.assertIsNone(self.relay.check_path("q"))
        answer = self.paths.add_news(peer_messages.RelayAnswer())
        self.assertIn(("b1", "q", False), self.list_findings(answer))
        names = [name for name, _ in self.events]
        self.assertIn("MEMBER_CUT_OFF", names)
        self.assertIn("MEMBER_REACHED", names)

    def test_read_under_way_is_given_back_and_a_write_is_not(self):
        read = self.relay_statement("read")
        self.openings[-1].callback(SilentConnection(self.clock.now))
        write = self.relay_statement("write")
        self.openings[-1].callback(SilentConnection(self.clock.now))
        self.pass_time(0.8)
        (answer,) = read
        self.assertEqual(("", True), (answer.refusal, answer.path_failed))
        self.assertEqual([], write)

    def test_slow_statement_at_a_member_that_answers_is_not_given_back(self):
        read = self.relay_statement("read")
        self.openings[-1].callback(SilentConnection(self.clock.now))
        for _ in range(60):
            self.pass_time(0.05)
            if not self.openings[-1].called:
                self.openings[-1].callback(SilentConnection(self.clock.now))
        self.assertEqual([], read)
        self.assertIsNone(self.relay.check_path("q"))

    def test_evacuated_member_is_not_pinged_because_another_is_silent(self):
        self.make_pool(placement.Member("r", "b-x"))
        self.paths.set_members(self.proxy.pools)
        closed = {"r"}
        self.proxy.may_send = lambda service, name, transaction: name not in closed
        self.wait()
        self.pass_time(1.0)
        self.assertIsNotNone(self.relay.check_path("q"))
        self.assertEqual({"q"}, set(self.opened_names))
        self.assertIsNone(self.relay.check_path("r"))
        closed.clear()
        self.openings[-1].callback(SilentConnection(self.clock.now))
        self.wait()
        self.pass_time(1.0)
        self.assertIn("r", self.opened_names)

    def test_silent_member_is_not_pinged_any_more_once_it_is_evacuated(self):
        self.wait()
        self.pass_time(1.0)
        pings = len(self.opened_names)
        self.proxy.may_send = lambda service, name, transaction: False
        self.pass_time(5.0)
        self.assertEqual(pings, len(self.opened_names))

    def test_failed_connect_beside_answers_is_only_a_reason_to_ping(self):
        self.wait()
        connection = SilentConnection(self.clock.now)
        self.openings[-1].callback(connection)
        self.wait()
        self.openings[-1].errback(pools.UpstreamOpenError("no answer"))
        self.assertIsNone(self.relay.check_path("q"))


class UnsentTests(PathTestCase):
    """A statement for which no connection to its owner could be opened."""

    def setUp(self):
        super().setUp()
        self.relay.paths = None

    def test_statement_that_was_never_sent_is_no_lost_one(self):
        """A refused connection to the owner leaves no unknown outcome."""
        self.peers.dropped.append(self.relay.find_owner(PRIMARY, "account").name)
        connection = self.start()
        self.peers.drop_connection(connection.peer.name)
        self.assertEqual([], self.losses)
        (failure,) = self.refusals
        self.assertTrue(failure.path_failed)
        self.assertNotEqual(connection.peer.name, self.start().peer.name)

    def test_statement_that_was_sent_is_a_lost_one(self):
        connection = self.start()
        self.peers.drop_connection(connection.peer.name)
        self.assertEqual(([True], []), (self.losses, self.refusals))
