"""Throughput and latency compared with a minimal forwarder."""

from measure import figures, throughput

KEYS = ("forwarder_ratio", "added_latency_ms")


def run(seconds):
    """Measure `forwarder_ratio` and `added_latency_ms`.

    Parameters
    ----------
    seconds : float
        Approximate duration of the experiment.

    Returns
    -------
    Figures
        Both figures; the ratio for each load.
    """
    runs = throughput.REPETITIONS * throughput.RUNS_PER_TURN
    comparison = throughput.compare(max(1.0, seconds / runs))
    measured = figures.Figures()
    for load in ("reads", "mix"):
        ratio = comparison.ratio(load, "core_rates")
        measured.add("forwarder_ratio", f"{load}, per core second", ratio)
        measured.add("forwarder_ratio", f"{load}, by the clock", comparison.ratio(load))
    measured.add("added_latency_ms", "one caller", comparison.added_latency_ms())
    for load, subject in comparison.series:
        rate = comparison.median(load, subject)
        measured.series.setdefault("statements a second", []).append(
            (f"{load} {subject}", rate)
        )
    return measured
