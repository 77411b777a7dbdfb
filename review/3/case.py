"""A primary with a synchronous replica is lost; that replica answers not everybody."""

import asyncio
import os

import deployment

ZONES = ["agrigento-a", "catania-a", "palermo-a", "catania-a"]
LOAD_S = 6.0  # before the loss of the primary
CUT_S = 2.0  # from the cut to the loss of the primary
CUT_LASTS_S = 5.0
EVACUATED_S = 7.0  # before the loss of the primary; evacuateMs is 5,000
TAKEOVER_S = 10.0
WRITE_PAUSE_S = 0.01


async def write(found, instance, until):
    """Write through an instance until a time."""
    loop = asyncio.get_running_loop()
    caller = None
    number = 0
    while loop.time() < until:
        if caller is None:
            caller = found.caller(instance, "cases", "key-red", "red")
            await caller.open()
        number += 1
        lines = await caller.query(f"WRITE {caller.name}-{number} noted")
        if lines[-1] == "closed":
            caller = None
        await asyncio.sleep(WRITE_PAUSE_S)


async def case(found, trouble):
    """Play the case."""
    await found.start_store()
    service = await found.start_service(
        "core", "palermo-a", lag_s=0.06, promote_s=0.6, sync=1
    )
    for other in ("bills", "tariffs"):
        await found.start_service(other, "catania-a", lag_s=0.06, sync=1)
    primary, near = (service.members[f"i-core-{number}"] for number in (2, 1))
    near.lag_s = 0.01
    found.put_manifest(
        routes=[deployment.route("cases", "core", "primary")],
        services=[
            {"name": name, "maxConns": 22, "syncReplicas": 1} for name in found.services
        ],
        limits={"txIdleMs": 3000},
        tenants=[deployment.tenant("red", "key-red", rate=500)],
    )
    instances = [
        found.add_instance(f"edge-{zone}-{number}", zone)
        for number, zone in enumerate(ZONES, 1)
    ]
    for instance in instances:
        instance.start()
    for instance in instances:
        await instance.wait_ready()
    loop = asyncio.get_running_loop()
    until = loop.time() + LOAD_S + EVACUATED_S + TAKEOVER_S
    writers = [
        asyncio.ensure_future(write(found, instance, until)) for instance in instances
    ]
    await asyncio.sleep(LOAD_S - CUT_S)
    reader = min(instances, key=lambda instance: instance.name)
    if os.environ.get("TROUBLE") == "evacuation":
        found.record("evacuation", zone=near.zone)
        found.store.put("op", f"evacuate/{near.zone}", b"{}")
        await asyncio.sleep(EVACUATED_S - CUT_S)
    elif trouble and not found.is_partial:
        found.record("cut", member=near.name, instance=reader.name)
        near.cut(reader.host)
        loop.call_later(CUT_LASTS_S, near.cut_off.clear)
    await asyncio.sleep(CUT_S)
    if trouble:
        found.record("is lost", member=primary.name)
        primary.cut()
    await asyncio.gather(*writers)
    if trouble and not found.find("promoted"):
        raise deployment.UnplayableError("no member was promoted")
    return check(found)


def check(found):
    """Return what breaks the rule LOST."""
    promoted = found.find("promoted")
    if not promoted:
        return []
    acknowledged = [
        event["id"]
        for event in found.find("gets")
        if event["answer"][0].startswith("COMPLETE") and event["at"] < promoted[0]["at"]
    ]
    lost = sorted(set(acknowledged) - set(promoted[0]["held"]))
    return [
        f"LOST: {request} is acknowledged and not in the log of "
        f"{promoted[0]['member']}, which is promoted"
        for request in lost
    ]


if __name__ == "__main__":
    deployment.play(case, ".")
