"""Consistency checkers of recorded histories, one for each guarantee.

Each checker takes a `History` and returns a list of `Violation`.
"""

from measure.checkers import (
    _answers,
    _configuration,
    _isolation,
    _keys,
    _leaving,
    _limits,
    _outcomes,
    _sessions,
    _transactions,
    _violation,
    _writes,
)

Violation = _violation.Violation
MAX_PROPAGATION_LIMIT_S = max(
    _keys.WITHDRAWN_LIMIT_S, _configuration.IN_FORCE_LIMIT_S, _leaving.LEAVING_LIMIT_S
)
excess_admitted = _limits.excess_admitted

CHECKS = {
    "read_your_writes": _sessions.check_read_your_writes,
    "lost_acknowledged_writes": _writes.check_lost,
    "doubled_writes": _writes.check_doubled,
    "transactions_unmixed": _transactions.check_unmixed,
    "whole_answers": _answers.check_whole,
    "not_run_is_true": _outcomes.check_not_run,
    "isolation": _isolation.check_owners,
    "rates": _limits.check_rates,
    "withdrawn_keys": _keys.check_withdrawn,
    "configuration": _configuration.check_never_reverts,
    "configuration_in_force": _configuration.check_in_force,
    "leaving_member": _leaving.check_no_new_work,
}


def check_all(recorded):
    """Run all checkers over a history.

    Parameters
    ----------
    recorded : History
        History to check.

    Returns
    -------
    dict of str to list of Violation
        Violations by name of the checker.
    """
    return {name: check(recorded) for name, check in CHECKS.items()}
