"""Parsing of JSON objects that hold a list whose items others have written.

An item that can't be parsed, since it is nested too deeply or isn't JSON, would
make the whole text unreadable. Such a text is divided into its items, and each is
parsed by itself.
"""

import json
import math
import re

import attrs
import result

MAX_DEPTH = 32  # of a value; the configuration needs 6
INTEGER_LIMIT = 2**63  # what a BIGINT column and the messages can hold
_LIST_DEPTH = 2  # of the list in the text: within one object

_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},]', re.DOTALL)


@attrs.frozen
class Unparsable:
    """Stands for an item that can't be parsed.

    Attributes
    ----------
    reason : str
        What is wrong with it.
    """

    reason: str


def loads(text):
    """Parse a JSON text, with `Unparsable` for items that can't be parsed.

    Parameters
    ----------
    text : bytes
        A JSON value. Items are those of a list that an object at the top holds.

    Returns
    -------
    Result of object or str
        The value, or why nothing can be read.
    """
    parsed = _parse(text)
    if parsed.is_ok():
        return parsed
    divided = _divide(text)
    if divided is None:
        return parsed
    frame, items = divided
    frame = _parse(frame)
    if frame.is_err() or not isinstance(frame.ok_value, dict):
        return parsed
    values = [_parse_item(item) for item in items]
    return result.Ok(
        {
            name: values if found == [] else found
            for name, found in frame.ok_value.items()
        }
    )


def find_fault(value):
    """Return what keeps a parsed JSON value from being used, or None.

    Notes
    -----
    Such values are nested too deeply to be copied or encoded again, hold numbers
    out of the range of 64 bits, or text that isn't Unicode.
    """
    level = [value]
    for _ in range(MAX_DEPTH):
        below = []
        for found in level:
            fault = _find_scalar_fault(found)
            if fault is not None:
                return fault
            if isinstance(found, dict):
                below.extend(found)
                below.extend(found.values())
            elif isinstance(found, list):
                below.extend(found)
        level = below
    return f"is nested more than {MAX_DEPTH} deep" if level else None


def _find_scalar_fault(value):
    if isinstance(value, float) and not math.isfinite(value):
        return "holds a number that is not finite"
    if isinstance(value, int) and not -INTEGER_LIMIT <= value < INTEGER_LIMIT:
        return "holds a number out of range"
    if isinstance(value, str):
        try:
            value.encode("utf-8")
        except UnicodeEncodeError:
            return "holds a single surrogate"
    return None


def _parse(text):
    try:
        return result.Ok(json.loads(text))
    except RecursionError:
        return result.Err("is nested too deeply")
    except UnicodeDecodeError:
        return result.Err("is not UTF-8")
    except ValueError:
        return result.Err("is not JSON")


def _parse_item(item):
    parsed = _parse(item)
    return parsed.ok_value if parsed.is_ok() else Unparsable(parsed.err_value)


def _divide(text):
    """Return the text without the items of its list, and the items."""
    depth = 0
    items = []
    start = None
    for token in _TOKEN.finditer(text):
        kind = token[0][:1]
        if kind in b"[{":
            depth += 1
            if depth == _LIST_DEPTH and kind == b"[":
                if start is not None or items:
                    return None
                list_start = start = token.end()
        elif kind in b"]}":
            if depth == _LIST_DEPTH and kind == b"]" and start is not None:
                items.append(text[start : token.start()])
                list_end, start = token.start(), None
            depth -= 1
        elif kind == b"," and depth == _LIST_DEPTH and start is not None:
            items.append(text[start : token.start()])
            start = token.end()
    if start is not None or not items:
        return None
    return text[:list_start] + text[list_end:], items
