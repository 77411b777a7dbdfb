"""Reads of a `primary` route run at a replaced primary after the store's drill.

The primary crashes, another member is promoted, and the old primary comes back as
its replica. The store is away for a moment and returns from a copy that is older
than this; one process is killed meanwhile and starts again. The other instances
know who leads all the time. A read of a `primary` route must not lack a commit that
was acknowledged before its first byte.
"""

import bisect
import os
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

import world  # noqa: E402

ZONES = [
    ["catania-a", "catania", 0.020],
    ["palermo-a", "palermo", 0.020],
    ["agrigento-a", "agrigento", 0.020],
]
REGIONS = {zone: region for zone, region, _ in ZONES}
OLD_PRIMARY = "i-catania-a"
CRASH_S = 4.0
AWAY_S = 0.3
WATCH_S = 6.0
READERS = 4


class Writer(threading.Thread):
    """Writes increasing numbers to one item, and keeps when each was acknowledged."""

    def __init__(self, instance, record, stopping):
        super().__init__(daemon=True)
        self.instance = instance
        self.record = record
        self.stopping = stopping
        self.numbers = []
        self.acknowledged_at = []

    def run(self):
        """Write until told to stop; connect again after the end of a session."""
        number = 0
        while not self.stopping.is_set():
            try:
                client = world.Client(self.instance.ports[0], timeout_s=4.0)
            except OSError:
                time.sleep(0.1)
                continue
            try:
                while not self.stopping.is_set():
                    number += 1
                    lines = client.query(f"w{number}", f"WRITE item {number}")
                    if lines[0].startswith("COMPLETE "):
                        self.acknowledged_at.append(time.monotonic())
                        self.numbers.append(number)
                    self.record.write(f"write {number}: {lines[0]}")
                    time.sleep(0.005)
            except OSError as error:
                self.record.write(f"the writer's session ended: {error}")
            finally:
                client.close()

    def find_last(self, at):
        """Return the last number that was acknowledged before a time."""
        index = bisect.bisect_left(self.acknowledged_at, at)
        return self.numbers[index - 1] if index else 0


class Reader(threading.Thread):
    """Reads the item on the `primary` route through the instance that restarts."""

    def __init__(self, number, ports, record, stopping):
        super().__init__(daemon=True)
        self.number = number
        self.ports = ports
        self.record = record
        self.stopping = stopping
        self.answers = []

    def run(self):
        """Read until told to stop; connect again after the end of a session."""
        count = 0
        while not self.stopping.is_set():
            try:
                client = world.Client(self.ports[0], timeout_s=4.0)
            except OSError:
                time.sleep(0.02)
                continue
            try:
                while not self.stopping.is_set():
                    count += 1
                    request_id = f"r{self.number}x{count}"
                    sent_at = time.monotonic()
                    lines = client.query(request_id, "READ item")
                    if lines[0].startswith("DATAROW "):
                        value = lines[0].split(" ")[1]
                        number = int(value) if value.isdigit() else 0
                        self.answers.append((sent_at, request_id, number))
                    time.sleep(0.01)
            except OSError as error:
                self.record.write(f"session of reader {self.number} ended: {error}")
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
    writer = Writer(instances[1], record, stopping)
    killed = instances[0]
    readers = [
        Reader(number, killed.ports, record, stopping) for number in range(READERS)
    ]
    for thread in (writer, *readers):
        thread.start()
    time.sleep(1.0)
    from_at = time.monotonic()
    if has_trouble:
        world.call(f"{store}/copy", {})
        world.call(f"{control}/crash", {"members": [OLD_PRIMARY], "for_s": CRASH_S})
        record.write(f"a copy is kept, and {OLD_PRIMARY} crashes for {CRASH_S} s")
        time.sleep(CRASH_S + 1.5)
        effects = world.call(f"{control}/effects")
        if not effects or world.call(f"{control}/{OLD_PRIMARY}")["role"] == "primary":
            print("no other member was promoted")
            return world.COULD_NOT_RUN
        record.write(f"{effects[0]['member']} leads, {OLD_PRIMARY} is its replica")
        from_at = time.monotonic()
        world.call(f"{store}/faults", {"refuse": True})
        record.write("the store is away")
        running.kill(killed)
        running.start_instance(
            killed.name, killed.zone, REGIONS, addresses, killed.ports, bootstrap=False
        )
        time.sleep(AWAY_S)
        world.call(f"{store}/restore", {})
        world.call(f"{store}/faults", {})
        record.write("the store is back from the copy")
    time.sleep(WATCH_S)
    stopping.set()
    for thread in (writer, *readers):
        thread.join(5.0)
    trace = world.call(f"{control}/trace")
    ran_at = {
        entry["request_id"]: member
        for member, entries in trace.items()
        for entry in entries
        if entry["ran_at"] is not None
    }
    checked, stale = 0, 0
    for reader in readers:
        for sent_at, request_id, number in reader.answers:
            if sent_at < from_at:
                continue
            checked += 1
            last = writer.find_last(sent_at)
            if number < last:
                stale += 1
                record.write(
                    f"{request_id} ran at {ran_at.get(request_id)} and read {number};"
                    f" {last} was acknowledged before its first byte"
                )
    for instance in instances:
        for entry in running.read_log(instance.name):
            if entry.get("name") in ("PRIMARY_CHANGED", "PRIMARY_HELD"):
                record.write(f"log of {instance.name}: {entry}")
    if checked < 20:
        print(f"only {checked} reads were answered")
        return world.COULD_NOT_RUN
    print(f"{checked} reads were answered, {stale} of them lack a commit")
    return world.BROKEN if stale else world.HELD


if __name__ == "__main__":
    sys.exit(main())
