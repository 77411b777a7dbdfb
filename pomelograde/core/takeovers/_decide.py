"""Detection of a failed or leaving primary, and choice of its successor."""

import enum

import attrs

ABSENT_THRESHOLD_S = 0.5  # covers the gap between registrations when a member restarts
# Running members are registered again within 2 s after an outage of the store.
STORE_SETTLE_TIME_S = 2.5
SILENT_THRESHOLD_S = 1.0  # two consecutive position requests without an answer
FAILING_THRESHOLD_S = 1.5  # a planned takeover takes about as long
FAILING_INTERVAL_S = 30.0  # after any takeover of a service
LONG_SILENCE_S = 2.0  # after which a planned takeover would wait in vain


class Reason(enum.Enum):
    """Why a primary is replaced."""

    LEAVING = "leaving"
    EVACUATED = "evacuated"
    ABSENT = "absent"
    SILENT = "silent"
    FAILING = "failing"

    @property
    def is_planned(self):
        """Whether the old primary works until the takeover, so nothing may be lost."""
        return self in (Reason.LEAVING, Reason.EVACUATED, Reason.FAILING)


@attrs.frozen
class PrimaryHealth:
    """State of a service's primary as seen by one instance.

    Attributes
    ----------
    primary : str or None
        Name of the registered primary.
    is_leaving : bool
        Whether the primary has announced its shutdown.
    member_count : int
        Number of registered members.
    absent_for_s : float
        Time for which no primary has been registered.
    silent_for_s : float
        Time since the primary last answered this instance.
    store_available_for_s : float
        Time for which the store has been available without interruption.
    failing_for_s : float
        Time for which the primary has failed too many statements of all
        instances (`placement.Outliers.failing_for_s`).
    has_healthy_replica : bool
        Whether a replica that is not ejected could replace it.
    since_failing_s : float
        Time since the last takeover of the service, or the last attempt at one
        for that reason.
    is_evacuated : bool
        Whether operators have evacuated its data centre.
    can_be_replaced : bool
        Whether evacuations leave a member that may be promoted.
    synchronous_replicas : int
        Replicas that must have received a commit before it is acknowledged.
    """

    primary: str | None
    is_leaving: bool
    member_count: int
    absent_for_s: float
    silent_for_s: float
    store_available_for_s: float
    failing_for_s: float = 0.0
    has_healthy_replica: bool = False
    since_failing_s: float = float("inf")
    is_evacuated: bool = False
    can_be_replaced: bool = True
    synchronous_replicas: int = 0


@attrs.frozen
class LogRequirement:
    """What decides whether a successor holds every acknowledged commit.

    Attributes
    ----------
    synchronous_replicas : int
        Replicas that must have received a commit before it is acknowledged. With
        0, commits that no replica has received may be lost.
    replica_count : int or None
        Number of replicas that the service has, whether they have answered or
        not; None if it isn't known.
    primary_position : Position or None
        End of the old primary's log, asked once no instance used it any more; None
        if it has not answered.
    promoted_position : Position or None
        Log position with which the last successor was chosen. It covers commits
        that were acknowledged in earlier terms, which that member may hold alone
        until others have caught up.
    """

    synchronous_replicas: int = 0
    replica_count: int | None = None
    primary_position: object = None
    promoted_position: object = None

    def find_required(self, positions):
        """Return the position that a successor must have received at least.

        Parameters
        ----------
        positions : list of Position
            Positions of the replicas that have answered.

        Returns
        -------
        Position or None
            None if a replica that has not answered may be the only one with an
            acknowledged commit.

        Notes
        -----
        A commit is acknowledged by any `synchronous_replicas` of the replicas. All
        these sets have a replica in common with those that have answered if at most
        ``synchronous_replicas - 1`` have not.
        """
        furthest = max(positions, default=None)
        if furthest is None:
            return None
        if self.primary_position is not None and furthest >= self.primary_position:
            required = self.primary_position
        elif self.replica_count is None:
            return None
        elif self.replica_count - len(positions) < self.synchronous_replicas:
            required = furthest
        else:
            return None
        if self.promoted_position is None:
            return required
        return max(required, self.promoted_position)


ANY_LOG = LogRequirement()


@attrs.frozen
class Candidate:
    """A replica that may be promoted.

    Attributes
    ----------
    name : str
        Name of the member.
    position : Position
        Last log position that it has received.
    is_leaving : bool
        Whether it has announced its shutdown.
    same_data_centre : bool
        Whether it is in the data centre of the old primary.
    is_cold : bool
        Whether it has just started.
    is_evacuated : bool
        Whether operators have evacuated its data centre.
    is_registered : bool
        Whether it has a row; otherwise it counts for its log only.
    """

    name: str
    position: object
    is_leaving: bool = False
    same_data_centre: bool = False
    is_cold: bool = False
    is_evacuated: bool = False
    is_registered: bool = True


def find_takeover_reason(health):
    """Return the reason to replace a primary, or None.

    Parameters
    ----------
    health : PrimaryHealth
        State of the primary.

    Returns
    -------
    Reason or None
        `Reason.SILENT` is only a suspicion: the caller must probe the primary
        again, and ask instances in other data centres, before it acts on it.
        For `Reason.FAILING` it must find a replica that has received the
        primary's log first.

    Notes
    -----
    A takeover costs callers 1 to 2 s without a primary. It is worth that once a
    primary has failed a share of its statements for as long, since nothing says
    that it stops failing.
    """
    if health.member_count == 0 or health.store_available_for_s <= 0.0:
        return None
    if not health.can_be_replaced:
        return None
    settled = health.store_available_for_s >= STORE_SETTLE_TIME_S
    if health.synchronous_replicas and not settled:
        return None  # Replicas whose logs matter may not be registered again yet.
    if health.primary is None:
        return (
            Reason.ABSENT
            if settled and health.absent_for_s >= ABSENT_THRESHOLD_S
            else None
        )
    if health.is_leaving:
        return Reason.LEAVING
    if health.is_evacuated and health.silent_for_s < LONG_SILENCE_S:
        return Reason.EVACUATED
    if health.silent_for_s >= SILENT_THRESHOLD_S:
        return Reason.SILENT
    if (
        health.failing_for_s >= FAILING_THRESHOLD_S
        and health.has_healthy_replica
        and health.since_failing_s >= FAILING_INTERVAL_S
    ):
        return Reason.FAILING
    return None


def choose_successor(candidates, requirement=ANY_LOG):
    """Return the candidate to promote, or None if there is none.

    Parameters
    ----------
    candidates : list of Candidate
        The replicas that have answered.
    requirement : LogRequirement
        What the successor's log must hold.

    Notes
    -----
    A member in an evacuated data centre is never promoted, since no statement
    may be sent to it.

    Log entries that the successor has not received are lost, so the highest
    position wins. Ties go to a member that is not leaving, then to one that is
    not cold, then to one in the data centre of the old primary.

    With synchronous replicas, nobody is promoted while a replica that has not
    answered, or that is evacuated or not registered, may be the only one with an
    acknowledged commit.
    """
    eligible = [
        found for found in candidates if found.is_registered and not found.is_evacuated
    ]
    if requirement.synchronous_replicas:
        required = requirement.find_required([found.position for found in candidates])
        if required is None:
            return None
        eligible = [found for found in eligible if found.position >= required]
    return max(
        eligible,
        key=lambda candidate: (
            candidate.position,
            not candidate.is_leaving,
            not candidate.is_cold,
            candidate.same_data_centre,
            candidate.name,
        ),
        default=None,
    )
