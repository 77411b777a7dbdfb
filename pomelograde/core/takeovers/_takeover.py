"""A takeover as the store records it."""

import attrs

PROMOTE_DEADLINE_S = (
    4.4  # of the beginning; rights end within 2.7 s, members answer in 1
)
HOLDER_TIMEOUT_S = 5.5  # the last moment to promote, and the time limit of the call


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


def may_start(takeover, holder, incarnations, unchanged_for_s):
    """Return whether an instance may begin a takeover.

    Parameters
    ----------
    takeover : Takeover or None
        The last one of the service.
    holder : str
        Instance, and its incarnation, that wants to.
    incarnations : dict of str to int
        Incarnation of each registered instance.
    unchanged_for_s : float
        How long the row has been seen unchanged.

    Notes
    -----
    A holder whose name has a later incarnation is another process by now. One
    that is not registered may well be alive, and about to promote.
    """
    if takeover is None or takeover.is_done or takeover.holder == holder:
        return True
    name, _, incarnation = takeover.holder.rpartition("/")
    if incarnations.get(name, 0) > int(incarnation):
        return True
    return unchanged_for_s > HOLDER_TIMEOUT_S
