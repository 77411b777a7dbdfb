"""Each checker accepts a valid history and reports its own violation."""

import tempfile

import attrs
import testtools

from measure import checkers, history
from measure.checkers import _answers

WRITE = history.Operation(
    caller="c1",
    account="a",
    service="s",
    instance="i1",
    action=history.Action.WRITE,
    values=(7,),
    invoked_at=1.0,
    answered_at=2.0,
    outcome=history.Outcome.OK,
)
READ = attrs.evolve(
    WRITE,
    action=history.Action.READ,
    values=(),
    rows=(7,),
    invoked_at=3.0,
    answered_at=4.0,
)
ECHO = attrs.evolve(
    READ, action=history.Action.ECHO, values=(9,), rows=(9,) * _answers.ECHO_ROWS
)
TWO_WRITES = attrs.evolve(WRITE, action=history.Action.TRANSACTION, values=(8, 9))
STORED_ROW = history.Row("s", "a", "c1", 7)
VALID_RECORDS = (WRITE, READ, ECHO, STORED_ROW, history.Limit("a", 1.0, 3.0))

VIOLATING_RECORDS = {
    "read_your_writes": (WRITE, attrs.evolve(READ, rows=()), STORED_ROW),
    "lost_acknowledged_writes": (WRITE,),
    "doubled_writes": (WRITE, STORED_ROW, STORED_ROW),
    "transactions_unmixed": (TWO_WRITES, attrs.evolve(STORED_ROW, value=8)),
    "whole_answers": (attrs.evolve(ECHO, rows=(9,)),),
    "not_run_is_true": (
        attrs.evolve(WRITE, outcome=history.Outcome.NOT_RUN),
        STORED_ROW,
    ),
    "isolation": (WRITE, attrs.evolve(STORED_ROW, owner="b")),
    "rates": (WRITE, READ, ECHO, history.Limit("a", 0.1, 2.0)),
    "withdrawn_keys": (
        history.Withdrawal("a", 1.0),
        attrs.evolve(READ, invoked_at=4.5),
    ),
    "configuration": (
        history.RevisionSeen("i1", 5, 1.0),
        history.RevisionSeen("i1", 4, 2.0),
    ),
    "configuration_in_force": (
        history.Acceptance(5, 1.0),
        history.RevisionSeen("i1", 4, 4.5),
    ),
    "leaving_member": (
        history.MemberLeaving("s", "m", 1.0),
        history.MemberWork("s", "m", 10, 4.5),
        history.MemberWork("s", "m", 11, 5.0),
    ),
}


class CheckerTests(testtools.TestCase):
    def test_a_valid_history_has_no_violations(self):
        violations = checkers.check_all(history.History(list(VALID_RECORDS)))
        self.assertEqual([], sum(violations.values(), []))

    def test_every_checker_reports_its_violation(self):
        self.assertEqual(set(checkers.CHECKS), set(VIOLATING_RECORDS))
        for name, records in VIOLATING_RECORDS.items():
            reported = checkers.CHECKS[name](history.History(list(records)))
            self.assertEqual(1, len(reported), name)

    def test_a_stored_history_is_loaded_unchanged(self):
        records = [*VALID_RECORDS, *sum(VIOLATING_RECORDS.values(), ())]
        with tempfile.NamedTemporaryFile("w", suffix=".jsonl") as file:
            file.writelines(map(history.dump_line, records))
            file.flush()
            self.assertEqual(records, history.load([file.name]).records)
