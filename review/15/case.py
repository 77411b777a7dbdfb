"""A withdrawn key is in use again after the store's drill and one restart.

A manifest takes a key away. More than `revokeMs` after its ack, when all instances
refuse the key, the store is away for a moment and returns from a copy that is some
seconds old; one process is killed meanwhile and starts again. The other instances
know the newer manifest all the time, and the operator writes it again later. No
request that is sent with the key may run any more.
"""

import base64
import json
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
    ["palermo-a", "palermo", 0.020],
    ["agrigento-a", "agrigento", 0.020],
]
REGIONS = {zone: region for zone, region, _ in ZONES}
WITHDRAWN_KEY = "training-key"
TENANT = "training"
REVOKE_S = 5.0
COPY_BEFORE_S = 0.3  # the copy is older than the change
AFTER_BOUND_S = 0.7
AWAY_S = 0.3
REWRITTEN_AFTER_S = 5.0
CALLERS = 4


class Caller(threading.Thread):
    """Goes on with a key: connects and reads, again and again."""

    def __init__(self, number, instance, record, stopping):
        super().__init__(daemon=True)
        self.number = number
        self.instance = instance
        self.record = record
        self.stopping = stopping
        self.sent_at = {}
        self.last = ""

    def run(self):
        """Send reads; a refusal or the end of a connection doesn't end it."""
        count = 0
        while not self.stopping.is_set():
            count += 1
            request_id = f"c{self.number}x{count}"
            try:
                client = world.Client(
                    self.instance.ports[0], key=WITHDRAWN_KEY, timeout_s=2.0
                )
            except OSError as error:
                self.note(f"refused at {self.instance.name}: {error}")
                time.sleep(0.05)
                continue
            try:
                self.sent_at[request_id] = time.monotonic()
                lines = client.query(request_id, f"READ k{self.number}")
                self.note(f"answered {request_id} {self.instance.name} {lines}")
            except OSError as error:
                self.note(f"{request_id} ended: {error}")
            finally:
                client.close()
            time.sleep(0.05)

    def note(self, text):
        """Record what was answered, if it differs from the last answer."""
        kind = text.replace(text.split(" ")[1], "")
        if kind != self.last:
            self.record.write(f"caller {self.number}: {text}")
        self.last = kind


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
    callers = [
        Caller(number, instances[number % len(instances)], record, stopping)
        for number in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    time.sleep(1.0)
    world.call(f"{store}/copy", {})
    time.sleep(COPY_BEFORE_S)
    manifest = read_manifest(store)
    manifest["version"] += 1
    for tenant in manifest["tenants"]:
        if tenant["name"] == TENANT:
            tenant["apiKeys"] = []
    write_manifest(store, manifest)
    acknowledged_at = time.monotonic()
    record.write(f"manifest {manifest['version']} without the key is acknowledged")
    time.sleep(REVOKE_S + AFTER_BOUND_S)
    killed = instances[0]
    if has_trouble:
        ports = killed.ports
        world.call(f"{store}/faults", {"refuse": True})
        record.write("the store is away")
        running.kill(killed)
        time.sleep(AWAY_S)
        world.call(f"{store}/restore", {})
        world.call(f"{store}/faults", {})
        record.write("the store is back from the copy")
        again = running.start_instance(
            killed.name, killed.zone, REGIONS, addresses, ports, bootstrap=False
        )
        again.wait_until_ready()
        record.write(f"{killed.name} is ready again")
    time.sleep(REWRITTEN_AFTER_S)
    write_manifest(store, manifest)
    record.write(f"the operator has written manifest {manifest['version']} again")
    time.sleep(2.0)
    stopping.set()
    for caller in callers:
        caller.join(4.0)
    sent_at = {name: at for caller in callers for name, at in caller.sent_at.items()}
    trace = world.call(f"{control}/trace")
    before, late = 0, []
    for member, entries in trace.items():
        for entry in entries:
            at = sent_at.get(entry["request_id"])
            if at is None or entry["ran_at"] is None:
                continue
            after_s = at - acknowledged_at
            before += after_s < 0.0
            if after_s > REVOKE_S:
                late.append(after_s)
                record.write(
                    f"{member} ran {entry['request_id']} for {entry['account']},"
                    f" sent {after_s:.3f} s after the ack"
                )
    if not before:
        print("the key was never in use")
        return world.COULD_NOT_RUN
    print(
        f"{before} requests ran before the key was withdrawn,"
        f" {len(late)} that were sent later than {REVOKE_S} s after the ack"
    )
    return world.BROKEN if late else world.HELD


def read_manifest(store):
    """Return the manifest that the store holds."""
    rows = world.call(f"{store}/rows-get?table=op")["rows"]
    (row,) = [found for found in rows if found["key"] == "config"]
    return json.loads(base64.b64decode(row["value"]))


def write_manifest(store, manifest):
    """Write a manifest as the operator; returns once it is acknowledged."""
    body = {"table": "op", "key": "config", "value": json.dumps(manifest)}
    world.call(f"{store}/put", body)


if __name__ == "__main__":
    sys.exit(main())
