"""What a check reports."""

import attrs


@attrs.frozen
class Violation:
    """A promise that a history breaks.

    Attributes
    ----------
    promise : str
        Which one.
    text : str
        What was seen.
    """

    promise: str
    text: str
