"""The recorded members of a service that may hold acknowledged commits."""

import attrs


@attrs.frozen
class RecordedMember:
    """A member of a replica set.

    Attributes
    ----------
    name : str
        Name of the member.
    data_centre : str
        Data centre in which it runs.
    host : str
        IP address.
    port : int
        TCP port.
    is_leaving : bool
        Whether it has announced its shutdown. The log of such a member is
        transferred to the next one at its address.
    """

    name: str
    data_centre: str
    host: str
    port: int
    is_leaving: bool = False

    @property
    def address(self):
        """Host and port."""
        return (self.host, self.port)


@attrs.frozen
class ReplicaSet:
    """Members of a service of which each may hold an acknowledged commit.

    Registrations tell which members run now. This record also tells which ones
    have received commits before, so that a member without a registration still
    counts, for each process and after a restart of all of them.

    Attributes
    ----------
    service : str
        Database service.
    primary : str
        Last known primary; empty if none is known.
    members : tuple of RecordedMember
        The primary and the replicas, by name.
    row_version : int
        Revision of the row in the store; 0 if it has not been written.
    """

    service: str
    primary: str = ""
    members: tuple = ()
    row_version: int = 0

    @property
    def names(self):
        """Names of the members."""
        return frozenset(found.name for found in self.members)

    def has_same_content(self, other):
        """Return whether a record would not change by replacing it with this one."""
        return other is not None and (self.primary, self.members) == (
            other.primary,
            other.members,
        )


def make_replica_set(service, primary, members, row_version=0):
    """Return a ReplicaSet with its members in order."""
    members = sorted(members, key=lambda found: found.name)
    return ReplicaSet(service, primary, tuple(members), row_version)


def select_replica_set(known, stored):
    """Return the ReplicaSet to go by.

    Parameters
    ----------
    known : ReplicaSet or None
        The record as this process knows it.
    stored : ReplicaSet or None
        The record as the store returned it.

    Notes
    -----
    If the known record is newer, the store has returned from an older copy. The
    copy may hold members that have been removed since; they count again until they
    are removed once more.
    """
    if known is None or stored is None:
        return known or stored
    if stored.row_version >= known.row_version:
        return stored
    members = {found.name: found for found in (*stored.members, *known.members)}
    return make_replica_set(
        known.service, known.primary, members.values(), known.row_version
    )


def update_replica_set(recorded, registered, primary):
    """Return a ReplicaSet that includes the registered members.

    Parameters
    ----------
    recorded : ReplicaSet
        The record before.
    registered : list of RecordedMember
        The registered members.
    primary : str or None
        The primary; None if none is known now.

    Notes
    -----
    A member without a registration stays, unless it was leaving and another member
    has its address, and so its log.
    """
    members = {found.name: found for found in recorded.members}
    members.update((found.name, found) for found in registered)
    names = {found.name for found in registered}
    taken = {found.address for found in registered}
    return make_replica_set(
        recorded.service,
        primary or recorded.primary,
        [
            found
            for found in members.values()
            if found.name in names or not (found.is_leaving and found.address in taken)
        ],
        recorded.row_version,
    )


def count_replicas(names, answering, old_primary, last_primary):
    """Return how many replicas a service has, whether they have answered or not.

    Parameters
    ----------
    names : iterable of str
        Registered and recorded members.
    answering : iterable of str
        Members that have answered as replicas.
    old_primary : str or None
        Registered primary that is to be replaced, if there is one.
    last_primary : str
        Last known primary; empty if none is known.

    Notes
    -----
    The last primary may have become a replica since. It counts if it answers as one.
    """
    answering = set(answering)
    missing = set(names) - answering - {old_primary or last_primary}
    return len(answering) + len(missing)
