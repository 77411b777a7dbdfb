"""What a review reports."""

import enum

import attrs


class Severity(enum.Enum):
    """How severe a finding is.

    Attributes
    ----------
    ERROR
        The configuration is refused, or a part of it cannot work.
    WARNING
        A part of it has no effect, or probably not the intended one.
    """

    ERROR = "error"
    WARNING = "warning"


@attrs.frozen
class Finding:
    """One fault of a configuration.

    Attributes
    ----------
    severity : Severity
        How severe it is.
    path : str
        Place in the document, as in ``$.routes[2].host``.
    message : str
        What is wrong.
    """

    severity: Severity
    path: str
    message: str


@attrs.frozen
class Change:
    """One difference between a configuration and the one in force.

    Attributes
    ----------
    subject : str
        Kind and name of the entry, as in ``account desk``.
    message : str
        What differs.
    effect : str
        What callers notice; empty if nothing.
    """

    subject: str
    message: str
    effect: str = ""


@attrs.frozen
class Entry:
    """One entry of a document.

    Attributes
    ----------
    path : str
        Its place in the document.
    value : object
        The decoded entry.
    """

    path: str
    value: object


def error(path, message):
    """Return a Finding that is an error."""
    return Finding(Severity.ERROR, path, message)


def warning(path, message):
    """Return a Finding that is a warning."""
    return Finding(Severity.WARNING, path, message)
