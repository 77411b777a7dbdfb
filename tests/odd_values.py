"""Values of other writers that readers must expect, and strategies for them."""

import math

from hypothesis import strategies as st

DEPTH = 3000  # more than Python's stack holds


def nest(depth=DEPTH):
    """Return a list in a list, and so on."""
    value = []
    for _ in range(depth):
        value = [value]
    return value


ODD = (
    None,
    True,
    False,
    0,
    -1,
    70_000,
    2**63,
    2**64,
    -(2**63) - 1,
    10**400,
    -(10**400),
    1e308,
    -0.5,
    math.nan,
    math.inf,
    -math.inf,
    "",
    "0",
    "a\nb",
    "a/b",
    "a\x00",
    "\ud800",
    "\U0001f600",
    "x" * 5000,
    [],
    [[]],
    {},
    {"a": 1},
    [1, "a"],
    nest(200),
)


def odd():
    """Return a strategy of odd values."""
    return st.sampled_from(ODD) | st.text(max_size=5) | st.integers() | st.floats()


@st.composite
def mutations(draw, value, depth=0):
    """Draw a JSON value that differs from `value` in some places."""
    if depth and draw(st.integers(0, 5)) == 0 or draw(st.integers(0, 40)) == 0:
        return draw(odd())
    if isinstance(value, dict):
        changed = {
            key: draw(mutations(found, depth + 1))
            for key, found in value.items()
            if draw(st.integers(0, 12))
        }
        if draw(st.integers(0, 12)) == 0:
            changed[draw(st.text(max_size=4))] = draw(odd())
        return changed
    if isinstance(value, list):
        return [draw(mutations(found, depth + 1)) for found in value]
    return value
