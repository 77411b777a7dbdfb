"""What sessions need of the daemon: groups, configuration and admission."""

from twisted.internet import task

from pomelograde.core import limits, retries
from pomelograde.net import events, groups, upstream

SWEEP_INTERVAL_S = 0.05


class Gateway:
    """Owns the sessions, the groups and the rate buckets.

    Parameters
    ----------
    context : InstanceContext
        Parts of the daemon that all tasks share.
    configuration : ConfigurationTask
        Configuration in force.

    Attributes
    ----------
    groups : dict of str to GroupTask
        Groups by database service.
    sessions : set of Session
        Authenticated callers.
    exchanges : set of Exchange
        Statements under way.
    """

    def __init__(self, context, configuration):
        self.context = context
        self.configuration = configuration
        self.groups = {}
        self.sessions = set()
        self.by_key = {}
        self.exchanges = set()
        self.buckets = {}
        self.draining = False
        self.sweep = task.LoopingCall(self._sweep)

    def start(self):
        """Take in the configuration and follow its changes."""
        self.configuration.listeners.append(self._on_changed)
        self._update_services(self.configuration.current)
        self._update_accounts(self.configuration.current)
        self.sweep.clock = self.context.reactor
        self.sweep.start(SWEEP_INTERVAL_S)

    def stop(self):
        """Close all groups."""
        if self.sweep.running:
            self.sweep.stop()
        for group in self.groups.values():
            group.stop()

    def add(self, session):
        """Note an authenticated caller."""
        self.sessions.add(session)
        self.by_key.setdefault(session.key_name, set()).add(session)
        self.context.metrics.connections.set(len(self.sessions))

    def forget(self, session):
        """Drop a caller that is gone."""
        self.sessions.discard(session)
        self.exchanges.discard(session.exchange)
        of_key = self.by_key.get(session.key_name)
        if of_key is not None:
            of_key.discard(session)
            if not of_key:
                del self.by_key[session.key_name]
        self.context.metrics.connections.set(len(self.sessions))

    def admit(self, account, now):
        """Take one request of a client account's rate.

        Returns
        -------
        float
            0.0 if it may run now, else the seconds to wait.
        """
        bucket = self.buckets.get(account)
        if bucket is None:
            return 0.0
        return bucket.take(now)

    def cancel_upstream(self, connection):
        """Ask a member to cancel what runs on a connection."""
        for group in self.groups.values():
            pool = group.pools.get(connection.member)
            if pool is not None:
                upstream.send_cancel(self.context.reactor, pool.spec, connection)
                return

    def drain(self):
        """Ask all callers to go at their next transaction boundary."""
        self.draining = True
        for session in list(self.sessions):
            session.close_soon(retries.Failure(retries.ErrorKind.DRAINING))

    def on_instances_changed(self):
        """Adapt shares to the number of live instances."""
        for group in self.groups.values():
            group.resize()
        self._update_accounts(self.configuration.current)

    def on_primary_news(self, message, envelope):
        """Take a peer's word that a member leads a group."""
        group = self.groups.get(message.group)
        if group is not None:
            group.learn(message.term, message.primary)

    def _on_changed(self, changed):
        self._update_services(changed.new)
        self._update_accounts(changed.new)
        self._close_withdrawn(changed.new)

    def _update_services(self, configuration):
        wanted = configuration.of_kind("services")
        for name in [name for name in self.groups if name not in wanted]:
            self.groups.pop(name).stop()
        for name, resource in wanted.items():
            group = self.groups.get(name)
            if group is None:
                group = groups.GroupTask(self.context, name, resource.spec)
                self.groups[name] = group
                group.start()
            elif group.spec != resource.spec:
                group.update(resource.spec)

    def _update_accounts(self, configuration):
        instances = max(1, len(self.context.members.live()))
        now = self.context.now()
        accounts = configuration.of_kind("accounts")
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

    def _close_withdrawn(self, configuration):
        for key_name in list(self.by_key):
            key = configuration.get("keys", key_name)
            if key is not None and not key.withdrawn:
                continue
            sessions = list(self.by_key[key_name])
            self.context.log.write(
                events.Event.KEY_CONNECTIONS_CLOSED,
                key=key_name,
                connections=len(sessions),
            )
            for session in sessions:
                session.fail(retries.Failure(retries.ErrorKind.KEY_WITHDRAWN))

    def _sweep(self):
        now = self.context.now()
        late = [found for found in self.exchanges if found.deadline <= now]
        for exchange in late:
            if not exchange.done:
                exchange.expire()
