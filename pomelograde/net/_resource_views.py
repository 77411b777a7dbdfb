"""JSON views of resources, instances, upstreams, limits and events for operators."""

from pomelograde.core import resources

SECRET_FIELDS = {"keys": ("verifier",)}


def describe(found, revisions):
    """Return a resource with its status as a JSON value.

    Parameters
    ----------
    found : Resource
        The resource. The spec of a deleted one is None.
    revisions : dict of str to int
        Last reported revision in force by instance.
    """
    return {
        "kind": found.kind,
        "name": found.name,
        "resourceVersion": found.revision,
        "spec": dump_spec(found),
        "status": {"conditions": _conditions(found.revision, revisions)},
    }


def dump_spec(found):
    """Return the spec without its secret fields, or None for a deletion."""
    if found.spec is None:
        return None
    spec = resources.dump(found.spec)
    for name in SECRET_FIELDS.get(found.kind, ()):
        del spec[name]
    return spec


def _conditions(revision, revisions):
    count = sum(known >= revision for known in revisions.values())
    total = len(revisions)
    return [
        {"type": "Accepted", "status": "True", "revision": revision},
        {
            "type": "InForce",
            "status": "True" if count == total else "False",
            "instances": count,
            "of": total,
            "message": f"in force on {count} of {total} instances",
        },
    ]


def list_instances(context, revisions):
    """Return the known instances as JSON values."""
    return [
        {
            "kind": "instances",
            "name": name,
            "spec": {
                "data_centre": found.data_centre,
                "region": found.region,
                "host": found.host,
                "peer_port": found.peer_port,
            },
            "status": {
                "incarnation": found.incarnation,
                "leaving": found.leaving,
                "build": found.build,
                "revision": revisions.get(name),
            },
        }
        for name, found in sorted(context.members.instances.items())
    ]


def list_upstreams(gateway):
    """Return the members of all database groups as JSON values."""
    items = []
    for service, group in sorted(gateway.groups.items()):
        for member in group.spec.members:
            view = group.view.members.get(member.name)
            items.append(
                {
                    "kind": "upstreams",
                    "name": f"{service}/{member.name}",
                    "spec": resources.dump(member),
                    "status": _member_status(group.view, view, member.name),
                }
            )
    return items


def _member_status(group, view, name):
    status = {"primary": name == group.primary, "term": group.term}
    if view is not None:
        status["reachable"] = view.reachable
        status["leaving"] = view.leaving
        status["outstanding"] = view.outstanding
        status["index"] = getattr(view.position, "index", None)
    return status


def list_limits(gateway):
    """Return the limits in force on this instance as JSON values."""
    return [
        {"kind": "limits", "name": name, "status": status}
        for name, status in sorted(gateway.admission.describe().items())
    ]


def describe_event(entry):
    """Return a recorded event as a JSON value."""
    return {
        "kind": "events",
        "name": f"{entry.number}",
        "resourceVersion": entry.number,
        "status": {
            "time": entry.time,
            "event": entry.event,
            "reason": entry.name,
            "fields": entry.fields,
        },
    }
