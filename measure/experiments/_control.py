"""Costs of idle daemons: processor time, network traffic and memory."""

import re
import subprocess
import time

import attrs

from measure import figures, fleets, throughput
from pomelograde.standins import deployments, http

KEYS = ("control_core_share", "control_bytes_s", "control_mb")
SETTLE_S = 5.0
SAMPLE_S = 10.0
PAGE_BYTES = 4096
COUNT_PATTERN = re.compile(r"\bbytes_(?:sent|received):(\d+)")


@attrs.frozen
class ControlCost:
    """Costs of one idle daemon, averaged over a fleet.

    Attributes
    ----------
    instances, services : int
        Numbers of instances and databases of the fleet.
    core_share : float
        Share of a processor core.
    bytes_s : float
        Bytes sent and received per second on connections to members, peers and
        the platform.
    memory_mb : float
        Resident memory.
    """

    instances: int
    services: int
    core_share: float
    bytes_s: float
    memory_mb: float


def run(seconds):
    """Measure the costs of idle fleets of `fleets.INSTANCES` instances."""
    measured = figures.Figures()
    sample_s = max(SAMPLE_S, seconds / 4.0)
    for deployment in deployments.ALL:
        cost = measure_idle(deployment, fleets.INSTANCES, sample_s)
        name = f"{deployment.name}, {cost.instances} instances"
        measured.add("control_core_share", name, cost.core_share)
        measured.add("control_bytes_s", name, cost.bytes_s)
        measured.add("control_mb", name, cost.memory_mb)
    return measured


def measure_idle(deployment, instances, sample_s=SAMPLE_S):
    """Measure the costs of a fleet without callers.

    Parameters
    ----------
    deployment : Deployment
        Client accounts, databases and data centres.
    instances : int
        Number of instances.
    sample_s : float
        Length of the sample.

    Returns
    -------
    ControlCost
        Mean over the instances.
    """
    settings = fleets.FleetSettings(deployment, instances=instances)
    with fleets.run_fleet(settings) as fleet:
        time.sleep(SETTLE_S)
        before = _sample(fleet)
        time.sleep(sample_s)
        after = _sample(fleet)
        elapsed_s = after[0] - before[0]
        resident = [_resident_bytes(child.pid) for child in fleet.daemons]
    return ControlCost(
        instances=instances,
        services=len(deployment.services),
        core_share=(after[1] - before[1]) / elapsed_s / instances,
        bytes_s=(after[2] - before[2]) / elapsed_s / instances,
        memory_mb=sum(resident) / instances / 1e6,
    )


def _sample(fleet):
    """Return the time, and the processor seconds and bytes of all daemons."""
    processor_s = sum(
        throughput.processor_seconds(daemon.pid) for daemon in fleet.daemons
    )
    return time.monotonic(), processor_s, _member_bytes(fleet) + _relayed_bytes(fleet)


def _relayed_bytes(fleet):
    """Return the bytes on the links.

    Bytes between peers count twice, as one daemon sends and another receives them.
    """
    counts = http.send("GET", f"{fleet.links_url}/links")["counts"]
    return sum(
        count["bytes"] * (1 if name == "platform" else 2)
        for name, count in counts.items()
    )


def _member_bytes(fleet):
    """Return the kernel's byte counts of all open connections to members."""
    total = 0
    for service in fleet.deployment.services:
        for member in fleet.members(service):
            target = f"dst {member['host']}:{member['port']}"
            shown = subprocess.run(
                ["ss", "-tinH", target], capture_output=True, text=True, check=True
            )
            total += sum(map(int, COUNT_PATTERN.findall(shown.stdout)))
    return total


def _resident_bytes(process_id):
    with open(f"/proc/{process_id}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_BYTES
