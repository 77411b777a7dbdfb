"""An instance's part of all rates, leased in the platform's table."""

import attrs

TOTAL_PARTS = 1_000_000  # parts that every allotment is split into
LEDGER_KEY = "limits/ledger"
SHARE_PREFIX = "limits/shares/"
TABLE_PREFIX = "limits/"
CLOCK_DRIFT = 0.02  # share by which two clocks may differ in speed
MARGIN_S = 1.0
LOAN_DURATION_S = 10.0
RENEWALS = 20  # renewals in the time of a lease
TOLERANCE = 0.05  # share of the target that is left as it is
LEAST_TAKE = 0.01  # share of the target below which free parts are left
FIRST_TAKE = 0.25  # share of the free parts that a new instance takes at most
SETTLING_S = 2.0  # time after the start in which it takes no more than that


@attrs.frozen
class TableRow:
    """A row of the table; a value of None is a deleted row."""

    key: str
    value: object
    version: int


@attrs.frozen
class Commit:
    """Write rows if the conditions hold.

    Attributes
    ----------
    conditions : tuple of (str, int)
        Key and version.
    writes : tuple of (str, object)
        Key and value.
    parts : int
        Parts of this instance once the commit has taken effect.
    nonce : str
        Names this commit in the instance's row.
    sent_at : float
        When it was sent.
    """

    conditions: tuple
    writes: tuple
    parts: int
    nonce: str
    sent_at: float


@attrs.define
class Loan:
    """Parts that a peer has lent, or that were lent to one.

    Attributes
    ----------
    parts : int
        How many.
    until : float
        End of the loan.
    """

    parts: int
    until: float


@attrs.define
class Observed:
    """A row as it was first seen at its version."""

    parts: int
    version: int
    seen_at: float


class ShareLease:
    """Decides how many parts this instance holds, and until when.

    Parameters
    ----------
    name : str
        Name of the instance's row: instance and incarnation.
    lease_s : float
        Length of a lease.
    now : float
        Seconds of a clock that counts suspended time; so are all times here.

    Attributes
    ----------
    parts : int
        Parts that this instance may use while the lease runs.
    expires_at : float
        End of the lease.

    Notes
    -----
    Parts are taken from and given back to one ledger row, in one commit with
    the instance's own row, so the parts of all rows and the ledger add up to
    `TOTAL_PARTS`. An instance lowers its parts before it sends the commit that gives
    some back, and raises them after it knows that a commit took effect.
    A lease runs from the moment its commit was sent. Others take the row of an
    instance that is gone only after they have seen it unchanged for longer
    than a lease.
    """

    def __init__(self, name, lease_s, now):
        self.key = SHARE_PREFIX + name
        self.lease_s = lease_s
        self.started_at = now
        self.parts = 0
        self.expires_at = float("-inf")
        self.renewed_at = float("-inf")
        self.row = Observed(0, 0, now)
        self.ledger = Observed(0, 0, now)
        self.others = {}
        self.loans = {}
        self.borrowed = Loan(0, float("-inf"))
        self.pending = None
        self.closed = False
        self.read_once = False
        self.unresolved = None

    def usable_parts(self, now):
        """Return the parts that may be used now."""
        if now < self.expires_at and self.parts:
            return max(0, self.parts - self.lent_parts(now))
        return self.borrowed.parts if now < self.borrowed.until else 0

    def usable_until(self, now):
        """Return the time until which they may be used."""
        if now < self.expires_at and self.parts:
            return self.expires_at
        return self.borrowed.until

    def lent_parts(self, now):
        """Return the parts that are lent out."""
        return sum(loan.parts for loan in self.loans.values() if now < loan.until)

    def lend(self, borrower, for_s, now):
        """Lend parts to an instance that can't get any from the table.

        Parameters
        ----------
        borrower : str
            Name and incarnation of the borrower.
        for_s : float
            How long it asks for.
        now : float
            Current time.

        Returns
        -------
        Loan
            Parts, and for how long from the moment the request was sent; the
            lender does without them for longer than that, and its own lease
            runs for longer still.
        """
        left_s = (self.expires_at - now - MARGIN_S) / (1.0 + CLOCK_DRIFT)
        for_s = min(for_s, left_s)
        if for_s <= 0.0 or self.closed:
            return Loan(0, 0.0)
        known = self.loans.get(borrower)
        if known is None or now >= known.until:
            known = Loan((self.parts - self.lent_parts(now)) // 2, 0.0)
        until = now + for_s * (1.0 + CLOCK_DRIFT) + MARGIN_S
        self.loans[borrower] = Loan(known.parts, max(known.until, until))
        return Loan(known.parts, for_s)

    def needs_loan(self, now):
        """Return whether to borrow parts, or to borrow them for longer."""
        if now < self.expires_at and self.parts:
            return False
        return now >= self.borrowed.until - LOAN_DURATION_S / 2.0

    def on_loan(self, parts, until):
        """Take in a loan; an unfinished one with as many parts goes on."""
        if parts > 0:
            self.borrowed = Loan(parts, until)

    def is_starting(self, now):
        """Return whether the first lease may still come."""
        return self.renewed_at < 0.0 and now - self.started_at < SETTLING_S

    def on_rows(self, rows, now):
        """Take in rows that have changed."""
        self.read_once = True
        for row in rows:
            self._observe(row, now)

    def plan_commit(self, instances, nonce, now):
        """Decide on the next commit.

        Parameters
        ----------
        instances : int
            Live instances, this one included.
        nonce : str
            Name for the commit.
        now : float
            Current time.

        Returns
        -------
        Commit or None
            What to commit.
        """
        if not self.read_once or self.pending is not None or self.closed:
            return None
        lapsed = self._find_lapsed(now)
        if lapsed is not None:
            return self._reclaim(*lapsed, nonce, now)
        wanted = self._wanted(instances, now)
        due = now - self.renewed_at >= self.lease_s / RENEWALS
        due = due or self.parts < self.row.parts
        if wanted == self.row.parts and not (due and wanted):
            return None
        return self._commit(wanted, nonce, now)

    def release_all(self, nonce, now):
        """Give all parts back for good; returns the commit or None."""
        self.closed = True
        self.parts = 0
        if not self.row.version:
            return None
        kept = self.lent_parts(now)
        free = self.ledger.parts + self.row.parts - kept
        value = {"parts": kept, "nonce": nonce} if kept else None
        return self._send(
            ((LEDGER_KEY, self.ledger.version), (self.key, self.row.version)),
            ((LEDGER_KEY, {"free": free}), (self.key, value)),
            0,
            nonce,
            now,
        )

    def on_committed(self, version, now):
        """Take that the pending commit took effect."""
        pending, self.pending = self.pending, None
        if pending is None:
            return
        for key, value in pending.writes:
            self._observe(TableRow(key, value, version), now)
        if any(key == self.key for key, _ in pending.writes):
            self._adopt(pending)

    def on_conflict(self, rows, now):
        """Take that the pending commit did not take effect."""
        self.pending = None
        for row in rows:
            self._observe(row, now)

    def on_outcome_unknown(self):
        """Take that nothing is known of the pending commit.

        Notes
        -----
        Reading back may show that it took effect. If it does not, it may
        still do so later; this harms nothing, as parts were lowered before it
        was sent and are not raised on account of it.
        """
        pending, self.pending = self.pending, None
        self.unresolved = pending

    def on_read_back(self, rows, now):
        """Take in rows that were read after a commit without an answer."""
        unresolved = self.unresolved
        self.on_rows(rows, now)
        self.unresolved = None
        if unresolved is None:
            return
        for row in rows:
            value = row.value or {}
            if row.key == self.key and value.get("nonce") == unresolved.nonce:
                self._adopt(unresolved)

    def _adopt(self, commit):
        self.parts = commit.parts
        self.expires_at = max(self.expires_at, commit.sent_at + self.lease_s)
        self.renewed_at = commit.sent_at

    def _observe(self, row, now):
        value = row.value or {}
        if row.key == LEDGER_KEY:
            if row.version >= self.ledger.version:
                self.ledger = Observed(value.get("free", 0), row.version, now)
            return
        parts = value.get("parts", 0)
        version = row.version if row.value is not None else 0
        if row.key == self.key:
            self.row = Observed(parts, version, now)
            self.parts = min(self.parts, parts)
            return
        known = self.others.get(row.key)
        if row.value is None:
            self.others.pop(row.key, None)
        elif known is None or known.version < row.version:
            self.others[row.key] = Observed(parts, row.version, now)

    def _find_lapsed(self, now):
        limit_s = self.lease_s * (1.0 + CLOCK_DRIFT) + MARGIN_S
        for key, seen in self.others.items():
            if now - seen.seen_at > limit_s:
                return key, seen
        return None

    def _reclaim(self, key, seen, nonce, now):
        free = self.ledger.parts + seen.parts
        return self._send(
            ((LEDGER_KEY, self.ledger.version), (key, seen.version)),
            ((LEDGER_KEY, {"free": free}), (key, None)),
            self.parts,
            nonce,
            now,
        )

    def _wanted(self, instances, now):
        held = self.row.parts
        target = TOTAL_PARTS // max(1, instances)
        if held > target * (1.0 + TOLERANCE):
            return max(target, self.lent_parts(now))
        if held >= target * (1.0 - TOLERANCE):
            return held
        free = self.ledger.parts if self.ledger.version else TOTAL_PARTS
        if now - self.started_at < SETTLING_S:
            if held:
                return held
            free = int(free * FIRST_TAKE)
        taken = min(target - held, free)
        return held + taken if taken > target * LEAST_TAKE else held

    def _commit(self, wanted, nonce, now):
        self.parts = min(self.parts, wanted)
        conditions = [(self.key, self.row.version)]
        writes = [(self.key, {"parts": wanted, "nonce": nonce})]
        taken = wanted - self.row.parts
        if taken or not self.ledger.version:
            free = self.ledger.parts if self.ledger.version else TOTAL_PARTS
            conditions.append((LEDGER_KEY, self.ledger.version))
            writes.append((LEDGER_KEY, {"free": free - taken}))
        return self._send(tuple(conditions), tuple(writes), wanted, nonce, now)

    def _send(self, conditions, writes, parts, nonce, now):
        self.pending = Commit(conditions, writes, parts, nonce, now)
        return self.pending
