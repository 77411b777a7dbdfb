"""The record of a takeover in the store."""

import enum
import re

import attrs

from pomelograde.core.sessions import _bookmark

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


class Step(enum.Enum):
    """How to go on with a takeover that has a candidate."""

    CHOOSE = "choose"  # another member
    PROMOTE = "promote"  # the candidate, once more
    END = "end"  # the candidate leads


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
        be; 0 if it was not seen to lead.
    candidate : str
        Member whose promotion has been decided on; empty if none is. The platform
        may have been asked for it, and it may have taken effect.
    log_term, log_index : int
        Log position that the candidate had received when it was chosen, or the
        successor if there is no candidate; 0 if it is unknown.

    Notes
    -----
    Instances compare their takeovers by a digest of the texts, which therefore
    have only the fields that earlier builds know.
    """

    service: str
    holder: str
    successor: str
    fence: int
    row_version: int
    term: int = attrs.field(default=0, repr=False)
    candidate: str = attrs.field(default="", repr=False)
    log_term: int = attrs.field(default=0, repr=False)
    log_index: int = attrs.field(default=0, repr=False)

    @property
    def is_done(self):
        """Whether the takeover has ended, with or without a promotion."""
        return not self.holder

    @property
    def blocks_primary(self):
        """Whether new statements to the old primary are held back."""
        return bool(self.holder)

    @property
    def log_position(self):
        """Position of `log_term` and `log_index`; None if it is unknown."""
        if not self.log_term:
            return None
        return _bookmark.Position(self.log_term, self.log_index)


def make_choice(takeover, candidate):
    """Return a takeover in progress with the Candidate that is to be promoted."""
    position = candidate.position
    return attrs.evolve(
        takeover,
        candidate=candidate.name,
        log_term=position.term,
        log_index=position.index,
    )


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
    return attrs.evolve(
        takeover, successor=successor, candidate="", term=max(1, lowest)
    )


def find_step(takeover, led_term, position):
    """Return how to go on with a takeover that has a candidate.

    Parameters
    ----------
    takeover : Takeover
        The takeover, whose candidate may have been promoted already.
    led_term : int
        Term that the candidate leads; 0 if it doesn't, or doesn't answer.
    position : Position or None
        Last log position that it has received; None if it doesn't answer.

    Returns
    -------
    Step
        How to go on.

    Notes
    -----
    The promotion may have taken effect although nobody saw its answer. The
    candidate may then have committed, so another member may be chosen only once
    the platform has refused to promote it.
    """
    if led_term >= make_promotion(takeover, takeover.candidate).term:
        return Step.END
    known = takeover.log_position
    has_lost_log = None not in (position, known) and position < known
    return Step.CHOOSE if has_lost_log else Step.PROMOTE


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
