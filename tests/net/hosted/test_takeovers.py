"""Tests of the takeover task."""

import types

import attrs
import testtools
from twisted.internet import defer, task

from pomelograde.core import (
    configuration,
    membership,
    placement,
    sessions,
    takeovers,
)
from pomelograde.net import peer_messages, pools
from pomelograde.net.hosted import contradictions
from pomelograde.net.hosted import takeovers as hosted_takeovers


def make_primary():
    return placement.Member("p", "x", role=placement.Role.PRIMARY, leaving=True)


def make_instance(name):
    return membership.Instance(name, "x", 1, "127.0.0.1", 2)


async def record_choice(takeover):
    """Record a choice as the store does."""
    return attrs.evolve(takeover, row_version=takeover.row_version + 1)


class Source:
    class StoreUnavailableError(Exception):
        pass

    era_since = float("-inf")

    def __init__(self):
        self.begun = []

    def fetch_instances(self):
        return defer.succeed(([], []))

    def begin_takeover(self, known, holder):
        self.begun.append((known.service, holder, known.row_version))
        return defer.Deferred()


class TakeoverTaskTests(testtools.TestCase):
    """A fleet of the reader, another instance, and a primary that is leaving."""

    def setUp(self):
        super().setUp()
        clock = task.Clock()
        clock.advance(100.0)
        own = make_instance("reader")
        context = types.SimpleNamespace(
            reactor=clock,
            now=clock.seconds,
            peers=types.SimpleNamespace(handlers={}),
            log=types.SimpleNamespace(write=lambda event, **_: None),
            members=types.SimpleNamespace(own=own),
            settings=types.SimpleNamespace(host="127.0.0.1"),
        )
        group = placement.Group("g")
        group.update([make_primary()], 100.0)
        self.source = Source()
        self.fleet = types.SimpleNamespace(
            takeovers={}, registered=[own, make_instance("other")]
        )
        sync = types.SimpleNamespace(
            fleet=self.fleet,
            source=self.source,
            freshness=configuration.Freshness(5.0, 99.9, 99.9),
            is_reader=lambda now: True,
            is_registered=True,
            store_available_since=0.0,
        )
        proxy = types.SimpleNamespace(
            groups={"g": group},
            is_stopping=False,
            set_takeover=lambda takeover: None,
            uses_primary=lambda service: False,
            fence_primary=lambda service: None,
            configuration=configuration.FleetConfiguration(),
            contradictions=contradictions.Contradictions(context, None, lambda: None),
            open_connection=self.open_connection,
        )
        self.open_error = pools.UpstreamOpenError("no answer")
        promoter = types.SimpleNamespace(UnavailableError=ValueError)
        self.group = group
        self.task = hosted_takeovers.TakeoverTask(context, sync, proxy, promoter)

    def open_connection(self, *arguments):
        return defer.fail(self.open_error)

    def learn(self, takeover):
        self.fleet.takeovers[takeover.service] = takeover
        self.task.set_takeovers(self.fleet.takeovers)

    def test_leaving_primary_starts_a_takeover(self):
        self.task._check()
        self.assertEqual([("g", "reader/1", 0)], self.source.begun)

    def test_row_of_a_leaving_primary_with_another_id_starts_no_takeover(self):
        self.open_error = pools.UpstreamOpenError("misdirected", is_misdirected=True)
        self.task._check()
        self.assertEqual([], self.source.begun)
        self.assertEqual(
            [self.group.primary], list(self.task.proxy.contradictions.found)
        )

    def test_leaving_primary_that_has_answered_is_not_asked_again(self):
        self.open_error = pools.UpstreamOpenError("misdirected", is_misdirected=True)
        primary = self.group.members[self.group.primary]
        primary.position = sessions.Position(1, 1)
        self.task._check()
        self.assertEqual([("g", "reader/1", 0)], self.source.begun)

    def test_fault_of_one_service_does_not_end_the_check_of_the_others(self):
        other = placement.Group("a")
        other.update([make_primary()], 100.0)
        other.is_closed = lambda name, now: 1 / 0
        self.task.proxy.groups = {"a": other, **self.task.proxy.groups}
        self.task._check()
        self.assertEqual([("g", "reader/1", 0)], self.source.begun)

    def test_takeover_that_another_instance_runs_is_not_restarted(self):
        self.learn(takeovers.Takeover("g", "other/1", "", 7, 7))
        self.task._check()
        self.assertEqual([], self.source.begun)

    def test_takeover_without_a_promotion_leaves_the_primary_before_it(self):
        members = [make_primary(), placement.Member("r", "y")]
        self.group.update(members, 100.0)
        held = []
        ended = []

        async def begin(known, holder):
            return attrs.evolve(known, holder=holder, fence=9, row_version=9)

        async def release(takeover, planned, begun_at):
            held.append(self.group.primary)

        async def promote(group, takeover, old_primary, reason, begun_at):
            return takeover, False

        async def record_end(takeover):
            ended.append(takeover.successor)

        def set_takeover(takeover):
            blocks = takeover.blocks_primary
            self.group.set_takeover(blocks, takeover.successor, 100.0)

        self.source.begin_takeover = begin
        self.task.sync.apply_takeover = self.learn
        self.task.proxy.set_takeover = set_takeover
        self.task._release_old_primary = release
        self.task._promote = promote
        self.task._record_end = record_end
        self.learn(takeovers.Takeover("g", "", "r", 7, 8))
        self.assertEqual("r", self.group.primary)
        reason = takeovers.Reason.EVACUATED
        defer.ensureDeferred(self.task._take_over(self.group, reason))
        self.assertEqual((["r"], ["r"]), (held, ended))

    def test_chosen_member_is_not_the_primary_to_replace(self):
        # It leads, but the end of the takeover that promoted it is not recorded.
        leader = placement.Member("r", "y", role=placement.Role.PRIMARY)
        self.group.update([leader], 100.0)
        begun = takeovers.Takeover("g", "reader/1", "", 7, 7, candidate="r")
        told = attrs.evolve(begun, candidate="")  # by an instance of an earlier build
        self.fleet.takeovers["g"] = told
        started = []

        async def fetch_takeovers():
            return [], {"g": begun}

        async def begin_takeover(known, holder):
            started.append(known)
            return attrs.evolve(known, holder=holder)

        async def release(takeover, planned, begun_at):
            pass

        async def promote(group, takeover, old_primary, reason, begun_at):
            started.append(old_primary)
            return takeover, False

        async def record_end(takeover):
            pass

        self.task._fetch_takeovers = fetch_takeovers
        self.source.begin_takeover = begin_takeover
        self.task.sync.apply_takeover = lambda takeover: None
        self.task._release_old_primary = release
        self.task._promote = promote
        self.task._record_end = record_end
        running = self.task._take_over(self.group, takeovers.Reason.ABSENT)
        defer.ensureDeferred(running)
        self.assertEqual([begun, None], started)

    def test_takeover_is_not_repeated_before_its_successor_can_be_registered(self):
        # Takeovers followed one another every 0.1 s until the row was read.
        self.group.update([placement.Member("r", "y")], 100.0)
        self.task.absent_since["g"] = 99.0
        taken = []

        async def take_over(group, reason):
            taken.append(reason)
            return "promoted"

        self.task._take_over = take_over
        self.task._check()
        counts = []
        for _ in range(8):
            self.task.context.reactor.advance(0.1)
            now = self.task.context.now()
            self.task.sync.freshness = configuration.Freshness(5.0, now, now)
            self.task._check()
            counts.append(len(taken))
        self.assertEqual(([1, 1, 1, 1], 2), (counts[:4], counts[-1]))

    def test_takeover_of_an_earlier_process_is_restarted(self):
        self.learn(takeovers.Takeover("g", "other/0", "", 7, 7))
        self.task._check()
        self.assertEqual([("g", "reader/1", 7)], self.source.begun)

    def test_unregistered_instance_starts_no_takeover(self):
        self.task.sync.is_registered = False
        self.task._check()
        self.assertEqual([], self.source.begun)

    def test_primary_is_not_suspected_right_after_a_suspension(self):
        suspected = []

        async def confirm(group):
            suspected.append(group.name)
            return False

        self.task._confirm_silence = confirm
        clock = self.task.context.reactor
        primary = self.group.members["p"]
        primary.leaving = False
        primary.position = sessions.Position(1, 1)
        primary.position_at = clock.seconds()
        self.task._check()
        clock.advance(4.0)
        self.task.sync.freshness.record_members_read(clock.seconds())
        for _ in range(9):
            self.task._check()
            clock.advance(0.1)
        self.assertEqual([], suspected)
        for _ in range(3):
            self.task._check()
            clock.advance(0.1)
        self.assertEqual(["g"], suspected)

    def evacuate(self, *data_centres, until):
        primary = self.group.members["p"]
        primary.leaving = False
        self.group.set_evacuations(dict.fromkeys(data_centres, until))

    def test_primary_in_an_evacuated_data_centre_starts_a_takeover(self):
        self.group.update(
            [make_primary(), placement.Member("r", "y"), placement.Member("s", "x")],
            100.0,
        )
        self.evacuate("x", until=104.0)
        self.task._check()
        self.assertEqual([("g", "reader/1", 0)], self.source.begun)

    def test_evacuation_that_leaves_no_successor_starts_nothing(self):
        leaving = placement.Member("r", "y", leaving=True)
        self.group.update([make_primary(), leaving], 100.0)
        self.evacuate("x", until=104.0)
        for _ in range(100):
            self.task._check()
        self.assertEqual([], self.source.begun)

    def check_near_replica(self, change):
        """Run a takeover for an evacuation; things change while replicas are asked."""
        asked = defer.Deferred()

        async def is_near(group):
            await asked
            return True

        self.group.update([make_primary(), placement.Member("r", "y")], 100.0)
        self.evacuate("x", until=104.0)
        self.task._is_replica_near = is_near
        self.task._check()
        change()
        asked.callback(None)
        return self.source.begun

    def test_takeover_is_not_begun_for_an_evacuation_that_has_ended(self):
        found = self.check_near_replica(lambda: self.group.set_evacuations({}))
        self.assertEqual([], found)

    def test_takeover_is_not_begun_once_all_data_centres_are_evacuated(self):
        found = self.check_near_replica(lambda: self.evacuate("x", "y", until=104.0))
        self.assertEqual([], found)

    def test_takeover_for_an_evacuation_is_begun_after_the_check(self):
        found = self.check_near_replica(lambda: None)
        self.assertEqual([("g", "reader/1", 0)], found)

    def test_primary_that_may_not_be_asked_is_not_suspected(self):
        self.group.update([make_primary(), placement.Member("r", "y")], 100.0)
        self.evacuate("x", until=100.0)
        primary = self.group.members["p"]
        primary.position, primary.position_at = sessions.Position(1, 1), 90.0
        self.task.checking_since = self.task.checked_at = 90.0
        health = self.task._collect_health(self.group, 100.0)
        self.assertEqual(0.0, health.silent_for_s)
        asked = []
        self.task.proxy.open_connection = lambda *_: asked.append(1)
        checking = self.task.check_member(self.group, primary)
        self.assertTrue(defer.ensureDeferred(checking).result)
        self.assertEqual([], asked)

    def test_row_of_a_leaving_primary_that_is_closed_is_not_checked(self):
        opened = []

        def open_connection(reactor, service, member, *arguments):
            opened.append(member.name)
            return defer.fail(pools.UpstreamOpenError("no answer"))

        self.task.proxy.open_connection = open_connection
        self.group.update([make_primary(), placement.Member("r", "y")], 100.0)
        self.group.members["p"].leaving = True
        self.evacuate("x", until=100.0)
        self.task._check()
        self.assertNotIn("p", opened)

    def find_candidates(self, positions, is_closed=False, known=(1, 9)):
        """Return the candidates to replace p, whose log ends at 1.9, after 2 s."""
        members = [make_primary()]
        members += [placement.Member(name, "y") for name in positions]
        self.group.update(members, 100.0)
        self.evacuate("x", until=100.0 if is_closed else 104.0)
        self.group.members["p"].position = known and sessions.Position(*known)
        found = {
            name: (False, 1, sessions.Position(1, index))
            for name, index in positions.items()
        }
        if not is_closed:
            found["p"] = (True, 1, sessions.Position(1, 9))

        async def request(connections, call, *arguments):
            return {name: found[name] for name in connections if name in found}

        self.task.request_statuses = request
        connections = dict.fromkeys(["p", *positions])
        finding = defer.ensureDeferred(
            self.task._find_candidates(
                self.group, connections, "p", takeovers.Reason.EVACUATED
            )
        )
        for _ in range(40):
            self.task.context.reactor.advance(0.05)
        candidates, _, _, _ = finding.result
        return [candidate.name for candidate in candidates]

    def test_evacuated_primary_is_replaced_only_by_one_with_its_whole_log(self):
        self.assertEqual(["r"], self.find_candidates({"q": 8, "r": 9}))
        self.assertEqual([], self.find_candidates({"q": 8}))

    def test_log_is_complete_without_the_primary_once_it_has_not_grown(self):
        self.assertEqual(["r"], self.find_candidates({"q": 8, "r": 11}, True))
        self.assertEqual([], self.find_candidates({"q": 8}, True))

    def test_members_that_agree_replace_a_primary_of_unknown_position(self):
        same = {"q": 9, "r": 9}
        self.assertEqual(["q", "r"], self.find_candidates(same, True, known=None))
        self.assertEqual([], self.find_candidates({"q": 8, "r": 9}, True, known=None))
        self.assertEqual([], self.find_candidates({"r": 9}, True, known=None))

    def test_member_that_is_evacuated_after_it_was_chosen_is_not_promoted(self):
        members = [make_primary(), placement.Member("r", "y")]
        self.group.update(members, 100.0)
        promoted = []
        chosen = takeovers.Candidate("r", sessions.Position(1, 9))

        async def open_connections(group, old_primary, with_lapsed):
            return {}

        async def find_candidates(*_):
            return [chosen], set(), None, 1

        async def is_in_force(takeover):
            self.evacuate("y", until=104.0)
            return True

        async def promote(service, member, fence):
            promoted.append(member)
            return False

        self.task.open_connections = open_connections
        self.task._find_candidates = find_candidates
        self.task._is_in_force = is_in_force
        self.task.sync.source.record_choice = record_choice
        self.task.sync.apply_takeover = lambda takeover: None
        self.task.promoter.promote = promote
        takeover = takeovers.Takeover("g", "reader/1", "", 7, 7)
        reason = takeovers.Reason.LEAVING
        running = self.task._promote(self.group, takeover, "p", reason, 100.0)
        recorded = takeovers.make_choice(takeover, chosen)
        ended = (attrs.evolve(recorded, row_version=8), False)
        self.assertEqual(ended, defer.ensureDeferred(running).result)
        self.assertEqual([], promoted)

    def test_takeover_for_an_evacuation_that_was_not_completed_stays_one(self):
        self.group.update([make_primary(), placement.Member("r", "y")], 100.0)
        self.evacuate("x", until=104.0)
        self.learn(takeovers.Takeover("g", "other/0", "", 7, 7))
        reasons = []

        async def run(group, reason):
            reasons.append(reason)

        self.task._run = run
        self.task._check()
        self.assertEqual([takeovers.Reason.EVACUATED], reasons)

    def answers(self, error):
        """Return whether a member counts as alive if opening a connection fails."""

        async def fail(*arguments):
            raise error

        self.task.proxy.open_connection = fail
        self.task.proxy.configuration = types.SimpleNamespace(accounts={})
        self.task.context.settings = types.SimpleNamespace(host="127.0.0.1")
        found = []
        asking = self.task.check_member(self.group, self.group.members["p"])
        defer.ensureDeferred(asking).addCallback(found.append)
        return found[0]

    def test_member_that_refuses_a_connection_counts_as_alive(self):
        full = pools.UpstreamOpenError("full", refused=True, is_full=True)
        self.assertTrue(self.answers(full))
        self.assertFalse(self.answers(pools.UpstreamOpenError("no answer")))

    def ask_as_witness(self, position):
        async def request_status(group, member):
            if position is None:
                return False, None
            group.on_position("p", position, self.task.context.now())
            return True, (True, 2, position)

        self.task._request_member_status = request_status
        self.group.members["p"].position = sessions.Position(1, 5)
        self.group.members["p"].position_at = 99.0
        request = peer_messages.WitnessRequest("g", "p")
        return self.task._on_witness_request(request, None).result

    def test_position_is_told_if_the_member_has_answered_now(self):
        answer = self.ask_as_witness(sessions.Position(2, 7))
        self.assertEqual(
            (True, 2, 7, True),
            (
                answer.reachable,
                answer.log_term,
                answer.log_index,
                answer.has_position,
            ),
        )
        self.assertEqual(("primary", 2), (answer.role, answer.term))
        self.assertEqual(peer_messages.WitnessAnswer(False), self.ask_as_witness(None))

    def confirm(self, here, elsewhere, after_s):
        """Check a silent primary; returns the result, or None if there is none yet."""
        clock = self.task.context.reactor
        witness = attrs.evolve(make_instance("witness"), data_centre="y")
        self.fleet.registered.append(witness)
        self.task.context.settings = types.SimpleNamespace(data_centre="x")
        self.group.members["p"].position_at = 98.0

        def answer(found):
            return lambda *_: task.deferLater(clock, 0.5, lambda: found)

        async def answers(group, member):
            return await answer(here)()

        self.task.check_member = answers
        self.task.context.peers.request = answer(peer_messages.WitnessAnswer(elsewhere))
        done = defer.ensureDeferred(self.task._confirm_silence(self.group))
        clock.advance(after_s)
        found = []
        done.addCallback(found.append)
        return found[0] if found else None

    def test_silent_primary_is_checked_here_and_by_a_witness_concurrently(self):
        self.assertIs(True, self.confirm(False, False, 0.5))

    def test_primary_that_answers_here_is_not_replaced(self):
        self.assertIs(False, self.confirm(True, False, 0.5))

    def test_primary_that_answers_a_witness_is_not_replaced(self):
        self.assertIs(False, self.confirm(False, True, 0.5))

    def learn_during_the_check(self, takeover):
        asked = defer.Deferred()

        async def confirm(group):
            await asked
            return True

        self.task._confirm_silence = confirm
        running = self.task._run(self.group, takeovers.Reason.SILENT)
        done = defer.ensureDeferred(running)
        self.learn(takeover)
        asked.callback(None)
        self.assertTrue(done.called)

    def test_takeover_started_elsewhere_during_the_check_is_not_restarted(self):
        self.learn_during_the_check(takeovers.Takeover("g", "other/1", "", 7, 7))
        self.assertEqual([], self.source.begun)

    def test_takeover_that_ended_elsewhere_during_the_check_is_not_repeated(self):
        self.learn_during_the_check(takeovers.Takeover("g", "", "r", 7, 8))
        self.assertEqual([], self.source.begun)

    def test_member_without_an_answer_holds_no_takeover_up(self):
        def ask(found):
            return types.SimpleNamespace(
                is_lost=False,
                on_lost=None,
                ask_status=lambda done: found and done(found),
                read_status=lambda answer: answer,
            )

        connections = {"a": ask("status"), "b": ask(None)}
        results = []
        calls = self.task.request_statuses(connections, "ask_status")
        defer.ensureDeferred(calls).addCallback(results.append)
        self.assertEqual([], results)
        self.task.context.reactor.advance(hosted_takeovers.MEMBER_TIMEOUT_S)
        self.assertEqual([{"a": "status"}], results)


class FakeMember:
    """Member and connection to it, which counts terms as members do.

    Attributes
    ----------
    term, received : int
        Term and number of the last log entry.
    paused_term : int
        Term that it is paused for; 0 if it receives the log.
    """

    is_lost = False

    def __init__(self, received):
        self.is_primary = False
        self.step_down_term = None
        self.term = 1
        self.received = received
        self.paused_term = 0
        self.connections = 0

    def ask_status(self, done):
        term = max(self.term, self.paused_term)
        done((self.is_primary, term, sessions.Position(self.term, self.received)))

    def read_status(self, answer):
        return answer

    def pause(self, term, done):
        self.paused_term = max(self.paused_term, term)
        self.ask_status(done)

    def resume(self, done):
        self.paused_term = 0
        self.ask_status(done)

    def step_down(self, term, done):
        self.step_down_term = term
        self.is_primary = False
        self.ask_status(done)

    def close(self):
        self.connections -= 1


class Link:
    """Connection to a FakeMember that can be lost while others stay open."""

    def __init__(self, member):
        self.member = member
        self.is_lost = False

    def __getattr__(self, name):
        return getattr(self.member, name)


class PromotionTests(testtools.TestCase):
    """Takeovers of a service with three members, the former primary among them."""

    def setUp(self):
        super().setUp()
        self.members = {name: FakeMember(n) for n, name in enumerate("abc", 101)}
        self.clock = task.Clock()
        self.promotes = True
        context = types.SimpleNamespace(
            reactor=self.clock,
            now=self.clock.seconds,
            peers=types.SimpleNamespace(handlers={}),
            log=types.SimpleNamespace(write=lambda event, **_: None),
            members=types.SimpleNamespace(own=make_instance("reader")),
            settings=types.SimpleNamespace(host="127.0.0.1"),
        )
        self.group = placement.Group("g")
        self.group.update([placement.Member(name, "x") for name in "abc"], 0.0)
        proxy = types.SimpleNamespace(
            configuration=configuration.FleetConfiguration(),
            open_connection=self.open_connection,
        )
        promoter = types.SimpleNamespace(promote=self.promote)
        sync = types.SimpleNamespace(
            store_available_since=-60.0,
            fleet=types.SimpleNamespace(takeovers={}, registered=[]),
            source=types.SimpleNamespace(record_choice=record_choice),
            apply_takeover=self.apply_takeover,
            find_replica_set=lambda service: self.recorded,
        )
        self.recorded = None
        self.task = hosted_takeovers.TakeoverTask(context, sync, proxy, promoter)
        self.task._is_in_force = self.confirm

    async def open_connection(self, reactor, service, member, account, host):
        return self.members[member.name]

    def apply_takeover(self, takeover):
        self.task.sync.fleet.takeovers[takeover.service] = takeover

    async def confirm(self, takeover):
        return True

    async def promote(self, service, name, fence):
        if not self.promotes:
            return False
        term = 1 + max(member.term for member in self.members.values())
        for member in self.members.values():
            member.term = term
            member.is_primary = False
            if member.paused_term <= term:
                member.paused_term = 0
        self.members[name].is_primary = True
        self.members[name].paused_term = 0
        return True

    def begin_promotion(self, group, old_primary):
        """Start a takeover; returns the list that its outcome is added to."""
        takeover = takeovers.Takeover(group.name, "reader/1", "", 7, 7)
        reason = takeovers.Reason.ABSENT
        return self.watch(self.task._promote(group, takeover, old_primary, reason, 0.0))

    def watch(self, promoting):
        """Return the list that gets the promoted member's name, or None."""
        found = []

        def add(outcome):
            ended, is_promoted = outcome
            found.append(ended.successor if is_promoted else None)

        defer.ensureDeferred(promoting).addCallback(add)
        return found

    def run_takeover(self):
        found = self.begin_promotion(self.group, None)
        self.clock.advance(1.0)
        return found[0]

    def find_paused(self):
        return [name for name, found in self.members.items() if found.paused_term]

    def test_replicas_receive_after_a_promotion(self):
        self.assertEqual("c", self.run_takeover())
        self.assertEqual([], self.find_paused())

    def test_replicas_that_an_interrupted_takeover_has_paused_receive_again(self):
        for member in self.members.values():
            member.pause(2, lambda status: None)
        self.assertEqual("c", self.run_takeover())
        self.assertEqual([], self.find_paused())

    def test_old_primary_steps_down_for_the_terms_of_its_own_service(self):
        old = self.members["a"]
        for member in self.members.values():
            member.term = 5
        other = placement.Group("h")
        other.update([placement.Member("d", "x")], 0.0)
        self.members["d"] = FakeMember(104)

        async def promote(service, name, fence):
            if service == "g":
                self.begin_promotion(other, None)
            return await self.promote(service, name, fence)

        self.task.promoter.promote = promote
        self.begin_promotion(self.group, "a")
        self.clock.advance(1.0)
        self.assertEqual(6, old.step_down_term)

    def lapse_primary(self):
        primary = placement.Member("a", "x", role=placement.Role.PRIMARY)
        self.members["a"].is_primary = True
        replicas = [placement.Member(name, "x") for name in "bc"]
        self.group.update([primary, *replicas], 0.0)
        self.group.update(replicas, 1.0)
        recorded = [
            takeovers.RecordedMember(name, "x", "127.0.0.1", 1) for name in "abc"
        ]
        self.recorded = takeovers.make_replica_set("g", "a", recorded)

    def test_old_primary_without_a_row_steps_down(self):
        # Review 13: it was cut off from the store and its replicas, and went on.
        self.lapse_primary()
        closed = []
        self.members["a"].close = lambda: closed.append(self.clock.seconds())
        self.assertEqual("c", self.run_takeover())
        self.assertEqual(2, self.members["a"].step_down_term)
        self.clock.advance(hosted_takeovers.MEMBER_TIMEOUT_S)
        self.assertEqual(1, len(closed))

    def test_old_primary_without_a_row_that_does_not_answer_is_left(self):
        logged = []
        self.task.context.log.write = lambda event, **fields: logged.append(fields)
        self.lapse_primary()
        open_connection = self.task.proxy.open_connection

        async def refuse(reactor, service, member, account, host):
            if member.name == "a":
                raise pools.UpstreamOpenError("no answer in time")
            return await open_connection(reactor, service, member, account, host)

        self.task.proxy.open_connection = refuse
        self.assertEqual("c", self.run_takeover())
        self.assertIsNone(self.members["a"].step_down_term)
        steps = [fields.get("step") for fields in logged]
        self.assertIn("not told to step down", steps)

    def test_old_primary_without_a_row_is_not_called_in_a_closed_data_centre(self):
        self.lapse_primary()
        self.group.lapsed["a"][0].data_centre = "y"
        self.group.set_evacuations({"y": -1.0})
        self.assertEqual("c", self.run_takeover())
        self.assertIsNone(self.members["a"].step_down_term)

    def promote_in_steps(self):
        """Let promotions take 0.3 s; returns the list of opened connections."""
        opened = []
        promote = self.promote

        async def open_connection(reactor, service, member, account, host):
            opened.append(Link(self.members[member.name]))
            return opened[-1]

        async def accept(service, name, fence):
            self.clock.callLater(
                0.3, lambda: defer.ensureDeferred(promote("", name, 0))
            )
            return True

        self.task.proxy.open_connection = open_connection
        self.task.promoter.promote = accept
        return opened

    async def refuse_connection(self, reactor, service, member, account, host):
        raise pools.UpstreamOpenError("no answer in time")

    def advance(self, duration_s):
        self.clock.pump([0.01] * round(duration_s * 100))

    def test_reset_during_a_promotion_does_not_end_the_wait_for_it(self):
        # All instances sent reads to a member that was still a replica.
        opened = self.promote_in_steps()
        found = self.begin_promotion(self.group, None)
        self.advance(0.1)
        for link in opened:
            link.is_lost = True
        self.advance(0.1)
        self.assertEqual([], found)
        self.assertFalse(self.members["c"].is_primary)
        self.advance(0.2)
        self.assertTrue(self.members["c"].is_primary)
        self.assertEqual(["c"], found)

    def test_promoted_member_without_a_row_is_waited_for(self):
        # The end of a takeover was recorded as soon as the successor's row lapsed.
        opened = self.promote_in_steps()
        open_connection = self.task.proxy.open_connection
        found = self.begin_promotion(self.group, None)
        self.advance(0.1)
        for link in opened:
            link.is_lost = True
        self.task.proxy.open_connection = self.refuse_connection
        self.group.update([placement.Member(name, "x") for name in "ab"], 0.1)
        self.advance(0.3)
        self.assertEqual([], found)
        self.task.proxy.open_connection = open_connection
        self.advance(0.1)
        self.assertEqual(["c"], found)

    def test_term_is_recorded_only_of_a_member_that_was_seen_to_lead(self):
        takeover = takeovers.Takeover("g", "reader/1", "a", 7, 7, term=1)
        promotion = takeovers.make_promotion(takeover, "c")
        for led_term in (0, 1, 2):
            self.members["c"].is_primary = led_term > 0
            self.members["c"].term = led_term
            found = []
            confirming = self.task._confirm_promotion(self.group, promotion, {})
            defer.ensureDeferred(confirming).addCallback(found.append)
            self.advance(3.0)
            expected = led_term if led_term == 2 else 0
            self.assertEqual(attrs.evolve(promotion, term=expected), found[0])

    def resume(self, takeover=None):
        """Run a takeover again after its holder was lost, with the old primary a."""
        if takeover is None:
            takeover = self.task.sync.fleet.takeovers["g"]
        reason = takeovers.Reason.ABSENT
        promoting = self.task._promote(self.group, takeover, "a", reason, 0.0)
        found = self.watch(promoting)
        self.advance(1.0)
        return found

    def lose_answer(self, has_effect):
        """Choose c, and lose the answer to its promotion."""

        async def promote(service, name, fence):
            self.promoted.append(name)
            if has_effect:
                await self.promote(service, name, fence)
            raise ValueError("no answer in time")

        self.promoted = []
        self.task.promoter.promote = promote
        takeover = takeovers.Takeover("g", "reader/1", "", 7, 7)
        reason = takeovers.Reason.ABSENT
        lost = self.task._promote(self.group, takeover, "a", reason, 0.0)
        defer.ensureDeferred(lost).addErrback(lambda failure: failure.trap(ValueError))
        self.assertEqual(["c"], self.promoted)
        self.assertEqual("c", self.task.sync.fleet.takeovers["g"].candidate)

    def test_promotion_whose_answer_was_lost_is_not_made_up_for_by_another(self):
        # The promoted member counted as the primary to replace, and was discarded.
        self.lose_answer(has_effect=True)
        self.members["b"].received = 200
        self.assertEqual(["c"], self.resume())
        self.assertEqual(["c"], self.promoted)
        self.assertTrue(self.members["c"].is_primary)

    def resume_beside_the_old_primary(self, has_effect):
        """Return the term that the old primary, of term 1, steps down for."""
        self.members["a"].is_primary = True
        self.group.term = 1
        self.lose_answer(has_effect)
        self.task.promoter.promote = self.promote
        self.assertEqual(["c"], self.resume())
        return self.members["a"].step_down_term

    def test_old_primary_steps_down_for_a_candidate_that_leads(self):
        self.assertEqual(2, self.resume_beside_the_old_primary(has_effect=True))

    def test_old_primary_steps_down_for_a_candidate_that_is_promoted_again(self):
        self.assertEqual(2, self.resume_beside_the_old_primary(has_effect=False))

    def test_promotion_without_an_effect_is_asked_for_again(self):
        self.lose_answer(has_effect=False)
        self.members["b"].received = 200
        self.task.promoter.promote = self.promote
        self.assertEqual(["c"], self.resume())
        self.assertFalse(self.members["b"].is_primary)

    def test_other_member_is_promoted_once_the_platform_refuses_the_chosen_one(self):
        self.lose_answer(has_effect=False)

        async def promote(service, name, fence):
            return name != "c" and await self.promote(service, name, fence)

        self.task.promoter.promote = promote
        members = [placement.Member(name, "x") for name in "ab"]
        self.group.update(members, 0.0)
        self.assertEqual(["b"], self.resume())
        self.assertEqual("b", self.task.sync.fleet.takeovers["g"].candidate)

    def test_chosen_member_that_has_lost_its_log_is_not_promoted(self):
        self.lose_answer(has_effect=False)
        self.members["c"].received = 0
        self.task.promoter.promote = self.promote
        self.assertEqual(["b"], self.resume())

    def test_nobody_is_promoted_by_a_takeover_that_is_not_in_force(self):
        async def record_choice(takeover):
            return None

        self.task.sync.source.record_choice = record_choice
        self.assertIsNone(self.run_takeover())
        self.assertFalse(any(found.is_primary for found in self.members.values()))

    def test_replicas_receive_after_a_refused_promotion(self):
        self.promotes = False
        self.assertIsNone(self.run_takeover())
        self.assertEqual([], self.find_paused())


class SynchronousReplicaTests(PromotionTests):
    """Takeovers after the loss of a primary whose commits one replica must receive.

    The replicas are a, which has received 101 entries, b with 102, and c with 103.
    """

    def setUp(self):
        super().setUp()
        service = configuration.DatabaseService("g", 22, synchronous_replicas=1)
        self.task.proxy.configuration = configuration.FleetConfiguration(
            services={"g": service}
        )
        self.unreached = set()
        self.witnesses = {}
        self.leaders = {}
        own = self.task.context.members.own
        self.task.context.peers.request = self.ask_witness
        self.task.sync.fleet.registered = [own, make_instance("other")]
        self.asked = []

    async def open_connection(self, reactor, service, member, account, host):
        if member.name in self.unreached:
            raise pools.UpstreamOpenError("no answer in time")
        self.asked.append(member.name)
        self.members[member.name].connections += 1
        return self.members[member.name]

    async def ask_witness(self, instance, message, timeout_s):
        """Answer as an instance that reaches the members in `witnesses`."""
        position = self.witnesses.get(message.member)
        if position is None:
            return peer_messages.WitnessAnswer(False)
        led_term = self.leaders.get(message.member, 0)
        return peer_messages.WitnessAnswer(
            True,
            "primary" if led_term else "replica",
            max(1, led_term),
            log_term=1,
            log_index=position,
            has_position=True,
        )

    def start_takeover(self):
        """Start a takeover; returns the list that gets the promoted member."""
        takeover = takeovers.Takeover("g", "reader/1", "", 7, 7)
        reason = takeovers.Reason.SILENT
        promoting = self.task._promote(self.group, takeover, None, reason, 0.0)
        found = self.watch(promoting)
        self.clock.advance(0.1)
        return found

    def test_nobody_is_promoted_while_a_replica_answers_no_instance(self):
        # A takeover promoted a replica without commits that the synchronous one
        # held, which the instance that ran the takeover did not reach.
        for name in "abc":
            self.unreached = {name}
            self.assertEqual([None], self.start_takeover())
        self.assertEqual([], self.find_paused())

    def test_replica_that_only_others_reach_is_promoted_if_it_is_ahead(self):
        self.unreached = {"c"}
        self.witnesses = {"c": 103}
        found = self.start_takeover()
        self.assertTrue(self.members["c"].is_primary)
        self.assertEqual([], found)  # it waits until the member is registered as one
        self.group.members["c"].role = placement.Role.PRIMARY
        self.clock.advance(0.1)
        self.assertEqual(["c"], found)

    def test_member_that_only_others_reach_is_seen_to_lead_by_them(self):
        self.unreached = {"c"}
        self.witnesses = {"c": 103}
        found = self.start_takeover()
        self.assertEqual([], found)
        self.leaders = {"c": 2}
        self.clock.advance(0.1)
        self.assertEqual(["c"], found)

    def test_replica_that_only_others_reach_lets_another_one_be_promoted(self):
        self.unreached = {"a"}
        self.witnesses = {"a": 101}
        self.assertEqual(["c"], self.start_takeover())

    def test_witness_of_an_earlier_build_tells_no_position(self):
        self.unreached = {"a"}

        async def ask(instance, message, timeout_s):
            return peer_messages.WitnessAnswer(True)

        self.task.context.peers.request = ask
        self.assertEqual([None], self.start_takeover())

    def record(self, names, primary="", **data_centres):
        self.recorded = takeovers.make_replica_set(
            "g",
            primary,
            [
                takeovers.RecordedMember(
                    name, data_centres.get(name, "x"), "127.0.0.1", 1
                )
                for name in names
            ],
        )

    def test_replica_that_is_no_longer_recorded_is_not_waited_for(self):
        self.unreached = {"c"}
        self.group.update([placement.Member(name, "x") for name in "ab"], 0.0)
        self.record("ab")
        self.assertEqual(["b"], self.start_takeover())

    def test_recorded_replica_without_a_row_is_waited_for(self):
        # The only replica with the last commits was lost together with the primary.
        self.unreached = {"c", "p"}
        rows = [placement.Member(name, "x") for name in "ab"]
        self.group.update(rows, 0.0)
        self.record("abcp", primary="p")
        self.assertEqual([None], self.start_takeover())
        knowing = defer.ensureDeferred(self.task._knows_logs(self.group))
        self.assertIs(False, knowing.result)
        self.unreached = {"p"}
        self.assertEqual([None], self.start_takeover())  # "c" can't be promoted yet
        self.group.update([*rows, placement.Member("c", "x")], 0.0)
        self.assertEqual(["c"], self.start_takeover())

    def test_recorded_replica_is_waited_for_by_a_process_that_never_saw_its_row(self):
        # An instance that had started again knew only the replicas with a row.
        self.group = placement.Group("g")
        self.group.update([placement.Member(name, "x") for name in "ab"], 0.0)
        self.unreached = {"c"}
        self.record("abc")
        self.assertEqual([None], self.start_takeover())
        self.unreached = set()
        self.members["b"].received = 103
        self.assertEqual(["b"], self.start_takeover())
        self.assertIn("c", self.asked)

    def test_lost_primary_is_not_counted_as_a_replica(self):
        self.unreached = {"p"}
        self.record("abcp", primary="p")
        self.assertEqual(["c"], self.start_takeover())

    def test_replica_without_a_row_is_waited_for_as_long_as_it_answers(self):
        # One that was cut off from the store alone held acknowledged commits.
        self.group.update([placement.Member(name, "x") for name in "ab"], 0.0)
        self.assertEqual([None], self.start_takeover())
        self.assertEqual([], self.find_paused())
        self.unreached = {"c"}
        self.witnesses = {"c": 103}
        self.assertEqual([None], self.start_takeover())
        self.members["b"].received = 103
        self.assertEqual(["b"], self.start_takeover())

    def test_evacuated_replica_without_a_row_is_not_asked_after_its_time_limit(self):
        self.place_in(a="x", b="x", c="y")
        self.group.update([placement.Member(name, "x") for name in "ab"], 0.0)
        for is_recorded in (False, True):
            if is_recorded:
                self.record("abc", c="y")
            for deadline in (9.0, -9.0):
                self.group.set_evacuations({"y": deadline})
                self.asked.clear()
                self.assertEqual([None], self.start_takeover())
                self.assertEqual(deadline > 0.0, "c" in self.asked)
        self.record("ab")
        self.assertEqual(["b"], self.start_takeover())

    def test_primary_without_a_row_is_not_waited_for(self):
        self.members["c"].is_primary = True
        self.group.update([placement.Member(name, "x") for name in "ab"], 0.0)
        self.assertEqual(["b"], self.start_takeover())

    def test_callers_do_not_wait_while_a_replica_without_a_row_is_ahead(self):
        self.group.update([placement.Member(name, "x") for name in "ab"], 0.0)
        for received, expected in ((102, False), (103, True)):
            self.members["b"].received = received
            knowing = defer.ensureDeferred(self.task._knows_logs(self.group))
            self.assertEqual(expected, knowing.result)
        self.assertEqual([0, 0, 0], self.count_connections())

    def test_registrations_after_an_outage_of_the_store_are_waited_for(self):
        self.group.update([placement.Member(name, "x") for name in "ab"], 0.0)
        self.task.sync.store_available_since = -2.0
        self.assertEqual([None], self.start_takeover())

    def place_in(self, **data_centres):
        members = [
            placement.Member(name, place) for name, place in data_centres.items()
        ]
        self.group.update([], 0.0)
        self.group.update(members, 0.0)

    def test_commits_of_an_evacuated_replica_are_kept(self):
        # The synchronous replica is evacuated before the primary is lost.
        self.place_in(a="x", b="x", c="y")
        for deadline in (9.0, -9.0):
            self.group.set_evacuations({"y": deadline})
            self.asked.clear()
            self.assertEqual([None], self.start_takeover())
            self.assertEqual(deadline > 0.0, "c" in self.asked)

    def test_evacuated_replica_that_is_behind_keeps_nobody_from_promotion(self):
        self.place_in(a="y", b="x", c="x")
        self.group.set_evacuations({"y": 9.0})
        self.assertEqual(["c"], self.start_takeover())

    def test_other_member_is_promoted_once_the_platform_refuses_the_chosen_one(self):
        # The chosen one may hold commits that no other replica has received.
        parent = super()
        self.members["b"].received = 103
        parent.test_other_member_is_promoted_once_the_platform_refuses_the_chosen_one()

    def test_chosen_member_that_has_lost_its_log_is_not_promoted(self):
        # Nor is another one that lacks a part of that log.
        self.lose_answer(has_effect=False)
        self.members["c"].received = 0
        self.task.promoter.promote = self.promote
        self.assertEqual([None], self.resume())
        self.members["b"].received = 103
        self.assertEqual(["b"], self.resume())

    def test_replica_that_lacks_commits_of_an_earlier_term_is_not_promoted(self):
        # The old primary's row had lapsed, and a replica without its last commits
        # followed the successor that alone had received them.
        self.group.update([placement.Member(name, "x") for name in "ab"], 0.0)
        chosen = takeovers.Candidate("b", sessions.Position(1, 102))
        begun = takeovers.Takeover("g", "reader/1", "b", 7, 7)
        takeover = attrs.evolve(takeovers.make_choice(begun, chosen), candidate="")
        for received, expected in ((101, None), (102, "a")):
            self.members["a"].received = received
            promoting = self.task._promote(
                self.group, takeover, "b", takeovers.Reason.ABSENT, 0.0
            )
            found = self.watch(promoting)
            self.advance(1.0)
            self.assertEqual([expected], found)

    def count_connections(self):
        return [found.connections for found in self.members.values()]

    def test_checks_before_a_takeover_leave_no_connection_open(self):
        # The primary, which may answer after all, was asked and not released.
        self.group.members["a"].role = placement.Role.PRIMARY
        self.group.update_primary(0.0)
        self.unreached = {"c"}
        defer.ensureDeferred(self.task._run(self.group, takeovers.Reason.ABSENT))
        self.assertIn("a", self.asked)
        self.assertEqual([0, 0, 0], self.count_connections())

    def test_search_for_a_near_replica_leaves_no_connection_open(self):
        self.group.members["b"].leaving = True
        self.group.members["a"].position = sessions.Position(1, 101)
        self.group.members["a"].role = placement.Role.PRIMARY
        self.group.update_primary(0.0)
        defer.ensureDeferred(self.task._is_replica_near(self.group))
        self.assertEqual(["a", "b", "c"], self.asked)
        self.assertEqual([0, 0, 0], self.count_connections())

    def test_callers_do_not_wait_for_a_takeover_that_can_promote_nobody(self):
        self.unreached = {"c"}
        begun = []

        async def take_over(group, reason):
            begun.append(reason)
            return "promoted"

        self.task._take_over = take_over
        for reason, expected in (
            (takeovers.Reason.ABSENT, 0),
            (takeovers.Reason.LEAVING, 1),
        ):
            begun.clear()
            defer.ensureDeferred(self.task._run(self.group, reason))
            self.assertEqual(expected, len(begun))
        self.witnesses = {"c": 103}
        defer.ensureDeferred(self.task._run(self.group, takeovers.Reason.ABSENT))
        self.assertEqual(2, len(begun))
