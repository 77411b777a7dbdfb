"""Experiments, each of which yields some of the figures."""

from measure.experiments import _failover, _throughput

run_failovers = _failover.run

EXPERIMENTS = (
    (("forwarder_ratio", "added_latency_ms"), _throughput.run),
    (_failover.KEYS, _failover.run),
)
