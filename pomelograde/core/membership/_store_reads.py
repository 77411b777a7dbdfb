"""How often instances whose state is old read the store themselves."""

import attrs

MAX_UNLIMITED_INSTANCES = 20
STALE_READ_INTERVAL_S = 1.0


@attrs.define
class StaleReads:
    """Limits the reads of an instance that gets no recent state from the reader.

    Attributes
    ----------
    read_at : float
        Time of the last read, in monotonic seconds.

    Notes
    -----
    This answers the load on the store while it refuses all instances. Each of
    them has to try, since the store may refuse only some, but in a large fleet
    one of them finds out within milliseconds that the store answers again, and
    offers its state to the others.
    """

    read_at: float = float("-inf")

    def is_due(self, instance_count, now):
        """Return whether to read now, and record the read if so.

        Parameters
        ----------
        instance_count : int
            Number of registered instances.
        now : float
            Monotonic seconds.
        """
        limited = instance_count > MAX_UNLIMITED_INSTANCES
        if limited and now - self.read_at < STALE_READ_INTERVAL_S:
            return False
        self.read_at = now
        return True
