"""Division of a member's connections between the instances that own them."""

# A member keeps the connections of an instance that lost power for some seconds.
# The rest must suffice for the instance that starts again, and for all of them.
RESERVED_FRACTION = 0.25
STARTUP_S = 3.0  # after which a member has dropped connections of earlier processes


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
