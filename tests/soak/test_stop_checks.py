"""Tests of the checks around stops: each reports the violation it looks for."""

import attrs
import testtools

from soak import clients, stop_checks, stops

REQUEST = clients.Request(
    request_id="c1.4.1",
    text="READ k",
    operation="c1.4",
    in_transaction=False,
    database="meters",
    key="key-a",
    settings={"zone": "1"},
    instance=2,
    connected_at=98.0,
    sent_at=100.0,
    lines=["DATAROW 1", "COMPLETE d.1", "READY I 1.1"],
    end=clients.ANSWERED,
    ended_at=100.1,
)
CUT_OFF = attrs.evolve(REQUEST, lines=[], end=clients.CLOSED, ended_at=100.3)
EXECUTION = {
    "arrived_at": 100.0,
    "connection": 7,
    "account": "depot",
    "request_id": "c1.4.1",
    "text": "READ k",
    "transaction": 0,
    "settings": {"zone": "1"},
    "written": 0,
    "ran_at": 100.05,
}
CONFIGURATION = stops.Configuration(
    {"key-a": "depot"}, ["meters"], put_at=90.0, acknowledged_at=90.1
)


class StopCheckTestCase(testtools.TestCase):
    def check(
        self,
        requests=(REQUEST,),
        executions=(EXECUTION,),
        configurations=(CONFIGURATION,),
        endings=(),
        delays=(),
    ):
        """Return the guarantees that did not hold."""
        found = stop_checks.check(
            requests, {"i-a": list(executions)}, configurations, endings, delays
        )
        return [violation.guarantee for violation in found]


class AnswerTests(StopCheckTestCase):
    broken = ("requests are answered",)

    def test_answered_request_is_accepted(self):
        self.assertEqual([], self.check())

    def test_request_that_reached_a_member_and_has_no_whole_answer(self):
        found = attrs.evolve(CUT_OFF, ended_at=100.01)
        self.assertEqual([*self.broken], self.check([found]))
        arrived = {**EXECUTION, "ran_at": None}
        self.assertEqual([*self.broken], self.check([found], [arrived]))

    def test_request_that_was_not_passed_on_may_have_been_read_after_its_slack(self):
        self.assertEqual([*self.broken], self.check([CUT_OFF], []))
        found = attrs.evolve(CUT_OFF, ended_at=100.19)
        self.assertEqual([], self.check([found], []))

    def test_request_that_its_client_gave_up_is_accepted(self):
        found = attrs.evolve(CUT_OFF, end=clients.LEFT)
        self.assertEqual([], self.check([found]))

    def test_process_that_is_killed_may_cut_off_its_own_requests(self):
        for instance, at, name, expected in (
            (2, 100.25, "SIGKILL", []),
            (2, 100.25, "SIGTERM", [*self.broken]),
            (2, 100.25, stops.LATE_KILL, [*self.broken]),
            (3, 100.25, "SIGKILL", [*self.broken]),
            (2, 97.0, "SIGKILL", [*self.broken]),
            (2, 101.0, "SIGKILL", [*self.broken]),
        ):
            code = 0 if name == "SIGTERM" else -9
            ending = stops.Ending(instance, True, True, [(at, name)], code, at)
            self.assertEqual(expected, self.check([CUT_OFF], endings=[ending]))

    def test_time_in_which_the_clients_or_the_instance_waited_does_not_count(self):
        for number in (None, 2):
            waited = [(number, 100.1, 100.5)]
            self.assertEqual([], self.check([CUT_OFF], [], delays=waited))
            self.assertEqual([*self.broken], self.check([CUT_OFF], delays=waited))
        late = [(None, 99.0, 99.9), (None, 100.1, 100.15), (None, 101.0, 102.0)]
        self.assertEqual([*self.broken], self.check([CUT_OFF], [], delays=late))
        other = [(3, 100.1, 100.5)]
        self.assertEqual([*self.broken], self.check([CUT_OFF], [], delays=other))

    def test_request_that_was_sent_just_before_a_late_kill_may_not_have_been_read(self):
        ending = stops.Ending(2, True, True, [(100.1, stops.LATE_KILL)], -9, 100.2)
        self.assertEqual([], self.check([CUT_OFF], [], endings=[ending]))

    def test_request_without_an_answer_or_an_end(self):
        found = attrs.evolve(CUT_OFF, end=clients.SILENT, ended_at=108.0)
        self.assertEqual(["requests end in time"], self.check([found]))


class EndingTests(StopCheckTestCase):
    def check_ending(self, code, *names, has_started=True, has_stopped=True):
        signals = [(100.0 + number, name) for number, name in enumerate(names)]
        ending = stops.Ending(1, has_started, has_stopped, signals, code, 105.0)
        return self.check([], [], endings=[ending])

    def test_process_that_ends_as_asked(self):
        self.assertEqual([], self.check_ending(0, "SIGTERM"))
        self.assertEqual([], self.check_ending(0, "SIGHUP", "SIGTERM", "SIGTERM"))
        self.assertEqual([], self.check_ending(-9, "SIGTERM", "SIGKILL"))
        self.assertEqual([], self.check_ending(-9, "SIGTERM", stops.LATE_KILL))
        self.assertEqual([], self.check_ending(-15, "SIGTERM", has_started=False))

    def test_second_signal_after_the_end_of_the_work(self):
        twice = ("SIGTERM", "SIGTERM")
        self.assertEqual([], self.check_ending(-15, *twice))
        self.assertEqual(
            ["processes end as asked"],
            self.check_ending(-15, *twice, has_stopped=False),
        )

    def test_process_that_ends_otherwise(self):
        broken = ["processes end as asked"]
        self.assertEqual(broken, self.check_ending(1, "SIGTERM"))
        self.assertEqual(broken, self.check_ending(-15, "SIGTERM"))
        self.assertEqual(broken, self.check_ending(-9, "SIGTERM"))
        self.assertEqual(broken, self.check_ending(-1, "SIGHUP"))
        self.assertEqual(broken, self.check_ending(0))


class StatementTests(StopCheckTestCase):
    def check_execution(self, **changes):
        return self.check(executions=[{**EXECUTION, **changes}])

    def test_statement_that_no_client_sent_or_with_another_text(self):
        broken = ["statements are a client's"]
        self.assertEqual(broken, self.check_execution(request_id="c1.4.2"))
        self.assertEqual(broken, self.check_execution(text="READ l"))
        self.assertEqual([], self.check_execution(request_id="check0-1-1"))

    def test_commit_that_no_client_asked_for(self):
        commit = {"request_id": "-", "text": "COMMIT", "transaction": 1}
        self.assertEqual([], self.check_execution(**commit))
        self.assertEqual(
            ["statements are a client's"], self.check_execution(**commit, written=1)
        )

    def test_other_settings(self):
        self.assertEqual(
            ["sessions keep their settings"], self.check_execution(settings={})
        )

    def test_account_without_the_key(self):
        moved = attrs.evolve(CONFIGURATION, accounts={"key-a": "audit"})
        for replaced_at, expected in (
            (95.1, []),
            (94.9, ["statements run for the key's account"]),
        ):
            old = attrs.evolve(CONFIGURATION, replaced_at=replaced_at)
            self.assertEqual(expected, self.check(configurations=[old, moved]))

    def test_database_that_was_removed(self):
        removed = attrs.evolve(CONFIGURATION, databases=[])
        for replaced_at, expected in (
            (95.1, []),
            (94.9, ["removed databases get nothing"]),
        ):
            old = attrs.evolve(CONFIGURATION, replaced_at=replaced_at)
            self.assertEqual(expected, self.check(configurations=[old, removed]))


class TransactionTests(StopCheckTestCase):
    broken = ("statements stay in their transaction",)

    def check_places(self, *places):
        """Check runs given by request id, connection, transaction and time."""
        requests = [
            attrs.evolve(
                REQUEST,
                request_id=name,
                operation=name.rpartition(".")[0],
                in_transaction=True,
            )
            for name in {place[0] for place in places}
        ]
        executions = [
            {
                **EXECUTION,
                "request_id": name,
                "connection": connection,
                "transaction": transaction,
                "ran_at": ran_at,
            }
            for name, connection, transaction, ran_at in places
        ]
        return self.check(requests, executions)

    def test_transaction_at_one_place(self):
        places = [("c1.4.2", 7, 1, 101.0), ("c1.4.3", 7, 1, 102.0)]
        other = ("c2.1.2", 7, 2, 103.0)
        self.assertEqual([], self.check_places(*places, other))

    def test_first_statement_may_be_repeated_where_the_transaction_begins(self):
        places = [("c1.4.2", 6, 4, 101.0), ("c1.4.2", 7, 1, 102.0)]
        rest = ("c1.4.3", 7, 1, 103.0)
        self.assertEqual([], self.check_places(*places, rest))

    def test_statements_at_two_places(self):
        first = ("c1.4.2", 7, 1, 101.0)
        for place in ((8, 1), (7, 2)):
            found = self.check_places(first, ("c1.4.3", *place, 102.0))
            self.assertEqual([*self.broken], found)

    def test_statement_in_the_transaction_of_another_client(self):
        found = self.check_places(("c1.4.2", 7, 1, 101.0), ("c2.1.2", 7, 1, 102.0))
        self.assertEqual([*self.broken], found)

    def test_statement_outside_its_transaction(self):
        self.assertEqual([*self.broken], self.check_places(("c1.4.2", 7, 0, 101.0)))

    def test_statement_in_a_transaction_that_its_client_has_not_opened(self):
        found = self.check(executions=[{**EXECUTION, "transaction": 3}])
        self.assertEqual([*self.broken], found)
