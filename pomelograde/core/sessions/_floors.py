"""Log positions that bound the staleness of reads."""

import collections

MAX_FLOORS = 64
MIN_FLOOR_INTERVAL_S = 0.05


class FloorHistory:
    """The last floors of a group.

    A floor is a position at or above all writes that were acknowledged before
    a given time.

    Notes
    -----
    A member whose log reaches a floor has every write that was acknowledged
    before the floor's time. Its data is therefore at most `age_s` old if the
    floor was requested within the last `age_s` seconds.
    """

    def __init__(self):
        self.entries = collections.deque(maxlen=MAX_FLOORS)

    def add(self, asked_at, position):
        """Add a floor unless it is too close to the last one.

        Parameters
        ----------
        asked_at : float
            Monotonic time, in seconds, at which the position was requested.
        position : Position
            Position at or above all writes acknowledged before `asked_at`.
        """
        if not self.entries or asked_at - self.entries[-1][0] >= MIN_FLOOR_INTERVAL_S:
            self.entries.append((asked_at, position))

    def find(self, now, age_s):
        """Return the oldest floor that guarantees an age, or None.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        age_s : float
            Maximum age of the data, in seconds.
        """
        for asked_at, position in self.entries:
            if now - asked_at <= age_s:
                return position
        return None

    def is_due(self, now, age_s):
        """Return whether to request a new floor before the last one is too old."""
        return not self.entries or now - self.entries[-1][0] >= age_s / 2
