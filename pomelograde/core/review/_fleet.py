"""Review of the configuration of a fleet on a hosting platform."""

import attrs

from pomelograde.core.placement import _group
from pomelograde.core.review import _findings
from pomelograde.core.statements import _statements

_PRIMARY = _statements.RouteType.PRIMARY


@attrs.frozen
class FleetEntries:
    """Entries of a configuration document, in the order of the document.

    Unlike a FleetConfiguration, it holds entries whose names occur twice.

    Attributes
    ----------
    routes : list of Entry of Route
        Routes.
    accounts : list of Entry of ClientAccount
        Client accounts.
    services : list of Entry of DatabaseService
        Database services.
    """

    routes: list
    accounts: list
    services: list


def review_fleet(entries):
    """Return the Findings on a configuration that can be decoded.

    Parameters
    ----------
    entries : FleetEntries
        Entries of the document.
    """
    return [
        *_review_names(entries),
        *_review_routes(entries),
        *_review_accounts(entries),
        *_review_services(entries),
        *_review_regions(entries),
    ]


def _review_names(entries):
    """Yield findings on entries that are hidden by a later one."""
    for kind, group, name_of in (
        ("route", entries.routes, lambda route: route.database),
        ("account", entries.accounts, lambda account: account.name),
        ("service", entries.services, lambda service: service.name),
    ):
        last = {name_of(entry.value): entry for entry in group}
        for entry in group:
            name = name_of(entry.value)
            if last[name] is not entry:
                yield _findings.error(
                    entry.path,
                    f"{kind} {name!r} can never match: "
                    f"{last[name].path} has the same name",
                )


def _review_routes(entries):
    services = {entry.value.name for entry in entries.services}
    for entry in entries.routes:
        route = entry.value
        name = f"route {route.database!r}"
        if route.service not in services:
            yield _findings.error(
                entry.path, f"{name}: service {route.service!r} does not exist"
            )
        for field, value in (
            ("time limit", route.timeout_s),
            ("latency objective", route.latency_objective_s),
        ):
            if not value > 0.0:
                yield _findings.error(
                    entry.path,
                    f"{name}: a {field} of {value:g} s refuses every statement",
                )
        if route.latency_objective_s > route.timeout_s > 0.0:
            yield _findings.warning(
                entry.path,
                f"{name}: a latency objective of {route.latency_objective_s:g} s is "
                f"above the time limit of {route.timeout_s:g} s, after which a "
                "statement is given up",
            )
        limited = route.max_staleness_s != float("inf")
        if route.route_type is _PRIMARY and limited:
            yield _findings.warning(
                entry.path,
                f"{name}: a limit of {route.max_staleness_s:g} s on staleness has "
                "no effect, as all statements go to the primary",
            )
        elif limited and route.max_staleness_s <= _group.STALENESS_MARGIN_S:
            yield _findings.warning(
                entry.path,
                f"{name}: no replica can prove a staleness of at most "
                f"{route.max_staleness_s:g} s (the margin is "
                f"{_group.STALENESS_MARGIN_S:g} s), so all reads go to the primary",
            )


def _review_accounts(entries):
    owner_by_key = {}
    for entry in entries.accounts:
        account = entry.value
        name = f"account {account.name!r}"
        if not account.keys:
            yield _findings.warning(
                entry.path, f"{name} has no key, so that no caller can use it"
            )
        for key in account.keys:
            other = owner_by_key.setdefault(key, entry)
            if other is not entry and other.value.name != account.name:
                yield _findings.error(
                    entry.path,
                    f"{name} has a key that {other.path} has too; "
                    "its callers count as one of the two accounts",
                )
        if not account.rate_per_s > 0.0:
            yield _findings.error(
                entry.path, f"{name}: a rate of 0 a second refuses every operation"
            )
        elif account.burst < 1.0:
            yield _findings.error(
                entry.path,
                f"{name}: a burst of {account.burst:g} never holds the one token "
                "that an operation takes",
            )


def _review_services(entries):
    used = {entry.value.service for entry in entries.routes}
    for entry in entries.services:
        service = entry.value
        name = f"service {service.name!r}"
        if service.name not in used:
            yield _findings.warning(entry.path, f"{name} is used by no route")
        if service.max_connections < 1:
            yield _findings.error(
                entry.path,
                f"{name}: a limit of {service.max_connections} connections "
                "refuses every statement",
            )
        if service.cold_rate_per_s > 0.0 and not service.cold_start_s > 0.0:
            yield _findings.warning(
                entry.path,
                f"{name}: a rate of {service.cold_rate_per_s:g} a second for cold "
                "members has no effect without a time for which they are cold",
            )


def _review_regions(entries):
    """Yield findings on routes and accounts that share no region."""
    for account in entries.accounts:
        regions = account.value.allowed_regions
        if not regions:
            continue
        excluded = [
            route.value.database
            for route in entries.routes
            if route.value.allowed_regions and not route.value.allowed_regions & regions
        ]
        if excluded:
            yield _findings.warning(
                account.path,
                f"account {account.value.name!r} shares no region with "
                f"{', '.join(map(repr, excluded))}: its statements there are refused",
            )


def compare_fleets(current, new):
    """Return the Changes from the configuration in force to a new one.

    Parameters
    ----------
    current, new : FleetConfiguration
        Configuration in force, and the new one.
    """
    changes = []
    if new.version <= current.version:
        changes.append(
            _findings.Change(
                "version",
                f"{new.version}, in force is {current.version}",
                "none of the changes takes effect: the version must rise",
            )
        )
    for kind, old_entries, new_entries, compare in (
        ("route", current.routes, new.routes, _compare_routes),
        ("account", current.accounts, new.accounts, _compare_accounts),
        ("service", current.services, new.services, _compare_services),
    ):
        for name in sorted({*old_entries, *new_entries}):
            changes.extend(
                _findings.Change(f"{kind} {name}", message, effect)
                for message, effect in compare(
                    old_entries.get(name), new_entries.get(name)
                )
            )
    if new.transaction_idle_s != current.transaction_idle_s:
        changes.append(
            _findings.Change(
                "transactions",
                f"idle time {current.transaction_idle_s:g} s to "
                f"{new.transaction_idle_s:g} s",
                "transactions that stay idle for longer are ended",
            )
        )
    return changes


def _compare_routes(old, new):
    if old is None:
        yield "added", ""
    elif new is None:
        yield "removed", "its sessions end, and new ones are refused"
    else:
        for name, before, after in _changed_fields(old, new):
            yield (
                f"{name} {_format(before)} to {_format(after)}",
                "from the next transaction on",
            )


def _compare_accounts(old, new):
    if old is None:
        yield "added", ""
        return
    if new is None:
        yield "removed", f"{len(old.keys)} keys are withdrawn and their sessions end"
        return
    withdrawn = len(old.keys - new.keys)
    if withdrawn:
        yield f"{withdrawn} keys withdrawn", "their sessions end"
    if new.keys - old.keys:
        yield f"{len(new.keys - old.keys)} keys added", ""
    for name, before, after in _changed_fields(old, new, "keys"):
        lowered = name in ("rate_per_s", "burst") and after < before
        effect = "operations above it are refused" if lowered else ""
        if name == "allowed_regions":
            effect = "from the next transaction on"
        yield f"{name} {_format(before)} to {_format(after)}", effect


def _compare_services(old, new):
    if old is None:
        yield "added", ""
    elif new is None:
        yield "removed", "statements of its routes are refused"
    else:
        for name, before, after in _changed_fields(old, new):
            lowered = name == "max_connections" and after < before
            effect = "idle connections are closed, and waits may rise"
            yield (
                f"{name} {_format(before)} to {_format(after)}",
                effect if lowered else "",
            )


def _changed_fields(old, new, *skipped):
    """Yield name, old and new value of the fields that differ."""
    for field in attrs.fields(type(old)):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if field.name not in skipped and before != after:
            yield field.name, before, after


def _format(value):
    if isinstance(value, frozenset):
        return ", ".join(sorted(value)) or "any"
    if isinstance(value, _statements.RouteType):
        return value.value
    return f"{value:g}" if isinstance(value, float) else str(value)
