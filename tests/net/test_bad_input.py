"""Tests of malformed, incomplete and excessive caller connections."""

import socket
import struct

import psycopg
import pytest
import testtools

from pomelograde.net import _frames
from pomelograde.standins import deployments
from tests import fleets, wire

STARTUP_TIMEOUT_S = 1.0
MAX_STARTING = 20


@pytest.mark.xdist_group("bad_input")
class BadInputTests(testtools.TestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        limits = {
            "startup_timeout_s": STARTUP_TIMEOUT_S,
            "starting_connections": MAX_STARTING,
            "frame_bytes": 1_000_000,
        }
        cls.running = fleets.run_fleet(instances=1, limits=limits)
        cls.fleet = cls.running.__enter__()

    @classmethod
    def tearDownClass(cls):
        cls.running.__exit__(None, None, None)
        super().tearDownClass()

    def setUp(self):
        super().setUp()
        other_connection = self.fleet.connect(0)
        self.addCleanup(self.check_other_connection, other_connection)

    def check_other_connection(self, other_connection):
        self.assertEqual((1,), other_connection.execute("SELECT 1").fetchone())
        other_connection.close()

    def open(self, authenticated=False):
        caller = wire.RawCaller(self.fleet.port(0))
        self.addCleanup(caller.close)
        if authenticated:
            password = deployments.password_of(fleets.ACCOUNT)
            caller.authenticate(fleets.ACCOUNT, password, fleets.SERVICE)
        return caller

    def check_refused(self, caller, sqlstate):
        errors = wire.errors(caller.read_until_ready())
        self.assertEqual([sqlstate], [error["C"] for error in errors])
        self.assertIsNone(caller.read())

    def test_length_of_two_gigabytes(self):
        caller = self.open(authenticated=True)
        caller.send(b"Q\x7f\xff\xff\xff")
        self.check_refused(caller, "08P01")

    def test_length_below_the_header(self):
        caller = self.open(authenticated=True)
        caller.send(b"Q\x00\x00\x00\x01")
        self.check_refused(caller, "08P01")

    def test_unknown_frame_type(self):
        caller = self.open(authenticated=True)
        caller.send(_frames.frame(b"!", b"x"))
        self.check_refused(caller, "08P01")

    def test_malformed_bind(self):
        caller = self.open(authenticated=True)
        caller.send(_frames.frame(b"B", b"no terminator") + _frames.frame(b"S"))
        self.check_refused(caller, "08P01")

    def test_query_without_terminator(self):
        caller = self.open(authenticated=True)
        caller.send(_frames.frame(b"Q", b""))
        self.check_refused(caller, "08P01")

    def test_startup_length_of_two_gigabytes(self):
        caller = self.open()
        caller.send(struct.pack(">II", 0x7FFFFFFF, _frames.PROTOCOL_VERSION))
        self.check_refused(caller, "08P01")

    def test_startup_with_an_unsupported_protocol_version(self):
        caller = self.open()
        caller.send(struct.pack(">II", 8, 2 << 16))
        self.check_refused(caller, "08P01")

    def test_query_instead_of_a_sasl_response(self):
        caller = self.open()
        names = {"user": fleets.ACCOUNT, "database": fleets.SERVICE}
        caller.send(_frames.startup(names) + _frames.query("SELECT 1"))
        self.assertEqual("R", caller.read()[0])
        self.check_refused(caller, "08P01")

    def test_malformed_sasl_responses(self):
        for payload in (b"", b"SCRAM-SHA-256\0\xff\xff\xff\xff", b"\xff" * 40):
            caller = self.open()
            names = {"user": fleets.ACCOUNT, "database": fleets.SERVICE}
            caller.send(_frames.startup(names) + _frames.frame(b"p", payload))
            self.assertEqual("R", caller.read()[0])
            self.check_refused(caller, "28P01")

    def test_incomplete_startup_times_out(self):
        caller = self.open()
        caller.send(b"\x00\x00")
        self.check_refused(caller, "08006")

    def test_flood_of_half_open_connections(self):
        connections = []
        for _ in range(3 * MAX_STARTING):
            connections.append(
                socket.create_connection(("127.0.0.1", self.fleet.port(0)))
            )
        self.addCleanup(lambda: [connection.close() for connection in connections])
        refused = 0
        for connection in connections[MAX_STARTING:]:
            connection.settimeout(wire.TIMEOUT_S)
            refused += connection.recv(100)[:1] == b"E"
        self.assertTrue(refused >= 2 * MAX_STARTING - 1, refused)
        for connection in connections[:MAX_STARTING]:
            connection.settimeout(wire.TIMEOUT_S)
            connection.recv(1000)
        with self.fleet.connect(0) as connection:
            self.assertEqual((1,), connection.execute("SELECT 1").fetchone())

    def test_unknown_key_is_indistinguishable_from_a_wrong_password(self):
        texts = set()
        for key in (fleets.ACCOUNT, "nobody"):
            dsn = (
                f"host=127.0.0.1 port={self.fleet.port(0)} user={key} "
                f"password=wrong dbname={fleets.SERVICE}"
            )
            error = self.assertRaises(psycopg.OperationalError, psycopg.connect, dsn)
            texts.add(str(error).split("FATAL", 1)[1])
        self.assertEqual(1, len(texts))
