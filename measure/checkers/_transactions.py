"""Statements of different transactions are never mixed."""

from measure import history
from measure.checkers import _violation


def check_unmixed(found):
    """Report transactions that are there in part, at rest or in one read."""
    states = [("at rest", {row.value for row in found.of(history.Row)}, None)]
    for read in found.operations(history.Action.READ):
        if read.outcome is history.Outcome.OK:
            states.append(("in a read", set(read.rows), read.caller))
    by_caller = {}
    for one in found.operations(history.Action.TRANSACTION):
        by_caller.setdefault(one.caller, []).append(one)
    violations = []
    for place, values, caller in states:
        for owner, transactions in by_caller.items():
            if caller in (None, owner):
                violations += _partial(place, values, transactions)
    return violations


def _partial(place, values, transactions):
    violations = []
    for one in transactions:
        kept = [value for value in one.values if value in values]
        if kept and len(kept) < len(one.values):
            text = f"{one.caller}: only {kept} of {list(one.values)} {place}"
            violations.append(_violation.Violation("transactions_unmixed", text))
    return violations
