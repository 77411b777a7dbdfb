"""Tests of `pomelogradectl` with a fleet of real processes."""

import json
import pathlib
import tempfile

import click
import pytest
import testtools
from click import testing

from pomelograde.cli import main as cli
from pomelograde.standins import processes
from tests import fleets


def iterate_commands(group, prefix=()):
    for name, command in group.commands.items():
        yield (*prefix, name), command
        if isinstance(command, click.Group):
            yield from iterate_commands(command, (*prefix, name))


class HelpTests(testtools.TestCase):
    def test_every_command_has_examples(self):
        for words, command in iterate_commands(cli.main):
            with self.subTest(words=words):
                self.assertIn("Example", command.help)

    def test_every_option_is_explained(self):
        for words, command in iterate_commands(cli.main):
            for option in command.params:
                if isinstance(option, click.Option):
                    self.assertTrue(option.help, (words, option.name))

    def test_exit_codes_of_usage_errors_and_unreachable_instances(self):
        runner = testing.CliRunner()
        self.assertEqual(2, runner.invoke(cli.main, ["get", "accounts"]).exit_code)
        arguments = ["--server=http://127.0.0.1:1", "--token=t", "status"]
        invocation = runner.invoke(cli.main, arguments)
        self.assertEqual(cli.EXIT_UNREACHABLE, invocation.exit_code)


@pytest.mark.xdist_group("cli")
class CommandTests(testtools.TestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.fleet_context = fleets.run_fleet(instances=2)
        cls.fleet = cls.fleet_context.__enter__()

    @classmethod
    def tearDownClass(cls):
        cls.fleet_context.__exit__(None, None, None)
        super().tearDownClass()

    def invoke(self, *arguments, instance_number=0, exit_code=0, stdin=None):
        port = self.fleet.port(instance_number, "operator")
        invocation = testing.CliRunner().invoke(
            cli.main,
            list(arguments),
            input=stdin,
            env={
                "POMELOGRADE_SERVER": f"http://127.0.0.1:{port}",
                "POMELOGRADE_TOKEN": processes.OPERATOR_TOKEN,
            },
        )
        self.assertEqual(exit_code, invocation.exit_code, invocation.output)
        return invocation.output

    def test_apply_get_and_delete(self):
        spec = {"rate_per_s": 5.0, "burst": 6.0}
        item = {"kind": "accounts", "name": "made", "spec": spec}
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "account.json"
            path.write_text(json.dumps(item))
            self.assertIn("accepted", self.invoke("apply", "-f", str(path)))
        self.assertIn("made", self.invoke("get", "accounts"))
        resource = json.loads(self.invoke("get", "accounts", "made", "-o", "json"))
        outdated = json.dumps({**resource, "resourceVersion": 1})
        self.invoke("apply", "-f", "-", stdin=outdated, exit_code=cli.EXIT_CONFLICT)
        self.assertIn("deleted", self.invoke("delete", "accounts", "made"))
        self.invoke("get", "accounts", "made", exit_code=cli.EXIT_REFUSED)

    def test_keys_are_issued_rotated_and_withdrawn(self):
        issued = self.invoke("keys", "issue", "k1", "--account", fleets.ACCOUNT)
        self.assertIn("key: ", issued)
        self.assertIn("key: ", self.invoke("keys", "rotate", "k1"))
        self.assertNotIn("key: ", self.invoke("keys", "withdraw", "k1"))
        self.invoke(
            "keys",
            "issue",
            "k1",
            f"--account={fleets.ACCOUNT}",
            exit_code=cli.EXIT_CONFLICT,
        )

    def test_status_events_and_decisions_are_shown(self):
        self.assertIn("revision", self.invoke("status"))
        self.assertIn("DAEMON_READY", self.invoke("events"))
        self.assertIn("limits", self.invoke("explain", fleets.ACCOUNT))
        for kind in ("instances", "upstreams", "limits", "services"):
            self.assertIn("name", self.invoke("get", kind))

    def test_exit_code_during_a_platform_outage(self):
        self.fleet.change_platform(outage=True)
        try:
            arguments = ["keys", "withdraw", "bollette-training"]
            self.invoke(*arguments, exit_code=cli.EXIT_UNAVAILABLE)
        finally:
            self.fleet.change_platform(outage=False)

    def test_drain_stops_the_instance(self):
        instance_number = self.fleet.add_daemon("catania")
        self.fleet.wait()
        self.assertIn("shutdown", self.invoke("drain", instance_number=instance_number))
        self.assertEqual(0, self.fleet.daemons[instance_number].wait(15.0))
