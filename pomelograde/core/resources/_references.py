"""Checks a change against the configuration that it applies to."""

import functools
import re

from pomelograde.core.resources import _kinds

NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?")
RESERVED_NAMES = frozenset({"pomelograde", "postgres"})


def check_change(configuration, kind, name, spec):
    """Check a change against the configuration that it would apply to.

    Parameters
    ----------
    configuration : Configuration
        Configuration in force.
    kind, name : str
        Kind and name of the resource to change.
    spec : object or None
        Validated spec; None for a deletion.

    Returns
    -------
    list of str
        Error messages, each with the path of the field.
    """
    if spec is None:
        return _check_unreferenced(configuration, kind, name)
    errors = []
    if not is_valid_name(name):
        errors.append(
            "must be 1 to 63 lower-case letters, digits, '.', '_' or '-', not "
            f"{' or '.join(sorted(RESERVED_NAMES))} @ $.name"
        )
    return errors + check_references(spec, configuration, name)


def is_valid_name(name):
    """Return whether a resource may have a name."""
    return bool(NAME_PATTERN.fullmatch(name)) and name not in RESERVED_NAMES


@functools.singledispatch
def check_references(spec, configuration, name):
    """Return error messages on the references and cross-field rules of a spec."""
    return []


@check_references.register
def _(spec: _kinds.ClientAccountKey, configuration, name):
    errors = _check_exists(configuration, "accounts", spec.account, "account")
    current = configuration.get("keys", name)
    was_withdrawn = current is not None and current.withdrawn
    if was_withdrawn and not spec.withdrawn and current.verifier == spec.verifier:
        errors.append("a withdrawn key can't be restored; rotate it @ $.spec.withdrawn")
    if configuration.get("rules", name) is not None:
        errors.append(f"a rule is named {name!r} already @ $.name")
    return errors


@check_references.register
def _(spec: _kinds.RoutingRule, configuration, name):
    errors = _check_exists(configuration, "services", spec.service, "service")
    if spec.account:
        errors += _check_exists(configuration, "accounts", spec.account, "account")
    if configuration.get("keys", name) is not None:
        errors.append(f"a key is named {name!r} already @ $.name")
    if spec.open and spec.account:
        errors.append("must be empty for an open rule @ $.spec.account")
    for field in ("rate_per_s", "burst"):
        if spec.open and not getattr(spec, field) > 0:
            errors.append(f"must be above 0 for an open rule @ $.spec.{field}")
    return errors


@check_references.register
def _(spec: _kinds.DatabaseService, configuration, name):
    names = [member.name for member in spec.members]
    duplicates = sorted(
        {duplicate for duplicate in names if names.count(duplicate) > 1}
    )
    return [
        f"{duplicate!r} is given twice @ $.spec.members" for duplicate in duplicates
    ]


def _check_exists(configuration, kind, name, field):
    if configuration.get(kind, name) is not None:
        return []
    return [f"{kind}/{name} does not exist @ $.spec.{field}"]


def _check_unreferenced(configuration, kind, name):
    field = {"accounts": "account", "services": "service"}.get(kind)
    if field is None:
        return []
    referrers = [
        f"{other_kind}/{other_name}"
        for (other_kind, other_name), other in sorted(configuration.resources.items())
        if getattr(other.spec, field, None) == name
        and not getattr(other.spec, "withdrawn", False)
    ]
    if not referrers:
        return []
    return [f"still used by {', '.join(referrers)} @ $.name"]
