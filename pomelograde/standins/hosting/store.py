"""Stand-in of the hosting platform's metadata store."""

import base64
import json
import time

import attrs
from twisted.internet import reactor as default_reactor
from twisted.web import resource, server

from pomelograde.standins import http


@attrs.define
class StoreFaults:
    """Faults that can be switched on.

    Attributes
    ----------
    refuse : bool
        Whether every call is answered 503.
    silent : bool
        Whether calls get no answer.
    lose_answers : bool
        Whether commits take effect without an answer.
    slow_s : float
        Delay before each answer.
    """

    refuse: bool = False
    silent: bool = False
    lose_answers: bool = False
    slow_s: float = 0.0


class Tables:
    """Versioned rows of all tables.

    Attributes
    ----------
    version : int
        Version of the last transaction.
    rows : dict of tuple to tuple
        Value, None for a removed row, and version, by table and key.
    oldest : int
        Version before which history is gone.
    """

    def __init__(self):
        self.version = 0
        self.rows = {}
        self.oldest = 0

    def put(self, table, key, value):
        """Write a row; returns its version."""
        self.version += 1
        self.rows[(table, key)] = (value, self.version)
        return self.version

    def commit(self, body):
        """Apply a transaction; returns status and answer."""
        for wanted in body["expectedRev"]:
            value, version = self.rows.get((wanted["table"], wanted["key"]), (None, 0))
            if wanted["ver"] != (0 if value is None else version):
                return 412, {"rows": []}
        self.version += 1
        for row in body["puts"]:
            value = base64.b64decode(row["value"])
            self.rows[(row["table"], row["key"])] = (value, self.version)
        for row in body["remove"]:
            self.rows[(row["table"], row["key"])] = (None, self.version)
        return 200, {}

    def read(self, table, start):
        """Return the rows of a table from a key on."""
        return [
            _describe(table, key, value, version)
            for (found, key), (value, version) in sorted(self.rows.items())
            if found == table and value is not None and key >= start
        ]

    def changes(self, table, after):
        """Return the rows of a table that changed after a version."""
        changed = [
            (version, key, value)
            for (found, key), (value, version) in self.rows.items()
            if found == table and version > after
        ]
        return [
            _describe(table, key, value, version)
            for version, key, value in sorted(changed)
        ]


class StoreSite(resource.Resource):
    """The store over HTTP, with ``POST /faults`` and ``POST /put`` for tests.

    Parameters
    ----------
    tables : Tables
        Contents.
    reactor : IReactorTime
        Reactor.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, tables, reactor=default_reactor):
        super().__init__()
        self.tables = tables
        self.reactor = reactor
        self.faults = StoreFaults()
        self.waiting = []
        self.calls = {}
        self.on_promote = None

    def render(self, request):
        """Answer a call."""
        path = request.path.decode()
        if path == "/faults":
            self.faults = StoreFaults(**http.read_body(request))
            return http.answer(request, 200, {})
        if path == "/put":
            body = http.read_body(request)
            value = None if body["value"] is None else body["value"].encode()
            version = self.put(body["table"], body["key"], value)
            return http.answer(request, 200, {"ver": version})
        if path == "/calls":
            return http.answer(request, 200, self.calls)
        if path == "/forget":
            self.tables.oldest = self.tables.version + 1
            self._wake()
            return http.answer(request, 200, {})
        if path == "/promote":
            status = self.on_promote(
                http.read_body(request),
                request.getHeader("Lease-Holder"),
                int(request.getHeader("Fencing-Token")),
            )
            return http.answer(request, status, {})
        self.calls[path] = self.calls.get(path, 0) + 1
        if self.faults.silent:
            return server.NOT_DONE_YET
        if self.faults.refuse:
            return http.answer(request, 503, {})
        # The connection may be gone, and the body with it, once it is answered.
        body = request.content.read()
        self.reactor.callLater(self.faults.slow_s, self._answer, request, path, body)
        return server.NOT_DONE_YET

    def put(self, table, key, value):
        """Write a row; returns its version."""
        version = self.tables.put(table, key, value)
        self._wake()
        return version

    def _answer(self, request, path, body):
        if path == "/rows-tx":
            status, answer = self.tables.commit(json.loads(body))
            self._wake()
            if not self.faults.lose_answers:
                self._finish(request, status, answer)
            return
        arguments = {
            name.decode(): values[0].decode() for name, values in request.args.items()
        }
        table = arguments["table"]
        if path == "/rows-get":
            rows = self.tables.read(table, arguments.get("from", ""))
            self._finish(request, 200, {"rows": rows, "hasMore": False})
        elif path == "/rows-feed":
            wait_s = int(arguments["waitMs"]) / 1000.0
            waiter = (request, table, int(arguments["after"]))
            if not self._feed(*waiter):
                self.waiting.append(waiter)
                self.reactor.callLater(wait_s, self._give_up, waiter)
        else:
            self._finish(request, 404, {})

    def _feed(self, request, table, after):
        """Answer a poll if there is something to say; returns whether."""
        if after < self.tables.oldest:
            self._finish(request, 410, {})
            return True
        rows = self.tables.changes(table, after)
        if rows:
            self._finish(request, 200, {"rows": rows})
        return bool(rows)

    def _wake(self):
        self.waiting = [waiter for waiter in self.waiting if not self._feed(*waiter)]

    def _give_up(self, waiter):
        if waiter in self.waiting:
            self.waiting.remove(waiter)
            self._finish(waiter[0], 200, {"rows": []})

    def _finish(self, request, status, answer):
        now_ms = int(time.monotonic() * 1000.0)
        answer = {"ver": self.tables.version, "nowMs": now_ms, **answer}
        http.finish(request, status, answer)


def _describe(table, key, value, version):
    row = {"table": table, "part": "", "key": key, "ver": version}
    if value is None:
        return {**row, "tombstone": True}
    return {**row, "value": base64.b64encode(value).decode()}
