"""Stand-in of a replicated database group: terms, logs and faults."""

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
        Statement in sqlite's dialect, parameters, and database role.
    """

    term: int
    statements: tuple


@attrs.define
class MemberFaults:
    """Faults of one member.

    Attributes
    ----------
    killed : bool
        Whether it refuses connections; its log outlives it.
    paused : bool
        Whether it neither reads nor answers.
    cut_hosts : list of str
        Starts of the caller addresses that it can't hear.
    cut_members : list of str
        Members that it can't reach.
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
    log : list of Entry
        Its log; a position's index counts its entries.
    term : int
        Term that it leads or follows.
    fenced_term, fenced_by : int, str
        Highest term that it accepted, and for whom.
    role : str
        "primary", "replica" or "fenced".
    statements : int
        Statements that callers have had run here.
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
        """Position of the last entry."""
        if not self.log:
            return NO_POSITION
        return sessions.Position(self.log[-1].term, len(self.log))

    def is_down(self):
        """Whether it takes part in nothing."""
        return self.faults.killed or self.faults.paused

    def lock(self, owner):
        """Return a Deferred that fires when `owner` may write."""
        if self.write_owner in (None, owner):
            self.write_owner = owner
            return defer.succeed(None)
        waiting = defer.Deferred()
        self.write_queue.append((owner, waiting))
        return waiting

    def unlock(self, owner):
        """Let the next writer in."""
        self.write_queue = collections.deque(
            entry for entry in self.write_queue if entry[0] is not owner
        )
        if self.write_owner is not owner:
            return
        self.write_owner = None
        if self.write_queue:
            self.write_owner, waiting = self.write_queue.popleft()
            waiting.callback(None)

    def take_slot(self):
        """Return a Deferred that fires when a slot is free."""
        if self.running < self.slots:
            self.running += 1
            return defer.succeed(None)
        waiting = defer.Deferred()
        self.slot_queue.append(waiting)
        return waiting

    def give_slot(self):
        """Free a slot."""
        if self.slot_queue:
            self.slot_queue.popleft().callback(None)
        else:
            self.running -= 1

    def end_sessions(self):
        """End the connections of all roles but the proxy's own."""
        for session in list(self.sessions):
            session.end_unless_system()

    def holds(self, position):
        """Whether the log has the entry of a position."""
        index = position.index
        return 0 < index <= len(self.log) and self.log[index - 1].term == position.term


class Group:
    """Members of one group, and what joins them.

    Parameters
    ----------
    reactor : IReactorTime
        Reactor.
    name : str
        Name of the group.
    members : list of Member
        Its members; the first one starts as the primary of term 1.
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
        """Whether two members reach each other."""
        cut = other.name in one.faults.cut_members
        cut = cut or one.name in other.faults.cut_members
        return not (cut or one.is_down() or other.is_down())

    def append(self, member, statements):
        """Add a committed transaction to a primary's log."""
        member.log.append(Entry(member.term, tuple(statements)))
        self._spread(member)

    def pull(self, member, end):
        """Let a follower fetch its leader's entries below an index.

        Parameters
        ----------
        member : Member
            The follower.
        end : int
            Length of the leader's log one replication lag ago.
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
        """Let all followers catch up after a fault has ended."""
        for member in self.members.values():
            if member.role == "replica":
                self._schedule_pull(member)

    def held_by_majority(self, member):
        """Return the highest position that a majority holds, on a primary."""
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
        """Return a Deferred of the position that a majority holds.

        It fires once `position` is held, or after the timeout.
        """
        held = self.held_by_majority(member)
        waiting = defer.Deferred()
        if held >= position:
            waiting.callback(held)
            return waiting
        entry = (position, waiting)
        member.waiters.append(entry)
        self.reactor.callLater(timeout_s, self._end_wait, member, entry)
        return waiting

    def fence(self, member, term, holder):
        """Accept a term for a holder; a term is accepted once."""
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
        """Make a fenced member the primary of a term."""
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
        """Make a member follow the primary of a term."""
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
        self._rewind(member, leader)
        self._schedule_pull(member)
        return True

    def _rewind(self, member, leader):
        common = 0
        for own, theirs in zip(member.log, leader.log, strict=False):
            if own.term != theirs.term:
                break
            common += 1
        if common < len(member.log):
            member.end_sessions()
            member.log = list(leader.log)
            member.store.copy_from(leader.store)

    def _schedule_pull(self, member):
        leader = self.members.get(member.leader)
        if leader is not None:
            end = len(leader.log)
            self.reactor.callLater(member.lag_s, self.pull, member, end)

    def _spread(self, leader):
        for member in self.members.values():
            if member.role == "replica" and member.leader == leader.name:
                self._schedule_pull(member)
        self._release_waiters(leader)

    def _release_waiters(self, member):
        held = self.held_by_majority(member)
        fenced = member.role != "primary"
        ready = [entry for entry in member.waiters if fenced or entry[0] <= held]
        for entry in ready:
            member.waiters.remove(entry)
            entry[1].callback(held)

    def _end_wait(self, member, entry):
        if entry in member.waiters:
            member.waiters.remove(entry)
            entry[1].callback(self.held_by_majority(member))
