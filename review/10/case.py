"""A reset during a promotion lets reads reach a member that does not lead yet."""

import asyncio
import itertools
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

import world as standins  # noqa: E402

WARM_UP_S = 4.0
LAG_FACTOR = 150.0
LAG_FOR_S = 7.0
CRASH_AFTER_S = 3.0
DARK_S = 7.0
RESET_AFTER_S = 0.1  # from the call that promotes a member
WATCH_S = 11.0
ROUNDS = 3


async def call_regularly(world, instance, number):
    """Write and read through one instance, on the route to the primary."""
    client = standins.Client(world, instance, "casework")
    for count in itertools.count():
        if count % 3 == 0:
            await client.query(f"WRITE item{number} value{count}")
        else:
            await client.query(f"READ item{number}")
        await asyncio.sleep(0.05)


async def disrupt(world):
    """Let the replicas lag and the primary crash; reset connections."""
    started_at = time.monotonic()
    primary = world.primary
    replicas = [found for found in world.members if found is not primary]

    def on_promote(holder, member):
        world.spawn(reset_connections(world, holder, member))

    world.cloud.on_call = on_promote
    for replica in replicas:
        replica.lag_s = standins.LAG_S * LAG_FACTOR
    world.record.write(f"replicas apply {LAG_FACTOR:.0f} times as late")
    await asyncio.sleep(CRASH_AFTER_S)
    primary.crash()
    world.record.write(f"{primary.name} crashes for {DARK_S} s")
    await asyncio.sleep(LAG_FOR_S - CRASH_AFTER_S)
    for replica in replicas:
        replica.lag_s = standins.LAG_S
    world.record.write("replicas apply as usual")
    await asyncio.sleep(CRASH_AFTER_S + DARK_S - LAG_FOR_S)
    await primary.return_after_crash()
    world.record.write(f"{primary.name} is back")
    await asyncio.sleep(max(0.0, started_at + WATCH_S - time.monotonic()))


async def reset_connections(world, holder, member):
    """Reset the connections between the instance that promotes and the member."""
    await asyncio.sleep(RESET_AFTER_S)
    host = next(found.host for found in world.instances if found.name == holder)
    count = 0
    for writer in list(member.connections):
        if writer.get_extra_info("peername")[0] == host:
            writer.transport.abort()
            count += 1
    world.record.write(f"{count} connections of {holder} to {member.name} are reset")


async def play(world, has_trouble):
    """Return what breaks STALE."""
    for number, instance in enumerate(world.instances):
        world.spawn(call_regularly(world, instance, number))
    await asyncio.sleep(WARM_UP_S)
    for _ in range(ROUNDS):
        if has_trouble:
            await disrupt(world)
        else:
            await asyncio.sleep(WATCH_S)
        if world.find_stale():
            break
        await asyncio.sleep(3.0)
    return world.find_stale()


standins.main(FOLDER, play)
