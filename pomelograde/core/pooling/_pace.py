"""How fast a queue moves, and whether a deadline can be met."""

import attrs

SMOOTHING = 0.1  # weight of the newest interval
MIN_SAMPLES = 20


@attrs.define
class Pace:
    """Smoothed time between two assignments while somebody waits.

    Attributes
    ----------
    interval_s : float
        Seconds between two assignments.
    samples : int
        Intervals seen.
    last_at : float or None
        Time of the last assignment since the queue was last empty.
    """

    interval_s: float = 0.0
    samples: int = 0
    last_at: float | None = None

    def note(self, now, is_empty):
        """Note an assignment from the queue.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        is_empty : bool
            Whether nobody waits any more.
        """
        if self.last_at is not None:
            interval_s = now - self.last_at
            self.interval_s += SMOOTHING * (interval_s - self.interval_s)
            self.samples += 1
        self.last_at = None if is_empty else now

    def expect_wait(self, own_waiters, accounts):
        """Return the seconds until one more waiter of an account is served.

        Parameters
        ----------
        own_waiters : int
            Waiters of the same client account.
        accounts : int
            Client accounts with waiters, this one included.

        Returns
        -------
        float
            0.0 as long as too little was seen for a forecast.
        """
        if self.samples < MIN_SAMPLES:
            return 0.0
        return (own_waiters + 1) * max(1, accounts) * self.interval_s
