"""Decodes rows of the store's tables one by one.

All tables have other writers: another build of this program, the members, the
operator, or someone else. An invalid row costs that row only.
"""

import attrs


@attrs.frozen
class InvalidRow:
    """A row that was skipped.

    Attributes
    ----------
    key : str
        Key of the row; empty if that can't be read.
    version : int
        Version of the row; 0 if that can't be read.
    reason : str
        Why it is invalid, without any text of its content.
    """

    key: str
    version: int
    reason: str


def decode(row, decoder):
    """Decode one row.

    Parameters
    ----------
    row : Row or InvalidRow
        The row.
    decoder : callable
        Called with a Row; returns its content, or raises an exception.

    Returns
    -------
    object or InvalidRow
        The content.

    Notes
    -----
    Whatever a row holds must not end the reading of the others, so exceptions
    that the decoder doesn't foresee count as well.
    """
    if isinstance(row, InvalidRow):
        return row
    try:
        return decoder(row)
    except ValueError as error:
        return InvalidRow(row.key, row.version, str(error))
    except Exception as error:
        return InvalidRow(row.key, row.version, type(error).__name__)


def select_valid(decoded):
    """Split decoded rows into the contents and the invalid rows."""
    contents = []
    invalid = []
    for entry in decoded:
        (invalid if isinstance(entry, InvalidRow) else contents).append(entry)
    return contents, invalid
