"""Command line of the measuring tool."""

import json
import sys

import click

from measure import (
    chaos,
    experiments,
    explore,
    figures,
    matrix,
    programs,
    refusals,
    report,
    simulation,
)
from measure import slopes as slopes_module

FIGURES_PATH = "build/measures.json"
REPORT_PATH = "build/measures.html"
DEFAULT_SECONDS = 900.0
HISTORY_S = 30.0


@click.group()
def main():
    """Measure and check fleets of pomelograde."""


@main.command()
@click.option(
    "--keys", default="", help="Comma-separated keys to measure; all if empty."
)
@click.option("--seconds", default=DEFAULT_SECONDS, help="Time for each experiment.")
@click.option(
    "--baseline", default="", help="JSON file with the figures of an earlier run."
)
@click.option(
    "--output", default=FIGURES_PATH, help="JSON file to write the figures to."
)
@click.option("--html", default=REPORT_PATH, help="HTML file to write the report to.")
def measures(keys, seconds, baseline, output, html):
    """Measure both deployments and write the figures and a report.

    \b
    Examples:
      python -m measure measures --keys forwarder_ratio --seconds 60
      python -m measure measures --baseline earlier.json
    """
    selected = _parse_keys(keys)
    earlier = figures.read(baseline) if baseline else None
    measured = figures.Figures()
    for keys_of_experiment, run in experiments.EXPERIMENTS:
        if selected.intersection(keys_of_experiment):
            measured.merge(run(seconds))
            figures.write(measured.summarize(), output)
            report.write(measured, html, earlier)
    for line in figures.describe(measured.summarize(), earlier):
        click.echo(line)


@main.command()
@click.option(
    "--kinds", default="killed,isolated,paused", help="Comma-separated kinds of faults."
)
@click.option("--count", default=50, help="Failovers of each kind.")
@click.option("--deployments", "names", default="bollette,alliance")
@click.option("--seed", default=1, help="Seed of the callers' requests.")
def failover(kinds, count, names, seed):
    """Measure failovers of the deployments.

    \b
    Example:
      python -m measure failover --kinds killed --count 6
    """
    measured = experiments.run_failovers(
        0.0, tuple(kinds.split(",")), count, tuple(names.split(",")), seed
    )
    for line in figures.describe(measured.summarize()):
        click.echo(line)
    for key, runs in measured.runs.items():
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
@click.option(
    "--pairs/--no-pairs",
    default=True,
    help="Whether to inject pairs of the most severe faults as well.",
)
@click.option("--seed", default=1, help="Seed of the callers' requests.")
@click.option(
    "--parallel",
    default=matrix.PARALLEL_FLEETS,
    help="Number of fleets that run at the same time.",
)
def run_matrix(protocol, pairs, seed, parallel):
    """Inject every fault at every step of the protocols.

    \b
    Example:
      python -m measure matrix --protocol failover --no-pairs
    """
    selected = [
        cell for cell in matrix.cells(pairs) if protocol in ("", cell.step.protocol)
    ]
    results = []
    for result in matrix.run(selected, seed, parallel):
        results.append(result)
        click.echo(f"{len(results)}/{len(selected)} {result.text}", err=True)
    sys.exit(1 if matrix.report(results) else 0)


@main.command()
@click.option(
    "--sample", default=slopes_module.SAMPLE_S, help="Length of a sample in seconds."
)
def slopes(sample):
    """Measure an idle daemon's costs by number of instances and databases."""
    _, fitted = slopes_module.run(sample_s=sample)
    for one in fitted:
        click.echo(
            f"{one.name}: {one.base:.4g} + {one.by_instance:.4g} an instance "
            f"+ {one.by_service:.4g} a database"
        )


@main.command("explore")
@click.option(
    "--seconds", default=300.0, help="Time after which no further seed is started."
)
@click.option(
    "--examples", default=200, help="Runs of each state machine for each seed."
)
@click.option("--first-seed", default=1, help="First seed.")
def run_explore(seconds, examples, first_seed):
    """Run the state machine tests of the core with many seeds."""
    passed, failed = explore.run(seconds, examples, first_seed)
    click.echo(f"{passed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


@main.command("days")
@click.option("--seconds", default=60.0, help="Time after which no day is started.")
@click.option("--first-seed", default=1, help="Seed of the first day.")
@click.option(
    "--without",
    type=click.Choice(sorted(simulation.REVERTED)),
    help="Put a mended fault back, and end with the first broken day.",
)
def play_days(seconds, first_seed, without):
    """Play days of a fleet on simulated time, with faults around new primaries.

    \b
    Examples:
      PYTHONHASHSEED=0 python -m measure days --seconds 600
      PYTHONHASHSEED=0 python -m measure days --without review-10
    """
    outcomes = simulation.explore(seconds, first_seed, without or "")
    broken = sum(outcome.is_broken for outcome in outcomes)
    promotions = sum(outcome.promotions for outcome in outcomes)
    click.echo(f"{len(outcomes)} days, {promotions} promotions, {broken} broken")
    sys.exit(1 if broken else 0)


@main.command("refusals")
@click.argument("log", type=click.File("r"))
@click.option("--since", default=float("-inf"), help="Seconds from which to count.")
@click.option("--until", default=float("inf"), help="Seconds until which to count.")
@click.option("--id", "request_id", default="", help="Show one request's lines only.")
@click.option("--account", default="", help="Count one client account only.")
@click.option("--by-second", is_flag=True, help="Show one line for each second.")
def show_refusals(log, since, until, request_id, account, by_second):
    """Table the refused and failed statements of a fleet's logs by their cause.

    LOG holds the lines of all instances, in any order; "-" is standard input.

    \b
    Examples:
      python -m measure refusals fleet.log --since 30 --until 36
      python -m measure refusals fleet.log --account desk --by-second
      python -m measure refusals fleet.log --id 9513903a26480b80
    """
    lines = refusals.read_lines(log)
    if account:
        lines = refusals.select_account(lines, account)
    if request_id:
        for line in refusals.follow(lines, request_id):
            click.echo(f"{line.at:.3f} {line.instance} {json.dumps(line.fields)}")
        return
    counted = [line for line in lines if since <= line.at < until]
    found = [
        refusal
        for refusal in refusals.find_refusals(lines)
        if since <= refusal.line.at < until
    ]
    if by_second:
        for second, served, causes in refusals.tabulate_seconds(counted, found):
            counts = [f"{count} {cause}" for cause, count in causes.most_common()]
            click.echo(f"{second:6d} s {served:6d} served  {'; '.join(counts)}")
        return
    served = refusals.count_served(counted)
    click.echo(f"{served} statements served, {len(found)} not")
    for cause, count, share, middle_ms, most_ms in refusals.tabulate(found, served):
        click.echo(
            f"{count:7d} {share:7.2%} {middle_ms:8.1f} ms {most_ms:8.1f} ms  {cause}"
        )


def _parse_keys(keys):
    selected = set(filter(None, keys.split(","))) or set(figures.TARGETS)
    unknown = sorted(selected - set(figures.TARGETS))
    if unknown:
        raise click.UsageError(f"unknown keys: {', '.join(unknown)}")
    return selected


main.add_command(programs.program)
