"""Transactions are atomic: other sessions' statements never mix with theirs."""

from measure import history
from measure.checkers import _violation


def check_unmixed(recorded):
    """Report transactions that are partly visible, at rest or in one read."""
    states = [
        ("at rest", {row.value for row in recorded.records_of(history.Row)}, None)
    ]
    for read in recorded.operations(history.Action.READ):
        if read.outcome is history.Outcome.OK:
            states.append(("in a read", set(read.rows), read.caller))
    by_caller = {}
    for operation in recorded.operations(history.Action.TRANSACTION):
        by_caller.setdefault(operation.caller, []).append(operation)
    violations = []
    for source, values, caller in states:
        for writer, transactions in by_caller.items():
            if caller in (None, writer):
                violations += _find_partial(source, values, transactions)
    return violations


def _find_partial(source, values, transactions):
    violations = []
    for operation in transactions:
        visible = [value for value in operation.values if value in values]
        if visible and len(visible) < len(operation.values):
            text = (
                f"{operation.caller}: only {visible} "
                f"of {list(operation.values)} {source}"
            )
            violations.append(_violation.Violation("transactions_unmixed", text))
    return violations
