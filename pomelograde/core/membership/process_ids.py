"""Process ids of sessions, which encode the session's instance.

A CancelRequest arrives over a connection of its own, which the load balancer
may route to any instance. The upper bits of the process id hold a hash of the
name of the session's instance, so that the receiver can forward the request.
"""

import xxhash

HASH_BITS = 15  # with SESSION_NUMBER_BITS, 31 bits: a process id is at most 2**31 - 1
SESSION_NUMBER_BITS = 16


def instance_hash(name):
    """Return the upper bits of the process ids of an instance's sessions."""
    return xxhash.xxh32_intdigest(name.encode("utf-8")) & ((1 << HASH_BITS) - 1)


def make_process_id(name, number):
    """Return the process id of a session.

    Parameters
    ----------
    name : str
        Name of the instance.
    number : int
        Number of the session; has at most `SESSION_NUMBER_BITS` bits.
    """
    return instance_hash(name) << SESSION_NUMBER_BITS | number


def find_owners(process_id, instances):
    """Return the instances that may own the session with a process id.

    Parameters
    ----------
    process_id : int
        Process id from the CancelRequest.
    instances : iterable of Instance
        Candidates.

    Returns
    -------
    list of Instance
        Instances with a matching hash; more than one if hashes collide.
    """
    expected = process_id >> SESSION_NUMBER_BITS
    return [
        instance for instance in instances if instance_hash(instance.name) == expected
    ]
