"""Tests of the event loop: the clock of its timers, and its writes."""

import json
import subprocess
import sys
import time

import testtools

from pomelograde.net import steady_reactor

STEP_CLOCK_SCRIPT = """
import time
step = [0.0]
real_time = time.time
time.time = lambda: real_time() + step[0]
from twisted.python import runtime
runtime.seconds = time.time
runtime.platform.seconds = time.time
from pomelograde.daemon import main
from pomelograde.net import steady_reactor
reactor = steady_reactor.install()
fired = []
before = reactor.seconds()
reactor.callLater(0.2, lambda: (fired.append(reactor.seconds()), reactor.stop()))
reactor.callLater(0.0, step.__setitem__, 0, 3600.0)
reactor.run()
print(round(fired[0] - before, 1))
"""

WRITE_SCRIPT = """
import json, sys
from pomelograde.net import steady_reactor
reactor = steady_reactor.install()
from twisted.internet import protocol

polled = {"calls": 0}
register = reactor._add

def count(descriptor, primary, other, selectables, event, antievent):
    polled["calls"] += primary is reactor._writes and descriptor.connected
    register(descriptor, primary, other, selectables, event, antievent)

reactor._add = count
size = int(sys.argv[1])

class Sender(protocol.Protocol):
    def connectionMade(self):
        polled["calls"] = 0
        for start in range(0, size, 1000):
            self.transport.write(bytes([start // 1000 % 251]) * 1000)
        self.transport.loseConnection()

class Receiver(protocol.Protocol):
    received = b""

    def dataReceived(self, data):
        self.received += data

    def connectionLost(self, reason):
        chunks = [self.received[i : i + 1000] for i in range(0, size, 1000)]
        whole = all(
            chunk == bytes([index % 251]) * 1000 for index, chunk in enumerate(chunks)
        )
        print(json.dumps([len(self.received), whole, polled["calls"] > 0]))
        reactor.stop()

port = reactor.listenTCP(
    0, protocol.Factory.forProtocol(Sender), interface="127.0.0.1"
)
client = protocol.ClientFactory.forProtocol(Receiver)
reactor.connectTCP("127.0.0.1", port.getHost().port, client)
reactor.run()
"""


class SteadyReactorTests(testtools.TestCase):
    def test_clock_counts_suspended_time(self):
        before = time.clock_gettime(time.CLOCK_BOOTTIME)
        seconds = steady_reactor.SteadyReactor.seconds()
        after = time.clock_gettime(time.CLOCK_BOOTTIME)
        self.assertTrue(before <= seconds <= after)

    def test_timers_are_unaffected_by_a_step_of_the_wall_clock(self):
        done = subprocess.run(
            [sys.executable, "-c", STEP_CLOCK_SCRIPT],
            capture_output=True,
            text=True,
            timeout=60,
        )
        self.assertEqual("0.2", done.stdout.strip(), done.stderr)

    def test_message_that_fits_into_the_socket_does_not_wait_for_the_poller(self):
        self.assertEqual([20_000, True, False], _transfer(20_000))

    def test_rest_of_a_long_message_waits_for_the_poller(self):
        self.assertEqual([30_000_000, True, True], _transfer(30_000_000))


def _transfer(size):
    """Return the bytes received, whether they are right, and if the poller was used."""
    done = subprocess.run(
        [sys.executable, "-c", WRITE_SCRIPT, str(size)],
        capture_output=True,
        text=True,
        timeout=60,
    )
    return json.loads(done.stdout or "null")
