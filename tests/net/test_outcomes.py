"""Tests of statement outcomes with and without faults, against real processes."""

import pathlib
import threading
import time
import urllib.request

import psycopg
import pytest
import testtools
from testtools import matchers

from pomelograde.standins import http, processes
from tests import fleets

INSERT = "INSERT INTO readings (meter, kwh) VALUES (%s, 1)"
COUNT = "SELECT count(*) AS n FROM readings WHERE meter = %s"
MEMBERS = tuple(f"{fleets.SERVICE}-{place}" for place in fleets.DATA_CENTRES)
OTHER_ACCOUNT = "bollette-legal"
WIDE_ROWS = 400
WIDE_BYTES = 100_000
MAX_GROWTH_BYTES = 16_000_000


class OutcomeTestCase(testtools.TestCase):
    lag_s = 0.02

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.running = fleets.run_fleet(lag_s=cls.lag_s)
        cls.fleet = cls.running.__enter__()

    @classmethod
    def tearDownClass(cls):
        cls.running.__exit__(None, None, None)
        super().tearDownClass()

    def connect(self, number=0, **options):
        connection = self.fleet.connect(number, **options)
        self.addCleanup(connection.close)
        return connection

    def count(self, meter, number=0):
        return self.connect(number).execute(COUNT, (meter,)).fetchone()[0]

    def metric(self, name, label, number=0):
        port = self.fleet.port(number, "metrics")
        url = f"http://127.0.0.1:{port}/metrics"
        with urllib.request.urlopen(url, timeout=5) as answer:
            text = answer.read().decode("utf-8")
        for line in text.splitlines():
            if line.startswith(name) and f'"{label}"' in line:
                return float(line.split()[-1])
        return 0.0


@pytest.mark.xdist_group("pipelines")
class PipelineTests(OutcomeTestCase):
    def test_flush_before_sync_answers_a_write_and_sync_commits_it(self):
        connection = self.connect()
        with connection.pipeline():
            first = connection.execute(INSERT + " RETURNING meter", ("flush",))
            self.assertEqual(("flush",), first.fetchone())
            second = connection.execute(INSERT + " RETURNING meter", ("flush",))
            self.assertEqual(("flush",), second.fetchone())
        self.assertEqual(2, self.count("flush", 1))

    def test_error_after_flush_rolls_back_to_the_last_sync(self):
        connection = self.connect()
        with self.assertRaises(psycopg.Error), connection.pipeline():
            connection.execute(INSERT + " RETURNING meter", ("undone",)).fetchone()
            connection.execute("INSERT INTO nowhere VALUES (1)").fetchone()
        self.assertEqual(0, self.count("undone", 1))
        self.assertEqual((1,), connection.execute("SELECT 1 AS n").fetchone())

    def test_pipelined_transaction_is_atomic(self):
        connection = self.connect()
        with connection.pipeline(), connection.transaction():
            for _ in range(20):
                connection.execute(INSERT, ("piped",))
        self.assertEqual(20, self.count("piped", 1))

    def test_multi_statement_query_is_atomic(self):
        connection = self.connect()
        text = "INSERT INTO readings (meter, kwh) VALUES ('text', 1)"
        connection.execute(f"BEGIN; {text}; {text}; COMMIT")
        self.assertEqual(2, self.count("text", 1))
        self.assertRaises(
            psycopg.Error, connection.execute, f"{text}; INSERT INTO nowhere VALUES (1)"
        )
        self.assertEqual(2, self.count("text", 1))

    def test_transaction_is_rolled_back_when_its_instance_is_killed(self):
        number = self.fleet.add_daemon(fleets.DATA_CENTRES[0])
        self.fleet.wait()
        connection = psycopg.connect(self.fleet.dsn(number))
        connection.execute(INSERT, ("dead",))
        self.fleet.daemons[number].kill()
        self.assertRaises(psycopg.OperationalError, connection.execute, COUNT, ("a",))
        self.assertEqual(0, self.count("dead"))

    def test_settings_apply_to_their_session_only(self):
        first, second = self.connect(), self.connect()
        first.execute("SET app.place TO 'Enna'")
        for _ in range(6):
            self.assertEqual(("Enna",), first.execute("SHOW app.place").fetchone())
            self.assertEqual(("",), second.execute("SHOW app.place").fetchone())
        first.execute("BEGIN; SET app.place TO 'Gela'")
        first.execute("ROLLBACK")
        self.assertEqual(("Enna",), first.execute("SHOW app.place").fetchone())
        first.execute("DISCARD ALL")
        self.assertEqual(("",), first.execute("SHOW app.place").fetchone())

    def test_read_only_transaction_runs_on_a_replica(self):
        connection = self.connect()
        self.count("warm up")
        before = self.metric("pomelograde_reads", "replica")
        connection.execute("BEGIN READ ONLY")
        connection.execute(COUNT, ("a",))
        connection.execute("COMMIT")
        self.assertEqual(before + 1, self.metric("pomelograde_reads", "replica"))

    def test_answers_wait_for_a_caller_that_reads_slowly(self):
        connection = self.connect(deadline="30s")
        wide = "x" * WIDE_BYTES
        for _ in range(WIDE_ROWS // 50):
            with connection.pipeline():
                for _ in range(50):
                    connection.execute(
                        "INSERT INTO readings (meter, kwh, adviser) "
                        "VALUES ('wide', 1, %s)",
                        (wide,),
                    )
        before = self.resident_bytes()
        connection.pgconn.send_query(
            b"SELECT adviser FROM readings WHERE meter = 'wide'"
        )
        connection.pgconn.flush()
        time.sleep(1.0)
        self.assertLess(self.resident_bytes() - before, MAX_GROWTH_BYTES)
        connection.pgconn.set_single_row_mode()
        rows = 0
        while (found := connection.pgconn.get_result()) is not None:
            rows += found.ntuples
        self.assertEqual(WIDE_ROWS, rows)

    def resident_bytes(self):
        status = pathlib.Path(f"/proc/{self.fleet.daemons[0].pid}/status").read_text()
        (line,) = [one for one in status.splitlines() if one.startswith("VmRSS")]
        return int(line.split()[1]) * 1024


class FaultTestCase(OutcomeTestCase):
    def setUp(self):
        super().setUp()
        self.addCleanup(self.clear_faults)

    def clear_faults(self):
        faults = {
            "killed": False,
            "paused": False,
            "cut_members": [],
            "cut_hosts": [],
        }
        change = {"faults": faults, "service_s": 0.0, "lag_s": self.lag_s}
        for member in MEMBERS:
            self.fleet.change_member(member, **change)

    def primary(self):
        return self.show_primary()["name"]

    def show_primary(self):
        described = http.send("GET", f"{self.fleet.members_url}/members")
        members = described["groups"][fleets.SERVICE]
        leading = [one for one in members if one["role"] == "primary"]
        return max(leading, key=lambda one: one["term"])

    def count_statements(self):
        """Return how many statements the primary has started to run."""
        return self.show_primary()["statements"]

    def kill_primary_after_statement(self, count):
        """Kill the primary once it has started more statements than `count`."""
        give_up_at = time.monotonic() + 2.0
        while self.count_statements() <= count and time.monotonic() < give_up_at:
            time.sleep(0.01)
        self.inject_faults(killed=True)

    def inject_faults(self, **faults):
        self.fleet.change_member(self.primary(), faults=faults)


@pytest.mark.xdist_group("outcomes")
class FaultTests(FaultTestCase):
    def detail(self, connection, *arguments):
        error = self.assertRaises(psycopg.Error, connection.execute, *arguments)
        return error.sqlstate, error.diag.message_detail

    def test_write_without_a_majority_has_an_unknown_outcome(self):
        connection = self.connect(deadline="700ms")
        connection.execute(INSERT, ("cut",))
        self.inject_faults(cut_members=list(MEMBERS))
        _, detail = self.detail(connection, INSERT, ("cut",))
        self.assertEqual("outcome unknown", detail)

    def test_write_in_flight_is_not_retried_after_connection_loss(self):
        connection = self.connect(deadline="3s")
        connection.execute(INSERT, ("lost",))
        self.fleet.change_member(self.primary(), service_s=2.0)
        fault = threading.Thread(
            target=self.kill_primary_after_statement, args=(self.count_statements(),)
        )
        fault.start()
        self.addCleanup(fault.join)
        state, detail = self.detail(connection, INSERT, ("lost",))
        self.assertEqual(("08007", "outcome unknown"), (state, detail))
        self.clear_faults()
        self.assertEqual(1, self.count("lost", 1))

    def test_statements_after_a_lost_transaction_are_refused_until_rollback(self):
        connection = self.connect(deadline="3s")
        connection.execute("BEGIN")
        connection.execute(INSERT, ("half",))
        self.inject_faults(killed=True)
        self.assertEqual("40000", self.detail(connection, INSERT, ("half",))[0])
        self.clear_faults()
        self.assertEqual("25P02", self.detail(connection, INSERT, ("half",))[0])
        connection.execute("ROLLBACK")
        connection.execute(INSERT, ("half",))
        self.assertEqual(1, self.count("half", 1))

    def test_refusal_states_when_to_retry(self):
        connection = self.connect(deadline="300ms")
        connection.execute(INSERT, ("hint",))
        for member in MEMBERS:
            self.fleet.change_member(member, faults={"killed": True})
        error = self.assertRaises(psycopg.Error, connection.execute, INSERT, ("hint",))
        self.assertEqual("not run", error.diag.message_detail)
        self.assertThat(error.diag.message_hint, matchers.StartsWith("Retry after"))

    def test_idempotency_key_replays_the_answer_through_another_instance(self):
        text = INSERT + " RETURNING id, meter"
        first = self.connect(0, idempotency_key="key-1", deadline="9s")
        row = first.execute(text, ("keyed",)).fetchone()
        again = self.connect(1, idempotency_key="key-1", deadline="9s")
        cursor = again.execute(text, ("keyed",))
        self.assertEqual((row, "INSERT 0 1"), (cursor.fetchone(), cursor.statusmessage))
        self.assertEqual(1, self.count("keyed"))
        reused = self.connect(1, idempotency_key="key-1", deadline="9s")
        state, detail = self.detail(reused, INSERT, ("another",))
        self.assertEqual(("22023", "not run"), (state, detail))
        others = self.fleet.dsn(0, OTHER_ACCOUNT, idempotency_key="key-1")
        with psycopg.connect(others, autocommit=True) as other:
            self.assertNotEqual(row, other.execute(text, ("keyed",)).fetchone())

    def test_idempotent_write_is_retried_after_connection_loss(self):
        connection = self.connect(idempotency_key="key-2", deadline="9s")
        self.fleet.change_member(self.primary(), service_s=0.3)
        fault_timer = threading.Timer(0.5, self.inject_faults, kwargs={"killed": True})
        recovery = threading.Timer(1.5, self.clear_faults)
        for timer in (fault_timer, recovery):
            timer.start()
            self.addCleanup(timer.join)
        connection.execute(INSERT, ("survivor",))
        self.assertEqual(1, self.count("survivor", 1))

    def test_concurrent_writes_with_one_idempotency_key_run_once(self):
        self.fleet.change_member(self.primary(), service_s=0.1)
        rows = []

        def write(number):
            with self.fleet.connect(
                number % 2, idempotency_key="key-3", deadline="9s"
            ) as connection:
                found = connection.execute(INSERT + " RETURNING id", ("race",))
                rows.append(found.fetchone())

        threads = [threading.Thread(target=write, args=(n,)) for n in range(6)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual((6, 1), (len(rows), len(set(rows))))
        self.assertEqual(1, self.count("race"))

    def test_idempotency_key_of_a_failed_write_can_be_reused(self):
        connection = self.connect(idempotency_key="key-4", deadline="9s")
        self.detail(connection, "INSERT INTO nowhere VALUES (1)")
        connection.execute(INSERT, ("second try",))
        self.assertEqual(1, self.count("second try"))

    def test_deadline_in_a_transaction_rolls_it_back(self):
        connection = self.connect(deadline="500ms")
        connection.execute("BEGIN")
        connection.execute(INSERT, ("late",))
        state, detail = self.detail(connection, "SELECT pg_sleep(5)")
        self.assertEqual(("57014", "not run"), (state, detail))
        connection.execute("ROLLBACK")
        self.assertEqual(0, self.count("late", 1))

    # Guards against a silent member that keeps a connection and a place for good.
    def test_statement_at_a_silent_member_ends_in_time(self):
        connection = self.connect(deadline="500ms")
        connection.execute("BEGIN")
        connection.execute(INSERT, ("silent",))
        self.inject_faults(paused=True)
        started = time.monotonic()
        state, detail = self.detail(connection, INSERT, ("silent",))
        # Ended at the deadline, or sooner if the member is found unreachable.
        self.assertIn(state, ("57014", "40000"))
        self.assertEqual("not run", detail)
        self.assertTrue(time.monotonic() - started < 1.5)
        self.clear_faults()
        connection.execute("ROLLBACK")
        self.assertEqual(0, self.count("silent", 1))

    def set_idle_timeout(self, timeout_s):
        path = f"/v1/services/{fleets.SERVICE}"
        spec = self.fleet.operate("GET", path)["spec"]
        spec = {**spec, "idle_transaction_timeout_s": timeout_s}
        self.fleet.operate("PUT", path, {"spec": spec})

    # Guards against a silent caller that keeps a connection and its locks for good.
    def test_transaction_of_a_silent_caller_is_rolled_back(self):
        self.addCleanup(self.set_idle_timeout, 60.0)
        self.set_idle_timeout(2.0)
        silent = self.connect()
        silent.execute("BEGIN")
        silent.execute(INSERT, ("idle",))
        # Waits for the lock of the silent caller.
        self.connect(1, deadline="9s").execute(INSERT, ("next",))
        busy = self.connect()
        busy.execute("BEGIN READ ONLY")
        for _ in range(8):
            busy.execute("SELECT 1")
            time.sleep(0.3)
        busy.execute("COMMIT")
        state, detail = self.detail(silent, INSERT, ("idle",))
        self.assertEqual(("25P03", "not run"), (state, detail))
        self.assertEqual(0, self.count("idle", 1))

    def test_write_waits_while_the_primary_cannot_be_reached(self):
        connection = self.connect(deadline="5s")
        connection.execute(INSERT, ("wait",))
        self.inject_faults(killed=True)
        timer = threading.Timer(0.5, self.clear_faults)
        timer.start()
        self.addCleanup(timer.join)
        connection.execute(INSERT, ("wait",))
        self.assertEqual(2, self.count("wait", 1))


@pytest.mark.xdist_group("survival")
class SurvivalTests(FaultTestCase):
    """Tests of writes whose primary fails after the commit."""

    def promote(self, lost):
        """Promote the most advanced replica, as an operator or a failover would."""
        described = http.send("GET", f"{self.fleet.members_url}/members")
        members = described["groups"][fleets.SERVICE]
        rest = [one for one in members if one["name"] != lost]
        term = 10 + max(one["fenced_term"] for one in members)
        for one in rest:
            self.call(one, f"fence({term}, 'test')")
        best = max(rest, key=lambda one: one["position"])
        self.call(best, f"promote({term}, 'test')")
        for one in rest:
            if one is not best:
                self.call(one, f"follow({term}, '{best['name']}')")

    def call(self, member, function):
        words = f"host=127.0.0.1 port={member['port']} dbname=main user=pomelograde"
        password = processes.UPSTREAM_PASSWORD
        with psycopg.connect(f"{words} password={password}") as connection:
            connection.execute(f"SELECT * FROM pomelograde.{function}")

    def write_and_fail_over(self, meter, before, after):
        connection = self.connect(deadline="20s")
        connection.execute(INSERT, (meter,))
        lost = self.primary()
        before()
        outcome = []

        def write():
            connection.execute(INSERT, (meter,))
            outcome.append("acknowledged")

        writing = threading.Thread(target=write)
        writing.start()
        time.sleep(0.3)
        after()
        self.inject_faults(killed=True)
        self.promote(lost)
        writing.join()
        return outcome

    def delay_replication(self):
        for member in MEMBERS:
            self.fleet.change_member(member, lag_s=0.6)

    def isolate_primary(self):
        self.inject_faults(cut_hosts=["127."])
        time.sleep(0.6)

    def test_discarded_write_is_retried(self):
        before = self.metric("pomelograde_retries", "discarded")
        outcome = self.write_and_fail_over(
            "discarded",
            lambda: self.inject_faults(cut_members=list(MEMBERS)),
            lambda: None,
        )
        self.assertEqual(["acknowledged"], outcome)
        self.assertEqual(2, self.count("discarded", 1))
        self.assertEqual(before + 1, self.metric("pomelograde_retries", "discarded"))

    def test_surviving_write_is_acknowledged_and_not_retried(self):
        discarded = self.metric("pomelograde_retries", "discarded")
        outcome = self.write_and_fail_over(
            "survived", self.delay_replication, self.isolate_primary
        )
        self.assertEqual(["acknowledged"], outcome)
        self.assertEqual(2, self.count("survived", 1))
        self.assertEqual(discarded, self.metric("pomelograde_retries", "discarded"))
