"""Calls to the platform's metadata store."""

import base64

import attrs

from pomelograde.platform import http

CLOCK_DRIFT = 0.001  # share by which the store's clock and ours may differ
OK = 200
CONFLICT = 412
HISTORY_LOST = 410


StoreUnavailableError = http.UnavailableError


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
    http : HttpClient
        Client of the store's address.
    """

    def __init__(self, http):
        self.http = http
        self.clock_at = None
        self.clock_ms = 0

    async def read_table(self, table):
        """Return all rows of a table."""
        asked_at = self.http.reactor.seconds()
        rows = []
        first_as_of = None
        start = ""
        while True:
            query = {"table": table, "part": "", "limit": 500}
            if start:
                query["from"] = start
            status, body = await self.http.call("read", "GET", "/rows-get", query)
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
        asked_at = self.http.reactor.seconds()
        query = {"table": table, "after": version, "waitMs": int(wait_s * 1000)}
        status, body = await self.http.call(
            "follow", "GET", "/rows-feed", query, wait_s=wait_s
        )
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
        status, found = await self.http.call("commit", "POST", "/rows-tx", body=body)
        if status == CONFLICT:
            return None
        if status != OK:
            raise StoreUnavailableError(f"status {status}")
        return found["ver"]

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
            if placed <= self.http.reactor.seconds():
                as_of = max(asked_at, placed)
        self.clock_at = as_of
        self.clock_ms = now_ms
        return as_of


def _read_row(row):
    value = None
    if not row.get("tombstone"):
        value = base64.b64decode(row["value"])
    return Row(row["key"], value, row["ver"])
