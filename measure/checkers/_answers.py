"""Each caller receives the complete answer to its own request."""

from measure import history
from measure.checkers import _violation

ECHO_ROWS = 20


def check_whole(recorded):
    """Report answers that are truncated or belong to another request."""
    violations = []
    for operation in recorded.operations(history.Action.ECHO):
        if operation.outcome is not history.Outcome.OK:
            continue
        if operation.rows != operation.values * ECHO_ROWS:
            text = (
                f"{operation.caller} requested {operation.values} "
                f"and received {operation.rows}"
            )
            violations.append(_violation.Violation("whole_answers", text))
    return violations + _check_foreign_rows(recorded)


def _check_foreign_rows(recorded):
    """Report reads that return rows which another caller wrote."""
    writers = {
        value: operation.caller
        for operation in recorded.operations(
            history.Action.WRITE, history.Action.TRANSACTION
        )
        for value in operation.values
    }
    return [
        _violation.Violation(
            "whole_answers", f"{read.caller} received {value} of {writers.get(value)}"
        )
        for read in recorded.operations(history.Action.READ)
        for value in read.rows
        if writers.get(value) != read.caller
    ]
