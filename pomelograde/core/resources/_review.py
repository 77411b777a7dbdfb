"""Review of resources before an operator applies them."""

import attrs

from pomelograde.core import review
from pomelograde.core.resources import _configuration, _kinds, _references

FIRST_REVISION = 1


def review_resources(items, current):
    """Apply resources to a configuration, and report what is wrong.

    Parameters
    ----------
    items : list
        JSON values with ``kind``, ``name`` and ``spec``, in the order in which
        they will be sent.
    current : Configuration
        Configuration that they apply to; an empty one if it isn't known.

    Returns
    -------
    findings : list of Finding
        What an instance would refuse, then entries that can never match and
        limits that contradict each other.
    configuration : Configuration
        Configuration with the resources that an instance would accept.
    """
    findings = []
    paths = {}
    configuration = current
    for number, item in enumerate(items):
        path = f"$[{number}]"
        faults, spec = _check_item(item, configuration)
        findings.extend(review.error(*_locate(path, fault)) for fault in faults)
        if faults:
            continue
        kind, name = item["kind"], item["name"]
        if (kind, name) in paths:
            findings.append(
                review.warning(path, f"replaces {kind}/{name} of {paths[(kind, name)]}")
            )
        paths[(kind, name)] = path
        configuration = configuration.apply(
            _configuration.Resource(
                kind, name, spec, configuration.revision + FIRST_REVISION
            )
        )
    findings.extend(_review_whole(configuration, paths))
    return findings, configuration


def _check_item(item, configuration):
    """Return the faults that an instance would refuse an item for, and its spec."""
    if not isinstance(item, dict) or not {"kind", "name", "spec"} <= set(item):
        return ["expected an object with kind, name and spec @ $"], None
    kind, name, spec = item["kind"], item["name"], item["spec"]
    if not isinstance(kind, str) or kind not in _kinds.KINDS:
        kinds = ", ".join(sorted(_kinds.KINDS))
        return [f"must be one of {kinds}, got {kind!r} @ $.kind"], None
    if not isinstance(name, str):
        return ["expected a string @ $.name"], None
    if kind == "keys" and isinstance(spec, dict) and "verifier" not in spec:
        return _check_issued_key(name, spec, configuration)
    checked = _kinds.validate(kind, spec)
    if checked.is_err():
        return [
            fault.replace("@ $", "@ $.spec", 1) for fault in checked.err_value
        ], None
    spec = checked.ok_value
    return _references.check_change(configuration, kind, name, spec), spec


def _check_issued_key(name, spec, configuration):
    """Check the spec of a key whose verifier an instance makes."""
    withdrawn = spec.get("withdrawn", False)
    account = spec.get("account")
    faults = [
        f"unknown field {field} @ $.spec"
        for field in sorted(set(spec) - {"account", "withdrawn"})
    ]
    if not isinstance(account, str) or not account:
        faults.append("must name an account @ $.spec.account")
    if not isinstance(withdrawn, bool):
        faults.append("must be true or false @ $.spec.withdrawn")
    if faults:
        return faults, None
    known = configuration.get("keys", name)
    verifier = None if known is None else known.verifier
    key = _kinds.ClientAccountKey(account, verifier, withdrawn)
    return _references.check_change(configuration, "keys", name, key), key


def _locate(path, fault):
    """Return path and message of a fault that ends in the path of its field."""
    message, _, place = fault.rpartition(" @ $")
    return path + place, message


def _review_whole(configuration, paths):
    """Yield findings on how the resources work together."""
    keys = configuration.of_kind("keys").values()
    with_keys = {key.spec.account for key in keys if not key.spec.withdrawn}
    for name, account in configuration.of_kind("accounts").items():
        path = paths.get(("accounts", name), f"accounts/{name}")
        if name not in with_keys:
            yield review.warning(
                path, f"account {name!r} has no key, so that no caller can use it"
            )
        if account.spec.burst < 1.0:
            yield review.error(
                path,
                f"account {name!r}: a burst of {account.spec.burst:g} never holds "
                "the one token that a request takes",
            )
    seen = {}
    for name, rule in configuration.of_kind("rules").items():
        path = paths.get(("rules", name), f"rules/{name}")
        spec = rule.spec
        if spec.account and spec.account not in with_keys:
            yield review.warning(
                path,
                f"rule {name!r} can never match: account {spec.account!r} has no key",
            )
        if not spec.open:
            other = seen.setdefault((spec.service, spec.account), name)
            if other != name:
                yield review.error(
                    path,
                    f"rule {name!r} can never match: {other!r} is for the same "
                    "service and account",
                )
    yield from _review_services(configuration, paths)


def _review_services(configuration, paths):
    for name, service in configuration.of_kind("services").items():
        path = paths.get(("services", name), f"services/{name}")
        if all(member.leaving for member in service.spec.members):
            yield review.error(path, f"service {name!r}: all members are leaving")
        if service.spec.replica_wait_s > service.spec.statement_timeout_s:
            yield review.warning(
                path,
                f"service {name!r}: reads may wait {service.spec.replica_wait_s:g} s "
                "for a replica, longer than the timeout of statements of "
                f"{service.spec.statement_timeout_s:g} s",
            )


def compare_resources(current, new):
    """Return the Changes from the configuration in force to a new one.

    Parameters
    ----------
    current, new : Configuration
        Configuration in force, and the one after all resources were applied.
    """
    changes = []
    for key in sorted({*current.resources, *new.resources}):
        before, after = current.get(*key), new.get(*key)
        subject = "/".join(key)
        if before is None:
            changes.append(review.Change(subject, "added"))
        elif after is None:
            changes.append(review.Change(subject, "removed"))
        elif before != after:
            changes.append(
                review.Change(
                    subject, _describe_difference(before, after), _effect(before, after)
                )
            )
    return changes


def _describe_difference(before, after):
    return ", ".join(
        f"{field.name} changed"
        if field.name in ("verifier", "members")
        else f"{field.name} {getattr(before, field.name)!r} to "
        f"{getattr(after, field.name)!r}"
        for field in attrs.fields(type(before))
        if getattr(before, field.name) != getattr(after, field.name)
    )


def _effect(before, after):
    """Return what callers notice of a change."""
    if isinstance(after, _kinds.ClientAccountKey):
        if after.withdrawn and not before.withdrawn:
            return "sessions of the key end"
        if after.verifier != before.verifier:
            return "sessions of the old key end"
    if isinstance(after, _kinds.ClientAccount) and (
        after.rate_per_s < before.rate_per_s or after.burst < before.burst
    ):
        return "requests above it are refused"
    return ""
