"""Tests of the settings file, the secret files and the settings reference."""

import copy
import json
import pathlib
import subprocess
import sys
import tempfile

import testtools

from pomelograde.daemon import reference, settings
from pomelograde.standins import certificates, processes

REFERENCE_PAGE = (
    pathlib.Path(__file__).parents[2] / "docs" / "operators" / "settings.md"
)
SECRET = "a-password-that-must-not-show"


class SettingsTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.folder = pathlib.Path(directory.name)
        ports = [1, 2, 3, 4]
        self.content = processes.daemon_settings("a", "b", "http://127.0.0.1:1", ports)

    def write(self, name, text):
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def load(self, content):
        return settings.load(self.write("settings.json", json.dumps(content)))

    def errors_of(self, **changes):
        content = copy.deepcopy(self.content)
        for name, change in changes.items():
            content[name] = change
        return self.load(content).err_value

    def test_reference_page_is_up_to_date(self):
        message = "write `pomelograded --reference` to docs/operators/settings.md"
        self.assertEqual(reference.render(), REFERENCE_PAGE.read_text("utf-8"), message)

    def test_secrets_are_read_from_files(self):
        self.content["upstream"] = {"password_file": self.write("p", f"{SECRET}\n")}
        token = self.write("t", "token")
        self.content["operators"] = [{"name": "o", "token_file": token}]
        loaded = self.load(self.content).ok_value
        self.assertEqual(SECRET, loaded.upstream.password)
        self.assertEqual(64, len(loaded.operators[0].token_sha256))
        self.assertNotIn(SECRET, repr(loaded))
        self.assertNotIn(loaded.operators[0].token_sha256, repr(loaded))

    def test_all_errors_are_reported_together_without_secrets(self):
        errors = self.errors_of(
            upstream={"password": [SECRET], "open_timeout_s": 0},
            operators=[{"name": "", "token_sha256": SECRET}],
            logging={"level": "loud"},
            colour="red",
        )
        text = "\n".join(errors)
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

    def test_password_and_password_file_exclude_each_other(self):
        both = {"password": SECRET, "password_file": "p"}
        self.assertIn("either", self.errors_of(upstream=both)[0])
        self.assertIn("either", self.errors_of(upstream={})[0])

    def test_certificate_and_key_must_belong_together(self):
        authority = certificates.make_authority(self.folder)
        certificate, _ = authority.issue("one")
        _, key = authority.issue("two")
        tls = {"certificate_file": str(certificate), "key_file": str(key)}
        self.assertIn("$.tls", self.errors_of(tls=tls)[0])

    def test_check_option_validates_the_file(self):
        def run_check(content):
            path = self.write("checked.json", json.dumps(content))
            command = [sys.executable, "-m", "pomelograde.daemon.main"]
            command += ["--settings", path, "--check"]
            return subprocess.run(command, capture_output=True, text=True)

        self.assertEqual(0, run_check(self.content).returncode)
        del self.content["instance"]
        rejected = run_check(self.content)
        self.assertEqual(2, rejected.returncode)
        self.assertIn("required field is missing @ $.instance", rejected.stderr)
