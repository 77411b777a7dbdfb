"""Throughput and latency of a daemon beside a bare frame forwarder."""

from measure.throughput import _compare

compare = _compare.compare
processor_seconds = _compare.processor_seconds
REPETITIONS = _compare.REPETITIONS
RUNS_PER_TURN = _compare.RUNS_PER_TURN
