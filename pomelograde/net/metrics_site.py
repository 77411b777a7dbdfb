"""HTTP endpoint of the metrics."""

from twisted.web import resource

from pomelograde.net import exposition


class MetricsResource(resource.Resource):
    """``/metrics`` in the Prometheus text format.

    Parameters
    ----------
    metrics : Metrics
        Metrics of the daemon.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, metrics):
        super().__init__()
        self.metrics = metrics

    def render_GET(self, request):  # noqa: N802
        """Return all metrics."""
        request.setHeader("content-type", exposition.CONTENT_TYPE)
        return exposition.expose(self.metrics)
