"""HTTP client of the operator API."""

import http.client
import json
import ssl
import urllib.error
import urllib.parse
import urllib.request

import attrs

REQUEST_TIMEOUT_S = 15.0


class RefusedError(Exception):
    """The instance answered with an HTTP error status.

    Parameters
    ----------
    status : int
        HTTP status.
    body : dict
        JSON body of the response.
    """

    def __init__(self, status, body):
        super().__init__(body.get("message", f"status {status}"))
        self.status = status
        self.body = body


class UnreachableError(Exception):
    """The instance sent no complete response."""


@attrs.frozen
class Client:
    """Client of the operator API of one instance.

    Attributes
    ----------
    server : str
        Base URL, such as ``https://10.0.0.1:8432``.
    token : str
        Bearer token.
    authority_file : str
        PEM file of the certificate authority for https; empty for the system's
        authorities.
    """

    server: str
    token: str = attrs.field(repr=False)
    authority_file: str = ""

    def request(self, method, path, body=None, **query):
        """Send a request and return the JSON value of the response.

        Raises
        ------
        RefusedError
            If the status is 400 or above.
        UnreachableError
            If no complete JSON response arrives in time.
        """
        with self._send(method, path, body, query, REQUEST_TIMEOUT_S) as response:
            return _read_json(response)

    def watch(self, path, **query):
        """Yield the JSON values of a stream, one per line, until it ends.

        Raises
        ------
        RefusedError
            If the status is 400 or above.
        UnreachableError
            If there is no response, or the connection breaks.
        """
        with self._send("GET", path, None, query, None) as response:
            try:
                for line in response:
                    yield json.loads(line)
            except (OSError, http.client.HTTPException) as error:
                raise UnreachableError(str(error)) from error

    def _send(self, method, path, body, query, timeout_s):
        parameters = {name: value for name, value in query.items() if value is not None}
        url = self.server + urllib.parse.quote(path)
        if parameters:
            url += "?" + urllib.parse.urlencode(parameters)
        data = None if body is None else json.dumps(body).encode("utf-8")
        request = urllib.request.Request(url, data=data, method=method)
        request.add_header("Authorization", f"Bearer {self.token}")
        request.add_header("Content-Type", "application/json")
        try:
            return urllib.request.urlopen(
                request, timeout=timeout_s, context=self._tls_context()
            )
        except urllib.error.HTTPError as error:
            raise RefusedError(error.code, _read_error_body(error)) from None
        except urllib.error.URLError as error:
            raise UnreachableError(str(error.reason)) from None
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise UnreachableError(str(error) or type(error).__name__) from None

    def _tls_context(self):
        if not self.server.startswith("https:"):
            return None
        return ssl.create_default_context(cafile=self.authority_file or None)


def _read_json(response):
    try:
        return json.loads(response.read() or b"null")
    except (OSError, http.client.HTTPException, ValueError) as error:
        raise UnreachableError(str(error)) from error


def _read_error_body(error):
    try:
        body = json.loads(error.read())
    except (OSError, http.client.HTTPException, ValueError):
        body = None
    return body if isinstance(body, dict) else {"message": f"status {error.code}"}
