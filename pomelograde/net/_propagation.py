"""Propagates configuration changes between instances."""

from twisted.internet import defer, task
from twisted.internet import error as net_error

from pomelograde.core import membership, resources
from pomelograde.net import _rows, events, faults, peer_messages, peers, timers

PEER_POLL_INTERVAL_S = 0.5
PEER_REQUEST_TIMEOUT_S = 0.5
POLLER_TIMEOUT_S = 1.0
# When the last confirmation is older, all peers are polled, and not only the
# poller that this instance is assigned to.
POLL_ALL_PEERS_AGE_S = 1.25
REGISTRY_READ_INTERVAL_S = 5.0
INSTANCES_PER_POLLER = 64
ROLLOUT_TIMEOUT_S = 60.0
ROLLOUT_CHECK_INTERVAL_S = 0.25


class Propagation:
    """Pushes changes to peers and polls them for changes and confirmations.

    Parameters
    ----------
    context : InstanceContext
        Context shared by all tasks of the daemon.
    configuration : ConfigurationTask
        Owner of the configuration.

    Attributes
    ----------
    registered : dict of str to Instance
        Other instances that may commit changes: those in the platform's list
        and those discovered since, without instances that are leaving.
    registry_known : bool
        Whether the platform's list has been read, all of its entries the last time.
    polled_peers : set of str
        Names of peers with a request in flight.
    """

    def __init__(self, context, configuration):
        self.context = context
        self.configuration = configuration
        self.registered = {}
        self.registry_known = False
        self.polled_peers = set()
        self.loops = []

    def register_handlers(self):
        """Register the handlers of the peers' messages."""
        handlers = self.context.peers.handlers
        handlers[peer_messages.ConfigurationNews] = self._on_news
        handlers[peer_messages.ConfigurationRequest] = self._on_request

    def start(self):
        """Start polling the peers and reading the platform's list."""
        for interval_s, work in (
            (PEER_POLL_INTERVAL_S, self._poll_peers),
            (REGISTRY_READ_INTERVAL_S, self._read_registry),
        ):
            self.loops.append(timers.start_loop(self.context, interval_s, work))

    def stop(self):
        """Stop polling."""
        for loop in self.loops:
            loop.stop()
        self.loops = []

    def push(self, after):
        """Send the changes after a revision to all peers."""
        batch = self.configuration.log.changes_since(after)
        if batch.is_err():
            return
        news = _rows.encode_news(batch.ok_value)
        for instance in self._other_instances():
            self.context.peers.send(instance, news)

    def revisions(self):
        """Return the last reported revision in force by instance.

        Notes
        -----
        Instances whose address refuses connections have stopped and are left
        out. An instance that has not answered yet is listed with revision 0.
        """
        self._update_registered()
        revisions = {}
        for name in self.registered:
            answer = self.configuration.freshness.answers.get(name)
            if answer is None or not answer.stopped:
                revisions[name] = 0 if answer is None else answer.revision
        own = self.context.members.own.name
        revisions[own] = self.configuration.current.revision
        return revisions

    def watch_rollout(self, change):
        """Notify the listeners once a change is in force on all instances."""
        started_at = self.context.now()
        return defer.ensureDeferred(self._watch_rollout(change, started_at))

    async def _watch_rollout(self, change, started_at):
        end = started_at + ROLLOUT_TIMEOUT_S
        while not self._is_in_force(change.revision):
            if self.context.now() >= end or self.configuration.stopped:
                return
            await self.poll_all_peers()
            if not self._is_in_force(change.revision):
                await task.deferLater(self.context.reactor, ROLLOUT_CHECK_INTERVAL_S)
        self.context.log.write(
            events.Event.RESOURCE_IN_FORCE,
            resource=f"{change.kind}/{change.name}",
            revision=change.revision,
            instances=len(self.revisions()),
            after_ms=round((self.context.now() - started_at) * 1000.0, 1),
        )
        for listener in list(self.configuration.in_force_listeners):
            faults.run(self.context, listener, change)

    def _is_in_force(self, revision):
        return all(known >= revision for known in self.revisions().values())

    def pollers(self):
        """Return the names of the instances that poll for this data centre.

        Only these poll the platform; the other instances poll one of them.
        """
        own = self.context.members.own
        names = [
            instance.name
            for instance in self.context.members.live()
            if instance.data_centre == own.data_centre
        ]
        count = 1 + len(names) // INSTANCES_PER_POLLER
        return membership.rendezvous("configuration", names, count)

    def is_poller(self):
        """Return whether this instance polls the platform on behalf of others.

        It also does if no instance of its data centre is known.
        """
        own = self.context.members.own.name
        pollers = self.pollers()
        return own in pollers or not pollers

    def should_poll_platform(self):
        """Return whether to poll the platform now.

        An instance polls it in place of its poller when that one is silent.
        """
        if self.is_poller():
            return True
        answer = self.configuration.freshness.answers.get(self._assigned_poller())
        oldest = self.context.now() - POLLER_TIMEOUT_S
        return answer is None or answer.stopped or answer.asked_at < oldest

    def poll_all_peers(self):
        """Poll every registered instance; returns a Deferred that always fires."""
        self._update_registered()
        polls = [self._poll_peer(found) for found in list(self.registered.values())]
        done = defer.DeferredList(polls, consumeErrors=True)
        return done.addCallback(lambda _: self._confirm_by_all_peers())

    def _poll_peers(self):
        self._update_registered()
        now = self.context.now()
        if self.configuration.freshness.age(now) > POLL_ALL_PEERS_AGE_S:
            self.poll_all_peers()
            return
        if not self.is_poller():
            poller = self.context.members.instances.get(self._assigned_poller())
            if poller is not None:
                self._poll_peer(poller)

    def _poll_peer(self, instance):
        if instance.name in self.polled_peers:
            return defer.succeed(None)
        self.polled_peers.add(instance.name)
        return defer.ensureDeferred(self._request_changes(instance))

    async def _request_changes(self, instance):
        asked_at = self.context.now()
        after = self.configuration.current.revision
        request = peer_messages.ConfigurationRequest(after)
        answer = resources.PeerAnswer(asked_at)
        try:
            news = await self._request_with_retry(instance, request)
        except peers.PeerUnreachableError as error:
            # Nothing listens at the address, so the instance has stopped. Any
            # other failure says nothing about it.
            refused = isinstance(error.__cause__, net_error.ConnectionRefusedError)
            if not refused:
                return
            answer = resources.PeerAnswer(asked_at, stopped=True)
        else:
            if not isinstance(news, peer_messages.ConfigurationNews):
                return
            answer = self._apply_news(news, asked_at, instance.name)
            if answer is None:
                return
        finally:
            self.polled_peers.discard(instance.name)
        revision = self.configuration.current.revision
        self.configuration.freshness.on_peer_answer(instance.name, answer, revision)
        self._confirm_by_all_peers()

    async def _request_with_retry(self, instance, request):
        """Send a request; repeat it over a new connection after a time-out."""
        try:
            return await self.context.peers.request(
                instance, request, PEER_REQUEST_TIMEOUT_S
            )
        except peers.PeerUnreachableError as error:
            if not isinstance(error.__cause__, defer.TimeoutError):
                raise
        return await self.context.peers.request(
            instance, request, PEER_REQUEST_TIMEOUT_S
        )

    def _apply_news(self, news, asked_at, sender):
        """Apply a peer's changes; returns its `PeerAnswer`, or None."""
        decoded = self._decode(news, sender)
        if decoded is None:
            return None
        batch = decoded.batch
        self.configuration.apply_batch(batch, whole=batch.after == 0)
        return resources.PeerAnswer(
            asked_at, batch.revision, decoded.confirmed_age_s, decoded.unresolved
        )

    def _decode(self, message, sender):
        """Return the `News` of a message; None, with an event, if it is invalid."""
        decoded = _rows.decode_news(message, self.configuration.on_rejected)
        if decoded.is_err():
            self.context.peers.reject(message, sender, decoded.err_value)
        return decoded.ok()

    def _confirm_by_all_peers(self):
        revision = self.configuration.current.revision
        if revision and self.registry_known:
            self.configuration.freshness.confirm_by_all_peers(self.registered, revision)

    def _on_news(self, message, envelope):
        decoded = self._decode(message, envelope.sender)
        if decoded is None:
            return
        outcome = self.configuration.apply_batch(decoded.batch)
        if isinstance(outcome, resources.Gap):
            sender = self.context.members.instances.get(envelope.sender)
            if sender is not None:
                self._poll_peer(sender)

    def _on_request(self, message, envelope):
        log = self.configuration.log
        batch = log.changes_since(message.after_revision)
        if batch.is_err():
            batch = log.changes_since(0)
        age_s = self.configuration.freshness.age(self.context.now())
        age_ms = min(_rows.UNKNOWN_AGE_MS, age_s * 1000.0)
        return _rows.encode_news(
            batch.ok_value,
            confirmed_age_ms=int(age_ms),
            unresolved=bool(self.configuration.committer.unresolved),
        )

    def _other_instances(self):
        own = self.context.members.own.name
        instances = self.context.members.instances.values()
        return [instance for instance in instances if instance.name != own]

    def _assigned_poller(self):
        own = self.context.members.own.name
        return membership.rendezvous(own, self.pollers(), 1)[0]

    def _update_registered(self):
        own = self.context.members.own.name
        for name, instance in self.context.members.instances.items():
            if instance.leaving:
                self.registered.pop(name, None)
            elif name != own:
                self.registered[name] = instance

    def _read_registry(self):
        return defer.ensureDeferred(self._fetch_registry())

    async def _fetch_registry(self):
        answer = await self.configuration.client.instances()
        if answer.is_err():
            return
        own = self.context.members.own.name
        # An entry that can't be read may be an instance that commits changes.
        self.registry_known = answer.ok_value.is_complete
        self.registered = {
            instance.name: instance
            for instance in answer.ok_value.instances
            if instance.name != own and not instance.leaving
        }
        self._update_registered()
        self.configuration.freshness.retain(self.registered)
