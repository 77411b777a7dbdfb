"""Calls to the platform's metadata store."""

import base64
import json
import urllib.parse

import attrs
from twisted.internet import defer, error, protocol
from twisted.web import client, http_headers
from twisted.web import http as web_http

CALL_TIMEOUT_S = 1.5  # an answer takes 4 ms; leaves time for others to be asked
CLOCK_DRIFT = 0.001  # share by which the store's clock and ours may differ
CONNECTIONS = 3  # one held by a long poll, two for other calls
OK = 200
CONFLICT = 412
HISTORY_LOST = 410


class StoreUnavailableError(Exception):
    """The store did not answer, or would not; a commit may still happen."""


class HistoryLostError(Exception):
    """The changes after the given version are no longer available."""


@attrs.frozen
class Row:
    """A row of a table.

    Attributes
    ----------
    key : str
        Key.
    value : bytes or None
        Contents; None for a row that was removed.
    version : int
        Number of the transaction that wrote it.
    """

    key: str
    value: bytes | None
    version: int


@attrs.frozen
class Rows:
    """Rows as of one moment.

    Attributes
    ----------
    rows : list of Row
        The rows.
    version : int
        Newest version in the store at that moment.
    as_of : float
        Time on this instance's clock; the rows are not older.
    """

    rows: list
    version: int
    as_of: float


class Store:
    """Client of the store.

    Parameters
    ----------
    reactor : IReactorTCP
        Reactor.
    address : str
        Host and port.
    bind_host : str
        IP address to connect from.
    on_call : callable
        Called with the name of each call and its outcome.
    """

    def __init__(self, reactor, address, bind_host, on_call=lambda name, outcome: None):
        self.reactor = reactor
        self.base = f"http://{address}"
        self.on_call = on_call
        self.clock_at = None
        self.clock_ms = 0
        self.pool = client.HTTPConnectionPool(reactor)
        self.pool.maxPersistentPerHost = CONNECTIONS
        self.pool.retryAutomatically = False
        self.agent = client.Agent(
            reactor,
            connectTimeout=CALL_TIMEOUT_S,
            bindAddress=(bind_host, 0) if bind_host else None,
            pool=self.pool,
        )

    async def read_table(self, table):
        """Return all rows of a table."""
        asked_at = self.reactor.seconds()
        rows = []
        first_as_of = None
        start = ""
        while True:
            query = {"table": table, "part": "", "limit": 500}
            if start:
                query["from"] = start
            status, body = await self._call("read", "GET", "/rows-get", query)
            if status != OK:
                raise StoreUnavailableError(f"status {status}")
            as_of = self._locate(body["nowMs"], asked_at)
            first_as_of = as_of if first_as_of is None else first_as_of
            rows.extend(_read_row(row) for row in body["rows"])
            if not body.get("hasMore"):
                return Rows(rows, body["ver"], first_as_of)
            start = rows[-1].key + "\0"

    async def follow_table(self, table, version, wait_s):
        """Return the rows of a table that changed after a version.

        Parameters
        ----------
        table : str
            Name of the table.
        version : int
            Version up to which changes are known.
        wait_s : float
            How long to wait for a change.

        Raises
        ------
        HistoryLostError
            If the table has to be read anew.
        """
        asked_at = self.reactor.seconds()
        query = {"table": table, "after": version, "waitMs": int(wait_s * 1000)}
        status, body = await self._call("follow", "GET", "/rows-feed", query, wait_s)
        if status == HISTORY_LOST:
            raise HistoryLostError
        if status != OK:
            raise StoreUnavailableError(f"status {status}")
        as_of = self._locate(body["nowMs"], asked_at)
        return Rows([_read_row(row) for row in body["rows"]], body["ver"], as_of)

    async def commit(self, table, conditions, writes):
        """Change rows of a table, all or none.

        Parameters
        ----------
        table : str
            Name of the table.
        conditions : dict of str to int
            Version that each row must have, 0 for no row.
        writes : dict of str to bytes or None
            New contents; None removes the row.

        Returns
        -------
        int or None
            Version of the transaction; None if a condition did not hold.
        """
        body = {
            "expectedRev": [
                {"table": table, "part": "", "key": key, "ver": version}
                for key, version in conditions.items()
            ],
            "puts": [
                {
                    "table": table,
                    "part": "",
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                }
                for key, value in writes.items()
                if value is not None
            ],
            "remove": [
                {"table": table, "part": "", "key": key}
                for key, value in writes.items()
                if value is None
            ],
        }
        status, found = await self._call("commit", "POST", "/rows-tx", {}, 0.0, body)
        if status == CONFLICT:
            return None
        if status != OK:
            raise StoreUnavailableError(f"status {status}")
        return found["ver"]

    def close(self):
        """Close all connections; returns a Deferred."""
        return self.pool.closeCachedConnections()

    def _locate(self, now_ms, asked_at):
        """Return a time on this instance's clock before the store's answer arose.

        Parameters
        ----------
        now_ms : int
            The store's steady clock, as it says in the answer.
        asked_at : float
            When the call was sent.

        Notes
        -----
        An answer arises after its call was sent, which also bounds where the
        store's clock stands on ours. The answer to a long poll, which may
        arise much later than its call, is placed by what short calls showed.
        """
        as_of = asked_at
        if self.clock_at is not None:
            passed_s = (now_ms - self.clock_ms) / 1000.0
            placed = self.clock_at + passed_s * (1.0 - CLOCK_DRIFT)
            if placed <= self.reactor.seconds():
                as_of = max(asked_at, placed)
        self.clock_at = as_of
        self.clock_ms = now_ms
        return as_of

    async def _call(self, name, method, path, query, wait_s=0.0, body=None):
        url = self.base + path
        if query:
            url += "?" + urllib.parse.urlencode(query)
        headers = http_headers.Headers({"Content-Type": ["application/json"]})
        producer = None if body is None else _Body(json.dumps(body).encode())
        timeout_s = wait_s + CALL_TIMEOUT_S
        try:
            request = self.agent.request(
                method.encode(), url.encode(), headers, producer
            )
            request.addTimeout(timeout_s, self.reactor)
            response = await request
            reading = client.readBody(response)
            reading.addTimeout(timeout_s, self.reactor)
            content = await reading
        except _FAILURES as failure:
            self.on_call(name, "no_answer")
            raise StoreUnavailableError(type(failure).__name__) from failure
        self.on_call(name, str(response.code))
        try:
            return response.code, json.loads(content) if content else {}
        except ValueError as failure:
            raise StoreUnavailableError("unreadable answer") from failure


class _Body:
    """Body of a request."""

    def __init__(self, data):
        self.data = data
        self.length = len(data)

    def startProducing(self, consumer):  # noqa: N802
        """Write everything at once."""
        consumer.write(self.data)
        return defer.succeed(None)

    def pauseProducing(self):  # noqa: N802
        """Do nothing."""

    def resumeProducing(self):  # noqa: N802
        """Do nothing."""

    def stopProducing(self):  # noqa: N802
        """Do nothing."""


_FAILURES = (
    defer.TimeoutError,
    defer.CancelledError,
    error.ConnectError,
    error.ConnectionClosed,
    client.ResponseFailed,
    client.RequestTransmissionFailed,
    client.ResponseNeverReceived,
    client.RequestNotSent,
    client.PartialDownloadError,
    web_http.PotentialDataLoss,
    protocol.connectionDone.type,
)


def _read_row(row):
    value = None
    if not row.get("tombstone"):
        value = base64.b64decode(row["value"])
    return Row(row["key"], value, row["ver"])
