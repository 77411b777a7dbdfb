"""Tests of real instances while operators evacuate data centres."""

import base64
import contextlib
import itertools
import json
import signal
import threading
import time

from pomelograde.core import takeovers
from pomelograde.standins import http
from pomelograde.standins.hosting import fleets, host
from tests.net.hosted import test_fleet

BOUND_S = 5.0  # from the store's acknowledgement to the last message at a member
TAKEOVER_S = 4.0  # before the bound, with the time to learn of the evacuation
SETTLE_S = 3.5  # no takeover starts within 3.2 s of the first read of the store
# A quarter of the objective of the stand-in's routes.
REFUSED_WITHIN_S = 0.25 * 2.0
# With the callers on all instances, below the rate of the stand-in's account, 500.
INTERVAL_S = 1.0 / 200.0


def pace(items):
    """Yield items, one in `INTERVAL_S` at most."""
    for item in items:
        next_at = time.monotonic() + INTERVAL_S
        yield item
        time.sleep(max(0.0, next_at - time.monotonic()))


class EvacuationTestCase(test_fleet.FleetTests):
    """Each test has instances of its own, with callers on all of them."""

    @classmethod
    def setUpClass(cls):
        cls.exits = contextlib.ExitStack()

    def setUp(self):
        super().setUp()
        super().setUpClass()
        self.addCleanup(self.exits.close)
        self.acked = {}
        self.calls = []
        self.stopping = threading.Event()
        threads = [
            threading.Thread(target=self._load, args=(number, text, database))
            for number in range(3)
            for text, database in (("WRITE k v", "meters"), ("READ k", "meters-own"))
        ]
        for thread in threads:
            thread.start()
        self.addCleanup(self._stop, threads)
        time.sleep(SETTLE_S)

    def _stop(self, threads):
        self.stopping.set()
        for thread in threads:
            thread.join()

    def _load(self, number, text, database):
        """Send statements, and keep the time, duration and outcome of each."""
        port = self.fleet.instances[number].port
        with fleets.Caller(port, database=database) as caller:
            while not self.stopping.is_set():
                started = time.monotonic()
                answer = caller.query(text)
                took_s = time.monotonic() - started
                self.calls.append((started, took_s, text, answer[0]))
                if answer[-1] == "closed":
                    return
                time.sleep(0.02)

    def evacuate(self, *zones):
        for zone in zones:
            self.fleet.put("op", f"evacuate/{zone}", "{}")
            self.acked[zone] = time.monotonic()

    def evacuate_at_once(self, *zones):
        """Write the requests in one transaction, so that no read shows only some."""
        value = base64.b64encode(b"{}").decode()
        puts = [
            {"table": "op", "part": "", "key": f"evacuate/{zone}", "value": value}
            for zone in zones
        ]
        body = {"expectedRev": [], "puts": puts, "remove": []}
        http.post(f"http://{self.fleet.store}/rows-tx", body)
        self.acked = dict.fromkeys(zones, time.monotonic())

    def take_back(self, zone):
        self.fleet.put("op", f"evacuate/{zone}", None)
        del self.acked[zone]

    def find_last(self, zone):
        """Return seconds from the acknowledgement to the last message there."""
        last = self.fleet.show_member(f"i-{zone}")["reached_at"]
        return last - self.acked[zone]

    def assert_left_in_time(self):
        """Wait past the bound, and check the last message at each member."""
        end = max(self.acked.values()) + BOUND_S + 3.0
        time.sleep(max(0.0, end - time.monotonic()))
        found = {zone: round(self.find_last(zone), 3) for zone in self.acked}
        print("seconds from acknowledgement to last message:", found)
        for zone, last_s in found.items():
            self.assertTrue(last_s <= BOUND_S, (zone, last_s))

    def assert_moved(self, zone):
        """Wait until the primary is outside a data centre, and return it."""
        moved = test_fleet.wait_until(
            lambda: self.fleet.find_primary() not in (None, f"i-{zone}"), TAKEOVER_S
        )
        self.assertTrue(moved)
        return self.fleet.find_primary().removeprefix("i-")

    def find_calls(self, since, text):
        found = [call for call in self.calls if call[0] >= since and call[2] == text]
        self.assertNotEqual([], found)
        return found

    def assert_served(self, since, text):
        refused = [c for c in self.find_calls(since, text) if c[3].startswith("ERROR")]
        self.assertEqual([], refused)

    def assert_refused_at_once(self, since, text):
        for call in self.find_calls(since, text):
            self.assertTrue(call[3].startswith("ERROR RETRY"), call)
            self.assertTrue(call[1] < REFUSED_WITHIN_S, call)


class EvacuationTests(EvacuationTestCase):
    def test_primary_moves_and_loses_no_acknowledged_write(self):
        writer = self.call(0)
        self.evacuate("catania-a")
        written = []
        until = time.monotonic() + 6.0
        for number in pace(itertools.count()):
            if time.monotonic() >= until:
                break
            name = f"w{number}"
            if writer.query(f"WRITE {name} {name}")[0].startswith("COMPLETE"):
                written.append(name)
        self.assert_moved("catania-a")
        self.assert_left_in_time()
        now = time.monotonic()
        reader = self.call(1)
        for name in pace(written):
            self.assertEqual(f"DATAROW {name}", reader.query(f"READ {name}")[0])
        self.assert_served(now - 2.0, "WRITE k v")
        self.assert_served(self.acked["catania-a"], "READ k")
        self.assertEqual([takeovers.Reason.EVACUATED.value], self.find_reasons())
        self.assertIn("evacuation/catania-a", self.fleet.read_table("status"))

    def find_reasons(self):
        """Return the reason of each takeover that promoted a member."""
        return [
            record["reason"]
            for number in range(3)
            for record in self.find_records("TAKEOVER_ENDED", number)
            if record["outcome"] == "promoted"
        ]

    def test_two_data_centres_in_turn(self):
        self.evacuate("catania-a")
        second = self.assert_moved("catania-a")
        self.evacuate(second)
        self.assert_moved(second)
        self.assert_left_in_time()
        self.assert_served(time.monotonic() - 1.0, "WRITE k v")
        self.assertEqual(2, len(self.fleet.show_promotions()))

    def test_all_data_centres(self):
        self.evacuate_at_once(*host.ZONES)
        self.assert_left_in_time()
        since = time.monotonic() - 2.0
        self.assert_refused_at_once(since, "WRITE k v")
        self.assert_refused_at_once(since, "READ k")
        self.assertEqual([], self.fleet.show_promotions())
        for number in range(3):
            self.assertEqual([], self.find_records("TAKEOVER_STARTED", number))
        for zone in host.ZONES:
            self.assertEqual(0, self.fleet.show_member(f"i-{zone}")["connections"])
        for zone in list(self.acked):
            self.take_back(zone)
        time.sleep(3.0)
        self.assert_served(time.monotonic() - 0.5, "WRITE k v")
        self.assert_served(time.monotonic() - 0.5, "READ k")
        self.assertEqual([], self.fleet.read_table("status"))

    def test_taken_back_while_the_takeover_runs(self):
        self.evacuate("catania-a")
        started = test_fleet.wait_until(
            lambda: [
                record
                for number in range(3)
                for record in self.find_records("TAKEOVER_STARTED", number)
            ],
            TAKEOVER_S,
        )
        self.assertTrue(started)
        self.take_back("catania-a")
        time.sleep(5.0)
        self.assert_served(time.monotonic() - 1.0, "WRITE k v")
        self.assertTrue(len(self.fleet.show_promotions()) <= 1)

    def test_store_that_is_away_after_the_request(self):
        self.evacuate("catania-a")
        learned = test_fleet.wait_until(
            lambda: all(
                self.find_records("EVACUATION_STARTED", number) for number in range(3)
            ),
            BOUND_S,
        )
        self.assertTrue(learned)
        self.fleet.set_store_faults(refuse=True)
        self.assert_left_in_time()
        self.fleet.set_store_faults()
        self.assert_moved("catania-a")

    def test_evacuation_that_a_restored_store_lacks_stays(self):
        self.fleet.keep_store_copy()
        self.evacuate("catania-a")
        self.assert_moved("catania-a")
        time.sleep(2.0)
        before = self.fleet.show_member("i-catania-a")["reached_at"]
        self.fleet.restore_store()
        time.sleep(1.5)
        self.fleet.put("op", "evacuate/catania-a", "{}")
        time.sleep(3.0)
        self.assertEqual(before, self.fleet.show_member("i-catania-a")["reached_at"])

    def test_reader_that_is_frozen_at_the_request(self):
        reader = self.fleet.instances[2].child
        reader.send_signal(signal.SIGSTOP)
        self.addCleanup(reader.send_signal, signal.SIGCONT)
        self.evacuate("catania-a")
        time.sleep(4.0)
        reader.send_signal(signal.SIGCONT)
        self.assert_left_in_time()
        self.assert_served(time.monotonic() - 1.0, "WRITE k v")

    def test_replica_that_lags_is_not_promoted(self):
        for zone in host.ZONES[1:]:
            self.fleet.change_member(f"i-{zone}", lag_s=60.0)
        self.call(0).query("WRITE only here")
        self.evacuate("catania-a")
        self.assert_left_in_time()
        self.assertEqual([], self.fleet.show_promotions())
        self.assert_refused_at_once(time.monotonic() - 1.0, "WRITE k v")
        self.take_back("catania-a")
        time.sleep(3.0)
        self.assertEqual("DATAROW here", self.call(1).query("READ only")[0])

    def test_idle_transaction_is_ended_in_time(self):
        callers = [self.call(number) for number in range(3)]
        for caller in callers:
            caller.query("BEGIN")
            caller.query("WRITE t 1")
        self.evacuate("catania-a")
        self.assert_left_in_time()
        for caller in callers:
            self.assertTrue(caller.query("COMMIT")[0].startswith("ERROR"))

    def test_unknown_data_centre_changes_nothing(self):
        for name in ("nowhere", "a/b", "\u00fc", " "):
            self.fleet.put("op", f"evacuate/{name}", json.dumps({"why": name}))
        since = time.monotonic()
        time.sleep(3.0)
        self.assert_served(since, "WRITE k v")
        self.assert_served(since, "READ k")


class PathTests(EvacuationTestCase):
    contracts = ("pool",)

    def test_silence_of_other_members_does_not_ping_an_evacuated_one(self):
        self.evacuate("catania-a")
        self.assert_moved("catania-a")
        time.sleep(BOUND_S)
        before = self.fleet.show_member("i-catania-a")["reached_at"]
        host_process = self.fleet.running.children[0]
        host_process.send_signal(signal.SIGSTOP)
        self.addCleanup(host_process.send_signal, signal.SIGCONT)
        time.sleep(1.0)
        host_process.send_signal(signal.SIGCONT)
        time.sleep(2.0)
        found = [r["member"] for n in range(3) for r in self.find_cut_off(n)]
        self.assertIn("i-agrigento-a", found)
        self.assertEqual(before, self.fleet.show_member("i-catania-a")["reached_at"])

    def find_cut_off(self, number):
        return self.find_records("MEMBER_CUT_OFF", number)
