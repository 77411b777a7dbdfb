"""Reports the rows of the store that were skipped because they are invalid."""

import attrs

from pomelograde.net import events

REPEAT_INTERVAL_S = 10.0  # between two lines on the same fault of a row
MAX_LINES = 20  # in each such interval


@attrs.define
class _Fault:
    """Fault of a row.

    Attributes
    ----------
    reason : str
        Why the row is invalid.
    version : int
        Version of the row that was counted last.
    is_due : bool
        Whether that version is to be logged.
    logged_at : float
        Time of the last line, in monotonic seconds; negative infinity before it.
    """

    reason: str
    version: int = -1
    is_due: bool = False
    logged_at: float = float("-inf")


class InvalidRows:
    """Logs and counts invalid rows.

    Each version of a row is counted once. A fault is logged at most once in
    `REPEAT_INTERVAL_S`, since its writer may write the row again and again. Lines
    beyond `MAX_LINES` wait for a later read, unless that finds the row valid.

    Parameters
    ----------
    context : HostedContext
        Components that all tasks of the instance share.

    Attributes
    ----------
    faults : dict of str to dict of str to _Fault
        Faults by table and key.
    since : float
        Start of the current interval, in monotonic seconds.
    lines : int
        Lines in the current interval.
    """

    def __init__(self, context):
        self.context = context
        self.faults = {}
        self.since = float("-inf")
        self.lines = 0
        self.counter = context.metrics.add_counter(
            "pomelograde_invalid_rows",
            "Versions of rows of the store that were skipped as invalid.",
            "table",
        )

    def report(self, table, rows, is_whole):
        """Report the rows that a read has skipped.

        Parameters
        ----------
        table : str
            Name of the table.
        rows : list of InvalidRow
            The rows.
        is_whole : bool
            Whether the whole table was read, so that all other rows are valid.
        """
        known = self.faults.get(table, {})
        faults = {} if is_whole else dict(known)
        for row in rows:
            fault = known.get(row.key)
            if fault is None or fault.reason != row.reason:
                fault = _Fault(row.reason)
            faults[row.key] = fault
            if fault.version != row.version:
                fault.version = row.version
                fault.is_due = True
                self.context.metrics.count(self.counter, table)
        self.faults[table] = faults
        self._log_due()

    def _log_due(self):
        """Log the faults that are due, as far as the rate allows."""
        now = self.context.now()
        if now - self.since >= REPEAT_INTERVAL_S:
            self.since, self.lines = now, 0
        for table, faults in self.faults.items():
            for key, fault in faults.items():
                if self.lines >= MAX_LINES:
                    return
                if fault.is_due:
                    self._log(table, key, fault, now)

    def _log(self, table, key, fault, now):
        fault.is_due = False
        if now - fault.logged_at < REPEAT_INTERVAL_S:
            return
        self.context.log.write(
            events.Event.ROW_INVALID,
            table=table,
            key=key,
            row_version=fault.version,
            reason=fault.reason,
        )
        fault.logged_at = now
        self.lines += 1
