"""Admission of requests within the rates of client accounts."""

import functools
import itertools
import time

from twisted.internet import defer

from pomelograde.core import limits, retries
from pomelograde.net import peer_messages, peers

MAX_BORROW_PEERS = 24


class RateTask:
    """Admits requests from this instance's shares; lends and borrows tokens.

    A subclass provides the part of all rates that the instance may use, with
    `usable_part(now)` and `may_hold_share(now)`, and the rates themselves, with
    `rate_limits()`.

    Parameters
    ----------
    context : InstanceContext
        State and services shared by all tasks of the daemon.

    Attributes
    ----------
    shares : dict of str to RateShare
        Shares by client account, or by "rule/" and the name of an open route.
    timers : dict of str to IDelayedCall
        For each share with waiting requests, the timer that serves them.
    peers : list of str
        Instances to borrow from, those of this data centre first.
    near_count : int
        Number of `peers` in this data centre.
    usable_until : float
        End of the lease or loan of the usable part, on `clock`.
    idle_s : float
        Duration without admissions before the next `resize`, which adds the
        tokens that accrued meanwhile to the shares.
    turn : iterator of int
        Advances the rotation of peers that are asked for tokens.
    """

    def __init__(self, context):
        self.context = context
        self.shares = {}
        self.timers = {}
        self.peers = []
        self.near_count = 0
        self.usable_until = float("-inf")
        self.idle_s = 0.0
        self.turn = itertools.count()
        self.stopped = False
        self.token_counter = context.metrics.add_counter(
            "pomelograde_rate_tokens", "Tokens moved between instances.", "direction"
        )
        self.part_gauge = context.metrics.add_gauge(
            "pomelograde_rate_part", "Part of all rates that is held here."
        )
        context.peers.handlers[peer_messages.BorrowRequest] = self.on_borrow_request

    def clock(self):
        """Return seconds of a clock that goes on while the machine is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def stop(self):
        """Cancel all timers."""
        self.stopped = True
        for timer in self.timers.values():
            if timer.active():
                timer.cancel()
        self.timers = {}

    def usable_part(self, now):
        """Return the fraction of all rates that may be used now, from 0 to 1."""
        raise NotImplementedError

    def may_hold_share(self, now):
        """Return whether a part is held or may still be granted."""
        raise NotImplementedError

    def rate_limits(self):
        """Return the rate and burst of each client account or route by name."""
        raise NotImplementedError

    def part_of(self, name, part):
        """Return this instance's fraction of one rate, given that of all rates."""
        return part

    def find_lenders(self, name):
        """Return the peers that may lend tokens, in the order in which to ask them."""
        return self._peer_order()

    def describe(self):
        """Return the limits in force on this instance as JSON values, by name."""
        return {
            name: {
                "rate_per_s": share.bucket.rate_per_s,
                "burst": share.burst,
                "tokens": share.bucket.tokens,
                "waiting": len(share.waiters),
            }
            for name, share in self.shares.items()
        }

    def try_admit(self, account, now):
        """Take a token for one request if one is available now.

        Parameters
        ----------
        account : str
            Client account.
        now : float
            Not used; leases are checked against `clock`.

        Returns
        -------
        bool
            Whether the request was admitted; if not, no token was taken.
        """
        now = self.clock()
        share = self.shares.get(account)
        if share is None or now >= self.usable_until:
            return False
        admitted = share.take(now)
        if share.may_need_tokens(now):
            self._borrow(account, share, now)
        return admitted

    def refund(self, account):
        """Refund the token of a request that never ran."""
        share = self.shares.get(account)
        if share is not None:
            now = self.clock()
            share.refund(now)
            if share.waiters:
                self._serve(account, share, now)

    def admit(self, account, deadline, max_wait_s=limits.MAX_WAIT_S, priority=0):
        """Wait for a token for one request.

        Parameters
        ----------
        account : str
            Client account.
        deadline : float
            Seconds of the reactor's clock.
        max_wait_s : float
            Longest wait that is useful to the caller.
        priority : int
            0 is served first.

        Returns
        -------
        Deferred of Failure or None
            None once the request is admitted. A request that can't be admitted
            by the deadline is refused at once.
        """
        now = self.clock()
        share = self.shares.get(account)
        if share is None or not self.may_hold_share(now):
            kind = retries.ErrorKind.NO_RATE_SHARE
            return defer.succeed(retries.Failure(kind, account))
        done = defer.Deferred()
        expires_at = now + deadline - self.context.now()
        waiter = share.enqueue(expires_at, now, done, max_wait_s, priority)
        if not isinstance(waiter, limits.Waiter):
            return defer.succeed(_rate_failure(account, waiter))
        self._serve(account, share, now)
        return done

    def resize(self):
        """Apply the rates in force and the usable part to all shares."""
        now = self.clock()
        part = self.usable_part(now)
        self.part_gauge.set(part)
        rate_limits = self.rate_limits()
        for name in [name for name in self.shares if name not in rate_limits]:
            self._remove_share(name)
        for name, (rate_per_s, burst) in rate_limits.items():
            share = self.shares.get(name)
            if share is None:
                share = self.shares[name] = limits.RateShare(now)
            share.resize(rate_per_s, burst, self.part_of(name, part), now)
            share.add_accrued(self.idle_s)
            if share.waiters:
                self._serve(name, share, now)

    def set_peers(self, instances):
        """Update the peers from the live instances."""
        own = self.context.members.own
        others = [instance for instance in instances if instance.name != own.name]
        others.sort(key=lambda instance: instance.data_centre != own.data_centre)
        self.near_count = sum(
            1 for instance in others if instance.data_centre == own.data_centre
        )
        self.peers = [instance.name for instance in others]

    def on_borrow_request(self, message, envelope):
        """Lend tokens of one share to a peer."""
        now = self.clock()
        share = self.shares.get(message.resource)
        lent = 0.0
        if share is not None and self.usable_part(now):
            lent = share.lend(message.amount, now)
            self.context.metrics.count(self.token_counter, "lent", lent)
        # A borrower of tokens uses only the answer's `amount`.
        return peer_messages.BorrowAnswer(message.resource, lent, 0.0, 0)

    def _remove_share(self, name):
        for waiter in self.shares.pop(name).waiters:
            kind = retries.ErrorKind.NO_RATE_SHARE
            waiter.context.callback(retries.Failure(kind, name))

    def _serve(self, name, share, now):
        if self.usable_part(now):
            actions = share.serve(now)
        elif self.may_hold_share(now):
            actions = share.expire(now)
        else:
            # No share can be granted any more: all waiting requests are refused.
            actions = share.expire(float("inf"))
        if share.waiters:
            self._borrow(name, share, now)
            self._start_timer(name, share, now)
        for action in actions:
            _execute(action, name)

    def _start_timer(self, name, share, now):
        timer = self.timers.get(name)
        if timer is not None and timer.active():
            timer.cancel()
        delay_s = share.next_wake_s(now)
        self.timers[name] = self.context.reactor.callLater(
            delay_s, self._on_timer, name
        )

    def _on_timer(self, name):
        share = self.shares.get(name)
        if share is not None and not self.stopped:
            self._serve(name, share, self.clock())

    def _borrow(self, account, share, now):
        if not self.peers:
            return
        for action in share.borrow(self.find_lenders(account), now):
            defer.ensureDeferred(self._borrow_from(account, share, action))

    def _peer_order(self):
        """Return the peers to ask, rotated; those of this data centre come first."""
        near, far = self.peers[: self.near_count], self.peers[self.near_count :]
        return self._rotate_peers(near, far)[:MAX_BORROW_PEERS]

    def _rotate_peers(self, near, far):
        """Return near before far peers, both rotated further on every call."""
        turn = next(self.turn)
        return [*rotate(near, turn), *rotate(far, turn)]

    async def _borrow_from(self, account, share, action):
        amount = 0.0
        instance = self.context.members.instances.get(action.peer)
        # The request's `burst` is not used.
        request = peer_messages.BorrowRequest(
            account, action.amount, 0.0, int(limits.BORROW_TIMEOUT_S * 1000)
        )
        if instance is not None:
            try:
                answer = await self.context.peers.request(
                    instance, request, limits.BORROW_TIMEOUT_S
                )
                if isinstance(answer, peer_messages.BorrowAnswer):
                    amount = min(answer.amount, action.amount)
            except peers.PeerUnreachableError:
                pass
        now = self.clock()
        share.on_borrowed(action, amount, now)
        if amount > 0.0:
            self.context.metrics.count(self.token_counter, "borrowed", amount)
        if share.waiters and self.shares.get(account) is share:
            self._serve(account, share, now)


def _rate_failure(account, retry_after_s):
    """Return the failure of a request that exceeds the rate."""
    kind = retries.ErrorKind.RATE_EXCEEDED
    return retries.Failure(kind, account, retry_after_s=retry_after_s)


def rotate(items, turn):
    """Return a list rotated left by `turn` items."""
    if not items:
        return []
    start = turn % len(items)
    return items[start:] + items[:start]


@functools.singledispatch
def _execute(action, account):
    raise TypeError(f"unknown action {action!r}")


@_execute.register
def _(action: limits.Admit, account):
    action.waiter.context.callback(None)


@_execute.register
def _(action: limits.Expire, account):
    action.waiter.context.callback(_rate_failure(account, action.retry_after_s))
