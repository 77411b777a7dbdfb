"""No client account exceeds its rate and burst in any time window."""

import numpy

from measure import history
from measure.checkers import _violation

TOLERANCE = 1e-6


def excess_admitted(operations, limit):
    """Return the largest excess over ``burst + rate * t`` of any window.

    Parameters
    ----------
    operations : list of Operation
        Successful operations of one client account.
    limit : Limit
        Rate and burst of the account.

    Returns
    -------
    float
        Number of requests above the limit, or 0.0 if there is no excess.

    Notes
    -----
    The time of admission is not recorded. An operation counts towards a window
    only if it was invoked and answered within it, as it was then certainly
    admitted within it.
    """
    if not operations:
        return 0.0
    operations = sorted(operations, key=lambda operation: operation.answered_at)
    answered = numpy.array([operation.answered_at for operation in operations])
    newest_first = sorted(
        range(len(operations)),
        key=lambda index: operations[index].invoked_at,
        reverse=True,
    )
    admitted = numpy.zeros(len(operations))
    max_excess = 0.0
    for index in newest_first:
        operation = operations[index]
        admitted[index:] += operation.requests
        allowed = limit.burst + limit.rate_per_s * (answered - operation.invoked_at)
        max_excess = max(max_excess, float(numpy.max((admitted - allowed)[index:])))
    return max_excess


def check_rates(recorded):
    """Report client accounts that exceeded their rate and burst."""
    violations = []
    for limit in recorded.records_of(history.Limit):
        operations = [
            operation
            for operation in recorded.operations()
            if operation.account == limit.account
            and operation.outcome is history.Outcome.OK
        ]
        excess = excess_admitted(operations, limit)
        if excess > TOLERANCE:
            text = (
                f"{limit.account} exceeded its rate and burst by {excess:.2f} requests"
            )
            violations.append(_violation.Violation("rates", text))
    return violations
