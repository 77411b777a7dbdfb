"""Tests of rows that another writer has left in tables that instances read."""

import base64
import json
import time
import types
import urllib.request

import testtools
from twisted.internet import task

from pomelograde.net import metrics
from pomelograde.net.hosted import invalid_rows
from pomelograde.platform import _rows
from pomelograde.standins import http
from tests.net.hosted import test_fleet

LARGE = 10**400


class ReportTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.logged = []
        self.context = types.SimpleNamespace(
            now=self.clock.seconds,
            metrics=metrics.Metrics(),
            log=types.SimpleNamespace(
                write=lambda event, **fields: self.logged.append(fields)
            ),
        )
        self.rows = invalid_rows.InvalidRows(self.context)

    def report(self, *rows, is_whole=True):
        invalid = [_rows.InvalidRow(*row) for row in rows]
        self.rows.report("servers", invalid, is_whole)

    def count(self):
        return self.rows.counter.values.get("servers", 0)

    def test_version_of_a_row_is_reported_once(self):
        for _ in range(3):
            self.report(("a", 7, "odd"))
        expected = {
            "table": "servers",
            "key": "a",
            "row_version": 7,
            "reason": "odd",
        }
        self.assertEqual(([expected], 1), (self.logged, self.count()))

    def test_row_that_is_written_again_and_again_is_logged_at_a_bounded_rate(self):
        for version in range(100):
            self.report(("a", version, "odd"))
            self.clock.advance(0.5)
        self.assertEqual((5, 100), (len(self.logged), self.count()))

    def test_another_fault_of_a_row_is_logged(self):
        self.report(("a", 7, "odd"))
        self.report(("a", 8, "odder"))
        self.assertEqual(["odd", "odder"], [line["reason"] for line in self.logged])

    def test_lines_on_many_rows_are_bounded_and_the_others_follow_later(self):
        rows = [(f"k{number}", 7, "odd") for number in range(50)]
        for expected in (20, 40, 50, 50):
            for _ in range(3):
                self.report(*rows)
            self.assertEqual((expected, 50), (len(self.logged), self.count()))
            self.clock.advance(invalid_rows.REPEAT_INTERVAL_S)
        self.assertEqual(50, len({line["key"] for line in self.logged}))

    def test_line_on_a_change_that_is_read_once_is_not_lost_in_many_others(self):
        self.report(*((f"k{number}", 7, "odd") for number in range(30)))
        self.rows.report("op", [_rows.InvalidRow("late", 8, "odd")], False)
        self.clock.advance(invalid_rows.REPEAT_INTERVAL_S)
        self.report()
        self.assertEqual("late", self.logged[-1]["key"])

    def test_row_that_was_valid_meanwhile_is_reported_again(self):
        self.report(("a", 7, "odd"))
        self.report()
        self.report(("a", 9, "odd"))
        self.assertEqual([7, 9], [line["row_version"] for line in self.logged])

    def test_change_of_another_row_leaves_known_faults(self):
        self.report(("a", 7, "odd"))
        self.report(("b", 8, "odd"), is_whole=False)
        self.report(("a", 7, "odd"), is_whole=False)
        self.assertEqual(["a", "b"], [line["key"] for line in self.logged])


class InvalidRowTests(test_fleet.FleetTests):
    """Rows of other writers, in the store that real instances read."""

    def find_valid(self, table):
        """Return the key and the content of a row that its owner has written."""
        url = f"http://{self.fleet.store}/rows-get?table={table}"
        row = http.send("GET", url)["rows"][0]
        return row["key"], json.loads(base64.b64decode(row["value"]))

    def put(self, table, key, value):
        """Write a row; the cleanup removes it."""
        self.addCleanup(self.fleet.put, table, key, None)
        self.fleet.put(table, key, value)

    def find_invalid(self):
        """Return table and key of each invalid row that some instance has logged."""
        found = set()
        for number in range(len(self.fleet.instances)):
            for record in self.find_records("ROW_INVALID", number):
                found.add((record["table"], record["key"]))
        return found

    def assert_followed(self, wait_s=0.0):
        """Check that statements are served, and that all tables are followed."""
        time.sleep(wait_s)
        for number, instance in enumerate(self.fleet.instances):
            self.assertIsNone(instance.child.poll())
            self.assertEqual([], self.find_records("INTERNAL_FAULT", number))
            written = self.call(number).query("WRITE k1 v")
            self.assertTrue(written[0].startswith("COMPLETE"), written)
        self.change_manifest(lambda manifest: manifest["routes"].pop())
        applied = test_fleet.wait_until(
            lambda: all(
                self.find_records("CONFIGURATION_APPLIED", number)[-1]["version"]
                == self.version
                for number in range(3)
            ),
            3.0,
        )
        self.assertTrue(applied)

    def test_number_too_large_in_a_members_row_stops_no_reader(self):
        _, fields = self.find_valid("servers")
        self.put("servers", "i-odd", json.dumps({**fields, "coldRemainingMs": LARGE}))
        # Longer than primary leases and keys are valid without a read.
        self.assert_followed(wait_s=5.5)
        self.assertIn(("servers", "i-odd"), self.find_invalid())

    def test_nested_members_rows_with_an_escape_stop_no_reader(self):
        _, fields = self.find_valid("servers")
        text = json.dumps({**fields, "note": "A", "extra": 0})
        text = text.replace('"A"', '"\\u0041"')
        for depth in range(880, 1000):
            nested = "[" * depth + "]" * depth
            row = text.replace('"extra": 0', f'"extra": {nested}')
            self.put("servers", f"i-nested-{depth}", row)
        self.assert_followed(wait_s=5.5)

    def test_odd_rows_of_instances_and_takeovers_stop_no_reader(self):
        name, fields = self.find_valid("instances")
        odd = {
            "other": fields,
            "odd-1": {**fields, "name": "odd-1", "incarnation": LARGE},
            "odd-2": {**fields, "name": "odd-2", "peer_port": 99999},
            "odd-3": {**fields, "name": "odd-3", "host": "a b"},
            "takeover/g": {"holder": name, "fence": LARGE},
            "takeover/h": {"holder": 5},
        }
        for key, value in odd.items():
            self.put("instances", key, json.dumps(value))
        nested = '{"a": "\\u0041", "b": ' + "[" * 950 + "]" * 950 + "}"
        self.put("instances", "odd-4", nested)
        self.put("op", "evacuate/a\n", "{}")
        self.assert_followed(wait_s=1.5)
        expected = {("instances", key) for key in [*odd, "odd-4"]}
        expected.add(("op", "evacuate/a\n"))
        limit_s = invalid_rows.REPEAT_INTERVAL_S + 2.0
        self.assertTrue(
            test_fleet.wait_until(lambda: expected <= self.find_invalid(), limit_s),
            expected - self.find_invalid(),
        )

    def find_rejected(self):
        """Return the records of rejected manifests of all instances."""
        return [
            record
            for number in range(len(self.fleet.instances))
            for record in self.find_records("CONFIGURATION_REJECTED", number)
        ]

    def reject(self, text):
        """Write a manifest, and check that it is rejected."""
        before = len(self.find_rejected())
        self.fleet.put("op", "config", text)
        self.assertTrue(
            test_fleet.wait_until(lambda: len(self.find_rejected()) > before, 3.0),
            text[:200],
        )

    def test_manifests_that_cannot_be_decoded_leave_the_one_in_force(self):
        manifest = dict(self.find_valid("op")[1], version=1000)
        for change in (
            {"version": LARGE},
            {"limits": {"txIdleMs": LARGE}},
            {"services": [{"name": "meters-group", "maxConns": LARGE}]},
            {"tenants": [{"name": "desk", "apiKeys": [["desk-key"]]}]},
        ):
            self.reject(json.dumps({**manifest, **change}))
        nested = "[" * 900 + "]" * 900
        text = json.dumps({**manifest, "x": 0})
        self.reject(text.replace('"x": 0', f'"x": {nested}'))
        self.assert_followed(wait_s=0.5)
        self.assertNotIn("desk-key", str(self.find_rejected()))

    def test_invalid_rows_are_counted(self):
        self.put("servers", "i-odd", "{}")
        self.assert_followed(wait_s=1.5)
        text = ""
        for instance in self.fleet.instances:
            url = f"http://127.0.0.1:{instance.metrics_port}/metrics"
            with urllib.request.urlopen(url, timeout=5.0) as response:
                text += response.read().decode()
        self.assertIn('pomelograde_invalid_rows_total{table="servers"}', text)
