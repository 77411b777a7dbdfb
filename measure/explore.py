"""Runs the state machine tests of the core with many seeds."""

import importlib
import inspect
import pkgutil
import time
import traceback

import click
import hypothesis
from hypothesis import core, stateful

import tests.core

MAX_STEPS = 50


def find_machines():
    """Return the state machines in the tests of the core, by qualified name."""
    machines = {}
    package = tests.core
    for info in pkgutil.walk_packages(package.__path__, f"{package.__name__}."):
        module = importlib.import_module(info.name)
        for value in vars(module).values():
            if _is_machine(value) and value.__module__ == module.__name__:
                machines[f"{module.__name__}.{value.__name__}"] = value
    return machines


def run(seconds, examples, first_seed=1):
    """Run all machines with one seed after another.

    Parameters
    ----------
    seconds : float
        Time after which no further seed is started.
    examples : int
        Runs of each machine for each seed.
    first_seed : int
        First seed.

    Returns
    -------
    tuple of (int, int)
        Numbers of pairs of machine and seed that passed and that failed.
    """
    machines = find_machines()
    end = time.monotonic() + seconds
    passed = failed = 0
    seed = first_seed
    while time.monotonic() < end and machines:
        for name, machine in sorted(machines.items()):
            if _run_machine(machine, seed, examples):
                passed += 1
            else:
                failed += 1
                click.echo(f"FAILED: {name} with seed {seed}")
        click.echo(f"seed {seed}: {passed} passed, {failed} failed")
        seed += 1
    return passed, failed


def _run_machine(machine, seed, examples):
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=MAX_STEPS,
        deadline=None,
        database=None,
        derandomize=False,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    core.global_force_seed = seed
    try:
        stateful.run_state_machine_as_test(machine, settings=settings)
    except Exception:
        click.echo(traceback.format_exc(limit=-3))
        return False
    finally:
        core.global_force_seed = None
    return True


def _is_machine(value):
    machine = stateful.RuleBasedStateMachine
    return (
        inspect.isclass(value) and issubclass(value, machine) and value is not machine
    )
