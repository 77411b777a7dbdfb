"""Selects the instances that watch a group and divides its connections."""

from pomelograde.core.membership import _instances

SPARE_CONNECTIONS = 1  # per member, reserved for probes over a new connection


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
        The watchers, in the order in which they may start a promotion: the
        first one does so without delay.
    """
    by_data_centre = {}
    for instance in instances:
        by_data_centre.setdefault(instance.data_centre, {})[instance.name] = instance
    chosen = {}
    for by_name in by_data_centre.values():
        (name,) = _instances.rendezvous(group, by_name, 1)
        chosen[name] = by_name[name]
    return [chosen[name] for name in _instances.rendezvous(group, chosen, len(chosen))]


def connection_share(limit, watcher_count, member, own_name, names):
    """Return the number of pooled connections that an instance may open.

    Parameters
    ----------
    limit : int
        Number of connections that the member accepts.
    watcher_count : int
        Number of instances that keep a further connection to watch the member.
    member : str
        Name of the member.
    own_name : str
        Name of the instance.
    names : list of str
        Names of all live instances, including `own_name`.

    Returns
    -------
    int
        Share of this instance. The shares of all instances, one connection per
        watcher and the spare connections together stay within the limit. Which
        instances get the remainder of the division depends on the member.
    """
    pooled = max(0, limit - watcher_count - SPARE_CONNECTIONS)
    share, remainder = divmod(pooled, max(1, len(names)))
    with_extra = _instances.rendezvous(member, names, remainder)
    return share + (own_name in with_extra)
