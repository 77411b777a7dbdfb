"""Session settings under the prefix `pomelograde.`, handled by the proxy."""

import attrs
import result

from pomelograde.core import sessions

PREFIX = "pomelograde."
SESSION = "pomelograde.session"
MAX_STALENESS = "pomelograde.max_staleness"
IDEMPOTENCY_KEY = "pomelograde.idempotency_key"
DEADLINE = "pomelograde.deadline"
MAX_IDEMPOTENCY_KEY = 200  # characters

_UNITS_S = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "min": 60.0}


@attrs.define
class ProxySettings:
    """Proxy settings of one session.

    Attributes
    ----------
    max_staleness_s : float
        Maximum staleness of reads; 0 if reads need only be consistent with
        the session.
    idempotency_key : str
        Idempotency key of the next write; empty for none.
    deadline_s : float
        Time limit of each statement; 0 for the limit of the service.
    """

    max_staleness_s: float = 0.0
    idempotency_key: str = ""
    deadline_s: float = 0.0

    def set(self, name, value):
        """Set a setting from its text.

        Parameters
        ----------
        name : str
            Name including the prefix.
        value : str
            Text of the value.

        Returns
        -------
        Result of Bookmark or None, or str
            The bookmark if the name is `pomelograde.session`, else None.
        """
        if name == SESSION:
            return sessions.decode_token(value)
        if name == IDEMPOTENCY_KEY:
            if len(value) > MAX_IDEMPOTENCY_KEY:
                return result.Err(f"{name} is longer than {MAX_IDEMPOTENCY_KEY}")
            self.idempotency_key = value
            return result.Ok(None)
        if name not in (MAX_STALENESS, DEADLINE):
            return result.Err(f"unknown setting {name}")
        seconds = read_duration(value)
        if seconds is None:
            return result.Err(f"{name} is not a duration such as 500ms: {value!r}")
        if name == MAX_STALENESS:
            self.max_staleness_s = seconds
        else:
            self.deadline_s = seconds
        return result.Ok(None)

    def show(self, name, token):
        """Return the text of a setting, or None for an unknown name."""
        values = {
            SESSION: token,
            MAX_STALENESS: f"{self.max_staleness_s * 1000:g}ms",
            IDEMPOTENCY_KEY: self.idempotency_key,
            DEADLINE: f"{self.deadline_s * 1000:g}ms",
        }
        return values.get(name)


def read_duration(text):
    """Return a duration such as ``500ms`` in seconds, or None if it is invalid.

    Notes
    -----
    A number without a unit is in milliseconds, as in PostgreSQL.
    """
    text = text.strip()
    number = text.rstrip("abcdefghijklmnopqrstuvwxyz").strip()
    unit = text[len(number) :].strip() or "ms"
    try:
        value = float(number)
    except ValueError:
        return None
    if unit not in _UNITS_S or not 0.0 <= value < 1e9:
        return None
    return value * _UNITS_S[unit]


def read_options(text):
    """Return the settings in the `options` parameter of a start-up message.

    Parameters
    ----------
    text : str
        Command-line options such as ``-c name=value -cname=value``; a
        backslash escapes a space.

    Returns
    -------
    dict of str to str
        Setting values by name.
    """
    words = _split_options(text)
    values = {}
    index = 0
    while index < len(words):
        word = words[index]
        if word == "-c" and index + 1 < len(words):
            index += 1
            word = "-c" + words[index]
        if word.startswith("--"):
            word = "-c" + word[2:]
        if word.startswith("-c") and "=" in word:
            name, _, value = word[2:].partition("=")
            values[name] = value
        index += 1
    return values


def _split_options(text):
    words = [""]
    escaped = False
    for character in text:
        if escaped:
            words[-1] += character
            escaped = False
        elif character == "\\":
            escaped = True
        elif character.isspace():
            words.append("")
        else:
            words[-1] += character
    return [word for word in words if word]
