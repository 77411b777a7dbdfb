"""Stand-in for a replicated database group: terms, logs and faults."""

import collections

import attrs
from twisted.internet import defer

from pomelograde.core import failover, sessions
from pomelograde.standins import _store

NO_POSITION = sessions.Position(0, 0)


@attrs.frozen
class Entry:
    """One committed transaction in a log.

    Attributes
    ----------
    term : int
        Term of the primary that wrote it.
    statements : tuple of (str, tuple, str)
        SQL in SQLite's dialect, parameters and database role of each statement.
    """

    term: int
    statements: tuple


@attrs.define
class MemberFaults:
    """Faults injected into one member.

    Attributes
    ----------
    killed : bool
        Whether the member has crashed: it refuses connections and keeps its log.
    paused : bool
        Whether the member neither reads requests nor sends answers.
    cut_hosts : list of str
        Prefixes of the client addresses that the member is cut off from.
    cut_members : list of str
        Names of the members that it is cut off from.
    """

    killed: bool = False
    paused: bool = False
    cut_hosts: list = attrs.field(factory=list)
    cut_members: list = attrs.field(factory=list)


@attrs.define(eq=False)
class Member:
    """State of one member.

    Attributes
    ----------
    store : Store
        Database that the log is applied to.
    slots : int
        Number of statements that run at once.
    connection_limit : int
        Highest number of authenticated connections.
    open_delay_s : float
        Time that opening a connection takes.
    service_s : float
        Time that each statement occupies a slot.
    lag_s : float
        Replication lag.
    role : str
        "primary", "replica" or "fenced".
    term : int
        Term that the member leads or follows.
    fenced_term, fenced_by : int, str
        Highest term that the member accepted, and the holder it accepted it for.
    leader : str
        Name of the primary that the member follows; its own name on a primary.
    leaving : bool
        Whether the member is being removed.
    log : list of Entry
        Log; the index of a position is the number of entries up to it.
    acknowledged : dict of str to int
        On a primary, length of the log that each replica has confirmed.
    waiters : list of (Position, Deferred)
        On a primary, callers that wait until a majority holds a position.
    sessions : set of MemberProtocol
        Open connections.
    write_owner, write_queue : object, collections.deque
        Connection that holds the write lock, and those that wait for it.
    running, slot_queue : int, collections.deque
        Number of occupied slots, and Deferreds of statements that wait for one.
    statements : int
        Number of statements run so far.
    """

    name: str
    data_centre: str
    store: _store.Store
    slots: int = 3
    connection_limit: int = 20
    open_delay_s: float = 0.0
    service_s: float = 0.0
    lag_s: float = 0.0
    role: str = "replica"
    term: int = 0
    fenced_term: int = 0
    fenced_by: str = ""
    leader: str = ""
    leaving: bool = False
    log: list = attrs.field(factory=list)
    acknowledged: dict = attrs.field(factory=dict)
    waiters: list = attrs.field(factory=list)
    faults: MemberFaults = attrs.field(factory=MemberFaults)
    sessions: set = attrs.field(factory=set)
    write_owner: object = None
    write_queue: collections.deque = attrs.field(factory=collections.deque)
    running: int = 0
    statements: int = 0
    slot_queue: collections.deque = attrs.field(factory=collections.deque)

    @property
    def position(self):
        """Position of the last entry in the log."""
        if not self.log:
            return NO_POSITION
        return sessions.Position(self.log[-1].term, len(self.log))

    def is_down(self):
        """Return whether the member is killed or paused."""
        return self.faults.killed or self.faults.paused

    def lock(self, owner):
        """Return a Deferred that fires when `owner` holds the write lock."""
        if self.write_owner in (None, owner):
            self.write_owner = owner
            return defer.succeed(None)
        deferred = defer.Deferred()
        self.write_queue.append((owner, deferred))
        return deferred

    def unlock(self, owner):
        """Release the write lock of `owner`, or its place in the queue."""
        self.write_queue = collections.deque(
            entry for entry in self.write_queue if entry[0] is not owner
        )
        if self.write_owner is not owner:
            return
        self.write_owner = None
        if self.write_queue:
            self.write_owner, deferred = self.write_queue.popleft()
            deferred.callback(None)

    def acquire_slot(self):
        """Return a Deferred that fires when a slot has been acquired."""
        if self.running < self.slots:
            self.running += 1
            return defer.succeed(None)
        deferred = defer.Deferred()
        self.slot_queue.append(deferred)
        return deferred

    def release_slot(self):
        """Release a slot, or pass it to the statement that has waited longest."""
        if self.slot_queue:
            self.slot_queue.popleft().callback(None)
        else:
            self.running -= 1

    def abort_client_connections(self):
        """Abort the connections of all roles except the proxy's system role."""
        for session in list(self.sessions):
            session.abort_unless_system_role()

    def holds(self, position):
        """Return whether the log contains the entry at a position."""
        index = position.index
        return 0 < index <= len(self.log) and self.log[index - 1].term == position.term


class Group:
    """Replication and failover between the members of one group.

    Parameters
    ----------
    reactor : IReactorTime
        Schedules replication and time-outs.
    name : str
        Name of the group.
    members : list of Member
        Members; the first one starts as the primary of term 1.
    """

    def __init__(self, reactor, name, members):
        self.reactor = reactor
        self.name = name
        self.members = {member.name: member for member in members}
        first = members[0]
        for member in members:
            member.term = 1
            member.fenced_term = 1
            member.leader = first.name
            member.log.append(Entry(1, ()))
        first.role = "primary"

    def connected(self, one, other):
        """Return whether two members can reach each other."""
        cut = other.name in one.faults.cut_members
        cut = cut or one.name in other.faults.cut_members
        return not (cut or one.is_down() or other.is_down())

    def append(self, member, statements):
        """Add a committed transaction to a primary's log."""
        member.log.append(Entry(member.term, tuple(statements)))
        self._schedule_replication(member)

    def pull(self, member, end):
        """Copy entries of the primary's log to a replica, and acknowledge them.

        Parameters
        ----------
        member : Member
            The replica.
        end : int
            Length of the primary's log one replication lag ago.
        """
        leader = self.members.get(member.leader)
        if leader is None or leader is member or not self.connected(member, leader):
            return
        if leader.role != "primary" or leader.term != member.term:
            return
        if member.fenced_term > leader.term:
            return
        for entry in leader.log[len(member.log) : end]:
            member.log.append(entry)
            member.store.replay(entry.statements)
        leader.acknowledged[member.name] = len(member.log)
        self._release_waiters(leader)

    def heal(self):
        """Schedule replication to all replicas after faults have changed."""
        for member in self.members.values():
            if member.role == "replica":
                self._schedule_pull(member)

    def held_by_majority(self, member):
        """Return the highest position that a majority holds.

        Returns `NO_POSITION` on a member that is not primary or is fenced, and
        while the position belongs to an earlier term: entries of earlier terms
        count as held only together with an entry of the primary's own term.
        """
        if member.role != "primary" or member.fenced_term > member.term:
            return NO_POSITION
        indexes = [len(member.log), *member.acknowledged.values()]
        needed = failover.majority(len(self.members))
        if len(indexes) < needed:
            return NO_POSITION
        index = sorted(indexes, reverse=True)[needed - 1]
        if index == 0 or member.log[index - 1].term != member.term:
            return NO_POSITION
        return sessions.Position(member.term, index)

    def wait_majority(self, member, position, timeout_s):
        """Return a Deferred of the highest position that a majority holds.

        It fires once a majority holds `position`, when the primary is fenced, or
        after the timeout.
        """
        held = self.held_by_majority(member)
        deferred = defer.Deferred()
        if held >= position:
            deferred.callback(held)
            return deferred
        entry = (position, deferred)
        member.waiters.append(entry)
        self.reactor.callLater(timeout_s, self._expire_wait, member, entry)
        return deferred

    def fence(self, member, term, holder):
        """Accept a term for a holder, and fence a primary of an earlier term.

        A term is accepted for one holder only; a repeated call of that holder
        succeeds again.
        """
        if term < member.fenced_term:
            return False
        if term == member.fenced_term:
            return member.fenced_by == holder
        member.fenced_term = term
        member.fenced_by = holder
        if member.role == "primary":
            member.role = "fenced"
            self._release_waiters(member)
        return True

    def promote(self, member, term, holder):
        """Make a member that accepted a term for the holder its primary."""
        if (member.fenced_term, member.fenced_by) != (term, holder):
            return False
        if member.role == "primary" and member.term == term:
            return True
        if term <= member.term:
            return False
        member.term = term
        member.role = "primary"
        member.leader = member.name
        member.acknowledged = {}
        self.append(member, ())
        return True

    def follow(self, member, term, leader_name):
        """Make a member a replica of the primary of a term."""
        leader = self.members.get(leader_name)
        if leader is None or term < member.fenced_term or leader is member:
            return False
        if leader.term != term or not self.connected(member, leader):
            return False
        if member.role == "primary" and member.term >= term:
            return False
        known = (member.role, member.term, member.leader)
        if known == ("replica", term, leader_name):
            return True
        if term > member.fenced_term:
            member.fenced_term = term
            member.fenced_by = ""
        member.term = term
        member.role = "replica"
        member.leader = leader_name
        self._discard_divergent_log(member, leader)
        self._schedule_pull(member)
        return True

    def _discard_divergent_log(self, member, leader):
        common = 0
        for own, theirs in zip(member.log, leader.log, strict=False):
            if own.term != theirs.term:
                break
            common += 1
        if common < len(member.log):
            member.abort_client_connections()
            member.log = list(leader.log)
            member.store.copy_from(leader.store)

    def _schedule_pull(self, member):
        leader = self.members.get(member.leader)
        if leader is not None:
            end = len(leader.log)
            self.reactor.callLater(member.lag_s, self.pull, member, end)

    def _schedule_replication(self, leader):
        for member in self.members.values():
            if member.role == "replica" and member.leader == leader.name:
                self._schedule_pull(member)
        self._release_waiters(leader)

    def _release_waiters(self, member):
        held = self.held_by_majority(member)
        fenced = member.role != "primary"
        finished = [entry for entry in member.waiters if fenced or entry[0] <= held]
        for entry in finished:
            member.waiters.remove(entry)
            entry[1].callback(held)

    def _expire_wait(self, member, entry):
        if entry in member.waiters:
            member.waiters.remove(entry)
            entry[1].callback(self.held_by_majority(member))
