"""Tests of the causes of refused and failed statements."""

import io
import json

import testtools
from click import testing

from measure import cli, refusals


def make_log(*records):
    """Return log text from (seconds, instance, event name, fields)."""
    return "".join(
        f"{at:9.4f} {instance} "
        + json.dumps({"time": 0.0, "instance": instance, "name": name, **fields})
        + "\n"
        for at, instance, name, fields in records
    )


def done(at, outcome, instance="a", request_id="1", **fields):
    """Return the record of a statement's end."""
    common = {
        "id": request_id,
        "session": 1,
        "account": "desk",
        "operation": "read",
        "ms": 5.0,
        "attempts": 0,
    }
    return at, instance, "STATEMENT_DONE", {**common, "outcome": outcome, **fields}


def find_causes(*records):
    lines = refusals.read_lines(io.StringIO(make_log(*records)))
    return [refusal.cause for refusal in refusals.find_refusals(lines)]


class CauseTests(testtools.TestCase):
    def test_served_statements_are_not_listed(self):
        self.assertEqual([], find_causes(done(1.0, "ok")))

    def test_account_above_its_rate_is_told_from_one_that_got_too_little(self):
        admitted = [done(1.0 + n / 100.0, "ok", request_id=str(n)) for n in range(9)]
        refused = done(1.2, "rate_exceeded", rate_per_s=10.0)
        self.assertEqual(
            ["rate: the account is above it"], find_causes(*admitted, refused)
        )
        self.assertEqual(
            ["rate: no token, although the account got less than its rate"],
            find_causes(*admitted[:-1], refused),
        )

    def test_statements_inside_a_transaction_do_not_count_for_the_rate(self):
        records = [
            done(1.1, "ok", request_id=str(n), in_transaction=True) for n in range(9)
        ]
        records.append(done(1.1, "ok", operation="commit", in_transaction=True))
        causes = find_causes(*records, done(1.2, "rate_exceeded", rate_per_s=10.0))
        self.assertEqual(
            ["rate: no token, although the account got less than its rate"], causes
        )

    def test_takeover_on_the_same_instance_explains_a_missing_primary(self):
        held = {"service": "meters", "held": True}
        records = [(1.0, "a", "PRIMARY_HELD", held)]
        self.assertEqual(
            ["primary: blocked by a takeover"],
            find_causes(*records, done(1.1, "no_primary")),
        )
        self.assertEqual(
            ["primary: its lease ended"],
            find_causes(*records, done(1.1, "no_primary", instance="b")),
        )
        released = (1.2, "a", "PRIMARY_HELD", {**held, "held": False})
        self.assertEqual(
            ["primary: its lease ended"],
            find_causes(*records, released, done(1.3, "no_primary")),
        )

    def test_retries_of_the_same_statement_explain_a_missing_connection(self):
        retried = (1.0, "a", "STATEMENT_RETRIED", {"id": "1", "reason": "unreachable"})
        self.assertEqual(
            ["member: no connection"], find_causes(retried, done(1.1, "no_primary"))
        )
        self.assertEqual(
            ["replicas: behind"],
            find_causes(retried, done(1.1, "session_behind", request_id="2")),
        )

    def test_lost_owner_explains_a_lost_connection_for_a_second(self):
        lost = (1.0, "a", "KEEPER_SUSPECTED", {"keeper": "b"})
        self.assertEqual(["owner: lost"], find_causes(lost, done(1.5, "upstream_lost")))
        self.assertEqual(
            ["member: connection lost"], find_causes(lost, done(2.5, "upstream_lost"))
        )

    def test_other_text_between_the_lines_is_skipped(self):
        text = "built in 2 s\n{broken\n[1]\n" + make_log(done(1.0, "draining"))
        lines = refusals.read_lines(io.StringIO(text))
        self.assertEqual(["STATEMENT_DONE"], [line.name for line in lines])


class CommandTests(testtools.TestCase):
    def run_command(self, *arguments):
        log = make_log(
            done(1.0, "ok", request_id="1"),
            done(2.0, "no_primary", request_id="2"),
            done(3.0, "draining", request_id="3", instance="b"),
        )
        result = testing.CliRunner().invoke(
            cli.main, ["refusals", "-", *arguments], input=log
        )
        self.assertEqual(0, result.exit_code, result.output)
        return result.output.splitlines()

    def test_table_gives_each_cause_with_its_share(self):
        output = self.run_command()
        self.assertEqual("1 statements served, 2 not", output[0])
        self.assertEqual(3, len(output))
        self.assertIn("33.33%", output[1])

    def test_period_limits_what_is_counted(self):
        output = self.run_command("--since", "2.5")
        self.assertEqual("0 statements served, 1 not", output[0])
        self.assertTrue(output[1].endswith("instance: stops"), output[1])

    def test_id_shows_the_lines_of_one_request(self):
        output = self.run_command("--id", "3")
        self.assertEqual(1, len(output))
        self.assertTrue(output[0].startswith("3.000 b "), output[0])

    def test_seconds_show_what_was_served_and_why_not(self):
        output = self.run_command("--by-second")
        self.assertEqual(
            [
                "     1 s      1 served  ",
                "     2 s      0 served  1 primary: its lease ended",
                "     3 s      0 served  1 instance: stops",
            ],
            output,
        )

    def test_account_limits_what_is_counted(self):
        self.assertEqual(
            "1 statements served, 2 not", self.run_command("--account", "desk")[0]
        )
        self.assertEqual(
            "0 statements served, 0 not", self.run_command("--account", "other")[0]
        )
