"""Measured figures, their targets and the comparison with an earlier run."""

import json
import math
import operator
import pathlib

import attrs

COMPARISONS = {"at least": operator.ge, "at most": operator.le}


@attrs.frozen
class Target:
    """Target of a figure.

    Attributes
    ----------
    value : float
        Bound of the figure.
    comparison : str
        "at least" for a lower bound, "at most" for an upper bound.
    """

    value: float
    comparison: str = "at most"

    def met(self, value):
        """Return whether a figure is within the bound; NaN is not."""
        return not math.isnan(value) and COMPARISONS[self.comparison](value, self.value)

    def worst(self, values):
        """Return the least favourable figure; NaN if any is NaN."""
        figures = list(values)
        if any(math.isnan(value) for value in figures):
            return math.nan
        return min(figures) if self.comparison == "at least" else max(figures)


TARGETS = {
    "replica_read_share": Target(0.95, "at least"),
    "stale_session_reads": Target(0),
    "lost_acknowledged_writes": Target(0),
    "doubled_writes": Target(0),
    "write_gap_s": Target(2.0),
    "worst_account_on_time": Target(0.99, "at least"),
    "wrongful_refusals": Target(0),
    "excess_admitted": Target(0),
    "withdrawn_key_s": Target(3.0),
    "in_force_s": Target(3.0),
    "leaving_member_s": Target(3.0),
    "forwarder_ratio": Target(0.6, "at least"),
    "added_latency_ms": Target(0.5),
    "control_core_share": Target(0.012),
    "control_bytes_s": Target(11_000),
    "control_mb": Target(64),
}


@attrs.define
class Figures:
    """Figures of a run, by key and measuring condition.

    Attributes
    ----------
    runs : dict of str to dict of str to float
        Figure by key and condition.
    series : dict of str to list
        Labelled points of each plot, by name of the plot.
    """

    runs: dict = attrs.field(factory=dict)
    series: dict = attrs.field(factory=dict, repr=False)

    def add(self, key, condition, value):
        """Add a figure."""
        self.runs.setdefault(key, {})[condition] = float(value)

    def merge(self, other):
        """Add the figures of another run."""
        for key, runs in other.runs.items():
            self.runs.setdefault(key, {}).update(runs)
        for name, points in other.series.items():
            self.series.setdefault(name, []).extend(points)

    def summarize(self):
        """Return the worst value, target and conditions of each key as a JSON value."""
        summary = {}
        for key, target in TARGETS.items():
            if key not in self.runs:
                continue
            value = target.worst(self.runs[key].values())
            summary[key] = {
                "value": value,
                "target": target.value,
                "met": target.met(value),
                "conditions": self.runs[key],
            }
        return summary


def write(summary, path):
    """Write a summary to a JSON file, replacing the file."""
    path = pathlib.Path(path)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(summary, indent=2) + "\n", "utf-8")


def read(path):
    """Read a summary from a JSON file."""
    return json.loads(pathlib.Path(path).read_text("utf-8"))


def describe(summary, baseline=None):
    """Return a line of text for each figure, with the baseline's if there is one."""
    lines = []
    for key, entry in summary.items():
        comparison = TARGETS[key].comparison
        verdict = "met" if entry["met"] else "MISSED"
        line = f"{key}: {entry['value']:.4g} ({comparison} {entry['target']:g}, "
        line += f"{verdict})"
        if baseline and key in baseline:
            line += f", was {baseline[key]['value']:.4g}"
        lines.append(line)
    return lines
