"""Client of the platform's metadata store."""

import base64

import attrs

from pomelograde.platform import http

MAX_CLOCK_DRIFT = 0.001  # relative drift between the store's clock and ours
STATUS_OK = 200
STATUS_CONDITION_FAILED = 412
STATUS_HISTORY_LOST = 410

StoreUnavailableError = http.UnavailableError


class HistoryLostError(Exception):
    """The store no longer has all changes after the given version."""


@attrs.frozen
class Row:
    """A row of a table.

    Attributes
    ----------
    key : str
        Key.
    value : bytes or None
        Content; None for a deleted row.
    version : int
        Number of the transaction that wrote it.
    """

    key: str
    value: bytes | None
    version: int


@attrs.frozen
class ReadResult:
    """Rows that one read returned.

    Attributes
    ----------
    rows : list of Row
        The rows.
    version : int
        Latest version in the store at the time of the read.
    as_of : float
        Time of this instance's clock that is not later than the read; the rows
        include all changes before it.
    """

    rows: list
    version: int
    as_of: float


class StoreClient:
    """Reads and writes tables of the store.

    Parameters
    ----------
    http_client : HttpClient
        Client of the store's address.

    Attributes
    ----------
    reference_at : float or None
        The last `ReadResult.as_of`; None before the first answer.
    reference_store_ms : int
        Time of the store's clock in the answer that it was derived from.
    """

    def __init__(self, http_client):
        self.http_client = http_client
        self.reference_at = None
        self.reference_store_ms = 0

    async def read_table(self, table):
        """Return all rows of a table.

        Returns
        -------
        ReadResult
            Its `as_of` is that of the first page.

        Raises
        ------
        StoreUnavailableError
            If the store does not answer with the rows.
        """
        requested_at = self.http_client.reactor.seconds()
        rows = []
        first_as_of = None
        start = ""
        while True:
            query = {"table": table, "part": "", "limit": 500}
            if start:
                query["from"] = start
            status, body = await self.http_client.call(
                "read", "GET", "/rows-get", query
            )
            if status != STATUS_OK:
                raise StoreUnavailableError(f"status {status}")
            as_of = self._estimate_as_of(body["nowMs"], requested_at)
            first_as_of = as_of if first_as_of is None else first_as_of
            rows.extend(_decode_row(row) for row in body["rows"])
            if not body.get("hasMore"):
                return ReadResult(rows, body["ver"], first_as_of)
            start = rows[-1].key + "\0"

    async def follow_table(self, table, version, wait_s):
        """Wait until a table changes, and return the changed rows.

        Parameters
        ----------
        table : str
            Name of the table.
        version : int
            Version up to which changes are already known.
        wait_s : float
            Longest time to wait for a change.

        Returns
        -------
        ReadResult
            Without rows if nothing changed in time.

        Raises
        ------
        HistoryLostError
            If the whole table must be read again.
        StoreUnavailableError
            If the store does not answer with the rows.
        """
        requested_at = self.http_client.reactor.seconds()
        query = {"table": table, "after": version, "waitMs": int(wait_s * 1000)}
        status, body = await self.http_client.call(
            "follow", "GET", "/rows-feed", query, wait_s=wait_s
        )
        if status == STATUS_HISTORY_LOST:
            raise HistoryLostError
        if status != STATUS_OK:
            raise StoreUnavailableError(f"status {status}")
        as_of = self._estimate_as_of(body["nowMs"], requested_at)
        return ReadResult(
            [_decode_row(row) for row in body["rows"]], body["ver"], as_of
        )

    async def commit(self, table, conditions, writes):
        """Change rows of a table atomically.

        Parameters
        ----------
        table : str
            Name of the table.
        conditions : dict of str to int
            Version that each row must have; 0 if it must not exist.
        writes : dict of str to bytes or None
            New content of each row; None deletes the row.

        Returns
        -------
        int or None
            Version of the transaction; None if a condition did not hold.

        Raises
        ------
        StoreUnavailableError
            If the store does not confirm the change, which may still take effect.
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
        status, answer = await self.http_client.call(
            "commit", "POST", "/rows-tx", body=body
        )
        if status == STATUS_CONDITION_FAILED:
            return None
        if status != STATUS_OK:
            raise StoreUnavailableError(f"status {status}")
        return answer["ver"]

    def _estimate_as_of(self, now_ms, requested_at):
        """Return a time on this instance's clock not later than the store's read.

        Parameters
        ----------
        now_ms : int
            Time of the store's monotonic clock in the answer.
        requested_at : float
            Time on this instance's clock at which the request was sent.

        Notes
        -----
        The store reads after the request was sent, so `requested_at` is a safe
        bound. Each answer thus also relates the store's clock to ours. A long
        poll may be answered much later than it was sent: its read is dated by
        the time that has passed on the store's clock since an earlier answer,
        less the possible drift.
        """
        as_of = requested_at
        if self.reference_at is not None:
            elapsed_s = (now_ms - self.reference_store_ms) / 1000.0
            estimate = self.reference_at + elapsed_s * (1.0 - MAX_CLOCK_DRIFT)
            if estimate <= self.http_client.reactor.seconds():
                as_of = max(requested_at, estimate)
        self.reference_at = as_of
        self.reference_store_ms = now_ms
        return as_of


def _decode_row(row):
    value = None
    if not row.get("tombstone"):
        value = base64.b64decode(row["value"])
    return Row(row["key"], value, row["ver"])
