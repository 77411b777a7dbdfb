"""A token bucket."""

import attrs


@attrs.define
class TokenBucket:
    """Admits at most ``burst + rate * t`` requests in any `t` seconds.

    Attributes
    ----------
    rate_per_s : float
        Tokens added per second.
    burst : float
        Capacity of the bucket in tokens.
    tokens : float
        Tokens in the bucket at `updated_at`.
    updated_at : float
        Time of the last refill in seconds of the caller's clock.
    """

    rate_per_s: float
    burst: float
    tokens: float
    updated_at: float

    def refill(self, now):
        """Add the tokens that have accrued since the last refill."""
        elapsed = now - self.updated_at
        if elapsed > 0.0:
            self.tokens = min(self.burst, self.tokens + elapsed * self.rate_per_s)
            self.updated_at = now

    def take(self, now):
        """Take one token.

        Parameters
        ----------
        now : float
            Current time in seconds of the caller's clock.

        Returns
        -------
        float
            0.0 if a token was taken, else the seconds until one is available.
        """
        self.refill(now)
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        if self.rate_per_s <= 0.0:
            return float("inf")
        return (1.0 - self.tokens) / self.rate_per_s
