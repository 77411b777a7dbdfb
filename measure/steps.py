"""Named steps of the daemon's protocols, found in its own state machines."""

import enum
import importlib
import inspect
import pkgutil

import attrs

STEP_ENUMS = ("Step", "Phase")
PACKAGES = ("pomelograde.core", "pomelograde.net", "pomelograde.daemon")


@attrs.frozen
class StepName:
    """One step of one protocol.

    Attributes
    ----------
    protocol : str
        Package that defines the steps, such as "failover".
    step : str
        Name of the step.
    """

    protocol: str
    step: str


def modules():
    """Return all modules that may hold steps."""
    found = []
    for name in PACKAGES:
        package = importlib.import_module(name)
        found.append(package)
        for info in pkgutil.walk_packages(package.__path__, f"{name}."):
            if not info.name.endswith("__main__"):
                found.append(importlib.import_module(info.name))
    return found


def step_enums():
    """Return the enumerations of steps, by protocol."""
    found = {}
    for module in modules():
        for value in vars(module).values():
            if not (inspect.isclass(value) and issubclass(value, enum.Enum)):
                continue
            if value.__name__ in STEP_ENUMS:
                protocol = value.__module__.removeprefix("pomelograde.").split(".")[1]
                found[protocol] = value
    return found


def all_steps():
    """Return all steps, in the order in which the code lists them."""
    return [
        StepName(protocol, member.name)
        for protocol, steps in sorted(step_enums().items())
        for member in steps
    ]


def watch(on_step):
    """Call a function whenever an object of the daemon reaches a step.

    Parameters
    ----------
    on_step : callable
        Takes a `StepName`.

    Notes
    -----
    A step is reached when an attribute is set to a member of one of the
    enumerations.
    """
    protocols = {steps: name for name, steps in step_enums().items()}
    for module in modules():
        for value in list(vars(module).values()):
            if inspect.isclass(value) and value.__module__ == module.__name__:
                _watch_class(value, protocols, on_step)


def _watch_class(watched, protocols, on_step):
    if issubclass(watched, (enum.Enum, BaseException)):
        return
    set_attribute = watched.__setattr__

    def set_watched(self, name, value):
        set_attribute(self, name, value)
        protocol = protocols.get(type(value))
        if protocol is not None:
            on_step(StepName(protocol, value.name))

    if not _is_frozen(watched):
        watched.__setattr__ = set_watched


def _is_frozen(watched):
    return "frozen" in getattr(watched.__setattr__, "__name__", "")
