"""Client of the platform's table service, object store and instance list.

No other module knows the platform's HTTP interface. The contract that is
assumed is described in docs/PLATFORM.md.
"""

import json
import urllib.parse

import attrs
import result
import treq
from twisted.internet import defer
from twisted.internet import error as net_error
from twisted.web import client as web_client

from pomelograde.core import membership
from pomelograde.net import _json_items

REQUEST_TIMEOUT_S = 2.0
# A read over a persistent connection that has gone silent is repeated over a
# new one after a multiple of the last latency, but not before the minimum.
MIN_READ_TIMEOUT_S = 0.5
READ_TIMEOUT_LATENCY_FACTOR = 4.0
NO_ANSWER = "no answer"
INVALID_ANSWER = "invalid answer"


@attrs.frozen
class Row:
    """A row of the table.

    Attributes
    ----------
    key : str
        Key of the row.
    value : object
        JSON value.
    version : int
        Number of the commit that wrote it.
    """

    key: str
    value: object
    version: int


@attrs.frozen
class Condition:
    """Version that a row must have for a commit to succeed; 0 for no row."""

    key: str
    version: int


@attrs.frozen
class Write:
    """A row to write; a value of None deletes it."""

    key: str
    value: object


@attrs.frozen
class Conflict:
    """A condition of a commit did not hold; nothing was written.

    Attributes
    ----------
    rows : list of Row
        Current rows named by the conditions.
    """

    rows: list[Row]


@attrs.frozen
class TableRead:
    """Rows of the table.

    Attributes
    ----------
    version : int
        Version of the whole table.
    rows : list of Row
        Rows ordered by version.
    is_complete : bool
        Whether all rows of the answer could be read.
    """

    version: int
    rows: list[Row]
    is_complete: bool = True


@attrs.frozen
class InstanceList:
    """The platform's list of instances.

    Attributes
    ----------
    instances : list of Instance
        Instances, of incarnation 0.
    is_complete : bool
        Whether all entries of the list could be read.
    """

    instances: list[membership.Instance]
    is_complete: bool


@attrs.frozen
class Unavailable:
    """The platform did not answer; a commit may have taken effect.

    Attributes
    ----------
    reason : str
        Cause of the failure.
    """

    reason: str


class PlatformClient:
    """Client of the platform's HTTP interface.

    Parameters
    ----------
    reactor : IReactorTCP
        Reactor that the requests run on.
    base_url : str
        URL of the platform, without a trailing slash.
    timeout_s : float
        Time limit of a request.
    bind_host : str
        Local IP address to connect from; empty for any.
    on_rejected : callable or None
        Called with name and reason for each row and each entry of the list of
        instances that can't be read.

    Attributes
    ----------
    last_latency_s : float
        Latency of the last response.

    Notes
    -----
    Rows and entries are checked here, so that no reader gets one of a value that
    can't be copied, encoded or sent on. A reader still has to check the fields.
    """

    def __init__(
        self,
        reactor,
        base_url,
        timeout_s=REQUEST_TIMEOUT_S,
        bind_host="",
        on_rejected=None,
    ):
        self.reactor = reactor
        self.on_rejected = on_rejected
        self.base_url = base_url
        self.timeout_s = timeout_s
        self.last_latency_s = 0.0
        self.pool = web_client.HTTPConnectionPool(reactor, persistent=True)
        self.client = treq.client.HTTPClient(
            web_client.Agent(
                reactor,
                connectTimeout=timeout_s,
                bindAddress=(bind_host, 0) if bind_host else None,
                pool=self.pool,
            )
        )

    def reject(self, key, reason):
        """Report a row that can't be used."""
        if self.on_rejected is not None:
            self.on_rejected(key, reason)

    async def commit(self, conditions, writes):
        """Write rows if all conditions hold.

        Parameters
        ----------
        conditions : list of Condition
            Versions that the rows must have.
        writes : list of Write
            Rows to write.

        Returns
        -------
        Result of int or Conflict or Unavailable
            Version of the written rows.
        """
        body = {
            "conditions": [attrs.asdict(condition) for condition in conditions],
            "writes": [attrs.asdict(write) for write in writes],
        }
        answer = await self._request("POST", "/v1/table/commit", body)
        if answer.is_err():
            return answer
        status, value = answer.ok_value
        if status == 409:
            return result.Err(Conflict(self._read_rows(_list_of(value, "rows"))))
        version = _version_of(value)
        if version is None:
            return result.Err(Unavailable(INVALID_ANSWER))
        return result.Ok(version)

    async def rows(self, prefix, after_version=0):
        """Read the rows whose keys start with `prefix`.

        Parameters
        ----------
        prefix : str
            Prefix of the keys.
        after_version : int
            Return only rows written after this version, among them deleted
            ones with the value None.

        Returns
        -------
        Result of TableRead or Unavailable
            The rows.
        """
        query = urllib.parse.urlencode({"prefix": prefix, "after": after_version})
        answer = await self._request("GET", f"/v1/table/rows?{query}")
        if answer.is_err():
            return answer
        _, value = answer.ok_value
        version, items = _version_of(value), _list_of(value, "rows")
        if version is None or items is None:
            return result.Err(Unavailable(INVALID_ANSWER))
        rows = self._read_rows(items)
        return result.Ok(TableRead(version, rows, len(rows) == len(items)))

    async def put_object(self, name, value):
        """Store an object; returns a Result of None or Unavailable."""
        answer = await self._request("PUT", f"/v1/objects/{name}", value)
        return answer.map(lambda _: None)

    async def get_object(self, name):
        """Read an object; returns a Result of its value or Unavailable.

        Notes
        -----
        The value is None if there is no such object.
        """
        answer = await self._request("GET", f"/v1/objects/{name}")
        return answer.map(lambda pair: None if pair[0] == 404 else pair[1])

    async def instances(self):
        """Read the platform's list of instances, which may lag behind.

        Returns
        -------
        Result of InstanceList or Unavailable
            The instances.
        """
        answer = await self._request("GET", "/v1/instances")
        if answer.is_err():
            return answer
        items = _list_of(answer.ok_value[1], "instances")
        if items is None:
            return result.Err(Unavailable(INVALID_ANSWER))
        instances = self._read_items(items, decode_instance, "instances/")
        return result.Ok(InstanceList(instances, len(instances) == len(items)))

    def _read_rows(self, items):
        return self._read_items(items or (), decode_row, "")

    def _read_items(self, items, decode, prefix):
        """Return the items that can be decoded; reports the others."""
        found = []
        for item in items:
            decoded = decode(item)
            if decoded.is_ok():
                found.append(decoded.ok_value)
            else:
                self.reject(prefix + _name_of(item), decoded.err_value)
        return found

    async def _request(self, method, path, body=None):
        if method != "GET":
            return await self._send_with_timeout(method, path, body, self.timeout_s)
        timeout_s = min(self.timeout_s, self._read_timeout_s())
        answer = await self._send_with_timeout(method, path, body, timeout_s)
        if answer.is_ok() or answer.err_value.reason != NO_ANSWER:
            return answer
        # The persistent connection may never answer again. It was closed after
        # the time-out, so this request opens a new one.
        return await self._send_with_timeout(method, path, body, self.timeout_s)

    def _read_timeout_s(self):
        return max(
            MIN_READ_TIMEOUT_S, READ_TIMEOUT_LATENCY_FACTOR * self.last_latency_s
        )

    async def _send_with_timeout(self, method, path, body, timeout_s):
        started_at = self.reactor.seconds()
        response = defer.ensureDeferred(self._send(method, path, body))
        try:
            code, content = await response.addTimeout(timeout_s, self.reactor)
        except (
            defer.CancelledError,
            defer.TimeoutError,
            web_client.ResponseFailed,
            web_client.ResponseNeverReceived,
            web_client.RequestTransmissionFailed,
        ):
            self.pool.closeCachedConnections()
            return result.Err(Unavailable(NO_ANSWER))
        except (net_error.ConnectError, net_error.ConnectionClosed) as error:
            return result.Err(Unavailable(type(error).__name__))
        self.last_latency_s = self.reactor.seconds() - started_at
        return _parse_response(code, content)

    async def _send(self, method, path, body):
        response = await self.client.request(
            method,
            self.base_url + path,
            data=None if body is None else json.dumps(body).encode("utf-8"),
            headers={"Content-Type": "application/json"},
        )
        return response.code, await treq.content(response)


def decode_row(item):
    """Return the Result of a `Row`, or of the reason why an item is none.

    Parameters
    ----------
    item : object
        Item of a list of rows, as `json.loads` gives it.
    """
    fault = _find_fault(item)
    if fault is not None:
        return result.Err(fault)
    version = _version_of(item)
    if version is None or not {"key", "value"} <= set(item):
        return result.Err("lacks key, value or version")
    if not isinstance(item["key"], str) or not item["key"].isprintable():
        return result.Err("has a key that is no printable text")
    return result.Ok(Row(item["key"], item["value"], version))


def decode_instance(item):
    """Return the Result of an `Instance`, or of the reason why an item is none.

    Parameters
    ----------
    item : object
        Entry of the list of instances, as `json.loads` gives it.
    """
    fault = _find_fault(item)
    if fault is not None:
        return result.Err(fault)
    instance = membership.Instance(
        name=item.get("name"),
        data_centre=item.get("data_centre"),
        incarnation=0,
        host=item.get("host"),
        peer_port=item.get("peer_port"),
        leaving=item.get("leaving"),
    )
    fault = membership.find_fault(instance)
    return result.Ok(instance) if fault is None else result.Err(fault)


def _find_fault(item):
    if isinstance(item, _json_items.Unparsable):
        return item.reason
    if not isinstance(item, dict):
        return "is no object"
    return _json_items.find_fault(item)


def _name_of(item):
    """Return the key or name of an item that can't be read, as far as known."""
    if not isinstance(item, dict):
        return ""
    name = item.get("key", item.get("name", ""))
    return name if isinstance(name, str) else ""


def _version_of(value):
    version = value.get("version") if isinstance(value, dict) else None
    in_range = type(version) is int and 0 <= version < _json_items.INTEGER_LIMIT
    return version if in_range else None


def _list_of(value, name):
    items = value.get(name) if isinstance(value, dict) else None
    return items if isinstance(items, list) else None


def _parse_response(code, content):
    if code >= 500:
        return result.Err(Unavailable(f"status {code}"))
    if not content:
        return result.Ok((code, None))
    parsed = _json_items.loads(content)
    if parsed.is_err():
        return result.Err(Unavailable(f"answer {parsed.err_value}"))
    return result.Ok((code, parsed.ok_value))
