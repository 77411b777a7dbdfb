"""Instances of the fleet, as known here."""

import attrs
import xxhash


@attrs.frozen
class Instance:
    """One daemon of the fleet.

    Attributes
    ----------
    name : str
        Unique name.
    data_centre : str
        Data centre that it runs in.
    incarnation : int
        Grows with each start of the daemon.
    host : str
        Address that peers connect to.
    peer_port : int
        Port that peers connect to.
    leaving : bool
        Whether it has announced that it stops.
    region : str
        Region of the data centre.
    """

    name: str
    data_centre: str
    incarnation: int
    host: str
    peer_port: int
    leaving: bool = False
    region: str = "default"


@attrs.define
class Membership:
    """The set of instances that this one knows.

    Attributes
    ----------
    own : Instance
        This instance.
    instances : dict of str to Instance
        All known live instances by name, this one included.
    """

    own: Instance
    instances: dict[str, Instance] = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self.instances.setdefault(self.own.name, self.own)

    def learn(self, instance):
        """Take in news of an instance; older incarnations are ignored.

        Returns
        -------
        bool
            Whether anything changed.
        """
        known = self.instances.get(instance.name)
        if known is not None:
            if instance.incarnation < known.incarnation:
                return False
            if instance.incarnation == known.incarnation and known.leaving:
                return False
        if known == instance:
            return False
        self.instances[instance.name] = instance
        return True

    def set_leaving(self):
        """Mark this instance as leaving."""
        self.own = attrs.evolve(self.own, leaving=True)
        self.instances[self.own.name] = self.own

    def forget(self, name):
        """Drop an instance that is gone."""
        if name != self.own.name:
            self.instances.pop(name, None)

    def live(self):
        """Return the instances that are not leaving, by name."""
        return [
            instance
            for _, instance in sorted(self.instances.items())
            if not instance.leaving
        ]


def rendezvous(key, names, count):
    """Choose `count` of `names` for `key`.

    Parameters
    ----------
    key : str
        What the choice is for.
    names : iterable of str
        Candidates.
    count : int
        How many to choose.

    Returns
    -------
    list of str
        The candidates with the highest weights, highest first.

    Notes
    -----
    When a candidate comes or goes, only the keys that it holds move.
    """

    def weight(name):
        text = f"{key}\0{name}"
        return (xxhash.xxh64_intdigest(text.encode("utf-8")), name)

    return sorted(names, key=weight, reverse=True)[:count]
