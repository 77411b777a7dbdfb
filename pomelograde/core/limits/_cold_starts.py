"""Limits the requests to a member that has just started."""

import collections
import math

import attrs

from pomelograde.core import membership
from pomelograde.core.limits import _bucket

WINDOW_S = 1.0  # in which the limit of a cold member holds
# Two instances may send for a while: one that is cut off from the store does not
# learn that another one has taken over.
MAX_SENDERS = 2
RESERVED_PER_CONNECTION = 2  # requests, for the transactions that are open
BURST_FRACTION = 0.1  # of a second's requests that may be sent at once
RUN_TIME_S = 0.1  # of a statement that waits for its turn


@attrs.define
class ColdPace:
    """Paces the requests that this instance sends to a cold member.

    Parameters
    ----------
    rate_per_s : float
        Rate that the member is configured for.
    excess, slack : float
        The member may get ``rate_per_s * excess + slack`` requests in a second
        from all instances together.

    Attributes
    ----------
    starts_at : float
        Time from which this instance may send; infinite if another one does.
    window_limit : int
        Requests that this instance may send within `WINDOW_S`.
    pace_per_s : float
        Rate at which it sends.
    sent : deque of float
        Times of the requests within the last `WINDOW_S`.

    Notes
    -----
    One instance sends at a time, and a new one waits for `WINDOW_S` first. Each
    stays below half of the limit within any `WINDOW_S` all the same, so that it
    also holds while two instances send.

    A request inside an open transaction is never held back. It counts, so later
    requests wait for longer. Each connection in use keeps room for
    `RESERVED_PER_CONNECTION` of them.
    """

    rate_per_s: float
    excess: float = 1.0
    slack: float = 0.0
    starts_at: float = float("inf")
    sent: collections.deque = attrs.field(factory=collections.deque)
    window_limit: int = attrs.field(init=False)
    pace_per_s: float = attrs.field(init=False)
    bucket: _bucket.TokenBucket = attrs.field(init=False)

    def __attrs_post_init__(self):
        limit = (self.rate_per_s * self.excess + self.slack) / MAX_SENDERS
        self.window_limit = max(1, math.floor(limit))
        self.pace_per_s = min(self.rate_per_s, self.window_limit / WINDOW_S)
        burst = max(1.0, self.pace_per_s * BURST_FRACTION)
        self.bucket = _bucket.TokenBucket(self.pace_per_s, burst, 1.0, float("-inf"))

    @property
    def is_owner(self):
        """Whether this instance is the one that sends."""
        return self.starts_at < float("inf")

    def set_owner(self, is_owner, now):
        """Set whether this instance sends from now on."""
        if is_owner and not self.is_owner:
            self.starts_at = now + WINDOW_S
        elif not is_owner:
            self.starts_at = float("inf")

    def record_sent(self, count, now):
        """Count requests that were sent, whether or not there was room for them."""
        self._refill(now)
        self.bucket.tokens -= count
        self.sent.extend([now] * count)

    def wait_s(self, now, busy_count, starting=0):
        """Return the seconds until a request may start; 0.0 if it may now.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        busy_count : int
            Connections to the member that are in use.
        starting : int
            Requests that are about to be sent.
        """
        if now < self.starts_at:
            return self.starts_at - now
        self._refill(now)
        wait_s = max(0.0, 1.0 + starting - self.bucket.tokens) / self.pace_per_s
        while self.sent and self.sent[0] <= now - WINDOW_S:
            self.sent.popleft()
        reserved = RESERVED_PER_CONNECTION * busy_count
        missing = len(self.sent) + reserved + 1 - self.window_limit
        if missing <= 0:
            return wait_s
        if missing > len(self.sent):
            return max(wait_s, 1.0 / self.pace_per_s)
        return max(wait_s, self.sent[missing - 1] + WINDOW_S - now)

    def expected_wait_s(self, now, busy_count, queue_length):
        """Return the wait of a request behind others; 0.0 if it may start now."""
        return self.wait_s(now, busy_count) + queue_length / self.pace_per_s

    def _refill(self, now):
        if self.bucket.updated_at == float("-inf"):
            self.bucket.updated_at = now
        self.bucket.refill(now)


def choose_sender(member, instances):
    """Return the instance that sends to a cold member, or None if there is none.

    Parameters
    ----------
    member : Member
        The cold member.
    instances : iterable of Instance
        Registered instances.

    Notes
    -----
    It is one in the member's data centre, else in its region, else any. It is
    chosen by registration, not by which instances seem usable, so that two
    instances send at once only for as long as they know different registrations.
    """
    found = list(instances)
    for attribute in ("data_centre", "region"):
        location = getattr(member, attribute)
        near = [one for one in found if getattr(one, attribute) == location]
        if near:
            found = near
            break
    candidates = {instance.name: instance for instance in found}
    if not candidates:
        return None
    return candidates[membership.rendezvous(f"cold/{member.name}", candidates, 1)[0]]
