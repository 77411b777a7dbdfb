"""The platform's manifest, read into the fleet's configuration."""

import json

from pomelograde.core import configuration, statements

ROUTE_TYPES = {
    "primary": statements.RouteType.PRIMARY,
    "bounded_staleness": statements.RouteType.BOUNDED_STALENESS,
    "read_your_writes": statements.RouteType.READ_YOUR_WRITES,
}


class UnreadableManifestError(Exception):
    """A manifest can't be read; the one in force stays."""


def read_manifest(document):
    """Read a manifest.

    Parameters
    ----------
    document : bytes or str
        JSON, as the operator wrote it.

    Returns
    -------
    FleetConfiguration
        What it says.

    Raises
    ------
    UnreadableManifestError
        If a field that is needed is missing or of another type.
    """
    try:
        body = json.loads(document)
        return configuration.FleetConfiguration(
            version=body["version"],
            routes={route["host"]: _read_route(route) for route in body["routes"]},
            accounts={
                tenant["name"]: _read_account(tenant)
                for tenant in body.get("tenants", ())
            },
            services={
                service["name"]: configuration.DatabaseService(
                    service["name"],
                    int(service["maxConns"]),
                    int(service.get("syncReplicas", 0)),
                )
                for service in body["services"]
            },
            transaction_idle_s=body.get("limits", {}).get("txIdleMs", 3000) / 1000.0,
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise UnreadableManifestError(repr(error)) from error


def _read_route(route):
    staleness_ms = route.get("maxStalenessMs")
    return statements.Route(
        database=route["host"],  # a database's name, not that of a machine
        service=route["service"],
        route_type=ROUTE_TYPES[route["routeType"]],
        timeout_s=route["timeoutMs"] / 1000.0,
        latency_objective_s=route["latencySloMs"] / 1000.0,
        priority=route.get("priority", 0),
        max_staleness_s=float("inf") if staleness_ms is None else staleness_ms / 1000.0,
        is_open=route.get("anonymous", False),
    )


def _read_account(tenant):
    return configuration.ClientAccount(
        name=tenant["name"],
        keys=frozenset(tenant["apiKeys"]),
        rate_per_s=float(tenant["ratePerS"]),
        burst=float(tenant["burst"]),
    )
