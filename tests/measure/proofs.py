"""Mutation tests of the checkers that take too long for CI.

Run with ``python -m pytest tests/measure/proofs.py``.
"""

import pytest

from tests.measure import test_mutants

SLOW_CHECKS = sorted(set(test_mutants.SCENARIOS) - set(test_mutants.IN_CI))


@pytest.mark.parametrize("name", SLOW_CHECKS)
def test_check_reports_a_daemon_without_its_mechanism(name):
    assert test_mutants.count_violations(name) > 0
