"""Limits what is sent to members that have just started."""

import functools

from pomelograde.core import limits
from pomelograde.net import events


class ColdStarts:
    """Gives each cold member one instance that sends to it, at a limited rate.

    Parameters
    ----------
    context : HostedContext
        Components that all tasks of the instance share.
    proxy : Proxy
        Groups, pools and configuration.

    Attributes
    ----------
    paces : dict of str to ColdPace
        Limits of the members that are cold, by name.
    services : set of str
        Services that may have a cold member.
    """

    def __init__(self, context, proxy):
        self.context = context
        self.proxy = proxy
        self.paces = {}
        self.services = set()

    def configure(self, group):
        """Apply the service's configuration to its group."""
        spec = self.proxy.configuration.services.get(group.name)
        limited = spec is not None and spec.cold_rate_per_s > 0.0
        group.cold_start_s = spec.cold_start_s if limited else 0.0
        if limited or any(name in self.paces for name in group.members):
            self.services.add(group.name)

    def update(self):
        """Update which members are cold, and which of them this instance sends to."""
        if not self.services:
            return
        now = self.context.now()
        read_at = self.proxy.freshness.members_at
        cold = set()
        for service in list(self.services):
            group = self.proxy.groups.get(service)
            members = [] if group is None else group.update_cold(now, read_at)
            if not members:
                self.services.discard(service)
            for member in members:
                cold.add(member.name)
                self._update_pace(service, member, now)
        for name in [name for name in self.paces if name not in cold]:
            self._end(name)

    def presume_restart(self, service, name):
        """Limit what is sent to a member that has probably started again.

        Notes
        -----
        Its connections broke, or another instance says so. Its row shows only
        later whether it has.
        """
        group = self.proxy.groups.get(service)
        member = None if group is None else group.members.get(name)
        if member is None or member.leaving or group.cold_start_s <= 0.0:
            return
        group.presume_restart(name, self.context.now())
        self.services.add(service)
        self.update()

    def find_owner(self, member):
        """Return the one instance that sends to a cold member."""
        instances = self.proxy.relay.instances
        owner = limits.choose_sender(member, instances)
        return self.context.members.own if owner is None else owner

    def watch(self, connection):
        """Count what is sent on a new connection, and notice its end."""
        connection.on_sent = functools.partial(self._record_sent, connection.member)
        connection.on_cut = functools.partial(self.on_cut, connection)

    def on_cut(self, connection):
        """Presume a restart if the last connection to a member ends.

        Notes
        -----
        A restart ends them all. A member that drops one has not started again.
        """
        pool = self.proxy.pools.get(connection.member)
        others = set() if pool is None else pool.open - {connection}
        if not any(not other.is_lost for other in others):
            self.presume_restart(connection.service, connection.member)

    def _record_sent(self, name, count):
        pace = self.paces.get(name)
        if pace is not None:
            pace.record_sent(count, self.context.now())
            metrics = self.context.metrics
            metrics.count(metrics.cold_requests, name, count)

    def _update_pace(self, service, member, now):
        rate_per_s = self.proxy.configuration.services[service].cold_rate_per_s
        pace = self.paces.get(member.name)
        owner = self.find_owner(member).name
        if pace is None or pace.rate_per_s != rate_per_s:
            settings = self.context.settings
            pace = self.paces[member.name] = limits.ColdPace(
                rate_per_s, settings.cold_excess, settings.cold_slack
            )
            self.context.log.write(
                events.Event.UPSTREAM_COLD,
                service=service,
                member=member.name,
                s=round(member.cold_until - now, 1),
                presumed=not member.is_cold,
                keeper=owner,
            )
        was_owner = pace.is_owner
        pace.set_owner(owner == self.context.members.own.name, now)
        pool = self.proxy.pools.get(member.name)
        changed = was_owner != pace.is_owner
        if pool is not None and (changed or pool.core.gate is not pace):
            pool.set_gate(pace)

    def _end(self, name):
        del self.paces[name]
        pool = self.proxy.pools.get(name)
        if pool is not None:
            pool.set_gate(None)
        self.context.log.write(events.Event.UPSTREAM_WARM, member=name)
