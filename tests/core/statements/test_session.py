"""Tests of the session state machine."""

import attrs
import testtools

from pomelograde.core import placement, retries, sessions, statements

KIND = retries.ErrorKind
OP = statements.Operation
ERROR = statements.UpstreamError
POSITION = sessions.Position
NOW = 10.0


class FakeRouter:
    """Router with one route and one group of a primary and two replicas."""

    def __init__(self, route_type):
        self.route = statements.Route("db", "g", route_type, 0.8, 0.4, 1, 1.5)
        self.failure = None
        self.known_group = placement.Group("g")
        self.known_group.update(
            [
                placement.Member("p", "there", role=placement.Role.PRIMARY),
                placement.Member("a", "here"),
                placement.Member("b", "there"),
            ],
            0.0,
        )
        self.known_group.primary_lease_until = 100.0
        self.known_group.on_position("p", POSITION(1, 7), NOW - 0.5)

    def resolve(self, now):
        return self.failure or self.route

    def check(self, now):
        return self.failure

    def group(self, service):
        return self.known_group


class SessionTests(testtools.TestCase):
    route_type = statements.RouteType.READ_YOUR_WRITES

    def setUp(self):
        super().setUp()
        self.router = FakeRouter(self.route_type)
        self.session = statements.Session("desk", "here", self.router)

    def statement(self, operation, **fields):
        return statements.Statement(b"q1", operation, b"text", **fields)

    def start(self, operation, now=NOW, **fields):
        """Send a statement and admit it; returns the actions."""
        actions = self.session.on_statement(self.statement(operation, **fields), now)
        if actions and isinstance(actions[0], statements.Admit):
            actions = self.session.on_admitted(now)
        return actions

    def connect(self, actions, now=NOW):
        """Provide the requested connection; returns the member and the next action."""
        (acquire,) = [a for a in actions if isinstance(a, statements.Acquire)]
        (action,) = self.session.on_connection(f"to {acquire.member}", now)
        return acquire.member, action

    def answer(self, now=NOW, **fields):
        fields.setdefault("digest", None if fields.get("error") else b"d")
        return self.session.on_answer(statements.Answer(**fields), now)

    def begin(self, operation=OP.BEGIN):
        """Open a transaction and run a first read in it; returns its member."""
        self.start(operation)
        member, action = self.connect(self.start(OP.READ))
        self.assertIsInstance(action, statements.Begin)
        (execute,) = self.answer(status=b"T")
        self.assertIsInstance(execute, statements.Execute)
        self.answer(status=b"T")
        return member

    def kinds(self, actions):
        return [
            a.failure.kind for a in actions if isinstance(a, statements.RespondError)
        ]


class PlacementTests(SessionTests):
    def test_read_goes_to_the_local_replica_and_requires_the_floor(self):
        member, action = self.connect(self.start(OP.READ))
        self.assertEqual(("a", POSITION(1, 7)), (member, action.after))

    def test_write_goes_to_the_primary(self):
        member, action = self.connect(self.start(OP.WRITE))
        self.assertEqual(("p", None), (member, action.after))

    def test_read_after_a_write_requires_the_position_of_the_write(self):
        self.connect(self.start(OP.WRITE))
        self.answer(position=POSITION(1, 9))
        _, action = self.connect(self.start(OP.READ))
        self.assertEqual(POSITION(1, 9), action.after)

    def test_read_goes_to_the_primary_when_no_floor_is_recent_enough(self):
        later = NOW + 5.0
        member, _ = self.connect(self.start(OP.READ, later), later)
        self.assertEqual("p", member)

    def test_prepared_write_goes_to_the_primary(self):
        self.start(OP.PREPARE, name=b"s", value=b"q", writes=True)
        member, action = self.connect(self.start(OP.EXECUTE, name=b"s"))
        self.assertEqual("p", member)
        self.assertEqual(statements.Prepared(b"q", True), action.prepared)

    def test_unknown_prepared_statement_is_refused_without_an_upstream(self):
        self.assertEqual(
            [KIND.UNKNOWN_STATEMENT], self.kinds(self.start(OP.EXECUTE, name=b"s"))
        )

    def test_connection_is_released_unused_once_the_primary_lease_has_expired(self):
        actions = self.start(OP.WRITE)
        self.assertIsInstance(actions[0], statements.Acquire)
        self.router.known_group.primary_lease_until = NOW
        first, *rest = self.session.on_connection("to p", NOW)
        self.assertIsInstance(first, statements.Release)
        self.assertIsInstance(rest[0], statements.StartTimer)


class RefusalTests(SessionTests):
    def test_statement_without_a_primary_fails_after_a_fraction_of_its_objective(
        self,
    ):
        self.router.known_group.primary_lease_until = 0.0
        (timer,) = self.start(OP.WRITE)
        self.assertIsInstance(timer, statements.StartTimer)
        self.assertIsInstance(
            self.session.on_timer(NOW + 0.09)[0], statements.StartTimer
        )
        self.assertEqual(
            [KIND.NO_PRIMARY], self.kinds(self.session.on_timer(NOW + 0.11))
        )

    def test_wait_for_admission_is_limited_to_a_fraction_of_the_objective(self):
        (admit,) = self.session.on_statement(self.statement(OP.READ), NOW)
        self.assertEqual((0.1, 1), (admit.max_wait_s, admit.priority))

    def test_failure_of_the_router_is_sent_to_the_caller(self):
        self.router.failure = retries.Failure(KIND.KEY_WITHDRAWN)
        refuse, close = self.start(OP.READ)
        self.assertEqual([KIND.KEY_WITHDRAWN], self.kinds([refuse]))
        self.assertIsInstance(close, statements.Close)

    def test_key_withdrawn_inside_a_transaction_rolls_it_back(self):
        self.begin()
        self.router.failure = retries.Failure(KIND.KEY_WITHDRAWN)
        actions = self.start(OP.READ)
        self.assertIsInstance(actions[0], statements.Abandon)
        self.assertEqual([KIND.KEY_WITHDRAWN], self.kinds(actions))

    def test_statement_that_was_never_sent_fails_as_not_run(self):
        self.start(OP.WRITE)
        actions = self.session.expire(NOW + 0.9, 3.0)
        self.assertEqual([KIND.DEADLINE_BEFORE_RUN], self.kinds(actions))
        self.assertIsInstance(actions[0], statements.CancelPending)


class RateTests(SessionTests):
    def refunds(self, actions):
        return [a for a in actions if isinstance(a, statements.RefundToken)]

    def test_rate_is_refunded_for_a_statement_that_was_never_sent(self):
        self.router.known_group.primary_lease_until = 0.0
        self.start(OP.WRITE)
        actions = self.session.on_timer(NOW + 0.11)
        self.assertEqual(1, len(self.refunds(actions)))

    def test_rate_is_not_refunded_for_a_statement_that_was_sent(self):
        self.connect(self.start(OP.WRITE))
        self.assertEqual([], self.refunds(self.session.expire(NOW + 0.9, 3.0)))

    def test_rate_is_not_refunded_without_admission(self):
        self.session.on_statement(self.statement(OP.READ), NOW)
        failure = retries.Failure(KIND.RATE_EXCEEDED)
        self.assertEqual([], self.refunds(self.session.on_not_granted(failure, NOW)))

    def test_rate_is_not_refunded_for_a_transaction_that_has_run(self):
        self.begin()
        self.router.known_group.primary_lease_until = NOW
        self.assertEqual([], self.refunds(self.start(OP.READ)))


class RetryTests(SessionTests):
    def test_read_refused_by_a_lagging_replica_moves_to_another_member(self):
        self.connect(self.start(OP.READ))
        actions = self.answer(error=ERROR.BEHIND)
        self.assertIsInstance(actions[0], statements.Release)
        self.assertEqual("b", actions[-1].member)

    def test_write_refused_by_a_busy_primary_is_sent_to_it_again(self):
        self.connect(self.start(OP.WRITE))
        self.assertIsInstance(self.answer(error=ERROR.BUSY)[-1], statements.StartTimer)
        self.session.on_timer(NOW + 0.02)
        member, _ = self.connect(self.session.on_timer(NOW + 0.03), NOW + 0.03)
        self.assertEqual("p", member)

    def test_read_on_a_lost_connection_moves_to_another_member(self):
        self.connect(self.start(OP.READ))
        actions = self.session.on_connection_lost(NOW)
        self.assertEqual("b", actions[-1].member)

    def test_write_on_a_lost_connection_is_in_doubt_and_not_retried(self):
        self.connect(self.start(OP.WRITE))
        actions = self.session.on_connection_lost(NOW)
        self.assertEqual([KIND.UPSTREAM_LOST], self.kinds(actions))

    def test_write_that_was_not_sent_is_sent_again(self):
        # The member had refused a session setting in front of it.
        self.connect(self.start(OP.WRITE))
        self.session.on_connection_lost(NOW, was_sent=False)
        member, _ = self.connect(self.session.on_timer(NOW + 0.03), NOW + 0.03)
        self.assertEqual("p", member)

    def test_write_without_an_answer_is_in_doubt_at_its_deadline(self):
        self.connect(self.start(OP.WRITE))
        actions = self.session.expire(NOW + 0.9, 3.0)
        self.assertEqual([KIND.DEADLINE_AFTER_SEND], self.kinds(actions))
        self.assertIsInstance(actions[0], statements.Discard)

    def test_failed_read_is_retried_once_on_another_member(self):
        self.connect(self.start(OP.READ))
        self.connect(self.answer(error=ERROR.FAILED))
        actions = self.answer(error=ERROR.FAILED)
        self.assertEqual([KIND.UPSTREAM_FAILED], self.kinds(actions))

    def test_failed_write_is_not_retried(self):
        self.connect(self.start(OP.WRITE))
        actions = self.answer(error=ERROR.FAILED)
        self.assertEqual([KIND.UPSTREAM_FAILED], self.kinds(actions))

    def test_write_answered_after_the_primary_lease_has_expired_is_in_doubt(self):
        self.connect(self.start(OP.WRITE))
        self.router.known_group.primary_lease_until = NOW
        actions = self.answer(position=POSITION(1, 9))
        self.assertEqual([KIND.ACKNOWLEDGEMENT_LOST], self.kinds(actions))

    def test_statement_that_a_relaying_instance_did_not_send_fails_as_not_run(self):
        self.connect(self.start(OP.WRITE))
        failure = retries.Failure(KIND.QUEUE_FULL)
        actions = self.session.on_not_sent(failure, NOW)
        self.assertEqual([KIND.QUEUE_FULL], self.kinds(actions))


class PathTests(SessionTests):
    """The way to a member fails, not the member."""

    failure = retries.Failure(
        KIND.UPSTREAM_UNREACHABLE, retry_after_s=0.3, path_failed=True
    )

    def test_read_on_a_lost_path_goes_to_the_same_member_again(self):
        self.connect(self.start(OP.READ))
        actions = self.session.on_connection_lost(NOW, path_failed=True)
        self.assertEqual("a", actions[-1].member)

    def test_write_on_a_lost_path_is_in_doubt_unless_it_was_not_sent(self):
        self.connect(self.start(OP.WRITE))
        actions = self.session.on_not_sent(self.failure, NOW)
        self.assertEqual("p", actions[-1].member)
        self.session.on_connection("again", NOW)
        actions = self.session.on_connection_lost(NOW, path_failed=True)
        self.assertEqual([KIND.UPSTREAM_LOST], self.kinds(actions))

    def test_commit_that_was_not_sent_is_no_unknown_outcome(self):
        self.begin()
        self.start(OP.COMMIT)
        actions = self.session.on_connection_lost(NOW, was_sent=False)
        self.assertEqual([KIND.TRANSACTION_LOST], self.kinds(actions))

    def test_write_for_a_primary_that_nobody_reaches_is_refused_at_once(self):
        self.start(OP.WRITE)
        actions = self.session.on_not_granted(self.failure, NOW)
        (found,) = [a for a in actions if isinstance(a, statements.RespondError)]
        self.assertEqual(KIND.NO_PRIMARY, found.failure.kind)
        self.assertAlmostEqual(0.3, found.failure.retry_after_s)
        response = retries.ERROR_RESPONSES[found.failure.kind]
        self.assertEqual(retries.Execution.NOT_RUN, response.execution)

    def test_write_waits_for_a_path_that_is_tried_again_in_time(self):
        self.start(OP.WRITE)
        soon = retries.Failure(
            KIND.UPSTREAM_UNREACHABLE, retry_after_s=0.05, path_failed=True
        )
        actions = self.session.on_not_granted(soon, NOW)
        self.assertAlmostEqual(0.05, actions[-1].delay_s)
        self.assertEqual("p", self.session.on_timer(NOW + 0.05)[-1].member)

    def test_read_for_a_replica_that_nobody_reaches_goes_to_another_member(self):
        self.start(OP.READ)
        actions = self.session.on_not_granted(self.failure, NOW)
        self.assertEqual("b", actions[-1].member)

    def test_read_is_refused_at_once_when_nobody_reaches_any_member(self):
        self.start(OP.READ)
        kinds = []
        while not kinds:
            actions = self.session.on_not_granted(self.failure, NOW)
            kinds = self.kinds(actions)
        self.assertEqual([KIND.SESSION_BEHIND], kinds)
        self.assertEqual({"a", "b", "p"}, self.session.last_statement.cut_off)

    def test_only_reads_outside_of_transactions_may_move(self):
        self.connect(self.start(OP.READ))
        self.assertTrue(self.session.may_move)
        self.answer()
        self.connect(self.start(OP.WRITE))
        self.assertFalse(self.session.may_move)


class TransactionTests(SessionTests):
    def test_begin_holds_no_connection(self):
        (respond,) = self.start(OP.BEGIN)
        self.assertEqual(b"T", respond.status)
        self.assertEqual([], self.session.on_closed())

    def test_first_statement_waits_for_the_answer_to_begin(self):
        self.assertEqual("p", self.begin())
        self.assertEqual(b"T", self.session.status)

    def test_read_only_transaction_runs_on_a_replica(self):
        self.assertEqual("a", self.begin(OP.BEGIN_READ_ONLY))

    def test_begin_that_did_not_run_is_retried_on_another_member(self):
        self.start(OP.BEGIN_READ_ONLY)
        self.connect(self.start(OP.READ))
        actions = self.answer(error=ERROR.BEHIND)
        member, action = self.connect(actions)
        self.assertEqual("b", member)
        self.assertIsInstance(action, statements.Begin)

    def test_commit_advances_the_session_position_and_releases_the_connection(self):
        self.begin()
        self.start(OP.COMMIT)
        release, respond = self.answer(status=b"I", position=POSITION(1, 12))
        self.assertIsInstance(release, statements.Release)
        self.assertEqual(b"I", respond.status)
        self.assertEqual(POSITION(1, 12), self.session.commit_position)

    def test_lost_transaction_accepts_only_rollback(self):
        self.begin()
        self.start(OP.WRITE)
        actions = self.session.on_connection_lost(NOW)
        self.assertEqual([KIND.TRANSACTION_LOST], self.kinds(actions))
        self.assertEqual(b"E", self.session.status)
        self.assertEqual([KIND.TRANSACTION_ABORTED], self.kinds(self.start(OP.READ)))
        self.start(OP.ROLLBACK)
        self.assertEqual(b"I", self.session.status)

    def test_lost_commit_is_in_doubt(self):
        self.begin()
        self.start(OP.COMMIT)
        actions = self.session.on_connection_lost(NOW)
        self.assertEqual([KIND.UPSTREAM_LOST], self.kinds(actions))

    def test_statement_past_its_deadline_ends_the_transaction(self):
        self.begin()
        self.start(OP.WRITE)
        actions = self.session.expire(NOW + 0.9, 3.0)
        self.assertIsInstance(actions[0], statements.Discard)
        self.assertEqual([KIND.TRANSACTION_EXPIRED], self.kinds(actions))

    def test_busy_statement_of_an_open_transaction_is_sent_again(self):
        self.begin()
        self.start(OP.READ)
        self.answer(error=ERROR.BUSY, status=b"T")
        (execute,) = self.session.on_timer(NOW + 0.02)
        self.assertIsInstance(execute, statements.Execute)

    def test_idle_transaction_is_rolled_back_and_loses_its_connection(self):
        self.begin()
        self.assertEqual([], self.session.expire(NOW + 2.9, 3.0))
        (abandon,) = self.session.expire(NOW + 3.1, 3.0)
        self.assertTrue(abandon.in_transaction)
        self.assertEqual([KIND.TRANSACTION_ABORTED], self.kinds(self.start(OP.READ)))

    def test_rollback_is_answered_without_waiting_for_the_member(self):
        self.begin()
        abandon, respond = self.start(OP.ROLLBACK)
        self.assertTrue(abandon.in_transaction)
        self.assertEqual(b"I", respond.status)

    def test_transaction_is_rolled_back_when_the_caller_disconnects(self):
        self.begin()
        (abandon,) = self.session.on_closed()
        self.assertTrue(abandon.in_transaction)

    def test_commit_without_and_begin_inside_a_transaction_are_refused(self):
        self.assertEqual(
            [KIND.INVALID_TRANSACTION_STATE], self.kinds(self.start(OP.COMMIT))
        )
        self.start(OP.BEGIN)
        self.assertEqual(
            [KIND.INVALID_TRANSACTION_STATE], self.kinds(self.start(OP.BEGIN))
        )


class PrimaryRouteTests(SessionTests):
    route_type = statements.RouteType.PRIMARY

    def test_reads_go_to_the_primary(self):
        self.assertEqual("p", self.connect(self.start(OP.READ))[0])

    def test_read_only_transactions_go_to_the_primary(self):
        self.assertEqual("p", self.begin(OP.BEGIN_READ_ONLY))

    def test_transaction_is_lost_once_the_primary_lease_has_expired(self):
        self.begin()
        self.router.known_group.primary_lease_until = NOW
        actions = self.start(OP.READ)
        self.assertEqual([KIND.TRANSACTION_LOST], self.kinds(actions))
        self.assertIsInstance(actions[0], statements.Discard)


class OutlierTests(SessionTests):
    """Reads and writes of a group of which a member is ejected."""

    def setUp(self):
        super().setUp()
        self.group = self.router.known_group
        self.outliers = placement.Outliers(lambda: 0.0)
        self.group.outliers = self.outliers

    def silence(self, name):
        """Make a member silent for several instances."""
        found = placement.Evidence(NOW, silent=2, silent_from=NOW)
        for at in (NOW - 0.7, NOW):
            self.outliers.merge_shared(name, found)
            self.outliers.judge(self.group.members, at)

    def test_outcomes_are_recorded(self):
        self.connect(self.start(OP.READ))
        self.answer(now=NOW + 0.1, error=ERROR.FAILED)
        self.assertEqual(1.0, self.outliers.healths["a"].own.failures)
        self.session.on_connection("to b", NOW + 0.1)
        self.answer(now=NOW + 0.2)
        self.assertAlmostEqual(0.1, self.outliers.healths["b"].own.mean_read_s)
        self.connect(self.start(OP.READ))
        self.answer(error=ERROR.BUSY)
        self.assertEqual(1.0, self.outliers.healths["a"].own.failures)

    def test_lost_connection_counts_for_this_instance_only(self):
        self.connect(self.start(OP.READ))
        self.session.on_connection_lost(NOW)
        health = self.outliers.healths["a"]
        self.assertEqual((1, 0.0), (health.streak, health.own.failures))

    def test_write_is_refused_at_once_if_the_primary_answers_nobody(self):
        self.silence("p")
        (refusal,) = [
            action
            for action in self.start(OP.WRITE)
            if isinstance(action, statements.RespondError)
        ]
        self.assertEqual(KIND.UPSTREAM_UNREACHABLE, refusal.failure.kind)
        self.assertGreater(refusal.failure.retry_after_s, 0.4)

    def test_write_goes_to_a_primary_that_answers_part_of_what_it_gets(self):
        for _ in range(10):
            self.outliers.record_failure("p", True, True, NOW)
        self.outliers.judge(self.group.members, NOW)
        self.assertEqual("p", self.connect(self.start(OP.WRITE))[0])

    def test_read_waits_a_part_of_its_objective_for_a_replica_that_lags(self):
        for _ in range(10):
            self.outliers.record_failure("p", True, True, NOW)
        self.outliers.judge(self.group.members, NOW)
        for name in ("a", "b"):
            for _ in range(5):
                self.group.on_behind(name, NOW)
        (timer,) = self.start(OP.READ)
        self.assertIsInstance(timer, statements.StartTimer)
        # The replicas' back-off ends after 0.16 s, a quarter of the objective
        # after 0.1 s.
        self.assertEqual("p", self.connect(self.session.on_timer(NOW + 0.11))[0])

    def test_read_is_refused_at_once_if_nobody_answers(self):
        self.silence("p")
        for name in ("a", "b"):
            self.group.members[name].leaving = True
        (refusal,) = [
            action
            for action in self.start(OP.READ)
            if isinstance(action, statements.RespondError)
        ]
        self.assertEqual(KIND.UPSTREAM_UNREACHABLE, refusal.failure.kind)

    def test_retries_end_with_the_budget(self):
        budget = self.session.retry_budget = retries.RetryBudget(tokens=1.0)
        self.connect(self.start(OP.WRITE))
        self.answer(error=ERROR.BUSY)
        self.session.on_timer(NOW)  # The primary was tried, so it waits once more.
        self.connect(self.session.on_timer(NOW))
        found = self.kinds(self.answer(error=ERROR.BUSY))
        self.assertEqual([KIND.QUEUE_FULL], found)
        self.assertEqual(0.0, budget.tokens)


class NoRoomTests(SessionTests):
    """Answers a member without room while others of its group have some."""

    failure = retries.Failure(KIND.QUEUE_FULL, retry_after_s=0.3)

    def setUp(self):
        super().setUp()
        self.session.tries_other_members = True

    def test_read_goes_to_another_member_at_once_and_fails_when_none_is_left(self):
        tried = []
        actions = self.start(OP.READ)
        for _ in range(3):
            (acquire,) = [a for a in actions if isinstance(a, statements.Acquire)]
            tried.append(acquire.member)
            actions = self.session.on_not_granted(self.failure, NOW)
        self.assertEqual({"p", "a", "b"}, set(tried))
        self.assertEqual([KIND.QUEUE_FULL], self.kinds(actions))

    def test_read_does_not_leave_its_regions_for_room(self):
        for member in self.router.known_group.members.values():
            member.region = "here" if member.name == "a" else "there"
        self.router.route = attrs.evolve(
            self.router.route, allowed_regions=frozenset({"here"})
        )
        (acquire,) = [
            a for a in self.start(OP.READ) if isinstance(a, statements.Acquire)
        ]
        self.assertEqual("a", acquire.member)
        actions = self.session.on_not_granted(self.failure, NOW)
        self.assertEqual([KIND.QUEUE_FULL], self.kinds(actions))
        self.assertNotIn("no_room", [getattr(a, "reason", None) for a in actions])

    def test_write_is_refused_with_the_time_after_which_room_is_expected(self):
        self.start(OP.WRITE)
        (refusal, *_) = [
            action
            for action in self.session.on_not_granted(self.failure, NOW)
            if isinstance(action, statements.RespondError)
        ]
        self.assertEqual(0.3, refusal.failure.retry_after_s)

    def test_read_is_refused_at_once_without_the_setting(self):
        self.session.tries_other_members = False
        self.start(OP.READ)
        actions = self.session.on_not_granted(self.failure, NOW)
        self.assertEqual([KIND.QUEUE_FULL], self.kinds(actions))

    def test_latency_objective_goes_with_the_request_for_a_connection(self):
        (acquire,) = self.start(OP.READ)
        self.assertEqual(NOW + 0.4, acquire.useful_until)
