"""One instance's share of a client account's rate."""

import bisect

import attrs

from pomelograde.core.limits import _bucket

MAX_WAIT_S = 1.0
MAX_WAIT_FRACTION = 0.5  # of a request's remaining time; the rest is left to run it
UNCONTENDED_TOKENS = 2.0  # 1 token may also be reached while requests queue
BACKLOG_GRACE_S = 2.0  # the backlog of an outage is served within about that time
DEMAND_WINDOW_S = 0.25
LENDER_RESERVE_S = 0.1  # a lender keeps the tokens for its own demand of this time
BORROW_BELOW_DEMAND_S = 0.1  # borrow if tokens cover demand for less than this
BORROW_INTERVAL_S = 0.005
BORROW_TIMEOUT_S = 0.3  # of a request to a peer
MAX_PEERS_ASKED = 3
EMPTY_PEER_BACKOFF_S = 0.1  # before a peer that had too few tokens is asked again
MAX_EMPTY_PEER_BACKOFF_S = 0.8


@attrs.define(eq=False)
class Waiter:
    """A request that waits for a token.

    Attributes
    ----------
    expires_at : float
        Time at which it is refused.
    context : object
        Opaque object of the caller, returned with the decision.
    priority : int
        0 is served first.
    """

    expires_at: float
    context: object
    priority: int = 0


@attrs.frozen
class Borrow:
    """Ask a peer for tokens; room for them is reserved until it answers."""

    peer: str
    amount: float


@attrs.frozen
class Admit:
    """A waiting request may run."""

    waiter: Waiter


@attrs.frozen
class Expire:
    """A waiting request got no token in time; it may be sent again later."""

    waiter: Waiter
    retry_after_s: float


@attrs.define
class PeerState:
    """State of borrowing from one peer.

    Attributes
    ----------
    retry_at : float
        Time before which the peer isn't asked.
    backoff_s : float
        Delay after its next answer with too few tokens; doubles each time.
    asked : bool
        Whether a request to the peer is outstanding.
    """

    retry_at: float = float("-inf")
    backoff_s: float = EMPTY_PEER_BACKOFF_S
    asked: bool = False


class RateShare:
    """Token bucket and queue of one client account on one instance.

    Parameters
    ----------
    now : float
        Current time. All times are seconds of a clock that goes on while the
        machine is suspended.

    Attributes
    ----------
    total_rate_per_s : float
        Rate of the account on all instances together.
    bucket : TokenBucket
        Bucket with this instance's part of the rate and burst; its burst is
        reduced by `reserved`.
    burst : float
        This instance's part of the burst.
    reserved : float
        Tokens that peers have been asked for and may still send.
    waiters : list of Waiter
        Queued requests in the order in which they are served.
    recent_demand, recently_borrowed : float
        Requests and borrowed tokens of about the last `DEMAND_WINDOW_S`.
    uncontended_at : float
        Time at which the bucket was last full enough to show that no requests
        queue for its tokens; initially the creation time.
    decayed_at : float
        Time to which `recent_demand` and `recently_borrowed` have decayed.
    peers : dict of str to PeerState
        State of borrowing by peer.
    next_expiry : float
        Time before which no waiter expires; infinite if there are none.
    next_borrow_at : float
        Time before which peers aren't asked for tokens.

    Notes
    -----
    Shortly after the start or after an uncontended period, requests may wait
    for up to `MAX_WAIT_S`, since the backlog of an outage can still be served.
    If an account sends more than its rate all the time, a long queue would
    delay all of its requests and admit no more of them.

    Tokens are moved between instances and never copied. A borrower reserves
    room for the tokens that it has asked for, so the tokens held and in transit
    never exceed the sum of the bursts. It asks for less than it has room for, so
    that its own tokens have room while a peer does not answer. Tokens lost in
    transit aren't replaced.
    New buckets and added bursts start empty, except for what `add_accrued`
    adds.
    """

    def __init__(self, now):
        self.total_rate_per_s = 0.0
        self.bucket = _bucket.TokenBucket(0.0, 0.0, 0.0, now)
        self.burst = 0.0
        self.reserved = 0.0
        self.waiters = []
        self.recent_demand = 0.0
        self.decayed_at = now
        self.peers = {}
        self.recently_borrowed = 0.0
        self.next_expiry = float("inf")
        self.uncontended_at = now
        self.next_borrow_at = float("-inf")

    def resize(self, rate_per_s, burst, part, now):
        """Set the account's rate and burst and this instance's part of them.

        Parameters
        ----------
        rate_per_s, burst : float
            Rate and burst of the account on all instances together.
        part : float
            Fraction of them that this instance may use, from 0 to 1.
        now : float
            Current time.
        """
        self.bucket.refill(now)
        self.total_rate_per_s = rate_per_s
        self.bucket.rate_per_s = rate_per_s * part
        self.burst = burst * part
        self._update_capacity()

    def add_accrued(self, seconds):
        """Add the tokens that accrued in a period without admissions."""
        accrued = self.bucket.rate_per_s * seconds
        self.bucket.tokens = min(self.bucket.burst, self.bucket.tokens + accrued)

    def take(self, now):
        """Take one token unless requests are queued; returns whether it was taken."""
        self._count_demand(now)
        self.bucket.refill(now)
        if self.burst > 0.0 and self.bucket.tokens >= self._uncontended_level():
            self.uncontended_at = now
        return not self.waiters and self._take(now)

    def refund(self, now):
        """Put back the token of a request that was not run."""
        self.bucket.refill(now)
        self.bucket.tokens = min(self.bucket.burst, self.bucket.tokens + 1.0)

    def enqueue(self, deadline, now, context, max_wait_s=MAX_WAIT_S, priority=0):
        """Queue a request for a token.

        Parameters
        ----------
        deadline : float
            Deadline of the request.
        now : float
            Current time.
        context : object
            Opaque object of the caller, returned with the decision.
        max_wait_s : float
            Longest wait while there is a persistent queue.
        priority : int
            0 is served first; requests of equal priority are served in order
            of arrival.

        Returns
        -------
        Waiter or float
            The queued request, or the seconds after which it may be sent
            again if it can't be admitted in time.
        """
        if now - self.uncontended_at < BACKLOG_GRACE_S:
            max_wait_s = MAX_WAIT_S
        index = bisect.bisect_right(self.waiters, priority, key=_priority)
        wait_s = self.expected_wait_s(index + 1, now)
        limit = now + min((deadline - now) * MAX_WAIT_FRACTION, max_wait_s)
        if now + wait_s >= limit:
            return wait_s
        waiter = Waiter(limit, context, priority)
        self.waiters.insert(index, waiter)
        self.next_expiry = min(self.next_expiry, limit)
        return waiter

    def expected_wait_s(self, position, now):
        """Return the expected wait of a position in the queue, counted from 1.

        Notes
        -----
        It is 0 while this instance has no part of the rate: the part may still
        be granted, and the caller refuses requests if it can't be.
        """
        self.bucket.refill(now)
        missing = position - self.bucket.tokens
        if missing <= 0.0:
            return 0.0
        rate_per_s = self.bucket.rate_per_s + self.recently_borrowed / DEMAND_WINDOW_S
        if not self._all_peers_empty(now):
            rate_per_s = max(rate_per_s, self.total_rate_per_s)
        if rate_per_s <= 0.0:
            return 0.0
        return missing / rate_per_s

    def serve(self, now):
        """Admit queued requests and expire late ones; returns the actions."""
        actions = []
        while self.waiters and self._take(now):
            actions.append(Admit(self.waiters.pop(0)))
        return [*actions, *self.expire(now)]

    def expire(self, now):
        """Remove the queued requests that have expired; returns the actions."""
        if now < self.next_expiry:
            return []
        expired = [waiter for waiter in self.waiters if now >= waiter.expires_at]
        self.waiters = [waiter for waiter in self.waiters if now < waiter.expires_at]
        expiries = [waiter.expires_at for waiter in self.waiters]
        self.next_expiry = min(expiries, default=float("inf"))
        wait_s = self.expected_wait_s(len(self.waiters) + 1, now)
        return [Expire(waiter, wait_s) for waiter in expired]

    def next_wake_s(self, now):
        """Return the seconds until `serve` has work, or None without a queue."""
        if not self.waiters:
            return None
        expires_s = self.next_expiry - now
        self.bucket.refill(now)
        missing = 1.0 - self.bucket.tokens
        if self.bucket.rate_per_s <= 0.0 or self.bucket.burst < 1.0:
            return max(0.0, expires_s)
        return max(0.0, min(expires_s, missing / self.bucket.rate_per_s))

    def may_need_tokens(self, now):
        """Return whether to call `borrow`; a cheap check for each request."""
        return self.bucket.tokens < self.burst / 2.0 and now >= self.next_borrow_at

    def borrow(self, names, now):
        """Decide which peers to ask for tokens.

        Parameters
        ----------
        names : list of str
            Live peers in order of preference.
        now : float
            Current time.

        Returns
        -------
        list of Borrow
            Requests to send to peers.
        """
        self.bucket.refill(now)
        self.next_borrow_at = now + BORROW_INTERVAL_S
        if not self._needs_tokens(now):
            return []
        candidates = [name for name in names if self._can_ask(name, now)]
        asked = candidates[: MAX_PEERS_ASKED if self.waiters else 1]
        room = self.burst - self.reserved - self.bucket.tokens
        accrual = self.bucket.rate_per_s * BORROW_TIMEOUT_S
        most = max(room - accrual, self._min_borrow_amount())
        total = min(room, most, self._target_amount(now))
        amount = total / max(1, len(asked))
        if total < min(1.0, self._min_borrow_amount()) or amount <= 0.0:
            return []
        actions = [Borrow(name, amount) for name in asked]
        for name in asked:
            self.peers.setdefault(name, PeerState()).asked = True
            self.reserved += amount
        self._update_capacity()
        return actions

    def on_borrowed(self, action, amount, now):
        """Handle the answer to a `Borrow`; the amount is 0 if there was none."""
        self.bucket.refill(now)
        self.reserved = max(0.0, self.reserved - action.amount)
        self._update_capacity()
        peer = self.peers.setdefault(action.peer, PeerState())
        peer.asked = False
        self._decay(now)
        received = min(amount, action.amount, self.bucket.burst - self.bucket.tokens)
        if received > 0.0:
            self.bucket.tokens += received
            self.recently_borrowed += received
        if amount >= action.amount / 2.0:
            peer.backoff_s = EMPTY_PEER_BACKOFF_S
            return
        peer.retry_at = now + peer.backoff_s
        peer.backoff_s = min(MAX_EMPTY_PEER_BACKOFF_S, peer.backoff_s * 2.0)

    def lend(self, amount, now):
        """Take tokens out of the bucket for a peer; returns how many."""
        self.bucket.refill(now)
        self._decay(now)
        if self.waiters:
            return 0.0
        kept = min(self.bucket.burst / 2.0, self._demand_per_s() * LENDER_RESERVE_S)
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

    def _update_capacity(self):
        self.bucket.burst = max(0.0, self.burst - self.reserved)
        self.bucket.tokens = min(self.bucket.tokens, self.bucket.burst)

    def _needs_tokens(self, now):
        self._decay(now)
        low = min(self.burst / 2.0, 1.0 + self._demand_per_s() * BORROW_BELOW_DEMAND_S)
        return bool(self.waiters) or (
            self.recent_demand > 0.5 and self.bucket.tokens < low
        )

    def _uncontended_level(self):
        """Return the number of tokens that shows that no requests queue."""
        return max(self.burst / 2.0, min(self.burst, UNCONTENDED_TOKENS))

    def _min_borrow_amount(self):
        """Return the smallest amount worth borrowing.

        It is what is missing to one token, or one token if none is missing.
        """
        return 1.0 - self.bucket.tokens if self.bucket.tokens < 1.0 else 1.0

    def _target_amount(self, now):
        return len(self.waiters) + max(1.0, self._demand_per_s() * DEMAND_WINDOW_S)

    def _can_ask(self, name, now):
        peer = self.peers.get(name)
        return peer is None or (not peer.asked and now >= peer.retry_at)

    def _all_peers_empty(self, now):
        peers = self.peers.values()
        return bool(peers) and all(now < p.retry_at and not p.asked for p in peers)

    def _count_demand(self, now):
        self._decay(now)
        self.recent_demand += 1.0

    def _decay(self, now):
        elapsed = now - self.decayed_at
        if elapsed <= 0.0:
            return
        kept = max(0.0, 1.0 - elapsed / DEMAND_WINDOW_S)
        self.recent_demand *= kept
        self.recently_borrowed *= kept
        self.decayed_at = now

    def _demand_per_s(self):
        return self.recent_demand / DEMAND_WINDOW_S


def _priority(waiter):
    return waiter.priority
