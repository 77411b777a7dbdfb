"""A takeover as the store records it."""

import attrs

ABANDONED_S = 4.0  # a takeover takes 3.5 s at most; its holder is gone after that


@attrs.frozen
class Takeover:
    """The last replacement of a service's primary.

    Attributes
    ----------
    service : str
        Database service.
    holder : str
        Instance, and its incarnation, that carries it out.
    successor : str
        Member that leads once it is done; empty before.
    fence : int
        Version of the row that began it; grows from one to the next.
    row_version : int
        Version of the row as it is now.
    """

    service: str
    holder: str
    successor: str
    fence: int
    row_version: int

    @property
    def is_done(self):
        """Whether a member was promoted, or the takeover was given up."""
        return not self.holder

    @property
    def is_held(self):
        """Whether nothing may be sent to the old primary."""
        return bool(self.holder)


def may_start(takeover, holder, holders, seen_for_s):
    """Return whether an instance may begin a takeover.

    Parameters
    ----------
    takeover : Takeover or None
        The last one of the service.
    holder : str
        Instance, and its incarnation, that wants to.
    holders : set of str
        Registered instances, each with its incarnation.
    seen_for_s : float
        How long the row has been seen unchanged.
    """
    if takeover is None or takeover.is_done or takeover.holder == holder:
        return True
    return takeover.holder not in holders or seen_for_s > ABANDONED_S
