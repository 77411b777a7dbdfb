"""No client account receives more than its burst and rate in any window."""

import numpy

from measure import history
from measure.checkers import _violation

TOLERANCE = 1e-6


def excess_admitted(operations, limit):
    """Return the most requests above ``burst + rate * t`` over all windows.

    Parameters
    ----------
    operations : list of Operation
        Operations of one client account that ran or may have run.
    limit : Limit
        Rate and burst of the account.

    Returns
    -------
    float
        Excess, or 0.0 if there is none.

    Notes
    -----
    An operation counts in a window if it was both invoked and answered in it,
    so that it was admitted in it for certain.
    """
    if not operations:
        return 0.0
    operations = sorted(operations, key=lambda one: one.answered_at)
    answered = numpy.array([one.answered_at for one in operations])
    order = sorted(
        range(len(operations)), key=lambda n: operations[n].invoked_at, reverse=True
    )
    admitted = numpy.zeros(len(operations))
    worst = 0.0
    for number in order:
        one = operations[number]
        admitted[number:] += one.requests
        allowed = limit.burst + limit.rate_per_s * (answered - one.invoked_at)
        worst = max(worst, float(numpy.max((admitted - allowed)[number:])))
    return worst


def check_rates(found):
    """Report client accounts that received more than their rate and burst."""
    violations = []
    for limit in found.of(history.Limit):
        operations = [
            one
            for one in found.operations()
            if one.account == limit.account and one.outcome is history.Outcome.OK
        ]
        excess = excess_admitted(operations, limit)
        if excess > TOLERANCE:
            text = f"{limit.account} got {excess:.2f} above burst and rate"
            violations.append(_violation.Violation("rates", text))
    return violations
