"""Tests that the output of a fleet contains no secrets."""

import json
import signal
import time
import urllib.error
import urllib.request

import psycopg
import pytest
import testtools

from pomelograde.standins import deployments, processes
from tests import fleets

WRONG_KEY = "a-wrong-key-that-must-not-show"
WRONG_TOKEN = "a-wrong-token-that-must-not-show"


@pytest.mark.xdist_group("secrets")
class SecretTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.output = []
        self.secrets = [processes.UPSTREAM_PASSWORD, processes.OPERATOR_TOKEN]
        self.secrets += [WRONG_KEY, WRONG_TOKEN]
        running = fleets.run_fleet(
            instances=2, logging={"format": "json", "level": "debug"}
        )
        self.fleet = running.__enter__()
        self.addCleanup(running.__exit__, None, None, None)

    def capture(self, action, *arguments, **named):
        """Call an action and keep its result or error message as output."""
        try:
            self.output.append(str(action(*arguments, **named)))
        except (psycopg.Error, urllib.error.URLError) as error:
            body = error.read().decode() if hasattr(error, "read") else ""
            self.output.append(f"{error!r} {error} {body}")

    def issue_key(self):
        issued = self.fleet.operate(
            "PUT", "/v1/keys/fresh", {"spec": {"account": fleets.ACCOUNT}}
        )
        self.secrets.append(issued.pop("key"))
        self.output.append(str(issued))

    def collect_stored_verifiers(self):
        url = f"{self.fleet.platform_url}/v1/table/rows?prefix=config/keys/"
        with urllib.request.urlopen(url, timeout=5.0) as response:
            rows = json.loads(response.read())["rows"]
        for row in rows:
            verifier = row["value"]["spec"]["verifier"]
            self.secrets += [verifier["stored_key"], verifier["server_key"]]
        self.assertTrue(rows)

    def run_callers(self):
        for account in deployments.BOLLETTE.accounts[:2]:
            self.secrets.append(deployments.password_of(account))
        dsn = self.fleet.dsn(0)
        wrong = dsn.replace(deployments.password_of(fleets.ACCOUNT), WRONG_KEY)
        self.capture(psycopg.connect, wrong)
        self.capture(psycopg.connect, self.fleet.dsn(0, service="nowhere"))
        with self.fleet.connect(0) as connection:
            for statement in ("LISTEN a", "SELECT nothing", "SELEC 1", "COMMIT"):
                self.capture(connection.execute, statement)
            primary = self.fleet.operate("GET", "/v1/status")["groups"]
            self.fleet.change_member(primary[fleets.SERVICE]["primary"], lag_s=0.1)
            self.capture(connection.execute, "SELECT 1")

    def run_operators(self):
        for path in ("keys", "accounts", "status", "events", "limits", "upstreams"):
            self.capture(self.fleet.operate, "GET", f"/v1/{path}")
        self.capture(self.fleet.operate, "GET", f"/v1/explain/{fleets.ACCOUNT}")
        bad = {"account": "nobody", "verifier": {"salt": WRONG_KEY}}
        self.capture(self.fleet.operate, "PUT", "/v1/keys/bad", {"spec": bad})
        bad = {"account": fleets.ACCOUNT, "verifier": WRONG_KEY}
        self.capture(self.fleet.operate, "PUT", "/v1/keys/bad", {"spec": bad})
        url = f"http://127.0.0.1:{self.fleet.port(0, 'operator')}/v1/keys"
        request = urllib.request.Request(url)
        request.add_header("Authorization", f"Bearer {WRONG_TOKEN}")
        self.capture(urllib.request.urlopen, request, timeout=5.0)

    def read_metrics_and_logs(self):
        for number in range(2):
            url = f"http://127.0.0.1:{self.fleet.port(number, 'metrics')}/metrics"
            with urllib.request.urlopen(url, timeout=5.0) as response:
                self.output.append(response.read().decode())
        for log in self.fleet.running.directory.glob("*.log"):
            self.output.append(log.read_text())

    def test_output_contains_no_secret(self):
        self.issue_key()
        self.collect_stored_verifiers()
        self.run_callers()
        self.run_operators()
        self.fleet.change_platform(outage=True)
        self.capture(self.fleet.operate, "DELETE", "/v1/keys/fresh")
        time.sleep(0.5)
        self.fleet.change_platform(outage=False)
        self.fleet.daemons[1].send_signal(signal.SIGTERM)
        self.fleet.daemons[1].wait(15.0)
        self.fleet.daemons[1] = self.fleet.daemons[0]
        self.fleet.settings[1] = self.fleet.settings[0]
        self.read_metrics_and_logs()
        text = "\n".join(self.output)
        self.assertIn("DAEMON_STOPPED", text)
        self.assertIn("CALLER_REFUSED", text)
        for secret in self.secrets:
            self.assertNotIn(secret, text)
