"""A process that owns open transactions is killed and starts again."""

import asyncio

import deployment

CLIENTS = 4
PAUSE_S = 2.6  # between two statements of a transaction; at most txIdleMs
RESTART_S = 0.3  # until the platform starts a killed process again


async def open_transactions(found, instance, tenant):
    """Return clients of a tenant that each have written in a transaction."""
    callers = []
    for _ in range(CLIENTS):
        caller = found.caller(instance, "cases", f"key-{tenant}", tenant)
        await caller.open()
        await caller.query("BEGIN")
        lines = await caller.query(f"WRITE {caller.name}-first {tenant}")
        if not lines[0].startswith("COMPLETE"):
            raise deployment.UnplayableError(f"the first write got {lines}")
        callers.append(caller)
    return callers


async def go_on(caller):
    """Write once more in the open transaction, and commit it."""
    lines = await caller.query(f"WRITE {caller.name}-second {caller.tenant}")
    if lines[0].startswith("COMPLETE"):
        await caller.query("COMMIT")
    elif caller.state != "I":
        await caller.query("ROLLBACK")


async def case(found, trouble):
    """Play the case."""
    await found.start_store()
    await found.start_service("core", "palermo-a")
    found.put_manifest(
        routes=[deployment.route("cases", "core", "primary")],
        services=[{"name": "core", "maxConns": 22, "syncReplicas": 0}],
        limits={"txIdleMs": 3000},
        tenants=[
            deployment.tenant("red", "key-red"),
            deployment.tenant("blue", "key-blue"),
        ],
    )
    entry = found.add_instance("edge-catania-a-1", "catania-a")
    owner = found.add_instance("edge-palermo-a-1", "palermo-a")
    third = found.add_instance("edge-agrigento-a-1", "agrigento-a")
    for instance in (entry, owner, third):
        instance.start()
    for instance in (entry, owner, third):
        await instance.wait_ready()
    await asyncio.sleep(4.0)
    early = await open_transactions(found, entry, "red")
    resume_at = asyncio.get_running_loop().time() + PAUSE_S
    if trouble:
        owner.kill()
        await asyncio.sleep(RESTART_S)
        owner.start()
        await owner.wait_ready()
        await asyncio.sleep(0.4)
    late = await open_transactions(found, third, "blue")
    await asyncio.sleep(resume_at - asyncio.get_running_loop().time())
    await asyncio.gather(*[go_on(caller) for caller in early])
    await asyncio.gather(*[go_on(caller) for caller in late])
    return check(found)


def check(found):
    """Return what breaks the rules PINNED, UNASKED and REFUSED."""
    faults = []
    tenant_of = {event["id"]: event["tenant"] for event in found.find("sends")}
    caller_of = {event["id"]: event["caller"] for event in found.find("sends")}
    callers = {}
    for event in found.find("runs"):
        request = event["id"]
        if event["tenant"] != tenant_of.get(request):
            faults.append(
                f"UNASKED: {request} of tenant {tenant_of.get(request)} runs "
                f"as tenant {event['tenant']}"
            )
        if event["transaction"]:
            key = (event["member"], event["connection"], event["transaction"])
            first = callers.setdefault(key, caller_of[request])
            if first != caller_of[request]:
                faults.append(
                    f"PINNED: {request} runs inside the transaction of {first}"
                )
    refused = {
        event["caller"]
        for event in found.find("gets")
        if event["answer"][0].startswith("ERROR ABORTED")
    }
    for event in found.find("committed"):
        by = caller_of[event["by"]]
        for request in event["ids"]:
            owner = caller_of[request]
            if owner != by:
                faults.append(f"UNASKED: {by} commits {request} of {owner}")
            if owner in refused:
                faults.append(f"REFUSED: {request} is committed, {owner} got ABORTED")
    return faults


if __name__ == "__main__":
    deployment.play(case, ".")
