"""Strict reader of JSON that others have written.

The messages of its errors name types and numbers, but never hold a text of the
document: that may be a key.
"""

import json
import math
import re

MAX_DEPTH = 32  # rows and manifests of the platform are nested 4 deep
MAX_SHOWN_NUMBER = 1 << 64
_STRING = re.compile(r'"(?:[^"\\]|\\.)*"?', re.DOTALL)
_BRACKET = re.compile(r"[\[\]{}]")


def parse_object(text):
    """Return a JSON object whose numbers are finite and whose strings can be encoded.

    Parameters
    ----------
    text : bytes or str
        The JSON document.

    Returns
    -------
    dict
        The object.

    Raises
    ------
    ValueError
        If the text is something else, or is nested more than `MAX_DEPTH` deep.
    """
    if isinstance(text, bytes):
        text = text.decode(json.detect_encoding(text))
    if type(text) is not str:
        raise ValueError(f"expected a text, got {describe(text)}")
    _check_depth(text)
    value = require_object(_DECODER.decode(text))
    if "\\u" in text:
        json.dumps(value, ensure_ascii=False).encode()  # fails for single surrogates
    return value


def read(fields, name, require, *arguments):
    """Return a field of an object as a function checks it.

    Parameters
    ----------
    fields : dict
        The object.
    name : str
        Name of the field.
    require : callable
        Called with the value and `arguments`; returns the value to use, or
        raises ValueError.
    *arguments : object
        Further arguments of `require`.

    Raises
    ------
    ValueError
        If the field is missing or invalid; the message names it.
    """
    if name not in fields:
        raise ValueError(f"required field {name!r} is missing")
    try:
        return require(fields[name], *arguments)
    except ValueError as error:
        raise ValueError(f"{name}: {error}") from error


def require_integer(value, maximum, minimum=0):
    """Return a value that must be an integer within bounds; raises ValueError."""
    if type(value) is not int or not minimum <= value <= maximum:
        raise ValueError(
            f"expected an integer from {minimum} to {maximum}, got {describe(value)}"
        )
    return value


def require_number(value, maximum):
    """Return a value that must be a number from 0 to a maximum; raises ValueError."""
    if type(value) not in (int, float) or not 0 <= value <= maximum:
        raise ValueError(
            f"expected a number from 0 to {maximum}, got {describe(value)}"
        )
    return value


def require_list(value):
    """Return a list; raises ValueError for any other value."""
    if type(value) is not list:
        raise ValueError(f"expected a list, got {describe(value)}")
    return value


def require_object(value):
    """Return an object; raises ValueError for any other value."""
    if type(value) is not dict:
        raise ValueError(f"expected an object, got {describe(value)}")
    return value


def require_boolean(value):
    """Return a value that must be true or false; raises ValueError."""
    if type(value) is not bool:
        raise ValueError(f"expected true or false, got {describe(value)}")
    return value


def require_text(value):
    """Return a value that must be a string with content; raises ValueError."""
    if type(value) is not str or not value:
        raise ValueError(f"expected a string with content, got {describe(value)}")
    return value


def require_name(value):
    """Return a value that must be a string of printable characters."""
    if not require_text(value).isprintable():
        raise ValueError("expected a string of printable characters")
    return value


def require_token(value):
    """Return a value that must be a string of printable characters without spaces."""
    if " " in require_name(value):
        raise ValueError("expected a string without spaces")
    return value


def require_choice(value, choices):
    """Return what a dict holds for a value that must be one of its strings."""
    if type(value) is not str or value not in choices:
        raise ValueError(f"expected one of {', '.join(choices)}, got another value")
    return choices[value]


def describe(value):
    """Return a description of a JSON value that holds no text of it."""
    if type(value) is str:
        return "a string" if value else "an empty string"
    is_number = type(value) in (int, float)
    if value is None or type(value) is bool or (is_number and _is_short(value)):
        return json.dumps(value)
    return "a large number" if is_number else f"a {type(value).__name__}"


def _is_short(number):
    return -MAX_SHOWN_NUMBER <= number <= MAX_SHOWN_NUMBER


def _check_depth(text):
    """Raise ValueError for a text that is nested more than `MAX_DEPTH` deep.

    Notes
    -----
    How deep the decoder and the encoder of `json` get depends on the stack of
    their caller, so that the same document would be valid in one place and not
    in another.
    """
    if text.count("[") + text.count("{") <= MAX_DEPTH:
        return
    depth = 0
    for bracket in _BRACKET.findall(_STRING.sub("", text)):
        depth += 1 if bracket in "[{" else -1
        if depth > MAX_DEPTH:
            raise ValueError(f"nested more than {MAX_DEPTH} deep")


def _parse_finite(text):
    number = float(text)
    if not math.isfinite(number):
        raise ValueError("number out of range")
    return number


def _reject(name):
    raise ValueError(f"not a JSON number: {name}")


_DECODER = json.JSONDecoder(parse_float=_parse_finite, parse_constant=_reject)
