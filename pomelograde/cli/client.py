"""HTTP client of the operators' interface."""

import http.client
import json
import ssl
import urllib.error
import urllib.parse
import urllib.request

import attrs

REQUEST_TIMEOUT_S = 15.0


class RefusedError(Exception):
    """The instance answered with an error.

    Parameters
    ----------
    status : int
        HTTP status.
    body : dict
        JSON body of the answer.
    """

    def __init__(self, status, body):
        super().__init__(body.get("message", f"status {status}"))
        self.status = status
        self.body = body


class UnreachableError(Exception):
    """No answer came from the instance."""


@attrs.frozen
class Client:
    """Sends an operator's requests to one instance.

    Attributes
    ----------
    server : str
        Base address, such as ``https://10.0.0.1:8432``.
    token : str
        Bearer token.
    authority_file : str
        PEM file with the certificate authority for https; empty for those of
        the system.
    """

    server: str
    token: str = attrs.field(repr=False)
    authority_file: str = ""

    def request(self, method, path, body=None, **query):
        """Send a request and return the answer's JSON value.

        Raises
        ------
        RefusedError
            If the status is 400 or above.
        UnreachableError
            If no answer came.
        """
        with self._open(method, path, body, query, REQUEST_TIMEOUT_S) as response:
            return _read(response)

    def watch(self, path, **query):
        """Yield the JSON values of a stream until it ends.

        Raises
        ------
        RefusedError
            If the status is 400 or above.
        UnreachableError
            If no answer came or the stream broke.
        """
        with self._open("GET", path, None, query, None) as response:
            try:
                for line in response:
                    yield json.loads(line)
            except (OSError, http.client.HTTPException) as error:
                raise UnreachableError(str(error)) from error

    def _open(self, method, path, body, query, timeout_s):
        known = {name: value for name, value in query.items() if value is not None}
        url = self.server + urllib.parse.quote(path)
        if known:
            url += "?" + urllib.parse.urlencode(known)
        data = None if body is None else json.dumps(body).encode("utf-8")
        request = urllib.request.Request(url, data=data, method=method)
        request.add_header("Authorization", f"Bearer {self.token}")
        request.add_header("Content-Type", "application/json")
        try:
            return urllib.request.urlopen(
                request, timeout=timeout_s, context=self._tls_context()
            )
        except urllib.error.HTTPError as error:
            raise RefusedError(error.code, _read_error(error)) from None
        except urllib.error.URLError as error:
            raise UnreachableError(str(error.reason)) from None
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise UnreachableError(str(error) or type(error).__name__) from None

    def _tls_context(self):
        if not self.server.startswith("https:"):
            return None
        return ssl.create_default_context(cafile=self.authority_file or None)


def _read(response):
    try:
        return json.loads(response.read() or b"null")
    except (OSError, http.client.HTTPException, ValueError) as error:
        raise UnreachableError(str(error)) from error


def _read_error(error):
    try:
        body = json.loads(error.read())
    except (OSError, http.client.HTTPException, ValueError):
        body = None
    return body if isinstance(body, dict) else {"message": f"status {error.code}"}
