"""Which instances and members this instance reaches, as the fleet finds out.

A path counts as unreachable only after this instance's own ping got no answer, or
after the loss of its connection. What other instances report is a hint that makes
this one ping before it sends further statements. All times are monotonic seconds
of this instance.
"""

import enum
import heapq

import attrs

MAX_TICK_GAP_S = 0.1  # a longer pause of this instance is no silence of others
RESET_S = 5.0  # without a loss, after which the limits start anew
HINT_PAUSE_S = 1.0  # after an answered ping, in which hints are ignored
MAX_CHECKS = 64  # other peers that are pinged because one became unreachable
CHECK_INTERVAL_S = 0.5  # between two such checks
MAX_TRIALS_PER_TICK = 2  # pings of unreachable peers; 40 a second
MAX_SAMPLES_PER_S = 0.5  # pings that only measure the round trip
SAMPLE_AGE_S = 60.0  # after which a round trip is measured again
SPREAD_S = 1.5  # age up to which findings are passed on
SAME_FINDING_S = 0.1  # findings of one event, whose ages differ by the way
MAX_FINDINGS = 64  # kept, by age
MAX_IN_NEWS = 16  # findings in an answer with the fleet's state
MAX_IN_ANSWER = 4  # findings in an answer to a statement
REPEAT_S = 1.0  # after which an owner tells again that it doesn't reach a member
MARK_S = 2.5  # until an owner that has not told it again is asked again
MAX_PATHS = 6  # instances through which a member is tried before it is given up


class Cause(enum.Enum):
    """Why a path is unreachable."""

    PING = "no answer"
    CONNECTION = "connection lost"


@attrs.frozen
class Limits:
    """Bounds of the times that follow the observed round trip.

    Attributes
    ----------
    min_silence_s, max_silence_s : float
        Time after which an unanswered request is followed by a ping.
    min_ping_s, max_ping_s : float
        Time limit of a ping.
    default_s : float
        Value of both before a round trip was observed.
    min_trial_s, max_trial_s : float
        Interval between the pings of an unreachable peer, which doubles.
    """

    min_silence_s: float
    max_silence_s: float
    min_ping_s: float
    max_ping_s: float
    default_s: float
    min_trial_s: float
    max_trial_s: float


# The lowest values leave room for a process that waits for half a core.
INSTANCE_LIMITS = Limits(0.1, 0.3, 0.15, 0.6, 0.15, 0.1, 0.8)
# A member is pinged by a new connection if all others are in use.
MEMBER_LIMITS = Limits(0.2, 0.5, 0.2, 0.6, 0.25, 0.1, 0.8)


@attrs.frozen
class Ping:
    """Ping a peer; report the result with `on_answer` or `on_lost`."""

    name: str


@attrs.frozen
class Unreachable:
    """A peer does not answer: nothing more is sent to it but pings.

    Attributes
    ----------
    name : str
        The peer.
    cause : Cause
        What made it so.
    origin : str
        Instance whose hint led to the ping; empty for an own finding.
    """

    name: str
    cause: Cause
    origin: str = ""


@attrs.frozen
class Recovered:
    """An unreachable peer has answered; `after_s` is the time since its loss."""

    name: str
    after_s: float


@attrs.define
class RoundTrip:
    """Smoothed round trip and its mean deviation.

    Notes
    -----
    The estimator of TCP's retransmission timer [1]_, with its gains of 1/8 and
    1/4 and its limit of four deviations.

    References
    ----------
    .. [1] Paxson et al., RFC 6298, Computing TCP's Retransmission Timer, 2011.
    """

    smoothed_s: float = 0.0
    deviation_s: float = 0.0
    measured_at: float = float("-inf")

    def record(self, sample_s, now):
        """Add a measured round trip."""
        if self.measured_at == float("-inf"):
            self.smoothed_s, self.deviation_s = sample_s, sample_s / 2.0
        else:
            error_s = abs(self.smoothed_s - sample_s)
            self.deviation_s += (error_s - self.deviation_s) / 4.0
            self.smoothed_s += (sample_s - self.smoothed_s) / 8.0
        self.measured_at = now

    def limit_s(self, low_s, high_s, default_s):
        """Return the time within which an answer is expected, within bounds."""
        if self.measured_at == float("-inf"):
            return default_s
        return min(high_s, max(low_s, self.smoothed_s + 4.0 * self.deviation_s))


@attrs.define
class Peer:
    """What is known about the path to one peer.

    Attributes
    ----------
    heard_at : float
        When it last answered.
    round_trip : RoundTrip
        Of pings.
    unreachable_since : float or None
        When it became so; None while it may be used.
    pinged_at, ping_until : float or None
        When the outstanding ping was sent, and until when it may be answered.
    doubtful_from : float
        When it is no longer used, while that ping is not answered.
    origin : str
        Instance whose hint led to that ping.
    trial_at, trial_s : float
        Time of the next ping of an unreachable peer, and interval after it.
    last_loss, backoff : float
        Time of the last loss, and factor on the limit of pings since.
    hints_from : float
        Hints are ignored before this time.
    """

    heard_at: float = float("-inf")
    round_trip: RoundTrip = attrs.field(factory=RoundTrip)
    unreachable_since: float | None = None
    pinged_at: float | None = None
    ping_until: float = 0.0
    doubtful_from: float = 0.0
    origin: str = ""
    trial_at: float = 0.0
    trial_s: float = 0.0
    last_loss: float = float("-inf")
    backoff: float = 1.0
    hints_from: float = float("-inf")


class Reachability:
    """Decides which peers are used, and which are pinged when.

    Parameters
    ----------
    limits : Limits
        Bounds of all times.

    Attributes
    ----------
    places : dict of str to str
        Data centre of each registered peer.
    peers : dict of str to Peer
        Peers that something was sent to.
    doubtful, pinged : set of str
        Peers that are unreachable or have an outstanding ping, and only the latter.
    typical : RoundTrip
        Of all peers; used for those without an observation.

    Notes
    -----
    There is one ping at a time to a peer. A peer that has a ping outstanding
    for longer than expected is not used until it has answered, and one that
    exceeds the limit counts as unreachable. It is then pinged at growing intervals, and
    used again after the first answer. Statements are never sent as a trial.

    Paths fail together more often than alone: a loss by ping makes this
    instance ping other peers that it has not heard from meanwhile, those in the
    same data centre first, and those in use before all others.
    """

    def __init__(self, limits=INSTANCE_LIMITS):
        self.limits = limits
        self.places = {}
        self.peers = {}
        self.doubtful = set()
        self.pinged = set()
        self.typical = RoundTrip()
        self.trials = []
        self.ticked_at = None
        self.checked_at = float("-inf")
        self.samples = 1.0

    def set_places(self, places):
        """Set the registered peers, by name with data centre; forgets all others."""
        self.places = places
        for name in [name for name in self.peers if name not in places]:
            self.forget(name)

    def forget(self, name):
        """Forget what is known about a peer, which is not pinged any more."""
        self.peers.pop(name, None)
        self.doubtful.discard(name)
        self.pinged.discard(name)

    def is_usable(self, name, now):
        """Return whether statements may be sent to a peer."""
        if name not in self.doubtful:
            return True
        peer = self.peers[name]
        return peer.unreachable_since is None and now < peer.doubtful_from

    def is_unreachable(self, name):
        """Return whether a peer is known not to answer."""
        return name in self.doubtful and self.peers[name].unreachable_since is not None

    def find_unreachable(self):
        """Return the names of the peers that are known not to answer."""
        return [name for name in self.doubtful if self.is_unreachable(name)]

    def next_trial_s(self, name, now):
        """Return the time until an unreachable peer's next ping may be answered."""
        peer = self.peers[name]
        return max(peer.trial_at - now, 0.0) + self.limits.min_trial_s

    def on_send(self, name, now):
        """Note that a request is sent to a peer; returns pings to send with it.

        Notes
        -----
        A ping is due if the round trip is not known or was measured long ago.
        """
        peer = self._find(name)
        if (
            peer.pinged_at is not None
            or now - peer.round_trip.measured_at < SAMPLE_AGE_S
            or self.samples < 1.0
        ):
            return []
        self.samples -= 1.0
        return self._ping(name, now, now + self._expected_s(peer))

    def on_heard(self, name, now):
        """Note any answer of a peer other than to a ping."""
        peer = self.peers.get(name)
        if peer is not None:
            peer.heard_at = now

    def on_answer(self, name, now):
        """Handle the answer to a ping; returns a Recovered if it was unreachable."""
        peer = self.peers.get(name)
        if peer is None or name not in self.doubtful:
            return []
        if peer.unreachable_since is None:
            sample_s = now - peer.pinged_at
            # Pings of unreachable peers include the time to connect.
            peer.round_trip.record(sample_s, now)
            self.typical.record(sample_s, now)
        peer.heard_at = now
        peer.pinged_at = None
        peer.origin = ""
        peer.hints_from = now + HINT_PAUSE_S
        self.doubtful.discard(name)
        self.pinged.discard(name)
        if peer.unreachable_since is None:
            return []
        after_s = now - peer.unreachable_since
        peer.unreachable_since = None
        return [Recovered(name, after_s)]

    def on_lost(self, name, now):
        """Handle the loss of the connection to a peer, or a failed connect."""
        peer = self._find(name)
        if peer.unreachable_since is not None:
            if peer.pinged_at is not None:
                self._end_trial(name, peer, now)
            return []
        return [self._give_up(name, peer, Cause.CONNECTION, now)]

    def on_contact(self, name, now):
        """Handle a message that a peer sent on its own.

        Notes
        -----
        It doesn't show that the peer gets what is sent to it. An unreachable peer is
        pinged sooner.
        """
        if name in self.doubtful and self.is_unreachable(name):
            peer = self.peers[name]
            at = max(now, peer.trial_at - peer.trial_s + self.limits.min_trial_s)
            if at < peer.trial_at:
                peer.trial_at = at
                heapq.heappush(self.trials, (at, name))

    def check(self, name, now):
        """Return a ping for a peer that seems not to answer something else."""
        peer = self._find(name)
        if name in self.doubtful:
            return []
        return self._ping(name, now, now + self._expected_s(peer))

    def on_hint(self, name, found_at, origin, now):
        """Handle that another instance does not reach a peer at `found_at`.

        Returns
        -------
        list of Ping
            One, unless this instance has heard from the peer since, or has pinged
            it not long ago.
        """
        if name not in self.places:
            return []
        peer = self._find(name)
        if name in self.doubtful or peer.heard_at >= found_at or now < peer.hints_from:
            return []
        peer.origin = origin
        return self._ping(name, now, now)

    def tick(self, now, waiting):
        """Return the actions that are due.

        Parameters
        ----------
        now : float
            The time. Call this about every 0.05 s.
        waiting : dict of str to float
            For peers with unanswered requests, when the oldest was sent.

        Returns
        -------
        list of Ping or Unreachable
        """
        last, self.ticked_at = self.ticked_at, now
        gap_s = 0.0 if last is None else now - last
        self.samples = min(2.0, self.samples + gap_s * MAX_SAMPLES_PER_S)
        pause_s = gap_s if gap_s > MAX_TICK_GAP_S else 0.0
        found = []
        unreachable = []
        for name in list(self.pinged):
            peer = self.peers[name]
            peer.ping_until += pause_s
            if now < peer.ping_until:
                continue
            if peer.unreachable_since is not None:
                self._end_trial(name, peer, now)
                continue
            found.append(self._give_up(name, peer, Cause.PING, now))
            unreachable.append(name)
        found.extend(self._ping_silent(now, waiting, pause_s))
        found.extend(self._check_others(unreachable, now))
        found.extend(self._start_trials(now))
        return found

    def _ping_silent(self, now, waiting, pause_s):
        limits = self.limits
        found = []
        for name, sent_at in waiting.items():
            waited_s = now - sent_at - pause_s
            if waited_s < limits.min_silence_s or name in self.doubtful:
                continue
            peer = self._find(name)
            silence_s = self._limit_s(peer, limits.min_silence_s, limits.max_silence_s)
            if min(waited_s, now - peer.heard_at - pause_s) >= silence_s:
                found.extend(self._ping(name, now, now + self._expected_s(peer)))
        return found

    def _check_others(self, unreachable, now):
        if not unreachable or now - self.checked_at < CHECK_INTERVAL_S:
            return []
        self.checked_at = now
        near = {self.places.get(name) for name in unreachable}
        limit_s = self.limits.min_silence_s + self.limits.min_ping_s
        unknown = Peer()
        names = [
            name
            for name in self.places
            if name not in self.doubtful
            and now - self.peers.get(name, unknown).heard_at > limit_s
        ]
        names.sort(
            key=lambda name: (name not in self.peers, self.places[name] not in near)
        )
        found = []
        for name in names[:MAX_CHECKS]:
            peer = self._find(name)
            found.extend(self._ping(name, now, now + self._expected_s(peer)))
        return found

    def _start_trials(self, now):
        found = []
        while self.trials and self.trials[0][0] <= now:
            if len(found) >= MAX_TRIALS_PER_TICK:
                break
            at, name = heapq.heappop(self.trials)
            peer = self.peers.get(name)
            if (
                peer is not None
                and peer.unreachable_since is not None
                and peer.pinged_at is None
                and at == peer.trial_at
            ):
                found.extend(self._ping(name, now, now))
        return found

    def _find(self, name):
        peer = self.peers.get(name)
        if peer is None:
            peer = self.peers[name] = Peer()
        return peer

    def _limit_s(self, peer, low_s, high_s):
        round_trip = peer.round_trip
        if round_trip.measured_at == float("-inf"):
            round_trip = self.typical
        return round_trip.limit_s(low_s, high_s, self.limits.default_s)

    def _expected_s(self, peer):
        """Return the time in which the answer to a ping is expected."""
        return self._limit_s(peer, 0.5 * self.limits.min_silence_s, 0.15)

    def _ping(self, name, now, doubtful_from):
        limits = self.limits
        peer = self.peers[name]
        limit_s = self._limit_s(peer, limits.min_ping_s, limits.max_ping_s)
        peer.pinged_at = now
        peer.ping_until = now + min(limits.max_ping_s, peer.backoff * limit_s)
        peer.doubtful_from = doubtful_from
        self.doubtful.add(name)
        self.pinged.add(name)
        return [Ping(name)]

    def _give_up(self, name, peer, cause, now):
        limits = self.limits
        is_repeated = now - peer.last_loss < RESET_S
        peer.backoff = min(4.0, 2.0 * peer.backoff) if is_repeated else 1.0
        peer.last_loss = peer.unreachable_since = now
        peer.pinged_at = None
        self.pinged.discard(name)
        peer.trial_s = limits.min_trial_s
        # A lost connection is often replaced at once.
        peer.trial_at = now if cause is Cause.CONNECTION else now + peer.trial_s
        self.doubtful.add(name)
        heapq.heappush(self.trials, (peer.trial_at, name))
        origin, peer.origin = peer.origin, ""
        return Unreachable(name, cause, origin)

    def _end_trial(self, name, peer, now):
        peer.pinged_at = None
        self.pinged.discard(name)
        peer.trial_s = min(self.limits.max_trial_s, 2.0 * peer.trial_s)
        peer.trial_at = now + peer.trial_s
        heapq.heappush(self.trials, (peer.trial_at, name))


@attrs.frozen
class Finding:
    """Something that an instance has found out about a path.

    Attributes
    ----------
    instance : str
        Instance that does not answer, or that reports about a member.
    member : str
        Member that this instance does not reach, or reaches again; empty for the
        instance itself.
    is_lost : bool
        Whether the path is lost rather than restored.
    found_at : float
        When it was found.
    origin : str
        Instance that found it.
    """

    instance: str
    member: str
    is_lost: bool
    found_at: float
    origin: str


class Findings:
    """Findings of the fleet that are recent enough to be passed on.

    Attributes
    ----------
    recent : dict of tuple of (str, str) to Finding
        Latest finding by instance and member.
    outgoing : list of Finding
        Findings to pass on, latest first; set by `update`.
    """

    def __init__(self):
        self.recent = {}
        self.outgoing = []

    def add(self, finding, now):
        """Record a finding; returns whether it says anything new.

        Notes
        -----
        The age of a finding grows by its way through the fleet, so that one that
        is hardly later than the known one is the same.
        """
        if now - finding.found_at > SPREAD_S:
            return False
        key = (finding.instance, finding.member)
        known = self.recent.get(key)
        if known is not None:
            later_s = finding.found_at - known.found_at
            if later_s <= 0.0 or (
                known.is_lost == finding.is_lost and later_s < SAME_FINDING_S
            ):
                return False
        self.recent[key] = finding
        return True

    def update(self, now):
        """Drop old findings, and set those to pass on."""
        if not self.recent:
            return
        kept = [
            found for found in self.recent.values() if now - found.found_at <= SPREAD_S
        ]
        kept.sort(key=lambda found: found.found_at, reverse=True)
        del kept[MAX_FINDINGS:]
        self.recent = {(found.instance, found.member): found for found in kept}
        self.outgoing = kept


class OwnerMarks:
    """Owners of connections that do not reach a member.

    Attributes
    ----------
    marks : dict of str to dict of str to float
        End of each mark, by member and owner.

    Notes
    -----
    An owner tells when it reaches the member again, and repeats until then that
    it does not. A mark that neither has reached ends by itself: an owner that
    is asked too early refuses at once, which costs a round trip.
    """

    def __init__(self):
        self.marks = {}

    def find_marked(self, member, now):
        """Return the names of the owners that are known not to reach a member."""
        marks = self.marks.get(member, {})
        return {owner for owner, until in marks.items() if now < until}

    def mark(self, owner, member, found_at):
        """Note that an owner did not reach a member at `found_at`."""
        marks = self.marks.setdefault(member, {})
        marks[owner] = max(marks.get(owner, found_at), found_at + MARK_S)

    def clear(self, owner, member):
        """Note that an owner reaches a member."""
        marks = self.marks.get(member, {})
        marks.pop(owner, None)
        if not marks:
            self.marks.pop(member, None)

    def forget(self, owners, now):
        """Drop the marks of owners that are not registered any more."""
        for member, marks in list(self.marks.items()):
            for owner, until in list(marks.items()):
                if owner not in owners or now >= until:
                    self.clear(owner, member)


def choose_paths(near, elsewhere, marked, own, reaches):
    """Return the instances that statements for a member may go through.

    Parameters
    ----------
    near : dict of str to Instance
        Usable instances in the member's data centre.
    elsewhere : callable
        Returns the usable instances of all data centres in the same form.
    marked : set of str
        Instances that are known not to reach the member.
    own : str
        Name of this instance.
    reaches : bool
        Whether this instance reaches the member, as far as it knows.

    Returns
    -------
    dict of str to Instance
        Empty if this instance shall use the member itself, or if nobody is known
        to reach it. The caller checks the latter.

    Notes
    -----
    After `MAX_PATHS` instances have not reached a member, it is taken for
    unreachable, so that a statement for a dead member does not go through the
    whole fleet.
    """
    blocked = marked if reaches else marked | {own}
    found = {name: peer for name, peer in near.items() if name not in blocked}
    if found or reaches or len(marked) >= MAX_PATHS:
        return found
    others = elsewhere()
    return {name: peer for name, peer in others.items() if name not in blocked}
