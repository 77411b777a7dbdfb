"""One instance's share of one client account's rate."""

import bisect

import attrs

from pomelograde.core.limits import _bucket

MAX_WAIT_S = 1.0  # longest wait for the rate
WAIT_PART = 0.5  # part of a request's time that it may wait for the rate
PLENTY = 2.0  # tokens; one may be there between two requests of a long queue
STANDING_S = 2.0  # after an outage what has gathered is served within about that
DEMAND_WINDOW_S = 0.25
KEEP_S = 0.1  # a lender keeps its own demand of this time
LOW_S = 0.1  # tokens for less than this time are too few
BORROW_INTERVAL_S = 0.005
PEERS_ASKED = 3
DRY_PAUSE_S = 0.1  # before a peer without tokens is asked again
MAX_DRY_PAUSE_S = 0.8


@attrs.define(eq=False)
class Waiter:
    """A request that waits for a token.

    Attributes
    ----------
    expires_at : float
        Time after which it is refused.
    context : object
        What the driver needs to answer it.
    priority : int
        0 is served first.
    """

    expires_at: float
    context: object
    priority: int = 0


@attrs.frozen
class Borrow:
    """Ask a peer for tokens; room for them is kept until it has answered."""

    peer: str
    amount: float


@attrs.frozen
class Admit:
    """A waiting request may run."""

    waiter: Waiter


@attrs.frozen
class Expire:
    """A waiting request can't run in time; it may be sent again later."""

    waiter: Waiter
    retry_after_s: float


@attrs.define
class PeerState:
    """What is known of a peer's tokens.

    Attributes
    ----------
    ask_at : float
        Time before which it is not asked.
    pause_s : float
        Pause after its next empty answer.
    asked : bool
        Whether a request is under way.
    """

    ask_at: float = float("-inf")
    pause_s: float = DRY_PAUSE_S
    asked: bool = False


class RateShare:
    """Tokens of one client account on one instance, and who waits for them.

    Parameters
    ----------
    now : float
        Seconds of a clock that counts suspended time.

    Attributes
    ----------
    total_rate_per_s : float
        Rate of the account on all instances together.
    bucket : TokenBucket
        Its rate and burst are this instance's.
    reserved : float
        Room for tokens that peers have been asked for.
    plentiful_at : float
        When the bucket last held plenty, or else the start.

    Notes
    -----
    Soon after the start, or after times of plenty, requests may wait for long,
    since what gathered in an outage can still be served. The queue of an
    account that keeps asking for too much would only delay everybody.

    Tokens are moved between instances and never copied. A borrower keeps room
    free for what it has asked for, so tokens held and tokens on the way never
    exceed the bursts of all buckets together. Tokens that are lost on the way
    are gone. New buckets and added bursts start empty, but for what
    `add_accrued` adds.
    """

    def __init__(self, now):
        self.total_rate_per_s = 0.0
        self.bucket = _bucket.TokenBucket(0.0, 0.0, 0.0, now)
        self.burst = 0.0
        self.reserved = 0.0
        self.waiters = []
        self.demand = 0.0
        self.demand_at = now
        self.peers = {}
        self.gained = 0.0
        self.next_expiry = float("inf")
        self.plentiful_at = now
        self.borrow_at = float("-inf")

    def resize(self, rate_per_s, burst, part, now):
        """Take in the account's rate and burst and this instance's part."""
        self.bucket.refill(now)
        self.total_rate_per_s = rate_per_s
        self.bucket.rate_per_s = rate_per_s * part
        self.burst = burst * part
        self._fit()

    def add_accrued(self, seconds):
        """Add what accrues in a time in which nothing was taken."""
        gained = self.bucket.rate_per_s * seconds
        self.bucket.tokens = min(self.bucket.burst, self.bucket.tokens + gained)

    def take(self, now):
        """Take one token if there is one and nobody waits; returns whether."""
        self._note_demand(now)
        self.bucket.refill(now)
        if self.burst > 0.0 and self.bucket.tokens >= self._plenty():
            self.plentiful_at = now
        return not self.waiters and self._take(now)

    def refund(self, now):
        """Take back the token of a request that never ran."""
        self.bucket.refill(now)
        self.bucket.tokens = min(self.bucket.burst, self.bucket.tokens + 1.0)

    def enqueue(self, deadline, now, context, longest_s=MAX_WAIT_S, priority=0):
        """Queue a request.

        Parameters
        ----------
        deadline : float
            Time limit of the request.
        now : float
            Current time.
        context : object
            What the driver needs to answer it.
        longest_s : float
            Longest wait while the queue is a standing one.
        priority : int
            0 is served first; requests of one priority keep their order.

        Returns
        -------
        Waiter or float
            The queued request, or the seconds after which it may be sent
            again if it can't be admitted in time.
        """
        if now - self.plentiful_at < STANDING_S:
            longest_s = MAX_WAIT_S
        place = bisect.bisect_right(self.waiters, priority, key=_priority)
        wait_s = self.expected_wait_s(place + 1, now)
        limit = now + min((deadline - now) * WAIT_PART, longest_s)
        if now + wait_s >= limit:
            return wait_s
        waiter = Waiter(limit, context, priority)
        self.waiters.insert(place, waiter)
        self.next_expiry = min(self.next_expiry, limit)
        return waiter

    def expected_wait_s(self, position, now):
        """Return the time until a place in the queue is admitted.

        Notes
        -----
        It is 0 while no share is held; the driver refuses where none can come.
        """
        self.bucket.refill(now)
        missing = position - self.bucket.tokens
        if missing <= 0.0:
            return 0.0
        rate_per_s = self.bucket.rate_per_s + self.gained / DEMAND_WINDOW_S
        if not self._all_dry(now):
            rate_per_s = max(rate_per_s, self.total_rate_per_s)
        if rate_per_s <= 0.0:
            return 0.0
        return missing / rate_per_s

    def serve(self, now):
        """Admit and expire waiting requests; returns the actions."""
        actions = []
        while self.waiters and self._take(now):
            actions.append(Admit(self.waiters.pop(0)))
        return [*actions, *self.expire(now)]

    def expire(self, now):
        """Refuse the waiting requests whose time is over; returns the actions."""
        if now < self.next_expiry:
            return []
        late = [waiter for waiter in self.waiters if now >= waiter.expires_at]
        self.waiters = [waiter for waiter in self.waiters if now < waiter.expires_at]
        expiries = [waiter.expires_at for waiter in self.waiters]
        self.next_expiry = min(expiries, default=float("inf"))
        wait_s = self.expected_wait_s(len(self.waiters) + 1, now)
        return [Expire(waiter, wait_s) for waiter in late]

    def next_wake_s(self, now):
        """Return the seconds until a waiting request may be served, or None."""
        if not self.waiters:
            return None
        expires_s = self.next_expiry - now
        self.bucket.refill(now)
        missing = 1.0 - self.bucket.tokens
        if self.bucket.rate_per_s <= 0.0 or self.bucket.burst < 1.0:
            return max(0.0, expires_s)
        return max(0.0, min(expires_s, missing / self.bucket.rate_per_s))

    def may_need_tokens(self, now):
        """Return whether to consider borrowing; cheaper than `borrow`."""
        return self.bucket.tokens < self.burst / 2.0 and now >= self.borrow_at

    def borrow(self, names, now):
        """Decide which peers to ask for tokens.

        Parameters
        ----------
        names : list of str
            Live peers, those to be asked first in front.
        now : float
            Current time.

        Returns
        -------
        list of Borrow
            Requests to send.
        """
        self.bucket.refill(now)
        self.borrow_at = now + BORROW_INTERVAL_S
        if not self._is_short(now):
            return []
        candidates = [name for name in names if self._may_ask(name, now)]
        asked = candidates[: PEERS_ASKED if self.waiters else 1]
        room = self.burst - self.reserved - self.bucket.tokens
        wanted = min(room, self._wanted(now))
        amount = wanted / max(1, len(asked))
        if wanted < min(1.0, self._missing()) or amount <= 0.0:
            return []
        actions = [Borrow(name, amount) for name in asked]
        for name in asked:
            self.peers.setdefault(name, PeerState()).asked = True
            self.reserved += amount
        self._fit()
        return actions

    def on_borrowed(self, action, amount, now):
        """Take the answer to a `Borrow`; an amount of 0 for none."""
        self.bucket.refill(now)
        self.reserved = max(0.0, self.reserved - action.amount)
        self._fit()
        peer = self.peers.setdefault(action.peer, PeerState())
        peer.asked = False
        self._decay(now)
        gained = min(amount, action.amount, self.bucket.burst - self.bucket.tokens)
        if gained > 0.0:
            self.bucket.tokens += gained
            self.gained += gained
        if amount >= action.amount / 2.0:
            peer.pause_s = DRY_PAUSE_S
            return
        peer.ask_at = now + peer.pause_s
        peer.pause_s = min(MAX_DRY_PAUSE_S, peer.pause_s * 2.0)

    def lend(self, amount, now):
        """Give tokens to a peer; returns how many."""
        self.bucket.refill(now)
        self._decay(now)
        if self.waiters:
            return 0.0
        kept = min(self.bucket.burst / 2.0, self._demand_per_s() * KEEP_S)
        given = max(0.0, min(amount, self.bucket.tokens - kept))
        self.bucket.tokens -= given
        return given

    def _take(self, now):
        bucket = self.bucket
        bucket.refill(now)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def _fit(self):
        self.bucket.burst = max(0.0, self.burst - self.reserved)
        self.bucket.tokens = min(self.bucket.tokens, self.bucket.burst)

    def _is_short(self, now):
        self._decay(now)
        low = min(self.burst / 2.0, 1.0 + self._demand_per_s() * LOW_S)
        return bool(self.waiters) or (self.demand > 0.5 and self.bucket.tokens < low)

    def _plenty(self):
        """Return the tokens of a bucket that nobody has been waiting at."""
        return max(self.burst / 2.0, min(self.burst, PLENTY))

    def _missing(self):
        """Return what the next whole token lacks, or 1.0 if there is one."""
        return 1.0 - self.bucket.tokens if self.bucket.tokens < 1.0 else 1.0

    def _wanted(self, now):
        return len(self.waiters) + max(1.0, self._demand_per_s() * DEMAND_WINDOW_S)

    def _may_ask(self, name, now):
        peer = self.peers.get(name)
        return peer is None or (not peer.asked and now >= peer.ask_at)

    def _all_dry(self, now):
        peers = self.peers.values()
        return bool(peers) and all(now < p.ask_at and not p.asked for p in peers)

    def _note_demand(self, now):
        self._decay(now)
        self.demand += 1.0

    def _decay(self, now):
        elapsed = now - self.demand_at
        if elapsed <= 0.0:
            return
        kept = max(0.0, 1.0 - elapsed / DEMAND_WINDOW_S)
        self.demand *= kept
        self.gained *= kept
        self.demand_at = now

    def _demand_per_s(self):
        return self.demand / DEMAND_WINDOW_S


def _priority(waiter):
    return waiter.priority
