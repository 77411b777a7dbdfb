"""Workload of the callers of a deployment."""

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
    """Shares of the actions of a caller, and its timing.

    Attributes
    ----------
    write, transaction, echo : float
        Shares of these actions; the others are reads.
    think_s : float
        Mean time between an answer and the next request.
    move_every : int
        Number of requests after which the caller changes instances; 0 for never.
    deadline_s : float
        Deadline that the caller sets; 0 for the default of the service.
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
        Session, client account and database. The name seeds the random choices.
    number : int
        Unique number, from which the written values follow.
    home : int
        Number of the instance that it connects to first.
    mix : Mix
        Shares and timing of its actions.
    """

    name: str
    account: str
    service: str
    number: int
    home: int
    mix: Mix


@attrs.frozen
class Instance:
    """Address of an instance for callers."""

    name: str
    host: str
    port: int


@attrs.frozen
class Plan:
    """Work of one caller process.

    Attributes
    ----------
    callers : list of Caller
        Callers that the process runs.
    instances : list of Instance
        Instances that they connect to.
    client_delay_s : float
        One-way delay between a caller and an instance.
    seed : int
        Seed of the callers' random choices.
    path : str
        File that the history is written to.
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
        Caller whose choices these are.
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
        draw = self.random.random()
        if draw < mix.write:
            return history.Action.WRITE
        if draw < mix.write + mix.transaction:
            return history.Action.TRANSACTION
        if draw < mix.write + mix.transaction + mix.echo:
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
        """Return the time to wait before the next request."""
        return self.random.expovariate(1.0 / self.caller.mix.think_s)

    def instance(self, count):
        """Return the number of the next instance among `count`."""
        return self.random.randrange(count)


def make_callers(deployment, count, mix, first_number=1):
    """Return callers, distributed evenly over client accounts and databases."""
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
    """Return the key of a client account in plain text."""
    return deployments.password_of(account)
