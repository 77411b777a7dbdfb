"""Lease of an instance's part of all rates, kept in the platform's table."""

import attrs

TOTAL_PARTS = 1_000_000  # parts that every rate and burst is divided into
LEDGER_KEY = "limits/ledger"
SHARE_PREFIX = "limits/shares/"
TABLE_PREFIX = "limits/"
MAX_CLOCK_DRIFT = 0.02  # fraction by which two clocks may differ in speed
SAFETY_MARGIN_S = 1.0  # before parts of another instance's lease or loan are reused
LOAN_DURATION_S = 10.0
RENEWALS_PER_LEASE = 20
REBALANCE_TOLERANCE = 0.05  # deviation from the target that is not corrected
MIN_TAKE_FRACTION = 0.01  # of the target; fewer parts are not worth a commit
STARTUP_TAKE_FRACTION = 0.25  # of the free parts, for a new instance
STARTUP_S = 2.0  # time for which STARTUP_TAKE_FRACTION limits a new instance


@attrs.frozen
class TableRow:
    """A row of the platform's table; its value is None if it was deleted."""

    key: str
    value: object
    version: int


@attrs.frozen
class Commit:
    """Rows to write atomically, provided that the conditions hold.

    Attributes
    ----------
    conditions : tuple of (str, int)
        Key of a row and the version that it must have.
    writes : tuple of (str, object)
        Key of a row and its new value.
    parts : int
        Parts that this instance holds once the commit has taken effect.
    nonce : str
        Identifies the commit in the instance's row.
    sent_at : float
        Time at which the commit was sent.
    """

    conditions: tuple
    writes: tuple
    parts: int
    nonce: str
    sent_at: float


@attrs.define
class Loan:
    """Parts borrowed from a peer or lent to one.

    Attributes
    ----------
    parts : int
        Number of parts.
    until : float
        End of the loan; `ShareLease.lend` returns a duration here.
    """

    parts: int
    until: float


@attrs.define
class ObservedRow:
    """Content of a row, and when its current version was first seen."""

    parts: int
    version: int
    seen_at: float


class ShareLease:
    """Decides how many parts of all rates this instance holds, and until when.

    Parameters
    ----------
    name : str
        Name of the instance's row: instance name and incarnation.
    lease_s : float
        Duration of a lease.
    now : float
        Current time. All times are seconds of a clock that goes on while the
        machine is suspended.

    Attributes
    ----------
    parts : int
        Parts that this instance may use while its lease is valid.
    expires_at : float
        End of the lease.
    renewed_at : float
        Time at which the last effective commit of the own row was sent; negative
        infinity before the first one.
    own_row, ledger : ObservedRow
        Last seen content of the instance's row and of the ledger row.
    other_rows : dict of str to ObservedRow
        Last seen rows of other instances by key.
    loans : dict of str to Loan
        Parts lent, by name and incarnation of the borrower.
    borrowed : Loan
        Parts borrowed from a peer.
    pending : Commit or None
        Commit that was sent and has no answer yet.
    unresolved : Commit or None
        Commit whose outcome is unknown until the table is read again.

    Notes
    -----
    The ledger row has the number of free parts. Parts are taken from it and
    returned to it in the same commit as the instance's own row, so that the
    parts of all rows and of the ledger add up to `TOTAL_PARTS`. An instance
    reduces its parts before it sends the commit that returns some, and
    increases them only once it knows that a commit has taken effect.

    Another writer may leave a row that can't be read. It keeps the parts that it
    was last seen with, so that they are returned once it is reclaimed. A ledger
    that can't be read counts as what the other rows leave.

    A lease is valid from the moment at which its commit was sent. Other
    instances reclaim the parts of a row only after they have seen it unchanged
    for longer than a lease.
    """

    def __init__(self, name, lease_s, now):
        self.key = SHARE_PREFIX + name
        self.lease_s = lease_s
        self.started_at = now
        self.parts = 0
        self.expires_at = float("-inf")
        self.renewed_at = float("-inf")
        self.own_row = ObservedRow(0, 0, now)
        self.ledger = ObservedRow(0, 0, now)
        self.other_rows = {}
        self.loans = {}
        self.borrowed = Loan(0, float("-inf"))
        self.pending = None
        self.closed = False
        self.table_read = False
        self.unresolved = None

    def usable_parts(self, now):
        """Return how many parts may be used now."""
        if now < self.expires_at and self.parts:
            return max(0, self.parts - self.lent_parts(now))
        return self.borrowed.parts if now < self.borrowed.until else 0

    def usable_until(self, now):
        """Return the time until which the usable parts may be used."""
        if now < self.expires_at and self.parts:
            return self.expires_at
        return self.borrowed.until

    def lent_parts(self, now):
        """Return how many parts are lent to peers."""
        return sum(loan.parts for loan in self.loans.values() if now < loan.until)

    def lend(self, borrower, duration_s, now):
        """Lend parts to an instance that can't get any from the table.

        A new loan has half of the parts that are not lent yet. A current loan
        is extended and keeps its parts.

        Parameters
        ----------
        borrower : str
            Name and incarnation of the borrower.
        duration_s : float
            Duration that the borrower asks for.
        now : float
            Current time.

        Returns
        -------
        Loan
            Parts, and the duration of the loan from the moment at which the
            borrower sent its request. The lender leaves the parts unused for
            slightly longer than that, and its own lease ends later still.
        """
        max_loan_s = (self.expires_at - now - SAFETY_MARGIN_S) / (1.0 + MAX_CLOCK_DRIFT)
        duration_s = min(duration_s, max_loan_s)
        if duration_s <= 0.0 or self.closed:
            return Loan(0, 0.0)
        known = self.loans.get(borrower)
        if known is None or now >= known.until:
            known = Loan((self.parts - self.lent_parts(now)) // 2, 0.0)
        until = now + duration_s * (1.0 + MAX_CLOCK_DRIFT) + SAFETY_MARGIN_S
        self.loans[borrower] = Loan(known.parts, max(known.until, until))
        return Loan(known.parts, duration_s)

    def needs_loan(self, now):
        """Return whether to ask for a loan of parts or for its extension."""
        if now < self.expires_at and self.parts:
            return False
        return now >= self.borrowed.until - LOAN_DURATION_S / 2.0

    def on_loan(self, parts, until):
        """Record a loan from a peer, or the extension of the current one."""
        if parts > 0:
            self.borrowed = Loan(parts, until)

    def is_starting(self, now):
        """Return whether the first lease may still be granted."""
        return self.renewed_at < 0.0 and now - self.started_at < STARTUP_S

    def on_rows(self, rows, now):
        """Process rows of the table that have changed."""
        self.table_read = True
        for row in sorted(rows, key=_is_ledger):
            self._observe(row, now)

    def plan_commit(self, instances, nonce, now):
        """Decide on the next commit.

        Parameters
        ----------
        instances : int
            Number of live instances, this one included.
        nonce : str
            Identifier for the commit.
        now : float
            Current time.

        Returns
        -------
        Commit or None
            The commit to send, if any.
        """
        if not self.table_read or self.pending is not None or self.closed:
            return None
        expired = self._find_expired(now)
        if expired is not None:
            return self._reclaim(*expired, nonce, now)
        target_parts = self._target_parts(instances, now)
        due = now - self.renewed_at >= self.lease_s / RENEWALS_PER_LEASE
        due = due or self.parts < self.own_row.parts
        if target_parts == self.own_row.parts and not (due and target_parts):
            return None
        return self._commit(target_parts, nonce, now)

    def release_all(self, nonce, now):
        """Return all parts that are not lent, and close the lease.

        Returns the commit to send, or None if there is nothing to return.
        """
        self.closed = True
        self.parts = 0
        if not self.own_row.version:
            return None
        kept = self.lent_parts(now)
        free_parts = self.ledger.parts + self.own_row.parts - kept
        value = {"parts": kept, "nonce": nonce} if kept else None
        return self._send(
            ((LEDGER_KEY, self.ledger.version), (self.key, self.own_row.version)),
            ((LEDGER_KEY, {"free": free_parts}), (self.key, value)),
            0,
            nonce,
            now,
        )

    def on_committed(self, version, now):
        """Handle that the pending commit has taken effect."""
        pending, self.pending = self.pending, None
        if pending is None:
            return
        for key, value in pending.writes:
            self._observe(TableRow(key, value, version), now)
        if any(key == self.key for key, _ in pending.writes):
            self._apply(pending)

    def on_conflict(self, rows, now):
        """Handle that a condition of the pending commit did not hold."""
        self.pending = None
        for row in sorted(rows, key=_is_ledger):
            self._observe(row, now)

    def on_outcome_unknown(self):
        """Handle that it is unknown whether the pending commit takes effect.

        Notes
        -----
        A later read of the table may show that it has. If not, the commit may
        still take effect after that read, which is safe: parts were reduced
        before it was sent, and aren't increased because of it.
        """
        pending, self.pending = self.pending, None
        self.unresolved = pending

    def on_read_back(self, rows, now):
        """Process rows that were read after a commit with an unknown outcome."""
        unresolved = self.unresolved
        self.on_rows(rows, now)
        self.unresolved = None
        if unresolved is None:
            return
        for row in rows:
            if row.key == self.key and _read_nonce(row) == unresolved.nonce:
                self._apply(unresolved)

    def _apply(self, commit):
        self.parts = commit.parts
        self.expires_at = max(self.expires_at, commit.sent_at + self.lease_s)
        self.renewed_at = commit.sent_at

    def _observe(self, row, now):
        parts = read_parts(row)
        if row.key == LEDGER_KEY:
            if row.version >= self.ledger.version:
                if parts is None:
                    parts = self._sum_free_parts()
                self.ledger = ObservedRow(parts, row.version, now)
            return
        if not row.key.startswith(SHARE_PREFIX):
            return
        version = row.version if row.value is not None else 0
        if row.key == self.key:
            if parts is None:
                parts = self.own_row.parts if now < self.expires_at else 0
            self.own_row = ObservedRow(parts, version, now)
            self.parts = min(self.parts, parts)
            return
        known = self.other_rows.get(row.key)
        if row.value is None:
            self.other_rows.pop(row.key, None)
        elif known is None or known.version < row.version:
            if parts is None:
                parts = 0 if known is None else known.parts
            self.other_rows[row.key] = ObservedRow(parts, row.version, now)

    def _sum_free_parts(self):
        """Return the parts that no row holds, in place of an odd ledger."""
        held = sum(row.parts for row in self.other_rows.values())
        return max(0, TOTAL_PARTS - held - self.own_row.parts)

    def _find_expired(self, now):
        expiry_s = self.lease_s * (1.0 + MAX_CLOCK_DRIFT) + SAFETY_MARGIN_S
        for key, observed in self.other_rows.items():
            if now - observed.seen_at > expiry_s:
                return key, observed
        return None

    def _reclaim(self, key, observed, nonce, now):
        free_parts = self.ledger.parts + observed.parts
        return self._send(
            ((LEDGER_KEY, self.ledger.version), (key, observed.version)),
            ((LEDGER_KEY, {"free": free_parts}), (key, None)),
            self.parts,
            nonce,
            now,
        )

    def _target_parts(self, instances, now):
        held = self.own_row.parts
        target = TOTAL_PARTS // max(1, instances)
        if held > target * (1.0 + REBALANCE_TOLERANCE):
            return max(target, self.lent_parts(now))
        if held >= target * (1.0 - REBALANCE_TOLERANCE):
            return held
        free_parts = self.ledger.parts if self.ledger.version else TOTAL_PARTS
        if now - self.started_at < STARTUP_S:
            if held:
                return held
            free_parts = int(free_parts * STARTUP_TAKE_FRACTION)
        taken = min(target - held, free_parts)
        return held + taken if taken > target * MIN_TAKE_FRACTION else held

    def _commit(self, target_parts, nonce, now):
        self.parts = min(self.parts, target_parts)
        conditions = [(self.key, self.own_row.version)]
        writes = [(self.key, {"parts": target_parts, "nonce": nonce})]
        taken = target_parts - self.own_row.parts
        if taken or not self.ledger.version:
            free_parts = self.ledger.parts if self.ledger.version else TOTAL_PARTS
            conditions.append((LEDGER_KEY, self.ledger.version))
            writes.append((LEDGER_KEY, {"free": free_parts - taken}))
        return self._send(tuple(conditions), tuple(writes), target_parts, nonce, now)

    def _send(self, conditions, writes, parts, nonce, now):
        self.pending = Commit(conditions, writes, parts, nonce, now)
        return self.pending


def read_parts(row):
    """Return the parts of a row of the table, 0 if it is deleted.

    Parameters
    ----------
    row : TableRow
        Row of the ledger or of an instance, whoever has written it.

    Returns
    -------
    int or None
        None if the row can't be read.
    """
    if row.value is None:
        return 0
    if not isinstance(row.value, dict):
        return None
    parts = row.value.get("free" if row.key == LEDGER_KEY else "parts", 0)
    return parts if type(parts) is int and 0 <= parts <= TOTAL_PARTS else None


def _read_nonce(row):
    return row.value.get("nonce") if isinstance(row.value, dict) else None


def _is_ledger(row):
    return row.key == LEDGER_KEY
