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

REQUEST_TIMEOUT_S = 2.0
# A read over a persistent connection that has gone silent is repeated over a
# new one after a multiple of the last latency, but not before the minimum.
MIN_READ_TIMEOUT_S = 0.5
READ_TIMEOUT_LATENCY_FACTOR = 4.0
NO_ANSWER = "no answer"


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

    Attributes
    ----------
    last_latency_s : float
        Latency of the last response.
    """

    def __init__(self, reactor, base_url, timeout_s=REQUEST_TIMEOUT_S, bind_host=""):
        self.reactor = reactor
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
            return result.Err(Conflict([Row(**row) for row in value["rows"]]))
        return result.Ok(value["version"])

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
        Result of (int, list of Row) or Unavailable
            Version of the whole table, and the rows ordered by version.
        """
        query = urllib.parse.urlencode({"prefix": prefix, "after": after_version})
        answer = await self._request("GET", f"/v1/table/rows?{query}")
        if answer.is_err():
            return answer
        _, value = answer.ok_value
        return result.Ok((value["version"], [Row(**row) for row in value["rows"]]))

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
        Result of list of dict or Unavailable
            Fields name, data_centre, host, peer_port and leaving of each
            instance.
        """
        answer = await self._request("GET", "/v1/instances")
        return answer.map(lambda pair: pair[1]["instances"])

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


def _parse_response(code, content):
    if code >= 500:
        return result.Err(Unavailable(f"status {code}"))
    try:
        value = json.loads(content) if content else None
    except ValueError:
        return result.Err(Unavailable("answer is not JSON"))
    return result.Ok((code, value))
