"""Each caller gets the whole answer to its own request."""

from measure import history
from measure.checkers import _violation

ECHO_ROWS = 20


def check_whole(found):
    """Report answers that are cut short or belong to another request."""
    violations = []
    for one in found.operations(history.Action.ECHO):
        if one.outcome is not history.Outcome.OK:
            continue
        if one.rows != one.values * ECHO_ROWS:
            text = f"{one.caller} asked {one.values} and got {one.rows}"
            violations.append(_violation.Violation("whole_answers", text))
    return violations + _check_foreign_rows(found)


def _check_foreign_rows(found):
    """Report reads of a caller's own rows that hold another's."""
    owners = {
        value: one.caller
        for one in found.operations(history.Action.WRITE, history.Action.TRANSACTION)
        for value in one.values
    }
    return [
        _violation.Violation(
            "whole_answers", f"{read.caller} got {value} of {owners.get(value)}"
        )
        for read in found.operations(history.Action.READ)
        for value in read.rows
        if owners.get(value) != read.caller
    ]
