"""Counters, gauges and latency histograms of one daemon."""

import hdrh.histogram
import prometheus_client
import prometheus_client.core

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
MAX_UNRECORDED = 2000  # distinct latencies


class Counter:
    """A counter with one label, cheap enough for each statement.

    Parameters
    ----------
    name, text : str
        Name and help text.
    label : str
        Name of the label.

    Attributes
    ----------
    values : dict of str to int
        Counts by value of the label.
    """

    def __init__(self, name, text, label):
        self.name = name
        self.text = text
        self.label = label
        self.values = {}

    def collect(self):
        """Return the metric families, as a registry wants them."""
        family = prometheus_client.core.CounterMetricFamily(
            self.name, self.text, labels=[self.label]
        )
        for value, count in sorted(self.values.items()):
            family.add_metric([value], count)
        return [family]

    def describe(self):
        """Return the metric families without values."""
        return [
            prometheus_client.core.CounterMetricFamily(
                self.name, self.text, labels=[self.label]
            )
        ]


class Metrics:
    """All figures of one daemon.

    Attributes
    ----------
    registry : prometheus_client.CollectorRegistry
        What the metrics address shows.
    refusals, retries, statements, reads, proofs : Counter
        Counters by label.
    latencies : dict of str to hdrh.histogram.HdrHistogram
        Latencies in microseconds by what was timed.
    """

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
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
        self.connections = prometheus_client.Gauge(
            "pomelograde_caller_connections",
            "Open caller connections.",
            registry=self.registry,
        )
        self.latencies = {}
        self.unrecorded = {}

    def add_counter(self, name, text, label):
        """Register and return a `Counter`."""
        counter = Counter(name, text, label)
        self.registry.register(counter)
        return counter

    def add_gauge(self, name, text, *labels):
        """Register and return a gauge."""
        return prometheus_client.Gauge(name, text, labels, registry=self.registry)

    def count(self, counter, value, amount=1):
        """Add to a counter, for a value of its label."""
        counter.values[value] = counter.values.get(value, 0) + amount

    def record(self, name, seconds):
        """Record a latency.

        Parameters
        ----------
        name : str
            What was timed.
        seconds : float
            How long it took.
        """
        counts = self.unrecorded.setdefault(name, {})
        microseconds = int(seconds * 1e6)
        counts[microseconds] = counts.get(microseconds, 0) + 1
        if len(counts) >= MAX_UNRECORDED:
            self._record_all(name, counts)

    def _record_all(self, name, counts):
        """Move latencies to their histogram, equal ones together."""
        histogram = self.latencies.get(name)
        if histogram is None:
            histogram = hdrh.histogram.HdrHistogram(
                LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
            )
            self.latencies[name] = histogram
        for microseconds, count in counts.items():
            value = min(HIGHEST_US, max(LOWEST_US, microseconds))
            histogram.record_value(value, count)
        counts.clear()

    def _flush(self):
        for name, counts in self.unrecorded.items():
            self._record_all(name, counts)

    def summarize(self):
        """Return counters and latency percentiles as a JSON value."""
        self._flush()
        counters = {}
        for family in self.registry.collect():
            for sample in family.samples:
                if sample.name.endswith("_created"):
                    continue
                label = ",".join(sample.labels.values())
                counters.setdefault(sample.name, {})[label] = sample.value
        latencies = {
            name: {
                f"p{percentile:g}_us": histogram.get_value_at_percentile(percentile)
                for percentile in PERCENTILES
            }
            for name, histogram in self.latencies.items()
        }
        return {"counters": counters, "latencies": latencies}

    def expose(self):
        """Return the text exposition of all figures."""
        self._flush()
        text = prometheus_client.generate_latest(self.registry)
        lines = []
        for name, histogram in sorted(self.latencies.items()):
            metric = f"pomelograde_{name}_seconds"
            lines.append(f"# TYPE {metric} summary")
            for percentile in PERCENTILES:
                value = histogram.get_value_at_percentile(percentile) / 1e6
                quantile = percentile / 100.0
                lines.append(f'{metric}{{quantile="{quantile:g}"}} {value}')
            lines.append(f"{metric}_count {histogram.get_total_count()}")
        return text + "\n".join(lines).encode("utf-8") + b"\n"
