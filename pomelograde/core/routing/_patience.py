"""Whether reads wait for replicas that are behind."""

GIVE_UP_S = 1.0


class Patience:
    """Decides whether a read waits for a replica to catch up.

    Notes
    -----
    After a read waited in vain, the others go to the primary at once for
    `GIVE_UP_S`, or until a replica has caught up.
    """

    def __init__(self):
        self.given_up_until = 0.0

    def on_in_vain(self, now):
        """Note that a read waited in vain."""
        self.given_up_until = now + GIVE_UP_S

    def on_served(self):
        """Note that a replica served a read of a session with writes."""
        self.given_up_until = 0.0

    def should_wait(self, now):
        """Return whether a read should wait."""
        return now >= self.given_up_until
