"""Callers that send random operations and record what they observe."""

import itertools
import random
import threading
import time

from pomelograde.standins.hosting import fleets
from soak import history

OPERATION_INTERVAL_S = 0.02
ANSWER_TIMEOUT_S = 8.0  # twice the longest time limit of a route
# Error codes that guarantee that the statement did not take effect.
NOT_RUN_CODES = ("RETRY", "OVERLOAD", "LAGGING", "ABORTED", "READONLY", "MISROUTED")
MISSING_VALUE = "-"  # answer of a member for an item that does not exist
ROUTES = ("meters", "meters-own", "meters-bounded")


class Caller(threading.Thread):
    """Thread that sends operations over one connection at a time.

    Each caller writes items of its own, and reads those of all callers.

    Parameters
    ----------
    name : str
        Name of the caller; prefix of its items and request ids.
    seed : int
        Together with the name, the seed of the operations and their order.
    ports : callable
        Returns the caller ports of all instances.
    observed : History
        Receives the writes and reads.
    acknowledged : dict of str to int
        Last acknowledged value of each item; shared by all callers.

    Attributes
    ----------
    label : str
        Name of the caller.
    generation : int
        Number of writes and transactions of unknown outcome so far.
    session_values : dict of str to int
        Last value of each item acknowledged on the current connection.
    served : int
        Reads that were answered, and acknowledged writes and transactions.
    """

    def __init__(self, name, seed, ports, observed, acknowledged):
        super().__init__(daemon=True)
        self.label = name
        self.rng = random.Random(f"{seed}/{name}")
        self.ports = ports
        self.observed = observed
        self.acknowledged = acknowledged
        self.value_counter = itertools.count(1)
        self.generation = 0
        self.connection = None
        self.route = ""
        self.session_values = {}
        self.stop_requested = threading.Event()
        self.served = 0

    def run(self):
        """Send operations until `stop_requested` is set, reconnecting on errors."""
        while not self.stop_requested.is_set():
            try:
                if self.connection is None:
                    self._connect()
                self._run_random_operation()
            except (OSError, IndexError):
                self._disconnect()
            time.sleep(OPERATION_INTERVAL_S)
        self._disconnect()

    def _connect(self):
        self.route = self.rng.choice(ROUTES)
        port = self.rng.choice(self.ports())
        connection = fleets.Caller(port, database=self.route)
        connection.socket.settimeout(ANSWER_TIMEOUT_S)
        self.session_values = {}
        if connection.start and connection.start[0].startswith("ERROR"):
            connection.close()
            raise OSError(connection.start[0])
        self.connection = connection

    def _disconnect(self):
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.close()

    def _run_random_operation(self):
        kind = self.rng.choice(("write", "read", "read", "transaction"))
        if self.route == "meters-bounded":
            kind = "read"
        if kind == "write":
            self._write()
        elif kind == "read":
            self._read()
        else:
            self._run_transaction()

    def _query(self, text, request_id=None):
        """Send a statement and return the lines of its answer."""
        lines = self.connection.query(text, request_id)
        if lines[-1] == "closed":
            self._disconnect()
        return lines

    def _write(self):
        value = next(self.value_counter)
        item = self._item_name("w")
        request_id = f"{self.label}-{value}"
        outcome = history.Outcome.UNKNOWN
        try:
            outcome = classify(self._query(f"WRITE {item} {value}", request_id))
        finally:
            self._record_writes([(request_id, item, value)], outcome)

    def _run_transaction(self):
        value = next(self.value_counter)
        writes = [
            (f"{self.label}-{value}-{part}", self._item_name(part), value)
            for part in ("a", "b")
        ]
        outcome = history.Outcome.NOT_RUN
        try:
            if classify(self._query("BEGIN")) is not history.Outcome.ACKNOWLEDGED:
                return
            for request_id, item, _ in writes:
                write_outcome = classify(
                    self._query(f"WRITE {item} {value}", request_id)
                )
                if write_outcome is not history.Outcome.ACKNOWLEDGED:
                    if self.connection is not None:
                        self._query("ROLLBACK")
                    return
            outcome = history.Outcome.UNKNOWN
            outcome = classify(self._query("COMMIT"))
        finally:
            self._record_writes(writes, outcome, f"{self.label}-{value}")

    def _read(self):
        item = self.rng.choice(sorted(self.acknowledged) or [self._item_name("w")])
        if self.route == "meters-own":
            item = self._item_name("w")
        floor = 0
        if self.route == "meters":
            floor = self.acknowledged.get(item, 0)
        elif self.route == "meters-own":
            floor = self.session_values.get(item, 0)
        lines = self._query(f"READ {item}")
        if classify(lines) is history.Outcome.ACKNOWLEDGED:
            rows = [line for line in lines if line.startswith("DATAROW ")]
            value = rows[0].removeprefix("DATAROW ") if rows else MISSING_VALUE
            value = 0 if value == MISSING_VALUE else int(value)
            self.observed.reads.append(history.Read(item, value, floor, self.route))
            self.served += 1

    def _item_name(self, part):
        """Return the name of an item that the caller writes at present.

        Notes
        -----
        The name changes after a write of unknown outcome: that write may still
        take effect later, and overwrite a value that follows it.
        """
        return f"{self.label}-{part}-{self.generation}"

    def _record_writes(self, writes, outcome, transaction=""):
        now = time.monotonic()
        for request_id, item, value in writes:
            self.observed.writes.append(
                history.Write(request_id, item, value, now, outcome, transaction)
            )
            if outcome is history.Outcome.ACKNOWLEDGED:
                self.acknowledged[item] = value
                self.session_values[item] = value
        self.generation += outcome is history.Outcome.UNKNOWN
        self.served += outcome is history.Outcome.ACKNOWLEDGED


def classify(lines):
    """Return the outcome of a statement from the lines of its answer."""
    errors = [line for line in lines if line.startswith("ERROR ")]
    if errors:
        not_run = errors[0].split()[1] in NOT_RUN_CODES
        return history.Outcome.NOT_RUN if not_run else history.Outcome.UNKNOWN
    completed = any(line.startswith(("COMPLETE", "DATAROW")) for line in lines)
    return history.Outcome.ACKNOWLEDGED if completed else history.Outcome.UNKNOWN
