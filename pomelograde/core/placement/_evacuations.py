"""Which data centres an operator has evacuated, and until when they are used."""

import attrs

from pomelograde.core.placement import _restored

# Part of the time limit after which nothing is sent any more. The rest is for
# statements that are on their way to a member through another instance.
USE_FRACTION = 0.8


@attrs.frozen
class EvacuationsRead:
    """The requested evacuations, as one read of the store returned them.

    Attributes
    ----------
    data_centres : frozenset of str
        Data centres to which nothing more is to be sent.
    era, revision : int
        Era and revision of the store at the time of the read.
    as_of : float
        Monotonic time that is not later than the read, in seconds.
    """

    data_centres: frozenset
    era: int
    revision: int
    as_of: float


@attrs.define
class Evacuations:
    """The evacuations that one instance knows of.

    Attributes
    ----------
    read : EvacuationsRead or None
        Latest read by era and revision; None before the first one.
    kept : frozenset of str
        Evacuations that were known before the store returned from an older copy.
    kept_until : float
        Time until which they count although the store lacks them: the operator
        may write them again.
    unrequested_at : dict of str to float
        Last time at which each evacuated data centre was known not to be
        evacuated, in monotonic seconds. The operator's request is later.
    """

    read: EvacuationsRead | None = None
    kept: frozenset = frozenset()
    kept_until: float = float("-inf")
    unrequested_at: dict = attrs.field(factory=dict)

    @property
    def data_centres(self):
        """Evacuated data centres."""
        return frozenset(self.unrequested_at)

    @property
    def as_of(self):
        """Time of the latest read; negative infinity before the first one."""
        return float("-inf") if self.read is None else self.read.as_of

    def apply(self, read, now):
        """Apply a read, unless it is older than the latest one.

        Parameters
        ----------
        read : EvacuationsRead
            What the store or another instance returned.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            Whether the evacuated data centres have changed.

        Notes
        -----
        Reads of several instances arrive in any order. One of an older revision
        shows an evacuation that was taken back since, or lacks a new one.
        """
        known = self.read
        if known is not None:
            if (read.era, read.revision) < (known.era, known.revision):
                return False
            if read.era > known.era:
                self.kept = self.data_centres
                self.kept_until = now + _restored.REWRITE_TIMEOUT_S
            read = attrs.evolve(read, as_of=max(read.as_of, known.as_of))
        # An earlier read does not show what the operator has written since.
        if read.as_of >= self.kept_until:
            self.kept = frozenset()
        evacuated = read.data_centres | self.kept
        unrequested_at = {
            name: self.unrequested_at.get(name, self.as_of) for name in evacuated
        }
        changed = unrequested_at.keys() != self.unrequested_at.keys()
        self.unrequested_at = unrequested_at
        self.read = read
        return changed

    def learn(self, data_centres, now):
        """Add evacuations that the store lacks since its return from an older copy.

        Parameters
        ----------
        data_centres : frozenset of str
            Evacuated data centres, as another instance knows them.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            Whether the evacuated data centres have changed.
        """
        added = data_centres - self.data_centres
        if not added:
            return False
        self.kept |= added
        self.kept_until = now + _restored.REWRITE_TIMEOUT_S
        self.unrequested_at.update(dict.fromkeys(added, float("-inf")))
        return True

    def deadlines(self, evacuation_s):
        """Return the time from which nothing is sent, by evacuated data centre.

        Parameters
        ----------
        evacuation_s : float
            Time limit of an evacuation, counted from the operator's request.

        Returns
        -------
        dict of str to float
            Monotonic seconds; negative infinity if the request may be old.
        """
        return {
            name: at + USE_FRACTION * evacuation_s
            for name, at in self.unrequested_at.items()
        }
