"""Throughput and latency of a daemon beside a bare frame forwarder."""

from measure.throughput import _compare

compare = _compare.compare
REPETITIONS = _compare.REPETITIONS
RUNS_PER_TURN = _compare.RUNS_PER_TURN
