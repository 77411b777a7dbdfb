"""Throughput and latency beside a bare forwarder."""

from measure import figures, throughput

KEYS = ("forwarder_ratio", "added_latency_ms")


def run(seconds):
    """Measure `forwarder_ratio` and `added_latency_ms`.

    Parameters
    ----------
    seconds : float
        Time for the whole experiment, roughly.

    Returns
    -------
    Figures
        Both figures, the ratio by mix.
    """
    runs = throughput.REPETITIONS * throughput.RUNS_PER_TURN
    compared = throughput.compare(max(1.0, seconds / runs))
    found = figures.Figures()
    for load in ("reads", "mix"):
        ratio = compared.ratio(load, "core_rates")
        found.add("forwarder_ratio", f"{load}, per core second", ratio)
        found.add("forwarder_ratio", f"{load}, by the clock", compared.ratio(load))
    found.add("added_latency_ms", "one caller", compared.added_latency_ms())
    for load, subject in compared.series:
        rate = compared.median(load, subject)
        found.series.setdefault("statements a second", []).append(
            (f"{load} {subject}", rate)
        )
    return found
