"""A replicated database as one instance knows it."""

import enum

import attrs

from pomelograde.core.placement import _ranking
from pomelograde.core.sessions import _floors

FAR_PRIMARY_COST = 2.0  # outstanding reads that a read on the primary counts as
SUCCESSOR_S = 2.5  # a promoted member registers at once; news take 1.5 s at most
BEHIND_PAUSE_S = 0.02  # first pause before a lagging replica is asked again
MAX_BEHIND_PAUSE_S = 0.32  # reached after five answers in a row
STALENESS_MARGIN_S = 0.1  # for the way of a read to the replica, 25 ms at most


class Role(enum.Enum):
    """How a member sees itself."""

    PRIMARY = "primary"
    REPLICA = "replica"


@attrs.frozen
class Requirement:
    """What the log of a replica must hold; a position of None for nothing."""

    position: object


@attrs.define
class Member(_ranking.MemberView):
    """One upstream member of a group.

    Attributes
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    role : Role
        Role that it last reported.
    slots : int
        Statements that it runs at a time.
    started_ms : int
        Unix milliseconds of its start; another value is another process.
    behind_until : float
        Time before which it is not asked for what it lacked.
    behind_pause_s : float
        Pause after its next answer that it lags.
    """

    host: str = ""
    port: int = 0
    role: Role = Role.REPLICA
    slots: int = 1
    started_ms: int = 0
    behind_until: float = float("-inf")
    behind_pause_s: float = BEHIND_PAUSE_S

    @property
    def address(self):
        """Address and process, which a connection belongs to."""
        return (self.host, self.port, self.started_ms)


class Group:
    """The members of a database service, and what is proved of their logs.

    Parameters
    ----------
    name : str
        Name of the database service.

    Attributes
    ----------
    members : dict of str to Member
        Members by name.
    primary : str or None
        Name of the member that leads.
    max_connections : int
        Connections that each member takes from all instances together.
    primary_usable_until : float
        Time until which this instance may use the primary that it knows.
    is_held : bool
        Whether nothing new may be sent to the primary, since it is replaced.
    is_fenced : bool
        Whether nothing that was sent to it may end with success either.
    successor : str
        Member that was promoted last; empty where none is known.
    has_led : bool
        Whether it has been registered as primary since.
    successor_until : float
        Time until which it counts as primary before that.
    term : int
        Highest term that a primary has reported.
    term_base : Position or None
        First position seen of that term's primary; it covers all commits of
        earlier terms that are still part of the log.
    floors : FloorHistory
        Positions at or above all commits acknowledged before stated times.
    """

    def __init__(self, name):
        self.name = name
        self.members = {}
        self.primary = None
        self.max_connections = 0
        self.primary_usable_until = float("-inf")
        self.is_held = False
        self.is_fenced = False
        self.successor = ""
        self.has_led = False
        self.successor_until = float("-inf")
        self.term = 0
        self.term_base = None
        self.floors = _floors.FloorHistory()

    def update(self, members, now):
        """Take in the members that are registered now.

        Parameters
        ----------
        members : iterable of Member
            As registered; what is known here of a running one is kept.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            Whether the primary has changed.
        """
        found = {}
        for member in members:
            known = self.members.get(member.name)
            if known is not None and known.address == member.address:
                known.role = member.role
                known.leaving = member.leaving
                known.slots = member.slots
                member = known
            found[member.name] = member
        self.members = found
        return self.update_primary(now)

    def usable_primary(self, now):
        """Return the primary if this instance may use it, else None."""
        if self.primary is None or self.is_held or now >= self.primary_usable_until:
            return None
        member = self.members.get(self.primary)
        return member if member is not None and member.reachable else None

    def may_report_success(self, name, now):
        """Return whether what was sent to a primary may still end with success."""
        return (
            name == self.primary
            and not self.is_fenced
            and now < self.primary_usable_until
        )

    def set_takeover(self, is_held, successor, now):
        """Take in whether the primary is being replaced, and by whom last.

        Returns
        -------
        bool
            Whether the primary has changed.
        """
        self.is_held = is_held
        if not is_held:
            self.is_fenced = False
        if successor != self.successor:
            self.successor = successor
            self.has_led = False
            self.successor_until = now + SUCCESSOR_S
        return self.update_primary(now)

    def on_position(self, name, position, asked_at):
        """Take the position that a member reported.

        Parameters
        ----------
        name : str
            The member.
        position : Position
            Position of its log.
        asked_at : float
            When the request was sent that it answered.
        """
        member = self.members.get(name)
        if member is None:
            return
        member.position = position
        member.position_at = asked_at
        if name != self.primary or asked_at >= self.primary_usable_until:
            return
        if position.term > self.term:
            self.term = position.term
            self.term_base = position
            self.floors = _floors.FloorHistory()
        if position.term == self.term:
            self.floors.add(asked_at, position)

    def on_behind(self, name, now):
        """Note that a replica lacked a position that it was asked for."""
        member = self.members.get(name)
        if member is not None:
            member.behind_until = now + member.behind_pause_s
            member.behind_pause_s = min(MAX_BEHIND_PAUSE_S, 2 * member.behind_pause_s)

    def read_requirement(self, commit_position, max_staleness_s, now):
        """Decide what the log of a replica must hold for a read.

        Parameters
        ----------
        written : Position or None
            Position after the session's last commit.
        max_staleness_s : float
            Greatest age of the data.
        now : float
            Monotonic seconds.

        Returns
        -------
        Requirement or None
            None if nothing that is known proves the age.
        """
        floor = None
        if max_staleness_s != float("inf"):
            floor = self.floors.find(now, max_staleness_s - STALENESS_MARGIN_S)
            if floor is None:
                return None
        if commit_position is not None and commit_position.term < self.term:
            commit_position = self.term_base
        if floor is None or (commit_position is not None and commit_position > floor):
            floor = commit_position
        return Requirement(floor)

    def rank_members(self, required, data_centre, now, tried):
        """Order the members for a read, best first.

        Parameters
        ----------
        required : Position or None
            What a replica must hold; the primary holds all.
        data_centre : str
            Data centre of this instance.
        now : float
            Monotonic seconds.
        tried : set of str
            Members that refused the read already.

        Returns
        -------
        list of Member
            Members that may serve it.
        """
        primary = self.usable_primary(now)
        scored = []
        for member in self.members.values():
            if member.name in tried or not member.reachable:
                continue
            leads = member is primary
            if not leads and (member.name == self.primary or member.leaving):
                continue
            covered = leads or _ranking.covers(member.position, required)
            if not covered and now < member.behind_until:
                continue
            cost = member.outstanding + 1.0
            if member.data_centre != data_centre:
                cost *= _ranking.FAR_COST_FACTOR
            if leads:
                cost *= FAR_PRIMARY_COST
            scored.append((cost, member.sent, member.name, member))
        scored.sort()
        return [entry[3] for entry in scored]

    def update_primary(self, now):
        """Set the primary by what is registered; returns whether it has changed.

        Notes
        -----
        The member that was promoted last leads, also where another one has not
        learnt of it yet. But one that led and is a replica now has started
        anew, and nobody leads until a member is promoted.
        """
        leaders = [
            member for member in self.members.values() if member.role is Role.PRIMARY
        ]
        leaders.sort(key=_term_of)
        name = leaders[-1].name if leaders else None
        successor = self.members.get(self.successor)
        if successor is not None:
            leads = successor.role is Role.PRIMARY
            self.has_led = self.has_led or leads
            expected = not self.has_led and now < self.successor_until
            name = successor.name if leads or expected else None
        changed = name != self.primary
        self.primary = name
        return changed


def _term_of(member):
    return 0 if member.position is None else member.position.term
