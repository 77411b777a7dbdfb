"""Compares a daemon's throughput and latency with a minimal frame forwarder's."""

from measure.throughput import _compare

compare = _compare.compare
processor_seconds = _compare.processor_seconds
REPETITIONS = _compare.REPETITIONS
RUNS_PER_TURN = _compare.RUNS_PER_TURN
