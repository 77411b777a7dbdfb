"""Read-your-writes consistency of each caller."""

from measure import history
from measure.checkers import _violation

WRITES = (history.Action.WRITE, history.Action.TRANSACTION)


def check_read_your_writes(found):
    """Report reads that miss a write that was acknowledged to their caller before."""
    written = {}
    for one in found.operations(*WRITES):
        if one.outcome is history.Outcome.OK:
            written.setdefault((one.caller, one.service), []).append(one)
    violations = []
    for read in found.operations(history.Action.READ):
        if read.outcome is not history.Outcome.OK:
            continue
        seen = set(read.rows)
        for write in written.get((read.caller, read.service), ()):
            missing = set(write.values) - seen
            if write.answered_at <= read.invoked_at and missing:
                text = f"{read.caller} at {read.instance} missed {sorted(missing)}"
                violations.append(_violation.Violation("read_your_writes", text))
    return violations
