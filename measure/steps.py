"""Steps of the daemon's protocols, discovered from its state machines."""

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


def load_modules():
    """Import and return all modules that may define steps."""
    found_modules = []
    for name in PACKAGES:
        package = importlib.import_module(name)
        found_modules.append(package)
        for info in pkgutil.walk_packages(package.__path__, f"{name}."):
            if not info.name.endswith("__main__"):
                found_modules.append(importlib.import_module(info.name))
    return found_modules


def step_enums():
    """Return the enumerations of steps by protocol."""
    enums = {}
    for module in load_modules():
        for value in vars(module).values():
            if not (inspect.isclass(value) and issubclass(value, enum.Enum)):
                continue
            if value.__name__ in STEP_ENUMS:
                protocol = value.__module__.removeprefix("pomelograde.").split(".")[1]
                enums[protocol] = value
    return enums


def all_steps():
    """Return all steps by protocol, in the order of their definition."""
    return [
        StepName(protocol, member.name)
        for protocol, steps in sorted(step_enums().items())
        for member in steps
    ]


def watch(on_step):
    """Call a function whenever an object of the daemon enters a step.

    Parameters
    ----------
    on_step : callable
        Takes a `StepName`.

    Notes
    -----
    An object enters a step when one of its attributes is set to a member of one
    of the enumerations.
    """
    protocols = {steps: name for name, steps in step_enums().items()}
    for module in load_modules():
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
