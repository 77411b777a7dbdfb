"""Tests of the settings, their secrets and their page."""

import copy
import json
import pathlib
import subprocess
import sys
import tempfile

import testtools

from pomelograde.daemon import reference, settings
from pomelograde.standins import certificates, processes

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "operators" / "settings.md"
SECRET = "a-password-that-must-not-show"


class SettingsTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        made = tempfile.TemporaryDirectory()
        self.addCleanup(made.cleanup)
        self.folder = pathlib.Path(made.name)
        ports = [1, 2, 3, 4]
        self.value = processes.daemon_settings("a", "b", "http://127.0.0.1:1", ports)

    def write(self, name, text):
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def load(self, value):
        return settings.load(self.write("settings.json", json.dumps(value)))

    def faults_of(self, **changes):
        value = copy.deepcopy(self.value)
        for name, change in changes.items():
            value[name] = change
        return self.load(value).err_value

    def test_page_lists_all_settings(self):
        message = "write `pomelograded --reference` to docs/operators/settings.md"
        self.assertEqual(reference.render(), PAGE.read_text("utf-8"), message)

    def test_secrets_are_read_from_files(self):
        self.value["upstream"] = {"password_file": self.write("p", f"{SECRET}\n")}
        token = self.write("t", "token")
        self.value["operators"] = [{"name": "o", "token_file": token}]
        loaded = self.load(self.value).ok_value
        self.assertEqual(SECRET, loaded.upstream.password)
        self.assertEqual(64, len(loaded.operators[0].token_sha256))
        self.assertNotIn(SECRET, repr(loaded))
        self.assertNotIn(loaded.operators[0].token_sha256, repr(loaded))

    def test_all_faults_are_told_at_once_without_secrets(self):
        faults = self.faults_of(
            upstream={"password": [SECRET], "open_timeout_s": 0},
            operators=[{"name": "", "token_sha256": SECRET}],
            logging={"level": "loud"},
            colour="red",
        )
        text = "\n".join(faults)
        for part in (
            "$.upstream.password",
            "$.upstream.open_timeout_s",
            "$.operators[0].name",
            "$.operators[0].token_sha256",
            "'debug', 'info', 'warning', 'error', got 'loud' @ $.logging.level",
            "unknown field colour; allowed: addresses",
        ):
            self.assertIn(part, text)
        self.assertNotIn(SECRET, text)

    def test_alternatives_exclude_each_other(self):
        both = {"password": SECRET, "password_file": "p"}
        self.assertIn("either", self.faults_of(upstream=both)[0])
        self.assertIn("either", self.faults_of(upstream={})[0])

    def test_certificate_and_key_must_belong_together(self):
        authority = certificates.make_authority(self.folder)
        certificate, _ = authority.issue("one")
        _, key = authority.issue("two")
        tls = {"certificate_file": str(certificate), "key_file": str(key)}
        self.assertIn("$.tls", self.faults_of(tls=tls)[0])

    def test_check_only_checks(self):
        def check(value):
            path = self.write("checked.json", json.dumps(value))
            command = [sys.executable, "-m", "pomelograde.daemon.main"]
            command += ["--settings", path, "--check"]
            return subprocess.run(command, capture_output=True, text=True)

        self.assertEqual(0, check(self.value).returncode)
        del self.value["instance"]
        refused = check(self.value)
        self.assertEqual(2, refused.returncode)
        self.assertIn("required field is missing @ $.instance", refused.stderr)
