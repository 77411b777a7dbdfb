"""Tests of connections to members that answer what no member should."""

import testtools
from twisted.internet import defer, error, testing
from twisted.python import failure

from pomelograde.core import placement
from pomelograde.net import pools
from pomelograde.platform import upstreams

MEMBER = placement.Member(name="i-1", data_centre="a", host="h", port=1)


class OpenTests(testtools.TestCase):
    def test_host_that_no_name_server_knows_fails_the_connection_only(self):
        reactor = testing.MemoryReactorClock()
        found = []
        opening = upstreams.open_connection(reactor, "g", MEMBER, "desk", "")
        defer.ensureDeferred(opening).addErrback(found.append)
        reason = failure.Failure(error.DNSLookupError())
        reactor.tcpClients[0][2].clientConnectionFailed(None, reason)
        self.assertIsInstance(found[0].value, pools.UpstreamOpenError)
