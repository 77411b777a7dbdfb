"""A request runs only for the client account whose key came with it."""

from measure import history
from measure.checkers import _violation


def check_owners(found):
    """Report rows that another database role wrote than the caller's account."""
    accounts = {
        value: one.account
        for one in found.operations(history.Action.WRITE, history.Action.TRANSACTION)
        for value in one.values
    }
    return [
        _violation.Violation(
            "isolation",
            f"{row.service}: {row.value} of {accounts.get(row.value)} is {row.owner}'s",
        )
        for row in found.of(history.Row)
        if accounts.get(row.value) != row.owner
    ]
