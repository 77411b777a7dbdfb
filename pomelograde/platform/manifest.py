"""Parser of the platform's manifest, which describes the configuration."""

from pomelograde.core import configuration, review, statements
from pomelograde.platform import _json

ROUTE_TYPES = {
    "primary": statements.RouteType.PRIMARY,
    "bounded_staleness": statements.RouteType.BOUNDED_STALENESS,
    "read_your_writes": statements.RouteType.READ_YOUR_WRITES,
}
MAX_VERSION = (1 << 63) - 1  # as the messages between instances hold it
MAX_PRIORITY = (1 << 8) - 1  # likewise
MAX_COUNT = (1 << 31) - 1
MAX_AMOUNT = 1 << 53  # up to which floats hold all integers
MAX_SHOWN_LENGTH = 40


class InvalidManifestError(Exception):
    """A manifest is invalid; the configuration in force stays."""


def parse_manifest(document):
    """Parse a manifest.

    Parameters
    ----------
    document : bytes or str
        The JSON document, as written by the operator.

    Returns
    -------
    FleetConfiguration
        The configuration that it describes.

    Raises
    ------
    InvalidManifestError
        If it is not JSON, or a required field is missing or invalid.
    """
    configuration_found, _, faults = decode_manifest(document)
    if faults:
        raise InvalidManifestError(f"{faults[0].message} @ {faults[0].path}")
    return configuration_found


def decode_manifest(document):
    """Decode a manifest, and collect all its faults.

    Parameters
    ----------
    document : bytes or str
        The JSON document.

    Returns
    -------
    configuration : FleetConfiguration or None
        The configuration that it describes; None if it has a fault.
    entries : FleetEntries
        All entries that could be decoded, with their places.
    faults : list of Finding
        Why instances would refuse it.
    """
    faults = []
    try:
        fields = _json.parse_object(document)
    except ValueError as fault:
        return None, review.FleetEntries([], [], []), [_make_fault("$", str(fault))]
    entries = review.FleetEntries(
        _decode_list(fields, "routes", _parse_route, faults),
        _decode_list({"tenants": [], **fields}, "tenants", _parse_account, faults),
        _decode_list(fields, "services", _parse_service, faults),
    )
    version = _decode(fields, "version", "$.version", _parse_version, faults)
    limits = {"limits": {}, **fields}
    idle_s = _decode(limits, "limits", "$.limits", _parse_idle_time, faults)
    if faults:
        return None, entries, faults
    return (
        configuration.FleetConfiguration(
            version=version,
            routes={entry.value.database: entry.value for entry in entries.routes},
            accounts={entry.value.name: entry.value for entry in entries.accounts},
            services={entry.value.name: entry.value for entry in entries.services},
            transaction_idle_s=idle_s,
        ),
        entries,
        faults,
    )


def _decode_list(fields, name, parse, faults):
    """Return the entries of a list that could be decoded; adds to `faults`."""
    path = f"$.{name}"
    values = _decode(fields, name, path, _json.require_list, faults)
    entries = []
    for index in range(len(values or ())):
        entry_path = f"{path}[{index}]"
        decoded = _decode(values, index, entry_path, parse, faults)
        if decoded is not None:
            entries.append(review.Entry(entry_path, decoded))
    return entries


def _decode(container, key, path, parse, faults):
    """Return a decoded value, or None after adding its fault to `faults`.

    Notes
    -----
    An exception that isn't foreseen is a fault of the document as well: the
    configuration in force stays.
    """
    try:
        return parse(container[key])
    except KeyError:
        faults.append(_make_fault(path, f"required field {key!r} is missing"))
    except ValueError as error:
        faults.append(_make_fault(path, str(error)))
    except Exception as error:
        faults.append(_make_fault(path, type(error).__name__))
    return None


def _make_fault(path, reason):
    return review.Finding(review.Severity.ERROR, path, reason)


def _parse_version(value):
    return _json.require_integer(value, MAX_VERSION)


def _parse_idle_time(limits):
    return _read_time({"txIdleMs": 3000, **_json.require_object(limits)}, "txIdleMs")


def _parse_service(service):
    defaults = {"syncReplicas": 0, "coldStartS": 0, "coldPerS": 0}
    fields = {**defaults, **_json.require_object(service)}
    return configuration.DatabaseService(
        _json.read(fields, "name", _json.require_text),
        _json.read(fields, "maxConns", _json.require_integer, MAX_COUNT),
        _json.read(fields, "syncReplicas", _json.require_integer, MAX_COUNT),
        _read_amount(fields, "coldStartS"),
        _read_amount(fields, "coldPerS"),
    )


def _parse_route(route):
    defaults = {"priority": 0, "anonymous": False, "allowedRegions": []}
    fields = {**defaults, **_json.require_object(route)}
    return statements.Route(
        # The platform calls the database name "host".
        database=_json.read(fields, "host", _json.require_text),
        service=_json.read(fields, "service", _json.require_text),
        route_type=_parse_route_type(fields["routeType"]),
        timeout_s=_read_time(fields, "timeoutMs"),
        latency_objective_s=_read_time(fields, "latencySloMs"),
        priority=_json.read(fields, "priority", _json.require_integer, MAX_PRIORITY),
        max_staleness_s=float("inf")
        if fields.get("maxStalenessMs") is None
        else _read_time(fields, "maxStalenessMs"),
        is_open=_json.read(fields, "anonymous", _json.require_boolean),
        allowed_regions=_json.read(fields, "allowedRegions", _parse_texts),
    )


def _parse_route_type(name):
    if type(name) is not str or name not in ROUTE_TYPES:
        known = ", ".join(ROUTE_TYPES)
        raise ValueError(f"routeType is {_show(name)}, expected one of {known}")
    return ROUTE_TYPES[name]


def _parse_account(tenant):
    fields = {"allowedRegions": [], **_json.require_object(tenant)}
    return configuration.ClientAccount(
        name=_json.read(fields, "name", _json.require_text),
        keys=_json.read(fields, "apiKeys", _parse_texts),
        rate_per_s=_read_amount(fields, "ratePerS"),
        burst=_read_amount(fields, "burst"),
        allowed_regions=_json.read(fields, "allowedRegions", _parse_texts),
    )


def _parse_texts(values):
    return frozenset(_json.require_text(value) for value in _json.require_list(values))


def _read_time(fields, name):
    """Return a field in milliseconds as seconds."""
    return _json.read(fields, name, _require_time) / 1000.0


def _require_time(value):
    if type(value) not in (int, float):
        raise ValueError(f"expected a number of milliseconds, got {_show(value)}")
    if not abs(value) <= MAX_AMOUNT:
        raise ValueError("the number of milliseconds is out of range")
    return value


def _read_amount(fields, name):
    return float(_json.read(fields, name, _require_amount))


def _require_amount(value):
    if type(value) not in (int, float) or not 0 <= value <= MAX_AMOUNT:
        raise ValueError(f"must be finite and not below 0, got {_json.describe(value)}")
    return value


def _show(value):
    """Return a description of a value that is no key, with its text."""
    is_short = type(value) is str and len(value) <= MAX_SHOWN_LENGTH
    return repr(value) if is_short else _json.describe(value)
