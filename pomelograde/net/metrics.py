"""Counters, gauges and latency histograms of one daemon."""

import hdrh.histogram
import prometheus_client

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """All figures of one daemon.

    Attributes
    ----------
    registry : prometheus_client.CollectorRegistry
        What the metrics address shows.
    refusals, retries, statements, reads : prometheus_client.Counter
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
        self.reads = self.add_counter(
            "pomelograde_reads", "Reads by the role of the upstream.", "upstream_role"
        )
        self.connections = prometheus_client.Gauge(
            "pomelograde_caller_connections",
            "Open caller connections.",
            registry=self.registry,
        )
        self.latencies = {}
        self.hot = {}

    def add_counter(self, name, text, *labels):
        """Register and return a counter."""
        return prometheus_client.Counter(name, text, labels, registry=self.registry)

    def add_gauge(self, name, text, *labels):
        """Register and return a gauge."""
        return prometheus_client.Gauge(name, text, labels, registry=self.registry)

    def count(self, counter, label):
        """Add one to a labelled counter, with its child looked up once."""
        key = (counter, label)
        child = self.hot.get(key)
        if child is None:
            child = self.hot[key] = counter.labels(label)
        child.inc()

    def record(self, name, seconds):
        """Record a latency.

        Parameters
        ----------
        name : str
            What was timed.
        seconds : float
            How long it took.
        """
        histogram = self.latencies.get(name)
        if histogram is None:
            histogram = hdrh.histogram.HdrHistogram(
                LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
            )
            self.latencies[name] = histogram
        histogram.record_value(max(LOWEST_US, int(seconds * 1e6)))

    def summarize(self):
        """Return counters and latency percentiles as a JSON value."""
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
