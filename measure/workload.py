"""Callers of a deployment: what they ask, where, and how often."""

import random

import attrs

from measure import history
from pomelograde.standins import deployments

TABLE_SETUP = (
    "CREATE TABLE entries (id BIGSERIAL PRIMARY KEY, caller TEXT NOT NULL, "
    "owner TEXT NOT NULL, value BIGINT NOT NULL)",
    "CREATE TABLE numbers (n BIGINT NOT NULL)",
)
VALUES_PER_CALLER = 1_000_000
TRANSACTION_STATEMENTS = 2


@attrs.frozen
class Mix:
    """Shares of the actions of a caller, and its pace.

    Attributes
    ----------
    write, transaction, echo : float
        Shares; the rest are reads.
    think_s : float
        Mean time between an answer and the next request.
    move_every : int
        Requests between two moves to another instance; 0 to stay.
    deadline_s : float
        Time limit that the caller sets; 0 for the service's own.
    """

    write: float = 0.08
    transaction: float = 0.01
    echo: float = 0.01
    think_s: float = 0.05
    move_every: int = 20
    deadline_s: float = 0.0


@attrs.frozen
class Caller:
    """One caller, which is one session.

    Attributes
    ----------
    name, account, service : str
        Who calls what.
    number : int
        Unique number, from which values and random choices follow.
    home : int
        Number of the instance that it starts at.
    mix : Mix
        What it does.
    """

    name: str
    account: str
    service: str
    number: int
    home: int
    mix: Mix


@attrs.frozen
class Instance:
    """Where an instance listens for callers."""

    name: str
    host: str
    port: int


@attrs.frozen
class Plan:
    """Work of one process of callers.

    Attributes
    ----------
    callers : list of Caller
        Its callers.
    instances : list of Instance
        Instances that they use.
    client_delay_s : float
        One-way delay between a caller and an instance.
    seed : int
        Seed of all random choices.
    path : str
        File for the history.
    """

    callers: list[Caller]
    instances: list[Instance]
    client_delay_s: float
    seed: int
    path: str


class Choices:
    """Random choices of one caller.

    Parameters
    ----------
    caller : Caller
        Who chooses.
    seed : int
        Seed of the run.
    """

    def __init__(self, caller, seed):
        self.caller = caller
        self.random = random.Random(f"{seed}/{caller.name}")
        self.next_value = caller.number * VALUES_PER_CALLER

    def action(self):
        """Return the next action."""
        mix = self.caller.mix
        drawn = self.random.random()
        if drawn < mix.write:
            return history.Action.WRITE
        if drawn < mix.write + mix.transaction:
            return history.Action.TRANSACTION
        if drawn < mix.write + mix.transaction + mix.echo:
            return history.Action.ECHO
        return history.Action.READ

    def values(self, action):
        """Return the values that an action carries."""
        counts = {
            history.Action.READ: 0,
            history.Action.TRANSACTION: TRANSACTION_STATEMENTS,
        }
        count = counts.get(action, 1)
        first = self.next_value
        self.next_value += count
        return tuple(range(first, first + count))

    def think_s(self):
        """Return the time until the next request."""
        return self.random.expovariate(1.0 / self.caller.mix.think_s)

    def instance(self, count):
        """Return the number of the next instance of `count`."""
        return self.random.randrange(count)


def make_callers(deployment, count, mix, first_number=1):
    """Return callers that are spread evenly over accounts and services."""
    return [
        Caller(
            name=f"{deployment.name}-{number}",
            account=deployment.accounts[number % len(deployment.accounts)],
            service=deployment.services[number % len(deployment.services)],
            number=number,
            home=number,
            mix=mix,
        )
        for number in range(first_number, first_number + count)
    ]


def password_of(account):
    """Return the key of an account in clear."""
    return deployments.password_of(account)
