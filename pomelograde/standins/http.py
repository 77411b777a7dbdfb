"""JSON over HTTP for the stand-ins."""

import json
import urllib.request


def answer(request, status, value):
    """Set status and content type of an answer and return its JSON body."""
    request.setResponseCode(status)
    request.setHeader("content-type", "application/json")
    return json.dumps(value).encode("utf-8")


def finish(request, status, value):
    """Send the answer to a request whose handling returned ``NOT_DONE_YET``."""
    if request.channel is not None:
        request.write(answer(request, status, value))
        request.finish()


def read_body(request):
    """Return the JSON value of a request's body."""
    return json.loads(request.content.read())


def post(url, value, timeout_s=5.0):
    """Send a POST request, blocking, and return the JSON value of the answer."""
    return send("POST", url, value, timeout_s=timeout_s)


def send(method, url, value=None, headers=(), timeout_s=5.0):
    """Send a request, blocking, and return the JSON value of the answer.

    Raises
    ------
    urllib.error.HTTPError
        If the status is 400 or above.
    """
    data = None if value is None else json.dumps(value).encode("utf-8")
    request = urllib.request.Request(url, data=data, method=method)
    request.add_header("Content-Type", "application/json")
    for name, text in headers:
        request.add_header(name, text)
    with urllib.request.urlopen(request, timeout=timeout_s) as response:
        return json.loads(response.read() or b"null")
