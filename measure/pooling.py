"""Simulates how a pool shares scarce connections between client accounts.

Drives the core pool of one instance for one member with simulated time and without
sockets. Each caller sends its next request a think time after an answer.

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
WAIT_TIMEOUT_S = 1e6


@attrs.frozen
class Load:
    """Load of a simulation.

    Attributes
    ----------
    limit : int
        Maximum number of connections of the pool.
    accounts : int
        Number of client accounts.
    quiet, noisy : int
        Callers of each account but the first, and of the first account.
    service_s, open_s : float
        Duration of a statement and of opening a connection.
    duration_s : float
        Simulated duration.
    """

    limit: int = 2
    accounts: int = 8
    quiet: int = 4
    noisy: int = 40
    service_s: float = 0.002
    open_s: float = 0.01
    duration_s: float = 20.0


class Simulation:
    """Event-driven simulation of a pool under a load.

    Parameters
    ----------
    load : Load
        Pool size, callers and durations.
    """

    def __init__(self, load):
        self.load = load
        self.pool = pooling.Pool(load.limit)
        self.events = []
        self.counter = itertools.count()
        self.roles = {}
        self.waits = {f"account-{n}": [] for n in range(load.accounts)}
        self.opens = 0

    def run(self):
        """Run the simulation; returns this object."""
        for account in self.waits:
            is_noisy = account == "account-0"
            for _ in range(self.load.noisy if is_noisy else self.load.quiet):
                self._schedule(0.0, self._send_request, account)
        now = 0.0
        while self.events and now <= self.load.duration_s:
            now, _, handler, argument = heapq.heappop(self.events)
            handler(now, argument)
        return self

    def rates(self):
        """Return the statements per second of each client account."""
        return {
            account: len(waits) / self.load.duration_s
            for account, waits in self.waits.items()
        }

    def quiet_waits(self):
        """Return the sorted latencies of the accounts other than the noisy one."""
        return sorted(
            wait
            for account, waits in self.waits.items()
            if account != "account-0"
            for wait in waits
        )

    def _schedule(self, at, handler, argument):
        heapq.heappush(self.events, (at, next(self.counter), handler, argument))

    def _execute(self, now, actions):
        for action in actions:
            if isinstance(action, pooling.Assign):
                self._schedule(now + self.load.service_s, self._on_answer, action)
            elif isinstance(action, pooling.Open):
                self.opens += 1
                self._schedule(now + self.load.open_s, self._on_opened, action.role)

    def _send_request(self, now, account):
        waiter = pooling.Waiter(account, account, now + WAIT_TIMEOUT_S, now)
        self._execute(now, self.pool.request(waiter, now))

    def _on_opened(self, now, role):
        connection = next(self.counter)
        self.roles[connection] = role
        self._execute(now, self.pool.opened(connection, role, now))

    def _on_answer(self, now, action):
        account = action.waiter.account
        self.waits[account].append(now - action.waiter.context)
        role = self.roles[action.connection]
        self._execute(now, self.pool.release(action.connection, role, now))
        self._schedule(now + THINK_S, self._send_request, account)


@click.command()
@click.option("--limit", default=2, help="Maximum number of connections of the pool.")
@click.option("--accounts", default=8, help="Number of client accounts.")
def main(limit, accounts):
    """Compare retention times of database roles on scarce connections.

    \b
    Example:
      python -m measure.pooling --limit 2 --accounts 8
    """
    for retention_s in (0.0, 0.01, 0.03, 0.06, 0.1):
        _pool.ROLE_RETENTION_S = retention_s
        simulation = Simulation(Load(limit=limit, accounts=accounts)).run()
        rates = simulation.rates()
        quiet = [rate for name, rate in rates.items() if name != "account-0"]
        waits = simulation.quiet_waits()
        click.echo(
            f"role retention {retention_s * 1000:.0f} ms: "
            f"{sum(rates.values()):.0f} statements/s, "
            f"worst account {min(quiet):.1f}/s, noisy {rates['account-0']:.0f}/s, "
            f"quiet p50 {waits[len(waits) // 2] * 1000:.0f} ms, "
            f"p99 {waits[int(len(waits) * 0.99)] * 1000:.0f} ms, "
            f"opened {simulation.opens / simulation.load.duration_s:.0f}/s"
        )


if __name__ == "__main__":
    main()
