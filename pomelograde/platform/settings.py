"""Parser of the settings file that the platform writes for each process."""

import ipaddress
import json
import os
import re

import result

from pomelograde.daemon import hosted_settings

PATH_VARIABLE = "POMELOGRADE_NODE_FILE"
_PORT = re.compile(r"[0-9]{1,5}")


def find_path(environment=os.environ):
    """Return the path of the settings file, or an empty string if none is set."""
    return environment.get(PATH_VARIABLE, "")


def load(path):
    """Read and check the settings file.

    Returns
    -------
    Result of HostedSettings or list of str
        The settings, or the error messages.
    """
    try:
        with open(path, encoding="utf-8") as file:
            return parse(json.load(file))
    except (OSError, ValueError) as error:
        return result.Err([f"{path} cannot be read: {error}"])


def parse(fields):
    """Translate the platform's fields into checked settings.

    Returns
    -------
    Result of HostedSettings or list of str
        The settings, or the error messages.
    """
    try:
        host, caller_port = parse_address(fields["listen"]["front"])
        _, ready_port = parse_address(fields["listen"]["ready"])
        bounds = fields["bounds"]
        contracts = fields.get("contracts", ())
        options = fields.get("pomelograde", {})
        peer_port, metrics_port = fields["internalPorts"][:2]
        return hosted_settings.check(
            hosted_settings.HostedSettings(
                instance=fields["node"],
                data_centre=fields["zone"],
                region=fields["region"],
                regions=dict(fields.get("zones", {})),
                host=host,
                caller_port=caller_port,
                ready_port=ready_port,
                peer_port=peer_port,
                metrics_port=metrics_port,
                store=fields["platform"]["address"],
                failover_service=fields["cloud"]["address"],
                revocation_s=bounds["revokeMs"] / 1000.0,
                grace_s=float(bounds["graceS"]),
                rate_window_s=float(bounds["quotaWindowS"]),
                rate_excess=float(bounds["quotaExcess"]),
                rate_slack=float(bounds["quotaSlack"]),
                member_heartbeat_s=fields["heartbeatMs"] / 1000.0,
                checks_members="health" in contracts,
                shares_members="pool" in contracts,
                evacuation_s=bounds.get("evacuateMs", 5000) / 1000.0,
                drain_s=bounds.get("drainMs", float("inf")) / 1000.0,
                cold_excess=float(bounds.get("coldExcess", 1.0)),
                cold_slack=float(bounds.get("coldSlack", 0.0)),
                data_centre_ms_per_kb=float(options.get("zoneMsPerKb", 5.0)),
                region_ms_per_kb=float(options.get("regionMsPerKb", 20.0)),
            )
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return result.Err([f"settings cannot be read: {error!r}"])


def parse_address(address):
    """Split ``HOST:PORT``; raises ValueError for any other value."""
    if type(address) is not str:
        raise ValueError("expected a string of the form HOST:PORT")
    host, _, port = address.rpartition(":")
    if not _PORT.fullmatch(port) or not 0 < int(port) < 65536:
        raise ValueError("expected HOST:PORT with a port from 1 to 65535")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise ValueError("expected HOST:PORT with an IPv4 address") from None
    return host, int(port)
