"""Checks of a change against the configuration that it is made to."""

import functools
import re

from pomelograde.core.resources import _kinds

NAME = re.compile(r"[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?")
RESERVED_NAMES = frozenset({"pomelograde", "postgres"})


def check_change(configuration, kind, name, spec):
    """Check a change against the configuration that it would be made to.

    Parameters
    ----------
    configuration : Configuration
        Configuration in force.
    kind, name : str
        Resource to change.
    spec : object or None
        Checked spec; None for a deletion.

    Returns
    -------
    list of str
        Faults, each with the field's name.
    """
    if spec is None:
        return _check_unreferenced(configuration, kind, name)
    faults = []
    if not NAME.fullmatch(name) or name in RESERVED_NAMES:
        faults.append(
            "must be 1 to 63 lower-case letters, digits, '.', '_' or '-', not "
            f"{' or '.join(sorted(RESERVED_NAMES))} @ $.name"
        )
    return faults + check_references(spec, configuration, name)


@functools.singledispatch
def check_references(spec, configuration, name):
    """Return faults in what a spec refers to."""
    return []


@check_references.register
def _(spec: _kinds.ClientAccountKey, configuration, name):
    faults = _missing(configuration, "accounts", spec.account, "account")
    known = configuration.get("keys", name)
    was_withdrawn = known is not None and known.withdrawn
    if was_withdrawn and not spec.withdrawn and known.verifier == spec.verifier:
        faults.append("a withdrawn key can't be restored; rotate it @ $.spec.withdrawn")
    if configuration.get("rules", name) is not None:
        faults.append(f"a rule is named {name!r} already @ $.name")
    return faults


@check_references.register
def _(spec: _kinds.RoutingRule, configuration, name):
    faults = _missing(configuration, "services", spec.service, "service")
    if spec.account:
        faults += _missing(configuration, "accounts", spec.account, "account")
    if configuration.get("keys", name) is not None:
        faults.append(f"a key is named {name!r} already @ $.name")
    if spec.open and spec.account:
        faults.append("must be empty for an open rule @ $.spec.account")
    for field in ("rate_per_s", "burst"):
        if spec.open and not getattr(spec, field) > 0:
            faults.append(f"must be above 0 for an open rule @ $.spec.{field}")
    return faults


@check_references.register
def _(spec: _kinds.DatabaseService, configuration, name):
    names = [member.name for member in spec.members]
    repeated = sorted({one for one in names if names.count(one) > 1})
    return [f"{one!r} is given twice @ $.spec.members" for one in repeated]


def _missing(configuration, kind, name, field):
    if configuration.get(kind, name) is not None:
        return []
    return [f"{kind}/{name} does not exist @ $.spec.{field}"]


def _check_unreferenced(configuration, kind, name):
    field = {"accounts": "account", "services": "service"}.get(kind)
    if field is None:
        return []
    users = [
        f"{its_kind}/{its_name}"
        for (its_kind, its_name), found in sorted(configuration.resources.items())
        if getattr(found.spec, field, None) == name
        and not getattr(found.spec, "withdrawn", False)
    ]
    if not users:
        return []
    return [f"still used by {', '.join(users)} @ $.name"]
