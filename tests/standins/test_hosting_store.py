"""Tests of the stand-in for the hosting platform's metadata store."""

import base64
import io
import json

import testtools
from twisted.internet import task
from twisted.web import server

from pomelograde.standins.hosting import store


class Request:
    """Stand-in for a web request; the test closes its body before the answer."""

    path = b"/rows-tx"

    def __init__(self, body):
        self.content = io.BytesIO(json.dumps(body).encode())


class SlowStoreTests(testtools.TestCase):
    def test_slow_call_is_carried_out_though_its_connection_is_gone(self):
        clock = task.Clock()
        tables = store.Tables()
        resource = store.StoreResource(tables, clock)
        resource.faults = store.StoreFaults(slow_s=1.0, lose_answers=True)
        value = base64.b64encode(b"1").decode()
        put = {"table": "t", "part": "", "key": "k", "value": value}
        request = Request({"expectedRev": [], "puts": [put], "remove": []})
        self.assertEqual(server.NOT_DONE_YET, resource.render(request))
        request.content.close()
        clock.advance(1.0)
        self.assertEqual(["k"], [row["key"] for row in tables.read("t", "")])
