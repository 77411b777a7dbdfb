"""Positions that prove how old the data of a read can be."""

import collections

MAX_FLOORS = 64
MIN_DISTANCE_S = 0.05


class FloorHistory:
    """Positions at or above all writes acknowledged before stated times.

    Notes
    -----
    A member that covers the floor of a time shows every write that was
    acknowledged before this time. Data that is at most `age` seconds old is
    thus proved by any floor that was asked for within the last `age` seconds.
    """

    def __init__(self):
        self.entries = collections.deque(maxlen=MAX_FLOORS)

    def add(self, asked_at, position):
        """Take in a floor.

        Parameters
        ----------
        asked_at : float
            Monotonic seconds at which the members were asked.
        position : Position
            Highest position of a majority of members.
        """
        if not self.entries or asked_at - self.entries[-1][0] >= MIN_DISTANCE_S:
            self.entries.append((asked_at, position))

    def find(self, now, age_s):
        """Return the oldest floor that proves an age, or None.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        age_s : float
            Greatest age of the data, in seconds.
        """
        for asked_at, position in self.entries:
            if now - asked_at <= age_s:
                return position
        return None

    def is_due(self, now, age_s):
        """Return whether a new floor should be asked for ahead of need."""
        return not self.entries or now - self.entries[-1][0] >= age_s / 2
