"""Admits requests within the rates of client accounts."""

import uuid

from twisted.internet import defer

from pomelograde.core import limits
from pomelograde.net import peer_messages, peers, platform, rates

POLL_INTERVAL_S = 1.0
FIRST_POLL_INTERVAL_S = 0.2  # while no share is held
INSTANCES_PER_READ = 500  # instances that may read the table in one second
MAX_COMMITS = 4  # in one poll
LENDERS_ASKED = 4
PARTS_RESOURCE = ""  # parts of all rates, in place of one account's tokens
RULE_PREFIX = "rule/"


class AdmissionTask(rates.RateTask):
    """Owns this instance's part of every client account's rate and burst.

    Parameters
    ----------
    context : InstanceContext
        Parts of the daemon that all tasks share.
    configuration : ConfigurationTask
        Configuration in force.
    client : PlatformClient
        Table that shares are leased in.
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
        self.borrowing = False
        self.lenders = []
        self.table_version = 0
        self.polling = None

    def start(self):
        """Take in the configuration and follow its changes."""
        self.configuration.listeners.append(lambda changed: self.resize())
        self.lease.started_at = self.clock()
        self.update()
        self._poll_regularly()

    def stop(self):
        """End all timers."""
        super().stop()
        if self.poll_timer is not None and self.poll_timer.active():
            self.poll_timer.cancel()

    def usable_part(self, now):
        """Return the part of all rates that the lease or a loan gives."""
        part = self.lease.usable_parts(now) / limits.TOTAL_PARTS
        self.usable_until = self.lease.usable_until(now) if part else float("-inf")
        return part

    def update(self):
        """Adapt to the live instances."""
        self.set_peers(self.context.members.live())
        self.resize()
        if self.poll_timer is not None and not self.stopped:
            self.poll()

    def poll(self):
        """Look at the table now; returns a Deferred."""
        if self.polling is None:
            self.polling = defer.ensureDeferred(self._poll())
            self.polling.addBoth(self._on_polled)
        return self.polling

    async def release_share(self):
        """Give this instance's share back for good."""
        if self.polling is not None:
            await self.polling
        for _ in range(MAX_COMMITS):
            commit = self.lease.release_all(self._nonce(), self.clock())
            self.resize()
            if commit is None or await self._commit(commit) is False:
                return
            if not self.lease.own_row.version:
                return

    def may_hold_share(self, now):
        """Return whether a share is held or still to be expected."""
        return bool(self.lease.usable_parts(now)) or self.lease.is_starting(now)

    def _poll_regularly(self):
        if self.stopped:
            return
        self.poll()
        instances = len(self.context.members.live())
        interval_s = max(POLL_INTERVAL_S, instances / INSTANCES_PER_READ)
        if not self.lease.usable_parts(self.clock()):
            interval_s = FIRST_POLL_INTERVAL_S
        self.poll_timer = self.context.reactor.callLater(
            interval_s, self._poll_regularly
        )

    async def _poll(self):
        if not await self._read():
            if self.lease.needs_loan(self.clock()):
                defer.ensureDeferred(self._borrow_parts())
            self.resize()
            return
        for _ in range(MAX_COMMITS):
            instances = len(self.context.members.live())
            commit = self.lease.plan_commit(instances, self._nonce(), self.clock())
            if commit is None:
                break
            self.resize()
            if not await self._commit(commit):
                break
        self.resize()

    def _on_polled(self, outcome):
        self.polling = None
        return outcome

    async def _read(self):
        answer = await self.client.rows(limits.TABLE_PREFIX, self.table_version)
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
        self.lease.on_outcome_unknown()
        return False

    def rate_limits(self):
        """Return rates and bursts of client accounts and open routes."""
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

    def on_borrow_request(self, message, envelope):
        """Lend tokens, or parts of all rates."""
        if message.resource == PARTS_RESOURCE:
            return self._lend_parts(message, envelope)
        return super().on_borrow_request(message, envelope)

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
        self.resize()

    async def _borrow_parts_from(self, name):
        instance = self.context.members.instances.get(name)
        sent_at = self.clock()
        request = peer_messages.BorrowRequest(
            PARTS_RESOURCE, 0.0, 0.0, int(limits.LOAN_DURATION_S * 1000)
        )
        try:
            answer = await self.context.peers.request(instance, request)
        except peers.PeerUnreachableError:
            return False
        if not getattr(answer, "amount", 0.0):
            return False
        # Tokens of a loan that has ended are void.
        self.resize()
        self.lease.on_loan(int(answer.amount), sent_at + answer.for_ms / 1000.0)
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
