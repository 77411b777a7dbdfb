"""Tests of real instances on a simulated hosting platform."""

import contextlib
import copy
import functools
import itertools
import re
import signal
import threading
import time
import urllib.error
import urllib.request

import testtools

from pomelograde.net.hosted import positions
from pomelograde.standins import processes
from pomelograde.standins.hosting import fleets, host

PRIMARY = "i-catania-a"


def wait_until(check, limit_s=10.0):
    """Return whether a condition becomes true within a time limit."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if check():
            return True
        time.sleep(0.05)
    return False


class FleetTests(testtools.TestCase):
    """Three instances that all tests of a class share."""

    contracts = ()

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.exits = contextlib.ExitStack()
        running = cls.exits.enter_context(processes.Processes())
        cls.fleet = fleets.Fleet(running, cls.contracts)
        cls.fleet.start_instances()
        cls.version = host.MANIFEST["version"]

    @classmethod
    def tearDownClass(cls):
        cls.exits.close()
        super().tearDownClass()

    def call(self, number=0, **fields):
        caller = fleets.Caller(self.fleet.instances[number].port, **fields)
        self.addCleanup(caller.close)
        return caller

    def change_manifest(self, change):
        """Write a changed configuration as the operator; the cleanup restores it."""
        manifest = copy.deepcopy(host.MANIFEST)
        change(manifest)
        self.write_manifest(manifest)
        self.addCleanup(self.write_manifest, copy.deepcopy(host.MANIFEST))

    def write_manifest(self, manifest):
        type(self).version += 1
        manifest["version"] = self.version
        self.fleet.put_manifest(manifest)

    def probe(self, number=0):
        url = f"http://127.0.0.1:{self.fleet.instances[number].ready_port}/ready"
        try:
            with urllib.request.urlopen(url, timeout=5.0) as response:
                return response.status
        except urllib.error.HTTPError as error:
            return error.code
        except OSError:
            return None

    def find_records(self, name, number=0):
        log = self.fleet.instances[number].read_log()
        return [record for record in log if record["name"] == name]

    def find_names(self, number=0):
        """Return the registered instances that an instance last logged."""
        return self.find_records("INSTANCES_CHANGED", number)[-1]["names"]


class ServingTests(FleetTests):
    def test_ids_texts_rows_and_digests_are_forwarded_unchanged(self):
        caller = self.call()
        written = caller.query("WRITE k1 a b  c", "id-17")
        self.assertTrue(written[0].startswith("COMPLETE d."), written)
        self.assertEqual("DATAROW a b  c", caller.query("READ k1")[0])
        runs = self.fleet.show_member(PRIMARY)["runs"]
        self.assertIn(["desk", "id-17", "WRITE k1 a b  c"], runs)

    def test_session_reads_its_own_write_through_replicas(self):
        caller = self.call(1, database="meters-own")
        for number in range(20):
            caller.query(f"WRITE own {number}")
            self.assertEqual(f"DATAROW {number}", caller.query("READ own")[0])

    def test_bounded_reads_are_served_by_a_replica_in_the_data_centre(self):
        caller = self.call(1, database="meters-bounded")
        self.call(1).query("READ k1")
        for _ in range(5):
            caller.query("READ k1", "near-read")
        runs = self.fleet.show_member("i-palermo-a")["runs"]
        self.assertIn("near-read", [run[1] for run in runs])

    def test_transaction_commits_as_a_whole_or_not_at_all(self):
        caller = self.call(2)
        self.assertEqual(["COMPLETE -", "READY T -"], caller.query("BEGIN"))
        caller.query("WRITE t1 one")
        self.assertEqual("DATAROW one", caller.query("READ t1")[0])
        self.assertEqual(["COMPLETE -", "READY I -"], caller.query("ROLLBACK"))
        self.assertEqual("DATAROW -", caller.query("READ t1")[0])
        caller.query("BEGIN")
        caller.query("WRITE t1 two")
        self.assertTrue(caller.query("COMMIT")[0].startswith("COMPLETE d."))
        self.assertEqual("DATAROW two", self.call(0).query("READ t1")[0])

    def test_settings_and_prepared_statements_follow_the_session(self):
        first, second = self.call(1), self.call(1)
        first.query("SET zone one")
        first.query("PARSE s READ q1")
        second.query("PARSE s WRITE q2")
        for number in range(5):
            second.query(f"EXECUTE s p{number} v{number}")
            found = first.query(f"EXECUTE s p{number}")
            self.assertEqual(f"DATAROW v{number}", found[0])
        self.assertEqual("COMPLETE -", first.query("CLOSE s")[0])
        self.assertTrue(first.query("EXECUTE s p1")[0].startswith("ERROR UNKNOWN"))

    def test_connections_of_an_account_are_shared_by_all_instances(self):
        callers = [self.call(number % 3) for number in range(30)]
        for caller in callers:
            caller.query("READ k1")
        shown = self.fleet.show_member(PRIMARY)
        self.assertTrue(shown["most_connections"] <= 8, shown["most_connections"])

    def test_unknown_databases_and_keys_are_refused(self):
        found = self.call(database="nowhere").start
        self.assertTrue(found[0].startswith("ERROR NODATABASE"), found)
        found = self.call(key="wrong").start
        self.assertTrue(found[0].startswith("ERROR DENIED"), found)

    def test_invalid_input_ends_only_its_own_session(self):
        other = self.call()
        for line in ("HELLO", "QUERY - READ a", "QUERY q AFTER 1.1 READ a", "QUERY q"):
            caller = self.call()
            caller.send(line)
            self.assertTrue(caller.read_answer()[0].startswith("ERROR MALFORMED"))
            self.assertEqual(["closed"], caller.read_answer())
        caller = self.call()
        with contextlib.suppress(OSError):
            caller.send("QUERY q WRITE k " + "x" * (1024 * 1024))
            self.assertTrue(caller.read_answer()[0].startswith("ERROR TOOLARGE"))
        self.assertTrue(other.query("READ k1")[0].startswith("DATAROW"))

    def test_invalid_rows_of_other_writers_are_ignored(self):
        for number, value in enumerate(("{", "[]", '{"service": 5}', "\0")):
            self.fleet.put("servers", f"strange-{number}", value)
            self.addCleanup(self.fleet.put, "servers", f"strange-{number}", None)
        time.sleep(1.5)
        self.assertTrue(self.call().query("READ k1")[0].startswith("DATAROW"))


class SharedMembersTests(FleetTests):
    contracts = ("pool",)

    def test_reads_stay_near_and_are_counted_by_distance(self):
        callers = [self.call(number, database="meters-bounded") for number in range(3)]
        for _ in range(20):
            for caller in callers:
                self.assertTrue(caller.query("READ k1")[0].startswith("DATAROW"))
        for instance in self.fleet.instances:
            url = f"http://127.0.0.1:{instance.metrics_port}/metrics"
            with urllib.request.urlopen(url, timeout=5.0) as response:
                text = response.read().decode()
            name = 'pomelograde_member_statements_total{level="data_centre"}'
            count = re.search(re.escape(name) + r" ([0-9.]+)", text)
            self.assertIsNotNone(count, text)
            self.assertGreater(float(count.group(1)), 10.0)


class IdleTests(FleetTests):
    def count_expected_extra_owners(self):
        """Return how many instances besides the owner may open a connection.

        Notes
        -----
        An instance opens one if it did not know the others within
        `STARTUP_SETTLE_S`, or if it suspects the owner, which on an overloaded
        machine may not answer within 0.3 s.
        """
        found = 0
        for number in range(len(self.fleet.instances)):
            (ready,) = self.find_records("DAEMON_READY", number)
            learnt = [
                record["time"]
                for record in self.find_records("INSTANCES_CHANGED", number)
                if len(record["names"]) == len(self.fleet.instances)
            ]
            late = not learnt or learnt[0] - ready["time"] >= positions.STARTUP_SETTLE_S
            found += late or bool(self.find_records("KEEPER_SUSPECTED", number))
        return found

    def test_position_of_an_idle_primary_is_queried_over_one_connection(self):
        def count():
            return self.fleet.show_member(PRIMARY)["connections"]

        self.assertTrue(wait_until(lambda: count() > 0, 6.0))
        time.sleep(1.0)
        found = count()
        self.assertTrue(1 <= found <= 1 + self.count_expected_extra_owners(), found)


class FaultTests(FleetTests):
    def test_lost_answer_of_a_write_is_in_doubt_and_runs_once(self):
        caller = self.call(1)
        caller.query("READ k1")
        self.fleet.change_member(PRIMARY, drop_answers=1)
        found = caller.query("WRITE lost 1", "lost-write")
        self.assertTrue(found[0].startswith("ERROR INDOUBT"), found)
        log = self.fleet.show_member(PRIMARY)["log"]
        self.assertEqual(1, sum(entry[2] == "lost-write" for entry in log))

    def test_busy_replica_is_skipped(self):
        self.call(1).query("READ k1")
        self.fleet.change_member("i-palermo-a", fail="RETRY")
        self.addCleanup(self.fleet.change_member, "i-palermo-a", fail="")
        caller = self.call(1, database="meters-bounded")
        for _ in range(5):
            self.assertTrue(caller.query("READ k1")[0].startswith("DATAROW"))

    def test_lagging_replica_serves_no_session_that_wrote(self):
        self.fleet.change_member("i-palermo-a", lag_s=1.0)
        self.addCleanup(self.fleet.change_member, "i-palermo-a", lag_s=0.02)
        caller = self.call(1, database="meters-own")
        for number in range(5):
            written = caller.query(f"WRITE lag {number}")
            self.assertTrue(written[0].startswith("COMPLETE"), written)
            self.assertEqual(f"DATAROW {number}", caller.query("READ lag")[0])

    def test_silent_owner_is_replaced_within_three_seconds(self):
        caller = self.call(1)
        caller.query("READ k1")
        owner = self.fleet.instances[0]
        owner.child.send_signal(signal.SIGSTOP)
        self.addCleanup(owner.child.send_signal, signal.SIGCONT)

        def served():
            return caller.query("READ k1")[0].startswith("DATAROW")

        started = time.monotonic()
        self.assertTrue(wait_until(served))
        self.assertTrue(time.monotonic() - started < 3.0)

    def test_withdrawn_key_is_refused_on_open_sessions(self):
        caller = self.call(key=host.OTHER_KEY)
        caller.query("READ k1")
        self.change_manifest(lambda found: found["tenants"][1].update(apiKeys=[]))

        def is_refused():
            with contextlib.suppress(OSError):
                return not caller.query("READ k1")[0].startswith("DATAROW")
            return True

        self.assertTrue(wait_until(is_refused, 5.0))

    def test_account_beyond_its_rate_is_told_when_to_retry(self):
        callers = [self.call(number % 3, key=host.OTHER_KEY) for number in range(40)]
        for caller in callers:
            caller.send("QUERY q READ k1")
        answers = [caller.read_answer()[0] for caller in callers]
        refused = [text for text in answers if text.startswith("ERROR OVERLOAD")]
        self.assertTrue(refused)
        self.assertTrue(all("retry after" in text for text in refused), refused[:3])


class StoreTests(FleetTests):
    def test_keys_are_refused_while_the_store_is_unavailable_and_accepted_after(self):
        self.fleet.set_store_faults(refuse=True)
        try:
            self.assertTrue(wait_until(lambda: self.probe() == 503, 8.0))
            started = time.monotonic()

            def is_refused():
                with (
                    contextlib.suppress(OSError),
                    fleets.Caller(self.fleet.instances[0].port) as caller,
                ):
                    return caller.start[0].startswith("ERROR RETRY")
                return True

            self.assertTrue(wait_until(is_refused, 5.0))
            self.assertTrue(time.monotonic() - started < 3.0)
        finally:
            self.fleet.set_store_faults()
        self.assertTrue(wait_until(lambda: self.probe() == 200, 5.0))
        caller = self.call()

        def is_served():
            return caller.query("READ k1")[0].startswith("DATAROW")

        self.assertTrue(wait_until(is_served, 2.0))


class TakeoverTests(FleetTests):
    """Each test makes another member primary, and restores the members' states."""

    def write_through(self, prefix, until):
        """Write through all instances until a time; returns the acknowledged ids."""
        acknowledged = []
        number = 0
        while time.monotonic() < until:
            number += 1
            request_id = f"{prefix}-{number}"
            with fleets.Caller(self.fleet.instances[number % 3].port) as caller:
                answer = caller.query(f"WRITE {prefix} {number}", request_id)
            if answer[0].startswith("COMPLETE d."):
                acknowledged.append(request_id)
            time.sleep(0.01)
        return acknowledged

    def written(self):
        log = self.fleet.show_member(self.fleet.find_primary())["log"]
        return [entry[2] for entry in log]

    def test_leaving_primary_is_replaced_without_lost_writes(self):
        old = self.fleet.find_primary()
        self.fleet.change_member(old, state="draining")
        self.addCleanup(self.fleet.change_member, old, state="ready")
        acknowledged = self.write_through("leaving", time.monotonic() + 4.0)
        self.assertNotEqual(old, self.fleet.find_primary())
        written = self.written()
        self.assertEqual([], [found for found in acknowledged if found not in written])
        self.assertEqual(len(written), len(set(written)))
        self.assertTrue(len(acknowledged) > 50, len(acknowledged))

    def test_crashed_primary_is_replaced_with_increasing_fences(self):
        old = self.fleet.find_primary()
        self.write_through("before", time.monotonic() + 0.5)
        self.fleet.change_member(old, down=True, role="replica")
        self.addCleanup(self.fleet.change_member, old, down=False)
        acknowledged = self.write_through("crash", time.monotonic() + 6.0)
        self.assertTrue(acknowledged)
        written = self.written()
        self.assertEqual([], [found for found in acknowledged if found not in written])
        fences = [fence for _, _, fence in self.fleet.show_promotions()]
        self.assertEqual(sorted(set(fences)), fences)

    def test_lease_of_a_silent_instance_expires_before_another_member_is_promoted(self):
        old = self.fleet.find_primary()
        stopped = self.fleet.instances[2].child
        stopped.send_signal(signal.SIGSTOP)
        self.addCleanup(stopped.send_signal, signal.SIGCONT)
        started = time.monotonic()
        self.fleet.change_member(old, state="draining")
        self.addCleanup(self.fleet.change_member, old, state="ready")
        self.assertTrue(wait_until(lambda: self.fleet.find_primary() != old))
        self.assertTrue(time.monotonic() - started > 3.0)


class RegistrationTests(FleetTests):
    def was_removed(self, name):
        return self.has_ended(name, "gone")

    def has_ended(self, name, reason="silent"):
        return any(
            (record["instance_name"], record["reason"]) == (name, reason)
            for number in range(len(self.fleet.instances))
            for record in self.find_records("REGISTRATION_ENDED", number)
        )

    def test_registration_is_removed_at_shutdown(self):
        instance = self.fleet.start_instance(3)
        self.assertTrue(wait_until(lambda: instance.name in self.find_names()))
        instance.child.send_signal(signal.SIGTERM)
        instance.child.wait(timeout=8.0)
        self.assertTrue(wait_until(lambda: instance.name not in self.find_names(), 2.0))

    def test_takeover_does_not_wait_for_an_instance_without_registration(self):
        instance = self.fleet.start_instance(4)
        self.assertTrue(wait_until(lambda: instance.name in self.find_names()))
        instance.child.kill()
        self.assertTrue(wait_until(lambda: self.was_removed(instance.name), 15.0))
        time.sleep(1.0)
        started = time.monotonic()
        self.fleet.change_member(PRIMARY, state="draining")
        self.addCleanup(self.fleet.change_member, PRIMARY, state="ready")

        def has_moved():
            return self.fleet.show_member(PRIMARY)["role"] != "primary"

        self.assertTrue(wait_until(has_moved))
        self.assertTrue(time.monotonic() - started < 2.5)

    def test_instance_lost_in_an_outage_of_the_store_is_noticed_after_it(self):
        instance = self.fleet.start_instance(5)
        # Any of them may be the one that reads the store for the others.
        for number in range(3):
            self.assertTrue(
                wait_until(
                    lambda number=number: instance.name in self.find_names(number)
                )
            )
        self.fleet.set_store_faults(refuse=True)
        try:
            time.sleep(1.0)
            instance.child.kill()
            time.sleep(3.0)
        finally:
            self.fleet.set_store_faults()
        # A probe without an answer is enough: the silence goes back to the outage.
        self.assertTrue(wait_until(lambda: self.has_ended(instance.name), 2.0))

    def test_resumed_instance_registers_again_and_serves(self):
        instance = self.fleet.instances[2]
        instance.child.send_signal(signal.SIGSTOP)
        try:
            self.assertTrue(
                wait_until(lambda: instance.name not in self.find_names(), 10.0)
            )
        finally:
            instance.child.send_signal(signal.SIGCONT)
        self.assertTrue(wait_until(lambda: instance.name in self.find_names(), 3.0))

        def serves():
            with self.call(2) as caller:
                return caller.query("WRITE woken 1")[0].startswith("COMPLETE d.")

        self.assertTrue(wait_until(serves, 3.0))


class StopTests(FleetTests):
    def test_stopping_instance_is_not_ready_and_finishes_transactions(self):
        idle = self.call(2)
        busy = self.call(2)
        busy.query("BEGIN")
        busy.query("WRITE stop 1")
        instance = self.fleet.instances[2]
        instance.child.send_signal(signal.SIGTERM)
        self.assertTrue(wait_until(lambda: self.probe(2) in (503, None), 2.0))
        self.assertTrue(busy.query("COMMIT")[0].startswith("COMPLETE d."))
        end = idle.read_answer()
        self.assertEqual(2, len(end), end)
        self.assertTrue(end[0].startswith("ERROR RETRY "), end)
        self.assertEqual("closed", end[1])
        self.assertEqual(0, instance.child.wait(timeout=8.0))
        last = instance.read_log()[-1]
        self.assertEqual("DAEMON_STOPPED", last["name"])
        left = [last[part] for part in ("sessions", "statements", "relayed", "unsent")]
        self.assertEqual([0, 0, 0, 0], left)

    def start_another(self, number):
        """Start an instance that a test may stop."""
        instance = self.fleet.start_instance(number)
        self.assertTrue(wait_until(lambda: instance.name in self.find_names()))
        return instance

    def test_requests_that_arrive_with_the_signal_are_answered(self):
        instance = self.start_another(5)
        callers = [fleets.Caller(instance.port) for _ in range(20)]
        # All requests wait at the instance's sockets when it handles the signal.
        instance.child.send_signal(signal.SIGSTOP)
        for number, caller in enumerate(callers):
            caller.send(f"QUERY with-signal-{number} WRITE k{number} 1")
        instance.child.send_signal(signal.SIGTERM)
        instance.child.send_signal(signal.SIGCONT)
        answers = [caller.read_answer() for caller in callers]
        self.assertEqual(
            {True}, {answer[-1].startswith("READY I") for answer in answers}
        )
        promised = {
            f"with-signal-{number}"
            for number, answer in enumerate(answers)
            if answer[0].startswith("ERROR RETRY ")
        }
        log = self.fleet.show_member(self.fleet.find_primary())["log"]
        self.assertEqual(set(), promised & {entry[2] for entry in log})
        served = [answer for answer in answers if answer[0].startswith("COMPLETE")]
        self.assertEqual(20, len(served) + len(promised))
        # New callers are served until the load balancer has noticed the stop.
        with fleets.Caller(instance.port) as late:
            self.assertTrue(late.query("WRITE late 1")[0].startswith("COMPLETE"))
        self.assertEqual(0, instance.child.wait(timeout=8.0))

    def test_new_callers_are_served_in_a_stop_without_sessions(self):
        instance = self.start_another(7)
        instance.child.send_signal(signal.SIGTERM)
        until = time.monotonic() + 1.5
        while time.monotonic() < until:
            with fleets.Caller(instance.port) as caller:
                self.assertEqual(["READY I -"], caller.start)
                self.assertTrue(caller.query("READ k1")[0].startswith("DATAROW"))
            time.sleep(0.05)
        self.assertEqual(0, instance.child.wait(timeout=8.0))

    def test_callers_under_load_lose_no_answer_in_a_stop(self):
        instance = self.start_another(6)
        acknowledged = []
        answers = []

        def work(number):
            with fleets.Caller(instance.port) as caller:
                for turn in itertools.count():
                    request_id = f"load-{number}-{turn}"
                    answer = caller.query(f"WRITE k{number} {turn}", request_id)
                    answers.append(answer)
                    if not answer[0].startswith("COMPLETE"):
                        return
                    acknowledged.append(request_id)
                    time.sleep(0.02)

        threads = [threading.Thread(target=work, args=(n,)) for n in range(12)]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        instance.child.send_signal(signal.SIGTERM)
        for thread in threads:
            thread.join()
        self.assertEqual(0, instance.child.wait(timeout=8.0))
        log = self.fleet.show_member(self.fleet.find_primary())["log"]
        self.assertEqual([], [answer for answer in answers if answer == ["closed"]])
        refused = [answer for answer in answers if not answer[0].startswith("COMPLETE")]
        self.assertEqual(12, len(refused))
        written = {entry[2] for entry in log if entry[2].startswith("load-")}
        self.assertEqual(set(acknowledged), written)
        self.assertTrue(len(acknowledged) >= 12, len(acknowledged))

    def test_open_transaction_that_goes_on_in_a_stop_ends_with_an_error(self):
        # Its session was closed in the middle of a statement.
        instance = self.start_another(8)
        with fleets.Caller(instance.port) as caller:
            answers = [caller.query("BEGIN"), caller.query("WRITE dropped 1")]
            instance.child.send_signal(signal.SIGTERM)
            while answers[-1][-1].startswith("READY T"):
                time.sleep(0.02)
                answers.append(caller.query("READ k1"))
        self.assertTrue(answers[-1][0].startswith("ERROR RETRY "), answers[-1])
        self.assertEqual("READY I -", answers[-1][-1])
        self.assertEqual(0, instance.child.wait(timeout=8.0))
        self.assertEqual("DATAROW -", self.call(1).query("READ dropped")[0])

    def test_stopping_owner_finishes_transactions_of_others_and_is_replaced(self):
        owner = self.fleet.instances[0]
        # An instance that knows no others owns all connections that it uses.
        self.assertTrue(wait_until(lambda: owner.name in self.find_names(1)))
        opened = self.call(1)
        opened.query("BEGIN")
        self.assertEqual("COMPLETE", opened.query("WRITE kept 1")[0][:8])
        writer = self.call(1)
        self.assertEqual("COMPLETE", writer.query("WRITE before 1")[0][:8])
        owner.child.send_signal(signal.SIGTERM)
        answers = []
        for number in range(40):
            answers.append(writer.query(f"WRITE while-stopping {number}")[0])
            time.sleep(0.02)
        self.assertIsNone(owner.child.poll())
        answers.append(opened.query("COMMIT")[0])
        self.assertEqual(0, owner.child.wait(timeout=8.0))
        for number in range(10):
            answers.append(writer.query(f"WRITE after-stop {number}")[0])
        failed = [found for found in answers if not found.startswith("COMPLETE d.")]
        self.assertEqual([], failed)

    def test_failed_statement_is_logged_with_its_id(self):
        self.fleet.change_member(PRIMARY, fail="FAILED")
        self.addCleanup(self.fleet.change_member, PRIMARY, fail="")
        self.call(1).query("WRITE k 1", "explain-me")

        def find():
            return [
                record
                for record in self.fleet.instances[1].read_log()
                if record.get("id") == "explain-me"
            ]

        self.assertTrue(wait_until(find))
        found = find()
        self.assertEqual(1, len(found), found)
        (done,) = found
        self.assertEqual(
            ("upstream_failed", PRIMARY, 1),
            (done["outcome"], done["member"], done["attempts"]),
        )


class PathTests(FleetTests):
    """Instances that share what they find out about paths."""

    contracts = ("pool",)

    def test_silent_owner_costs_one_objective_at_most_and_is_used_again(self):
        owner = self.fleet.instances[0]
        self.assertTrue(wait_until(lambda: owner.name in self.find_names(1)))
        caller = self.call(1)
        for _ in range(3):
            caller.query("READ k1")
        owner.child.send_signal(signal.SIGSTOP)
        self.addCleanup(owner.child.send_signal, signal.SIGCONT)
        held = []
        for _ in range(10):
            started = time.monotonic()
            answer = caller.query("READ k1")[0]
            held.append((time.monotonic() - started, answer[:7]))
        self.assertEqual(["DATAROW"] * 10, [answer for _, answer in held], held)
        # Found by one statement, within the shortest objective of callers.
        self.assertTrue(held[0][0] < 0.8, held)
        self.assertTrue(all(elapsed_s < 0.3 for elapsed_s, _ in held[1:]), held)
        owner.child.send_signal(signal.SIGCONT)
        found = functools.partial(self.find_records, "KEEPER_ANSWERS", 1)
        self.assertTrue(wait_until(found, 2.0))
        self.assertEqual("DATAROW", caller.query("READ k1")[0][:7])


class KilledOwnerTests(FleetTests):
    """Instances that share what they find out about paths."""

    contracts = ("pool",)

    def test_killed_owner_leaves_no_unknown_outcome_once_it_is_gone(self):
        owner = self.fleet.instances[0]
        self.assertTrue(wait_until(lambda: owner.name in self.find_names(2)))
        caller = self.call(2)
        self.assertEqual("COMPLETE", caller.query("WRITE gone 0")[0][:8])
        owner.child.kill()
        owner.child.wait()
        answers = [caller.query(f"WRITE gone {number}")[0] for number in range(20)]
        failed = [found for found in answers if not found.startswith("COMPLETE d.")]
        self.assertEqual([], failed)


class LoadTests(FleetTests):
    def test_all_concurrent_callers_are_served(self):
        answers = []

        def work(number):
            with fleets.Caller(self.fleet.instances[number % 3].port) as caller:
                for turn in range(10):
                    answers.append(caller.query(f"WRITE load{number} {turn}")[0])

        threads = [threading.Thread(target=work, args=(n,)) for n in range(24)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        served = [text for text in answers if text.startswith("COMPLETE d.")]
        self.assertEqual(240, len(served), sorted(set(answers) - set(served)))
        log = self.fleet.show_member(PRIMARY)["log"]
        self.assertEqual(len(log), len({entry[2] for entry in log}))


class RoomTests(LoadTests):
    """The same with a limit of the statements in flight at each member."""

    contracts = ("pool",)

    def test_transactions_of_all_instances_commit_side_by_side(self):
        outcomes = []

        def work(number):
            with fleets.Caller(self.fleet.instances[number % 3].port) as caller:
                caller.query("BEGIN")
                caller.query(f"WRITE room{number} one")
                outcomes.append(caller.query("COMMIT")[0])

        threads = [threading.Thread(target=work, args=(n,)) for n in range(9)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        served = [text for text in outcomes if text.startswith("COMPLETE")]
        self.assertEqual(9, len(served), outcomes)
