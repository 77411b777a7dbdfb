"""Mutual authentication between instances, with real processes."""

import signal
import socket
import ssl
import struct
import time

import pytest
import testtools

from pomelograde.net import peer_messages
from pomelograde.standins import certificates
from tests import fleets

LIVE = 0  # value of membership.State.LIVE
TIMEOUT_S = 3.0


def heartbeat(sender, name):
    """Return the encoded heartbeat of `sender` with a record of instance `name`."""
    record = peer_messages.InstanceNews(
        name, "catania", "default", 1, "127.0.0.1", 9, beat=1, state=LIVE
    )
    message = peer_messages.Heartbeat(0, 0, [record])
    envelope = peer_messages.Envelope(sender, 1, 0, False, message)
    data = peer_messages.encode(envelope)
    return struct.pack(">I", len(data)) + data


@pytest.mark.xdist_group("peers")
class PeerTests(testtools.TestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.running = fleets.run_fleet(2)
        cls.fleet = cls.running.__enter__()

    @classmethod
    def tearDownClass(cls):
        cls.running.__exit__(None, None, None)
        super().tearDownClass()

    def send(self, data, files=None):
        """Send bytes to the first instance, with a client certificate if given."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.check_hostname = False
        context.verify_mode = ssl.CERT_NONE
        if files is not None:
            context.load_cert_chain(*files)
        address = ("127.0.0.1", self.fleet.port(0, "peer"))
        try:
            tcp_connection = socket.create_connection(address, TIMEOUT_S)
            with context.wrap_socket(tcp_connection) as connection:
                connection.sendall(data)
                connection.settimeout(0.5)
                connection.recv(1)
        except (ssl.SSLError, OSError):
            pass

    def served_certificate(self):
        address = ("127.0.0.1", self.fleet.port(0, "peer"))
        return ssl.get_server_certificate(address, timeout=TIMEOUT_S)

    def test_certificate_is_replaced_without_a_restart(self):
        before = self.served_certificate()
        name = self.fleet.settings[0]["instance"]
        self.fleet.running.authority.issue(name)
        self.fleet.daemons[0].send_signal(signal.SIGHUP)
        end = time.monotonic() + TIMEOUT_S
        while time.monotonic() < end and self.served_certificate() == before:
            time.sleep(0.05)
        self.assertNotEqual(before, self.served_certificate())
        files = self.fleet.running.authority.issue("late")
        self.send(heartbeat("late", "late"), files)
        self.assertTrue(self.is_known("late", TIMEOUT_S))

    def is_known(self, name, within_s):
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            if name in self.fleet.operate("GET", "/v1/status")["instances"]:
                return True
            time.sleep(0.05)
        return False

    def test_certificate_of_the_fleet_is_accepted(self):
        files = self.fleet.running.authority.issue("new")
        self.send(heartbeat("new", "new"), files)
        self.assertTrue(self.is_known("new", TIMEOUT_S))

    def test_connection_without_a_certificate_is_refused(self):
        self.send(heartbeat("anonymous", "anonymous"))
        self.assertFalse(self.is_known("anonymous", 1.0))

    def test_certificate_of_another_authority_is_refused(self):
        directory = self.fleet.running.directory / "foreign"
        directory.mkdir()
        files = certificates.make_authority(directory).issue("foreign")
        self.send(heartbeat("foreign", "foreign"), files)
        self.assertFalse(self.is_known("foreign", 1.0))

    def test_sender_with_another_name_than_its_certificate_is_refused(self):
        other = self.fleet.settings[1]["instance"]
        files = self.fleet.running.authority.issue("impostor")
        self.send(heartbeat(other, "forged"), files)
        self.assertFalse(self.is_known("forged", 1.0))
        log = self.fleet.running.directory / f"{self.fleet.settings[0]['instance']}.log"
        self.assertIn("PEER_REFUSED", log.read_text("utf-8"))
