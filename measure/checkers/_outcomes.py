"""A statement refused as "not run" has had no effect."""

from measure import history
from measure.checkers import _violation


def check_not_run(recorded):
    """Report stored values whose write was refused as not run."""
    stored = {(row.service, row.value) for row in recorded.records_of(history.Row)}
    for read in recorded.operations(history.Action.READ):
        stored.update((read.service, value) for value in read.rows)
    return [
        _violation.Violation(
            "not_run_is_true",
            f"{operation.service}: {value} of {operation.caller}: {operation.reason}",
        )
        for operation in recorded.operations(
            history.Action.WRITE, history.Action.TRANSACTION
        )
        if operation.outcome is history.Outcome.NOT_RUN
        for value in operation.values
        if (operation.service, value) in stored
    ]
