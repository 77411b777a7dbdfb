"""Stand-in for the hosting platform's metadata store."""

import base64
import json
import time

import attrs
from twisted.internet import reactor as default_reactor
from twisted.web import resource, server

from pomelograde.standins import http


@attrs.define
class StoreFaults:
    """Faults that tests inject into the store.

    Attributes
    ----------
    refuse : bool
        Whether every call is answered with status 503.
    silent : bool
        Whether calls stay open without an answer.
    lose_answers : bool
        Whether commits are applied but not answered.
    slow_s : float
        Delay before each answer.
    late_s : float
        Delay after which commits are applied, without an answer, if their
        conditions still hold; 0 to apply and answer them at once.
    """

    refuse: bool = False
    silent: bool = False
    lose_answers: bool = False
    slow_s: float = 0.0
    late_s: float = 0.0


class Tables:
    """Versioned rows of all tables.

    Attributes
    ----------
    version : int
        Version of the last transaction.
    rows : dict of tuple to tuple
        Value and version by (table, key). The value of a removed row is None.
    oldest_version : int
        A feed that continues after an earlier version is answered with status 410.
    era : int
        How often the tables have been restored from a copy, plus one.
    copy : tuple of (int, dict)
        Version and rows of the copy.
    """

    def __init__(self):
        self.version = 0
        self.rows = {}
        self.oldest_version = 0
        self.era = 1
        self.copy = (0, {})

    def keep_copy(self):
        """Keep a copy of the current rows."""
        self.copy = (self.version, dict(self.rows))

    def restore(self):
        """Return to the copy: later writes are lost, and versions used again."""
        self.version, rows = self.copy
        self.rows = dict(rows)
        self.era += 1

    def put(self, table, key, value):
        """Write a row and return its version."""
        self.version += 1
        self.rows[(table, key)] = (value, self.version)
        return self.version

    def commit(self, body):
        """Apply a transaction if all expected versions match.

        Returns
        -------
        tuple of (int, dict)
            HTTP status and body of the answer.
        """
        for condition in body["expectedRev"]:
            value, version = self.rows.get(
                (condition["table"], condition["key"]), (None, 0)
            )
            if condition["ver"] != (0 if value is None else version):
                return 412, {"rows": []}
        self.version += 1
        for row in body["puts"]:
            value = base64.b64decode(row["value"])
            self.rows[(row["table"], row["key"])] = (value, self.version)
        for row in body["remove"]:
            self.rows[(row["table"], row["key"])] = (None, self.version)
        return 200, {}

    def read(self, table, start):
        """Return the existing rows of a table whose key is at least `start`."""
        return [
            _format_row(table, key, value, version)
            for (row_table, key), (value, version) in sorted(self.rows.items())
            if row_table == table and value is not None and key >= start
        ]

    def changes(self, table, after):
        """Return the rows of a table written or removed after a version."""
        changed = [
            (version, key, value)
            for (row_table, key), (value, version) in self.rows.items()
            if row_table == table and version > after
        ]
        return [
            _format_row(table, key, value, version)
            for version, key, value in sorted(changed)
        ]


class StoreResource(resource.Resource):
    """HTTP interface of the store, with control paths for tests.

    The control paths are ``/faults``, ``/put``, ``/calls`` (number of calls by
    path), ``/forget`` (discards the history that feeds read), ``/copy`` (keeps a
    copy of all tables) and ``/restore`` (returns to that copy).

    Parameters
    ----------
    tables : Tables
        Contents.
    reactor : IReactorTime
        Schedules delayed answers and the time-outs of polls.
    clock : callable
        Returns the seconds that answers carry.

    Attributes
    ----------
    sends_era : bool
        Whether answers carry the era of the tables.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, tables, reactor=default_reactor, clock=time.monotonic):
        super().__init__()
        self.tables = tables
        self.sends_era = True
        self.reactor = reactor
        self.clock = clock
        self.faults = StoreFaults()
        self.pending_polls = []
        self.calls = {}
        self.on_promote = None
        self.promotion_answer_s = 0.0

    def render(self, request):
        """Handle a request."""
        path = request.path.decode()
        if path == "/faults":
            self.faults = StoreFaults(**http.read_body(request))
            return http.answer(request, 200, {})
        if path == "/copy":
            self.tables.keep_copy()
            return http.answer(request, 200, {})
        if path == "/restore":
            self.tables.restore()
            self._answer_pending_polls()
            return http.answer(request, 200, {})
        if path == "/put":
            body = http.read_body(request)
            value = None if body["value"] is None else body["value"].encode()
            version = self.put(body["table"], body["key"], value)
            return http.answer(request, 200, {"ver": version})
        if path == "/calls":
            return http.answer(request, 200, self.calls)
        if path == "/forget":
            self.tables.oldest_version = self.tables.version + 1
            self._answer_pending_polls()
            return http.answer(request, 200, {})
        if path == "/promote":
            status = self.on_promote(
                http.read_body(request),
                request.getHeader("Lease-Holder"),
                int(request.getHeader("Fencing-Token")),
            )
            if not self.promotion_answer_s:
                return http.answer(request, status, {})
            self.reactor.callLater(
                self.promotion_answer_s, http.finish, request, status, {}
            )
            return server.NOT_DONE_YET
        self.calls[path] = self.calls.get(path, 0) + 1
        if self.faults.silent:
            return server.NOT_DONE_YET
        if self.faults.refuse:
            self._set_era(request)
            return http.answer(request, 503, {})
        # Read the body now: if the connection closes during the delay, the body
        # is closed with it.
        body = request.content.read()
        self.reactor.callLater(self.faults.slow_s, self._answer, request, path, body)
        return server.NOT_DONE_YET

    def _set_era(self, request):
        if self.sends_era:
            request.setHeader("Store-Era", str(self.tables.era))

    def put(self, table, key, value):
        """Write a row, answer polls that wait for it, and return its version."""
        version = self.tables.put(table, key, value)
        self._answer_pending_polls()
        return version

    def _answer(self, request, path, body):
        if path == "/rows-tx" and self.faults.late_s:
            self.reactor.callLater(
                self.faults.late_s, self.tables.commit, json.loads(body)
            )
            return
        if path == "/rows-tx":
            status, answer = self.tables.commit(json.loads(body))
            self._answer_pending_polls()
            if not self.faults.lose_answers:
                self._send_answer(request, status, answer)
            return
        arguments = {
            name.decode(): values[0].decode() for name, values in request.args.items()
        }
        table = arguments["table"]
        if path == "/rows-get":
            rows = self.tables.read(table, arguments.get("from", ""))
            self._send_answer(request, 200, {"rows": rows, "hasMore": False})
        elif path == "/rows-feed":
            wait_s = int(arguments["waitMs"]) / 1000.0
            poll = (request, table, int(arguments["after"]))
            if not self._answer_poll(*poll):
                self.pending_polls.append(poll)
                self.reactor.callLater(wait_s, self._expire_poll, poll)
        else:
            self._send_answer(request, 404, {})

    def _answer_poll(self, request, table, after):
        """Answer a poll that has changes or lost its history; return whether."""
        if not self.tables.oldest_version <= after <= self.tables.version:
            self._send_answer(request, 410, {})
            return True
        rows = self.tables.changes(table, after)
        if rows:
            self._send_answer(request, 200, {"rows": rows})
        return bool(rows)

    def _answer_pending_polls(self):
        self.pending_polls = [
            poll for poll in self.pending_polls if not self._answer_poll(*poll)
        ]

    def _expire_poll(self, poll):
        if poll in self.pending_polls:
            self.pending_polls.remove(poll)
            self._send_answer(poll[0], 200, {"rows": []})

    def _send_answer(self, request, status, answer):
        self._set_era(request)
        now_ms = int(self.clock() * 1000.0)
        answer = {"ver": self.tables.version, "nowMs": now_ms, **answer}
        http.finish(request, status, answer)


def _format_row(table, key, value, version):
    row = {"table": table, "part": "", "key": key, "ver": version}
    if value is None:
        return {**row, "tombstone": True}
    return {**row, "value": base64.b64encode(value).decode()}
