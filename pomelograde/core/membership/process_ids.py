"""Process ids that name the instance of a session.

A CancelRequest comes over a connection of its own, which the balancer may
take to any instance. The process id has the instance's hash in its upper
bits, so that the receiver knows whom to pass the request on to.
"""

import xxhash

HASH_BITS = 15
SESSION_NUMBER_BITS = 16


def instance_hash(name):
    """Return the upper bits of the process ids of an instance."""
    return xxhash.xxh32_intdigest(name.encode("utf-8")) & ((1 << HASH_BITS) - 1)


def make_process_id(name, number):
    """Return a process id.

    Parameters
    ----------
    name : str
        Name of the instance.
    number : int
        Number of the session, of `SESSION_NUMBER_BITS` bits.
    """
    return instance_hash(name) << SESSION_NUMBER_BITS | number


def find_owners(process_id, instances):
    """Return the instances that a process id may belong to.

    Parameters
    ----------
    process_id : int
        As the CancelRequest has it.
    instances : iterable of Instance
        Candidates.

    Returns
    -------
    list of Instance
        More than one only where hashes collide.
    """
    wanted = process_id >> SESSION_NUMBER_BITS
    return [found for found in instances if instance_hash(found.name) == wanted]
