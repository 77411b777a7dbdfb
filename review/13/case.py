"""Writes are acknowledged by a replaced primary after the store's drill.

The primary is cut off from the store and from its replicas, and another member is
promoted. The old primary goes on, as it doesn't reach the new one. The store is away
for a moment and returns from a copy that is older than this; one process is killed
meanwhile and starts again. The other instances know who leads all the time. No write
that the old primary commits after the promotion may be acknowledged to a client.
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
    ["palermo-a", "palermo", 0.020],
    ["catania-a", "catania", 0.020],
    ["agrigento-a", "agrigento", 0.020],
]
REGIONS = {zone: region for zone, region, _ in ZONES}
OLD_PRIMARY = "i-palermo-a"
CUT_S = 7.0
PROMOTED_WITHIN_S = 6.2
SLACK_S = 0.3  # thawSlackMs
AWAY_S = 0.3
WATCH_S = 8.0
WRITERS = 6


class Writer(threading.Thread):
    """Writes to an item of its own through one instance."""

    def __init__(self, number, instance, record, stopping):
        super().__init__(daemon=True)
        self.number = number
        self.instance = instance
        self.record = record
        self.stopping = stopping
        self.acknowledged = {}

    def run(self):
        """Write until told to stop; connect again after the end of a session."""
        count = 0
        while not self.stopping.is_set():
            try:
                client = world.Client(self.instance.ports[0], timeout_s=4.0)
            except OSError:
                time.sleep(0.02)
                continue
            try:
                while not self.stopping.is_set():
                    count += 1
                    request_id = f"w{self.number}x{count}"
                    lines = client.query(request_id, f"WRITE k{self.number} v{count}")
                    if lines[0].startswith("COMPLETE "):
                        self.acknowledged[request_id] = time.monotonic()
                    self.record.write(f"answered {request_id} {lines[0]}")
                    time.sleep(0.02)
            except OSError as error:
                self.record.write(f"session of writer {self.number} ended: {error}")
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
            "synchronous_replicas": 0,
            "check_in_s": 1.2,
            "promote_s": 0.3,
        },
    )
    control = f"http://{addresses['control']}"
    store = f"http://{addresses['store']}"
    instances = [
        running.start_instance(f"edge-{zone}-1", zone, REGIONS, addresses)
        for zone, _, _ in ZONES
    ]
    if not all(instance.wait_until_ready() for instance in instances):
        print("an instance did not become ready")
        return world.COULD_NOT_RUN
    time.sleep(4.0)
    stopping = threading.Event()
    killed = instances[0]
    writers = [
        Writer(number, instances[number % len(instances)], record, stopping)
        for number in range(WRITERS)
    ]
    for writer in writers:
        writer.start()
    time.sleep(1.0)
    promoted_at = float("inf")
    if has_trouble:
        world.call(f"{store}/copy", {})
        cut_at = time.monotonic()
        world.call(f"{control}/cut", {"member": OLD_PRIMARY, "for_s": CUT_S})
        record.write(f"a copy is kept, and {OLD_PRIMARY} is cut off for {CUT_S} s")
        while not world.call(f"{control}/effects"):
            if time.monotonic() > cut_at + PROMOTED_WITHIN_S:
                print("no other member was promoted in time")
                return world.COULD_NOT_RUN
            time.sleep(0.02)
        promoted_at = time.monotonic()
        record.write(f"promoted {promoted_at - cut_at:.3f} s after the cut")
        world.call(f"{store}/faults", {"refuse": True})
        record.write("the store is away")
        running.kill(killed)
        running.start_instance(
            killed.name, killed.zone, REGIONS, addresses, killed.ports, bootstrap=False
        )
        time.sleep(AWAY_S)
        world.call(f"{control}/restore", {})
        world.call(f"{store}/faults", {})
        record.write("the store is back from the copy")
    time.sleep(WATCH_S)
    stopping.set()
    for writer in writers:
        writer.join(5.0)
    acknowledged = {}
    for writer in writers:
        acknowledged.update(writer.acknowledged)
    if not acknowledged:
        print("no write was acknowledged")
        return world.COULD_NOT_RUN
    trace = world.call(f"{control}/trace")
    wrong = []
    for entry in trace[OLD_PRIMARY]:
        ran_at = entry["ran_at"]
        is_late = ran_at is not None and ran_at > promoted_at + SLACK_S
        if is_late and entry["request_id"] in acknowledged:
            wrong.append(entry["request_id"])
            record.write(
                f"{OLD_PRIMARY} committed {entry['request_id']}"
                f" {ran_at - promoted_at:.3f} s after the promotion had taken"
                " effect, and its client was told COMPLETE"
            )
    final = set()
    for zone, _, _ in ZONES[1:]:
        log = world.call(f"{control}/i-{zone}")["log"]
        final |= {request_id for _, _, request_id in log}
    lost = [found for found in wrong if found not in final]
    for instance in instances:
        for entry in running.read_log(instance.name):
            if entry.get("name") in ("PRIMARY_CHANGED", "PRIMARY_HELD"):
                record.write(f"log of {instance.name}: {entry}")
    print(
        f"{len(acknowledged)} writes were acknowledged, {len(wrong)} of them committed"
        f" by the replaced primary after the promotion; {len(lost)} of these are in"
        " no other member's log"
    )
    return world.BROKEN if wrong else world.HELD


if __name__ == "__main__":
    sys.exit(main())
