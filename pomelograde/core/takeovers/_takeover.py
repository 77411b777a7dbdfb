"""The record of a takeover in the store."""

import re

import attrs

# Latest time for a promotion after the start of a takeover. The leases on the old
# primary expire within 3.2 s (`PRIMARY_LEASE_S` and a margin of 0.2 s), and members
# answer within 1 s.
PROMOTE_DEADLINE_S = 4.9
# Time after which another instance may start a takeover: the latest promotion
# plus the time limit of the call that requests it.
HOLDER_TIMEOUT_S = 6.0
PLANNED_GRACE_S = 0.8  # lets operations at a working primary finish
# Time for which no takeover starts after the store has returned from an older
# copy. An instance whose registration was lost may hold a primary lease until
# then, and one whose takeover was lost may have promoted a member.
RESTORE_SETTLE_TIME_S = 3.2
_INCARNATION = re.compile("[0-9]{1,19}")


@attrs.frozen
class Takeover:
    """The last takeover of a service, in progress or ended.

    Attributes
    ----------
    service : str
        Database service.
    holder : str
        Instance that performs the takeover, as ``name/incarnation``; empty
        once it has ended.
    successor : str
        Member that was promoted last, which is the primary after the takeover;
        empty if none is known. While it is in progress, that of the one before.
    fence : int
        Fencing token: revision of the row that started the takeover. It
        increases with each takeover.
    row_version : int
        Current revision of the row. It increases with each write, also if the
        store has returned from an older copy meanwhile.
    term : int
        Term in which the successor was seen to lead, or the lowest one that it can
        be; 0 if it was not seen to lead. Takeovers are compared by a digest of
        their texts, which has only the fields that earlier builds know.
    """

    service: str
    holder: str
    successor: str
    fence: int
    row_version: int
    term: int = attrs.field(default=0, repr=False)

    @property
    def is_done(self):
        """Whether the takeover has ended, with or without a promotion."""
        return not self.holder

    @property
    def blocks_primary(self):
        """Whether new statements to the old primary are held back."""
        return bool(self.holder)


def make_promotion(takeover, successor):
    """Return a takeover with a successor, and the lowest term that it can lead.

    Parameters
    ----------
    takeover : Takeover
        Takeover in progress.
    successor : str
        Member whose promotion the platform has accepted.

    Notes
    -----
    Each promotion begins a term, except that of a member that leads already.
    """
    lowest = takeover.term if successor == takeover.successor else takeover.term + 1
    return attrs.evolve(takeover, successor=successor, term=max(1, lowest))


def may_start(takeover, holder, incarnations, unchanged_for_s, era_age_s=float("inf")):
    """Return whether an instance may start a takeover.

    Parameters
    ----------
    takeover : Takeover or None
        Last takeover of the service.
    holder : str
        Instance that wants to start one, as ``name/incarnation``.
    incarnations : dict of str to int
        Incarnation of each registered instance, by name.
    unchanged_for_s : float
        Time since this instance first saw the current version of the row.
    era_age_s : float
        Time since this instance first saw the store's era, which rises when the
        store returns from an older copy; infinite for a store without eras.

    Notes
    -----
    If the current holder is registered with a later incarnation, its process
    has been replaced and its takeover can be superseded at once. A holder that
    is not registered may still be running and about to promote a member, so
    its timeout applies; likewise to one whose text names no process.
    """
    if era_age_s < RESTORE_SETTLE_TIME_S:
        return False
    if takeover is None or takeover.is_done or takeover.holder == holder:
        return True
    name, _, incarnation = takeover.holder.rpartition("/")
    is_valid = _INCARNATION.fullmatch(incarnation) is not None
    if is_valid and incarnations.get(name, 0) > int(incarnation):
        return True
    return unchanged_for_s > HOLDER_TIMEOUT_S
