"""Which instances watch a group, and how connections are shared."""

from pomelograde.core.membership import _instances

SPARE_CONNECTIONS = 1  # of each member, for fresh probes


def choose_watchers(group, instances):
    """Choose one instance of each data centre to watch a group.

    Parameters
    ----------
    group : str
        Name of the group.
    instances : iterable of Instance
        Live instances.

    Returns
    -------
    list of Instance
        The watchers. The first one promotes at once, the others after it.
    """
    by_data_centre = {}
    for instance in instances:
        by_data_centre.setdefault(instance.data_centre, {})[instance.name] = instance
    chosen = {}
    for names in by_data_centre.values():
        (name,) = _instances.rendezvous(group, names, 1)
        chosen[name] = names[name]
    return [chosen[name] for name in _instances.rendezvous(group, chosen, len(chosen))]


def connection_share(limit, watcher_count, member, own, names):
    """Return how many pooled connections to a member an instance may hold.

    Parameters
    ----------
    limit : int
        Connections that the member accepts.
    watcher_count : int
        Instances that hold a connection of their own for watching.
    member : str
        Name of the member.
    own : str
        Name of the instance.
    names : list of str
        Live instances, the own one included.

    Returns
    -------
    int
        The shares of all instances together with one connection for each
        watcher and the spare ones never pass the limit. The remainder of the
        division goes to instances that differ by member.
    """
    pooled = max(0, limit - watcher_count - SPARE_CONNECTIONS)
    share, remainder = divmod(pooled, max(1, len(names)))
    favoured = _instances.rendezvous(member, names, remainder)
    return share + (own in favoured)
