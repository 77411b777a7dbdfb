"""Experiments; each measures some of the figures."""

from measure.experiments import _control, _failover, _service, _throughput

measure_idle = _control.measure_idle
run_failovers = _failover.run

EXPERIMENTS = (
    (_throughput.KEYS, _throughput.run),
    (_service.KEYS, _service.run),
    (_control.KEYS, _control.run),
    (_failover.KEYS, _failover.run),
)
