"""Tests of TLS for callers and operators, and of certificate reloads."""

import pathlib
import signal
import socket
import ssl
import tempfile

import psycopg
import pytest
import testtools
from click import testing

from pomelograde.cli import main as cli
from pomelograde.standins import certificates, processes
from tests import fleets
from tests.net import test_configuration

RELOAD_LIMIT_S = 10.0


@pytest.mark.xdist_group("certificates")
class CertificateTests(testtools.TestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.folder = tempfile.TemporaryDirectory()
        cls.authority = certificates.make_authority(cls.folder.name)
        files = cls.authority.issue("instance")
        cls.files = [pathlib.Path(file) for file in files]
        tls = {"certificate_file": str(files[0]), "key_file": str(files[1])}
        cls.running = fleets.run_fleet(instances=1, tls={**tls, "required": True})
        cls.fleet = cls.running.__enter__()

    @classmethod
    def tearDownClass(cls):
        cls.running.__exit__(None, None, None)
        cls.folder.cleanup()
        super().tearDownClass()

    def serial(self):
        """Return the serial number of the certificate presented to operators."""
        trust = ssl.create_default_context(cafile=str(self.authority.file))
        address = ("127.0.0.1", self.fleet.port(0, "operator"))
        with (
            socket.create_connection(address, 5.0) as plain,
            trust.wrap_socket(plain, server_hostname="127.0.0.1") as secure,
        ):
            return secure.getpeercert()["serialNumber"]

    def replace(self, files):
        for old, new in zip(self.files, files, strict=True):
            pathlib.Path(new).replace(old)

    def renew(self):
        self.replace(self.authority.issue("renewed"))

    def test_callers_are_verified_and_served(self):
        dsn = f"{self.fleet.dsn(0)} sslmode=verify-full"
        dsn += f" sslrootcert={self.authority.file}"
        with psycopg.connect(dsn) as connection:
            connection.execute("SELECT 1")

    def test_caller_without_tls_is_refused(self):
        dsn = f"{self.fleet.dsn(0)} sslmode=disable"
        error = self.assertRaises(psycopg.OperationalError, psycopg.connect, dsn)
        self.assertIn("only TLS", str(error))

    def test_operator_reaches_the_instance_over_tls(self):
        port = self.fleet.port(0, "operator")
        arguments = [f"--server=https://127.0.0.1:{port}", "status"]
        environment = {
            "POMELOGRADE_TOKEN": processes.OPERATOR_TOKEN,
            "POMELOGRADE_CA_FILE": str(self.authority.file),
        }
        outcome = testing.CliRunner().invoke(cli.main, arguments, env=environment)
        self.assertEqual(0, outcome.exit_code, outcome.output)

    def test_new_certificate_is_loaded_on_sighup(self):
        before = self.serial()
        self.renew()
        self.fleet.daemons[0].send_signal(signal.SIGHUP)
        self.assert_changed(before)

    def test_new_certificate_is_loaded_without_a_signal(self):
        before = self.serial()
        self.renew()
        self.assert_changed(before)

    def test_unusable_certificate_leaves_the_old_one_in_use(self):
        before = self.serial()
        kept = [file.read_bytes() for file in self.files]
        self.files[0].write_text("nonsense")
        self.fleet.daemons[0].send_signal(signal.SIGHUP)
        rejected = test_configuration.wait_until(self.is_rejected, RELOAD_LIMIT_S)
        self.assertIsNotNone(rejected)
        self.assertEqual(before, self.serial())
        for file, contents in zip(self.files, kept, strict=True):
            file.write_bytes(contents)

    def is_rejected(self):
        logs = self.fleet.running.directory.glob("*.log")
        return any("CERTIFICATE_REJECTED" in log.read_text() for log in logs)

    def assert_changed(self, before):
        changed = test_configuration.wait_until(
            lambda: self.serial() != before, RELOAD_LIMIT_S
        )
        self.assertIsNotNone(changed)
