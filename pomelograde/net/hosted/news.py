"""Follows the configuration, the members and the instances in the store.

One instance of the fleet reads the store, and the others ask it. What they are
told is as old as the reader's own question to the store. An instance that gets
no recent news from the reader asks others, and reads the store itself.
"""

import attrs
import xxhash
from twisted.internet import defer

from pomelograde.core import configuration, membership, placement, takeovers
from pomelograde.net import events, peer_messages, peers, timers

ROUND_INTERVAL_S = 0.5  # keys and primaries need news within 2.5 s
LONG_POLL_S = 1.0  # so that a quiet store still proves that nothing changed
MEMBERS_INTERVAL_S = 1.0  # members write their rows about as often
RETRY_INTERVAL_S = 0.3  # until the first answer of the store
ASK_TIMEOUT_S = 0.3  # a peer answers within 50 ms
SUSPECT_S = 3.0  # time before a reader that did not help is asked again
STALE_S = 1.5  # age of news that makes another source worth asking
UNKNOWN_AGE_MS = 2**40
LEAVE_TIMEOUT_S = 0.3  # the platform ends the process 0.5 s after the last wait


@attrs.define
class Known:
    """What is known, and in which version.

    Attributes
    ----------
    text : str
        Configuration, as the operator wrote it.
    row_version : int
        Version of its row.
    members : dict of str to list of Member
        Members by service.
    members_digest : int
        Hash of them.
    instances : list of Instance
        All registrations, also those that are marked as ended.
    takeovers : dict of str to Takeover
        Last takeover of each service.
    instances_digest : int
        Hash of instances and takeovers.
    """

    text: str = ""
    row_version: int = 0
    members: dict = attrs.field(factory=dict)
    members_digest: int = 0
    instances: list = attrs.field(factory=list)
    takeovers: dict = attrs.field(factory=dict)
    instances_digest: int = 0

    @property
    def registered(self):
        """Registered instances."""
        return [found for found in self.instances if not found.leaving]


class NewsTask:
    """Keeps this instance's knowledge recent.

    Parameters
    ----------
    context : HostedContext
        Parts of the instance that all tasks share.
    source : PlatformSource
        Reads and writes the store.
    freshness : Freshness
        Told how recent the knowledge is.

    Attributes
    ----------
    known : Known
        What is known.
    current : FleetConfiguration
        Configuration in force; its version never goes back.
    on_configuration, on_members, on_instances, on_takeovers : callable or None
        Called with what has changed.
    store_since : float
        Since when the store has answered this instance; infinite if it does not.
    on_fresh : callable or None
        Called after each answer.
    """

    def __init__(self, context, source, freshness):
        self.context = context
        self.source = source
        self.freshness = freshness
        self.known = Known()
        self.current = configuration.FleetConfiguration()
        self.on_configuration = None
        self.on_members = None
        self.on_instances = None
        self.on_takeovers = None
        self.store_since = float("inf")
        self.on_fresh = None
        self.following = False
        self.fetching = False
        self.follow_version = 0
        self.members_asked_at = float("-inf")
        self.suspects = {}
        self.turn = 0
        self.unanswered = set()
        self.has_store = None
        self.registrations = membership.RegistrationMonitor()
        self.registering = False
        self.loop = None
        self.stopped = False
        handlers = context.peers.handlers
        handlers[peer_messages.NewsRequest] = self._on_news_request
        handlers[peer_messages.NewsOffer] = self._on_news_offer

    async def start(self):
        """Read everything once, register this instance, and go on following."""
        while not self.stopped:
            try:
                await self._read_all()
                await self._register()
                break
            except self.source.StoreUnavailableError as error:
                self._set_store(False, str(error))
            await self._sleep(RETRY_INTERVAL_S)
        self.loop = timers.start_loop(
            self.context, ROUND_INTERVAL_S, self._round, now=False
        )

    def stop(self):
        """End following."""
        self.stopped = True
        if self.loop is not None and self.loop.running:
            self.loop.stop()

    async def _read_all(self):
        reading = defer.gatherResults(
            [
                defer.ensureDeferred(self.source.fetch_configuration()),
                defer.ensureDeferred(self.source.fetch_members()),
            ],
            consumeErrors=True,
        )
        try:
            document, members = await reading
        except defer.FirstError as error:
            error.subFailure.raiseException()
        self._set_store(True)
        self._take_document(document)
        self._take_members(*members)

    async def leave(self):
        """End the registration of this instance, which uses nothing any more."""
        leaving = defer.ensureDeferred(
            self.source.remove_registration(self.context.members.own)
        )
        leaving.addTimeout(LEAVE_TIMEOUT_S, self.context.reactor)
        try:
            await leaving
        except (self.source.StoreUnavailableError, defer.TimeoutError) as error:
            self._note_kept_registration(self.context.members.own, error)

    async def _register(self):
        own = await self.source.register(self.context.members.own)
        self.context.members.own = own
        # A takeover that began before the registration may not have waited for
        # this instance.
        self._take_instances(*await self.source.fetch_instances())

    def _round(self):
        now = self.context.now()
        reader = self._find_reader(now)
        if reader.name != self.context.members.own.name:
            return defer.ensureDeferred(self._ask(reader))
        self._read(now)
        self._end_registrations(now)
        if self.has_store and not self._is_stale():
            return None
        return defer.ensureDeferred(self._ask_any())

    def _end_registrations(self, now):
        """End the registrations of instances that are gone."""
        if not self.has_store:
            return
        own = self.context.members.own.name
        silent, expired = self.registrations.find_stale(self.known.instances, own, now)
        for instance in silent:
            self._end_registration(instance, "silent", self.source.end_registration)
        for instance in expired:
            self._end_registration(instance, "gone", self.source.remove_registration)

    def _end_registration(self, instance, reason, write):
        self.context.log.write(
            events.Event.REGISTRATION_ENDED,
            instance_name=instance.name,
            incarnation=instance.incarnation,
            reason=reason,
        )
        ending = defer.ensureDeferred(write(instance))
        ending.addErrback(self._on_not_ended, instance)

    def _on_not_ended(self, reason, instance):
        reason.trap(self.source.StoreUnavailableError)
        self._note_kept_registration(instance, reason.value)

    def _note_kept_registration(self, instance, error):
        self.context.log.write(
            events.Event.REGISTRATION_KEPT,
            instance_name=instance.name,
            reason=str(error) or type(error).__name__,
        )

    def _check_registration(self):
        """Register anew if others took this instance for gone.

        Notes
        -----
        Until then it gets no new rights to primaries: whoever replaces one does
        not wait for an instance that is not registered.
        """
        own = self.context.members.own
        for found in self.known.registered:
            if found.name == own.name and found.incarnation >= own.incarnation:
                # An answer of the store that was lost may have had the newer one.
                self.context.members.own = found
                return
        if self.loop is not None and not self.registering and not self.stopped:
            self.registering = True
            defer.ensureDeferred(self._register_again())

    async def _register_again(self):
        try:
            await self._register()
        except self.source.StoreUnavailableError as error:
            self._set_store(False, str(error))
        finally:
            self.registering = False

    @property
    def is_registered(self):
        """Whether the store has this instance's registration."""
        name = self.context.members.own.name
        return any(found.name == name for found in self.known.registered)

    def _note_members(self, as_of):
        """Take that members and instances were read."""
        if self.is_registered or self.loop is None:
            self.freshness.record_members_read(as_of)
        else:
            self._check_registration()

    def is_reader(self, now):
        """Return whether this instance reads the store for the others."""
        own = self.context.members.own
        return not self.stopped and self._find_reader(now).name == own.name

    def _find_reader(self, now):
        """Return the first instance by name that is not suspected."""
        own = self.context.members.own
        found = {instance.name: instance for instance in self.known.registered}
        found[own.name] = own
        for name in sorted(found):
            if name == own.name or now >= self.suspects.get(name, now):
                return found[name]
        return own

    def _read(self, now):
        if not self.following:
            self.following = True
            defer.ensureDeferred(self._follow())
        if not self.fetching and now - self.members_asked_at >= MEMBERS_INTERVAL_S:
            self.fetching = True
            self.members_asked_at = now
            defer.ensureDeferred(self._fetch())

    async def _follow(self):
        answered = False
        try:
            age_s = self.context.now() - self.freshness.configuration_at
            wait_s = LONG_POLL_S if age_s < STALE_S else 0.0
            document = await self.source.wait_for_configuration(
                self.follow_version, wait_s
            )
            answered = True
        except self.source.HistoryLostError:
            await self._read_configuration_again()
        except self.source.StoreUnavailableError as error:
            self._set_store(False, str(error))
        finally:
            self.following = False
        if answered:
            self._set_store(True)
            self._take_document(document)
            now = self.context.now()
            if self.is_reader(now):
                self._read(now)

    async def _read_configuration_again(self):
        try:
            self._take_document(await self.source.fetch_configuration())
        except self.source.StoreUnavailableError as error:
            self._set_store(False, str(error))

    async def _fetch(self):
        try:
            members, as_of = await self.source.fetch_members()
            instances = await self.source.fetch_instances()
        except self.source.StoreUnavailableError as error:
            self._set_store(False, str(error))
            return
        finally:
            self.fetching = False
        self._set_store(True)
        self._take_instances(*instances)
        self._take_members(members, as_of)

    async def _ask_any(self):
        """Ask another instance while the store does not answer this one."""
        own = self.context.members.own
        others = [found for found in self.known.registered if found.name != own.name]
        if not others:
            return
        self.turn = (self.turn + 1) % len(others)
        await self._ask_for_news(others[self.turn])

    async def _ask(self, reader):
        answer, asked_at = await self._request(reader)
        if answer is None:
            if reader.name in self.unanswered:
                # Twice in a row: the connection may have gone silent.
                self.context.peers.drop_connection(reader.name)
            self.unanswered.add(reader.name)
            self._suspect(reader.name, "no answer")
            return
        self.unanswered.discard(reader.name)
        self.registrations.record_message(reader.name, self.context.now())
        self._take_answer(answer, asked_at)
        if answer.configuration_age_ms > STALE_S * 1000.0:
            if not self._is_stale():
                # It may never have heard of this instance.
                own = peer_messages.write_instance(self.context.members.own)
                self.context.peers.send(reader, peer_messages.NewsOffer([own]))
            self._suspect(reader.name, "old news")

    def _is_stale(self):
        return self.context.now() - self.freshness.configuration_at > STALE_S

    async def _request(self, instance):
        """Ask an instance; returns its answer or None, and when it was asked."""
        asked_at = self.context.now()
        known = self.known
        request = peer_messages.NewsRequest(
            known.row_version, known.members_digest, known.instances_digest
        )
        try:
            answer = await self.context.peers.request(instance, request, ASK_TIMEOUT_S)
        except peers.PeerUnreachableError:
            answer = None
        if not isinstance(answer, peer_messages.NewsAnswer):
            answer = None
        return answer, asked_at

    def _on_news_offer(self, message, envelope):
        if self._is_stale():
            found = peer_messages.read_instance(message.instances[0])
            defer.ensureDeferred(self._ask_for_news(found))

    async def _ask_for_news(self, instance):
        answer, asked_at = await self._request(instance)
        if answer is not None:
            self._take_answer(answer, asked_at)

    def _suspect(self, name, reason):
        now = self.context.now()
        self.suspects[name] = now + SUSPECT_S
        if self._is_stale():
            self._read(now)
        self.context.log.write(
            events.Event.NEWS_SOURCE_SUSPECTED, source=name, reason=reason
        )
        self._round()

    def _take_answer(self, answer, asked_at):
        if answer.document and answer.configuration > self.known.row_version:
            self._take_text(answer.document, answer.configuration)
        if answer.instances:
            self._take_instances(
                [peer_messages.read_instance(news) for news in answer.instances],
                [read_takeover(news) for news in answer.takeovers],
            )
        if answer.upstreams:
            self._take_members(
                _read_members(answer.upstreams),
                asked_at - answer.upstreams_age_ms / 1000.0,
            )
        else:
            self._note_members(asked_at - answer.upstreams_age_ms / 1000.0)
        if answer.configuration >= self.known.row_version:
            self.freshness.record_configuration_read(
                asked_at - answer.configuration_age_ms / 1000.0
            )
        self._tell_fresh()

    def _on_news_request(self, message, envelope):
        now = self.context.now()
        self.registrations.record_message(envelope.sender, now)
        known = self.known
        same_instances = message.instances_digest == known.instances_digest
        return peer_messages.NewsAnswer(
            configuration=known.row_version,
            document=known.text if message.configuration != known.row_version else "",
            configuration_age_ms=_age_ms(self.freshness.configuration_at, now),
            upstreams_digest=known.members_digest,
            upstreams=[]
            if message.upstreams_digest == known.members_digest
            else list(_write_members(known.members)),
            upstreams_age_ms=_age_ms(self.freshness.members_at, now),
            instances_digest=known.instances_digest,
            instances=[]
            if same_instances
            else [peer_messages.write_instance(found) for found in known.instances],
            takeovers=[]
            if same_instances
            else [write_takeover(found) for found in known.takeovers.values()],
        )

    def _take_document(self, document):
        self.follow_version = max(self.follow_version, document.version)
        if document.text and document.row_version > self.known.row_version:
            self._take_text(document.text, document.row_version)
        self.freshness.record_configuration_read(document.as_of)
        self._tell_fresh()

    def _take_text(self, text, row_version):
        try:
            found = self.source.read_configuration(text)
        except self.source.UnreadableDocumentError as error:
            self.context.log.write(
                events.Event.CONFIGURATION_REJECTED, reason=str(error)
            )
            return
        self.known.text = text
        self.known.row_version = row_version
        if found.version < self.current.version:
            return
        self.current = found
        self.context.log.write(
            events.Event.CONFIGURATION_APPLIED,
            version=found.version,
            row_version=row_version,
        )
        if self.on_configuration is not None:
            self.on_configuration(found)

    def _take_members(self, members, as_of):
        self._note_members(as_of)
        digest = _digest(_write_members(members))
        if digest != self.known.members_digest:
            self.known.members = members
            self.known.members_digest = digest
            if self.on_members is not None:
                self.on_members(members)
        self._tell_fresh()

    def take_takeover(self, takeover):
        """Take in a takeover, unless a newer one of the service is known."""
        known = self.known.takeovers.get(takeover.service)
        if known is not None and known.row_version >= takeover.row_version:
            return
        self.known.takeovers[takeover.service] = takeover
        self._set_instances_digest()
        if self.on_takeovers is not None:
            self.on_takeovers(self.known.takeovers)

    def _take_instances(self, instances, found_takeovers):
        for takeover in found_takeovers:
            self.take_takeover(takeover)
        instances = sorted(instances, key=lambda found: found.name)
        if instances == self.known.instances:
            return
        self.known.instances = instances
        self._set_instances_digest()
        registered = self.known.registered
        names = [found.name for found in registered]
        for name in list(self.context.members.records):
            if name not in names:
                self.context.members.forget(name)
        for found in registered:
            self.context.members.merge(membership.Record(found))
        self.context.log.write(events.Event.INSTANCES_CHANGED, names=names)
        self._check_registration()
        if self.on_instances is not None:
            self.on_instances(registered)

    def _set_instances_digest(self):
        known = self.known
        items = [*known.instances, *sorted(known.takeovers.items())]
        known.instances_digest = _digest(items)

    def _tell_fresh(self):
        if self.on_fresh is not None:
            self.on_fresh()

    def _set_store(self, available, reason=""):
        # Calls that the end of the process breaks off say nothing of the store.
        if self.stopped or available == self.has_store:
            return
        self.has_store = available
        self.store_since = self.context.now() if available else float("inf")
        if available and self.loop is not None:
            self.members_asked_at = float("-inf")
            self._read(self.context.now())
        event = events.Event.PLATFORM_AVAILABLE
        if not available:
            event = events.Event.PLATFORM_UNAVAILABLE
        self.context.log.write(event, reason=reason)

    def _sleep(self, delay_s):
        done = defer.Deferred()
        self.context.reactor.callLater(delay_s, done.callback, None)
        return done


def _age_ms(at, now):
    return UNKNOWN_AGE_MS if at == float("-inf") else int((now - at) * 1000.0) + 1


def _digest(items):
    return xxhash.xxh64_intdigest("\n".join(map(repr, items)).encode())


def _write_members(members):
    for service in sorted(members):
        for member in sorted(members[service], key=lambda found: found.name):
            yield peer_messages.UpstreamNews(
                service=service,
                name=member.name,
                data_centre=member.data_centre,
                host=member.host,
                port=member.port,
                leads=member.role is placement.Role.PRIMARY,
                leaving=member.leaving,
                slots=member.slots,
                started_ms=member.started_ms,
            )


def _read_members(upstreams):
    found = {}
    for news in upstreams:
        member = placement.Member(
            name=news.name,
            data_centre=news.data_centre,
            host=news.host,
            port=news.port,
            role=placement.Role.PRIMARY if news.leads else placement.Role.REPLICA,
            leaving=news.leaving,
            slots=news.slots,
            started_ms=news.started_ms,
        )
        found.setdefault(news.service, []).append(member)
    return found


def write_takeover(takeover):
    """Return the message part that tells of a takeover."""
    return peer_messages.TakeoverNews(**attrs.asdict(takeover))


def read_takeover(news):
    """Return the Takeover that a message part tells of."""
    return takeovers.Takeover(**attrs.asdict(news))
