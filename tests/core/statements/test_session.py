"""Tests of a statement's way."""

import testtools

from pomelograde.core import placement, retries, sessions, statements

KIND = retries.ErrorKind
OP = statements.Operation
ERROR = statements.UpstreamError
POSITION = sessions.Position
NOW = 10.0


class Gate:
    """A route and a group, as an instance would give them."""

    def __init__(self, route_type):
        self.route = statements.Route("db", "g", route_type, 0.8, 0.4, 1, 1.5)
        self.failure = None
        self.found = placement.Group("g")
        self.found.update(
            [
                placement.Member("p", "there", role=placement.Role.PRIMARY),
                placement.Member("a", "here"),
                placement.Member("b", "there"),
            ],
            0.0,
        )
        self.found.primary_usable_until = 100.0
        self.found.on_position("p", POSITION(1, 7), NOW - 0.5)

    def resolve(self, now):
        return self.failure or self.route

    def check(self, now):
        return self.failure

    def group(self, service):
        return self.found


class SessionTests(testtools.TestCase):
    route_type = statements.RouteType.READ_YOUR_WRITES

    def setUp(self):
        super().setUp()
        self.gate = Gate(self.route_type)
        self.session = statements.Session("desk", "here", self.gate)

    def statement(self, operation, **fields):
        return statements.Statement(b"q1", operation, b"text", **fields)

    def start(self, operation, now=NOW, **fields):
        """Send a statement and let the rate admit it; returns the actions."""
        actions = self.session.on_statement(self.statement(operation, **fields), now)
        if actions and isinstance(actions[0], statements.Admit):
            actions = self.session.on_admitted(now)
        return actions

    def connect(self, actions, now=NOW):
        """Give the connection asked for; returns the member and the next action."""
        (acquire,) = [a for a in actions if isinstance(a, statements.Acquire)]
        (action,) = self.session.on_connection(f"to {acquire.member}", now)
        return acquire.member, action

    def answer(self, now=NOW, **fields):
        fields.setdefault("digest", None if fields.get("error") else b"d")
        return self.session.on_answer(statements.Answer(**fields), now)

    def begin(self, operation=OP.BEGIN):
        """Open a transaction on a member by a first read; returns the member."""
        self.start(operation)
        member, action = self.connect(self.start(OP.READ))
        self.assertIsInstance(action, statements.Begin)
        (execute,) = self.answer(status=b"T")
        self.assertIsInstance(execute, statements.Execute)
        self.answer(status=b"T")
        return member

    def kinds(self, actions):
        return [a.failure.kind for a in actions if isinstance(a, statements.Refuse)]


class PlacementTests(SessionTests):
    def test_read_goes_to_the_near_replica_with_the_floor_in_front(self):
        member, action = self.connect(self.start(OP.READ))
        self.assertEqual(("a", POSITION(1, 7)), (member, action.after))

    def test_write_goes_to_the_primary(self):
        member, action = self.connect(self.start(OP.WRITE))
        self.assertEqual(("p", None), (member, action.after))

    def test_read_after_the_own_write_asks_for_its_position(self):
        self.connect(self.start(OP.WRITE))
        self.answer(position=POSITION(1, 9))
        _, action = self.connect(self.start(OP.READ))
        self.assertEqual(POSITION(1, 9), action.after)

    def test_read_goes_to_the_primary_when_nothing_proves_the_age(self):
        later = NOW + 5.0
        member, _ = self.connect(self.start(OP.READ, later), later)
        self.assertEqual("p", member)

    def test_prepared_write_goes_to_the_primary(self):
        self.start(OP.PREPARE, name=b"s", value=b"q", writes=True)
        member, action = self.connect(self.start(OP.EXECUTE, name=b"s"))
        self.assertEqual("p", member)
        self.assertEqual(statements.Prepared(b"q", True), action.prepared)

    def test_unknown_prepared_statement_is_refused_here(self):
        self.assertEqual(
            [KIND.UNKNOWN_STATEMENT], self.kinds(self.start(OP.EXECUTE, name=b"s"))
        )

    def test_connection_that_comes_after_the_right_has_ended_is_not_used(self):
        actions = self.start(OP.WRITE)
        self.assertIsInstance(actions[0], statements.Acquire)
        self.gate.found.primary_usable_until = NOW
        first, *rest = self.session.on_connection("to p", NOW)
        self.assertIsInstance(first, statements.Release)
        self.assertIsInstance(rest[0], statements.StartTimer)


class RefusalTests(SessionTests):
    def test_statement_without_a_primary_is_given_up_after_a_part_of_its_objective(
        self,
    ):
        self.gate.found.primary_usable_until = 0.0
        (wake,) = self.start(OP.WRITE)
        self.assertIsInstance(wake, statements.StartTimer)
        self.assertIsInstance(
            self.session.on_timer(NOW + 0.09)[0], statements.StartTimer
        )
        self.assertEqual(
            [KIND.NO_PRIMARY], self.kinds(self.session.on_timer(NOW + 0.11))
        )

    def test_wait_for_the_rate_is_a_part_of_the_objective(self):
        (admit,) = self.session.on_statement(self.statement(OP.READ), NOW)
        self.assertEqual((0.1, 1), (admit.max_wait_s, admit.priority))

    def test_failure_of_the_gate_is_the_answer(self):
        self.gate.failure = retries.Failure(KIND.KEY_WITHDRAWN)
        refuse, close = self.start(OP.READ)
        self.assertEqual([KIND.KEY_WITHDRAWN], self.kinds([refuse]))
        self.assertIsInstance(close, statements.Close)

    def test_key_withdrawn_inside_a_transaction_rolls_it_back(self):
        self.begin()
        self.gate.failure = retries.Failure(KIND.KEY_WITHDRAWN)
        actions = self.start(OP.READ)
        self.assertIsInstance(actions[0], statements.Abandon)
        self.assertEqual([KIND.KEY_WITHDRAWN], self.kinds(actions))

    def test_what_was_never_sent_is_refused_as_not_run(self):
        self.start(OP.WRITE)
        actions = self.session.expire(NOW + 0.9, 3.0)
        self.assertEqual([KIND.DEADLINE_BEFORE_RUN], self.kinds(actions))
        self.assertIsInstance(actions[0], statements.CancelAcquire)


class RateTests(SessionTests):
    def give_backs(self, actions):
        return [a for a in actions if isinstance(a, statements.RefundRate)]

    def test_what_never_ran_gives_its_part_of_the_rate_back(self):
        self.gate.found.primary_usable_until = 0.0
        self.start(OP.WRITE)
        actions = self.session.on_timer(NOW + 0.11)
        self.assertEqual(1, len(self.give_backs(actions)))

    def test_what_was_sent_does_not(self):
        self.connect(self.start(OP.WRITE))
        self.assertEqual([], self.give_backs(self.session.expire(NOW + 0.9, 3.0)))

    def test_what_was_not_admitted_has_nothing_to_give_back(self):
        self.session.on_statement(self.statement(OP.READ), NOW)
        failure = retries.Failure(KIND.RATE_EXCEEDED)
        self.assertEqual([], self.give_backs(self.session.on_refused(failure, NOW)))

    def test_transaction_that_has_run_does_not(self):
        self.begin()
        self.gate.found.primary_usable_until = NOW
        self.assertEqual([], self.give_backs(self.start(OP.READ)))


class RetryTests(SessionTests):
    def test_lagging_replica_is_passed_over(self):
        self.connect(self.start(OP.READ))
        actions = self.answer(error=ERROR.BEHIND)
        self.assertIsInstance(actions[0], statements.Release)
        self.assertEqual("b", actions[-1].member)

    def test_busy_primary_is_asked_again(self):
        self.connect(self.start(OP.WRITE))
        self.assertIsInstance(self.answer(error=ERROR.BUSY)[-1], statements.StartTimer)
        self.session.on_timer(NOW + 0.02)
        member, _ = self.connect(self.session.on_timer(NOW + 0.03), NOW + 0.03)
        self.assertEqual("p", member)

    def test_lost_read_runs_elsewhere(self):
        self.connect(self.start(OP.READ))
        actions = self.session.on_connection_lost(NOW)
        self.assertEqual("b", actions[-1].member)

    def test_lost_write_is_in_doubt_and_not_sent_again(self):
        self.connect(self.start(OP.WRITE))
        actions = self.session.on_connection_lost(NOW)
        self.assertEqual([KIND.UPSTREAM_LOST], self.kinds(actions))

    def test_write_without_an_answer_is_in_doubt_at_its_deadline(self):
        self.connect(self.start(OP.WRITE))
        actions = self.session.expire(NOW + 0.9, 3.0)
        self.assertEqual([KIND.DEADLINE_AFTER_SEND], self.kinds(actions))
        self.assertIsInstance(actions[0], statements.Discard)

    def test_failed_read_runs_once_more_elsewhere(self):
        self.connect(self.start(OP.READ))
        self.connect(self.answer(error=ERROR.FAILED))
        actions = self.answer(error=ERROR.FAILED)
        self.assertEqual([KIND.UPSTREAM_FAILED], self.kinds(actions))

    def test_failed_write_is_not_sent_again(self):
        self.connect(self.start(OP.WRITE))
        actions = self.answer(error=ERROR.FAILED)
        self.assertEqual([KIND.UPSTREAM_FAILED], self.kinds(actions))

    def test_write_acknowledged_after_the_right_has_ended_is_in_doubt(self):
        self.connect(self.start(OP.WRITE))
        self.gate.found.primary_usable_until = NOW
        actions = self.answer(position=POSITION(1, 9))
        self.assertEqual([KIND.ACKNOWLEDGEMENT_LOST], self.kinds(actions))

    def test_what_the_keeper_did_not_send_counts_as_not_run(self):
        self.connect(self.start(OP.WRITE))
        failure = retries.Failure(KIND.QUEUE_FULL)
        actions = self.session.on_not_sent(failure, NOW)
        self.assertEqual([KIND.QUEUE_FULL], self.kinds(actions))


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

    def test_begin_that_did_not_run_is_tried_elsewhere(self):
        self.start(OP.BEGIN_READ_ONLY)
        self.connect(self.start(OP.READ))
        actions = self.answer(error=ERROR.BEHIND)
        member, action = self.connect(actions)
        self.assertEqual("b", member)
        self.assertIsInstance(action, statements.Begin)

    def test_commit_moves_the_session_and_frees_the_connection(self):
        self.begin()
        self.start(OP.COMMIT)
        release, respond = self.answer(status=b"I", position=POSITION(1, 12))
        self.assertIsInstance(release, statements.Release)
        self.assertEqual(b"I", respond.status)
        self.assertEqual(POSITION(1, 12), self.session.written)

    def test_lost_transaction_is_aborted_and_waits_for_its_end(self):
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

    def test_resting_transaction_gives_its_connection_back(self):
        self.begin()
        self.assertEqual([], self.session.expire(NOW + 2.9, 3.0))
        (abandon,) = self.session.expire(NOW + 3.1, 3.0)
        self.assertTrue(abandon.in_transaction)
        self.assertEqual([KIND.TRANSACTION_ABORTED], self.kinds(self.start(OP.READ)))

    def test_rollback_is_answered_at_once(self):
        self.begin()
        abandon, respond = self.start(OP.ROLLBACK)
        self.assertTrue(abandon.in_transaction)
        self.assertEqual(b"I", respond.status)

    def test_caller_that_leaves_has_its_transaction_rolled_back(self):
        self.begin()
        (abandon,) = self.session.on_closed()
        self.assertTrue(abandon.in_transaction)

    def test_transaction_control_in_the_wrong_place_is_refused(self):
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

    def test_transaction_ends_with_the_right_to_its_primary(self):
        self.begin()
        self.gate.found.primary_usable_until = NOW
        actions = self.start(OP.READ)
        self.assertEqual([KIND.TRANSACTION_LOST], self.kinds(actions))
        self.assertIsInstance(actions[0], statements.Discard)
