"""Instances return to a replaced primary while its successor has no row."""

import asyncio
import itertools
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

import world as standins  # noqa: E402

WARM_UP_S = 3.0
PRIMARY_CUT_S = 5.0
REPLACED_AFTER_S = 3.5  # at the latest, if the primary is replaced at all
CUT_INSTANCES = 3  # 0.45 of the instances, rounded down
STORE_CUT_AFTER_S = 1.05
BEFORE_CHECK_IN_S = 1.0  # from the cut to the successor's last check-in
STORE_CUT_S = 5.0
WATCH_S = 12.0
ROUNDS = 2


async def write_regularly(world, instance, number):
    """Write every 0.1 s through one instance."""
    client = standins.Client(world, instance, "casework")
    for count in itertools.count():
        await client.query(f"WRITE item{number} value{count}")
        await asyncio.sleep(0.1)


def choose_cut(world):
    """Return the instances that the primary is cut from.

    The first by name reads the store for all, and begins the takeovers. It asks the
    next ones of other zones whether they reach a primary.
    """
    by_name = sorted(world.instances, key=lambda found: found.name)
    others = [found for found in by_name if found.zone != by_name[0].zone]
    return [by_name[0], *others[: CUT_INSTANCES - 1]]


async def disrupt(world):
    """Cut the primary from its replicas and some instances, and a replica's store.

    The ids of the members, which are drawn, decide which instances hold the
    connections to the primary. If one of them is not cut off, nobody replaces the
    primary, and the case starts again with other ids.
    """
    primary = world.primary
    replicas = [found for found in world.members if found is not primary]
    successor = max(replicas, key=lambda found: found.name)
    next_check_in_at = successor.beat_at + 2 * standins.HEARTBEAT_S
    await asyncio.sleep(next_check_in_at - BEFORE_CHECK_IN_S - time.monotonic())
    started_at = time.monotonic()
    cut = choose_cut(world)
    primary.cut_hosts = {found.host for found in cut}
    primary.cut_members = {found.name for found in replicas}
    world.record.write(
        f"{primary.name} is cut from {', '.join(sorted(primary.cut_members))} and "
        f"{', '.join(found.name for found in cut)} for {PRIMARY_CUT_S} s"
    )
    await asyncio.sleep(STORE_CUT_AFTER_S)
    successor.is_store_cut = True
    world.record.write(f"{successor.name} is cut from the store for {STORE_CUT_S} s")
    await asyncio.sleep(REPLACED_AFTER_S - STORE_CUT_AFTER_S)
    if not world.promotions:
        raise standins.RedrawError("the primary was not replaced")
    await asyncio.sleep(PRIMARY_CUT_S - REPLACED_AFTER_S)
    primary.cut_hosts, primary.cut_members = set(), set()
    # Commits of senders whose link was disrupted in the last `thawSlackMs` don't count.
    slack_s = standins.BOUNDS["thawSlackMs"] / 1000.0
    world.counted_from = time.monotonic() + slack_s
    world.record.write(f"{primary.name} is reached again")
    await asyncio.sleep(STORE_CUT_AFTER_S + STORE_CUT_S - PRIMARY_CUT_S)
    successor.is_store_cut = False
    world.record.write(f"{successor.name} reaches the store again")
    await asyncio.sleep(max(0.0, started_at + WATCH_S - time.monotonic()))


async def play(world, has_trouble):
    """Return what breaks ONE."""
    for number, instance in enumerate(world.instances):
        world.spawn(write_regularly(world, instance, number))
    await asyncio.sleep(WARM_UP_S)
    for _ in range(ROUNDS):
        if has_trouble:
            await disrupt(world)
        else:
            await asyncio.sleep(WATCH_S)
        if world.find_late_commits():
            break
        await asyncio.sleep(3.0)
    return world.find_late_commits()


standins.main(FOLDER, play)
