"""Accepted changes are in force on every instance in time and never revert."""

from measure import history
from measure.checkers import _violation

IN_FORCE_LIMIT_S = 3.0


def check_never_reverts(recorded):
    """Report instances that returned to an earlier revision."""
    highest_revisions = {}
    violations = []
    for seen in sorted(
        recorded.records_of(history.RevisionSeen), key=lambda seen: seen.seen_at
    ):
        highest = highest_revisions.get(seen.instance, 0)
        if seen.revision < highest:
            text = f"{seen.instance} went from {highest} to {seen.revision}"
            violations.append(_violation.Violation("configuration", text))
        highest_revisions[seen.instance] = max(highest, seen.revision)
    return violations


def check_in_force(recorded):
    """Report instances that still lacked a revision after `IN_FORCE_LIMIT_S`."""
    violations = []
    for change in recorded.records_of(history.Acceptance):
        for seen in recorded.records_of(history.RevisionSeen):
            delay_s = seen.seen_at - change.accepted_at
            if delay_s > IN_FORCE_LIMIT_S and seen.revision < change.revision:
                text = f"{seen.instance} lacked {change.revision} after {delay_s:.2f} s"
                violations.append(_violation.Violation("configuration_in_force", text))
    return violations
