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
    except (ValueError, TypeError) as fault:
        return None, review.FleetEntries([], [], []), [_make_fault("$", fault)]
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
    values = _decode(fields, name, path, _require_list, faults)
    entries = []
    for index in range(len(values or ())):
        entry_path = f"{path}[{index}]"
        decoded = _decode(values, index, entry_path, parse, faults)
        if decoded is not None:
            entries.append(review.Entry(entry_path, decoded))
    return entries


def _decode(container, key, path, parse, faults):
    """Return a decoded value, or None after adding its fault to `faults`."""
    try:
        return parse(container[key])
    except KeyError as fault:
        faults.append(_make_fault(path, f"required field {fault} is missing"))
    except (ValueError, TypeError, AttributeError, OverflowError) as fault:
        faults.append(_make_fault(path, fault))
    return None


def _make_fault(path, reason):
    return review.Finding(review.Severity.ERROR, path, str(reason))


def _require_list(value):
    if type(value) is not list:
        raise ValueError(f"expected a list, got {type(value).__name__}")
    return value


def _parse_version(value):
    return _json.require_integer(value, MAX_VERSION)


def _parse_idle_time(limits):
    return _parse_time({"txIdleMs": 3000, **limits}, "txIdleMs")


def _parse_service(service):
    return configuration.DatabaseService(
        _json.require_text(service["name"]),
        int(service["maxConns"]),
        int(service.get("syncReplicas", 0)),
        _parse_amount(service.get("coldStartS", 0.0)),
        _parse_amount(service.get("coldPerS", 0.0)),
    )


def _parse_route(route):
    staleness_ms = route.get("maxStalenessMs")
    return statements.Route(
        # The platform calls the database name "host".
        database=_json.require_text(route["host"]),
        service=_json.require_text(route["service"]),
        route_type=_parse_route_type(route["routeType"]),
        timeout_s=_parse_time(route, "timeoutMs"),
        latency_objective_s=_parse_time(route, "latencySloMs"),
        priority=_json.require_integer(route.get("priority", 0), MAX_PRIORITY),
        max_staleness_s=float("inf")
        if staleness_ms is None
        else _parse_time(route, "maxStalenessMs"),
        is_open=route.get("anonymous", False),
        allowed_regions=_parse_texts(route.get("allowedRegions", [])),
    )


def _parse_route_type(name):
    if name not in ROUTE_TYPES:
        known = ", ".join(ROUTE_TYPES)
        raise ValueError(f"routeType is {name!r}, expected one of {known}")
    return ROUTE_TYPES[name]


def _parse_time(fields, name):
    """Return a field in milliseconds as seconds."""
    value = fields[name]
    if type(value) not in (int, float):
        raise ValueError(f"{name}: expected a number of milliseconds, got {value!r}")
    return value / 1000.0


def _parse_account(tenant):
    return configuration.ClientAccount(
        name=_json.require_text(tenant["name"]),
        keys=_parse_texts(tenant["apiKeys"]),
        rate_per_s=_parse_amount(tenant["ratePerS"]),
        burst=_parse_amount(tenant["burst"]),
        allowed_regions=_parse_texts(tenant.get("allowedRegions", [])),
    )


def _parse_texts(values):
    if type(values) is not list:
        raise ValueError(f"expected a list of texts, got {type(values).__name__}")
    return frozenset(_json.require_text(value) for value in values)


def _parse_amount(value):
    amount = float(value)
    if not 0 <= amount < float("inf"):
        raise ValueError(f"must be finite and not below 0, got {value!r}")
    return amount
