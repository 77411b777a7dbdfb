"""Validated conversion of JSON values to attrs classes."""

import ipaddress
import math
import re
import typing

import attrs
import cattrs
import cattrs.gen
import result

INTEGER_LIMIT = 2**63  # what a BIGINT column and the messages can hold
CONVERTER = cattrs.Converter(forbid_extra_keys=True)
TYPE_NAMES = {
    bool: "a boolean",
    int: "a whole number",
    float: "a number",
    str: "a string",
    list: "a list",
    dict: "an object",
    type(None): "null",
}


def _strict_hook(expected, name):
    def structure(value, _):
        if type(value) is int and expected in (int, float):
            if not -INTEGER_LIMIT <= value < INTEGER_LIMIT:
                raise ValueError(f"expected {name}, got one that is out of range")
            return expected(value)
        if type(value) is not expected:
            raise ValueError(f"expected {name}, got {TYPE_NAMES[type(value)]}")
        if expected is float and not math.isfinite(value):
            raise ValueError(f"expected {name}, got one that is not finite")
        if expected is str and not _is_encodable(value):
            raise ValueError(f"expected {name}, got one with a single surrogate")
        return value

    return structure


CONVERTER.register_structure_hook(bool, _strict_hook(bool, "true or false"))
CONVERTER.register_structure_hook(int, _strict_hook(int, "a whole number"))
CONVERTER.register_structure_hook(float, _strict_hook(float, "a number"))
CONVERTER.register_structure_hook(str, _strict_hook(str, "a string"))


def structure(value, cls):
    """Convert a JSON value to an attrs class.

    Parameters
    ----------
    value : object
        Value as `json.loads` gives it.
    cls : type
        attrs class to convert to.

    Returns
    -------
    Result of cls or list of str
        The object, or the error messages; each ends in the path of its field.

    Notes
    -----
    Types and values are checked in separate passes, so that errors of both
    kinds are reported together.
    """
    if not isinstance(value, dict):
        return result.Err(["expected an object @ $"])
    with attrs.validators.disabled():
        structured = _convert(value, cls, "$")
    errors = structured.err_value if structured.is_err() else []
    errors = errors + list(_check_fields(value, cls, "$"))
    if errors:
        return result.Err(sorted(set(errors)))
    return structured


def _convert(value, cls, path):
    try:
        return result.Ok(CONVERTER.structure(value, cls))
    except (cattrs.BaseValidationError, ValueError, TypeError) as error:
        return result.Err(
            cattrs.transform_error(error, path=path, format_exception=_describe)
        )


def _check_fields(value, cls, path):
    """Yield error messages for the values that have the right type."""
    if typing.get_origin(cls) is list:
        if isinstance(value, list):
            for index, item in enumerate(value):
                yield from _check_fields(
                    item, typing.get_args(cls)[0], f"{path}[{index}]"
                )
        return
    if not attrs.has(cls) or not isinstance(value, dict):
        return
    for field in attrs.fields(attrs.resolve_types(cls)):
        if field.name not in value:
            continue
        field_path = f"{path}.{field.name}"
        yield from _check_fields(value[field.name], field.type, field_path)
        yield from _check_value(value[field.name], field, field_path)


def _check_value(value, field, path):
    if field.validator is None:
        return
    with attrs.validators.disabled():
        converted = _convert(value, field.type, path)
    if converted.is_err():
        return
    try:
        field.validator(None, field, converted.ok_value)
    except ValueError as error:
        yield f"{error} @ {path}"


def unstructure(value):
    """Convert an attrs object to a JSON value."""
    return CONVERTER.unstructure(value)


def _is_encodable(text):
    try:
        text.encode("utf-8")
    except UnicodeEncodeError:
        return False
    return True


def _describe(error, expected):
    if isinstance(error, KeyError):
        return "required field is missing"
    if isinstance(error, cattrs.errors.ForbiddenExtraKeysError):
        allowed = ", ".join(sorted(field.name for field in attrs.fields(error.cl)))
        unknown = ", ".join(sorted(error.extra_fields))
        return f"unknown field {unknown}; allowed: {allowed}"
    return str(error)


def positive(instance, attribute, value):
    """Validate that a number is above 0."""
    if not value > 0:
        raise ValueError(f"must be above 0, got {value!r}")


def not_negative(instance, attribute, value):
    """Validate that a number is not below 0."""
    if value < 0:
        raise ValueError(f"must not be below 0, got {value!r}")


def port(instance, attribute, value):
    """Validate a TCP port; 0 lets the kernel choose one."""
    if not 0 <= value <= 65535:
        raise ValueError(f"must be a port from 0 to 65535, got {value!r}")


def one_of(*allowed):
    """Return a validator that accepts the values in `allowed`."""

    def validate(instance, attribute, value):
        if value not in allowed:
            names = ", ".join(repr(choice) for choice in allowed)
            raise ValueError(f"must be one of {names}, got {value!r}")

    return validate


def not_empty(instance, attribute, value):
    """Validate that a string or list is not empty."""
    if not value:
        raise ValueError("must not be empty")


def label(instance, attribute, value):
    """Validate a name: not empty, of printable characters."""
    not_empty(instance, attribute, value)
    if not value.isprintable():
        raise ValueError(f"must have printable characters only, got {value!r}")


def ip_address(instance, attribute, value):
    """Validate that a string is an IP address, in digits."""
    try:
        ipaddress.ip_address(value)
    except ValueError:
        raise ValueError(f"must be an IP address, got {value!r}") from None


def sha256_or_empty(instance, attribute, value):
    """Validate that a string is a SHA-256 hash in hexadecimal, or empty."""
    if value and not re.fullmatch("[0-9a-fA-F]{64}", value):
        raise ValueError("must be 64 hexadecimal digits")
