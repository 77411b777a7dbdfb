"""Acknowledged writes are neither lost nor duplicated."""

import collections

from measure import history
from measure.checkers import _violation

WRITES = (history.Action.WRITE, history.Action.TRANSACTION)


def check_lost(recorded):
    """Report acknowledged values that no row holds."""
    stored = {(row.service, row.value) for row in recorded.records_of(history.Row)}
    return [
        _violation.Violation(
            "lost_acknowledged_writes",
            f"{operation.service}: {value} of {operation.caller}",
        )
        for operation in recorded.operations(*WRITES)
        if operation.outcome is history.Outcome.OK
        for value in operation.values
        if (operation.service, value) not in stored
    ]


def check_doubled(recorded):
    """Report values that several rows hold."""
    counts = collections.Counter(
        (row.service, row.value) for row in recorded.records_of(history.Row)
    )
    return [
        _violation.Violation("doubled_writes", f"{service}: {value} in {count} rows")
        for (service, value), count in counts.items()
        if count > 1
    ]
