"""Admits requests within the rates of client accounts."""

from twisted.internet import defer, task

from pomelograde.core import limits, retries


class AdmissionTask:
    """Owns this instance's part of every client account's rate and burst.

    Parameters
    ----------
    context : InstanceContext
        Parts of the daemon that all tasks share.
    configuration : ConfigurationTask
        Configuration in force.
    """

    def __init__(self, context, configuration):
        self.context = context
        self.configuration = configuration
        self.buckets = {}

    def start(self):
        """Take in the configuration and follow its changes."""
        self.configuration.listeners.append(lambda changed: self.update())
        self.update()

    def stop(self):
        """End all timers."""

    def describe(self):
        """Return the limits in force on this instance as JSON values, by name."""
        return {
            name: {"rate_per_s": bucket.rate_per_s, "burst": bucket.burst}
            for name, bucket in self.buckets.items()
        }

    def try_admit(self, account, now):
        """Take one request of a client account's rate if it may run now.

        Parameters
        ----------
        account : str
            Client account.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            Whether it was admitted; if not, nothing was taken.
        """
        bucket = self.buckets.get(account)
        return bucket is None or bucket.take(now) <= 0.0

    def wait(self, account, deadline):
        """Wait for one request of a client account's rate.

        Parameters
        ----------
        account : str
            Client account.
        deadline : float
            Monotonic seconds.

        Returns
        -------
        Deferred of Failure or None
            None once it is admitted. A request that can't be admitted by the
            deadline is refused at once.
        """
        now = self.context.now()
        bucket = self.buckets.get(account)
        wait_s = 0.0 if bucket is None else bucket.take(now)
        if wait_s <= 0.0:
            return defer.succeed(None)
        if now + wait_s >= deadline:
            kind = retries.ErrorKind.RATE_EXCEEDED
            failure = retries.Failure(kind, account, retry_after_s=wait_s)
            return defer.succeed(failure)
        later = task.deferLater(self.context.reactor, wait_s)
        return later.addCallback(lambda _: self.wait(account, deadline))

    def update(self):
        """Adapt to the configuration and to the number of live instances."""
        instances = max(1, len(self.context.members.live()))
        now = self.context.now()
        accounts = self.configuration.current.of_kind("accounts")
        for name in [name for name in self.buckets if name not in accounts]:
            del self.buckets[name]
        for name, resource in accounts.items():
            rate = resource.spec.rate_per_s / instances
            burst = resource.spec.burst / instances
            bucket = self.buckets.get(name)
            if bucket is None:
                self.buckets[name] = limits.TokenBucket(rate, burst, burst, now)
            elif (bucket.rate_per_s, bucket.burst) != (rate, burst):
                bucket.refill(now)
                bucket.rate_per_s = rate
                bucket.burst = burst
                bucket.tokens = min(bucket.tokens, burst)
