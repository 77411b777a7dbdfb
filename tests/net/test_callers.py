"""Tests of callers' connections without a network."""

import types

import testtools

from pomelograde.net import callers


class ClosingTests(testtools.TestCase):
    def test_stop_waits_for_the_last_answer_over_an_encrypted_connection(self):
        # Only connections without encryption were counted as still open.
        listener = types.SimpleNamespace(
            context=None, lingering=set(), starting=set(), cancel_keys={}
        )
        caller = callers.CallerProtocol(listener)
        closed = []
        caller.transport = types.SimpleNamespace(
            loseConnection=lambda: closed.append(True)
        )
        caller.secure = True
        caller.close_gracefully()
        self.assertEqual([True], closed)
        self.assertEqual({caller}, listener.lingering)
        caller.connectionLost()
        self.assertEqual(set(), listener.lingering)
