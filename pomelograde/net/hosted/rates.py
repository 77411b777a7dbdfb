"""Rates of client accounts, split between the registered instances."""

import math

from twisted.internet import defer

from pomelograde.core import limits
from pomelograde.net import peer_messages, rates
from pomelograde.net.hosted import admissions

RETURNED_S = 1.0  # a token given back serves a request that comes soon after
MAX_RETURNED = 3  # of these; a bound on what all instances keep
START_S = 0.5  # least time from the end of a process to the next one's first work
RETIRED_S = 6.0  # a silent instance serves no key for longer than 4.8 s


class RegisteredRates(rates.RateTask):
    """Gives the holders of each rate the same part of it.

    Parameters
    ----------
    context : HostedContext
        Parts of the instance that all tasks share.
    relays : Relays
        Calls other instances.

    Notes
    -----
    Where a burst is too small for all instances, some of them hold it, and the
    others ask one of these for each request.

    A registration outlives its process, so the part of an instance that was
    killed is its own again when it starts. The part of one that is cut off
    lies idle, since nothing is admitted without recent news. When a registration
    ends, its part is shared out only after `RETIRED_S`.
    """

    def __init__(self, context, relays):
        super().__init__(context)
        self.relays = relays
        self.rates = {}
        self.holders = limits.Holders([])
        self.holder_names = {}
        self.by_name = {}
        self.returned = {}
        context.peers.handlers[peer_messages.AdmitRequest] = self._on_admit_request
        self.idle_s = START_S
        self.instances = 0
        self.shrink_at = float("inf")
        self.registered = 0

    def set_configuration(self, configuration):
        """Take in the rates of a configuration."""
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
        """Take in the registered instances."""
        self.set_peers(instances)
        self.by_name = {found.name: found for found in instances}
        self.holders = limits.Holders(instances)
        self.holder_names.clear()
        self.registered = len(instances)
        if self.registered >= self.instances:
            self.instances = self.registered
            self.shrink_at = float("inf")
        elif self.shrink_at == float("inf"):
            self.shrink_at = self.clock() + RETIRED_S
        self.resize()
        self.idle_s = 0.0

    def usable_part(self, now):
        """Return this instance's part of all rates."""
        if now >= self.shrink_at:
            self.instances = self.registered
            self.shrink_at = float("inf")
        if not self.instances:
            return 0.0
        self.usable_until = float("inf")
        return 1.0 / self.instances

    def may_hold_share(self, now):
        """Return whether this instance is registered."""
        return self.instances > 0

    def rate_limits(self):
        """Return rate and burst of each client account that is held here."""
        own = self.context.members.own.name
        return {
            name: found
            for name, found in self.rates.items()
            if own in self.find_holders(name)
        }

    def part_of(self, name, part):
        """Return this instance's part of one rate that it holds."""
        count = len(self.find_holders(name))
        return part if count >= self.registered or not part else 1.0 / count

    def find_holders(self, account):
        """Return the names of the instances that hold an account's rate."""
        if account not in self.rates:
            return []
        names = self.holder_names.get(account)
        if names is None:
            _, burst = self.rates[account]
            names = self.holder_names[account] = self.holders.find(account, burst)
        return names

    def find_lenders(self, name):
        """Return the other holders, those of the own data centre first."""
        holders = set(self.find_holders(name))
        if len(holders) >= self.registered:
            return super().find_lenders(name)
        near = [found for found in self.peers[: self.near_count] if found in holders]
        far = [found for found in self.peers[self.near_count :] if found in holders]
        return self._rotate_peers(near, far)

    def try_admit(self, account, now):
        """Take one request of a client account's rate if it may run now."""
        returned = self.returned.pop(account, None)
        if returned and self.clock() - returned[-1] < RETURNED_S:
            self.returned[account] = returned[:-1]
            return True
        return super().try_admit(account, now)

    def refund(self, account):
        """Take back what a request took that never ran."""
        if account in self.shares:
            super().refund(account)
        elif account in self.rates:
            kept = self.returned.get(account, [])[1 - MAX_RETURNED :]
            self.returned[account] = [*kept, self.clock()]

    def admit(self, account, deadline, max_wait_s=limits.MAX_WAIT_S, priority=0):
        """Wait for one request of a client account's rate, here or at a holder."""
        if account in self.shares or not self.find_holders(account):
            return super().admit(account, deadline, max_wait_s, priority)
        done = defer.Deferred()
        budget_ms = max(1, int((deadline - self.context.now()) * 1000.0))
        wait_ms = int(max_wait_s * 1000.0)
        request = peer_messages.AdmitRequest(account, budget_ms, wait_ms, priority)
        admissions.AdmissionCall(
            self.relays, self._order_holders(account), request, done
        ).start()
        return done

    def _order_holders(self, account):
        """Return the holders to ask, near and usable ones first."""
        now = self.context.now()
        own = self.context.members.own
        holders = [self.by_name[name] for name in self.find_holders(account)]
        return sorted(
            rates.rotate(holders, next(self.turn)),
            key=lambda found: (
                not self.relays.is_usable(found, now),
                found.region != own.region,
                found.data_centre != own.data_centre,
            ),
        )

    def _on_admit_request(self, message, envelope):
        """Admit a request of another instance, at once or after a while."""
        account = message.account
        if self.try_admit(account, self.context.now()):
            return peer_messages.AdmitAnswer()
        deadline = self.context.now() + message.budget_ms / 1000.0
        max_wait_s = message.wait_ms / 1000.0
        waiting = super().admit(account, deadline, max_wait_s, message.priority)
        return waiting.addCallback(_write_answer)


def _write_answer(failure):
    if failure is None:
        return peer_messages.AdmitAnswer()
    wait_ms = math.ceil(failure.retry_after_s * 1000.0)
    return peer_messages.AdmitAnswer(failure.kind.value, wait_ms)
