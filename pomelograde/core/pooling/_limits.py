"""Division of a member's connections between the instances that own them."""

# A member keeps the connections of an instance that lost power for some seconds.
# The rest must suffice for the instance that starts again, and for all of them.
RESERVED_FRACTION = 0.25
CONNECTIONS_PER_OWNER = 8
MIN_OWNERS = 2  # of a member's connections, so that one may be lost
STARTUP_S = 3.0  # after which a member has dropped connections of earlier processes


def count_owners(max_connections):
    """Return how many instances should own connections to a member.

    Parameters
    ----------
    max_connections : int
        Connections that the member accepts from all instances together.

    Notes
    -----
    This answers the load of many client accounts on a member with few
    connections. A connection serves one account at a time, and opening one takes
    as long as a statement. An owner with two or three connections closes one for
    nearly each statement of another account, while its neighbours have idle ones.
    """
    usable = max_connections - int(max_connections * RESERVED_FRACTION)
    return max(MIN_OWNERS, usable // CONNECTIONS_PER_OWNER)


def divide_connections(max_connections, owner_count, rank, is_starting):
    """Return how many connections to a member one of its owners may open.

    Parameters
    ----------
    max_connections : int
        Connections that the member accepts from all instances together.
    owner_count : int
        Number of instances that own connections to the member.
    rank : int
        Position of the instance among them, from 0.
    is_starting : bool
        Whether it started less than `STARTUP_S` ago.

    Returns
    -------
    int
        At least 1.

    Notes
    -----
    This answers the load after all instances lose power at once: callers return
    within a second, while the member still counts the connections of before.
    Running instances use the unreserved connections only, and starting ones
    divide the reserved ones, so that no owner takes them all.
    """
    reserved = int(max_connections * RESERVED_FRACTION)
    total = reserved if is_starting else max_connections - reserved
    share, remainder = divmod(total, owner_count)
    return max(1, share + (rank < remainder))
