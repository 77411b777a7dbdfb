"""Command line: ``python -m soak --seed 7`` or ``--seeds 50``."""

import sys
import time

import click

from soak import run

REGRESSIONS = {
    # A primary that crashed came back as a replica before it was replaced, and
    # everybody went on to take it for the primary (one play in four).
    6: 15.0,
}


@click.command(epilog="Exit codes: 0 all promises kept, 1 one broken.")
@click.option("--seed", type=int, help="First seed; by default from the time.")
@click.option("--seeds", type=int, default=1, help="How many seeds to play.")
@click.option("--seconds", type=float, default=20.0, help="How long faults strike.")
@click.option("--regressions", is_flag=True, help="Play the seeds that ever failed.")
@click.option("--logs", help="Folder for the logs of runs that failed.")
def main(seed, seeds, seconds, regressions, logs):
    """Play real instances under faults from outside, and check the promises."""
    first = seed if seed is not None else int(time.time())
    plays = dict.fromkeys(range(first, first + seeds), seconds)
    if regressions:
        plays = REGRESSIONS
    failed = []
    for number, length_s in plays.items():
        broken, served = run.Run(number, length_s, logs).play()
        click.echo(f"seed {number}: {served} served, {len(broken)} broken")
        for found in broken:
            click.echo(f"  {found.promise}: {found.detail}")
        if broken:
            failed.append(number)
    passed = len(plays) - len(failed)
    click.echo(f"{passed} passed, {len(failed)} failed {failed or ''}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
