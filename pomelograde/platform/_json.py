"""Strict reader of JSON that others have written."""

import json
import math


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
        If the text is something else, or is nested too deeply.
    """
    if isinstance(text, bytes):
        text = text.decode(json.detect_encoding(text))
    try:
        value = _DECODER.decode(text)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error
    if type(value) is not dict:
        raise ValueError(f"expected an object, got {type(value).__name__}")
    if "\\u" in text:
        json.dumps(value, ensure_ascii=False).encode()  # fails for single surrogates
    return value


def require_integer(value, maximum):
    """Return a value that must be an integer from 0 on; raises ValueError."""
    if type(value) is not int or not 0 <= value <= maximum:
        raise ValueError(f"expected an integer from 0 to {maximum}, got {value!r}")
    return value


def require_text(value):
    """Return a value that must be a string with content; raises ValueError."""
    if type(value) is not str or not value:
        raise ValueError(f"expected a string with content, got {value!r}")
    return value


def _parse_finite(text):
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f"number out of range: {text[:40]}")
    return number


def _reject(name):
    raise ValueError(f"not a JSON number: {name}")


_DECODER = json.JSONDecoder(parse_float=_parse_finite, parse_constant=_reject)
