"""Plays one day after another."""

import time

import click

from measure.simulation import _days, _reverted


def explore(seconds, first_seed=1, without=""):
    """Play days until a time is over, or until one is broken that should be.

    Parameters
    ----------
    seconds : float
        Time after which no further day is started.
    first_seed : int
        Seed of the first day; the next ones follow.
    without : str
        Name in `REVERTED` of a mended fault that is put back; empty for none. Then
        the first broken day is the last one.

    Returns
    -------
    list of Outcome
        All days.
    """
    end = time.monotonic() + seconds
    outcomes = []
    with _reverted.put_back(without):
        while time.monotonic() < end:
            outcome, _ = _days.play(first_seed + len(outcomes))
            outcomes.append(outcome)
            if outcome.is_broken:
                _show(outcome)
                if without:
                    break
    return outcomes


def _show(outcome):
    click.echo(f"seed {outcome.seed}:")
    for name, found in outcome.found.items():
        if found:
            click.echo(f"  {name}: {len(found)}, first {found[0]}")
    for fault in outcome.faults:
        click.echo(f"  {fault.describe()}")
