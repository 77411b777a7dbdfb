"""Log positions that bound the staleness of reads."""

import collections

import attrs

MAX_FLOORS = 64
MIN_FLOOR_INTERVAL_S = 0.05


@attrs.frozen
class Floor:
    """A position at or above all writes that were acknowledged before a time.

    Attributes
    ----------
    asked_at : float
        That time: when the position was requested, in monotonic seconds.
    position : Position
        The position.
    member : str
        Member that reported it; empty if several did.
    source : str
        Instance that told of it; empty if this one requested it.
    """

    asked_at: float
    position: object
    member: str = ""
    source: str = ""


class FloorHistory:
    """The last floors of a group.

    Attributes
    ----------
    entries : deque of Floor
        Floors in the order in which they became known.

    Notes
    -----
    A member whose log reaches a floor has every write that was acknowledged
    before the floor's time. Its data is therefore at most `age_s` old if the
    floor was requested within the last `age_s` seconds.
    """

    def __init__(self):
        self.entries = collections.deque(maxlen=MAX_FLOORS)

    def add(self, asked_at, position, member="", source=""):
        """Add a floor unless it is too close to the last one.

        Parameters
        ----------
        asked_at : float
            Monotonic time, in seconds, at which the position was requested.
        position : Position
            Position at or above all writes acknowledged before `asked_at`.
        member, source : str
            Attributes of the Floor.
        """
        last_at = self.entries[-1].asked_at if self.entries else float("-inf")
        if asked_at - last_at >= MIN_FLOOR_INTERVAL_S:
            self.entries.append(Floor(asked_at, position, member, source))

    def find(self, now, age_s):
        """Return the position of `find_entry`, or None."""
        found = self.find_entry(now, age_s)
        return None if found is None else found.position

    def find_entry(self, now, age_s):
        """Return the oldest Floor that guarantees an age, or None.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        age_s : float
            Maximum age of the data, in seconds.
        """
        for found in self.entries:
            if now - found.asked_at <= age_s:
                return found
        return None

    def is_due(self, now, age_s):
        """Return whether to request a new floor before the last one is too old."""
        return not self.entries or now - self.entries[-1].asked_at >= age_s / 2
