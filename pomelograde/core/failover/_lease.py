"""Leases that let an instance acknowledge writes without waiting."""

from pomelograde.core.failover import _group

LEASE_S = 1.0
CLOCK_MARGIN = 0.1  # share of a lease that differing clocks may use up


class WriteLease:
    """Whether no other primary can have been promoted yet.

    Parameters
    ----------
    view : GroupView
        What is known of the group.

    Notes
    -----
    A majority of members that were asked at some time and were not fenced for
    a later term give a lease from that time on. A promoter fences a majority
    first and then waits for `LEASE_S`; one member is in both majorities.
    """

    def __init__(self, view):
        self.view = view
        self.answers = {}

    def record(self, status, asked_at):
        """Take in a member's answer to a question of this instance."""
        self.answers[status.name] = (asked_at, status.fenced_term)

    def is_held(self, now):
        """Return whether the primary of the known term still leads alone."""
        view = self.view
        asked = sorted(
            asked_at
            for name, (asked_at, fenced_term) in self.answers.items()
            if name in view.members and fenced_term <= view.term
        )
        needed = _group.majority(len(view.members))
        if len(asked) < needed:
            return False
        return now < asked[-needed] + LEASE_S * (1.0 - CLOCK_MARGIN)
