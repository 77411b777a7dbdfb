"""HTML report with plots."""

import base64
import io
import pathlib

import jinja2
import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from measure import figures  # noqa: E402

TEMPLATE = "report.html"
PLOT_SIZE_INCHES = (8, 4)


def write(measured, path, baseline=None):
    """Write the report.

    Parameters
    ----------
    measured : Figures
        Figures and series of a run.
    path : str
        File to write.
    baseline : dict, default=None
        Summary of an earlier run, for comparison.
    """
    loader = jinja2.FileSystemLoader(pathlib.Path(__file__).parent / "templates")
    environment = jinja2.Environment(loader=loader, autoescape=True)
    text = environment.get_template(TEMPLATE).render(
        figures=measured.summarize(),
        targets=figures.TARGETS,
        baseline=baseline or {},
        plots={name: _plot(name, points) for name, points in measured.series.items()},
    )
    pathlib.Path(path).write_text(text, "utf-8")


def _plot(name, points):
    """Return a plot as a data URL; points of the same label share a row."""
    figure, axes = pyplot.subplots(figsize=PLOT_SIZE_INCHES)
    labels = list(dict.fromkeys(label for label, _ in points))
    for row, label in enumerate(labels):
        values = [value for point_label, value in points if point_label == label]
        axes.plot(values, [row] * len(values), "o", alpha=0.5)
    axes.set_yticks(range(len(labels)), labels, fontsize=6)
    axes.set_xlabel(name)
    axes.set_xlim(left=0.0)
    figure.tight_layout()
    buffer = io.BytesIO()
    figure.savefig(buffer, format="svg")
    pyplot.close(figure)
    encoded = base64.b64encode(buffer.getvalue()).decode("ascii")
    return f"data:image/svg+xml;base64,{encoded}"
