"""Linear fit of an idle daemon's costs over instances and databases."""

import attrs
import click
import numpy

from measure import experiments
from pomelograde.standins import deployments

SIZES = ((2, 3), (4, 3), (7, 3), (12, 3), (7, 1), (7, 6))
SAMPLE_S = 15.0


@attrs.frozen
class Slopes:
    """Linear fit of one cost.

    Attributes
    ----------
    name : str
        Field of `ControlCost`.
    base, by_instance, by_service : float
        Constant part, and increase for each instance and each database.
    """

    name: str
    base: float
    by_instance: float
    by_service: float

    def at(self, instances, services):
        """Return the fitted cost of a fleet size."""
        return self.base + self.by_instance * instances + self.by_service * services


def run(sizes=SIZES, sample_s=SAMPLE_S):
    """Measure idle fleets of several sizes.

    Parameters
    ----------
    sizes : tuple of (int, int)
        Numbers of instances and databases.
    sample_s : float
        Length of each sample.

    Returns
    -------
    tuple of (list of ControlCost, list of Slopes)
        Samples, and a linear fit for each cost.
    """
    costs = []
    for instances, services in sizes:
        deployment = attrs.evolve(
            deployments.BOLLETTE, services=tuple(f"db{n}" for n in range(services))
        )
        cost = experiments.measure_idle(deployment, instances, sample_s)
        click.echo(_describe(cost))
        costs.append(cost)
    names = ("core_share", "bytes_s", "memory_mb")
    return costs, [_fit(costs, name) for name in names]


def _fit(costs, name):
    matrix = numpy.array([[1.0, cost.instances, cost.services] for cost in costs])
    values = numpy.array([getattr(cost, name) for cost in costs])
    coefficients, *_ = numpy.linalg.lstsq(matrix, values, rcond=None)
    return Slopes(name, *map(float, coefficients))


def _describe(cost):
    return (
        f"{cost.instances} instances, {cost.services} databases: "
        f"core share {cost.core_share:.4f}, {cost.bytes_s:.0f} B/s, "
        f"{cost.memory_mb:.1f} MB"
    )
