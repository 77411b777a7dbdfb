"""Instances of the fleet, as known here."""

import enum
import functools

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


class State(enum.IntEnum):
    """What is known of an instance."""

    LIVE = 0
    LOST = 1
    LEAVING = 2


@attrs.frozen
class Record:
    """The latest word on an instance.

    Attributes
    ----------
    instance : Instance
        The instance.
    beat : int
        Number of its heartbeat that this word rests on.
    state : State
        Its state after that heartbeat.

    Notes
    -----
    Records of one instance are totally ordered, and the greatest holds. The
    order in which they arrive therefore makes no difference: a later
    incarnation replaces an earlier one, leaving is final for an incarnation,
    and being lost is undone only by a later heartbeat.
    """

    instance: Instance
    beat: int = 0
    state: State = State.LIVE

    def order(self):
        """Return the sort key of the records of one instance."""
        return (
            self.instance.incarnation,
            self.state is State.LEAVING,
            self.beat,
            self.state,
        )


@attrs.define
class Membership:
    """The set of instances that this one knows.

    Attributes
    ----------
    own : Instance
        This instance.
    records : dict of str to Record
        Latest record by name, this instance's included.
    seeds : dict of str to Instance
        Addresses at which instances may be found; not known to be live.
    beat : int
        Number of the last heartbeat of this instance.
    """

    own: Instance
    records: dict[str, Record] = attrs.field(factory=dict)
    seeds: dict[str, Instance] = attrs.field(factory=dict)
    beat: int = 0
    found: list | None = None

    def __attrs_post_init__(self):
        self._set_own()

    @property
    def instances(self):
        """All instances that are not lost, by name, this one included."""
        return {
            name: record.instance
            for name, record in self.records.items()
            if record.state is not State.LOST
        }

    def add_seed(self, instance):
        """Note an address at which an instance may be found."""
        if instance.name != self.own.name:
            self.seeds[instance.name] = instance

    def merge(self, record):
        """Take in a record.

        Returns
        -------
        bool
            Whether the incarnation, address or state known here has changed.
        """
        name = record.instance.name
        if name == self.own.name:
            return False
        known = self.records.get(name)
        if known is not None and record.order() <= known.order():
            return False
        self.records[name] = record
        if known is not None and (known.instance, known.state) == (
            record.instance,
            record.state,
        ):
            return False
        self.found = None
        return True

    def mark_lost(self, name):
        """Note that an instance is silent; returns its record."""
        record = attrs.evolve(self.records[name], state=State.LOST)
        self.merge(record)
        return record

    def advance_heartbeat(self):
        """Count one more heartbeat of this instance; returns its record."""
        self.beat += 1
        return self._set_own()

    def mark_leaving(self):
        """Mark this instance as leaving."""
        self.own = attrs.evolve(self.own, leaving=True)
        self._set_own()

    def forget(self, name):
        """Drop all that is known of an instance."""
        if name != self.own.name:
            self.records.pop(name, None)
            self.found = None

    def live(self):
        """Return the instances that are neither lost nor leaving, by name."""
        if self.found is None:
            self.found = [
                record.instance
                for _, record in sorted(self.records.items())
                if record.state is State.LIVE
            ]
        return self.found

    def digest(self):
        """Return a hash of the incarnations and states of all instances."""
        words = [
            f"{name}\0{record.instance.incarnation}\0{record.state}"
            for name, record in sorted(self.records.items())
        ]
        return xxhash.xxh64_intdigest("\1".join(words).encode("utf-8"))

    def _set_own(self):
        state = State.LEAVING if self.own.leaving else State.LIVE
        record = Record(self.own, self.beat, state)
        known = self.records.get(self.own.name)
        self.records[self.own.name] = record
        if known is None or known.state is not state:
            self.found = None
        return record


@functools.lru_cache(maxsize=65_536)
def _weight(key, name):
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode())


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
        return (_weight(key, name), name)

    return sorted(names, key=weight, reverse=True)[:count]
