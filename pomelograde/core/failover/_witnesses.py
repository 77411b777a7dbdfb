"""What the answers of witnesses amount to."""

import attrs


@attrs.frozen
class WitnessReport:
    """A witness's answer.

    Attributes
    ----------
    data_centre : str
        Data centre of the witness.
    reachable : bool
        Whether it reaches the member.
    """

    data_centre: str
    reachable: bool


def combine_witness_reports(member_data_centre, answers):
    """Return whether a member is to be taken as alive.

    Parameters
    ----------
    member_data_centre : str
        Data centre of the member.
    answers : list of Testimony or None
        None for a witness that could not be asked.

    Returns
    -------
    bool
        Witnesses outside the member's data centre count first: a member that
        only its own data centre reaches can't serve the others. Without any
        answer the suspicion stands.
    """
    heard = [answer for answer in answers if answer is not None]
    outside = [found for found in heard if found.data_centre != member_data_centre]
    return any(found.reachable for found in outside or heard)
