"""Command line of the measuring tool."""

import sys

import click

from measure import chaos, experiments, explore, figures, matrix, programs, report
from measure import slopes as slopes_module

FIGURES_PATH = "build/measures.json"
REPORT_PATH = "build/measures.html"
DEFAULT_SECONDS = 900.0
HISTORY_S = 30.0


@click.group()
def main():
    """Measure and check fleets of pomelograde."""


@main.command()
@click.option("--keys", default="", help="Keys to measure, by commas; all if empty.")
@click.option("--seconds", default=DEFAULT_SECONDS, help="Time for each experiment.")
@click.option("--baseline", default="", help="Figures of an earlier run, as JSON.")
@click.option("--output", default=FIGURES_PATH, help="File for the figures.")
@click.option("--html", default=REPORT_PATH, help="File for the report.")
def measures(keys, seconds, baseline, output, html):
    """Measure both deployments; write the figures and a report.

    \b
    Examples:
      python -m measure measures --keys forwarder_ratio --seconds 60
      python -m measure measures --baseline earlier.json
    """
    chosen = _check_keys(keys)
    earlier = figures.read(baseline) if baseline else None
    found = figures.Figures()
    for produced, run in experiments.EXPERIMENTS:
        if chosen.intersection(produced):
            found.merge(run(seconds))
            figures.write(found.summarize(), output)
            report.write(found, html, earlier)
    for line in figures.describe(found.summarize(), earlier):
        click.echo(line)


@main.command()
@click.option("--kinds", default="killed,isolated,paused", help="Kinds of faults.")
@click.option("--count", default=50, help="Failovers of each kind.")
@click.option("--deployments", "names", default="bollette,alliance")
@click.option("--seed", default=1, help="Seed of the callers' choices.")
def failover(kinds, count, names, seed):
    """Measure failovers of both deployments.

    \b
    Example:
      python -m measure failover --kinds killed --count 6
    """
    found = experiments.run_failovers(
        0.0, tuple(kinds.split(",")), count, tuple(names.split(",")), seed
    )
    for line in figures.describe(found.summarize()):
        click.echo(line)
    for key, runs in found.runs.items():
        for condition, value in runs.items():
            click.echo(f"  {key}, {condition}: {value:.4g}")


@main.command()
@click.option("--seed", default=1, help="Seed of faults and callers.")
@click.option("--seconds", default=HISTORY_S, help="Length of the run.")
@click.option("--deployment", default="bollette", help="bollette or alliance.")
def history(seed, seconds, deployment):
    """Run a fleet with random faults and check its history.

    \b
    Example:
      python -m measure history --seed 7 --seconds 20
    """
    recorded = chaos.run(chaos.find_deployment(deployment), seed, seconds)
    violations = chaos.report(recorded)
    click.echo(f"seed {seed}: {violations} violations")
    sys.exit(1 if violations else 0)


@main.command("matrix")
@click.option("--protocol", default="", help="Only the steps of this protocol.")
@click.option("--pairs/--no-pairs", default=True, help="Pairs of the worst faults.")
@click.option("--seed", default=1, help="Seed of the callers' choices.")
@click.option("--parallel", default=matrix.PARALLEL, help="Fleets at a time.")
def run_matrix(protocol, pairs, seed, parallel):
    """Have every fault strike at every step of the protocols.

    \b
    Example:
      python -m measure matrix --protocol failover --no-pairs
    """
    chosen = [
        cell for cell in matrix.cells(pairs) if protocol in ("", cell.step.protocol)
    ]
    verdicts = []
    for verdict in matrix.run(chosen, seed, parallel):
        verdicts.append(verdict)
        click.echo(f"{len(verdicts)}/{len(chosen)} {verdict.text}", err=True)
    sys.exit(1 if matrix.report(verdicts) else 0)


@main.command()
@click.option("--sample", default=slopes_module.SAMPLE_S, help="Seconds of a sample.")
def slopes(sample):
    """Measure what an idle daemon spends, by instances and databases."""
    _, fitted = slopes_module.run(sample_s=sample)
    for one in fitted:
        click.echo(
            f"{one.name}: {one.base:.4g} + {one.by_instance:.4g} an instance "
            f"+ {one.by_service:.4g} a database"
        )


@main.command("explore")
@click.option("--seconds", default=300.0, help="When to start no further seed.")
@click.option("--examples", default=200, help="Schedules for each machine and seed.")
@click.option("--first-seed", default=1, help="First seed.")
def run_explore(seconds, examples, first_seed):
    """Run the core's state machines with many seeds."""
    passed, failed = explore.run(seconds, examples, first_seed)
    click.echo(f"{passed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


def _check_keys(keys):
    chosen = set(filter(None, keys.split(","))) or set(figures.TARGETS)
    unknown = sorted(chosen - set(figures.TARGETS))
    if unknown:
        raise click.UsageError(f"unknown keys: {', '.join(unknown)}")
    return chosen


main.add_command(programs.program)
