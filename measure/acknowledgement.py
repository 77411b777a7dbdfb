"""Compares the policies for acknowledging writes under replication lag.

Writes through several instances, one in each data centre, and kills the primary
while its latest log entries are on no other member.

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
STEADY_STATE_S = 4.0
FAILOVER_S = 5.0
ROUNDS = 2
FOLLOW_TIMEOUT_S = 10.0


@attrs.define
class Writer:
    """Writes rows one after another through an instance.

    Attributes
    ----------
    dsn : str
        Connection string of the instance.
    name : str
        Prefix of the rows.
    written : list of (str, float, float)
        Acknowledged rows with the times of the request and the answer.
    stopped : bool
        Set to end the thread.
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
    """Measure one policy at one replication lag; returns a line of text."""
    deployment = deployments.BOLLETTE
    settings = fleets.FleetSettings(
        deployment, INSTANCES, lag_s=lag_s, acknowledgement=policy
    )
    with fleets.run_fleet(settings) as fleet:
        time.sleep(WARM_UP_S)
        writers, threads = _start_writers(fleet)
        time.sleep(STEADY_STATE_S)
        latencies = [
            answered_at - sent_at
            for writer in writers
            for _, sent_at, answered_at in writer.written
        ]
        gaps = [_fail_over(fleet, writers) for _ in range(ROUNDS)]
        for writer in writers:
            writer.stopped = True
        for thread in threads:
            thread.join()
        lost = _count_lost(fleet, writers)
    return (
        f"lag {lag_s * 1000:.0f} ms, {policy}: "
        f"median {statistics.median(latencies) * 1000:.1f} ms "
        f"of {len(latencies)} writes, "
        f"worst write gap {max(gaps):.2f} s in {ROUNDS} kills, "
        f"{lost} of {sum(len(writer.written) for writer in writers)} acknowledged lost"
    )


def _make_dsn(fleet, instance):
    account = fleet.deployment.accounts[0]
    password = deployments.password_of(account)
    return (
        f"host={instance.host} port={instance.port} dbname=meters "
        f"user={account} password={password}"
    )


def _start_writers(fleet):
    writers = [
        Writer(_make_dsn(fleet, instance), f"w{number}")
        for number, instance in enumerate(fleet.instances())
    ]
    threads = [threading.Thread(target=writer.run, daemon=True) for writer in writers]
    for thread in threads:
        thread.start()
    return writers, threads


def _fail_over(fleet, writers):
    """Kill and restore the primary; returns the longest time without a write."""
    primary = fleet.primary("meters")["name"]
    started_at = time.monotonic()
    faults.fail_member(fleet, "meters", primary, "killed")
    time.sleep(FAILOVER_S)
    faults.restore_member(fleet, "meters", primary)
    _wait_until_followed(fleet)
    times = sorted(
        answered_at for writer in writers for _, _, answered_at in writer.written
    )
    times = [started_at, *[time_s for time_s in times if time_s > started_at]]
    return max(
        later - earlier for earlier, later in zip(times, times[1:], strict=False)
    )


def _wait_until_followed(fleet):
    """Wait until all members follow one primary while writers keep writing."""
    deadline = time.monotonic() + FOLLOW_TIMEOUT_S
    while len({member["leader"] for member in fleet.members("meters")}) > 1:
        if time.monotonic() > deadline:
            raise TimeoutError("members follow different primaries")
        time.sleep(0.05)


def _count_lost(fleet, writers):
    with psycopg.connect(_make_dsn(fleet, fleet.instances()[0])) as connection:
        rows = connection.execute("SELECT meter FROM readings").fetchall()
    stored = {row[0] for row in rows}
    return sum(row not in stored for writer in writers for row, _, _ in writer.written)


@click.command()
@click.option(
    "--lag",
    "lags",
    multiple=True,
    default=(0.02, 0.1),
    help="Replication lag in seconds.",
)
@click.option("--policy", "policies", multiple=True, default=POLICIES)
def main(lags, policies):
    """Print write latency, write gap and lost writes for each policy and lag."""
    for lag_s in lags:
        for policy in policies:
            click.echo(measure(lag_s, policy))


if __name__ == "__main__":
    main()
