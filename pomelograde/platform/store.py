"""Client of the platform's metadata store.

The store may return from an older copy. It then gives versions out again, and
raises its era, which all its answers carry. This client therefore orders the
store's contents by revisions: integers with the era above the version. A
revision of a later era is greater than all of earlier eras.
"""

import base64
import re

import attrs

from pomelograde.platform import _json, _rows, http

MAX_CLOCK_DRIFT = 0.001  # relative drift between the store's clock and ours
STATUS_OK = 200
STATUS_CONDITION_FAILED = 412
STATUS_HISTORY_LOST = 410
ERA_HEADER = b"Store-Era"
VERSION_BITS = 40  # eras and versions of 13 and 40 bits fit into a JSON number
VERSION_MASK = (1 << VERSION_BITS) - 1
MAX_ERA = (1 << 13) - 1
MAX_CLOCK_MS = 1 << 63
_ERA = re.compile(rb"[0-9]{1,4}")

StoreUnavailableError = http.UnavailableError


class StoreRestoredError(StoreUnavailableError):
    """The store returned from an older copy before it carried out a change."""


class HistoryLostError(Exception):
    """The store no longer has all changes after the given version."""


def make_revision(era, version):
    """Return the revision of a version in an era."""
    return era << VERSION_BITS | version


def era_of(revision):
    """Return the era of a revision."""
    return revision >> VERSION_BITS


def version_of(revision):
    """Return the store's version of a revision."""
    return revision & VERSION_MASK


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
        Number of the transaction that wrote it, in the era of the write.
    """

    key: str
    value: bytes | None
    version: int


@attrs.frozen
class ReadResult:
    """Rows that one read returned.

    Attributes
    ----------
    rows : list of Row or InvalidRow
        The rows; an InvalidRow stands for one that can't be read.
    revision : int
        Latest revision of the store at the time of the read.
    as_of : float
        Time of this instance's clock that is not later than the read; the rows
        include all changes before it.
    """

    rows: list
    revision: int
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
    era : int
        Latest era that an answer carried; 0 for a store without eras.
    era_since : float
        When the first answer of that era arrived; negative infinity for a store
        without eras.
    """

    def __init__(self, http_client):
        self.http_client = http_client
        self.era = 0
        self.era_since = float("-inf")
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
        first_era = None
        start = ""
        while True:
            query = {"table": table, "part": "", "limit": 500}
            if start:
                query["from"] = start
            status, body = await self._call("read", "GET", "/rows-get", query)
            if status != STATUS_OK:
                raise StoreUnavailableError(f"status {status}")
            first_era = self.era if first_era is None else first_era
            if self.era != first_era:
                raise StoreUnavailableError("the store was restored during the read")
            page = _decode_page(body)
            as_of = self._estimate_as_of(page.now_ms, requested_at)
            first_as_of = as_of if first_as_of is None else first_as_of
            rows.extend(page.rows)
            if not page.has_more:
                revision = make_revision(self.era, page.version)
                return ReadResult(rows, revision, first_as_of)
            last = page.rows[-1].key if page.rows else ""
            if last < start or not last:
                raise StoreUnavailableError("malformed answer: pages don't advance")
            start = last + "\0"

    async def follow_table(self, table, revision, wait_s):
        """Wait until a table changes, and return the changed rows.

        Parameters
        ----------
        table : str
            Name of the table.
        revision : int
            Revision up to which changes are already known.
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
        era = era_of(revision)
        if era != self.era:
            raise HistoryLostError
        requested_at = self.http_client.reactor.seconds()
        query = {
            "table": table,
            "after": version_of(revision),
            "waitMs": int(wait_s * 1000),
        }
        status, body = await self._call(
            "follow", "GET", "/rows-feed", query, wait_s=wait_s
        )
        if status == STATUS_HISTORY_LOST or era != self.era:
            raise HistoryLostError
        if status != STATUS_OK:
            raise StoreUnavailableError(f"status {status}")
        page = _decode_page(body)
        as_of = self._estimate_as_of(page.now_ms, requested_at)
        return ReadResult(page.rows, make_revision(era, page.version), as_of)

    async def commit(self, table, conditions, writes):
        """Change rows of a table atomically.

        The caller must have read the expected versions in the current era.

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
            Revision of the transaction; None if a condition did not hold.

        Raises
        ------
        StoreRestoredError
            If the conditions are of an earlier era than the change.
        StoreUnavailableError
            If the store does not confirm the change, which may still take effect.
        """
        era = self.era
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
        status, answer = await self._call("commit", "POST", "/rows-tx", body=body)
        if era != self.era:
            raise StoreRestoredError(f"era {self.era} at the commit, {era} before it")
        if status == STATUS_CONDITION_FAILED:
            return None
        if status != STATUS_OK:
            raise StoreUnavailableError(f"status {status}")
        try:
            return make_revision(
                era, _json.require_integer(answer["ver"], VERSION_MASK)
            )
        except (KeyError, TypeError, ValueError) as error:
            raise StoreUnavailableError(f"malformed answer: {error!r}") from error

    async def _call(self, name, method, path, query=None, body=None, wait_s=0.0):
        """Send a request and record the era of its answer.

        Returns
        -------
        tuple of (int, object)
            HTTP status and JSON value of the answer.
        """
        answer = await self.http_client.call(
            name, method, path, query, body, wait_s=wait_s
        )
        self._record_era(answer.headers.getRawHeaders(ERA_HEADER, [b""])[0])
        return answer.status, answer.body

    def _record_era(self, text):
        """Record the era that an answer carries.

        Raises
        ------
        StoreUnavailableError
            If the era is invalid, or earlier than that of a previous answer.
        """
        if not text:
            return
        era = int(text) if _ERA.fullmatch(text) else -1
        if not 0 <= era <= MAX_ERA:
            raise StoreUnavailableError(f"answer of the invalid era {text[:40]!r}")
        if era < self.era:
            raise StoreUnavailableError(f"answer of era {era}, after era {self.era}")
        if era > self.era:
            self.era = era
            self.era_since = self.http_client.reactor.seconds()
            self.reference_at = None  # the store's clock may have changed, too

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


@attrs.frozen
class _Page:
    """Content of an answer about rows.

    Attributes
    ----------
    rows : list of Row or InvalidRow
        The rows.
    version : int
        Latest version in the store.
    now_ms : int
        Time of the store's monotonic clock.
    has_more : bool
        Whether the table has rows after these.
    """

    rows: list
    version: int
    now_ms: int
    has_more: bool


def _decode_page(body):
    """Decode an answer about rows.

    Raises
    ------
    StoreUnavailableError
        If a field of the answer is missing or has another type. A row that
        can't be read does not make an answer invalid.
    """
    try:
        rows = body["rows"]
        if type(rows) is not list:
            raise TypeError(f"expected a list of rows, got {_json.describe(rows)}")
        return _Page(
            [_decode_row(row) for row in rows],
            _json.require_integer(body["ver"], VERSION_MASK),
            _require_time(body["nowMs"]),
            bool(body.get("hasMore")),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise StoreUnavailableError(f"malformed answer: {error!r}") from error


def _decode_row(fields):
    """Return the Row of an answer, or an InvalidRow.

    Notes
    -----
    The key and the content are what a writer has given to the store. An invalid
    one costs that row, although the store should have refused it.
    """
    key, version = "", 0
    try:
        _json.require_object(fields)
        key = _json.read(fields, "key", _require_encodable)
        version = _json.read(fields, "ver", _json.require_integer, VERSION_MASK)
        if fields.get("tombstone"):
            return Row(key, None, version)
        value = _json.read(fields, "value", _require_base64)
    except ValueError as error:
        return _rows.InvalidRow(key, version, str(error))
    return Row(key, value, version)


def _require_encodable(value):
    if type(value) is not str:
        raise ValueError(f"expected a string, got {_json.describe(value)}")
    value.encode()
    return value


def _require_base64(value):
    if type(value) is not str:
        raise ValueError(f"expected a string, got {_json.describe(value)}")
    return base64.b64decode(value, validate=True)


def _require_time(value):
    if type(value) not in (int, float) or not abs(value) <= MAX_CLOCK_MS:
        raise TypeError(f"expected a time, got {_json.describe(value)}")
    return value
