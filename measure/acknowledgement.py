"""Compares the two policies of acknowledging writes.

Writes through one instance of each data centre, then kills the primary while
its newest entries are on no other member.

Example
-------
``python -m measure.acknowledgement --lag 0.02 --lag 0.1``
"""

import statistics
import threading
import time

import attrs
import click
import psycopg

from measure import faults, fleets
from pomelograde.standins import deployments

POLICIES = ("majority", "lease")
INSTANCES = 3
WARM_UP_S = 3.0
STEADY_S = 4.0
FAILOVER_S = 5.0
ROUNDS = 2
FOLLOW_TIMEOUT_S = 10.0


@attrs.define
class Writer:
    """Writes one row after the other through an instance.

    Attributes
    ----------
    dsn : str
        Address of the instance.
    written : list of (str, float, float)
        Row, when it was sent and when it was acknowledged.
    """

    dsn: str
    name: str
    written: list = attrs.field(factory=list)
    stopped: bool = False

    def run(self):
        """Write until stopped."""
        connection = None
        number = 0
        while not self.stopped:
            number += 1
            row = f"{self.name}-{number}"
            sent_at = time.monotonic()
            try:
                if connection is None or connection.closed:
                    connection = psycopg.connect(self.dsn, autocommit=True)
                connection.execute(
                    "INSERT INTO readings (meter, kwh) VALUES (%s, 1)", (row,)
                )
            except psycopg.Error:
                continue
            self.written.append((row, sent_at, time.monotonic()))


def measure(lag_s, policy):
    """Measure one policy under one lag; returns a line of text."""
    deployment = deployments.BOLLETTE
    settings = fleets.FleetSettings(
        deployment, INSTANCES, lag_s=lag_s, acknowledgement=policy
    )
    with fleets.run_fleet(settings) as fleet:
        time.sleep(WARM_UP_S)
        writers, threads = _start_writers(fleet)
        time.sleep(STEADY_S)
        steady = [end - sent for one in writers for _, sent, end in one.written]
        gaps = [_fail_over(fleet, writers) for _ in range(ROUNDS)]
        for writer in writers:
            writer.stopped = True
        for thread in threads:
            thread.join()
        lost = _count_lost(fleet, writers)
    return (
        f"lag {lag_s * 1000:.0f} ms, {policy}: "
        f"median {statistics.median(steady) * 1000:.1f} ms of {len(steady)} writes, "
        f"worst write gap {max(gaps):.2f} s in {ROUNDS} kills, "
        f"{lost} of {sum(len(one.written) for one in writers)} acknowledged lost"
    )


def _dsn(fleet, instance):
    account = fleet.deployment.accounts[0]
    password = deployments.password_of(account)
    return (
        f"host={instance.host} port={instance.port} dbname=meters "
        f"user={account} password={password}"
    )


def _start_writers(fleet):
    writers = [
        Writer(_dsn(fleet, instance), f"w{number}")
        for number, instance in enumerate(fleet.instances())
    ]
    threads = [threading.Thread(target=writer.run, daemon=True) for writer in writers]
    for thread in threads:
        thread.start()
    return writers, threads


def _fail_over(fleet, writers):
    """Kill and restore the primary; returns the longest write gap."""
    primary = fleet.primary("meters")["name"]
    started_at = time.monotonic()
    faults.fail_member(fleet, "meters", primary, "killed")
    time.sleep(FAILOVER_S)
    faults.restore_member(fleet, "meters", primary)
    _wait_followed(fleet)
    times = sorted(end for one in writers for _, _, end in one.written)
    times = [started_at, *[end for end in times if end > started_at]]
    return max(
        later - earlier for earlier, later in zip(times, times[1:], strict=False)
    )


def _wait_followed(fleet):
    """Wait until all members follow one primary; writes go on meanwhile."""
    end = time.monotonic() + FOLLOW_TIMEOUT_S
    while len({one["leader"] for one in fleet.members("meters")}) > 1:
        if time.monotonic() > end:
            raise TimeoutError("members follow different primaries")
        time.sleep(0.05)


def _count_lost(fleet, writers):
    with psycopg.connect(_dsn(fleet, fleet.instances()[0])) as connection:
        rows = connection.execute("SELECT meter FROM readings").fetchall()
    found = {row[0] for row in rows}
    return sum(row not in found for one in writers for row, _, _ in one.written)


@click.command()
@click.option("--lag", "lags", multiple=True, default=(0.02, 0.1), help="Seconds.")
@click.option("--policy", "policies", multiple=True, default=POLICIES)
def main(lags, policies):
    """Print latency, write gap and loss of the policies."""
    for lag_s in lags:
        for policy in policies:
            click.echo(measure(lag_s, policy))


if __name__ == "__main__":
    main()
