"""Records of the fleet's instances."""

import enum
import functools
import ipaddress

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
        Data centre in which it runs.
    incarnation : int
        Number that increases with each start of the daemon.
    host : str
        Address for connections from peers.
    peer_port : int
        Port for connections from peers.
    leaving : bool
        Whether it has announced that it stops, or its registration has been
        marked as ended.
    region : str
        Region of the data centre.
    build : str
        Version and digest of the sources that it runs; empty for earlier builds.
        Instances that differ only in this are equal, and lists of them have the
        same digest in all builds.
    """

    name: str
    data_centre: str
    incarnation: int
    host: str
    peer_port: int
    leaving: bool = False
    region: str = "default"
    build: str = attrs.field(default="", eq=False, repr=False)


MAX_PORT = 65535


def find_fault(instance):
    """Return why no connection can be opened to an instance, or None.

    Parameters
    ----------
    instance : Instance
        Instance that somebody else has described; its fields may be of any type.
    """
    for field in ("name", "data_centre", "region"):
        value = getattr(instance, field)
        if not isinstance(value, str) or not value.isprintable():
            return f"has no printable {field}"
    if not instance.name or not instance.data_centre:
        return "has no name or no data centre"
    if not is_ip_address(instance.host):
        return "has a host that is no IP address"
    if not is_port(instance.peer_port):
        return f"has a peer port that is not from 1 to {MAX_PORT}"
    if type(instance.leaving) is not bool:
        return "does not say whether it leaves"
    return None


def is_port(port):
    """Return whether a value of any type is a TCP port."""
    return type(port) is int and 0 < port <= MAX_PORT


def is_ip_address(host):
    """Return whether a value of any type is the text of an IP address."""
    if not isinstance(host, str) or not host.isprintable():
        return False
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


class State(enum.IntEnum):
    """State of an instance as seen by this one."""

    LIVE = 0
    LOST = 1
    LEAVING = 2


@attrs.frozen
class Record:
    """State of an instance after a certain heartbeat.

    Attributes
    ----------
    instance : Instance
        Instance that the record describes.
    beat : int
        Sequence number of the instance's heartbeat.
    state : State
        State of the instance after that heartbeat.

    Notes
    -----
    Records of one instance are totally ordered, and the greatest one is valid,
    so the result doesn't depend on the order of their arrival. A later
    incarnation replaces an earlier one, `LEAVING` is final for an incarnation,
    and `LOST` is reverted only by a later heartbeat.
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
    """The instances that this one knows.

    Attributes
    ----------
    own : Instance
        This instance.
    records : dict of str to Record
        Latest record by name, including this instance's.
    seeds : dict of str to Instance
        Instances that may run at the given addresses, by name.
    beat : int
        Sequence number of this instance's last heartbeat.
    live_cache : list of Instance or None
        Result of `live`, or None after a change.
    """

    own: Instance
    records: dict[str, Record] = attrs.field(factory=dict)
    seeds: dict[str, Instance] = attrs.field(factory=dict)
    beat: int = 0
    live_cache: list | None = None

    def __attrs_post_init__(self):
        self._set_own()

    @property
    def instances(self):
        """All instances that are not lost, by name, including this one."""
        return {
            name: record.instance
            for name, record in self.records.items()
            if record.state is not State.LOST
        }

    def add_seed(self, instance):
        """Add an address at which an instance may run."""
        if instance.name != self.own.name:
            self.seeds[instance.name] = instance

    def merge(self, record):
        """Apply a record unless a later one is known.

        Returns
        -------
        bool
            Whether the known incarnation, address or state has changed.
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
        self.live_cache = None
        return True

    def mark_lost(self, name):
        """Mark an instance as lost; returns its record."""
        record = attrs.evolve(self.records[name], state=State.LOST)
        self.merge(record)
        return record

    def advance_heartbeat(self):
        """Increment this instance's heartbeat number; returns its record."""
        self.beat += 1
        return self._set_own()

    def mark_leaving(self):
        """Mark this instance as leaving."""
        self.own = attrs.evolve(self.own, leaving=True)
        self._set_own()

    def forget(self, name):
        """Remove the record of an instance."""
        if name != self.own.name:
            self.records.pop(name, None)
            self.live_cache = None

    def live(self):
        """Return the instances that are neither lost nor leaving, sorted by name."""
        if self.live_cache is None:
            self.live_cache = [
                record.instance
                for _, record in sorted(self.records.items())
                if record.state is State.LIVE
            ]
        return self.live_cache

    def digest(self):
        """Return a hash of the incarnations and states of all instances."""
        entries = [
            f"{name}\0{record.instance.incarnation}\0{record.state}"
            for name, record in sorted(self.records.items())
        ]
        return xxhash.xxh64_intdigest("\1".join(entries).encode("utf-8"))

    def _set_own(self):
        state = State.LEAVING if self.own.leaving else State.LIVE
        record = Record(self.own, self.beat, state)
        known = self.records.get(self.own.name)
        self.records[self.own.name] = record
        if known is None or known.state is not state:
            self.live_cache = None
        return record


@functools.lru_cache(maxsize=65_536)
def _weight(key, name):
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode())


def rendezvous(key, names, count):
    """Choose `count` of `names` for `key` by rendezvous hashing.

    Parameters
    ----------
    key : str
        Key to assign, such as the name of a data centre.
    names : iterable of str
        Candidates.
    count : int
        Maximum number of candidates to choose.

    Returns
    -------
    list of str
        The candidates with the highest weights, highest first.

    Notes
    -----
    When a candidate is added or removed, only the keys assigned to it change.
    """

    def weight(name):
        return (_weight(key, name), name)

    return sorted(names, key=weight, reverse=True)[:count]
