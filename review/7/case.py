"""A second takeover discards the member that the first one has promoted."""

import asyncio
import itertools
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

import world as standins  # noqa: E402

WARM_UP_S = 5.0
DEAF_S = 6.0  # a replica receives nothing for this long
CRASH_AFTER_S = 0.5  # from when it receives nothing to the primary's crash
DARK_S = 7.0
SLOW_S = 1.5  # until the platform answers a promotion
WATCH_S = 9.0
ROUNDS = 4


async def write_regularly(world, instance, number):
    """Write every 0.1 s through one instance."""
    client = standins.Client(world, instance, "casework")
    for count in itertools.count():
        await client.query(f"WRITE item{number} value{count}")
        await asyncio.sleep(0.1)


async def disrupt(world):
    """Let a replica lag and the primary crash, while the platform is slow."""
    old_primary = world.primary
    deaf = next(found for found in world.members if found is not old_primary)
    deaf.is_deaf = True
    world.record.write(f"{deaf.name} receives nothing for {DEAF_S} s")
    await asyncio.sleep(CRASH_AFTER_S)
    crashed_at = time.monotonic()
    old_primary.crash()
    world.cloud.delay_s = SLOW_S
    world.record.write(f"{old_primary.name} crashes for {DARK_S} s")
    await asyncio.sleep(DEAF_S - CRASH_AFTER_S)
    deaf.is_deaf = False
    world.cloud.delay_s = 0.0
    world.record.write(f"{deaf.name} receives again")
    await asyncio.sleep(max(0.0, crashed_at + DARK_S - time.monotonic()))
    await old_primary.return_after_crash()
    world.record.write(f"{old_primary.name} is back")
    await asyncio.sleep(WATCH_S - DARK_S)


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
