"""Estimate of the wait in a queue, to refuse requests that would expire in it."""

import attrs

SMOOTHING = 0.1  # weight of the newest interval
MIN_SAMPLES = 20
MIN_TURNS = 3
TURNS_MAX_AGE_S = 1.0  # after which a class that had no waiters is judged anew


@attrs.define
class WaitEstimator:
    """Moving average of the time between assignments while requests queue.

    Attributes
    ----------
    interval_s : float
        Exponentially weighted mean of the intervals.
    samples : int
        Number of intervals recorded.
    last_at : float or None
        Time of the last assignment, or None if the queue was empty after it.
    """

    interval_s: float = 0.0
    samples: int = 0
    last_at: float | None = None

    def record(self, now, is_empty):
        """Record an assignment from the queue.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        is_empty : bool
            Whether the queue is empty after the assignment.
        """
        if self.last_at is not None:
            interval_s = now - self.last_at
            self.interval_s += SMOOTHING * (interval_s - self.interval_s)
            self.samples += 1
        self.last_at = None if is_empty else now

    def expected_wait_s(self, own_waiters, accounts):
        """Return the expected wait of one more waiter of a client account.

        Parameters
        ----------
        own_waiters : int
            Waiters of the same client account.
        accounts : int
            Client accounts with waiters, this one included.

        Returns
        -------
        float
            Seconds; 0.0 until `MIN_SAMPLES` intervals have been recorded.

        Notes
        -----
        The queue serves the accounts in turn, so one of this account's waiters
        is served every `accounts` intervals. Weights are ignored.
        """
        if self.samples < MIN_SAMPLES:
            return 0.0
        return (own_waiters + 1) * max(1, accounts) * self.interval_s


@attrs.define
class TurnEstimator:
    """Mean time between the turns of one priority class while it has waiters.

    It includes the turns that later arrivals of higher classes take meanwhile.

    Attributes
    ----------
    interval_s : float
        Weighted mean of the intervals.
    samples : int
        Number of intervals recorded.
    last_at : float or None
        Time of the last turn, or None if the class had no waiter after it.
    recorded_at : float
        Time of the last recorded interval.
    """

    interval_s: float = 0.0
    samples: int = 0
    last_at: float | None = None
    recorded_at: float = float("-inf")

    def record(self, now, is_empty):
        """Record a turn, and whether the class has no waiters after it."""
        if self.last_at is not None:
            if now - self.recorded_at > TURNS_MAX_AGE_S:
                self.samples = 0
            self.samples += 1
            weight = max(SMOOTHING, 1.0 / self.samples)
            self.interval_s += weight * (now - self.last_at - self.interval_s)
            self.recorded_at = now
        self.last_at = None if is_empty else now

    def turn_s(self, now):
        """Return the expected time of a turn in seconds, or None if it is unknown."""
        if self.samples < MIN_TURNS or now - self.recorded_at > TURNS_MAX_AGE_S:
            return None
        since_s = 0.0 if self.last_at is None else now - self.last_at
        return max(self.interval_s, since_s)
