"""Tests of simulated time and connections."""

import testtools
from twisted.internet import protocol

from measure import simulation


class Recorder(protocol.Protocol):
    def __init__(self):
        self.received = b""
        self.reasons = []

    def dataReceived(self, data):  # noqa: N802
        self.received += data

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        self.reasons.append(reason.type.__name__)


class Factory(protocol.ClientFactory):
    noisy = False

    def __init__(self):
        self.built = []
        self.failures = []

    def buildProtocol(self, addr):  # noqa: N802
        self.built.append(Recorder())
        return self.built[-1]

    def clientConnectionFailed(self, connector, reason):  # noqa: N802
        self.failures.append(reason.type.__name__)


class NetworkTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.network = simulation.Network(0.0)
        self.client = simulation.Process(self.network, "client")
        self.server = simulation.Process(self.network, "server")
        self.served, self.factory = Factory(), Factory()
        self.port = self.server.listenTCP(0, self.served).getHost().port

    def connect(self):
        self.client.connectTCP("127.0.0.1", self.port, self.factory, timeout=1.0)
        self.network.run_until(self.network.seconds() + 0.1)

    def run_for(self, duration_s):
        self.network.run_until(self.network.seconds() + duration_s)

    def test_calls_run_in_order_at_their_own_time(self):
        found = []
        for delay_s in (0.3, 0.1, 0.2):
            self.client.callLater(
                delay_s, lambda: found.append(round(self.client.seconds(), 3))
            )
        self.client.callLater(0.15, found.append, "cancelled").cancel()
        self.network.run_until(0.25)
        self.assertEqual([0.1, 0.2], found)

    def test_bytes_arrive_after_the_latency(self):
        self.connect()
        self.factory.built[0].transport.write(b"a")
        self.factory.built[0].transport.write(b"b")
        self.assertEqual(b"", self.served.built[0].received)
        self.run_for(0.01)
        self.assertEqual(b"ab", self.served.built[0].received)

    def test_cut_holds_bytes_and_connections_back(self):
        self.connect()
        self.network.cuts.add(("client", self.port))
        self.factory.built[0].transport.write(b"a")
        self.connect()
        self.assertEqual(
            (1, b""), (len(self.served.built), self.served.built[0].received)
        )
        self.run_for(1.0)
        self.assertEqual(["TimeoutError"], self.factory.failures)
        self.network.cuts.clear()
        self.run_for(0.1)
        self.assertEqual(b"a", self.served.built[0].received)

    def test_connection_of_a_killed_process_ends(self):
        self.connect()
        self.server.kill()
        self.run_for(0.01)
        self.assertEqual(["ConnectionLost"], self.factory.built[0].reasons)
        self.assertEqual([], self.served.built[0].reasons)
        self.connect()
        self.assertEqual(["ConnectionRefusedError"], self.factory.failures)

    def test_closed_connection_delivers_what_was_sent(self):
        self.connect()
        self.factory.built[0].transport.write(b"a")
        self.factory.built[0].transport.loseConnection()
        self.run_for(0.01)
        served = self.served.built[0]
        self.assertEqual((b"a", ["ConnectionDone"]), (served.received, served.reasons))

    def test_silent_connection_loses_bytes_and_new_ones_work(self):
        self.connect()
        (link,) = self.network.links
        link.is_silent = True
        self.factory.built[0].transport.write(b"a")
        self.connect()
        self.factory.built[1].transport.write(b"b")
        self.run_for(0.01)
        self.assertEqual([b"", b"b"], [found.received for found in self.served.built])
