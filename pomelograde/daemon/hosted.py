"""Entry point and composition root of an instance on a hosting platform."""

import random
import time

import attrs
import click
from twisted.internet import defer, task
from twisted.web import server

from pomelograde.core import configuration, membership
from pomelograde.daemon import runner
from pomelograde.net import (
    events,
    exposition,
    faults,
    json_log,
    metrics,
    peers,
    steady_reactor,
)
from pomelograde.net.hosted import context, proxy, readiness, state_sync, takeovers
from pomelograde.platform import (
    callers,
    http,
    promotions,
    settings,
    source,
    store,
    upstreams,
)

DRAIN_CHECK_INTERVAL_S = 0.05
STOP_MARGIN_S = 0.5  # before the platform ends the process


@attrs.define(eq=False)
class HostedDaemon:
    """All parts of one instance.

    Attributes
    ----------
    context : HostedContext
        What all tasks share.
    sync : StateSync
        Follows the store.
    proxy : Proxy
        Sessions, pools and rates.
    takeovers : TakeoverTask
        Replaces primaries.
    readiness : Readiness
        Answers the balancer's probe.
    ports : list of IListeningPort
        Listening ports.
    """

    context: context.HostedContext
    sync: state_sync.StateSync
    proxy: proxy.Proxy
    takeovers: takeovers.TakeoverTask
    readiness: readiness.Readiness
    ports: list = attrs.field(factory=list)

    async def start(self):
        """Listen, and read what the store holds."""
        found = self.context.settings
        self.context.log.write(
            events.Event.DAEMON_STARTED,
            host=found.host,
            data_centre=found.data_centre,
            store=found.store,
        )
        self._listen(found.ready_port, readiness.make_site(self.readiness))
        metrics_site = server.Site(exposition.MetricsResource(self.context.metrics))
        metrics_site.noisy = False
        self._listen(found.metrics_port, metrics_site)
        self.ports.append(self.context.peers.listen(found.host, found.peer_port))
        await self.sync.start()
        self.proxy.start()
        self.takeovers.start()
        factory = callers.CallerFactory(
            self.context.reactor,
            self.proxy.open_session,
            self.proxy.record_session_refusal,
        )
        self._listen(found.caller_port, factory)
        self.readiness.has_started = True
        self.context.log.write(
            events.Event.DAEMON_READY,
            version=self.sync.configuration.version,
            caller_port=found.caller_port,
        )

    @property
    def is_busy(self):
        """Whether anything is under way that should end before the stop."""
        return self.proxy.is_busy or bool(self.takeovers.running)

    async def stop(self):
        """Stop without cutting what can still end."""
        self.readiness.is_stopping = True
        self.context.log.write(
            events.Event.DAEMON_STOPPING, sessions=len(self.proxy.sessions)
        )
        self.proxy.begin_stop()
        deadline = self.context.now() + self.context.settings.grace_s - STOP_MARGIN_S
        while self.is_busy and self.context.now() < deadline:
            await task.deferLater(self.context.reactor, DRAIN_CHECK_INTERVAL_S)
        self.sync.stop()
        self.takeovers.stop()
        self.proxy.stop()
        await self.sync.leave()
        self.context.peers.stop()
        for port in self.ports:
            await defer.maybeDeferred(port.stopListening)
        self.context.log.write(events.Event.DAEMON_STOPPED)

    def _listen(self, number, factory):
        host = self.context.settings.host
        port = self.context.reactor.listenTCP(
            number, factory, interface=host, backlog=1024
        )
        self.ports.append(port)


def build(reactor, found, log=None):
    """Build an instance.

    Parameters
    ----------
    reactor : IReactorTCP
        Reactor, on a steady clock.
    found : HostedSettings
        Checked settings.
    log : Log or None
        Event log; None for lines on standard output.

    Returns
    -------
    HostedDaemon
        Not started yet.
    """
    own = membership.Instance(
        name=found.instance,
        data_centre=found.data_centre,
        incarnation=1,
        host=found.host,
        peer_port=found.peer_port,
        region=found.region,
    )
    shared = context.HostedContext(
        reactor=reactor,
        settings=found,
        log=log or json_log.JsonLog(found.instance, time.time),
        metrics=metrics.Metrics(),
        members=membership.Membership(own),
        random=random.SystemRandom(),
    )
    shared.peers = peers.PeerTask(shared, peers.PlainPeers())
    shared.peers.drops_on_timeout = False
    calls = shared.metrics.add_counter(
        "pomelograde_store_calls", "Calls to the platform's store.", "outcome"
    )

    def count_call(name, outcome):
        shared.metrics.count(calls, f"{name} {outcome}")

    client = store.StoreClient(
        http.HttpClient(reactor, found.store, found.host, count_call)
    )
    promoter = promotions.PromotionClient(
        http.HttpClient(reactor, found.failover_service, found.host, count_call),
        found.instance,
    )
    freshness = configuration.Freshness(found.revocation_s)
    sync = state_sync.StateSync(shared, source.PlatformSource(client), freshness)
    session_proxy = proxy.Proxy(shared, freshness, upstreams.open_connection)
    sync.on_configuration = session_proxy.set_configuration
    sync.on_members = session_proxy.set_members
    sync.on_instances = session_proxy.set_instances
    sync.on_refreshed = session_proxy.renew_primary_leases
    taker = takeovers.TakeoverTask(shared, sync, session_proxy, promoter)
    sync.on_takeovers = taker.set_takeovers
    ready = readiness.Readiness(shared, freshness)
    return HostedDaemon(shared, sync, session_proxy, taker, ready)


@click.command(epilog="Exit codes: 0 stopped as asked, 1 a failure, 2 faulty settings.")
@click.option("--settings", "path", help="Settings; by default the platform's file.")
@click.option("--check", is_flag=True, help="Check the settings, if any, and exit.")
def main(path, check):
    """Run one instance on a hosting platform until it is told to stop."""
    path = path or settings.find_path()
    if check and not path:
        click.echo("program: ok")
        return
    found = runner.settings_or_exit(settings.load(path))
    if check:
        click.echo("settings: ok")
        return
    json_log.make_standard_output_non_blocking()
    reactor = steady_reactor.install()
    daemon = build(reactor, found)
    faults.install(daemon.context.log)
    runner.run(reactor, daemon, _ignore_hangup)


def _ignore_hangup():
    """Keep running when told that the settings file has changed.

    Notes
    -----
    Nothing in the file changes during a process's life except what it starts
    with; the platform starts a process anew to move it.
    """
