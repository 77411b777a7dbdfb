"""Scarce connections: how a pool shares them between client accounts.

Drives the core pool of one instance before one member, without sockets:
callers of several client accounts ask again a think time after each answer.

Example
-------
``python -m measure.pooling --limit 2 --accounts 8``
"""

import heapq
import itertools

import attrs
import click

from pomelograde.core import pooling
from pomelograde.core.pooling import _pool

THINK_S = 0.02
PATIENCE_S = 1e6


@attrs.frozen
class Load:
    """What the callers do.

    Attributes
    ----------
    limit : int
        Connections of the pool.
    accounts : int
        Client accounts; the first one has `noisy` callers, the others `quiet`.
    service_s, open_s : float
        Time of a statement and of opening a connection.
    duration_s : float
        Simulated time.
    """

    limit: int = 2
    accounts: int = 8
    quiet: int = 4
    noisy: int = 40
    service_s: float = 0.002
    open_s: float = 0.01
    duration_s: float = 20.0


class Experiment:
    """One run of the pool under a load.

    Parameters
    ----------
    load : Load
        What the callers do.
    """

    def __init__(self, load):
        self.load = load
        self.pool = pooling.Pool(load.limit)
        self.events = []
        self.numbers = itertools.count()
        self.roles = {}
        self.waits = {f"account-{n}": [] for n in range(load.accounts)}
        self.opens = 0

    def run(self):
        """Run to the end and return this object."""
        for account in self.waits:
            first = account == "account-0"
            for _ in range(self.load.noisy if first else self.load.quiet):
                self._schedule(0.0, self._ask, account)
        now = 0.0
        while self.events and now <= self.load.duration_s:
            now, _, work, argument = heapq.heappop(self.events)
            work(now, argument)
        return self

    def rates(self):
        """Return the statements a second of each client account."""
        return {
            account: len(waits) / self.load.duration_s
            for account, waits in self.waits.items()
        }

    def quiet_waits(self):
        """Return the sorted times to an answer of the quiet accounts."""
        return sorted(
            wait
            for account, waits in self.waits.items()
            if account != "account-0"
            for wait in waits
        )

    def _schedule(self, at, work, argument):
        heapq.heappush(self.events, (at, next(self.numbers), work, argument))

    def _carry_out(self, now, actions):
        for action in actions:
            if isinstance(action, pooling.Assign):
                self._schedule(now + self.load.service_s, self._end, action)
            elif isinstance(action, pooling.Open):
                self.opens += 1
                self._schedule(now + self.load.open_s, self._opened, action.role)

    def _ask(self, now, account):
        waiter = pooling.Waiter(account, account, now + PATIENCE_S, now)
        self._carry_out(now, self.pool.request(waiter, now))

    def _opened(self, now, role):
        connection = next(self.numbers)
        self.roles[connection] = role
        self._carry_out(now, self.pool.opened(connection, role, now))

    def _end(self, now, action):
        account = action.waiter.account
        self.waits[account].append(now - action.waiter.context)
        role = self.roles[action.connection]
        self._carry_out(now, self.pool.release(action.connection, role, now))
        self._schedule(now + THINK_S, self._ask, account)


@click.command()
@click.option("--limit", default=2, help="Connections of the pool.")
@click.option("--accounts", default=8, help="Client accounts.")
def main(limit, accounts):
    """Compare tenures of database roles on scarce connections.

    \b
    Example:
      python -m measure.pooling --limit 2 --accounts 8
    """
    for tenure_s in (0.0, 0.01, 0.03, 0.06, 0.1):
        _pool.ROLE_RETENTION_S = tenure_s
        experiment = Experiment(Load(limit=limit, accounts=accounts)).run()
        rates = experiment.rates()
        quiet = [rate for name, rate in rates.items() if name != "account-0"]
        waits = experiment.quiet_waits()
        click.echo(
            f"tenure {tenure_s * 1000:.0f} ms: {sum(rates.values()):.0f} statements/s, "
            f"worst account {min(quiet):.1f}/s, noisy {rates['account-0']:.0f}/s, "
            f"quiet p50 {waits[len(waits) // 2] * 1000:.0f} ms, "
            f"p99 {waits[int(len(waits) * 0.99)] * 1000:.0f} ms, "
            f"opened {experiment.opens / experiment.load.duration_s:.0f}/s"
        )


if __name__ == "__main__":
    main()
