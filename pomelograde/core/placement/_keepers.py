"""How many instances share a member's connections."""

LEAST_KEPT = 18  # connections of one keeper where they are scarce


def count_keepers(connections, accounts, instances):
    """Return how many instances should keep connections to a member.

    Parameters
    ----------
    connections : int
        Connections that the member takes.
    accounts : int
        Client accounts; a connection belongs to one of them.
    instances : int
        Instances near the member.

    Returns
    -------
    int
        Between 1 and `instances`, if there are any.

    Notes
    -----
    With fewer connections than accounts, connections of accounts at rest have
    to be closed for others. The fewer the keepers, the longer such a
    connection is at rest before: 12 keepers of 4 connections each opened one
    for every third statement of 78 accounts.
    """
    if connections >= accounts:
        return instances
    return max(1, min(instances, connections // LEAST_KEPT))
