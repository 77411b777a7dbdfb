"""The settings file that the platform renders for each process."""

import json
import os

import result

from pomelograde.daemon import hosted_settings

PATH_VARIABLE = "POMELOGRADE_NODE_FILE"


def find_path(environment=os.environ):
    """Return the path of the settings file, or an empty text."""
    return environment.get(PATH_VARIABLE, "")


def load(path):
    """Read and check the settings file.

    Returns
    -------
    Result of HostedSettings or list of str
        The settings, or what is wrong with them.
    """
    try:
        with open(path, encoding="utf-8") as file:
            return read(json.load(file))
    except (OSError, ValueError) as error:
        return result.Err([f"{path} cannot be read: {error}"])


def read(body):
    """Read the settings out of the platform's fields."""
    try:
        host, caller_port = read_address(body["listen"]["front"])
        _, ready_port = read_address(body["listen"]["ready"])
        bounds = body["bounds"]
        first, last = body["internalPorts"][:2]
        return hosted_settings.check(
            hosted_settings.HostedSettings(
                instance=body["node"],
                data_centre=body["zone"],
                region=body["region"],
                regions=dict(body.get("zones", {})),
                host=host,
                caller_port=caller_port,
                ready_port=ready_port,
                peer_port=first,
                metrics_port=last,
                store=body["platform"]["address"],
                failover_service=body["cloud"]["address"],
                revocation_s=bounds["revokeMs"] / 1000.0,
                grace_s=float(bounds["graceS"]),
                rate_window_s=float(bounds["quotaWindowS"]),
                rate_excess=float(bounds["quotaExcess"]),
                rate_slack=float(bounds["quotaSlack"]),
                member_heartbeat_s=body["heartbeatMs"] / 1000.0,
            )
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return result.Err([f"settings cannot be read: {error!r}"])


def read_address(text):
    """Split ``HOST:PORT``; raises ValueError for anything else."""
    host, colon, port = text.rpartition(":")
    number = int(port)
    if not colon or not host or not 0 < number < 65536:
        raise ValueError(f"not an address: {text!r}")
    return host, number
