"""Rates of client accounts, split between the registered instances."""

from pomelograde.core import limits
from pomelograde.net import rates

RETIRED_S = 6.0  # a silent instance serves no key for longer than 4.8 s


class RegisteredRates(rates.RateTask):
    """Gives each registered instance the same part of all rates.

    Parameters
    ----------
    context : HostedContext
        Parts of the instance that all tasks share.

    Notes
    -----
    A registration outlives its process, so the part of an instance that was
    killed is its own again when it starts. The part of one that is cut off
    lies idle, since nothing is admitted without recent news. When a registration
    ends, its part is shared out only after `RETIRED_S`.
    """

    def __init__(self, context):
        super().__init__(context)
        self.rates = {}
        self.instances = 0
        self.shrink_at = float("inf")
        self.registered = 0

    def set_configuration(self, configuration):
        """Take in the rates of a configuration."""
        settings = self.context.settings
        self.rates = {
            account.name: limits.allot(
                account.rate_per_s,
                account.burst,
                settings.rate_excess,
                settings.rate_slack,
            )
            for account in configuration.accounts.values()
        }
        self.resize()

    def set_instances(self, instances):
        """Take in the registered instances."""
        self.set_peers(instances)
        self.registered = len(instances)
        if self.registered >= self.instances:
            self.instances = self.registered
            self.shrink_at = float("inf")
        elif self.shrink_at == float("inf"):
            self.shrink_at = self.clock() + RETIRED_S
        self.resize()

    def usable_part(self, now):
        """Return this instance's part of all rates."""
        if now >= self.shrink_at:
            self.instances = self.registered
            self.shrink_at = float("inf")
        if not self.instances:
            return 0.0
        self.usable_until = float("inf")
        return 1.0 / self.instances

    def may_hold(self, now):
        """Return whether this instance is registered."""
        return self.instances > 0

    def allotments(self):
        """Return rate and burst of each client account."""
        return self.rates
