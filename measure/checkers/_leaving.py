"""A member that is being removed receives no new statements."""

from measure import history
from measure.checkers import _violation

LEAVING_LIMIT_S = 3.0


def check_no_new_work(recorded):
    """Report members that ran new statements after `LEAVING_LIMIT_S`."""
    violations = []
    for leaving in recorded.records_of(history.MemberLeaving):
        key = (leaving.service, leaving.member)
        counts = [
            work.statements
            for work in recorded.records_of(history.MemberWork)
            if (work.service, work.member) == key
            and work.seen_at > leaving.accepted_at + LEAVING_LIMIT_S
        ]
        if counts and max(counts) > min(counts):
            text = f"{leaving.member} ran {max(counts) - min(counts)} more statements"
            violations.append(_violation.Violation("leaving_member", text))
    return violations
