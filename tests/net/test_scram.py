"""Tests of the cache of salted passwords."""

import scramp
import testtools

from pomelograde.core import accounts
from pomelograde.net import _scram


class ScramTests(testtools.TestCase):
    def authenticate(self, password, salt):
        info = accounts.make_verifier("right", salt).auth_info()
        server = accounts.make_server(info)
        client = _scram.make_client("role", password)
        accounts.set_client_first(server, client.get_client_first())
        client.set_server_first(server.get_server_first())
        server.set_client_final(client.get_client_final())
        client.set_server_final(server.get_server_final())

    def test_salted_password_is_derived_once(self):
        before = _scram.derive_salted_password.cache_info()
        for _ in range(5):
            self.authenticate("right", b"one salt of many")
        after = _scram.derive_salted_password.cache_info()
        self.assertTrue(after.hits - before.hits >= 4)

    def test_cache_distinguishes_salts_and_passwords(self):
        self.authenticate("right", b"a first salt....")
        self.authenticate("right", b"another salt....")
        self.assertRaises(
            scramp.ScramException, self.authenticate, "wrong", b"a first salt...."
        )
