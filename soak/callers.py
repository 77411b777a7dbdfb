"""Callers that write and read until the end, and note what they see."""

import itertools
import random
import threading
import time

from pomelograde.standins.hosting import fleets
from soak import history

PAUSE_S = 0.02
ANSWER_S = 8.0  # twice the longest time limit of a route
KEEP_PROMISE = ("RETRY", "OVERLOAD", "LAGGING", "ABORTED", "READONLY", "MISROUTED")
NOTHING = "-"  # what a member answers where an item is not there
ROUTES = ("meters", "meters-own", "meters-bounded")


class Caller(threading.Thread):
    """One caller with items of its own.

    Parameters
    ----------
    name : str
        Name, which its items and ids begin with.
    seed : int
        What it does, and when, follows from it.
    ports : callable
        Returns the ports of all instances.
    seen : History
        Takes what it sees.
    acknowledged : dict of str to int
        Last acknowledged value of each item, of all callers.
    """

    def __init__(self, name, seed, ports, seen, acknowledged):
        super().__init__(daemon=True)
        self.label = name
        self.chance = random.Random(f"{seed}/{name}")
        self.ports = ports
        self.seen = seen
        self.acknowledged = acknowledged
        self.values = itertools.count(1)
        self.generation = 0
        self.connection = None
        self.route = ""
        self.written = {}
        self.stopped = threading.Event()
        self.served = 0

    def run(self):
        """Send one thing after the other."""
        while not self.stopped.is_set():
            try:
                if self.connection is None:
                    self._connect()
                self._send_something()
            except (OSError, IndexError):
                self._drop()
            time.sleep(PAUSE_S)
        self._drop()

    def _connect(self):
        self.route = self.chance.choice(ROUTES)
        port = self.chance.choice(self.ports())
        connection = fleets.Caller(port, database=self.route)
        connection.socket.settimeout(ANSWER_S)
        self.written = {}
        if connection.start and connection.start[0].startswith("ERROR"):
            connection.close()
            raise OSError(connection.start[0])
        self.connection = connection

    def _drop(self):
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.close()

    def _send_something(self):
        kind = self.chance.choice(("write", "read", "read", "transaction"))
        if self.route == "meters-bounded":
            kind = "read"
        if kind == "write":
            self._write()
        elif kind == "read":
            self._read()
        else:
            self._transact()

    def _query(self, text, request_id=None):
        """Send a statement; returns its answer's lines."""
        lines = self.connection.query(text, request_id)
        if lines[-1] == "closed":
            self._drop()
        return lines

    def _write(self):
        value = next(self.values)
        item = self._item("w")
        request_id = f"{self.label}-{value}"
        outcome = history.Outcome.UNKNOWN
        try:
            outcome = _judge(self._query(f"WRITE {item} {value}", request_id))
        finally:
            self._note([(request_id, item, value)], outcome)

    def _transact(self):
        value = next(self.values)
        parts = [
            (f"{self.label}-{value}-{part}", self._item(part), value)
            for part in ("a", "b")
        ]
        outcome = history.Outcome.NOT_RUN
        try:
            if _judge(self._query("BEGIN")) is not history.Outcome.ACKNOWLEDGED:
                return
            for request_id, item, _ in parts:
                found = _judge(self._query(f"WRITE {item} {value}", request_id))
                if found is not history.Outcome.ACKNOWLEDGED:
                    if self.connection is not None:
                        self._query("ROLLBACK")
                    return
            outcome = history.Outcome.UNKNOWN
            outcome = _judge(self._query("COMMIT"))
        finally:
            self._note(parts, outcome, f"{self.label}-{value}")

    def _read(self):
        item = self.chance.choice(sorted(self.acknowledged) or [self._item("w")])
        if self.route == "meters-own":
            item = self._item("w")
        floor = 0
        if self.route == "meters":
            floor = self.acknowledged.get(item, 0)
        elif self.route == "meters-own":
            floor = self.written.get(item, 0)
        lines = self._query(f"READ {item}")
        if _judge(lines) is history.Outcome.ACKNOWLEDGED:
            rows = [line for line in lines if line.startswith("DATAROW ")]
            value = rows[0].removeprefix("DATAROW ") if rows else NOTHING
            value = 0 if value == NOTHING else int(value)
            self.seen.reads.append(history.Read(item, value, floor, self.route))
            self.served += 1

    def _item(self, part):
        """Return the name of an item.

        Notes
        -----
        A write of unknown outcome may still take effect, so what follows it
        goes to items of other names.
        """
        return f"{self.label}-{part}-{self.generation}"

    def _note(self, parts, outcome, group=""):
        now = time.monotonic()
        for request_id, item, value in parts:
            self.seen.writes.append(
                history.Write(request_id, item, value, now, outcome, group)
            )
            if outcome is history.Outcome.ACKNOWLEDGED:
                self.acknowledged[item] = value
                self.written[item] = value
        self.generation += outcome is history.Outcome.UNKNOWN
        self.served += outcome is history.Outcome.ACKNOWLEDGED


def _judge(lines):
    """Return how an answer ends a statement."""
    failed = [line for line in lines if line.startswith("ERROR ")]
    if failed:
        promised = failed[0].split()[1] in KEEP_PROMISE
        return history.Outcome.NOT_RUN if promised else history.Outcome.UNKNOWN
    done = any(line.startswith(("COMPLETE", "DATAROW")) for line in lines)
    return history.Outcome.ACKNOWLEDGED if done else history.Outcome.UNKNOWN
