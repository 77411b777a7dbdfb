"""Tests of the relays between data centres, run as separate processes."""

import socket
import socketserver
import threading

import testtools

from pomelograde.standins import http, processes

PLACES = {"north": "127.0.1.", "south": "127.0.2."}
ANSWER_TIMEOUT_S = 0.3


class _Echo(socketserver.BaseRequestHandler):
    def handle(self):
        while data := self.request.recv(1024):
            self.request.sendall(data)


class LinkTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        running = processes.Processes()
        running.__enter__()
        self.addCleanup(running.__exit__, None, None, None)
        echo = socketserver.ThreadingTCPServer(("127.0.2.1", 0), _Echo)
        echo.daemon_threads = True
        threading.Thread(target=echo.serve_forever, daemon=True).start()
        self.addCleanup(echo.server_close)
        self.addCleanup(echo.shutdown)
        self.url = running.start_links(PLACES)
        self.port = processes.add_link(
            self.url, "echo", "south", *echo.server_address[:2]
        )

    def connect(self, source):
        connection = socket.create_connection(
            ("127.0.0.1", self.port), ANSWER_TIMEOUT_S, source_address=(source, 0)
        )
        self.addCleanup(connection.close)
        return connection

    def exchange(self, connection):
        connection.sendall(b"x")
        return connection.recv(1)

    def test_cut_holds_bytes_of_its_pair_only_until_it_heals(self):
        north, south = self.connect("127.0.1.1"), self.connect("127.0.2.2")
        self.assertEqual(b"x", self.exchange(north))
        http.post(f"{self.url}/links", {"cuts": [["north", "south"]]})
        self.assertRaises(TimeoutError, self.exchange, north)
        self.assertRaises(TimeoutError, self.exchange, self.connect("127.0.1.1"))
        self.assertEqual(b"x", self.exchange(south))
        http.post(f"{self.url}/links", {"cuts": []})
        self.assertEqual(b"x", north.recv(1))

    def test_silenced_connection_stays_silent_and_new_ones_work(self):
        old = self.connect("127.0.1.1")
        self.assertEqual(b"x", self.exchange(old))
        http.post(f"{self.url}/links", {"silence": True})
        self.assertRaises(TimeoutError, self.exchange, old)
        self.assertEqual(b"x", self.exchange(self.connect("127.0.1.1")))
