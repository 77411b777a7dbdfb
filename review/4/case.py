"""A process is stopped as planned while clients are in transactions."""

import asyncio
import random
import signal

import deployment

CLIENTS = 40
STATEMENTS = 12  # of a transaction; the most that the protocol page names
PAUSE_S = (0.2, 0.5)  # between the statements of a transaction
BEFORE_S = 4.0  # of traffic before the stop
GRACE_S = 6.0
TRANSACTION_S = 3.0  # half of the grace period, which an open transaction has
LAST_SIXTH_S = 5.0
WORK_S = 0.06


async def work(found, instance, number, until):
    """Run transactions through an instance until a time or its end."""
    loop = asyncio.get_running_loop()
    choice = random.Random(number)
    tenant = f"tenant-{number % 4}"
    caller = found.caller(instance, "cases", f"key-{tenant}", tenant)
    await caller.open()
    while loop.time() < until:
        lines = await caller.query("BEGIN READ")
        for _ in range(STATEMENTS):
            if caller.state != "T" or lines[-1] in ("closed", "no answer"):
                break
            await asyncio.sleep(choice.uniform(*PAUSE_S))
            lines = await caller.query(f"READ bill-{choice.randrange(100)}")
        if lines[-1] in ("closed", "no answer"):
            return
        await caller.query("COMMIT" if caller.state == "T" else "ROLLBACK")
        await asyncio.sleep(choice.uniform(*PAUSE_S))


async def case(found, trouble):
    """Play the case."""
    await found.start_store()
    service = await found.start_service("core", "palermo-a")
    service.work_s = WORK_S
    found.put_manifest(
        routes=[
            deployment.route(
                "cases", "core", "bounded_staleness", 2000, 1500, latency_ms=800
            )
        ],
        services=[{"name": "core", "maxConns": 22, "syncReplicas": 0}],
        limits={"txIdleMs": 3000},
        tenants=[
            deployment.tenant(f"tenant-{number}", f"key-tenant-{number}")
            for number in range(4)
        ],
    )
    instances = [
        found.add_instance("edge-catania-a-1", "catania-a"),
        found.add_instance("edge-palermo-a-1", "palermo-a"),
        found.add_instance("edge-agrigento-a-1", "agrigento-a"),
    ]
    for instance in instances:
        instance.start()
    for instance in instances:
        await instance.wait_ready()
    loop = asyncio.get_running_loop()
    until = loop.time() + BEFORE_S + GRACE_S + 1.0
    clients = [
        asyncio.ensure_future(work(found, instances[0], number, until))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(BEFORE_S)
    if trouble:
        instances[0].signal(signal.SIGTERM)
    await asyncio.gather(*clients)
    return check(found)


def check(found):
    """Return what breaks the rule LOST."""
    stops = found.find("SIGTERM")
    if not stops:
        return [
            f"LOST: {event['id']} has no complete answer"
            for event in found.find("gets")
            if event["answer"][-1] in ("closed", "no answer")
        ]
    stopped_at = stops[0]["at"]
    sent_at = {event["id"]: event["at"] for event in found.find("sends")}
    reached = {event["id"] for event in found.find("reaches")}
    ran = {event["id"]: event["at"] for event in found.find("runs")}
    faults = []
    for event in found.find("gets"):
        request = event["id"]
        if event["answer"][-1] != "closed" or request not in reached:
            continue
        sent_s = sent_at[request] - stopped_at
        ended_s = ran.get(request, float("inf")) - stopped_at
        if sent_s <= TRANSACTION_S and ended_s >= LAST_SIXTH_S:
            continue  # the member was still at work in the last sixth
        faults.append(
            f"LOST: {request} was sent {sent_s:.3f} s after SIGTERM, reached a member, "
            f"and its connection ended after {event['at'] - sent_at[request]:.3f} s "
            "without an answer"
        )
    return faults


if __name__ == "__main__":
    deployment.play(case, ".")
