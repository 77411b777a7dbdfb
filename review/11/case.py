"""A geo is lost that holds the primary and the replica that acknowledges commits.

The service has three members and `syncReplicas` 1. The primary and one replica
are in two zones of one geo, the other replica is in another geo. All of the
first geo is lost at once: its members and its instances. Afterwards, each write
that was acknowledged to a client must be in the log of the member that is
promoted, if one is.
"""

import os
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

import world  # noqa: E402

ZONES = [
    ["catania-a", "catania", 0.0],
    ["catania-b", "catania", 0.003],
    ["palermo-a", "palermo", 0.020],
]
REGIONS = {zone: region for zone, region, _ in ZONES}
LOST_REGION = "catania"
LOST_FOR_S = 14.0
WRITERS = 12
WRITE_BEFORE_S = 5.0
WATCH_S = 25.0


class Writer(threading.Thread):
    """Writes through one instance until it is told to stop."""

    def __init__(self, number, instances, record, acknowledged, stopping):
        super().__init__(daemon=True)
        self.number = number
        self.instances = instances
        self.record = record
        self.acknowledged = acknowledged
        self.stopping = stopping

    def run(self):
        """Write, and connect to the next instance after the loss of a connection."""
        turn = self.number
        count = 0
        while not self.stopping.is_set():
            instance = self.instances[turn % len(self.instances)]
            turn += 1
            try:
                client = world.Client(instance.ports[0], timeout_s=3.0)
            except OSError:
                time.sleep(0.1)
                continue
            try:
                while not self.stopping.is_set():
                    count += 1
                    request_id = f"w{self.number}x{count}"
                    self.record.write(f"sent {request_id} to {instance.name}")
                    lines = client.query(request_id, f"WRITE k{self.number} v{count}")
                    if lines[0].startswith("COMPLETE "):
                        self.acknowledged[request_id] = time.monotonic()
                    self.record.write(f"answered {request_id} {lines[0]}")
                    time.sleep(0.01 if lines[0].startswith("COMPLETE ") else 0.1)
            except OSError as error:
                self.record.write(f"connection to {instance.name} ended: {error}")
            finally:
                client.close()


def main():
    """Run the case; returns the exit code."""
    has_trouble = os.environ.get("TROUBLE") != "0"
    world.exit_on_termination()
    record = world.Record(FOLDER / "record.txt")
    running = world.World(record)
    try:
        return run(running, record, has_trouble)
    finally:
        running.stop()


def run(running, record, has_trouble):
    """Play the case and check the rule."""
    addresses = running.start_host(
        FOLDER.parent / "lib3" / "platform_host.py",
        {
            "zones": ZONES,
            "synchronous_replicas": 1,
            "check_in_s": 1.2,
            "promote_s": 0.3,
        },
    )
    control = f"http://{addresses['control']}"
    tolerance = {"machines": 2, "zones": 1, "regions": 1}
    instances = [
        running.start_instance(
            f"edge-{zone}-1", zone, REGIONS, addresses, faultTolerance=tolerance
        )
        for zone, _, _ in ZONES
    ]
    if not all(instance.wait_until_ready() for instance in instances):
        print("an instance did not become ready")
        return world.COULD_NOT_RUN
    time.sleep(4.0)
    acknowledged = {}
    stopping = threading.Event()
    writers = [
        Writer(number, instances, record, acknowledged, stopping)
        for number in range(WRITERS)
    ]
    for writer in writers:
        writer.start()
    time.sleep(WRITE_BEFORE_S)
    if not acknowledged:
        print("no write was acknowledged before the disruption")
        return world.COULD_NOT_RUN
    if has_trouble:
        lost = [f"i-{zone}" for zone, region, _ in ZONES if region == LOST_REGION]
        record.write(f"the geo {LOST_REGION} is lost, with the members {lost}")
        world.call(f"{control}/crash", {"members": lost, "for_s": LOST_FOR_S})
        for instance in instances:
            if REGIONS[instance.zone] == LOST_REGION:
                running.kill(instance)
    until = time.monotonic() + WATCH_S
    while time.monotonic() < until and not world.call(f"{control}/effects"):
        time.sleep(0.1)
    stopping.set()
    for writer in writers:
        writer.join(5.0)
    effects = world.call(f"{control}/effects")
    for instance in instances:
        for entry in running.read_log(instance.name):
            if str(entry.get("name", "")).startswith("TAKEOVER"):
                record.write(f"log of {instance.name}: {entry}")
    if not effects:
        record.write("no member was promoted")
        print(f"{len(acknowledged)} writes acknowledged; no member was promoted")
        return world.HELD
    first = effects[0]
    held = set(first["log"])
    later = {found for effect in effects[1:] for found in effect["log"]}
    missing = sorted(set(acknowledged) - held - later)
    # Writes of the new term are in no log of the moment of the promotion.
    trace = world.call(f"{control}/trace")
    own = {entry["request_id"] for entry in trace[first["member"]]}
    missing = [found for found in missing if found not in own]
    record.write(
        f"promoted {first['member']} with {len(held)} entries;"
        f" lengths of all logs then: {first['other_logs']}"
    )
    for found in missing:
        record.write(f"acknowledged, and not in the promoted log: {found}")
    print(
        f"{len(acknowledged)} writes acknowledged; {first['member']} was promoted;"
        f" {len(missing)} of them are not in its log"
    )
    return world.BROKEN if missing else world.HELD


if __name__ == "__main__":
    sys.exit(main())
