"""Circuit breaker for reads that wait for lagging replicas."""

OPEN_DURATION_S = 1.0


class ReplicaWaitBreaker:
    """Decides whether reads wait for a replica to catch up.

    Notes
    -----
    For `OPEN_DURATION_S` after a wait timed out, or until a replica has served a
    read of a session with writes, reads go to the primary at once.
    """

    def __init__(self):
        self.open_until = 0.0

    def on_wait_timed_out(self, now):
        """Record that a read waited without finding a replica that caught up."""
        self.open_until = now + OPEN_DURATION_S

    def on_replica_served(self):
        """Record that a replica served a read of a session with writes."""
        self.open_until = 0.0

    def should_wait(self, now):
        """Return whether a read should wait for a replica."""
        return now >= self.open_until
