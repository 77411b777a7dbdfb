"""Read-your-writes consistency of each session."""

from measure import history
from measure.checkers import _violation

WRITES = (history.Action.WRITE, history.Action.TRANSACTION)


def check_read_your_writes(recorded):
    """Report reads that miss an earlier acknowledged write of their caller."""
    acknowledged = {}
    for operation in recorded.operations(*WRITES):
        if operation.outcome is history.Outcome.OK:
            acknowledged.setdefault((operation.caller, operation.service), []).append(
                operation
            )
    violations = []
    for read in recorded.operations(history.Action.READ):
        if read.outcome is not history.Outcome.OK:
            continue
        seen = set(read.rows)
        for write in acknowledged.get((read.caller, read.service), ()):
            missing = set(write.values) - seen
            if write.answered_at <= read.invoked_at and missing:
                text = f"{read.caller} at {read.instance} missed {sorted(missing)}"
                violations.append(_violation.Violation("read_your_writes", text))
    return violations
