"""Finds the lines of a JSON document's values."""

import json
import json.scanner
import re

_SPACE = re.compile(r"[ \t\n\r]*")
_SCALAR = json.scanner.py_make_scanner(json.JSONDecoder())


def find_lines(text):
    """Return the line of each value, by its path as in ``$.routes[2].host``.

    Parameters
    ----------
    text : str
        JSON document.

    Returns
    -------
    dict of str to int
        Lines from 1 on; only those up to the first fault of the document.
    """
    lines = {}
    try:
        _scan(text, _skip(text, 0), "$", lines)
    except (ValueError, IndexError, StopIteration, RecursionError):
        return lines  # The document itself is refused elsewhere.
    return lines


def _skip(text, position):
    return _SPACE.match(text, position).end()


def _scan(text, position, path, lines):
    """Record the line of a value and of all within it; returns its end."""
    lines[path] = text.count("\n", 0, position) + 1
    if text[position] not in "{[":
        _, end = _SCALAR(text, position)
        return end
    closing = "}" if text[position] == "{" else "]"
    index = 0
    position = _skip(text, position + 1)
    while text[position] != closing:
        part = f"[{index}]"
        if closing == "}":
            name, position = _SCALAR(text, position)
            part = f".{name}"
            position = _skip(text, position)
            _expect(text, position, ":")
            position = _skip(text, position + 1)
        position = _skip(text, _scan(text, position, path + part, lines))
        index += 1
        if text[position] != closing:
            _expect(text, position, ",")
            position = _skip(text, position + 1)
    return position + 1


def _expect(text, position, character):
    if text[position] != character:
        raise ValueError(f"expected {character!r}, got {text[position]!r}")
