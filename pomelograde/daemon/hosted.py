"""Entry point and composition root of an instance on a hosting platform."""

import importlib
import random
import time

import attrs
import click
from twisted.internet import defer, task

from pomelograde.core import configuration, membership
from pomelograde.daemon import build_id, runner
from pomelograde.net import (
    events,
    faults,
    json_log,
    metrics,
    peers,
    steady_reactor,
)
from pomelograde.net.hosted import (
    context,
    evacuations,
    health,
    invalid_rows,
    paths,
    placing,
    probe_site,
    proxy,
    readiness,
    replica_sets,
    state_sync,
    takeovers,
)
from pomelograde.platform import (
    callers,
    documents,
    http,
    promotions,
    settings,
    source,
    store,
    upstreams,
)

DRAIN_CHECK_INTERVAL_S = 0.05
STOP_MARGIN_S = 0.5  # to close down before the platform kills the process


@attrs.define(eq=False)
class HostedDaemon:
    """Components of one instance.

    Attributes
    ----------
    context : HostedContext
        Components that all tasks share.
    sync : StateSync
        Keeps the instance's copy of the store's state current.
    proxy : Proxy
        Sessions, connection pools and rate limits.
    takeovers : TakeoverTask
        Replaces primaries that are leaving or have failed.
    replica_sets : ReplicaSetTask
        Records the members that may hold acknowledged commits.
    evacuations : EvacuationTask
        Ends what is open in evacuated data centres.
    readiness : Readiness
        Readiness probe of the load balancer.
    callers : CallerFactory
        Accepts the connections of callers.
    ports : list of IListeningPort
        Listening ports.
    """

    context: context.HostedContext
    sync: state_sync.StateSync
    proxy: proxy.Proxy
    takeovers: takeovers.TakeoverTask
    replica_sets: replica_sets.ReplicaSetTask
    evacuations: evacuations.EvacuationTask
    readiness: readiness.Readiness
    callers: callers.CallerFactory
    ports: list = attrs.field(factory=list)

    async def start(self):
        """Read the state from the store, register, and then accept callers.

        Notes
        -----
        The other ports are opened first, so that the load balancer's probe,
        the metrics and other instances get answers meanwhile.
        """
        instance_settings = self.context.settings
        self.context.log.write(
            events.Event.DAEMON_STARTED,
            host=instance_settings.host,
            data_centre=instance_settings.data_centre,
            store=instance_settings.store,
            build=self.context.members.own.build,
        )
        self._listen(
            instance_settings.ready_port,
            probe_site.ProbeFactory(self.readiness.render),
        )
        self._listen(
            instance_settings.metrics_port,
            probe_site.ProbeFactory(self._render_metrics),
        )
        self.ports.append(
            self.context.peers.listen(
                instance_settings.host, instance_settings.peer_port
            )
        )
        await self.sync.start()
        if self.readiness.is_stopping:
            return
        self.proxy.start()
        self.takeovers.start()
        self.replica_sets.start()
        self.evacuations.start()
        self._listen(instance_settings.caller_port, self.callers)
        self.readiness.has_started = True
        self.context.log.write(
            events.Event.DAEMON_READY,
            version=self.sync.configuration.version,
            caller_port=instance_settings.caller_port,
        )

    @property
    def is_busy(self):
        """Whether sessions, requests of other instances or takeovers are running.

        Notes
        -----
        Also while a caller has not been sent all of its last answer.
        """
        return (
            self.proxy.is_busy
            or bool(self.takeovers.running)
            or bool(self.callers.closing)
        )

    async def stop(self):
        """Shut down gracefully.

        Notes
        -----
        Sessions with their last answers, requests of other instances and takeovers
        may finish until
        `STOP_MARGIN_S` before the platform kills the process.
        """
        self.readiness.is_stopping = True
        self.context.log.write(
            events.Event.DAEMON_STOPPING, sessions=len(self.proxy.sessions)
        )
        if not self.readiness.has_started:
            self.sync.stop()
        self.proxy.begin_stop()
        deadline = self.context.now() + self.context.settings.grace_s - STOP_MARGIN_S
        while self.is_busy and self.context.now() < deadline:
            await task.deferLater(self.context.reactor, DRAIN_CHECK_INTERVAL_S)
        self.sync.stop()
        self.takeovers.stop()
        self.replica_sets.stop()
        self.evacuations.stop()
        self.proxy.stop()
        await self.sync.leave()
        self.context.peers.stop()
        for port in self.ports:
            await defer.maybeDeferred(port.stopListening)
        self.context.log.write(
            events.Event.DAEMON_STOPPED,
            sessions=self.proxy.stopped_sessions,
            statements=self.proxy.stopped_statements,
            relayed=len(self.proxy.relay.pending),
            unsent=len(self.callers.closing),
        )

    def _render_metrics(self):
        """Return the Page with all metrics.

        Notes
        -----
        The module is loaded with the first request, as it takes 1 MB.
        """
        exposition = importlib.import_module("pomelograde.net.exposition")
        body = exposition.expose(self.context.metrics)
        return probe_site.Page(200, exposition.CONTENT_TYPE, body)

    def _listen(self, port_number, factory):
        host = self.context.settings.host
        port = self.context.reactor.listenTCP(
            port_number, factory, interface=host, backlog=1024
        )
        self.ports.append(port)


def build(reactor, instance_settings, log=None, randomness=None):
    """Build an instance.

    Parameters
    ----------
    reactor : IReactorTCP
        Reactor on a clock that is monotonic and counts suspended time.
    instance_settings : HostedSettings
        Checked settings.
    log : Log or None
        Event log; None logs JSON lines to standard output.
    randomness : random.Random or None
        Source of randomness; None for that of the operating system.

    Returns
    -------
    HostedDaemon
        Not started yet.
    """
    own_instance = membership.Instance(
        name=instance_settings.instance,
        data_centre=instance_settings.data_centre,
        incarnation=1,
        host=instance_settings.host,
        peer_port=instance_settings.peer_port,
        region=instance_settings.region,
        build=build_id.read(),
    )
    shared_context = context.HostedContext(
        reactor=reactor,
        settings=instance_settings,
        log=log or json_log.JsonLog(instance_settings.instance, time.time),
        metrics=metrics.Metrics(),
        members=membership.Membership(own_instance),
        random=randomness or random.SystemRandom(),
    )
    shared_context.metrics.set_build(own_instance.build)
    shared_context.peers = peers.PeerTask(shared_context, peers.PlainPeers())
    shared_context.peers.drops_on_timeout = False
    call_counter = shared_context.metrics.add_counter(
        "pomelograde_store_calls", "Calls to the platform's store.", "outcome"
    )

    def count_call(call_name, outcome):
        shared_context.metrics.count(call_counter, f"{call_name} {outcome}")

    store_client = store.StoreClient(
        http.HttpClient(
            reactor, instance_settings.store, instance_settings.host, count_call
        )
    )
    promoter = promotions.PromotionClient(
        http.HttpClient(
            reactor,
            instance_settings.failover_service,
            instance_settings.host,
            count_call,
        ),
        instance_settings.instance,
    )
    freshness = configuration.Freshness(instance_settings.revocation_s)
    platform_source = source.PlatformSource(store_client)
    platform_source.on_invalid_rows = invalid_rows.InvalidRows(shared_context).report
    sync = state_sync.StateSync(shared_context, platform_source, freshness)
    session_proxy = proxy.Proxy(shared_context, freshness, upstreams.open_connection)
    if instance_settings.shares_members:
        fleet_paths = paths.Paths(shared_context, session_proxy)
        session_proxy.relay.paths = sync.paths = fleet_paths
        shared_context.peers.connect_timeout_s = paths.CONNECT_TIMEOUT_S
        session_proxy.placing = placing.Placing(shared_context, session_proxy)
    if instance_settings.checks_members:
        sync.health = session_proxy.health = health.HealthTask(
            shared_context, session_proxy, sync
        )
    sync.on_configuration = session_proxy.set_configuration
    sync.on_members = session_proxy.set_members
    sync.on_instances = session_proxy.set_instances
    sync.on_refreshed = session_proxy.renew_primary_leases
    takeover_task = takeovers.TakeoverTask(
        shared_context, sync, session_proxy, promoter
    )
    sync.on_takeovers = takeover_task.set_takeovers
    replica_set_task = replica_sets.ReplicaSetTask(
        shared_context, sync, session_proxy, takeover_task
    )
    evacuation_task = evacuations.EvacuationTask(shared_context, sync, session_proxy)
    sync.on_evacuations = evacuation_task.update
    readiness_check = readiness.Readiness(shared_context, freshness)
    caller_factory = callers.CallerFactory(
        reactor, session_proxy.open_session, session_proxy.record_session_refusal
    )
    return HostedDaemon(
        shared_context,
        sync,
        session_proxy,
        takeover_task,
        replica_set_task,
        evacuation_task,
        readiness_check,
        caller_factory,
    )


def document_adapter():
    """Return what reads and decodes configuration documents of the platform."""
    return documents


@click.command(epilog="Exit codes: 0 stopped as asked, 1 a failure, 2 faulty settings.")
@click.option("--settings", "path", help="Settings; by default the platform's file.")
@click.option("--check", is_flag=True, help="Check the settings, if any, and exit.")
def main(path, check):
    """Run one instance on a hosting platform until it is told to stop."""
    path = path or settings.find_path()
    if check and not path:
        click.echo("program: ok")
        return
    instance_settings = runner.settings_or_exit(settings.load(path))
    if check:
        click.echo("settings: ok")
        return
    json_log.make_standard_output_non_blocking()
    reactor = steady_reactor.install()
    daemon = build(reactor, instance_settings)
    faults.install(daemon.context.log)
    runner.run(reactor, daemon, _ignore_hangup)


def _ignore_hangup():
    """Ignore SIGHUP, by which the platform announces a changed settings file.

    Notes
    -----
    The settings of a running process do not change; the platform restarts the
    process to move it.
    """
