"""Which faults strike when, from a seed."""

import random

import attrs

QUIET_S = 1.0  # before the first fault, so that the fleet serves
KINDS = (
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


@attrs.frozen
class Fault:
    """One fault.

    Attributes
    ----------
    at_s, for_s : float
        When it begins, and how long it lasts.
    kind : str
        One of `KINDS`.
    number : int
        Instance or member that it strikes.
    """

    at_s: float
    for_s: float
    kind: str
    number: int


def make_plan(seed, seconds, instances):
    """Return the faults of a run, in order.

    Parameters
    ----------
    seed : int
        The same seed gives the same plan.
    seconds : float
        Length of the run.
    instances : int
        Running instances.

    Notes
    -----
    Faults overlap as they come. Only the crash of a primary is kept apart from
    the next one, since a group of three does not survive two.
    """
    chance = random.Random(seed)
    found = []
    at_s = QUIET_S
    crash_free_s = 0.0
    while at_s < seconds:
        kind = chance.choice(KINDS)
        for_s = chance.uniform(0.3, 4.0)
        if kind in ("primary_crash", "primary_leaves"):
            if at_s < crash_free_s:
                kind = "kill"
            else:
                crash_free_s = at_s + for_s + 8.0
        found.append(Fault(at_s, for_s, kind, chance.randrange(instances)))
        at_s += chance.expovariate(1.0)
    return found
