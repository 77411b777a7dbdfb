"""Tests of the fault-injecting proxy."""

import contextlib
import socket
import threading

import testtools

from soak import proxy


class ProxyTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        threading.Thread(target=self.echo, daemon=True).start()
        port = self.listener.getsockname()[1]
        self.proxy = proxy.Proxy(f"127.0.0.1:{port}")
        self.addCleanup(self.proxy.close)
        self.received = []
        host, _, port = self.proxy.address.rpartition(":")
        self.client = socket.create_connection((host, int(port)), 1.0)
        self.addCleanup(self.client.close)

    def echo(self):
        with contextlib.suppress(OSError):
            connection, _ = self.listener.accept()
            while data := connection.recv(100):
                self.received.append(data)
                connection.sendall(data)

    def test_bytes_are_forwarded_both_ways(self):
        self.client.sendall(b"one")
        self.assertEqual(b"one", self.client.recv(10))

    def test_one_way_drops_answers_only(self):
        self.proxy.mode = proxy.Mode.ONE_WAY
        self.client.sendall(b"one")
        self.client.settimeout(0.3)
        self.assertRaises(TimeoutError, self.client.recv, 10)
        self.assertEqual([b"one"], self.received)

    def test_silent_mode_holds_bytes_back_until_it_ends(self):
        self.proxy.mode = proxy.Mode.SILENT
        self.client.sendall(b"one")
        self.client.settimeout(0.3)
        self.assertRaises(TimeoutError, self.client.recv, 10)
        self.assertEqual([], self.received)
        self.proxy.mode = proxy.Mode.PASS
        self.client.settimeout(1.0)
        self.assertEqual(b"one", self.client.recv(10))

    def test_reset_mode_resets_connections(self):
        self.client.sendall(b"one")
        self.client.recv(10)
        self.proxy.mode = proxy.Mode.RESET
        self.assertRaises(ConnectionResetError, self.client.recv, 10)
