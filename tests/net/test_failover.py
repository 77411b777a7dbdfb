"""Automatic failover in a fleet of real processes."""

import threading
import time

import psycopg
import pytest
import testtools

from tests import fleets

MAX_WRITE_GAP_S = 2.0
FAILOVER_WAIT_S = 3.0
NO_FAULTS = {"killed": False, "paused": False, "cut_hosts": [], "cut_members": []}


class Writer:
    """Writes rows through one instance until stopped, and records them."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.written = []
        self.acknowledged_at = []
        self.stopped = False
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def stop(self):
        """Stop writing and wait until the last write has ended."""
        self.stopped = True
        self.thread.join()

    def longest_gap(self):
        """Return the longest time without an acknowledged write."""
        pairs = zip(
            self.acknowledged_at,
            [*self.acknowledged_at[1:], time.monotonic()],
            strict=True,
        )
        return max(later - earlier for earlier, later in pairs)

    def _run(self):
        connection = None
        while not self.stopped:
            meter = f"{id(self)}-{len(self.written)}-{time.monotonic()}"
            try:
                if connection is None or connection.closed:
                    connection = self.fleet.connect(self.number)
                connection.execute(
                    "INSERT INTO readings (meter, kwh) VALUES (%s, 1)", (meter,)
                )
            except psycopg.Error:
                continue
            self.written.append(meter)
            self.acknowledged_at.append(time.monotonic())


@pytest.mark.xdist_group("failover")
class FailoverTests(testtools.TestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.running = fleets.run_fleet(instances=3)
        cls.fleet = cls.running.__enter__()

    @classmethod
    def tearDownClass(cls):
        cls.running.__exit__(None, None, None)
        super().tearDownClass()

    def members(self):
        state = self.fleet.change_member(f"{fleets.SERVICE}-{fleets.DATA_CENTRES[0]}")
        return {m["name"]: m for m in state["groups"][fleets.SERVICE]}

    def primary(self):
        primaries = [m for m in self.members().values() if m["role"] == "primary"]
        return max(primaries, key=lambda member: member["term"])["name"]

    def wait_for_replicas(self):
        """Wait until all members follow the primary; returns its name."""
        end = time.monotonic() + 5.0
        while time.monotonic() < end:
            primary = self.primary()
            if all(m["leader"] == primary for m in self.members().values()):
                return primary
            time.sleep(0.05)
        raise TimeoutError(self.members())

    def fail_over(self, **change):
        """Change the primary's state and check the failover that it causes.

        No writer may go without an acknowledged write for `MAX_WRITE_GAP_S`, and
        each acknowledged row must be stored exactly once.
        """
        old = self.wait_for_replicas()
        writers = [Writer(self.fleet, number) for number in range(3)]
        time.sleep(0.5)
        self.fleet.change_member(old, **change)
        time.sleep(FAILOVER_WAIT_S)
        self.assertNotEqual(old, self.primary())
        self.fleet.change_member(old, faults=NO_FAULTS, leaving=False)
        for writer in writers:
            writer.stop()
            self.assertTrue(
                writer.longest_gap() < MAX_WRITE_GAP_S, writer.longest_gap()
            )
        self.assertNotEqual(old, self.wait_for_replicas())
        written = [meter for writer in writers for meter in writer.written]
        with self.fleet.connect(1) as connection:
            rows = connection.execute("SELECT meter FROM readings").fetchall()
        found = [row[0] for row in rows]
        self.assertEqual([], [meter for meter in written if found.count(meter) != 1])

    def test_killed_primary_with_the_platform_down(self):
        self.fleet.change_platform(outage=True)
        self.addCleanup(self.fleet.change_platform, outage=False)
        self.fail_over(faults={"killed": True})

    def test_paused_primary(self):
        self.fail_over(faults={"paused": True})

    def test_isolated_primary(self):
        others = [name for name in self.members() if name != self.wait_for_replicas()]
        self.fail_over(faults={"cut_hosts": ["127."], "cut_members": others})

    def test_leaving_primary(self):
        self.fail_over(leaving=True)

    def test_slow_primary_is_not_replaced(self):
        old = self.wait_for_replicas()
        self.fleet.change_member(old, service_s=0.2)
        self.addCleanup(self.fleet.change_member, old, service_s=0.0)
        time.sleep(FAILOVER_WAIT_S)
        self.assertEqual(old, self.wait_for_replicas())
