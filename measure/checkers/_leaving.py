"""A leaving member gets no new work."""

from measure import history
from measure.checkers import _violation

LEAVING_LIMIT_S = 3.0


def check_no_new_work(found):
    """Report members whose count of statements grew after the time limit."""
    violations = []
    for leaving in found.of(history.MemberLeaving):
        key = (leaving.service, leaving.member)
        after = [
            work.statements
            for work in found.of(history.MemberWork)
            if (work.service, work.member) == key
            and work.seen_at > leaving.accepted_at + LEAVING_LIMIT_S
        ]
        if after and max(after) > min(after):
            text = f"{leaving.member} ran {max(after) - min(after)} more statements"
            violations.append(_violation.Violation("leaving_member", text))
    return violations
