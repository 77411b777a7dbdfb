"""Checked conversion of JSON values to attrs classes."""

import attrs
import cattrs
import cattrs.gen
import result

CONVERTER = cattrs.Converter(forbid_extra_keys=True)


def _strict(expected, name):
    def structure(value, _):
        if isinstance(value, bool) and expected is not bool:
            raise ValueError(f"expected {name}, got a boolean")
        if expected is float and isinstance(value, int):
            return float(value)
        if not isinstance(value, expected):
            raise ValueError(f"expected {name}, got {value!r}")
        return value

    return structure


CONVERTER.register_structure_hook(bool, _strict(bool, "true or false"))
CONVERTER.register_structure_hook(int, _strict(int, "a whole number"))
CONVERTER.register_structure_hook(float, _strict(float, "a number"))
CONVERTER.register_structure_hook(str, _strict(str, "a string"))


def structure(value, cls):
    """Convert a JSON value to an attrs class.

    Parameters
    ----------
    value : object
        Value as `json.loads` gives it.
    cls : type
        Class to convert to.

    Returns
    -------
    Result of cls or list of str
        The object, or one message for each fault, each naming its field.
    """
    if not isinstance(value, dict):
        return result.Err(["$: expected an object"])
    try:
        return result.Ok(CONVERTER.structure(value, cls))
    except (cattrs.BaseValidationError, ValueError, TypeError) as error:
        return result.Err(cattrs.transform_error(error, format_exception=_describe))


def unstructure(value):
    """Convert an attrs object to a JSON value."""
    return CONVERTER.unstructure(value)


def _describe(error, expected):
    if isinstance(error, KeyError):
        return "required field is missing"
    if isinstance(error, cattrs.errors.ForbiddenExtraKeysError):
        allowed = ", ".join(sorted(field.name for field in attrs.fields(error.cl)))
        unknown = ", ".join(sorted(error.extra_fields))
        return f"unknown field {unknown}; allowed: {allowed}"
    return str(error)


def positive(instance, attribute, value):
    """Check that a number is above 0."""
    if not value > 0:
        raise ValueError(f"must be above 0, got {value!r}")


def not_negative(instance, attribute, value):
    """Check that a number is not below 0."""
    if value < 0:
        raise ValueError(f"must not be below 0, got {value!r}")


def port(instance, attribute, value):
    """Check that a number is a TCP port, 0 for one that the kernel picks."""
    if not 0 <= value <= 65535:
        raise ValueError(f"must be a port from 0 to 65535, got {value!r}")


def one_of(*allowed):
    """Return a check that a value is one of `allowed`."""

    def check(instance, attribute, value):
        if value not in allowed:
            names = ", ".join(repr(choice) for choice in allowed)
            raise ValueError(f"must be one of {names}, got {value!r}")

    return check


def not_empty(instance, attribute, value):
    """Check that a string or list is not empty."""
    if not value:
        raise ValueError("must not be empty")
