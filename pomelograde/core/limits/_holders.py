"""Choice of the instances that hold the tokens of a client account's rate."""

import bisect
import collections

import xxhash

# A burst is split between all instances if each share has at least this many tokens.
MIN_TOKENS_FOR_ALL = 2.0
# Share of a smaller burst for each holder; with less, the holders admit at most
# 0.94 of the rate.
TOKENS_PER_HOLDER = 5.0


class Holders:
    """Chooses the instances that hold each client account's rate.

    Parameters
    ----------
    instances : iterable of Instance
        Registered instances.

    Notes
    -----
    If a small burst were split between many instances, each would hold less
    than one token. Such a burst is held by a few instances, spread over the
    regions and data centres, and the others ask one of them. Holders are
    chosen by consistent hashing: the instances of a data centre form a ring in
    the order of the hashes of their names, and the holders of an account are
    those that follow the hash of its name. Few accounts get other holders when
    an instance joins or leaves.
    """

    def __init__(self, instances):
        rings = collections.defaultdict(list)
        regions = collections.defaultdict(set)
        for instance in instances:
            rings[instance.data_centre].append((_hash(instance.name), instance.name))
            regions[instance.region].add(instance.data_centre)
        by_rank = sorted(
            (rank, region, name)
            for region, names in regions.items()
            for rank, name in enumerate(sorted(names))
        )
        self.rings = {name: sorted(rings[name]) for _, _, name in by_rank}
        self.instance_count = sum(map(len, self.rings.values()))

    def count(self, burst):
        """Return how many instances hold a rate with the given burst."""
        if self.instance_count * MIN_TOKENS_FOR_ALL <= burst:
            return self.instance_count
        return max(1, min(self.instance_count, int(burst / TOKENS_PER_HOLDER)))

    def find(self, account, burst):
        """Return the names of the instances that hold an account's rate."""
        count = self.count(burst)
        if count >= self.instance_count:
            return [name for ring in self.rings.values() for _, name in ring]
        position = _hash(account)
        rings = list(self.rings.values())
        first = position % len(rings)
        queues = [_names_from(ring, position) for ring in rings[first:] + rings[:first]]
        names = []
        while len(names) < count:
            for queue in queues:
                if queue and len(names) < count:
                    names.append(queue.popleft())
        return names


def _names_from(ring, position):
    """Return all names on a ring, beginning at a position."""
    start = bisect.bisect_left(ring, (position, ""))
    return collections.deque(name for _, name in ring[start:] + ring[:start])


def _hash(text):
    return xxhash.xxh64_intdigest(text.encode())
