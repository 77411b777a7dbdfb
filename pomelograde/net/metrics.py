"""Counters, gauges and latency histograms of one daemon."""

import hdrh.histogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 2
MAX_PENDING_LATENCIES = 2000  # distinct values


class Counter:
    """A counter with one label, cheap enough to update for each statement.

    Parameters
    ----------
    name, documentation : str
        Name and help text of the metric.
    label : str
        Name of the label.

    Attributes
    ----------
    values : dict of str to int
        Counts by label value.
    """

    def __init__(self, name, documentation, label):
        self.name = name
        self.documentation = documentation
        self.label = label
        self.values = {}


class Gauge:
    """A value that goes up and down, with labels.

    Parameters
    ----------
    name, documentation : str
        Name and help text of the metric.
    labels : tuple of str
        Names of the labels.

    Attributes
    ----------
    values : dict of tuple of str to float
        Values by label values.
    """

    def __init__(self, name, documentation, labels=()):
        self.name = name
        self.documentation = documentation
        self.labels = labels
        self.values = {} if labels else {(): 0.0}

    def set(self, value, *label_values):
        """Set the value for a combination of label values."""
        self.values[label_values] = value


class Metrics:
    """All metrics of one daemon.

    Attributes
    ----------
    counters : list of Counter
        All counters.
    gauges : list of Gauge
        All gauges.
    collectors : list of callable
        Called before the gauges are read, to set those that are worked out then.
    refusals, retries, statements, reads, proofs, cold_requests, room_refusals : Counter
        Counters by label value.
    latencies : dict of str to hdrh.histogram.HdrHistogram
        Latencies in microseconds by name of the timed operation.
    pending_latencies : dict of str to dict of int to int
        Counts of latencies that aren't in their histogram yet. Adding equal
        latencies at once is cheaper than one by one.
    """

    def __init__(self):
        self.counters = []
        self.gauges = []
        self.collectors = []
        self.refusals = self.add_counter(
            "pomelograde_refusals", "Answers with an error of the proxy.", "reason"
        )
        self.retries = self.add_counter(
            "pomelograde_retries", "Further attempts at a statement.", "reason"
        )
        self.statements = self.add_counter(
            "pomelograde_statements", "Statements by class.", "statement_class"
        )
        self.proofs = self.add_counter(
            "pomelograde_read_proofs",
            "Reads by what proved that the member holds the session's writes.",
            "proof",
        )
        self.reads = self.add_counter(
            "pomelograde_reads", "Reads by the role of the upstream.", "upstream_role"
        )
        self.operator_answers = self.add_counter(
            "pomelograde_operator_answers", "Answers to operators.", "status"
        )
        self.promotions = self.add_counter(
            "pomelograde_promotions", "Promotions started here.", "reason"
        )
        self.acknowledgements = self.add_counter(
            "pomelograde_acknowledgements", "Writes that waited.", "outcome"
        )
        self.cold_requests = self.add_counter(
            "pomelograde_cold_requests", "Requests to cold members.", "member"
        )
        self.room_refusals = self.add_counter(
            "pomelograde_room_refusals",
            "Waiters for a member that were refused, by what they had no time for.",
            "cause",
        )
        self.connections = self.add_gauge(
            "pomelograde_caller_connections", "Open caller connections."
        )
        self.latencies = {}
        self.pending_latencies = {}

    def set_build(self, build):
        """Register the gauge that names the build."""
        gauge = self.add_gauge(
            "pomelograde_build_info", "The build that runs, with the value 1.", "build"
        )
        gauge.set(1.0, build)

    def add_counter(self, name, documentation, label):
        """Register and return a `Counter`."""
        counter = Counter(name, documentation, label)
        self.counters.append(counter)
        return counter

    def add_gauge(self, name, documentation, *labels):
        """Register and return a gauge."""
        gauge = Gauge(name, documentation, labels)
        self.gauges.append(gauge)
        return gauge

    def count(self, counter, value, amount=1):
        """Add an amount to a counter for a label value."""
        counter.values[value] = counter.values.get(value, 0) + amount

    def record(self, name, seconds):
        """Record a latency.

        Parameters
        ----------
        name : str
            Name of the timed operation.
        seconds : float
            Duration in seconds.
        """
        counts = self.pending_latencies.setdefault(name, {})
        microseconds = int(seconds * 1e6)
        counts[microseconds] = counts.get(microseconds, 0) + 1
        if len(counts) >= MAX_PENDING_LATENCIES:
            self._record_histogram(name, counts)

    def _record_histogram(self, name, counts):
        """Move pending latencies to their histogram."""
        histogram = self.latencies.get(name)
        if histogram is None:
            histogram = hdrh.histogram.HdrHistogram(
                MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
            )
            self.latencies[name] = histogram
        for microseconds, count in counts.items():
            value = min(MAX_LATENCY_US, max(MIN_LATENCY_US, microseconds))
            histogram.record_value(value, count)
        counts.clear()

    def flush_pending(self):
        """Move all pending latencies to their histograms."""
        for name, counts in self.pending_latencies.items():
            self._record_histogram(name, counts)
