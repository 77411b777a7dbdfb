"""Limit of the statements that an owner has in flight at a member."""

import attrs

# An owner keeps this many statements waiting at the member for each account that
# waits here. Ten owners with four such accounts each keep a queue of twenty.
QUEUED_PER_ACCOUNT = 0.5
QUEUED_MARGIN = 0.25  # between growing and shrinking, in statements
# Ratio to the time with little load up to which a member counts as not saturated:
# half as many statements wait at it as it runs.
SATURATED_RATIO = 1.5
SMOOTHING = 0.1  # weight of the newest answer
BUSY_FACTOR = 0.7
BUSY_PAUSE_S = 0.1  # in which further refusals belong to the same overload
MIN_BASE_SAMPLES = 8
BASE_DECAY = 0.1  # weight of an answer that was faster than the base
BASE_GROWTH = 0.002  # weight of an answer that was slower
MIN_TIME_S = 1e-4


@attrs.define
class UsualTimes:
    """Times to serve with little load, by kind of statement.

    Attributes
    ----------
    base_s : dict
        Time in seconds by kind.
    samples : dict of int
        Number of answers by kind.

    Notes
    -----
    Statements of 8 ms and of 40 ms share a member, so one common base would show
    a load where there is only another mixture. The base falls fast and rises
    slowly, so that a load of some seconds hardly moves it.
    """

    base_s: dict = attrs.field(factory=dict)
    samples: dict = attrs.field(factory=dict)

    def compare(self, kind, time_s):
        """Record a time; return its ratio to the base, or None without a base."""
        time_s = max(time_s, MIN_TIME_S)
        count = self.samples[kind] = self.samples.get(kind, 0) + 1
        base_s = self.base_s.get(kind, 0.0)
        if count <= MIN_BASE_SAMPLES:
            self.base_s[kind] = base_s + (time_s - base_s) / count
            return None
        weight = BASE_DECAY if time_s < base_s else BASE_GROWTH
        self.base_s[kind] = base_s + weight * (time_s - base_s)
        return time_s / base_s


@attrs.define
class FixedLimit:
    """A limit that follows from the member's slots alone.

    Attributes
    ----------
    slots : int
        Statements that the member runs at once.
    owner_count : int
        Number of instances that own connections to the member.
    factor : float
        Statements at the member for each slot when all owners use their limit.
    """

    slots: int
    owner_count: int
    factor: float = 2.0

    @property
    def limit(self):
        """Statements that the owner may have in flight, at least 1."""
        return max(1.0, self.slots * self.factor / self.owner_count)

    def on_answer(self, ratio, in_flight, waiting_accounts):
        """Ignore the time of an answer."""

    def on_busy(self, now):
        """Ignore a refusal of the member."""

    def resize(self, maximum, slots_share):
        """Ignore a change of the owner's shares."""


@attrs.define
class AdaptiveLimit:
    """A limit that follows the time to serve, as Vegas does.

    Attributes
    ----------
    maximum : float
        Largest limit; also the first one, so that nothing waits before a load
        has been seen.
    floor : float
        Smallest limit: the owner's share of the member's slots, at least 1. Less
        than one statement would block an owner that has waiters. With more owners
        than slots all of them together thus exceed the slots, at most by the
        number of owners, which wait in the member's own queue.
    limit : float
        Statements that the owner may have in flight.
    ratio : float
        Smoothed ratio of the time to serve to that with little load.
    busy_until : float
        Monotonic time until which further refusals belong to the same overload.

    Notes
    -----
    By Little's law, ``in_flight * (1 - 1 / ratio)`` of the owner's statements wait
    at the member. Each owner keeps that number near a target. All owners of a
    member see the same ratio, so their rates are in proportion to their targets
    (Low et al.). The target is in proportion to the accounts that wait here:
    accounts get equal shares at all owners alike, however many an owner has and
    however much each of them asks for, and no message passes between owners.

    The limit only shrinks while the ratio shows a load, and grows back at once
    without one, so that it has no effect on a member that isn't saturated.

    References
    ----------
    L. S. Brakmo, L. L. Peterson, "TCP Vegas: end to end congestion avoidance on a
    global internet", IEEE JSAC 13(8), 1995.
    S. H. Low, L. L. Peterson, L. Wang, "Understanding TCP Vegas: a duality model",
    Journal of the ACM 49(2), 2002.
    """

    maximum: float
    floor: float = 1.0
    limit: float = attrs.field(default=attrs.Factory(lambda s: s.maximum, True))
    ratio: float = 1.0
    busy_until: float = float("-inf")

    def on_answer(self, ratio, in_flight, waiting_accounts):
        """Adapt the limit to an answer.

        Parameters
        ----------
        ratio : float
            Time to serve, divided by that of its kind with little load.
        in_flight : int
            Statements in flight when it was answered, itself included.
        waiting_accounts : int
            Client accounts with waiters.
        """
        self.ratio += SMOOTHING * (ratio - self.ratio)
        target = QUEUED_PER_ACCOUNT * max(1, waiting_accounts)
        queued = in_flight * (1.0 - 1.0 / max(1.0, self.ratio))
        step = 1.0 / self.limit
        if self.ratio < SATURATED_RATIO or queued < target:
            self.limit = min(self.maximum, self.limit + step)
        elif queued > target + QUEUED_MARGIN:
            self.limit = max(self.floor, self.limit - step)

    def resize(self, maximum, slots_share):
        """Change the bounds; a limit that was at the largest one stays there.

        Parameters
        ----------
        maximum : float
            Connections that this owner may have.
        slots_share : float
            Slots of the member, divided by its owners.
        """
        is_shrunk = self.limit < self.maximum
        self.maximum = max(1.0, maximum)
        self.floor = min(self.maximum, max(1.0, slots_share))
        self.limit = max(self.floor, min(self.limit, self.maximum))
        if not is_shrunk:
            self.limit = self.maximum

    def on_busy(self, now):
        """Shrink the limit after the member had no room for a statement."""
        if now >= self.busy_until:
            self.busy_until = now + BUSY_PAUSE_S
            self.limit = max(self.floor, self.limit * BUSY_FACTOR)


@attrs.define
class RunningStatement:
    """A statement in flight, or room that is reserved for one.

    Attributes
    ----------
    priority : int
        Priority of the statement that the connection was assigned for.
    kind : object
        Kind of the statement; None if its time isn't compared.
    started_at : float
        Monotonic time at which it was sent.
    is_running : bool
        Whether it holds room; not between two statements of a transaction.
    """

    priority: int
    kind: object = None
    started_at: float = 0.0
    is_running: bool = True


class Room:
    """Statements that this owner has in flight at one member, and their limit.

    Parameters
    ----------
    limiter : FixedLimit or AdaptiveLimit
        Decides the limit.

    Attributes
    ----------
    assigned : dict of object to RunningStatement
        By connection in use.
    in_flight : int
        Number of statements that hold room.
    usual_times : UsualTimes
        Times to serve with little load.
    service_s : float
        Smoothed time to serve in seconds.
    """

    def __init__(self, limiter):
        self.limiter = limiter
        self.assigned = {}
        self.in_flight = 0
        self.usual_times = UsualTimes()
        self.service_s = 0.0

    @property
    def turn_s(self):
        """Expected time between two assignments, by Little's law, in seconds."""
        return self.service_s / max(1, self.in_flight)

    def has_space(self, further=0):
        """Return whether one more statement may be sent.

        Parameters
        ----------
        further : int
            Connections that are being opened, which also takes a slot.
        """
        return self.in_flight + further < int(self.limiter.limit)

    def assign(self, connection, priority):
        """Reserve room for the statement that a connection is assigned for."""
        self.assigned[connection] = RunningStatement(priority)
        self.in_flight += 1

    def send(self, connection, kind, now):
        """Record that a statement is sent.

        Notes
        -----
        The next statement of a transaction doesn't wait for room: it holds a
        connection and locks, which others wait for.
        """
        running = self.assigned.get(connection)
        if running is None:
            return
        running.kind = None if kind is None else (kind, running.priority)
        running.started_at = now
        if not running.is_running:
            running.is_running = True
            self.in_flight += 1

    def answer(self, connection, is_busy, waiting_accounts, now, is_failed=False):
        """Record an answer.

        Parameters
        ----------
        connection : object
            Connection that the statement was sent on.
        is_busy : bool
            Whether the member refused the statement for lack of room.
        waiting_accounts : int
            Client accounts with waiters.
        now : float
            Monotonic seconds.
        is_failed : bool
            Whether the answer is another error, whose time isn't compared: a
            member that fails at once would make the usual times too short.
        """
        running = self.assigned.get(connection)
        if running is None or not running.is_running:
            return
        if is_busy:
            self.limiter.on_busy(now)
        elif running.kind is not None and not is_failed:
            time_s = now - running.started_at
            weight = SMOOTHING if self.service_s else 1.0
            self.service_s += weight * (time_s - self.service_s)
            ratio = self.usual_times.compare(running.kind, time_s)
            if ratio is not None:
                self.limiter.on_answer(ratio, self.in_flight, waiting_accounts)
        running.is_running = False
        self.in_flight -= 1

    def release(self, connection):
        """Free what a connection that is no longer in use still holds."""
        running = self.assigned.pop(connection, None)
        if running is not None and running.is_running:
            self.in_flight -= 1
