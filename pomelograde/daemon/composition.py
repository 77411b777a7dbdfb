"""The composition root: builds the parts of a daemon and joins them."""

import random
import time

import attrs
from twisted.internet import defer, task
from twisted.protocols import tls
from twisted.web import server

from pomelograde.core import membership
from pomelograde.net import (
    admission,
    callers,
    certificates,
    configuration,
    context,
    events,
    exposition,
    gateway,
    groups,
    metrics,
    operators,
    peer_messages,
    peer_tls,
    peers,
    platform,
    upstream,
)
from pomelograde.net import (
    membership as membership_task,
)

DRAIN_CHECK_INTERVAL_S = 0.05


@attrs.define(eq=False)
class Daemon:
    """All parts of one daemon.

    Attributes
    ----------
    context : InstanceContext
        What all tasks share.
    configuration : ConfigurationTask
        Configuration in force.
    gateway : Gateway
        Groups and sessions.
    listener : CallerListener
        Accepts callers.
    membership : MembershipTask
        Live instances.
    ports : dict of str to IListeningPort
        Listening ports by name.
    """

    context: context.InstanceContext
    configuration: configuration.ConfigurationTask
    gateway: gateway.Gateway
    listener: callers.CallerListener
    membership: membership_task.MembershipTask
    ports: dict = attrs.field(factory=dict)

    async def start(self):
        """Listen, and fetch the configuration."""
        self.context.log.write(events.Event.DAEMON_STARTED)
        if self.context.peers.security is not None:
            addresses = self.context.settings.addresses
            self.ports["peer"] = self.context.peers.listen(
                addresses.host, addresses.peer_port
            )
            self.membership.start()
        site = operators.OperatorResource(
            self.context, self.gateway, self.configuration, self._drain
        )
        contexts = self.listener.tls_contexts
        if contexts is not None:
            contexts.start()
        self._listen("operator", operators.make_site(site), contexts)
        metrics_site = exposition.MetricsResource(self.context.metrics)
        self._listen("metrics", server.Site(metrics_site))
        await self.configuration.start()
        if self.configuration.stopped:
            return
        self.gateway.start()
        self._listen("caller", self.listener)
        self.context.log.write(events.Event.DAEMON_READY, **self.port_numbers())

    def reload_certificates(self):
        """Load all certificates again."""
        if self.context.peers.security is not None:
            self.context.peers.security.reload()
        if self.listener.tls_contexts is not None:
            self.listener.tls_contexts.reload()

    async def stop(self):
        """Stop without cutting a request in flight."""
        self.context.log.write(events.Event.DAEMON_STOPPING)
        if "caller" not in self.ports:
            self.configuration.stop()
        left = self.membership.leave()
        self.gateway.drain()
        deadline = self.context.now() + self.context.settings.drain_timeout_s
        while self._has_callers() and self.context.now() < deadline:
            await task.deferLater(self.context.reactor, DRAIN_CHECK_INTERVAL_S)
        if "caller" in self.ports:
            await defer.maybeDeferred(self.ports["caller"].stopListening)
        await left
        await self.gateway.admission.release_share()
        self.configuration.stop()
        self.gateway.stop()
        self.membership.stop()
        self.context.peers.stop()
        if self.listener.tls_contexts is not None:
            self.listener.tls_contexts.stop()
        for name in ("operator", "metrics", "peer"):
            if name not in self.ports:
                continue
            await defer.maybeDeferred(self.ports[name].stopListening)
        self.context.log.write(events.Event.DAEMON_STOPPED)

    def port_numbers(self):
        """Return the ports in use, by name."""
        return {
            f"{name}_port": port.getHost().port for name, port in self.ports.items()
        }

    def _has_callers(self):
        return bool(self.gateway.sessions or self.listener.lingering)

    def _drain(self):
        self.context.reactor.callLater(0.0, self.context.reactor.stop)

    def _listen(self, name, factory, contexts=None):
        addresses = self.context.settings.addresses
        number = getattr(addresses, f"{name}_port")
        factory.noisy = False
        if contexts is not None:
            factory = tls.TLSMemoryBIOFactory(contexts, False, factory)
        self.ports[name] = self.context.reactor.listenTCP(
            number, factory, interface=addresses.host, backlog=1024
        )


def build(reactor, settings):
    """Build a daemon.

    Parameters
    ----------
    reactor : IReactorTCP
        Reactor.
    settings : Settings
        Checked settings.

    Returns
    -------
    Daemon
        Not started yet.
    """
    addresses = settings.addresses
    own = membership.Instance(
        name=settings.instance,
        data_centre=settings.data_centre,
        incarnation=int(time.time() * 1000),
        host=addresses.advertised_host or addresses.host,
        peer_port=addresses.advertised_peer_port or addresses.peer_port,
        region=settings.region,
    )
    shared = context.InstanceContext(
        reactor=reactor,
        settings=settings,
        log=events.Log(settings.instance, settings.logging.format == "json"),
        metrics=metrics.Metrics(),
        credential=upstream.Credential(settings.upstream.password),
        members=membership.Membership(own),
        random=random.SystemRandom(),
    )
    shared.log.buffer = shared.events
    shared.peers = peers.PeerTask(shared, _make_peer_tls(shared))
    for seed in settings.seeds:
        shared.members.add_seed(_seed_instance(seed))
    client = platform.PlatformClient(
        reactor,
        settings.platform.url,
        settings.platform.timeout_s,
        addresses.bind_host,
    )
    shared.platform = client
    configuration_task = configuration.ConfigurationTask(shared, client)
    admission_task = admission.AdmissionTask(shared, configuration_task, client)
    gate = gateway.Gateway(shared, configuration_task, admission_task)
    listener = callers.CallerListener(shared, gate, _tls_contexts(shared))
    shared.peers.handlers[peer_messages.CancelStatement] = listener.on_peer_cancel
    members = membership_task.MembershipTask(shared, client, configuration_task)
    members.listeners.append(gate.on_instances_changed)
    members.listeners.append(admission_task.update)
    for message in groups.PEER_MESSAGES:
        shared.peers.handlers[message] = gate.on_group_message
    return Daemon(shared, configuration_task, gate, listener, members)


def _seed_instance(seed):
    return membership.Instance(
        name=seed.name,
        data_centre=seed.data_centre,
        incarnation=0,
        host=seed.host,
        peer_port=seed.peer_port,
    )


def _tls_contexts(shared):
    tls = shared.settings.tls
    if not tls.certificate_file:
        return None
    return certificates.ReloadingContextFactory(shared, tls)


def _make_peer_tls(shared):
    if not shared.settings.peers.certificate_file:
        return None
    return peer_tls.PeerTls(shared)
