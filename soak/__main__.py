"""Command line: ``python -m soak --seed 7`` or ``--seeds 50``."""

import sys
import time

import click

from soak import run

REGRESSION_SEEDS = ()  # seeds that ever failed, each with a line on the cause


@click.command(epilog="Exit codes: 0 all promises kept, 1 one broken.")
@click.option("--seed", type=int, help="First seed; by default from the time.")
@click.option("--seeds", type=int, default=1, help="How many seeds to play.")
@click.option("--seconds", type=float, default=20.0, help="How long faults strike.")
@click.option("--logs", help="Folder for the logs of runs that failed.")
def main(seed, seeds, seconds, logs):
    """Play real instances under faults from outside, and check the promises."""
    first = seed if seed is not None else int(time.time())
    failed = []
    for number in range(first, first + seeds):
        broken, served = run.Run(number, seconds, logs).play()
        click.echo(f"seed {number}: {served} served, {len(broken)} broken")
        for found in broken:
            click.echo(f"  {found.promise}: {found.detail}")
        if broken:
            failed.append(number)
    click.echo(f"{seeds - len(failed)} passed, {len(failed)} failed {failed or ''}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
