"""A replica whose row has lapsed is not asked for the commits that it holds."""

import asyncio
import itertools
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

import world as standins  # noqa: E402

WARM_UP_S = 5.0
STORE_CUT_S = 5.0  # one replica is cut from the store for this long
DEAF_AFTER_S = 1.1  # from then to when the other replica receives nothing
DEAF_S = 6.0
CRASH_AFTER_S = 0.5  # from then to the primary's crash
DARK_S = 7.0
WATCH_S = 11.0
ROUNDS = 3


async def write_regularly(world, instance, number):
    """Write every 0.1 s through one instance."""
    client = standins.Client(world, instance, "casework")
    for count in itertools.count():
        await client.query(f"WRITE item{number} value{count}")
        await asyncio.sleep(0.1)


async def disrupt(world):
    """Cut a replica from the store, let the other one lag, and the primary crash."""
    started_at = time.monotonic()
    primary = world.primary
    behind, ahead = [found for found in world.members if found is not primary]
    ahead.is_store_cut = True
    world.record.write(f"{ahead.name} is cut from the store for {STORE_CUT_S} s")
    await asyncio.sleep(DEAF_AFTER_S)
    behind.is_deaf = True
    world.record.write(f"{behind.name} receives nothing for {DEAF_S} s")
    await asyncio.sleep(CRASH_AFTER_S)
    primary.crash()
    world.record.write(f"{primary.name} crashes for {DARK_S} s")
    await asyncio.sleep(STORE_CUT_S - DEAF_AFTER_S - CRASH_AFTER_S)
    ahead.is_store_cut = False
    world.record.write(f"{ahead.name} reaches the store again")
    await asyncio.sleep(DEAF_AFTER_S + DEAF_S - STORE_CUT_S)
    behind.is_deaf = False
    world.record.write(f"{behind.name} receives again")
    back_at = started_at + DEAF_AFTER_S + CRASH_AFTER_S + DARK_S
    await asyncio.sleep(back_at - time.monotonic())
    await primary.return_after_crash()
    world.record.write(f"{primary.name} is back")
    await asyncio.sleep(max(0.0, started_at + WATCH_S - time.monotonic()))


async def play(world, has_trouble):
    """Return what breaks LOST."""
    for number, instance in enumerate(world.instances[::2]):
        world.spawn(write_regularly(world, instance, number))
    await asyncio.sleep(WARM_UP_S)
    for _ in range(ROUNDS):
        if has_trouble:
            await disrupt(world)
        else:
            await asyncio.sleep(WATCH_S)
        if world.faults:
            break
        await asyncio.sleep(3.0)
    return [text for text in world.faults if text.startswith("LOST")]


standins.main(FOLDER, play, sync_replicas=1)
