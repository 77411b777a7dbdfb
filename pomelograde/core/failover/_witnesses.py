"""Combines the reports of witnesses on the reachability of a member."""

import attrs


@attrs.frozen
class WitnessReport:
    """Report of one witness.

    Attributes
    ----------
    data_centre : str
        Data centre of the witness.
    reachable : bool
        Whether the witness reaches the member.
    """

    data_centre: str
    reachable: bool


def combine_witness_reports(member_data_centre, reports):
    """Return whether a member counts as reachable.

    Parameters
    ----------
    member_data_centre : str
        Data centre of the member.
    reports : list of WitnessReport or None
        One entry per witness; None for one that did not answer.

    Returns
    -------
    bool
        Reports from outside the member's data centre take precedence: a member
        that only its own data centre reaches can't serve the others. Without
        any report the member counts as unreachable.
    """
    received = [report for report in reports if report is not None]
    remote = [report for report in received if report.data_centre != member_data_centre]
    return any(report.reachable for report in remote or received)
