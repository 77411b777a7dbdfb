"""A replicated database on a hosting platform, as seen by one instance.

The daemon for PostgreSQL members keeps this state in `core.failover.GroupView`.
"""

import enum

import attrs

from pomelograde.core.placement import _ranking
from pomelograde.core.sessions import _floors

# A read on the primary costs as much as this many reads on a replica.
PRIMARY_COST_FACTOR = 2.0
# A promoted member registers at once, and the registration takes at most 1.5 s
# to reach all instances.
SUCCESSOR_GRACE_S = 2.5
MIN_LAG_BACKOFF_S = 0.02  # before a replica that lagged is selected again
MAX_LAG_BACKOFF_S = 0.32  # reached with the fifth answer that a replica lags
# A read on a member that has just started costs as much as this many others.
COLD_COST_FACTOR = 8.0
# Time after which the row of a member shows whether it has started again.
RESTART_CONFIRM_S = 1.5
LEFT_MEMORY_S = 60.0  # for a leaving member whose row is missing for a while
# Time for which a member may be cut off from the store and be reached all the same.
LAPSED_MEMORY_S = 60.0
STALENESS_MARGIN_S = 0.1  # covers the transit of a read to the replica, up to 25 ms


class Role(enum.Enum):
    """Role that a member reports for itself."""

    PRIMARY = "primary"
    REPLICA = "replica"


@attrs.frozen
class Requirement:
    """Position that a replica's log must have reached to serve a read.

    Attributes
    ----------
    position : Position or None
        The position; None if every replica qualifies.
    floor : Floor or None
        The floor that guarantees the age of the data; None if its age isn't limited.
    """

    position: object
    floor: object = None


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
        Number of statements that it runs concurrently.
    started_ms : int
        Start of its process in Unix milliseconds; identifies the process.
    region : str
        Region of its data centre; empty if it is not known.
    lag_backoff_until : float
        Monotonic time until which it is not selected for reads that require a
        later position than it has reported.
    lag_backoff_s : float
        Length of the next back-off; doubles with each answer that it lags.
    is_cold : bool
        Whether its row says that it has just started.
    cold_from, cold_until : float
        Monotonic times between which it counts as cold here.
    restart_presumed_at : float
        Monotonic time at which its connections showed that it has ended.
    paced_until : float
        Monotonic time until which its rate as a cold member is used up.
    leaving_until : float
        Monotonic time until which it may get new statements; infinite unless it
        has announced its shutdown.
    """

    host: str = ""
    port: int = 0
    role: Role = Role.REPLICA
    slots: int = 1
    started_ms: int = 0
    region: str = ""
    lag_backoff_until: float = float("-inf")
    lag_backoff_s: float = MIN_LAG_BACKOFF_S
    is_cold: bool = False
    cold_from: float = float("-inf")
    cold_until: float = float("-inf")
    restart_presumed_at: float = float("-inf")
    paced_until: float = float("-inf")
    leaving_until: float = float("inf")

    def cold_cost(self, now):
        """Return the factor on the cost of a read; falls to 1 as the time runs out."""
        if now < self.paced_until:
            return float("inf")
        remaining = (self.cold_until - now) / (self.cold_until - self.cold_from)
        return 1.0 + (COLD_COST_FACTOR - 1.0) * remaining

    @property
    def address(self):
        """Host, port and process start, which identify where connections lead."""
        return (self.host, self.port, self.started_ms)


class Group:
    """The members of a database service, and what is known of their logs.

    Parameters
    ----------
    name : str
        Name of the database service.

    Attributes
    ----------
    members : dict of str to Member
        Members by name.
    primary : str or None
        Name of the current primary.
    primary_since : float
        Monotonic time since which it is known to be the primary.
    max_connections : int
        Connections that each member accepts from all instances together.
    primary_lease_until : float
        End of this instance's lease on the primary, in monotonic time. It is
        extended while the store can be read; a takeover waits for the leases
        of instances that do not respond to expire.
    is_primary_blocked : bool
        Whether the primary is being replaced; no new statements are sent to it.
    blocked_since : float
        Monotonic time since which it is being replaced.
    is_fenced : bool
        Whether the results of statements already sent to the primary that is
        being replaced may no longer be reported as successful.
    fence : int
        Fencing token of the last takeover; 0 if none is known.
    successor : str
        Member that was promoted last; empty if none is known.
    successor_has_led : bool
        Whether the successor has been registered as primary since.
    successor_expected_until : float
        Monotonic time until which the successor counts as the primary without
        being registered as such.
    term : int
        Highest term reported by a primary.
    term_start : Position or None
        First position reported by the primary of that term. It covers all
        commits of earlier terms that are still part of the log.
    floors : FloorHistory
        Primary positions by the time of the request; each covers all commits
        that were acknowledged before that time.
    left : dict of str to tuple of float
        Time until which each member that leaves, or has left, may get new
        statements, and time of the last update that had its row.
    lapsed : dict of str to tuple of (Member, float)
        Members whose row is missing though they had not announced to leave, and
        since when.
    recorded : dict of str to Member
        Members that may hold acknowledged commits, with or without a row.
    evacuated : frozenset of str
        Data centres whose members get nothing more.
    outliers : Outliers or None
        Judges the members by their answers; None if they aren't judged.
    expected : ExpectedTimes or None
        Expected times at the members, by which reads are ranked if it is set.
    cold_start_s : float
        Time for which a member is cold after its start; 0.0 if it is never cold.
    evacuation_deadlines : dict of str to float
        Monotonic time, by evacuated data centre, until which a primary there
        is used, and transactions that are open there may end.
    """

    def __init__(self, name):
        self.name = name
        self.members = {}
        self.primary = None
        self.primary_since = float("-inf")
        self.max_connections = 0
        self.primary_lease_until = float("-inf")
        self.is_primary_blocked = False
        self.blocked_since = float("-inf")
        self.is_fenced = False
        self.fence = 0
        self.successor = ""
        self.successor_has_led = False
        self.successor_expected_until = float("-inf")
        self.term = 0
        self.term_start = None
        self.floors = _floors.FloorHistory()
        self.left = {}
        self.lapsed = {}
        self.recorded = {}
        self.evacuated = frozenset()
        self.outliers = None
        self.expected = None
        self.cold_start_s = 0.0
        self.evacuation_deadlines = {}

    def update(self, members, now, leaving_until=float("inf")):
        """Set the registered members.

        Parameters
        ----------
        members : iterable of Member
            Registered members. The local state of a member whose process is
            still the same is kept.
        now : float
            Monotonic seconds.
        leaving_until : float
            Monotonic time until which members may get new statements that have
            announced their shutdown since the last update.

        Returns
        -------
        bool
            Whether the primary has changed.
        """
        registered = {}
        for member in members:
            current = self.members.get(member.name)
            if member.leaving:
                until, _ = self.left.get(member.name, (leaving_until, now))
                member.leaving_until = until
                self.left[member.name] = (until, now)
            else:
                self.left.pop(member.name, None)
            if current is not None and current.address == member.address:
                current.role = member.role
                current.leaving = member.leaving
                current.leaving_until = member.leaving_until
                current.slots = member.slots
                current.region = member.region
                current.is_cold = member.is_cold
                member = current
            elif self.expected is not None:
                self.expected.estimates.pop(member.name, None)
            registered[member.name] = member
        self._update_lapsed(registered, now)
        self.members = registered
        self.left = {
            name: (until, seen_at)
            for name, (until, seen_at) in self.left.items()
            if name in registered or now < seen_at + LEFT_MEMORY_S
        }
        if self.outliers is not None:
            self.outliers.retain(registered)
        if self.expected is not None:
            self.expected.set_members(registered)
        self.update_cold(now, now)
        return self.update_primary(now)

    def _update_lapsed(self, registered, now):
        missing = {
            name: (member, now)
            for name, member in self.members.items()
            if not member.leaving
        }
        self.lapsed = {
            name: (member, since)
            for name, (member, since) in {**missing, **self.lapsed}.items()
            if name not in registered and now < since + LAPSED_MEMORY_S
        }

    def find_lapsed(self):
        """Return the members without a row that have not left, or are recorded."""
        found = {name: member for name, (member, _) in self.lapsed.items()}
        for name, member in self.recorded.items():
            if name not in self.members:
                found.setdefault(name, member)
        return list(found.values())

    def find_all(self):
        """Return the registered members, and those of `find_lapsed`."""
        return [*self.members.values(), *self.find_lapsed()]

    def update_cold(self, now, read_at):
        """Update which members count as cold.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        read_at : float
            Monotonic time at which the members were read from the store.

        Returns
        -------
        list of Member
            The members that count as cold.
        """
        for member in self.members.values():
            confirmed = read_at >= member.restart_presumed_at + RESTART_CONFIRM_S
            if self.cold_start_s <= 0.0 or (not member.is_cold and confirmed):
                member.cold_from = member.cold_until = float("-inf")
            elif member.is_cold and member.cold_until == float("-inf"):
                member.cold_from = now
                member.cold_until = now + self.cold_start_s
        return [found for found in self.members.values() if now < found.cold_until]

    def presume_restart(self, name, now):
        """Count a member as cold until its row shows whether it has started again."""
        member = self.members.get(name)
        if member is not None and self.cold_start_s > 0.0:
            member.restart_presumed_at = now
            if now >= member.cold_until:
                member.cold_from = now
                member.cold_until = now + self.cold_start_s

    def on_refused(self, name, retry_at, now):
        """Prefer other members while a cold one has no room for a statement."""
        member = self.members.get(name)
        if member is not None and now < member.cold_until:
            member.paced_until = retry_at

    def set_evacuations(self, deadlines):
        """Set the evacuated data centres.

        Parameters
        ----------
        deadlines : dict of str to float
            Value of `evacuation_deadlines`.
        """
        self.evacuated = frozenset(deadlines)
        self.evacuation_deadlines = deadlines

    def is_closed(self, name, now):
        """Return whether nothing more may be sent to a member, not even probes."""
        if not self.evacuated:
            return False
        member = self.members.get(name)
        if member is None and name in self.lapsed:
            member, _ = self.lapsed[name]
        member = member or self.recorded.get(name)
        return member is not None and self.is_data_centre_closed(
            member.data_centre, now
        )

    def is_data_centre_closed(self, data_centre, now):
        """Return whether an evacuation allows nothing more in a data centre."""
        if data_centre not in self.evacuated:
            return False
        return now >= self.evacuation_deadlines.get(data_centre, now)

    def can_replace_primary(self):
        """Return whether evacuations leave a member that may be promoted.

        Notes
        -----
        One that is leaving may replace a primary that is leaving or lost, but not
        one that only has to leave its data centre.
        """
        if not self.evacuated:
            return True
        primary = self.members.get(self.primary)
        is_working = primary is not None and not primary.leaving
        return any(
            member is not primary
            and not (is_working and member.leaving)
            and member.data_centre not in self.evacuated
            for member in self.members.values()
        )

    def is_primary_closed(self, now):
        """Return whether evacuations leave no primary to wait for."""
        return bool(self.evacuated) and (
            self.primary is None
            and not self.can_replace_primary()
            or self.is_closed(self.primary, now)
        )

    def is_evacuated(self, now, regions=None):
        """Return whether evacuations leave no member to wait for.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        regions : frozenset of str or None
            Regions that the statement may reach; None if all.
        """
        if not self.evacuated:
            return False
        primary = self.members.get(self.primary)
        may_use_primary = primary is not None and _is_in(primary, regions)
        if may_use_primary and not self.is_closed(primary.name, now):
            return False
        return all(
            member.leaving
            or member.data_centre in self.evacuated
            or not _is_in(member, regions)
            for member in self.members.values()
        )

    def allows(self, member, regions):
        """Return whether statements may be sent to a member.

        Parameters
        ----------
        member : Member
            Member of the group.
        regions : frozenset of str or None
            Regions that the statement may reach; None if all.
        """
        return member.reachable and self.permits(member, regions)

    def permits(self, member, regions):
        """Return whether a member, if reachable, may get statements for `regions`."""
        return member.data_centre not in self.evacuated and _is_in(member, regions)

    def usable_primary(self, now, regions=None):
        """Return the primary if this instance may send statements to it, else None.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        regions : frozenset of str or None
            Regions that the statement may reach; None if all.
        """
        if (
            self.primary is None
            or self.is_primary_blocked
            or now >= self.primary_lease_until
        ):
            return None
        member = self.members.get(self.primary)
        if member is None or now >= member.leaving_until:
            return None
        if member.data_centre in self.evacuated:
            # Until another member has taken over, or the time limit is near.
            usable = member.reachable and not self.is_closed(member.name, now)
            return member if usable and _is_in(member, regions) else None
        return member if self.allows(member, regions) else None

    def may_report_success(self, name, now):
        """Return whether a result from the primary `name` may be reported as success.

        Notes
        -----
        Unlike `usable_primary`, this also holds during the grace period of a
        takeover, in which statements already sent may finish.
        """
        return (
            name == self.primary
            and not self.is_fenced
            and now < self.primary_lease_until
        )

    def set_takeover(
        self, is_primary_blocked, successor, now, is_successor_confirmed=True, fence=0
    ):
        """Update the state of the service's takeover.

        Parameters
        ----------
        is_primary_blocked : bool
            Whether the primary is being replaced.
        successor : str
            Member that was promoted last; empty if none is known.
        now : float
            Monotonic seconds.
        is_successor_confirmed : bool
            Whether the successor was seen to lead in this takeover. Otherwise it
            isn't the primary until it is registered as such.
        fence : int
            Fencing token of the takeover.

        Returns
        -------
        bool
            Whether the primary has changed.
        """
        # The same member may have been promoted once more, after it had restarted.
        has_ended = self.is_primary_blocked and not is_primary_blocked
        is_promoted = successor != self.successor or (
            has_ended and is_successor_confirmed
        )
        self.fence = fence
        if is_primary_blocked and not self.is_primary_blocked:
            self.blocked_since = now
        self.is_primary_blocked = is_primary_blocked
        if not is_primary_blocked:
            self.is_fenced = False
        if is_promoted:
            self.successor = successor
            self.successor_has_led = False
            self.successor_expected_until = float("-inf")
            if is_successor_confirmed:
                self.successor_expected_until = now + SUCCESSOR_GRACE_S
        return self.update_primary(now)

    def on_position(self, name, position, asked_at, source=""):
        """Record a position reported by a member.

        Parameters
        ----------
        name : str
            Name of the member.
        position : Position
            Position of its log.
        asked_at : float
            Monotonic time at which the request was sent, or an earlier one.
        source : str
            Instance that told of the position; empty if this one requested it.

        Notes
        -----
        Only a position of the primary that was requested while this instance's
        lease on the primary was valid is recorded as a floor. One that was requested
        before the member was known to lead may be that of a lagging replica.
        """
        member = self.members.get(name)
        if member is None:
            return
        member.position = position
        member.position_at = asked_at
        if not self.leads_since(name, asked_at) or asked_at >= self.primary_lease_until:
            return
        if position.term > self.term:
            self.term = position.term
            self.term_start = position
            self.floors = _floors.FloorHistory()
        if position.term == self.term:
            self.floors.add(asked_at, position, name, source)

    def leads_since(self, name, at):
        """Return whether a member is the primary, and was at a time known to be it."""
        return name == self.primary and at >= self.primary_since

    def on_behind(self, name, now):
        """Back off from a replica that had not reached a required position."""
        member = self.members.get(name)
        if member is not None:
            member.lag_backoff_until = now + member.lag_backoff_s
            member.lag_backoff_s = min(MAX_LAG_BACKOFF_S, 2 * member.lag_backoff_s)

    def read_requirement(self, commit_position, max_staleness_s, now):
        """Return the position that a replica must have reached to serve a read.

        Parameters
        ----------
        commit_position : Position or None
            Log position after the session's last commit.
        max_staleness_s : float
            Maximum age of the data; infinite if there is no limit.
        now : float
            Monotonic seconds.

        Returns
        -------
        Requirement or None
            None if no known floor is recent enough to guarantee that age.
        """
        floor = None
        if max_staleness_s != float("inf"):
            floor = self.floors.find_entry(now, max_staleness_s - STALENESS_MARGIN_S)
            if floor is None:
                return None
        if commit_position is not None and commit_position.term < self.term:
            commit_position = self.term_start
        position = None if floor is None else floor.position
        if position is None or (
            commit_position is not None and commit_position > position
        ):
            position = commit_position
        return Requirement(position, floor)

    def rank_members(self, required, data_centre, now, tried, regions=None):
        """Return the members that may serve a read, best first.

        Parameters
        ----------
        required : Position or None
            Position that a replica must have reached; the primary always has.
        data_centre : str
            Data centre of this instance.
        now : float
            Monotonic seconds.
        tried : set of str
            Names of members to exclude, on which the read has failed already.
        regions : frozenset of str or None
            Regions that the read may reach; None if all.

        Returns
        -------
        list of Member
            Members by ascending cost.

        Notes
        -----
        Replicas that lag are excluded by their back-off. `rank_replicas`, which
        the daemon for PostgreSQL members uses, goes by the age of their report.
        """
        primary = self.usable_primary(now, regions)
        ranked = []
        for member in self.members.values():
            if member.name in tried or not self.allows(member, regions):
                continue
            is_primary = member is primary
            if not is_primary and (member.name == self.primary or member.leaving):
                continue
            covered = is_primary or _ranking.covers(member.position, required)
            if not covered and now < member.lag_backoff_until:
                continue
            cost = self.cost_of(member, data_centre, now)
            ranked.append((cost, member.sent, member.name, member))
        if not ranked and primary is not None and primary.name not in tried:
            return [primary]  # in an evacuated data centre, until it is replaced
        ranked.sort()
        if self.expected is not None:
            found = self.expected.order(ranked, now)
        else:
            found = [entry[3] for entry in ranked]
        return found if self.outliers is None else self.outliers.reorder(found, now)

    def is_unanswered(self, member, now):
        """Return whether a member answers nobody, so that nothing is sent to it."""
        return self.outliers is not None and self.outliers.is_silent(member.name, now)

    def is_ejected(self, member):
        """Return whether a member is ejected, so that others go first."""
        return self.outliers is not None and self.outliers.is_ejected(member.name)

    def cost_of(self, member, data_centre, now):
        """Return the cost of a read on a member; the lowest one is chosen.

        Parameters
        ----------
        member : Member
            Member of the group.
        data_centre : str
            Data centre of this instance.
        now : float
            Monotonic seconds.

        Notes
        -----
        Milliseconds if `expected` is set, otherwise a multiple of a read on an
        idle local replica.
        """
        if self.expected is not None:
            return self.expected.cost_ms(member, member.name == self.primary, now)
        cost = member.outstanding + 1.0
        if member.data_centre != data_centre:
            cost *= _ranking.REMOTE_COST_FACTOR
        if member.name == self.primary:
            cost *= PRIMARY_COST_FACTOR
        if now < member.cold_until:
            cost *= member.cold_cost(now)
        return cost

    def update_primary(self, now):
        """Determine the primary from the registered roles.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            Whether the primary has changed.

        Notes
        -----
        The member that was promoted last is the primary, even while another
        one is still registered as such: that one has been replaced, also if its
        successor's registration has lapsed. If the successor has been registered
        as primary and is a replica now, it has restarted. Then, and without its
        registration, there is no primary until the next promotion.
        """
        if self.successor:
            name = self._find_successor(now)
        else:
            primaries = [
                found for found in self.members.values() if found.role is Role.PRIMARY
            ]
            primaries.sort(
                key=lambda found: (_term_of(found), now < found.leaving_until)
            )
            name = primaries[-1].name if primaries else None
        changed = name != self.primary
        if changed:
            self.primary_since = now
        self.primary = name
        return changed

    def _find_successor(self, now):
        """Return the successor's name if it is the primary, or None."""
        successor = self.members.get(self.successor)
        if successor is None:
            return None
        is_primary = successor.role is Role.PRIMARY
        self.successor_has_led = self.successor_has_led or is_primary
        expected = not self.successor_has_led and now < self.successor_expected_until
        return successor.name if is_primary or expected else None


def _is_in(member, regions):
    return regions is None or member.region in regions


def _term_of(member):
    return 0 if member.position is None else member.position.term
