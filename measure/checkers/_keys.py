"""A withdrawn key is rejected, also on connections that are already open."""

from measure import history
from measure.checkers import _violation

WITHDRAWN_LIMIT_S = 3.0


def check_withdrawn(recorded):
    """Report operations that succeeded after `WITHDRAWN_LIMIT_S`."""
    withdrawn = {
        withdrawal.account: withdrawal.accepted_at
        for withdrawal in recorded.records_of(history.Withdrawal)
    }
    return [
        _violation.Violation(
            "withdrawn_keys",
            f"{operation.account} at {operation.instance}, "
            f"{operation.invoked_at - withdrawn[operation.account]:.2f} s "
            "after the withdrawal",
        )
        for operation in recorded.operations()
        if operation.account in withdrawn
        and operation.outcome is history.Outcome.OK
        and operation.invoked_at > withdrawn[operation.account] + WITHDRAWN_LIMIT_S
    ]
