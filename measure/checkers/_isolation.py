"""A request runs only as the client account that its key authenticates."""

from measure import history
from measure.checkers import _violation


def check_owners(recorded):
    """Report rows whose database role is not that of the caller's account."""
    accounts = {
        value: operation.account
        for operation in recorded.operations(
            history.Action.WRITE, history.Action.TRANSACTION
        )
        for value in operation.values
    }
    return [
        _violation.Violation(
            "isolation",
            f"{row.service}: {row.value} of {accounts.get(row.value)} is {row.owner}'s",
        )
        for row in recorded.records_of(history.Row)
        if accounts.get(row.value) != row.owner
    ]
