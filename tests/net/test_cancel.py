"""Tests of statement cancellation through the same and another instance."""

import socket
import threading

import pytest
import testtools

from pomelograde.net import _frames
from pomelograde.standins import deployments
from tests import fleets, wire

CANCEL_AFTER_S = 0.5


@pytest.mark.xdist_group("cancel")
class CancelTests(testtools.TestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.running = fleets.run_fleet(instances=2)
        cls.fleet = cls.running.__enter__()
        cls.fleet.wait_for_peers()

    @classmethod
    def tearDownClass(cls):
        cls.running.__exit__(None, None, None)
        super().tearDownClass()

    def run_and_cancel(self, number, wrong_secret=False):
        caller = wire.RawCaller(self.fleet.port(0))
        self.addCleanup(caller.close)
        password = deployments.password_of(fleets.ACCOUNT)
        caller.authenticate(fleets.ACCOUNT, password, fleets.SERVICE)
        secret = caller.secret ^ wrong_secret
        message = _frames.cancel_request(caller.process_id, secret)

        def cancel():
            address = ("127.0.0.1", self.fleet.port(number))
            with socket.create_connection(address) as sent:
                sent.sendall(message)
                sent.recv(1)

        timer = threading.Timer(CANCEL_AFTER_S, cancel)
        timer.start()
        self.addCleanup(timer.join)
        answer = caller.query("SELECT pg_sleep(4)")
        states = [error["C"] for error in wire.errors(answer)]
        self.assertEqual([[b"1"]], wire.rows(caller.query("SELECT 1")))
        return states

    def test_cancel_through_the_same_instance(self):
        self.assertEqual(["57014"], self.run_and_cancel(0))

    def test_cancel_through_another_instance(self):
        self.assertEqual(["57014"], self.run_and_cancel(1))

    def test_wrong_secret_cancels_nothing(self):
        self.assertEqual([], self.run_and_cancel(0, wrong_secret=True))
