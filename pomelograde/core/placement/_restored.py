"""Members to use after the store has returned from an older copy."""

import attrs

# Running members write their rows again within 2 s of the store's return.
REWRITE_TIMEOUT_S = 2.5
REWRITE_HEARTBEATS = 2.5  # the same for members with a long heartbeat interval


@attrs.define
class RestoredMembers:
    """Selects the members to use from rows that may be of an older copy.

    A copy can hold the row of a member that has left since, can show a leaving
    member as ready, and name a former primary. A row counts as it is once its
    member has written it again. Until then, a member that was in use stays in
    use in its role for a limited time, and one that was not in use is left out.

    Attributes
    ----------
    heartbeat_s : float
        Interval at which members write their rows.
    era : int or None
        Era of the last read; None before the first one.
    since : float
        Time of the first read of the era.
    restored_versions : dict of str to int
        Version of each row, by name of the member, at that read; empty if the
        store has not been restored since the state was known.
    known : dict of tuple to Member
        Members in use before that read by name and start of the process.
    """

    heartbeat_s: float
    era: int | None = None
    since: float = float("-inf")
    restored_versions: dict = attrs.field(factory=dict)
    known: dict = attrs.field(factory=dict)

    @property
    def rewrite_s(self):
        """Time within which running members write their rows again, in seconds."""
        return max(REWRITE_TIMEOUT_S, REWRITE_HEARTBEATS * self.heartbeat_s)

    def select(self, rows, current, now):
        """Return the members to use.

        Parameters
        ----------
        rows : MemberRows
            What the store returned.
        current : dict of str to list of Member
            Members in use by service.
        now : float
            Monotonic seconds.

        Returns
        -------
        dict of str to list of Member
            Members by service.
        """
        if self.era is None and self.known and rows.era > 0:
            self.restore(rows, now)
        elif self.era is not None and rows.era > self.era:
            self.known = {}
            self.learn(current)
            self.restore(rows, now)
        self.era = rows.era
        if not self.restored_versions:
            return rows.members
        selected = {}
        for service, members in rows.members.items():
            chosen = [self._select_member(member, rows, now) for member in members]
            selected[service] = [member for member in chosen if member is not None]
        return selected

    def restore(self, rows, now):
        """Take rows for those of an older copy.

        Parameters
        ----------
        rows : MemberRows
            What the first read of the era returned.
        now : float
            Monotonic seconds.
        """
        self.since = now
        self.era = rows.era
        self.restored_versions = dict(rows.versions)

    def learn(self, members):
        """Add members that are in use, by service."""
        self.known.update(
            ((member.name, member.started_ms), member)
            for found in members.values()
            for member in found
        )

    def _select_member(self, member, rows, now):
        """Return a member as it is to be used, or None."""
        if rows.versions[member.name] != self.restored_versions.get(member.name):
            return member
        known = self.known.get((member.name, member.started_ms))
        if known is None or now - self.since > self.rewrite_s:
            return None
        leaving = member.leaving or known.leaving
        return attrs.evolve(member, role=known.role, leaving=leaving)
