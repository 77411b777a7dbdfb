"""The proofs of checks that take too long for CI.

Run as ``python -m pytest tests/measure/proofs.py``.
"""

import pytest

from tests.measure import test_mutants

OTHERS = sorted(set(test_mutants.SCENARIOS) - set(test_mutants.IN_CI))


@pytest.mark.parametrize("name", OTHERS)
def test_check_reports_a_daemon_without_its_mechanism(name):
    assert test_mutants.count_reports(name) > 0
