"""Carries configuration changes between instances."""

from twisted.internet import defer, task
from twisted.internet import error as net_error

from pomelograde.core import membership, resources
from pomelograde.net import _rows, events, peer_messages, peers, timers

ASK_INTERVAL_S = 0.5
ASK_TIMEOUT_S = 0.5
POLLER_SILENT_S = 1.0
ASK_ALL_AGE_S = 1.25  # age of evidence above which all peers are asked
LIST_INTERVAL_S = 5.0
INSTANCES_A_POLLER = 64
FOLLOW_TIMEOUT_S = 60.0
FOLLOW_INTERVAL_S = 0.25
UNKNOWN_AGE_MS = 2**31


class Propagation:
    """Pushes changes to peers, and asks them for changes and evidence.

    Parameters
    ----------
    context : InstanceContext
        Parts of the daemon that all tasks share.
    configuration : ConfigurationTask
        Owner of the configuration.

    Attributes
    ----------
    listed : dict of str to Instance
        Every instance that may accept changes: those of the platform's list
        and those heard of since, without the ones that announced their stop.
    list_known : bool
        Whether the platform's list was ever read.
    """

    def __init__(self, context, configuration):
        self.context = context
        self.configuration = configuration
        self.listed = {}
        self.list_known = False
        self.asking = set()
        self.loops = []

    def attach(self):
        """Begin to answer peers."""
        handlers = self.context.peers.handlers
        handlers[peer_messages.ConfigurationNews] = self._on_news
        handlers[peer_messages.ConfigurationRequest] = self._on_request

    def start(self):
        """Begin to ask peers."""
        for interval_s, work in (
            (ASK_INTERVAL_S, self._ask_regularly),
            (LIST_INTERVAL_S, self._read_list),
        ):
            self.loops.append(timers.start_loop(self.context, interval_s, work))

    def stop(self):
        """End the timers."""
        for loop in self.loops:
            loop.stop()
        self.loops = []

    def push(self, after):
        """Send all peers the changes after a revision."""
        batch = self.configuration.log.changes_since(after)
        if batch.is_err():
            return
        news = _rows.encode_news(batch.ok_value)
        for instance in self._others():
            self.context.peers.send(instance, news)

    def revisions(self):
        """Return the revision in force by instance, as last heard.

        Notes
        -----
        Instances whose address refuses connections run no more and are left
        out; one that was not heard yet counts as being at revision 0.
        """
        self._update_listed()
        found = {}
        for name in self.listed:
            answer = self.configuration.freshness.answers.get(name)
            if answer is None or not answer.stopped:
                found[name] = 0 if answer is None else answer.revision
        own = self.context.members.own.name
        found[own] = self.configuration.current.revision
        return found

    def follow(self, change):
        """Tell the listeners when a change is in force on all instances."""
        started_at = self.context.now()
        return defer.ensureDeferred(self._follow(change, started_at))

    async def _follow(self, change, started_at):
        end = started_at + FOLLOW_TIMEOUT_S
        while not self._is_in_force(change.revision):
            if self.context.now() >= end or self.configuration.stopped:
                return
            await self.ask_all()
            if not self._is_in_force(change.revision):
                await task.deferLater(self.context.reactor, FOLLOW_INTERVAL_S)
        self.context.log.write(
            events.Event.RESOURCE_IN_FORCE,
            resource=f"{change.kind}/{change.name}",
            revision=change.revision,
            instances=len(self.revisions()),
            after_ms=round((self.context.now() - started_at) * 1000.0, 1),
        )
        for listener in list(self.configuration.in_force_listeners):
            listener(change)

    def _is_in_force(self, revision):
        return all(known >= revision for known in self.revisions().values())

    def pollers(self):
        """Return the names of the instances that poll for this data centre."""
        own = self.context.members.own
        names = [
            found.name
            for found in self.context.members.live()
            if found.data_centre == own.data_centre
        ]
        count = 1 + len(names) // INSTANCES_A_POLLER
        return membership.rendezvous("configuration", names, count)

    def is_poller(self):
        """Return whether this instance polls the platform for others."""
        own = self.context.members.own.name
        pollers = self.pollers()
        return own in pollers or not pollers

    def polls_platform(self):
        """Return whether to poll the platform now."""
        if self.is_poller():
            return True
        answer = self.configuration.freshness.answers.get(self._poller())
        limit = self.context.now() - POLLER_SILENT_S
        return answer is None or answer.stopped or answer.asked_at < limit

    def ask_all(self):
        """Ask every listed instance; returns a Deferred that always fires."""
        self._update_listed()
        asked = [self._ask(found) for found in list(self.listed.values())]
        done = defer.DeferredList(asked, consumeErrors=True)
        return done.addCallback(lambda _: self._weigh())

    def _ask_regularly(self):
        self._update_listed()
        now = self.context.now()
        if self.configuration.freshness.age(now) > ASK_ALL_AGE_S:
            self.ask_all()
            return
        if not self.is_poller():
            poller = self.context.members.instances.get(self._poller())
            if poller is not None:
                self._ask(poller)

    def _ask(self, instance):
        if instance.name in self.asking:
            return defer.succeed(None)
        self.asking.add(instance.name)
        return defer.ensureDeferred(self._request(instance))

    async def _request(self, instance):
        asked_at = self.context.now()
        after = self.configuration.current.revision
        request = peer_messages.ConfigurationRequest(after)
        answer = resources.PeerAnswer(asked_at)
        try:
            news = await self._exchange(instance, request)
        except peers.PeerUnreachableError as error:
            refused = isinstance(error.__cause__, net_error.ConnectionRefusedError)
            if not refused:
                return
            answer = resources.PeerAnswer(asked_at, stopped=True)
        else:
            if not isinstance(news, peer_messages.ConfigurationNews):
                return
            answer = self._take(news, asked_at)
        finally:
            self.asking.discard(instance.name)
        revision = self.configuration.current.revision
        self.configuration.freshness.on_peer_answer(instance.name, answer, revision)
        self._weigh()

    async def _exchange(self, instance, request):
        """Ask a peer, and again over a fresh connection if it is silent."""
        try:
            return await self.context.peers.request(instance, request, ASK_TIMEOUT_S)
        except peers.PeerUnreachableError as error:
            if not isinstance(error.__cause__, defer.TimeoutError):
                raise
        return await self.context.peers.request(instance, request, ASK_TIMEOUT_S)

    def _take(self, news, asked_at):
        batch, body = _rows.decode_news(news, self.configuration.on_rejected)
        self.configuration.take(batch, whole=batch.after == 0)
        age_ms = body["confirmed_age_ms"]
        age_s = float("inf") if age_ms >= UNKNOWN_AGE_MS else age_ms / 1000.0
        return resources.PeerAnswer(asked_at, batch.revision, age_s, body["unresolved"])

    def _weigh(self):
        revision = self.configuration.current.revision
        if revision and self.list_known:
            self.configuration.freshness.confirm_by_all_peers(self.listed, revision)

    def _on_news(self, message, envelope):
        batch, _ = _rows.decode_news(message, self.configuration.on_rejected)
        outcome = self.configuration.take(batch)
        if isinstance(outcome, resources.Gap):
            sender = self.context.members.instances.get(envelope.sender)
            if sender is not None:
                self._ask(sender)

    def _on_request(self, message, envelope):
        log = self.configuration.log
        batch = log.changes_since(message.after_revision)
        if batch.is_err():
            batch = log.changes_since(0)
        age_s = self.configuration.freshness.age(self.context.now())
        age_ms = min(UNKNOWN_AGE_MS, age_s * 1000.0)
        return _rows.encode_news(
            batch.ok_value,
            confirmed_age_ms=int(age_ms),
            unresolved=bool(self.configuration.committer.unresolved),
        )

    def _others(self):
        own = self.context.members.own.name
        found = self.context.members.instances.values()
        return [instance for instance in found if instance.name != own]

    def _poller(self):
        own = self.context.members.own.name
        return membership.rendezvous(own, self.pollers(), 1)[0]

    def _update_listed(self):
        own = self.context.members.own.name
        for name, instance in self.context.members.instances.items():
            if instance.leaving:
                self.listed.pop(name, None)
            elif name != own:
                self.listed[name] = instance

    def _read_list(self):
        return defer.ensureDeferred(self._fetch_list())

    async def _fetch_list(self):
        answer = await self.configuration.client.instances()
        if answer.is_err():
            return
        own = self.context.members.own.name
        self.list_known = True
        self.listed = {
            entry["name"]: membership.Instance(
                name=entry["name"],
                data_centre=entry["data_centre"],
                incarnation=0,
                host=entry["host"],
                peer_port=entry["peer_port"],
            )
            for entry in answer.ok_value
            if entry["name"] != own and not entry["leaving"]
        }
        self._update_listed()
        self.configuration.freshness.retain(self.listed)
