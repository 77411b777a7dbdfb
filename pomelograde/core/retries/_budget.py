"""Limit of retries to a share of the statements that are served."""

import attrs

RETRIES_PER_SERVED = 0.2
RETRIES_PER_S = 2.0  # so that an account with little load may retry at all
MAX_RETRIES = 10.0  # kept for a burst of failures


@attrs.define
class RetryBudget:
    """Retries that one client account may still cause on one route.

    Attributes
    ----------
    tokens : float
        Retries that are allowed now; never negative.
    updated_at : float or None
        Monotonic time of the last update; None before the first.

    Notes
    -----
    Retries multiply the load just when members fail for lack of room. With a
    budget, a failure of all statements adds at most this share to it.
    """

    tokens: float = MAX_RETRIES
    updated_at: float | None = None

    def on_served(self):
        """Add the share of a statement that was served."""
        self.tokens = min(MAX_RETRIES, self.tokens + RETRIES_PER_SERVED)

    def take(self, now):
        """Return whether a retry is allowed, and count it.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        if self.updated_at is not None:
            gained = RETRIES_PER_S * max(0.0, now - self.updated_at)
            self.tokens = min(MAX_RETRIES, self.tokens + gained)
        self.updated_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
