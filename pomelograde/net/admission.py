"""Admission of requests with a leased share of all client accounts' rates."""

import uuid

from twisted.internet import defer

from pomelograde.core import limits
from pomelograde.net import peer_messages, peers, platform, rates, timers

POLL_INTERVAL_S = 1.0
NO_SHARE_POLL_INTERVAL_S = 0.2
MAX_TABLE_READS_PER_S = 500  # of all instances together
MAX_COMMITS_PER_POLL = 4
MAX_LENDERS_ASKED = 4
PARTS_RESOURCE = ""  # resource of a request for parts of all rates
RULE_ACCOUNT_PREFIX = "rule/"


class AdmissionTask(rates.RateTask):
    """Leases this instance's part of all rates from the platform's table.

    Parameters
    ----------
    context : InstanceContext
        State and services shared by all tasks of the daemon.
    configuration : ConfigurationTask
        Configuration in force.
    client : PlatformClient
        Client of the platform, whose table holds the leases.

    Attributes
    ----------
    lease : ShareLease
        Decides on the parts that this instance holds.
    last_lenders : list of str
        Peer that last lent parts, as a list of at most one name.
    table_version : int
        Highest version of the table that was read.
    running_poll : Deferred or None
        Poll that is under way.
    """

    def __init__(self, context, configuration, client):
        super().__init__(context)
        self.configuration = configuration
        self.client = client
        own = context.members.own
        self.lease = limits.ShareLease(
            f"{own.name}/{own.incarnation}",
            context.settings.limits.rate_lease_s,
            self.clock(),
        )
        self.poll_timer = None
        self.is_borrowing = False
        self.last_lenders = []
        self.table_version = 0
        self.running_poll = None

    def start(self):
        """Start polling the table; apply the configuration and its changes."""
        self.configuration.listeners.append(lambda changed: self.resize())
        self.lease.started_at = self.clock()
        self.update()
        self._poll_regularly()

    def stop(self):
        """Cancel all timers."""
        super().stop()
        if self.poll_timer is not None and self.poll_timer.active():
            self.poll_timer.cancel()

    def usable_part(self, now):
        """Return the part of all rates that the lease or a loan provides."""
        part = self.lease.usable_parts(now) / limits.TOTAL_PARTS
        self.usable_until = self.lease.usable_until(now) if part else float("-inf")
        return part

    def update(self):
        """Adapt the peers and the share to the live instances."""
        self.set_peers(self.context.members.live())
        self.resize()
        if self.poll_timer is not None and not self.stopped:
            self.poll()

    def poll(self):
        """Read the table now and adjust the share; returns a Deferred."""
        if self.running_poll is None:
            self.running_poll = defer.ensureDeferred(self._poll())
            self.running_poll.addBoth(self._on_poll_ended)
            self.running_poll.addErrback(self._on_poll_failed)
        return self.running_poll

    async def release_share(self):
        """Return this instance's share to the table, at shutdown."""
        if self.running_poll is not None:
            await self.running_poll
        for _ in range(MAX_COMMITS_PER_POLL):
            commit = self.lease.release_all(self._nonce(), self.clock())
            self.resize()
            if commit is None or await self._commit(commit) is False:
                return
            if not self.lease.own_row.version:
                return

    def may_hold_share(self, now):
        """Return whether a share is held or may still be granted."""
        return bool(self.lease.usable_parts(now)) or self.lease.is_starting(now)

    def _poll_regularly(self):
        if self.stopped:
            return
        self.poll()
        instance_count = len(self.context.members.live())
        interval_s = max(POLL_INTERVAL_S, instance_count / MAX_TABLE_READS_PER_S)
        if not self.lease.usable_parts(self.clock()):
            interval_s = NO_SHARE_POLL_INTERVAL_S
        self.poll_timer = self.context.reactor.callLater(
            interval_s, self._poll_regularly
        )

    async def _poll(self):
        if not await self._read_table():
            if self.lease.needs_loan(self.clock()):
                defer.ensureDeferred(self._borrow_parts())
            self.resize()
            return
        for _ in range(MAX_COMMITS_PER_POLL):
            instance_count = len(self.context.members.live())
            commit = self.lease.plan_commit(instance_count, self._nonce(), self.clock())
            if commit is None:
                break
            self.resize()
            if not await self._commit(commit):
                break
        self.resize()

    def _on_poll_ended(self, outcome):
        self.running_poll = None
        return outcome

    def _on_poll_failed(self, reason):
        # A stop of the daemon waits for the poll.
        timers.log_fault(self.context.log, self.poll, reason)

    async def _read_table(self):
        answer = await self.client.rows(limits.TABLE_PREFIX, self.table_version)
        if answer.is_err():
            return False
        read = answer.ok_value
        self.table_version = max(self.table_version, read.version)
        self.lease.on_read_back(self._convert_rows(read.rows), self.clock())
        return True

    def _convert_rows(self, rows):
        """Return rows of the platform as `TableRow`; reports those of odd content."""
        table_rows = [limits.TableRow(row.key, row.value, row.version) for row in rows]
        for row in table_rows:
            if limits.read_parts(row) is None:
                self.client.reject(row.key, "has no valid number of parts")
        return table_rows

    async def _commit(self, commit):
        """Send a commit; returns whether another one may be planned."""
        answer = await self.client.commit(
            [platform.Condition(key, version) for key, version in commit.conditions],
            [platform.Write(key, value) for key, value in commit.writes],
        )
        now = self.clock()
        if answer.is_ok():
            self.lease.on_committed(answer.ok_value, now)
            return True
        if isinstance(answer.err_value, platform.Conflict):
            self.lease.on_conflict(self._convert_rows(answer.err_value.rows), now)
            return True
        self.lease.on_outcome_unknown()
        return False

    def rate_limits(self):
        """Return the rates and bursts of client accounts and open routes."""
        configuration = self.configuration.current
        rate_limits = {
            name: (resource.spec.rate_per_s, resource.spec.burst)
            for name, resource in configuration.of_kind("accounts").items()
        }
        for name, resource in configuration.of_kind("rules").items():
            if resource.spec.rate_per_s > 0.0:
                rate_and_burst = (resource.spec.rate_per_s, resource.spec.burst)
                rate_limits[RULE_ACCOUNT_PREFIX + name] = rate_and_burst
        return rate_limits

    def on_borrow_request(self, message, envelope):
        """Lend tokens of one share, or parts of all rates."""
        if message.resource == PARTS_RESOURCE:
            return self._lend_parts(message, envelope)
        return super().on_borrow_request(message, envelope)

    async def _borrow_parts(self):
        """Borrow parts from a peer while the table can't be read."""
        if self.is_borrowing:
            return
        self.is_borrowing = True
        try:
            for name in [*self.last_lenders, *self._peer_order()][:MAX_LENDERS_ASKED]:
                if await self._borrow_parts_from(name):
                    self.last_lenders = [name]
                    break
        finally:
            self.is_borrowing = False
        self.resize()

    async def _borrow_parts_from(self, name):
        instance = self.context.members.instances.get(name)
        if instance is None:
            return False  # it has gone since it lent parts
        sent_at = self.clock()
        request = peer_messages.BorrowRequest(
            PARTS_RESOURCE, 0.0, 0.0, int(limits.LOAN_DURATION_S * 1000)
        )
        try:
            answer = await self.context.peers.request(instance, request)
        except peers.PeerUnreachableError:
            return False
        if not isinstance(answer, peer_messages.BorrowAnswer) or not answer.amount:
            return False
        if not 0.0 < answer.amount <= limits.TOTAL_PARTS:
            self.context.peers.reject(answer, name, "lends an impossible amount")
            return False
        for_s = min(answer.for_ms / 1000.0, limits.LOAN_DURATION_S)
        # Discards the tokens of a loan that has ended.
        self.resize()
        self.lease.on_loan(int(answer.amount), sent_at + for_s)
        return True

    def _lend_parts(self, message, envelope):
        now = self.clock()
        borrower = f"{envelope.sender}/{envelope.incarnation}"
        loan = self.lease.lend(borrower, message.for_ms / 1000.0, now)
        self.resize()
        for_ms = int(loan.until * 1000)
        return peer_messages.BorrowAnswer(message.resource, loan.parts, 0.0, for_ms)

    def _nonce(self):
        return uuid.UUID(int=self.context.random.getrandbits(128)).hex
