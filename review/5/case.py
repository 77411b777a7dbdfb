"""A manifest gives a connected client's key to another tenant."""

import asyncio

import deployment

APPLIED_S = 6.0  # configApplyMs is 3,000 and revokeMs 5,000
REQUESTS = 20


async def case(found, trouble):
    """Play the case."""
    await found.start_store()
    await found.start_service("core", "palermo-a")
    found.put_manifest(
        routes=[deployment.route("cases", "core", "primary")],
        services=[{"name": "core", "maxConns": 22, "syncReplicas": 0}],
        limits={"txIdleMs": 3000},
        tenants=[
            deployment.tenant("red", "key-1", "key-2"),
            deployment.tenant("blue", "key-3"),
        ],
    )
    instances = [
        found.add_instance("edge-catania-a-1", "catania-a"),
        found.add_instance("edge-palermo-a-1", "palermo-a"),
    ]
    for instance in instances:
        instance.start()
    for instance in instances:
        await instance.wait_ready()
    await asyncio.sleep(3.0)
    callers = [
        found.caller(instance, "cases", "key-2", "red") for instance in instances
    ]
    for caller in callers:
        await caller.open()
        lines = await caller.query("WRITE bill-1 before")
        if not lines[0].startswith("COMPLETE"):
            raise deployment.UnplayableError(f"the first write got {lines}")
    holder = "red"
    if trouble:
        holder = "blue"
        found.put_manifest(
            tenants=[
                deployment.tenant("red", "key-1"),
                deployment.tenant("blue", "key-3", "key-2"),
            ]
        )
    await asyncio.sleep(APPLIED_S)
    for number in range(REQUESTS):
        for caller in callers:
            caller.tenant = holder  # the manifest in force says so
            if caller.state != "I":
                continue
            await caller.query(f"WRITE bill-{number} after")
            await caller.query(f"READ bill-{number}")
    return check(found)


def check(found):
    """Return what breaks the rule UNASKED."""
    holders = {event["id"]: event["tenant"] for event in found.find("sends")}
    return [
        f"UNASKED: {event['id']} runs as tenant {event['tenant']}, "
        f"its key is of tenant {holders[event['id']]}"
        for event in found.find("runs")
        if event["tenant"] != holders[event["id"]]
    ]


if __name__ == "__main__":
    deployment.play(case, ".")
