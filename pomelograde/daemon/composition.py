"""Composition root: creates the components of a daemon and connects them."""

import random
import time

import attrs
from twisted.internet import defer, task
from twisted.protocols import tls
from twisted.web import server

from pomelograde.core import membership
from pomelograde.daemon import build_id
from pomelograde.net import (
    admission,
    callers,
    certificates,
    configuration,
    context,
    events,
    gateway,
    groups,
    metrics,
    metrics_site,
    operators,
    peer_messages,
    peer_tls,
    peers,
    platform,
    rejections,
    text_log,
    upstream,
)
from pomelograde.net import (
    membership as net_membership,
)

DRAIN_CHECK_INTERVAL_S = 0.05
CLOSE_TIMEOUT_S = 1.0  # for callers to read why they are cut off


@attrs.define(eq=False)
class Daemon:
    """Components of one daemon.

    Attributes
    ----------
    context : InstanceContext
        Components that all tasks share.
    configuration : ConfigurationTask
        Keeps the configuration current.
    gateway : Gateway
        Database groups and sessions of callers.
    listener : CallerListener
        Accepts connections of callers.
    membership : MembershipTask
        Tracks the live instances of the fleet.
    ports : dict of str to IListeningPort
        Listening ports by name.
    """

    context: context.InstanceContext
    configuration: configuration.ConfigurationTask
    gateway: gateway.Gateway
    listener: callers.CallerListener
    membership: net_membership.MembershipTask
    ports: dict = attrs.field(factory=dict)

    async def start(self):
        """Fetch the configuration, and then accept callers.

        Notes
        -----
        The ports for peers, operators and metrics are opened first: operators
        can reach an instance that waits for its configuration, and it can get
        the configuration from peers.
        """
        self.context.log.write(
            events.Event.DAEMON_STARTED, build=self.context.members.own.build
        )
        if self.context.peers.security is not None:
            addresses = self.context.settings.addresses
            self.ports["peer"] = self.context.peers.listen(
                addresses.host, addresses.peer_port
            )
            self.membership.start()
        operator_resource = operators.OperatorResource(
            self.context, self.gateway, self.configuration, self._stop_reactor
        )
        tls_contexts = self.listener.tls_contexts
        if tls_contexts is not None:
            tls_contexts.start()
        self._listen("operator", operators.make_site(operator_resource), tls_contexts)
        metrics_resource = metrics_site.MetricsResource(self.context.metrics)
        self._listen("metrics", server.Site(metrics_resource))
        await self.configuration.start()
        if self.configuration.stopped:
            return
        self.gateway.start()
        self._listen("caller", self.listener)
        self.context.log.write(events.Event.DAEMON_READY, **self.port_numbers())

    def reload_certificates(self):
        """Reload the certificates for peers, callers and operators."""
        if self.context.peers.security is not None:
            self.context.peers.security.reload()
        if self.listener.tls_contexts is not None:
            self.listener.tls_contexts.reload()

    async def stop(self):
        """Shut down gracefully.

        Notes
        -----
        Callers are disconnected at their next transaction boundary; those that
        are left after `drain_timeout_s` are cut off with an error. The caller port
        stays open meanwhile, so that new callers are told that the instance is
        stopping.
        """
        self.context.log.write(events.Event.DAEMON_STOPPING)
        if "caller" not in self.ports:  # start() still waits for the configuration
            self.configuration.stop()
        leave_announced = self.membership.leave()
        self.gateway.drain()
        await self._wait_for_callers(self.context.settings.drain_timeout_s)
        self.gateway.close_sessions()
        await self._wait_for_callers(CLOSE_TIMEOUT_S)
        if "caller" in self.ports:
            await defer.maybeDeferred(self.ports["caller"].stopListening)
        await leave_announced
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
        """Return the numbers of the listening ports by name."""
        return {
            f"{name}_port": port.getHost().port for name, port in self.ports.items()
        }

    async def _wait_for_callers(self, timeout_s):
        """Wait until all connections of callers have ended, or the time is over."""
        deadline = self.context.now() + timeout_s
        while self._has_callers() and self.context.now() < deadline:
            await task.deferLater(self.context.reactor, DRAIN_CHECK_INTERVAL_S)

    def _has_callers(self):
        return bool(self.gateway.sessions or self.listener.lingering)

    def _stop_reactor(self):
        self.context.reactor.callLater(0.0, self.context.reactor.stop)

    def _listen(self, name, factory, tls_contexts=None):
        addresses = self.context.settings.addresses
        port_number = getattr(addresses, f"{name}_port")
        factory.noisy = False
        if tls_contexts is not None:
            factory = tls.TLSMemoryBIOFactory(tls_contexts, False, factory)
        self.ports[name] = self.context.reactor.listenTCP(
            port_number, factory, interface=addresses.host, backlog=1024
        )


def build(reactor, settings):
    """Build a daemon.

    Parameters
    ----------
    reactor : IReactorTCP
        Reactor on a clock that is monotonic and counts suspended time.
    settings : Settings
        Checked settings.

    Returns
    -------
    Daemon
        Not started yet.
    """
    addresses = settings.addresses
    own_instance = membership.Instance(
        name=settings.instance,
        data_centre=settings.data_centre,
        incarnation=int(time.time() * 1000),
        host=addresses.advertised_host or addresses.host,
        peer_port=addresses.advertised_peer_port or addresses.peer_port,
        region=settings.region,
        build=build_id.read(),
    )
    shared_context = context.InstanceContext(
        reactor=reactor,
        settings=settings,
        log=text_log.TextLog(settings.instance, settings.logging.format == "json"),
        metrics=metrics.Metrics(),
        credential=upstream.Credential(settings.upstream.password),
        members=membership.Membership(own_instance),
        random=random.SystemRandom(),
    )
    shared_context.metrics.set_build(own_instance.build)
    shared_context.log.buffer = shared_context.events
    shared_context.peers = peers.PeerTask(
        shared_context, _make_peer_tls(shared_context)
    )
    for seed in settings.seeds:
        shared_context.members.add_seed(_seed_instance(seed))
    platform_client = platform.PlatformClient(
        reactor,
        settings.platform.url,
        settings.platform.timeout_s,
        addresses.bind_host,
        _make_rejection_log(shared_context),
    )
    shared_context.platform = platform_client
    configuration_task = configuration.ConfigurationTask(
        shared_context, platform_client
    )
    admission_task = admission.AdmissionTask(
        shared_context, configuration_task, platform_client
    )
    session_gateway = gateway.Gateway(
        shared_context, configuration_task, admission_task
    )
    listener = callers.CallerListener(
        shared_context, session_gateway, _make_tls_contexts(shared_context)
    )
    shared_context.peers.handlers[peer_messages.CancelStatement] = (
        listener.on_peer_cancel
    )
    membership_task = net_membership.MembershipTask(
        shared_context, platform_client, configuration_task
    )
    membership_task.listeners.append(session_gateway.on_instances_changed)
    membership_task.listeners.append(admission_task.update)
    for message_type in groups.PEER_MESSAGES:
        shared_context.peers.handlers[message_type] = session_gateway.on_group_message
    return Daemon(
        shared_context, configuration_task, session_gateway, listener, membership_task
    )


def _seed_instance(seed):
    return membership.Instance(
        name=seed.name,
        data_centre=seed.data_centre,
        incarnation=0,
        host=seed.host,
        peer_port=seed.peer_port,
    )


def _make_rejection_log(shared_context):
    """Return the function that logs rows of the platform which can't be read."""
    log = rejections.RejectionLog(shared_context, events.Event.ROW_REJECTED)
    return lambda key, reason: log.write(reason, key=key)


def _make_tls_contexts(shared_context):
    tls_settings = shared_context.settings.tls
    if not tls_settings.certificate_file:
        return None
    return certificates.ReloadingContextFactory(shared_context, tls_settings)


def _make_peer_tls(shared_context):
    if not shared_context.settings.peers.certificate_file:
        return None
    return peer_tls.PeerTls(shared_context)
