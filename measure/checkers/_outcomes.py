"""A refusal that says "not run" is true."""

from measure import history
from measure.checkers import _violation


def check_not_run(found):
    """Report values that are there although their write was refused as not run."""
    kept = {(row.service, row.value) for row in found.of(history.Row)}
    for read in found.operations(history.Action.READ):
        kept.update((read.service, value) for value in read.rows)
    return [
        _violation.Violation(
            "not_run_is_true", f"{one.service}: {value} of {one.caller}: {one.reason}"
        )
        for one in found.operations(history.Action.WRITE, history.Action.TRANSACTION)
        if one.outcome is history.Outcome.NOT_RUN
        for value in one.values
        if (one.service, value) in kept
    ]
