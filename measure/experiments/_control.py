"""Control costs of idle daemons, and their slopes."""

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
    """What one idle daemon spends, as the mean over a fleet.

    Attributes
    ----------
    instances, services : int
        Sizes of the fleet.
    core_share : float
        Share of a core.
    bytes_s : float
        Bytes sent and received a second, with all that it talks to.
    memory_mb : float
        Resident memory.
    """

    instances: int
    services: int
    core_share: float
    bytes_s: float
    memory_mb: float


def run(seconds):
    """Measure the control costs of a fleet of today's size."""
    found = figures.Figures()
    sample_s = max(SAMPLE_S, seconds / 4.0)
    for deployment in deployments.ALL:
        cost = measure_idle(deployment, fleets.INSTANCES, sample_s)
        name = f"{deployment.name}, {cost.instances} instances"
        found.add("control_core_share", name, cost.core_share)
        found.add("control_bytes_s", name, cost.bytes_s)
        found.add("control_mb", name, cost.memory_mb)
    return found


def measure_idle(deployment, instances, sample_s=SAMPLE_S):
    """Start a fleet without callers and measure it.

    Parameters
    ----------
    deployment : Deployment
        Names and sizes.
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
    """Return the time, processor seconds and bytes of all daemons."""
    spent_s = sum(throughput.processor_seconds(one.pid) for one in fleet.daemons)
    return time.monotonic(), spent_s, _member_bytes(fleet) + _relayed_bytes(fleet)


def _relayed_bytes(fleet):
    """Return the bytes to the platform once, and those between peers twice."""
    counts = http.send("GET", f"{fleet.links_url}/links")["counts"]
    return sum(
        found["bytes"] * (1 if name == "platform" else 2)
        for name, found in counts.items()
    )


def _member_bytes(fleet):
    """Return the bytes of all open connections to members, as the kernel counts."""
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
