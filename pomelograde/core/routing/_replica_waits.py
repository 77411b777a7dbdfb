"""Whether reads wait for replicas that are behind."""

OPEN_DURATION_S = 1.0


class ReplicaWaitBreaker:
    """Decides whether a read waits for a replica to catch up.

    Notes
    -----
    After a read waited in vain, the others go to the primary at once for
    `OPEN_DURATION_S`, or until a replica has caught up.
    """

    def __init__(self):
        self.given_up_until = 0.0

    def on_wait_timed_out(self, now):
        """Note that a read waited in vain."""
        self.given_up_until = now + OPEN_DURATION_S

    def on_replica_served(self):
        """Note that a replica served a read of a session with writes."""
        self.given_up_until = 0.0

    def should_wait(self, now):
        """Return whether a read should wait."""
        return now >= self.given_up_until
