"""Admits requests within the rates of client accounts."""

import functools
import itertools
import time
import uuid

from twisted.internet import defer

from pomelograde.core import limits, retries
from pomelograde.net import peer_messages, peers, platform

POLL_INTERVAL_S = 1.0
FIRST_POLL_INTERVAL_S = 0.2  # while no share is held
INSTANCES_PER_READ = 500  # instances that may read the table in one second
MAX_COMMITS = 4  # in one poll
BORROW_TIMEOUT_S = 0.3
PEERS_CONSIDERED = 24
LENDERS_ASKED = 4
PARTS_RESOURCE = ""  # parts of all rates, in place of one account's tokens
RULE_PREFIX = "rule/"


class AdmissionTask:
    """Owns this instance's part of every client account's rate and burst.

    Parameters
    ----------
    context : InstanceContext
        Parts of the daemon that all tasks share.
    configuration : ConfigurationTask
        Configuration in force.
    client : PlatformClient
        Table that shares are leased in.

    Attributes
    ----------
    shares : dict of str to Share
        Shares by client account, or by "rule/" and the name of an open route.
    """

    def __init__(self, context, configuration, client):
        self.context = context
        self.configuration = configuration
        self.client = client
        own = context.members.own
        self.lease = limits.ShareLease(
            f"{own.name}/{own.incarnation}",
            context.settings.limits.rate_lease_s,
            self.clock(),
        )
        self.shares = {}
        self.timers = {}
        self.poll_timer = None
        self.peers = []
        self.near = 0
        self.usable_until = float("-inf")
        self.borrowing = False
        self.lenders = []
        self.turn = itertools.count()
        self.table_version = 0
        self.polling = None
        self.stopped = False
        self.tokens = context.metrics.add_counter(
            "pomelograde_rate_tokens", "Tokens moved between instances.", "direction"
        )
        self.held = context.metrics.add_gauge(
            "pomelograde_rate_part", "Part of all rates that is held here."
        )
        context.peers.handlers[peer_messages.BorrowRequest] = self._on_borrow_request

    def clock(self):
        """Return seconds of a clock that counts suspended time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def start(self):
        """Take in the configuration and follow its changes."""
        self.configuration.listeners.append(lambda changed: self._resize())
        self.lease.started_at = self.clock()
        self.update()
        self._poll_regularly()

    def stop(self):
        """End all timers."""
        self.stopped = True
        for timer in [self.poll_timer, *self.timers.values()]:
            if timer is not None and timer.active():
                timer.cancel()
        self.timers = {}

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
        """Take one request of a client account's rate if it may run now.

        Parameters
        ----------
        account : str
            Client account.
        now : float
            Not used; a lease is checked against a clock of its own.

        Returns
        -------
        bool
            Whether it was admitted; if not, nothing was taken.
        """
        now = self.clock()
        share = self.shares.get(account)
        if share is None or now >= self.usable_until:
            return False
        admitted = share.take(now)
        if share.may_be_short(now):
            self._borrow(account, share, now)
        return admitted

    def wait(self, account, deadline):
        """Wait for one request of a client account's rate.

        Parameters
        ----------
        account : str
            Client account.
        deadline : float
            Seconds of the reactor's clock.

        Returns
        -------
        Deferred of Failure or None
            None once it is admitted. A request that can't be admitted by the
            deadline is refused at once.
        """
        now = self.clock()
        share = self.shares.get(account)
        if share is None or not self._may_hold(now):
            kind = retries.ErrorKind.NO_RATE_SHARE
            return defer.succeed(retries.Failure(kind, account))
        done = defer.Deferred()
        until = now + deadline - self.context.now()
        waiter = share.wait(until, now, done)
        if not isinstance(waiter, limits.Waiter):
            return defer.succeed(_rate_failure(account, waiter))
        self._serve(account, share, now)
        return done

    def update(self):
        """Adapt to the live instances."""
        members = self.context.members
        own = members.own
        others = [found for found in members.live() if found.name != own.name]
        others.sort(key=lambda found: found.data_centre != own.data_centre)
        near = sum(1 for found in others if found.data_centre == own.data_centre)
        self.peers = [found.name for found in others]
        self.near = near
        self._resize()
        if self.poll_timer is not None and not self.stopped:
            self.poll()

    def poll(self):
        """Look at the table now; returns a Deferred."""
        if self.polling is None:
            self.polling = defer.ensureDeferred(self._poll())
            self.polling.addBoth(self._on_polled)
        return self.polling

    async def hand_back(self):
        """Give this instance's share back for good."""
        if self.polling is not None:
            await self.polling
        for _ in range(MAX_COMMITS):
            commit = self.lease.hand_back(self._nonce(), self.clock())
            self._resize()
            if commit is None or await self._commit(commit) is False:
                return
            if not self.lease.row.version:
                return

    def _may_hold(self, now):
        """Return whether a share is held or still to be expected."""
        return bool(self.lease.usable(now)) or self.lease.is_starting(now)

    def _poll_regularly(self):
        if self.stopped:
            return
        self.poll()
        instances = len(self.context.members.live())
        interval_s = max(POLL_INTERVAL_S, instances / INSTANCES_PER_READ)
        if not self.lease.usable(self.clock()):
            interval_s = FIRST_POLL_INTERVAL_S
        self.poll_timer = self.context.reactor.callLater(
            interval_s, self._poll_regularly
        )

    async def _poll(self):
        if not await self._read():
            if self.lease.needs_loan(self.clock()):
                defer.ensureDeferred(self._borrow_parts())
            self._resize()
            return
        for _ in range(MAX_COMMITS):
            instances = len(self.context.members.live())
            commit = self.lease.plan(instances, self._nonce(), self.clock())
            if commit is None:
                break
            self._resize()
            if not await self._commit(commit):
                break
        self._resize()

    def _on_polled(self, outcome):
        self.polling = None
        return outcome

    async def _read(self):
        answer = await self.client.rows(limits.PREFIX, self.table_version)
        if answer.is_err():
            return False
        version, rows = answer.ok_value
        self.table_version = max(self.table_version, version)
        found = [limits.TableRow(row.key, row.value, row.version) for row in rows]
        self.lease.on_read_back(found, self.clock())
        return True

    async def _commit(self, commit):
        """Send a commit; returns whether to go on with the next one."""
        answer = await self.client.commit(
            [platform.Condition(key, version) for key, version in commit.conditions],
            [platform.Write(key, value) for key, value in commit.writes],
        )
        now = self.clock()
        if answer.is_ok():
            self.lease.on_committed(answer.ok_value, now)
            return True
        if isinstance(answer.err_value, platform.Conflict):
            rows = answer.err_value.rows
            found = [limits.TableRow(row.key, row.value, row.version) for row in rows]
            self.lease.on_conflict(found, now)
            return True
        self.lease.on_unavailable()
        return False

    def _resize(self):
        now = self.clock()
        part = self.lease.usable(now) / limits.PARTS
        self.usable_until = self.lease.usable_until(now) if part else float("-inf")
        self.held.set(part)
        allotments = self._allotments()
        for name in [name for name in self.shares if name not in allotments]:
            self._drop(name)
        for name, (rate_per_s, burst) in allotments.items():
            share = self.shares.get(name)
            if share is None:
                share = self.shares[name] = limits.Share(now)
            share.resize(rate_per_s, burst, part, now)
            if share.waiters:
                self._serve(name, share, now)

    def _allotments(self):
        current = self.configuration.current
        found = {
            name: (resource.spec.rate_per_s, resource.spec.burst)
            for name, resource in current.of_kind("accounts").items()
        }
        for name, resource in current.of_kind("rules").items():
            if resource.spec.rate_per_s > 0.0:
                rates = (resource.spec.rate_per_s, resource.spec.burst)
                found[RULE_PREFIX + name] = rates
        return found

    def _drop(self, name):
        for waiter in self.shares.pop(name).waiters:
            kind = retries.ErrorKind.NO_RATE_SHARE
            waiter.context.callback(retries.Failure(kind, name))

    def _serve(self, name, share, now):
        if self.lease.usable(now):
            actions = share.serve(now)
        elif self._may_hold(now):
            actions = share.expire(now)
        else:
            actions = share.expire(float("inf"))
        if share.waiters:
            self._borrow(name, share, now)
            self._wake_later(name, share, now)
        for action in actions:
            _carry_out(action, name)

    def _wake_later(self, name, share, now):
        timer = self.timers.get(name)
        if timer is not None and timer.active():
            timer.cancel()
        delay_s = share.next_wake_s(now)
        self.timers[name] = self.context.reactor.callLater(delay_s, self._wake, name)

    def _wake(self, name):
        share = self.shares.get(name)
        if share is not None and not self.stopped:
            self._serve(name, share, self.clock())

    def _borrow(self, account, share, now):
        if not self.peers:
            return
        for action in share.borrow(self._peer_order(), now):
            defer.ensureDeferred(self._ask(account, share, action))

    def _peer_order(self):
        """Return peers to ask: those of the own data centre first, in turns."""
        turn = next(self.turn)
        near, far = self.peers[: self.near], self.peers[self.near :]
        return [*_rotate(near, turn), *_rotate(far, turn)][:PEERS_CONSIDERED]

    async def _ask(self, account, share, action):
        amount = 0.0
        instance = self.context.members.instances.get(action.peer)
        request = peer_messages.BorrowRequest(
            account, action.amount, 0.0, int(BORROW_TIMEOUT_S * 1000)
        )
        if instance is not None:
            try:
                answer = await self.context.peers.request(
                    instance, request, BORROW_TIMEOUT_S
                )
                amount = getattr(answer, "amount", 0.0)
            except peers.PeerUnreachableError:
                pass
        now = self.clock()
        share.on_borrowed(action, amount, now)
        if amount > 0.0:
            self.context.metrics.count(self.tokens, "borrowed", amount)
        if share.waiters and self.shares.get(account) is share:
            self._serve(account, share, now)

    def _on_borrow_request(self, message, envelope):
        if message.resource == PARTS_RESOURCE:
            return self._lend_parts(message, envelope)
        now = self.clock()
        share = self.shares.get(message.resource)
        given = 0.0
        if share is not None and self.lease.usable(now):
            given = share.lend(message.amount, now)
            self.context.metrics.count(self.tokens, "lent", given)
        return peer_messages.BorrowAnswer(message.resource, given, 0.0, 0)

    async def _borrow_parts(self):
        """Ask peers for a loan while the table gives no share."""
        if self.borrowing:
            return
        self.borrowing = True
        for name in [*self.lenders, *self._peer_order()][:LENDERS_ASKED]:
            if await self._borrow_parts_from(name):
                self.lenders = [name]
                break
        self.borrowing = False
        self._resize()

    async def _borrow_parts_from(self, name):
        instance = self.context.members.instances.get(name)
        sent_at = self.clock()
        request = peer_messages.BorrowRequest(
            PARTS_RESOURCE, 0.0, 0.0, int(limits.LOAN_S * 1000)
        )
        try:
            answer = await self.context.peers.request(instance, request)
        except peers.PeerUnreachableError:
            return False
        if not getattr(answer, "amount", 0.0):
            return False
        # Tokens of a loan that has ended are void.
        self._resize()
        self.lease.on_loan(int(answer.amount), sent_at + answer.for_ms / 1000.0)
        return True

    def _lend_parts(self, message, envelope):
        now = self.clock()
        borrower = f"{envelope.sender}/{envelope.incarnation}"
        loan = self.lease.lend(borrower, message.for_ms / 1000.0, now)
        self._resize()
        for_ms = int(loan.until * 1000)
        return peer_messages.BorrowAnswer(message.resource, loan.parts, 0.0, for_ms)

    def _nonce(self):
        return uuid.UUID(int=self.context.random.getrandbits(128)).hex


def _rate_failure(account, retry_after_s):
    kind = retries.ErrorKind.RATE_EXCEEDED
    return retries.Failure(kind, account, retry_after_s=retry_after_s)


def _rotate(names, turn):
    if not names:
        return []
    start = turn % len(names)
    return names[start:] + names[:start]


@functools.singledispatch
def _carry_out(action, account):
    raise TypeError(f"unknown action {action!r}")


@_carry_out.register
def _(action: limits.Admit, account):
    action.waiter.context.callback(None)


@_carry_out.register
def _(action: limits.Expire, account):
    action.waiter.context.callback(_rate_failure(account, action.retry_after_s))
