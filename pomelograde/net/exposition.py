"""Texts and summaries of the metrics, and their HTTP endpoint."""

import prometheus_client
import prometheus_client.core

PERCENTILES = (50.0, 90.0, 99.0, 99.9)
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class MetricsCollector:
    """Collector of a Prometheus registry that reads the metrics of a daemon.

    Parameters
    ----------
    metrics : Metrics
        Metrics of the daemon.
    """

    def __init__(self, metrics):
        self.metrics = metrics

    def collect(self):
        """Yield a metric family for each counter and gauge."""
        for counter in self.metrics.counters:
            family = prometheus_client.core.CounterMetricFamily(
                counter.name, counter.documentation, labels=[counter.label]
            )
            for value, count in sorted(counter.values.items()):
                family.add_metric([value], count)
            yield family
        for update in self.metrics.collectors:
            update()
        for gauge in self.metrics.gauges:
            family = prometheus_client.core.GaugeMetricFamily(
                gauge.name, gauge.documentation, labels=gauge.labels
            )
            for label_values, value in sorted(gauge.values.items()):
                family.add_metric(label_values, value)
            yield family


def summarize(metrics):
    """Return counters and latency percentiles as a JSON value."""
    metrics.flush_pending()
    counters = {}
    for family in MetricsCollector(metrics).collect():
        for sample in family.samples:
            label = ",".join(sample.labels.values())
            counters.setdefault(sample.name, {})[label] = sample.value
    latencies = {
        name: {
            f"p{percentile:g}_us": histogram.get_value_at_percentile(percentile)
            for percentile in PERCENTILES
        }
        for name, histogram in metrics.latencies.items()
    }
    return {"counters": counters, "latencies": latencies}


def expose(metrics):
    """Return all metrics in the Prometheus text format."""
    metrics.flush_pending()
    registry = prometheus_client.CollectorRegistry()
    registry.register(MetricsCollector(metrics))
    text = prometheus_client.generate_latest(registry)
    lines = []
    for name, histogram in sorted(metrics.latencies.items()):
        metric = f"pomelograde_{name}_seconds"
        lines.append(f"# TYPE {metric} summary")
        for percentile in PERCENTILES:
            value = histogram.get_value_at_percentile(percentile) / 1e6
            quantile = percentile / 100.0
            lines.append(f'{metric}{{quantile="{quantile:g}"}} {value}')
        lines.append(f"{metric}_count {histogram.get_total_count()}")
    return text + "\n".join(lines).encode("utf-8") + b"\n"
