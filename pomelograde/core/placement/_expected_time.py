"""Expected time to an answer, by which the reads of one instance are placed."""

import enum

import attrs

from pomelograde.core.placement import _locality

HALF_LIFE_S = 0.5  # in which half of what a report says about load is forgotten
SMOOTHING_HALF_LIFE_S = 0.1  # of the reports before the last one
MIN_SMOOTHING_WEIGHT = 0.2  # of a new report
# A low quantile: samples below it pull it down at once, those above it raise it
# slowly, so that it follows a change of the work within some hundred answers.
FLOOR_FALL = 0.3
FLOOR_RISE = 0.01
RATIO_WEIGHT = 0.1  # of the last answer in the mean ratio to the time when idle
RATIO_RISE = 0.02  # part by which an answer raises the usual ratio, at most
WORK_WEIGHT = 0.05  # of the last answer in the mean work of a statement
PRIOR_WORK_MS = 20.0  # of a statement, until one has been answered
# Time that a refusal costs a caller: another attempt, in most cases elsewhere.
REFUSAL_MS = 100.0
REFUSAL_WEIGHT = 0.2  # of the last answer in the share of refusals
# Statements that a read on the primary waits for in addition, as writes can be
# served nowhere else.
PRIMARY_LOAD = 1.0
# Rounds of a member's slots that own statements count for at most: open
# transactions that run nothing are among them.
MAX_OWN_ROUNDS = 2
QUEUE_COST = 2.0  # who waits makes those who come after wait, too
FRESH_S = 0.05  # age of all reports up to which the best member is known
MIN_COST_MS = 0.1
QUEUE_PART = 0.25  # by which the usual time is exceeded if there is a queue
QUEUE_NEWS_S = 2.0  # after a queue, in which instances tell of a member
MAX_NEWS_AGE_S = 1.0  # after which other instances are not told any more
LOG_THRESHOLD = 0.2  # change of a share that is reported


class Spill(enum.Enum):
    """Why a read goes to a farther member than the nearest registered one."""

    TIME = "time"
    REFUSALS = "refusals"
    NOT_ALLOWED = "not_allowed"


@attrs.frozen
class Report:
    """What an owner of connections says of a member with an answer.

    Attributes
    ----------
    served_ms : float
        Time that the member took for the statement.
    queue : int
        Statements that wait at the owner for a connection to the member.
    in_flight : int
        Statements of the owner that run at the member.
    """

    served_ms: float
    queue: int = 0
    in_flight: int = 0


@attrs.define
class Estimate:
    """What an instance knows of the load of one member.

    Attributes
    ----------
    stretch : float
        Smoothed time to serve, as a multiple of what statements of that kind
        take at the fastest member under little load.
    idle : float or None
        The same under little load; None before the first report.
    wait_ms : float
        Time for which statements waited for a connection at the last report.
    at : float
        Monotonic time that the last report describes.
    queued_at : float
        Monotonic time of the last report, of any instance, that shows a queue.
    refused : float
        Smoothed share of the statements that were refused.
    refused_at : float
        Monotonic time of the last refusal or report.
    """

    stretch: float = 1.0
    idle: float = None
    wait_ms: float = 0.0
    at: float = float("-inf")
    queued_at: float = float("-inf")
    refused: float = 0.0
    refused_at: float = float("-inf")


class ExpectedTimes:
    """Expected times at the members of one group, as one instance sees them.

    Parameters
    ----------
    place : Place
        Place of the instance.
    exchange : Exchange
        What leaving the place is worth.
    round_trips : RoundTrips
        Observed round trips; shared by all groups.
    random : random.Random
        Source of randomness.

    Attributes
    ----------
    estimates : dict of str to Estimate
        Estimates by member.
    shares : Shares
        Parts of the reads that leave the place.
    work_ms : float
        Smoothed time that a statement takes under little load.
    works_ms : dict of object to float
        Time that a statement of each kind takes under little load.
    prior_idle : float
        Median of the members' `Estimate.idle`.
    ratio_mean, usual_ratio : float
        Running mean of how much longer answers take than `Estimate.idle`, and
        the same under little load; above 1 if the work of one kind varies.
    levels : dict of str to Level
        Levels of the data centres of the registered members.
    home_level : Level
        Level of the nearest registered members.
    spilled : dict of Spill to int
        Number of reads that were to leave for a farther member, by reason.

    Notes
    -----
    The cost of a member is the expected time to an answer in milliseconds: the
    round trip, the wait for a connection, the time to serve, and for each
    refusal the time that it costs, plus the price of leaving the place. Time in
    queues counts `QUEUE_COST` times, which approximates the marginal cost [2]_:
    at equal times, a crowded member would get more than is best for all. What
    reports say about load is forgotten by and by, towards the time of the
    member under little load. Deviations that are usual there count as no queue.

    Decisions by old reports of load are worse than random ones, since all
    instances choose the same member [1]_. Among members of one level a random
    one is taken therefore, in proportion to its room and to the inverse of its
    cost, and statements leave the place in shares that change gradually. The
    better of two random ones swings as well at the age that reports have here.

    References
    ----------
    .. [1] M. Mitzenmacher, "How useful is old information?", IEEE Transactions
       on Parallel and Distributed Systems 11(1), 2000; on two choices, "The
       power of two choices in randomized load balancing", same journal 12(10),
       2001.
    .. [2] T. Roughgarden, E. Tardos, "How bad is selfish routing?", Journal of
       the ACM 49(2), 2002.
    """

    def __init__(self, place, exchange, round_trips, random):
        self.place = place
        self.exchange = exchange
        self.round_trips = round_trips
        self.random = random
        self.estimates = {}
        self.shares = _locality.Shares()
        self.work_ms = PRIOR_WORK_MS
        self.works_ms = {}
        self.prior_idle = 1.0
        self.ratio_mean = self.usual_ratio = 1.0
        self.levels = {}
        self.home_level = _locality.Level.OTHER_REGION
        self.spilled = dict.fromkeys(Spill, 0)

    def set_members(self, members):
        """Forget all members but those in the dict of Member by name."""
        for name in self.estimates.keys() - members.keys():
            del self.estimates[name]
        self.levels.clear()
        levels = [self.level_of(member) for member in members.values()]
        self.home_level = min(levels, default=_locality.Level.OTHER_REGION)

    def level_of(self, member):
        """Return the Level of a member; remembered, as it takes time to find."""
        level = self.levels.get(member.data_centre)
        if level is None:
            level = self.levels[member.data_centre] = self.place.level_of(member)
        return level

    def on_report(self, name, kind, report, now):
        """Record an owner's report.

        Parameters
        ----------
        name : str
            Name of the member.
        kind : object
            Kind of the statement; statements of one kind take alike.
        report : Report
            The report.
        now : float
            Monotonic seconds of the answer.
        """
        served_ms = max(0.01, report.served_ms)
        work_ms = self.works_ms[kind] = _lower(self.works_ms.get(kind), served_ms)
        self.work_ms += WORK_WEIGHT * (work_ms - self.work_ms)
        stretch = served_ms / work_ms
        wait_ms = report.queue * served_ms / max(1, report.in_flight)
        self.on_stretch(name, stretch, wait_ms, now)
        estimate = self.estimates[name]
        estimate.idle = _lower(estimate.idle, stretch)
        self.ratio_mean += RATIO_WEIGHT * (stretch / estimate.idle - self.ratio_mean)
        self.usual_ratio = _lower(self.usual_ratio, self.ratio_mean, RATIO_RISE)
        self._record_outcome(estimate, 0.0, now)
        idle = [known.idle for known in self.estimates.values() if known.idle]
        idle.sort()
        self.prior_idle = idle[len(idle) // 2]

    def on_stretch(self, name, stretch, wait_ms, at):
        """Record what is known of a member's load at a time, by any instance."""
        estimate = self.estimates.get(name)
        if estimate is None:
            estimate = self.estimates[name] = Estimate()
        if at < estimate.at:
            return
        weight = max(
            MIN_SMOOTHING_WEIGHT,
            1.0 - 0.5 ** ((at - estimate.at) / SMOOTHING_HALF_LIFE_S),
        )
        estimate.stretch += weight * (stretch - estimate.stretch)
        estimate.wait_ms += weight * (wait_ms - estimate.wait_ms)
        estimate.at = at
        usual = (estimate.idle or self.prior_idle) * self.usual_ratio
        if estimate.wait_ms >= 1.0 or estimate.stretch > (1.0 + QUEUE_PART) * usual:
            estimate.queued_at = at

    def find_loaded(self, now):
        """Return what other instances of the region should know.

        Returns
        -------
        list of tuple
            Name and Estimate of each member with a report of the last
            `MAX_NEWS_AGE_S` that had a queue within `QUEUE_NEWS_S`, so that its
            end is told, too. Of others there is nothing to say.
        """
        return [
            (name, known)
            for name, known in self.estimates.items()
            if now - known.at <= MAX_NEWS_AGE_S
            and now - known.queued_at <= QUEUE_NEWS_S
        ]

    def on_refused(self, name, now):
        """Record that an owner or a member refused a statement for lack of room."""
        estimate = self.estimates.get(name)
        if estimate is None:
            estimate = self.estimates[name] = Estimate()
        self._record_outcome(estimate, 1.0, now)

    def _record_outcome(self, estimate, refused, now):
        known = estimate.refused * _decay(now - estimate.refused_at)
        estimate.refused = known + REFUSAL_WEIGHT * (refused - known)
        estimate.refused_at = now

    def expected_ms(self, member, is_primary, now, queue_weight=1.0):
        """Return the expected time to an answer, in milliseconds.

        Parameters
        ----------
        member : Member
            Member of the group.
        is_primary : bool
            Whether it is the primary.
        now : float
            Monotonic seconds.
        queue_weight : float
            Weight of the time spent in queues.
        """
        level = self.level_of(member)
        estimate = self.estimates.get(member.name)
        round_trip_ms = self.round_trips.observed_ms.get(member.data_centre)
        if round_trip_ms is None:
            round_trip_ms = _locality.PRIOR_ROUND_TRIP_MS[level]
        idle = self.prior_idle
        wait_ms = refusal_ms = excess = 0.0
        if estimate is not None:
            idle = estimate.idle or idle
            decay = 0.5 ** ((now - estimate.at) / HALF_LIFE_S)
            excess = max(0.0, estimate.stretch - idle * self.usual_ratio) * decay
            wait_ms = estimate.wait_ms * decay
            if estimate.refused:
                decay = _decay(now - estimate.refused_at)
                refusal_ms = REFUSAL_MS * estimate.refused * decay
        slots = max(1, member.slots)
        ahead = min(member.outstanding, MAX_OWN_ROUNDS * slots)
        if is_primary:
            ahead += PRIMARY_LOAD
        idle_ms = self.work_ms * self.usual_ratio * idle * (1.0 + ahead / slots)
        queue_ms = wait_ms + self.work_ms * excess
        return round_trip_ms + idle_ms + queue_weight * queue_ms + refusal_ms

    def cost_ms(self, member, is_primary, now):
        """Return the expected time plus the price of leaving the place."""
        price_ms = self.exchange.prices_ms[self.level_of(member)]
        return self.expected_ms(member, is_primary, now, QUEUE_COST) + price_ms

    def order(self, ranked, now):
        """Return members in the order in which a read tries them.

        Parameters
        ----------
        ranked : list of tuple
            Cost by `cost_ms`, number of statements sent, name and Member of
            each member that may serve the read, by ascending cost.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of Member
            The nearest members first, but for the member of another place that
            this read goes to by its share.
        """
        if not ranked:
            return []
        known = self.levels  # of all of them, since their costs were computed
        levels = [known[entry[3].data_centre] for entry in ranked]
        nearest = min(levels)
        near, far = [], []
        for entry, level in zip(ranked, levels, strict=True):
            (near if level is nearest else far).append(entry)
        if nearest > self.home_level:
            self.spilled[Spill.NOT_ALLOWED] += 1
        if len(near) > 1:
            self._spread(near, now)
        if far:
            costs = [(entry[2], entry[0]) for entry in far]
            self.shares.update(min(entry[0] for entry in near), costs, now)
            names = [entry[2] for entry in far]
            chosen = self.shares.choose(names, self.random.random())
            if chosen is not None:
                self._count_spill(near[0])
                first = [entry for entry in far if entry[2] == chosen]
                rest = [entry for entry in far if entry[2] != chosen]
                near, far = first + near, rest
        return [entry[3] for entry in near + far]

    def _spread(self, near, now):
        """Move a random near member to the front, unless the best one is known."""
        weights = []
        is_known = True
        for cost, _, name, member in near:
            known = self.estimates.get(name)
            idle = self.prior_idle
            if known is None or now - known.at > FRESH_S:
                is_known = False
            if known is not None and known.idle is not None:
                idle = known.idle
            weights.append(max(1, member.slots) / (idle * max(cost, MIN_COST_MS)))
        if not is_known:
            draws = self.random.choices(range(len(near)), weights)
            near.insert(0, near.pop(draws[0]))

    def _count_spill(self, near):
        estimate = self.estimates.get(near[2])
        refuses = estimate is not None and estimate.refused >= REFUSAL_WEIGHT
        self.spilled[Spill.REFUSALS if refuses else Spill.TIME] += 1

    def take_changes(self):
        """Return name and share of the members whose share changed noticeably."""
        return self.shares.take_changes(LOG_THRESHOLD)


def _lower(floor, sample, rise=FLOOR_RISE):
    """Return a low quantile after a further sample."""
    if floor is None:
        return sample
    if sample < floor:
        return floor + FLOOR_FALL * (sample - floor)
    return min(sample, floor * (1.0 + rise))


def _decay(age_s):
    return 0.5 ** (max(0.0, age_s) / HALF_LIFE_S)
