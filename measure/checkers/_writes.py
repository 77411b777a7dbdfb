"""Acknowledged writes are neither lost nor doubled."""

import collections

from measure import history
from measure.checkers import _violation

WRITES = (history.Action.WRITE, history.Action.TRANSACTION)


def check_lost(found):
    """Report acknowledged values that are in no row."""
    kept = {(row.service, row.value) for row in found.of(history.Row)}
    return [
        _violation.Violation(
            "lost_acknowledged_writes", f"{one.service}: {value} of {one.caller}"
        )
        for one in found.operations(*WRITES)
        if one.outcome is history.Outcome.OK
        for value in one.values
        if (one.service, value) not in kept
    ]


def check_doubled(found):
    """Report values that are in more than one row."""
    counts = collections.Counter(
        (row.service, row.value) for row in found.of(history.Row)
    )
    return [
        _violation.Violation("doubled_writes", f"{service}: {value} is there {count}x")
        for (service, value), count in counts.items()
        if count > 1
    ]
