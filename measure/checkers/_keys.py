"""A withdrawn key stops working, also on open connections."""

from measure import history
from measure.checkers import _violation

WITHDRAWN_LIMIT_S = 3.0


def check_withdrawn(found):
    """Report operations that ran with a key after the time limit."""
    withdrawn = {one.account: one.accepted_at for one in found.of(history.Withdrawal)}
    return [
        _violation.Violation(
            "withdrawn_keys",
            f"{one.account} at {one.instance}, "
            f"{one.invoked_at - withdrawn[one.account]:.2f} s after",
        )
        for one in found.operations()
        if one.account in withdrawn
        and one.outcome is history.Outcome.OK
        and one.invoked_at > withdrawn[one.account] + WITHDRAWN_LIMIT_S
    ]
