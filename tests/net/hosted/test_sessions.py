"""Tests of callers' sessions with a real proxy and fake members."""

import collections
import random
import types

import testtools
from twisted.internet import defer, task, testing

from pomelograde.core import configuration, membership, placement, statements
from pomelograde.net import events, metrics
from pomelograde.net.hosted import proxy
from pomelograde.platform import callers

OWN = membership.Instance("a1", "x", 5, "127.0.0.1", 2, region="a")
GRACE_S = 6.0


class Transport(testing.StringTransport):
    """Transport of a caller's connection.

    Attributes
    ----------
    is_ended : bool
        Whether this side of the connection has been closed.
    """

    is_ended = False

    def setTcpNoDelay(self, enabled):  # noqa: N802
        """Do nothing."""

    def loseWriteConnection(self):  # noqa: N802
        """Record that nothing more is sent."""
        self.is_ended = True


class Upstream:
    """Connection to the primary; the test answers its statements."""

    service = "g"
    member = "p"
    is_remote = is_lost = is_counted = is_closed = False
    on_lost = None
    sent_at = 0.0
    is_sent = True

    def __init__(self, role):
        self.role = role
        self.sent = []
        self.response_handlers = collections.deque()

    def begin(self, read_only, after, settings, done):
        self.sent.append("BEGIN")
        done(statements.Answer(status=b"T"))

    def execute(self, statement, prepared, after, settings, done):
        self.sent.append(statement.text.decode())
        self.response_handlers.append(done)

    def withdraw(self):
        pass

    def roll_back(self, done):
        self.sent.append("ROLLBACK")
        done(statements.Answer())

    def answer(self, status):
        """Answer the oldest statement with success."""
        position = None
        done = self.response_handlers.popleft()
        done(statements.Answer(digest=b"d", status=status, position=position))

    def close(self):
        self.is_closed = self.is_lost = True


class Pool:
    """Pool that opens a connection for each request."""

    def __init__(self):
        self.opened = []
        self.idle = set()

    def try_acquire(self, role, priority=0):
        self.opened.append(Upstream(role))
        return self.opened[-1]

    def release(self, connection):
        pass

    def expire(self, now):
        pass

    def close(self):
        pass


class SessionTestCase(testtools.TestCase):
    """An instance with a primary, and callers with the keys of two accounts."""

    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.clock.advance(100.0)
        self.closing = set()
        self.logged = []
        context = types.SimpleNamespace(
            reactor=self.clock,
            now=self.clock.seconds,
            random=random.Random(1),
            members=types.SimpleNamespace(own=OWN),
            peers=types.SimpleNamespace(handlers={}),
            metrics=metrics.Metrics(),
            log=types.SimpleNamespace(
                write=lambda event, **fields: self.logged.append((event, fields))
            ),
            settings=types.SimpleNamespace(
                rate_excess=0.1,
                rate_slack=20.0,
                host="127.0.0.1",
                data_centre="x",
                grace_s=GRACE_S,
                regions={},
                shares_members=False,
            ),
        )
        freshness = configuration.Freshness(5.0, 1e9, 1e9)
        self.proxy = proxy.Proxy(context, freshness, None)
        self.proxy.rates.try_admit = lambda account, now: True
        self.proxy.relay.set_instances([OWN])
        self.pool = self.proxy.pools["p"] = Pool()
        group = self.proxy.groups["g"] = placement.Group("g")
        group.update([placement.Member("p", "x", role=placement.Role.PRIMARY)], 100.0)
        group.primary_lease_until = 1e9
        self.configure(red={"key-1", "key-2"}, blue={"key-3"})

    def configure(self, **keys):
        """Put a configuration with the keys of each account in force."""
        route = statements.Route("cases", "g", statements.RouteType.PRIMARY, 2.0)
        self.proxy._resize_pools = lambda: None
        self.proxy.set_configuration(
            configuration.FleetConfiguration(
                routes={"cases": route},
                accounts={
                    name: configuration.ClientAccount(
                        name, frozenset(found), 100.0, 100.0
                    )
                    for name, found in keys.items()
                },
            )
        )

    def call(self, key="key-1"):
        """Open a caller's session; returns its protocol."""
        caller = callers.CallerProtocol(
            self.clock,
            self.proxy.open_session,
            self.proxy.record_session_refusal,
            self.closing,
        )
        caller.makeConnection(Transport())
        caller.dataReceived(f"START cases {key}\r\n".encode())
        self.assertEqual(["READY I -"], self.read(caller))
        return caller

    def send(self, caller, *texts):
        """Send statements at once; returns the lines of what has been answered."""
        for number, text in enumerate(texts):
            caller.dataReceived(f"QUERY q{number} {text}\r\n".encode())
        return self.read(caller)

    def read(self, caller):
        """Return the lines that a caller has got since the last call."""
        lines = caller.transport.value().decode().splitlines()
        caller.transport.clear()
        return lines

    def begin(self, caller):
        """Run the first statement of a transaction; returns its connection."""
        self.send(caller, "BEGIN", "WRITE k 1")
        upstream = self.pool.opened[-1]
        upstream.answer(b"T")
        self.assertEqual("READY T -", self.read(caller)[-1])
        return upstream


class StopTests(SessionTestCase):
    """What a planned stop does to transactions and statements in progress.

    Sessions were closed without an answer to statements that members were running.
    """

    def stop_after(self, grace_part):
        self.proxy.begin_stop()
        self.clock.advance(GRACE_S * grace_part)

    def test_transaction_may_end_by_itself(self):
        caller = self.call()
        upstream = self.begin(caller)
        self.stop_after(0.7)
        self.assertEqual([], self.read(caller))
        self.send(caller, "COMMIT")
        upstream.answer(b"I")
        lines = self.read(caller)
        self.assertEqual(["COMPLETE d", "READY I -"], lines[:2])
        self.assertTrue(lines[2].startswith("ERROR RETRY "), lines)

    def test_transaction_between_statements_is_rolled_back_and_its_caller_told(self):
        caller = self.call()
        upstream = self.begin(caller)
        self.stop_after(0.76)
        self.assertEqual("ROLLBACK", upstream.sent[-1])
        (line,) = self.read(caller)
        self.assertTrue(line.startswith("ERROR RETRY "), line)
        # A request that crosses the announcement has its answer with it.
        self.assertEqual(["READY I -"], self.send(caller, "COMMIT"))
        self.assertEqual("ROLLBACK", upstream.sent[-1])

    def test_transaction_without_a_statement_ends_as_well(self):
        caller = self.call()
        self.send(caller, "BEGIN")
        self.stop_after(0.76)
        (line,) = self.read(caller)
        self.assertTrue(line.startswith("ERROR RETRY "), line)
        self.assertEqual([], self.pool.opened)

    def test_statement_of_a_transaction_is_answered_before_the_transaction_ends(self):
        caller = self.call()
        upstream = self.begin(caller)
        self.send(caller, "READ k")
        self.stop_after(0.76)
        self.assertEqual([], self.read(caller))
        upstream.answer(b"T")
        lines = self.read(caller)
        self.assertEqual(["COMPLETE d", "READY T -"], lines[:2])
        self.assertTrue(lines[2].startswith("ERROR RETRY "), lines)
        self.assertEqual("ROLLBACK", upstream.sent[-1])

    def test_commit_that_has_been_received_runs_before_the_transaction_ends(self):
        caller = self.call()
        upstream = self.begin(caller)
        self.send(caller, "READ k", "COMMIT")
        self.stop_after(0.76)
        upstream.answer(b"T")
        self.assertEqual("COMMIT", upstream.sent[-1])

    def stop(self, *texts):
        """Return the answers to statements that run when the process stops."""
        caller = self.call()
        upstream = self.begin(caller) if "COMMIT" in texts else None
        self.send(caller, *texts)
        self.stop_after(0.9)
        self.read(caller)
        self.proxy.stop()
        self.assertTrue(caller.transport.is_ended)
        self.assertTrue((upstream or self.pool.opened[-1]).is_closed)
        return [line.split(" ")[:2] for line in self.read(caller)]

    def test_statement_that_runs_at_the_end_gets_an_error(self):
        answers = self.stop("WRITE k 1")
        self.assertEqual([["ERROR", "INDOUBT"], ["READY", "I"]], answers)

    def test_commit_that_runs_at_the_end_is_in_doubt(self):
        answers = self.stop("COMMIT")
        self.assertEqual([["ERROR", "INDOUBT"], ["READY", "E"]], answers)

    def test_statements_that_wait_at_the_end_are_answered_as_not_run(self):
        answers = self.stop("WRITE k 1", "READ k", "READ l")
        self.assertEqual(
            [["ERROR", "INDOUBT"], ["READY", "I"]]
            + [["ERROR", "RETRY"], ["READY", "I"]] * 2,
            answers,
        )
        self.assertEqual(["WRITE k 1"], self.pool.opened[-1].sent)

    def test_statement_of_a_transaction_that_runs_at_the_end_is_rolled_back(self):
        caller = self.call()
        upstream = self.begin(caller)
        self.send(caller, "READ k")
        self.stop_after(0.9)
        self.proxy.stop()
        lines = self.read(caller)
        self.assertTrue(lines[0].startswith("ERROR ABORTED "), lines)
        self.assertEqual("READY E -", lines[1])
        self.assertTrue(upstream.is_closed)


class IsolationTests(SessionTestCase):
    """A fault of one session, and what the others get."""

    def call_twice(self):
        """Return two callers, each with a statement that waits for its member."""
        found = [self.call(), self.call()]
        for caller in found:
            self.send(caller, "READ k")
        return found

    def count_errors(self, found):
        return sum(
            any("ERROR" in line for line in self.read(caller)) for caller in found
        )

    def test_stop_answers_the_others(self):
        found = self.call_twice()
        next(iter(self.proxy.sessions)).core.on_stopped = lambda: 1 / 0
        self.proxy.stop()
        self.assertEqual(1, self.count_errors(found))

    def test_time_limits_apply_to_the_others(self):
        found = self.call_twice()
        next(iter(self.proxy.timed_sessions)).core.expire = lambda *_: 1 / 0
        self.clock.advance(3.0)
        self.proxy._sweep()
        self.assertEqual(1, self.count_errors(found))


class FatalErrorTests(SessionTestCase):
    """Statements behind one that ends the session had no answer."""

    def wait(self, *texts):
        """Send statements; the first waits for its member. Returns the caller."""
        caller = self.call()
        self.send(caller, *texts)
        return caller

    def answers(self, caller):
        return [line.split(" ")[:2] for line in self.read(caller)]

    def test_statements_behind_a_withdrawn_key_are_answered(self):
        caller = self.wait("READ k", "READ l", "READ m")
        self.configure(red={"key-2"})
        self.pool.opened[-1].answer(b"I")
        self.assertEqual(
            [["COMPLETE", "d"], ["READY", "I"]]
            + [["ERROR", "DENIED"], ["READY", "I"]] * 2,
            self.answers(caller),
        )
        self.assertTrue(caller.transport.is_ended)

    def send_at_once(self, caller, *texts):
        """Send statements in one piece; returns the answers."""
        lines = [f"QUERY q{number} {text}\r\n" for number, text in enumerate(texts)]
        caller.dataReceived("".join(lines).encode())
        return self.answers(caller)

    def test_statements_that_arrive_with_one_that_ends_the_session_are_answered(self):
        caller = self.call()
        self.begin(caller)
        self.configure(red={"key-2"})
        answers = self.send_at_once(caller, "READ k", "WRITE k 2", "COMMIT")
        self.assertEqual([["ERROR", "DENIED"], ["READY", "E"]] * 3, answers)
        self.assertTrue(caller.transport.is_ended)
        self.assertEqual(set(), self.proxy.sessions)

    def test_statements_behind_the_end_that_the_caller_asked_for_are_dropped(self):
        caller = self.call()
        caller.dataReceived(b"TERMINATE\r\nQUERY q1 READ k\r\n")
        self.assertEqual([], self.answers(caller))
        self.assertTrue(caller.transport.is_ended)

    def test_statements_behind_one_that_a_stop_refuses_are_answered(self):
        caller = self.wait("READ k", "READ l", "READ m")
        self.proxy.begin_stop()
        self.clock.advance(GRACE_S * 0.4)
        self.pool.opened[-1].answer(b"I")
        self.assertEqual(
            [["COMPLETE", "d"], ["READY", "I"]]
            + [["ERROR", "RETRY"], ["READY", "I"]] * 2,
            self.answers(caller),
        )
        self.assertTrue(caller.transport.is_ended)


class InvalidInputTests(SessionTestCase):
    """Statements before input that ends the session had no answer.

    The first of them got the error for that input as its answer.
    """

    def answers(self, caller):
        return [line.split(" ")[:2] for line in self.read(caller)]

    def check_answers(self, caller, code, statements_before=2):
        """Answer the statements before the input, and check what the caller got."""
        self.assertEqual([], self.answers(caller))
        self.assertFalse(caller.transport.is_ended)
        for _ in range(statements_before):
            self.pool.opened[-1].answer(b"I")
        self.assertEqual(
            [["COMPLETE", "d"], ["READY", "I"]] * statements_before
            + [["ERROR", code], ["READY", "I"]],
            self.answers(caller),
        )
        self.assertTrue(caller.transport.is_ended)
        self.assertEqual(set(), self.proxy.sessions)

    def test_statements_before_too_many_are_answered(self):
        caller = self.call()
        self.send(caller, *["READ k"] * 70)
        self.check_answers(caller, "MALFORMED", 65)

    def test_statements_before_a_malformed_line_are_answered(self):
        caller = self.call()
        self.send(caller, "READ k", "READ l")
        caller.dataReceived(b"nonsense\r\nQUERY q3 READ m\r\n")
        self.check_answers(caller, "MALFORMED")

    def test_statements_before_a_line_that_is_too_long_are_answered(self):
        caller = self.call()
        self.send(caller, "READ k")
        caller.dataReceived(b"QUERY q1 READ l\r\n" + b"x" * 1_100_000)
        caller.dataReceived(b"\r\nQUERY q2 READ m\r\n")
        self.check_answers(caller, "TOOLARGE")

    def test_line_that_is_too_long_is_answered_in_an_idle_session(self):
        caller = self.call()
        caller.dataReceived(b"x" * 1_100_000)
        self.assertEqual([["ERROR", "TOOLARGE"], ["READY", "I"]], self.answers(caller))
        self.assertTrue(caller.transport.is_ended)
        self.assertEqual(set(), self.proxy.sessions)

    def test_stop_answers_all_in_order(self):
        caller = self.call()
        self.send(caller, "WRITE k 1", "READ k")
        caller.dataReceived(b"nonsense\r\n")
        self.proxy.stop()
        codes = ["INDOUBT", "RETRY", "MALFORMED"]
        expected = [
            part for code in codes for part in (["ERROR", code], ["READY", "I"])
        ]
        self.assertEqual(expected, self.answers(caller))


class CutOffTests(SessionTestCase):
    """What is known of statements that had no answer when their session ended.

    A session that ended wrote no line, so that its reason could not be seen.
    """

    def cut_off(self):
        """Return the fields of the only line about a session that was cut off."""
        (fields,) = (
            fields
            for event, fields in self.logged
            if event is events.Event.SESSION_CUT_OFF
        )
        return fields

    def test_statement_without_an_answer_is_logged_with_the_reason(self):
        caller = self.call()
        self.send(caller, "WRITE k 1", "READ k")
        caller.connectionLost()
        fields = self.cut_off()
        self.assertEqual(("caller", "q0"), (fields["reason"], fields["id"]))
        self.assertEqual((True, 1), (fields["was_sent"], fields["queued"]))

    def test_session_without_a_statement_writes_no_line(self):
        caller = self.call()
        self.begin(caller)
        caller.connectionLost()
        names = [event.name for event, _ in self.logged]
        self.assertNotIn("SESSION_CUT_OFF", names)

    def test_sessions_and_statements_that_a_stop_ends_are_counted(self):
        self.send(self.call(), "WRITE k 1", "READ k")
        self.call()
        self.proxy.stop()
        self.assertEqual(2, self.proxy.stopped_sessions)
        self.assertEqual(2, self.proxy.stopped_statements)
        self.assertEqual(2, len(self.closing))
        for caller in list(self.closing):
            caller.connectionLost()
        self.assertEqual(set(), self.closing)


class MovedKeyTests(SessionTestCase):
    """What a session does once its key belongs to another client account.

    Its statements went on under the account that had the key when it was opened.
    """

    def setUp(self):
        super().setUp()
        self.admitted = []
        self.refunded = []
        rates = self.proxy.rates
        rates.try_admit = lambda account, now: self.admitted.append(account) or True
        rates.refund = self.refunded.append
        self.caller = self.call("key-2")

    def move_key(self):
        self.configure(red={"key-1"}, blue={"key-2", "key-3"})

    def run_statement(self, text):
        """Run a statement outside a transaction; returns its account and answer."""
        self.send(self.caller, text)
        upstream = self.pool.opened[-1]
        upstream.answer(b"I")
        return upstream.role, self.read(self.caller)

    def test_next_operation_runs_under_the_new_account(self):
        served = ["COMPLETE d", "READY I -"]
        self.assertEqual(("red", served), self.run_statement("WRITE k 1"))
        self.move_key()
        self.assertEqual([], self.read(self.caller))
        self.assertEqual(("blue", served), self.run_statement("WRITE k 2"))
        self.assertEqual(["red", "blue"], self.admitted)

    def test_key_that_moves_back_runs_under_its_first_account_again(self):
        self.move_key()
        self.assertEqual("blue", self.run_statement("READ k")[0])
        self.configure(red={"key-1", "key-2"}, blue={"key-3"})
        self.assertEqual("red", self.run_statement("READ k")[0])

    def test_open_transaction_is_rolled_back_and_the_next_one_is_of_the_account(self):
        for text in ("WRITE k 2", "READ k", "COMMIT"):
            self.configure(red={"key-1", "key-2"}, blue={"key-3"})
            upstream = self.begin(self.caller)
            self.assertEqual("red", upstream.role)
            self.move_key()
            lines = self.send(self.caller, text)
            self.assertTrue(lines[0].startswith("ERROR ABORTED "), lines)
            self.assertEqual("READY E -", lines[1])
            self.assertEqual(["BEGIN", "WRITE k 1", "ROLLBACK"], upstream.sent)
            self.assertEqual("READY I -", self.send(self.caller, "ROLLBACK")[-1])
            self.assertEqual("blue", self.begin(self.caller).role)
            self.send(self.caller, "ROLLBACK")

    def test_transaction_without_a_statement_may_not_go_on_under_the_old_account(self):
        self.send(self.caller, "BEGIN")
        self.move_key()
        lines = self.send(self.caller, "WRITE k 1")
        self.assertTrue(lines[0].startswith("ERROR ABORTED "), lines)
        self.assertEqual([], self.pool.opened)

    def test_statements_after_a_refused_one_do_not_run_outside_the_transaction(self):
        self.begin(self.caller)
        self.move_key()
        lines = self.send(self.caller, "WRITE k 2", "WRITE k 3", "COMMIT", "READ k")
        self.assertEqual(["READY E -"] * 4, lines[1::2])
        errors = [line.split(" ")[1] for line in lines[::2]]
        self.assertEqual(["ABORTED", "MALFORMED", "MALFORMED", "MALFORMED"], errors)
        self.assertEqual(1, len(self.pool.opened))

    def test_session_keeps_its_settings_and_prepared_statements(self):
        self.send(self.caller, "SET zone one", "PARSE s WRITE q1")
        self.move_key()
        role, lines = self.run_statement("EXECUTE s k 1")
        self.assertEqual(("blue", "COMPLETE d"), (role, lines[0]))

    def test_late_admission_is_refunded_to_the_account_that_it_was_for(self):
        (session,) = self.proxy.sessions
        waiting = defer.Deferred()
        self.proxy.rates.try_admit = lambda account, now: False
        self.proxy.rates.admit = lambda account, *_: waiting
        self.send(self.caller, "READ k")
        self.clock.advance(2.1)
        session.sweep(self.clock.seconds(), 3.0)
        self.move_key()
        self.proxy.rates.try_admit = lambda account, now: True
        self.run_statement("READ k")
        waiting.callback(None)
        self.assertEqual(["red"], self.refunded)
