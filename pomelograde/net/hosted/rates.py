"""Rate limits of client accounts, divided between the registered instances."""

import math

from twisted.internet import defer

from pomelograde.core import limits
from pomelograde.net import peer_messages, rates
from pomelograde.net.hosted import admissions

REFUND_LIFETIME_S = 1.0  # within which a later request may use the refunded token
MAX_REFUNDS = 3  # per account; bounds the refunds that all instances hold
# A registration ends after 2.5 s of silence, and an instance accepts no keys 4.8 s
# after its last news.
HOLDER_RELEASE_S = 2.5
MIN_RESTART_S = 0.5  # a process that restarts admits nothing for at least this long


class RegisteredRates(rates.RateTask):
    """Divides each rate equally between its holders.

    Parameters
    ----------
    context : HostedContext
        Components that all tasks of the instance share.
    relay : Relay
        Sends admission requests to other instances.
    freshness : Freshness
        How recent this instance's state is.

    Attributes
    ----------
    rates : dict of str to tuple
        Rate and burst of each client account, for all instances together.
    holders : Holders
        Chooses among the registered instances, and those whose registration ended
        less than `HOLDER_RELEASE_S` ago: their place is not given to others yet.
    ended_instances : dict of str to tuple
        The latter instances by name, with the time until which each has its place.
    holder_names : dict of str to list of str
        Cached holders of each client account's rate.
    refunded_at : dict of str to list of float
        Times of refunds for accounts whose rate is held elsewhere.
    division : RateDivision
        Divides the rates between the instances.
    applied_part : float
        Part of all rates that the shares were last resized to.

    Notes
    -----
    Where a burst is too small to be divided between all instances, some of them
    hold it, and the others ask a holder for each request.

    A registration outlives its process, so an instance that was killed has its
    share again after the restart. After a registration has ended, its share goes
    to the others as `RateDivision` describes.
    """

    def __init__(self, context, relay, freshness):
        super().__init__(context)
        self.freshness = freshness
        self.relay = relay
        self.rates = {}
        self.holders = limits.Holders([])
        self.holder_names = {}
        self.instances_by_name = {}
        self.ended_instances = {}
        self.refunded_at = {}
        context.peers.handlers[peer_messages.AdmitRequest] = self._on_admit_request
        self.idle_s = MIN_RESTART_S
        self.division = limits.RateDivision(freshness.revocation_s)
        self.applied_part = 0.0

    def set_configuration(self, configuration):
        """Apply the rates of a configuration."""
        settings = self.context.settings
        self.rates = {
            account.name: limits.compensated_limits(
                account.rate_per_s,
                account.burst,
                settings.rate_excess,
                settings.rate_slack,
            )
            for account in configuration.accounts.values()
        }
        self.holder_names.clear()
        self.resize()

    def set_instances(self, instances):
        """Update the registered instances."""
        self.set_peers(instances)
        registered = {found.name: found for found in instances}
        release_at = self.context.now() + HOLDER_RELEASE_S
        for name, found in self.instances_by_name.items():
            if name not in registered:
                self.ended_instances[name] = (found, release_at)
        for name in registered:
            self.ended_instances.pop(name, None)
        self.instances_by_name = registered
        self._update_holders()
        self.division.set_registered(self.instances_by_name, self.context.now())
        self.resize()
        self.idle_s = 0.0

    def usable_part(self, now):
        """Return the fraction of all rates that this instance may use.

        Notes
        -----
        Also sets `usable_until`.
        """
        age_s = self.context.now() - self.freshness.members_at
        part = self.division.part(age_s, self.context.now())
        self.usable_until = now + self.division.remaining_s(age_s)
        return part

    def _update_holders(self):
        ended = [found for found, _ in self.ended_instances.values()]
        self.holders = limits.Holders([*self.instances_by_name.values(), *ended])
        self.holder_names.clear()

    def update_part(self):
        """Resize the shares if the usable part or the holders have changed."""
        now = self.context.now()
        released = [name for name, (_, at) in self.ended_instances.items() if now >= at]
        for name in released:
            del self.ended_instances[name]
        if released:
            self._update_holders()
        if released or self.usable_part(self.clock()) != self.applied_part:
            self.resize()

    def resize(self):
        """Apply the rates in force and the usable part to all shares."""
        self.applied_part = self.usable_part(self.clock())
        super().resize()

    def may_hold_share(self, now):
        """Return whether the rates are divided into any shares."""
        return bool(self.instances_by_name)

    def rate_limits(self):
        """Return the rate and burst of each client account that is held here."""
        own = self.context.members.own.name
        return {
            name: found
            for name, found in self.rates.items()
            if own in self.find_holders(name)
        }

    def part_of(self, name, part):
        """Return this instance's part of a rate that it holds."""
        count = len(self.find_holders(name))
        return part if count >= self.holders.instance_count or not part else 1.0 / count

    def describe_share(self, account):
        """Return an account's rate and this instance's tokens for the log.

        The result is empty if other instances hold the rate.
        """
        share = self.shares.get(account)
        if share is None:
            return {}
        return {
            "rate_per_s": round(share.total_rate_per_s, 1),
            "tokens": round(share.bucket.tokens, 2),
            "waiting": len(share.waiters),
        }

    def find_holders(self, account):
        """Return the names of the instances that hold a client account's rate."""
        if account not in self.rates:
            return []
        names = self.holder_names.get(account)
        if names is None:
            _, burst = self.rates[account]
            names = self.holder_names[account] = self.holders.find(account, burst)
        return names

    def find_lenders(self, name):
        """Return the other holders, those of this data centre first."""
        holders = set(self.find_holders(name))
        if len(holders) >= self.holders.instance_count:
            return super().find_lenders(name)
        near = [found for found in self.peers[: self.near_count] if found in holders]
        far = [found for found in self.peers[self.near_count :] if found in holders]
        return self._rotate_peers(near, far)

    def try_admit(self, account, now):
        """Take a token for one request if one is available now."""
        refunded_at = self.refunded_at.pop(account, None)
        if refunded_at and self.clock() - refunded_at[-1] < REFUND_LIFETIME_S:
            self.refunded_at[account] = refunded_at[:-1]
            return True
        return super().try_admit(account, now)

    def refund(self, account):
        """Refund the token of a request that never ran."""
        if account in self.shares:
            super().refund(account)
        elif account in self.rates:
            recent = self.refunded_at.get(account, [])[1 - MAX_REFUNDS :]
            self.refunded_at[account] = [*recent, self.clock()]

    def admit(self, account, deadline, max_wait_s=limits.MAX_WAIT_S, priority=0):
        """Wait for a token for one request, here or at a holder."""
        if account in self.shares or not self.find_holders(account):
            return super().admit(account, deadline, max_wait_s, priority)
        done = defer.Deferred()
        budget_ms = max(1, int((deadline - self.context.now()) * 1000.0))
        wait_ms = int(max_wait_s * 1000.0)
        request = peer_messages.AdmitRequest(account, budget_ms, wait_ms, priority)
        admissions.AdmissionCall(
            self.relay, self._rank_holders(account), request, done
        ).start()
        return done

    def _rank_holders(self, account):
        """Return the holders to ask: usable ones first, then by proximity."""
        now = self.context.now()
        own = self.context.members.own
        names = self.find_holders(account)
        known = self.instances_by_name
        holders = [known[name] for name in names if name in known]
        return sorted(
            rates.rotate(holders, next(self.turn)),
            key=lambda found: (
                not self.relay.is_usable(found, now),
                found.region != own.region,
                found.data_centre != own.data_centre,
            ),
        )

    def _on_admit_request(self, message, envelope):
        """Admit a request of another instance, if need be after a wait."""
        account = message.account
        if self.try_admit(account, self.context.now()):
            return peer_messages.AdmitAnswer()
        deadline = self.context.now() + message.budget_ms / 1000.0
        max_wait_s = message.wait_ms / 1000.0
        waiting = super().admit(account, deadline, max_wait_s, message.priority)
        return waiting.addCallback(_encode_answer)


def _encode_answer(failure):
    if failure is None:
        return peer_messages.AdmitAnswer()
    wait_ms = math.ceil(failure.retry_after_s * 1000.0)
    return peer_messages.AdmitAnswer(failure.kind.value, wait_ms)
