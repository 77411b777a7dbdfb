"""Command line of the measuring tool."""

import sys

import click

from measure import experiments, figures, programs

FIGURES_PATH = "build/measures.json"
DEFAULT_SECONDS = 900.0


@click.group()
def main():
    """Measure and check fleets of pomelograde."""


@main.command()
@click.option("--keys", default="", help="Keys to measure, by commas; all if empty.")
@click.option("--seconds", default=DEFAULT_SECONDS, help="Time for each experiment.")
@click.option("--baseline", default="", help="Figures of an earlier run, as JSON.")
@click.option("--output", default=FIGURES_PATH, help="File for the figures.")
def measures(keys, seconds, baseline, output):
    r"""Measure both deployments and write the figures.

    \b
    Examples:
      python -m measure measures --keys forwarder_ratio --seconds 60
      python -m measure measures --baseline earlier.json
    """
    chosen = _check_keys(keys)
    found = figures.Figures()
    for produced, run in experiments.EXPERIMENTS:
        if chosen.intersection(produced):
            found.merge(run(seconds))
            figures.write(found.summarize(), output)
    earlier = figures.read(baseline) if baseline else None
    for line in figures.describe(found.summarize(), earlier):
        click.echo(line)


@main.command()
@click.option("--kinds", default="killed,isolated,paused", help="Kinds of faults.")
@click.option("--count", default=50, help="Failovers of each kind.")
@click.option("--deployments", "names", default="bollette,alliance")
@click.option("--seed", default=1, help="Seed of the callers' choices.")
def failover(kinds, count, names, seed):
    r"""Measure failovers of both deployments.

    \b
    Example:
      python -m measure failover --kinds killed --count 6
    """
    found = experiments.run_failovers(
        0.0, tuple(kinds.split(",")), count, tuple(names.split(",")), seed
    )
    for line in figures.describe(found.summarize()):
        click.echo(line)


def _check_keys(keys):
    chosen = set(filter(None, keys.split(","))) or set(figures.TARGETS)
    unknown = sorted(chosen - set(figures.TARGETS))
    if unknown:
        raise click.UsageError(f"unknown keys: {', '.join(unknown)}")
    return chosen


main.add_command(programs.program)

if __name__ == "__main__":
    sys.exit(main())
