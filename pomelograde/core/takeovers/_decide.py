"""Decisions on replacing a primary."""

import enum

import attrs

ABSENT_S = 0.5  # between the rows of a member that restarts
STORE_SETTLED_S = 2.5  # members that live are back in the store 2 s after an outage
SILENT_S = 1.0  # two questions in a row without an answer


class Reason(enum.Enum):
    """Why a primary is replaced."""

    LEAVING = "leaving"
    ABSENT = "absent"
    SILENT = "silent"


@attrs.frozen
class PrimaryHealth:
    """What an instance knows of a service's primary.

    Attributes
    ----------
    primary : str or None
        Registered primary.
    is_leaving : bool
        Whether it has announced that it stops.
    member_count : int
        Registered members.
    absent_for_s : float
        How long no primary has been registered.
    silent_for_s : float
        Time since it last answered this instance.
    store_available_for_s : float
        How long the store has answered without a gap.
    """

    primary: str | None
    is_leaving: bool
    member_count: int
    absent_for_s: float
    silent_for_s: float
    store_available_for_s: float


@attrs.frozen
class Candidate:
    """A replica that may lead.

    Attributes
    ----------
    name : str
        Its name.
    position : Position
        Up to where it has received the log.
    is_leaving : bool
        Whether it has announced that it stops.
    same_data_centre : bool
        Whether it is in the data centre of the old primary.
    """

    name: str
    position: object
    is_leaving: bool = False
    same_data_centre: bool = False


def find_reason(evidence):
    """Return why a primary should be replaced, or None.

    Notes
    -----
    A silent primary is only suspected: whoever acts on it asks it once more,
    and asks instances elsewhere as well.
    """
    if evidence.member_count == 0 or evidence.store_available_for_s <= 0.0:
        return None
    if evidence.primary is None:
        settled = evidence.store_available_for_s >= STORE_SETTLED_S
        return Reason.ABSENT if settled and evidence.absent_for_s >= ABSENT_S else None
    if evidence.is_leaving:
        return Reason.LEAVING
    if evidence.silent_for_s >= SILENT_S:
        return Reason.SILENT
    return None


def choose_successor(candidates):
    """Return the candidate that should lead, or None.

    Notes
    -----
    What a candidate has not received is lost, so the position decides. Of
    equal ones a member that stays is taken, and one that is near the old one.
    """
    return max(
        candidates,
        key=lambda found: (
            found.position,
            not found.is_leaving,
            found.same_data_centre,
            found.name,
        ),
        default=None,
    )
