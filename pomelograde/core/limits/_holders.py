"""Which instances hold the tokens of a client account's rate."""

import bisect
import collections

import xxhash

SPLIT_TOKENS = 2.0  # least part of a burst where all instances hold one
HELD_TOKENS = 5.0  # part of it where few do; less gives 0.94 of the rate or worse


class Holders:
    """Chooses the holders of each account's rate.

    Parameters
    ----------
    instances : iterable of Instance
        Registered instances.

    Notes
    -----
    A small burst split between many instances leaves each less than a token.
    It is held by a few of them, spread over the regions and data centres, and
    the others ask one of those. In each data centre the instances stand on a
    ring by the hash of their names, and the holders follow the hash of the
    account, so few accounts move when an instance comes or goes.
    """

    def __init__(self, instances):
        rings = collections.defaultdict(list)
        regions = collections.defaultdict(set)
        for instance in instances:
            rings[instance.data_centre].append((_hash(instance.name), instance.name))
            regions[instance.region].add(instance.data_centre)
        order = sorted(
            (rank, region, name)
            for region, names in regions.items()
            for rank, name in enumerate(sorted(names))
        )
        self.rings = {name: sorted(rings[name]) for _, _, name in order}
        self.instances = sum(map(len, self.rings.values()))

    def count(self, burst):
        """Return how many instances hold a rate with a burst."""
        if self.instances * SPLIT_TOKENS <= burst:
            return self.instances
        return max(1, min(self.instances, int(burst / HELD_TOKENS)))

    def find(self, account, burst):
        """Return the names of the instances that hold an account's rate."""
        wanted = self.count(burst)
        if wanted >= self.instances:
            return [name for ring in self.rings.values() for _, name in ring]
        place = _hash(account)
        rings = list(self.rings.values())
        first = place % len(rings)
        queues = [_follow(ring, place) for ring in rings[first:] + rings[:first]]
        found = []
        while len(found) < wanted:
            for queue in queues:
                if queue and len(found) < wanted:
                    found.append(queue.popleft())
        return found


def _follow(ring, place):
    """Return the names on a ring from a place on."""
    start = bisect.bisect_left(ring, (place, ""))
    return collections.deque(name for _, name in ring[start:] + ring[:start])


def _hash(text):
    return xxhash.xxh64_intdigest(text.encode())
