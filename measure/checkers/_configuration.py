"""An accepted configuration is soon in force everywhere and never reverts."""

from measure import history
from measure.checkers import _violation

IN_FORCE_LIMIT_S = 3.0


def check_never_reverts(found):
    """Report instances that went back to a lower revision."""
    highest = {}
    violations = []
    for seen in sorted(found.of(history.RevisionSeen), key=lambda one: one.seen_at):
        before = highest.get(seen.instance, 0)
        if seen.revision < before:
            text = f"{seen.instance} went from {before} to {seen.revision}"
            violations.append(_violation.Violation("configuration", text))
        highest[seen.instance] = max(before, seen.revision)
    return violations


def check_in_force(found):
    """Report revisions that an instance lacked after the time limit."""
    violations = []
    for change in found.of(history.Acceptance):
        for seen in found.of(history.RevisionSeen):
            late_s = seen.seen_at - change.accepted_at
            if late_s > IN_FORCE_LIMIT_S and seen.revision < change.revision:
                text = f"{seen.instance} lacked {change.revision} after {late_s:.2f} s"
                violations.append(_violation.Violation("configuration_in_force", text))
    return violations
