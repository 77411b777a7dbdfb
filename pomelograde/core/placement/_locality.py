"""How near members are, what leaving a place costs, and how much leaves it."""

import enum

import attrs

KILOBYTES_PER_STATEMENT = 0.57  # of a relayed statement and its answer
# One way 0.4 ms within a data centre; within and between regions, the sites in
# use have 0.9 to 5.4 ms and 12 ms.
PRIOR_ROUND_TRIP_MS = (1.0, 6.0, 24.0)
ROUND_TRIP_WEIGHT = 0.1  # of a new observation
# A round trip that exceeds the estimate by this factor was queued on the way.
OUTLIER_FACTOR = 4.0

UPDATE_INTERVAL_S = 0.1  # between changes of a share
MAX_UPDATE_S = 0.5  # time that one change stands for, after a pause
RISE_PER_S = 0.4  # of all shares together, at most
FALL_PER_S = 0.3  # part of a share that is left after a second, at least
# Part of the time that leaving must save or lose, times this, for the full pace.
PACE = 2.0
HYSTERESIS = 0.15  # of the near time, by which leaving must pay for a share to rise
MIN_HYSTERESIS_MS = 2.0
STEADY = 0.1  # part by which a time that rises or falls differs from its trend
TREND_HALF_LIFE_S = 0.3
NOISE_FACTOR = 2.0  # mean deviations of the near time that leaving must save
NOISE_HALF_LIFE_S = 2.0
MIN_SHARE = 0.01  # below it, a share is 0


class Level(enum.IntEnum):
    """How far a member is from an instance."""

    DATA_CENTRE = 0
    REGION = 1
    OTHER_REGION = 2


@attrs.frozen
class Place:
    """Data centre and region of an instance."""

    data_centre: str
    region: str

    def level_of(self, member):
        """Return the Level of a member.

        Notes
        -----
        A member of unknown region counts as in another region.
        """
        if member.data_centre == self.data_centre:
            return Level.DATA_CENTRE
        if member.region and member.region == self.region:
            return Level.REGION
        return Level.OTHER_REGION


@attrs.frozen
class Exchange:
    """What a kilobyte that leaves a place is worth in callers' time.

    Attributes
    ----------
    data_centre_ms_per_kb : float
        Milliseconds of a caller's time for a kilobyte between data centres of
        one region.
    region_ms_per_kb : float
        Milliseconds of a caller's time for a kilobyte between regions.
    prices_ms : tuple of float
        Price of a statement that is relayed over each Level.
    """

    data_centre_ms_per_kb: float = 5.0
    region_ms_per_kb: float = 20.0
    prices_ms: tuple = attrs.field(init=False)

    @prices_ms.default
    def _compute_prices(self):
        rates = (0.0, self.data_centre_ms_per_kb, self.region_ms_per_kb)
        return tuple(KILOBYTES_PER_STATEMENT * rate for rate in rates)


class RoundTrips:
    """Observed round trips from one instance to the data centres.

    Attributes
    ----------
    observed_ms : dict of str to float
        Smoothed round trip to each data centre, in milliseconds.
    """

    def __init__(self):
        self.observed_ms = {}

    def observe(self, data_centre, round_trip_ms):
        """Record a round trip without the time that the peer needed.

        Parameters
        ----------
        data_centre : str
            Data centre of the peer.
        round_trip_ms : float
            Time from the request to the answer minus the peer's time; values
            below 0, from clocks that tick coarsely, count as 0.

        Notes
        -----
        Smoothed as in [1]_, but without the variance. Single long round trips
        are cut to `OUTLIER_FACTOR` times the estimate, so that a peer that
        paused does not make its data centre seem far.

        References
        ----------
        .. [1] V. Jacobson, "Congestion avoidance and control", SIGCOMM 1988.
        """
        round_trip_ms = max(0.0, round_trip_ms)
        known = self.observed_ms.get(data_centre)
        if known is None:
            self.observed_ms[data_centre] = round_trip_ms
            return
        round_trip_ms = min(round_trip_ms, OUTLIER_FACTOR * known + 1.0)
        self.observed_ms[data_centre] = known + ROUND_TRIP_WEIGHT * (
            round_trip_ms - known
        )

    def expected_ms(self, data_centre, level):
        """Return the expected round trip to a data centre, in milliseconds."""
        known = self.observed_ms.get(data_centre)
        return PRIOR_ROUND_TRIP_MS[level] if known is None else known


@attrs.define
class Share:
    """Part of the statements that one member of another place gets.

    Attributes
    ----------
    value : float
        Between 0 and 1.
    logged : float
        Value when a change was last reported.
    """

    value: float = 0.0
    logged: float = 0.0


class Shares:
    """How much of a service's reads leaves the place of one instance.

    Attributes
    ----------
    by_member : dict of str to Share
        Share of each member that is not among the nearest ones.
    updated_at : float
        Monotonic time of the last change.
    trend_ms : float or None
        Smoothed cost of the nearest members.
    noise_ms : float
        Smoothed deviation of that cost from its trend.

    Notes
    -----
    A share rises by equal steps while leaving pays and falls by a factor when
    it does not. Of many sources that share a resource and see only its load,
    this leads to a fair and stable division [1]_. As a queue takes time to
    drain, a share rests while the near time falls anyway, and does not fall
    while it rises.

    References
    ----------
    .. [1] D. Chiu, R. Jain, "Analysis of the increase and decrease algorithms
       for congestion avoidance in computer networks", Computer Networks and
       ISDN Systems 17, 1989.
    """

    def __init__(self):
        self.by_member = {}
        self.updated_at = float("-inf")
        self.trend_ms = None
        self.noise_ms = 0.0

    def update(self, near_ms, far, now):
        """Change the shares if `UPDATE_INTERVAL_S` has passed.

        Parameters
        ----------
        near_ms : float
            Lowest expected cost among the nearest members.
        far : list of tuple of str and float
            Name and expected cost of the other members. Both costs contain
            the price of leaving.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            Whether the shares were updated.
        """
        elapsed_s = now - self.updated_at
        if elapsed_s < UPDATE_INTERVAL_S:
            return False
        self.updated_at = now
        elapsed_s = min(elapsed_s, MAX_UPDATE_S)
        needed_ms = max(
            MIN_HYSTERESIS_MS, HYSTERESIS * near_ms, NOISE_FACTOR * self.noise_ms
        )
        limit_ms = min((cost for _, cost in far), default=0.0) + needed_ms
        rising = sum(cost <= limit_ms for _, cost in far)
        if self.trend_ms is None:
            self.trend_ms = near_ms
        is_draining = near_ms < (1.0 - STEADY) * self.trend_ms
        is_growing = near_ms > (1.0 + STEADY) * self.trend_ms
        weight = 1.0 - 0.5 ** (elapsed_s / TREND_HALF_LIFE_S)
        self.trend_ms += weight * (near_ms - self.trend_ms)
        weight = 1.0 - 0.5 ** (elapsed_s / NOISE_HALF_LIFE_S)
        self.noise_ms += weight * (abs(near_ms - self.trend_ms) - self.noise_ms)
        names = set()
        for name, cost_ms in far:
            names.add(name)
            share = self.by_member.get(name)
            gain_ms = near_ms - cost_ms
            if gain_ms > needed_ms and cost_ms <= limit_ms:
                if is_draining:
                    continue
                if share is None:
                    share = self.by_member[name] = Share()
                step = RISE_PER_S / rising * min(1.0, PACE * gain_ms / near_ms)
                share.value = min(1.0, share.value + step * elapsed_s)
            elif share is not None and gain_ms < 0.0 and not is_growing:
                part = min(1.0, -PACE * gain_ms / cost_ms)
                share.value *= FALL_PER_S ** (part * elapsed_s)
                if share.value < MIN_SHARE:
                    share.value = 0.0
        for name in self.by_member.keys() - names:
            self.by_member[name].value = 0.0
        total = sum(share.value for share in self.by_member.values())
        if total > 1.0:
            for share in self.by_member.values():
                share.value /= total
        return True

    def choose(self, names, draw):
        """Return the member of another place that gets a statement, or None.

        Parameters
        ----------
        names : iterable of str
            Members that may get it.
        draw : float
            Random number from 0 up to 1.
        """
        for name in names:
            share = self.by_member.get(name)
            if share is None:
                continue
            if draw < share.value:
                return name
            draw -= share.value
        return None

    def take_changes(self, threshold):
        """Return name and value of the shares that have changed noticeably.

        Parameters
        ----------
        threshold : float
            Least change since the last report. A return to 0 counts, too.
        """
        changes = []
        for name, share in self.by_member.items():
            change = abs(share.value - share.logged)
            if change >= threshold or (change and not share.value):
                share.logged = share.value
                changes.append((name, share.value))
        return changes
