"""Violations that the checkers report."""

import attrs


@attrs.frozen
class Violation:
    """A guarantee that a history violates.

    Attributes
    ----------
    guarantee : str
        Name of the checker.
    text : str
        Observation that violates it.
    """

    guarantee: str
    text: str
