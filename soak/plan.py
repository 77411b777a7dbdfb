"""Random schedule of faults, derived from a seed."""

import random

import attrs

INITIAL_DELAY_S = 1.0  # before the first fault, so that callers are being served
FAULT_KINDS = (
    "kill",
    "pause",
    "restart",
    "store_link_silent",
    "store_link_one_way",
    "store_link_reset",
    "store_link_slow",
    "store_silent",
    "store_refuses",
    "store_slow",
    "store_loses_answers",
    "primary_crash",
    "primary_leaves",
    "replica_lags",
    "answers_lost",
)
LEADERSHIP_KINDS = (
    "promotion_late",
    "row_lapses",
    "connections_reset",
    "connections_silent",
)


@attrs.frozen
class Fault:
    """A scheduled fault.

    Attributes
    ----------
    start_s, duration_s : float
        Start, in seconds after the start of the run, and duration.
    kind : str
        One of `FAULT_KINDS` or `LEADERSHIP_KINDS`, or one that `make_plan` names.
    instance : int
        Number of the instance that is affected. ``replica_lags`` derives a
        member from it; faults of the store and of the primary ignore it.
    """

    start_s: float
    duration_s: float
    kind: str
    instance: int


def make_plan(
    seed,
    seconds,
    instances,
    with_restores=False,
    with_evacuations=False,
    with_shifts=False,
    with_builds=False,
    with_leadership=False,
):
    """Return the faults of a run, ordered by their start.

    Parameters
    ----------
    seed : int
        Seed of the random generator; equal seeds give equal plans.
    seconds : float
        Time within which faults start.
    instances : int
        Number of running instances.
    with_restores : bool
        Whether the store also returns from copies: each fault of the kind
        ``store_restored`` starts with a copy and ends with the return to it. The
        other faults are the same with and without.
    with_evacuations : bool
        Whether operators also evacuate data centres and take that back: each
        fault of the kind ``evacuated`` affects the data centre of its instance.
    with_shifts : bool
        Whether members also start again under their name (``member_restart``),
        likewise.
    with_builds : bool
        Whether instances are replaced in turn by another build (``replace``), and
        all of them are killed at once (``kill_all``).
    with_leadership : bool
        Whether faults of `LEADERSHIP_KINDS` happen, too.

    Notes
    -----
    Faults may overlap. Only the loss of a primary (crash or leaving) ends at
    least 8 s before the next one starts, since a group of three members does
    not survive the loss of two; one that is drawn earlier kills an instance
    instead.
    """
    rng = random.Random(seed)
    faults = []
    next_start_s = INITIAL_DELAY_S
    next_primary_loss_s = 0.0
    while next_start_s < seconds:
        kind = rng.choice(FAULT_KINDS)
        duration_s = rng.uniform(0.3, 4.0)
        if kind in ("primary_crash", "primary_leaves"):
            if next_start_s < next_primary_loss_s:
                kind = "kill"
            else:
                next_primary_loss_s = next_start_s + duration_s + 8.0
        faults.append(Fault(next_start_s, duration_s, kind, rng.randrange(instances)))
        next_start_s += rng.expovariate(1.0)
    if with_restores:
        faults.extend(_plan_restores(seed, seconds))
    if with_evacuations:
        faults.extend(_plan_evacuations(seed, seconds, instances))
    if with_shifts:
        faults.extend(_plan_member_restarts(seed, seconds, instances))
    if with_builds:
        faults.extend(_plan_builds(seed, seconds, instances))
    if with_leadership:
        faults.extend(_plan_leadership(seed, seconds, instances))
    return sorted(faults, key=lambda fault: fault.start_s)


def _plan_member_restarts(seed, seconds, instances):
    rng = random.Random(f"{seed}/shifts")
    start_s = INITIAL_DELAY_S + rng.uniform(0.0, 3.0)
    while start_s < seconds:
        yield Fault(start_s, 0.0, "member_restart", rng.randrange(instances))
        start_s += rng.uniform(1.0, 8.0)


def _plan_leadership(seed, seconds, instances):
    """Yield faults around changes of the primary; each kind one after the other."""
    for kind in LEADERSHIP_KINDS:
        rng = random.Random(f"{seed}/{kind}")
        start_s = INITIAL_DELAY_S + rng.uniform(0.0, 5.0)
        while start_s < seconds:
            duration_s = rng.uniform(1.0, 6.0)
            yield Fault(start_s, duration_s, kind, rng.randrange(instances))
            start_s += duration_s + rng.uniform(1.0, 8.0)


def _plan_builds(seed, seconds, instances):
    """Yield replacements in turn, and at least one loss of all instances."""
    rng = random.Random(f"{seed}/builds")
    start_s = INITIAL_DELAY_S + rng.uniform(0.0, 2.0)
    number = rng.randrange(instances)
    while start_s < seconds:
        yield Fault(start_s, rng.uniform(0.1, 0.8), "replace", number % instances)
        number += 1
        start_s += rng.uniform(0.8, 2.5)
    yield Fault(rng.uniform(0.3, 0.9) * seconds, rng.uniform(0.1, 1.0), "kill_all", 0)


def _plan_restores(seed, seconds):
    """Yield the returns of the store, one after the other."""
    rng = random.Random(f"{seed}/restores")
    start_s = INITIAL_DELAY_S + rng.uniform(0.0, 3.0)
    while start_s < seconds:
        duration_s = rng.uniform(0.5, 5.0)
        yield Fault(start_s, duration_s, "store_restored", 0)
        start_s += duration_s + rng.uniform(0.2, 6.0)


def _plan_evacuations(seed, seconds, instances):
    """Yield the evacuations, one after the other and most longer than their bound."""
    rng = random.Random(f"{seed}/evacuations")
    start_s = INITIAL_DELAY_S + rng.uniform(0.0, 2.0)
    while start_s < seconds:
        duration_s = rng.uniform(4.0, 12.0)
        yield Fault(start_s, duration_s, "evacuated", rng.randrange(instances))
        start_s += duration_s + rng.uniform(0.1, 3.0)
