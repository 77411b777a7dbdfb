"""Leases under which writes are acknowledged without asking a majority."""

from pomelograde.core.failover import _group

LEASE_S = 1.0
CLOCK_MARGIN = 0.1  # fraction of the lease reserved for clock drift


class WriteLease:
    """Time during which no other member can have become the primary.

    Parameters
    ----------
    view : GroupView
        Known state of the group.

    Notes
    -----
    The lease starts when a majority of members was asked for their status, if
    none of these turned out to be fenced for a later term. A promoter first
    fences a majority and then waits for `LEASE_S`. The two majorities share at
    least one member, so no promotion completes while the lease is valid.
    """

    def __init__(self, view):
        self.view = view
        self.answers = {}

    def record(self, status, asked_at):
        """Record the status that a member sent when asked at `asked_at`."""
        self.answers[status.name] = (asked_at, status.fenced_term)

    def is_held(self, now):
        """Return whether the known primary is certain to be the only one."""
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
