"""Keeps a local copy of the store's configuration, members and instances.

One instance of the fleet, the reader, polls the store, and the others pull the
state from it. The age of pulled state counts from the reader's own request to
the store. An instance that gets no recent state from the reader pulls it from
other instances, and reads the store itself.

The store may return from an older copy. Configurations are therefore ordered by
the operator's version, takeovers and registrations by revisions, which rise over
such returns, and lists by the time at which they were read.
"""

import attrs
import result
import xxhash
from twisted.internet import defer
from twisted.python import failure

from pomelograde.core import configuration, membership, placement, takeovers
from pomelograde.net import events, faults, peer_messages, peers, timers
from pomelograde.net.hosted import restored_start

SYNC_INTERVAL_S = 0.5  # keys and primary leases need a refresh within 3 s
LONG_POLL_S = 1.0  # an answer without a change still proves that state is current
MEMBERS_INTERVAL_S = 0.5  # a primary lease that an outage cuts short is at most 1 s old
PEER_TIMEOUT_S = 0.3  # a peer answers within 50 ms
READER_SUSPICION_S = 3.0  # until a reader that failed or had old state is tried again
STALE_AFTER_S = 1.5  # age of the configuration from which other sources are tried
UNKNOWN_AGE_MS = 2**40
OFFER_SPREAD_S = 0.2  # over which the offers of instances are spread at random
LEAVE_TIMEOUT_S = 0.3  # the platform ends the process 0.5 s after the drain deadline


@attrs.define
class FleetState:
    """Copy of the store's state, with versions and digests that show changes.

    Attributes
    ----------
    configuration_text : str
        Configuration as the operator wrote it.
    configuration_row_version : int
        Version of its row in the store; only earlier builds compare it.
    members : dict of str to list of Member
        Members by service.
    members_digest : int
        Hash of the members.
    instances : list of Instance
        All registrations, including those that are marked as ended, by name.
    registered : list of Instance
        Those that are not marked as ended.
    takeovers : dict of str to Takeover
        Last takeover of each service.
    instances_digest : int
        Hash of instances and takeovers.
    evacuations : Evacuations
        Data centres that the operator has evacuated.
    replica_sets : dict of str to ReplicaSet
        Members of each service that may hold acknowledged commits, where this
        instance has read or written that record.
    """

    configuration_text: str = ""
    configuration_row_version: int = 0
    members: dict = attrs.field(factory=dict)
    members_digest: int = 0
    instances: list = attrs.field(factory=list)
    registered: list = attrs.field(factory=list)
    takeovers: dict = attrs.field(factory=dict)
    instances_digest: int = 0
    evacuations: placement.Evacuations = attrs.field(factory=placement.Evacuations)
    replica_sets: dict = attrs.field(factory=dict)

    @property
    def evacuations_digest(self):
        """Hash of the evacuated data centres; never 0."""
        return _digest_names(self.evacuations.data_centres)

    def set_instances(self, instances):
        """Set the registrations, which must be sorted by name."""
        self.instances = instances
        self.registered = [found for found in instances if not found.leaving]


class StateSync:
    """Keeps this instance's copy of the store's state current.

    Parameters
    ----------
    context : HostedContext
        Components that all tasks of the instance share.
    source : PlatformSource
        Reads and writes the store.
    freshness : Freshness
        Records when the state was last read.

    Attributes
    ----------
    fleet : FleetState
        Copy of the store's state.
    configuration : FleetConfiguration
        Configuration in force; its version never decreases.
    on_configuration, on_instances, on_takeovers : callable or None
        Called with the new value after a change.
    on_members : callable or None
        The same; also called with the time of the last read before the change.
    on_evacuations : callable or None
        Called without arguments after a change of the evacuations.
    store_available : bool or None
        Whether the last call to the store succeeded; None before the first.
    store_available_since : float
        Since when the store has answered this instance; infinite if it does not.
    on_refreshed : callable or None
        Called after each answer of the store or of a peer.
    poll_revision : int
        Revision of the store up to which the configuration is known.
    stored_version : int
        Version of the configuration that the store held when it was last read.
    members_as_of, instances_as_of : float
        When the members and the instances in `fleet` were read from the store.
    era : int or None
        Era of the store in which the instances were last read from it.
    restored_members : RestoredMembers
        Selects the members to use after the store has returned from a copy.
    restored_start : RestoredStart
        Decides when the state that was read at the start is complete.
    member_rows : MemberRows or None
        Members of the store's last answer.
    stored_as_of : float
        When the store last answered about the configuration.
    registered_names : frozenset of str
        Names of the registered instances.
    lost_takeovers : set of int
        Revisions of known takeovers for which the store returned older ones.
    members_asked_at : float
        When members, instances and takeovers were last requested from the store.
    peer_index : int
        Index of the last instance that this one, as a reader without a recent
        answer of the store, pulled the state from.
    registrations : RegistrationMonitor
        Detects registrations whose process is gone.
    stale_reads : StaleReads
        Limits this instance's own reads of the store while its state is old.
    is_offer_due : bool
        Whether the others are told once a read of the store succeeds, because
        this instance had no recent state.
    suspected_until : dict of str to float
        Time until which each suspected reader is passed over.
    paths : Paths or None
        Which instances this one reaches, if it is known.
    unresponsive_readers : set of str
        Readers that did not answer the last request.
    health : HealthTask or None
        Exchanges evidence about members with the state; None if they aren't
        judged.
    """

    def __init__(self, context, source, freshness):
        self.context = context
        self.source = source
        self.freshness = freshness
        self.fleet = FleetState()
        self.configuration = configuration.FleetConfiguration()
        self.on_configuration = None
        self.on_members = None
        self.on_instances = None
        self.on_takeovers = None
        self.on_evacuations = None
        self.store_available_since = float("inf")
        self.on_refreshed = None
        self.is_polling = False
        self.is_fetching = False
        self.poll_revision = 0
        self.stored_version = 0
        self.members_as_of = float("-inf")
        self.instances_as_of = float("-inf")
        self.era = None
        self.restored_members = placement.RestoredMembers(
            context.settings.member_heartbeat_s
        )
        self.restored_start = restored_start.RestoredStart(context, self, STALE_AFTER_S)
        self.member_rows = None
        self.stored_as_of = float("-inf")
        self.registered_names = frozenset()
        self.lost_takeovers = set()
        self.members_asked_at = float("-inf")
        self.stale_reads = membership.StaleReads()
        self.is_offer_due = False
        self.suspected_until = {}
        self.peer_index = 0
        self.paths = None
        self.unresponsive_readers = set()
        self.health = None
        self.store_available = None
        self.registrations = membership.RegistrationMonitor()
        self.is_registering = False
        self.loop = None
        self.is_stopped = False
        handlers = context.peers.handlers
        handlers[peer_messages.NewsRequest] = self._on_news_request
        handlers[peer_messages.NewsOffer] = self._on_news_offer

    async def start(self):
        """Read the state, register this instance, and start the regular refresh.

        Notes
        -----
        The state may come from another instance meanwhile, in answer to its offer.
        It is not used, and this instance not registered, before it is known what
        the store may lack.
        """
        while not self.is_stopped:
            is_old = self._is_stale() or self._has_old_lists()
            if (not is_old or await self._read_all()) and (
                await self.restored_start.settle()
            ):
                self._confirm_configuration()
                self._select_members()
                registered = await self._attempt(self._register)
                if registered.is_ok():
                    self.freshness.record_members_read(self.members_as_of)
                    self._notify(self.on_refreshed)
                    break
                self._record_outcomes(registered)
            await self._sleep(self.restored_start.retry_interval_s)
        if self.is_stopped:
            return
        self.loop = timers.start_loop(
            self.context, SYNC_INTERVAL_S, self._sync_once, now=False
        )

    def stop(self):
        """Stop the regular refresh."""
        self.is_stopped = True
        if self.loop is not None and self.loop.running:
            self.loop.stop()

    async def _read_all(self):
        """Read configuration and members, and apply what could be read.

        Returns
        -------
        bool
            Whether both could be read.

        Notes
        -----
        The members count as read once the takeovers are known as well.
        """
        document, rows = await defer.gatherResults(
            [
                defer.ensureDeferred(self._attempt(self.source.fetch_configuration)),
                defer.ensureDeferred(self._attempt(self.source.fetch_members)),
            ]
        )
        self._record_outcomes(document, rows)
        if document.is_ok():
            self._run(self._apply_document, document.ok_value)
        if rows.is_ok():
            self._run(self._apply_member_rows, rows.ok_value, False)
        return document.is_ok() and rows.is_ok()

    async def _attempt(self, call, *arguments):
        """Return the Result of a call to the store.

        Returns
        -------
        Result of object or str
            What the call returned, or why the store is not available; empty for
            another exception, which is logged here.

        Notes
        -----
        Each table is read by itself, so that whatever fails in one of them
        leaves the others followed.
        """
        try:
            return result.Ok(await call(*arguments))
        except self.source.HistoryLostError:
            raise
        except self.source.StoreUnavailableError as error:
            return result.Err(str(error) or type(error).__name__)
        except Exception:
            timers.log_fault(self.context.log, call, failure.Failure())
            return result.Err("")

    def _record_outcomes(self, *outcomes):
        """Record whether the store was available to calls, given by their results."""
        reasons = [outcome.err_value for outcome in outcomes if outcome.is_err()]
        reason = next(filter(None, reasons), "")
        if reason:
            self._set_store_available(False, reason)
        elif len(reasons) < len(outcomes):
            self._set_store_available(True)

    def _run(self, function, *arguments):
        """Call a function that uses what was read; an exception is logged."""
        faults.run(self.context, function, *arguments)

    def _notify(self, callback, *arguments):
        if callback is not None:
            self._run(callback, *arguments)

    async def leave(self):
        """Remove the registration of this instance, which must be idle."""
        leaving = defer.ensureDeferred(
            self.source.remove_registration(self.context.members.own)
        )
        leaving.addTimeout(LEAVE_TIMEOUT_S, self.context.reactor)
        try:
            await leaving
        except (self.source.StoreUnavailableError, defer.TimeoutError) as error:
            self._log_registration_kept(self.context.members.own, error)

    async def fetch_listed(self):
        """Return the instances in the store; None if it does not answer."""
        listed = await self._attempt(self.source.fetch_instances)
        self._record_outcomes(listed)
        return listed.ok_value[0] if listed.is_ok() else None

    async def _register(self):
        own = await self.source.register(self.context.members.own)
        self.context.members.own = own
        # A takeover that started before the registration may not wait for this
        # instance, so the takeovers are read after it.
        asked_at = self.context.now()
        self._apply_listed(*await self.source.fetch_instances(), asked_at)

    def _sync_once(self):
        now = self.context.now()
        reader = self._find_reader(now)
        if reader.name != self.context.members.own.name:
            return defer.ensureDeferred(self._pull_from_reader(reader))
        if self._is_stale():
            self.is_offer_due = True
        if self._is_stale() and not self._is_first(reader.name):
            self._read_store_if_due(now)
        else:
            self._read_store(now)
        self._end_registrations(now)
        if self.store_available and not self._is_stale():
            return None
        return defer.ensureDeferred(self._pull_from_any_peer())

    def _end_registrations(self, now):
        """End registrations of silent instances, and remove expired ones."""
        if not self.store_available:
            self.registrations.record_registrations(self.fleet.instances, now)
            return
        own = self.context.members.own.name
        stale = self.registrations.find_stale(self.fleet.instances, own, now)
        for instance in stale.unconfirmed:
            self.registrations.start_probe(instance.name, now)
            defer.ensureDeferred(self._probe(instance))
        for instance in stale.silent:
            self._end_registration(instance, "silent", self.source.end_registration)
        for instance in stale.removable:
            self._end_registration(instance, "gone", self.source.remove_registration)

    async def _probe(self, instance):
        answered = False
        try:
            ping = peer_messages.Ping()
            await self.context.peers.request(instance, ping, PEER_TIMEOUT_S)
            answered = True
        except peers.PeerUnreachableError:
            pass
        finally:
            now = self.context.now()
            self.registrations.end_probe(instance.name, answered, now)

    def _end_registration(self, instance, reason, write):
        self.context.log.write(
            events.Event.REGISTRATION_ENDED,
            instance_name=instance.name,
            incarnation=instance.incarnation,
            reason=reason,
        )
        ending = defer.ensureDeferred(write(instance))
        ending.addErrback(self._on_end_failed, instance)

    def _on_end_failed(self, reason, instance):
        reason.trap(self.source.StoreUnavailableError)
        self._log_registration_kept(instance, reason.value)

    def _log_registration_kept(self, instance, error):
        self.context.log.write(
            events.Event.REGISTRATION_KEPT,
            instance_name=instance.name,
            reason=str(error) or type(error).__name__,
        )

    def _check_registration(self):
        """Register again if another instance has ended this registration.

        Notes
        -----
        Until then this instance's primary leases are not extended, because a
        takeover does not wait for an instance that is not registered.
        """
        own = self.context.members.own
        for found in self.fleet.registered:
            if found.name == own.name and found.incarnation >= own.incarnation:
                # The store's answer with the newer incarnation may have been lost.
                self.context.members.own = found
                return
        if self.loop is not None and not self.is_registering and not self.is_stopped:
            self.is_registering = True
            defer.ensureDeferred(self._register_again())

    async def _register_again(self):
        try:
            await self._register()
        except self.source.StoreUnavailableError as error:
            self._set_store_available(False, str(error))
        finally:
            self.is_registering = False

    @property
    def is_registered(self):
        """Whether the store's state holds this instance's registration."""
        return self.context.members.own.name in self.registered_names

    def _record_members_read(self, as_of):
        """Record when the members were read, or renew an ended registration.

        Notes
        -----
        After the start, nothing is recorded while this instance is not
        registered, so that its primary leases are not extended.
        """
        if self.is_registered or self.loop is None:
            self.freshness.record_members_read(as_of)
        else:
            self._check_registration()

    def find_reader(self):
        """Return the instance that reads the store for the others."""
        return self._find_reader(self.context.now())

    def is_reader(self, now):
        """Return whether this instance reads the store for the others."""
        own = self.context.members.own
        return not self.is_stopped and self._find_reader(now).name == own.name

    def _find_reader(self, now):
        """Return the first instance by name that is not suspected, or this one."""
        own = self.context.members.own
        for instance in self.fleet.registered:
            name = instance.name
            if name >= own.name:
                break
            if now >= self.suspected_until.get(name, now) and (
                self.paths is None or self.paths.is_usable(name, now)
            ):
                return instance
        return own

    def _is_first(self, name):
        """Return whether no registered instance precedes a name."""
        return all(name <= found.name for found in self.fleet.registered)

    def _read_store_if_due(self, now):
        """Read the store although another instance should, as the state is old."""
        if self.stale_reads.is_due(len(self.fleet.registered), now):
            self._read_store(now)

    def _read_store(self, now):
        if not self.is_polling:
            self.is_polling = True
            defer.ensureDeferred(self._poll_configuration())
        if not self.is_fetching and now - self.members_asked_at >= MEMBERS_INTERVAL_S:
            self.is_fetching = True
            self.members_asked_at = now
            defer.ensureDeferred(self._fetch_members_and_instances())

    async def _poll_configuration(self):
        age_s = self.context.now() - self.freshness.configuration_at
        # The answer reaches the others before the configuration counts as old.
        left_s = STALE_AFTER_S - PEER_TIMEOUT_S - age_s
        wait_s = min(LONG_POLL_S, max(0.0, left_s))
        try:
            polled = await self._attempt(
                self.source.wait_for_configuration, self.poll_revision, wait_s
            )
        except self.source.HistoryLostError:
            await self._read_configuration_again()
            return
        finally:
            self.is_polling = False
        self._record_outcomes(polled)
        if polled.is_err():
            return
        self._run(self._apply_document, polled.ok_value)
        now = self.context.now()
        if self.is_reader(now):
            self._read_store(now)

    async def _read_configuration_again(self):
        """Read the whole configuration, and the lists without delay.

        Notes
        -----
        The store has discarded its history, or has returned from an older copy.
        """
        read = await self._attempt(self.source.fetch_configuration)
        if read.is_ok():
            self._run(self._apply_document, read.ok_value)
            self.members_asked_at = float("-inf")
        self._record_outcomes(read)
        if read.is_ok():
            self._read_store(self.context.now())

    async def _fetch_members_and_instances(self):
        """Read the members, then instances with takeovers, and apply both.

        Notes
        -----
        Only both together extend primary leases: a takeover may have begun that
        only the instances' table shows.
        """
        asked_at = self.context.now()
        try:
            rows = await self._attempt(self.source.fetch_members)
            listed = await self._attempt(self.source.fetch_instances)
        finally:
            self.is_fetching = False
        self._record_outcomes(rows, listed)
        if listed.is_ok():
            as_of = rows.ok_value.as_of if rows.is_ok() else asked_at
            self._run(self._apply_listed, *listed.ok_value, as_of)
        if rows.is_ok():
            self._run(self._apply_member_rows, rows.ok_value, listed.is_ok())
        if listed.is_ok():
            self._run(self._check_era, listed.ok_value[1])
        if rows.is_err() or listed.is_err():
            return
        if self.is_reader(self.context.now()):
            self._record_settled_era_if_complete()
        if self.is_offer_due and not self._is_stale():
            delay_s = OFFER_SPREAD_S * self.context.random.random()
            self.context.reactor.callLater(delay_s, self._offer_state)

    def _record_settled_era_if_complete(self):
        is_known = self.source.settled_era == self.source.rows_era
        is_outdated = self.stored_version < self.configuration.version
        if is_known or is_outdated or self.lost_takeovers or self.source.era == 0:
            return
        if self.restored_start.knows_store_is_complete():
            defer.ensureDeferred(self.record_settled_era())

    async def record_settled_era(self):
        """Record that the store lacks nothing, for processes that start later.

        Returns
        -------
        bool
            Whether the store has taken it.
        """
        recorded = await self._attempt(self.source.record_settled_era)
        self._record_outcomes(recorded)
        return recorded.is_ok() and recorded.ok_value

    def _offer_state(self):
        """Tell the other instances that this one has recent state again.

        Notes
        -----
        Not if one of them was first, so that few instances send offers.
        """
        if not self.is_offer_due or self._is_stale() or self.is_stopped:
            return
        self.is_offer_due = False
        own = self.context.members.own.name
        offer = self._make_offer()
        for instance in self.fleet.registered:
            if instance.name != own:
                self.context.peers.send(instance, offer)

    def _make_offer(self):
        own = peer_messages.write_instance(self.context.members.own)
        return peer_messages.NewsOffer([own], self.configuration.version)

    async def _pull_from_any_peer(self):
        """Pull the state from the next instance in turn.

        Notes
        -----
        This is for a reader without a recent answer of the store.
        """
        own = self.context.members.own
        others = [peer for peer in self.fleet.registered if peer.name != own.name]
        if not others:
            return
        self.peer_index = (self.peer_index + 1) % len(others)
        await self.pull_from(others[self.peer_index])

    async def _pull_from_reader(self, reader):
        answer, asked_at = await self._request_state(reader)
        if answer is None:
            if reader.name in self.unresponsive_readers:
                # After two failures in a row the connection may be dead.
                self.context.peers.drop_connection(reader.name)
            self.unresponsive_readers.add(reader.name)
            self._suspect(reader.name, "no answer")
            return
        self.unresponsive_readers.discard(reader.name)
        self.registrations.record_message(reader.name, self.context.now())
        self._apply_answer(reader, answer, asked_at)
        if answer.configuration_age_ms > STALE_AFTER_S * 1000.0:
            if not self._is_stale():
                # The reader may not know this instance, and so not pull from it.
                self.context.peers.send(reader, self._make_offer())
            self._suspect(reader.name, "old news")

    def _is_stale(self):
        return self.context.now() - self.freshness.configuration_at > STALE_AFTER_S

    def _has_old_lists(self):
        return self.context.now() - self.members_as_of > STALE_AFTER_S

    async def _request_state(self, instance):
        """Request the state from an instance.

        Returns
        -------
        answer : NewsAnswer or None
            None if the instance did not answer.
        asked_at : float
            When the request was sent.
        """
        asked_at = self.context.now()
        fleet = self.fleet
        is_settled = self.restored_start.is_settled
        request = peer_messages.NewsRequest(
            fleet.configuration_row_version,
            fleet.members_digest if is_settled else 0,
            fleet.instances_digest if is_settled else 0,
            self.configuration.version,
            [] if self.paths is None else self.paths.list_news(),
            [] if self.health is None else self.health.make_reports(),
            fleet.evacuations_digest if is_settled else 0,
        )
        try:
            answer = await self.context.peers.request(instance, request, PEER_TIMEOUT_S)
        except peers.PeerUnreachableError:
            answer = None
            if self.paths is not None:
                self.paths.check(instance.name)
        if not isinstance(answer, peer_messages.NewsAnswer):
            answer = None
        elif self.paths is not None:
            self.paths.receive_news(answer.paths)
        return answer, asked_at

    def _on_news_offer(self, message, envelope):
        """Use the sender as a reader again, and pull its state if that may be newer."""
        if message.evidence:
            if self.health is not None:
                self.health.apply(message.evidence, envelope.sender)
            return
        senders = self._read_instances(message.instances[:1], envelope.sender)
        if not senders:
            return
        sender = senders[0]
        self.suspected_until.pop(sender.name, None)
        is_newer = message.configuration_version > self.configuration.version
        if self._is_stale() or is_newer:
            defer.ensureDeferred(self.pull_from(sender))
        else:
            self.is_offer_due = False

    def _read_instances(self, items, sender):
        """Return the instances of a message that can be used; logs the others."""
        found = []
        for item in items:
            read = peer_messages.read_instance(item)
            if read.is_ok():
                found.append(read.ok_value)
            else:
                self.context.peers.reject(item, sender, read.err_value)
        return found

    async def pull_from(self, instance):
        """Request the state from an instance, and apply its answer."""
        answer, asked_at = await self._request_state(instance)
        if answer is not None:
            self._apply_answer(instance, answer, asked_at)

    def _suspect(self, name, reason):
        now = self.context.now()
        self.suspected_until[name] = now + READER_SUSPICION_S
        if self._is_stale():
            self.is_offer_due = True
            self._read_store_if_due(now)
        self.context.log.write(
            events.Event.NEWS_SOURCE_SUSPECTED, source=name, reason=reason
        )
        self._sync_once()

    def _check_era(self, listed):
        """Write again what the store has lost, if it returned from an older copy.

        Parameters
        ----------
        listed : list of Takeover
            Takeovers as the store returned them.

        Notes
        -----
        A takeover that ended between two reads is known before the store returns
        it. One for which two reads in a row return an older row is lost.
        """
        lost = [known for known in self._find_newer(listed) if known.is_done]
        previous, self.era = self.era, self.source.rows_era
        if previous is not None and self.era > previous:
            self.context.log.write(
                events.Event.STORE_RESTORED,
                era=self.era,
                registered=len(self.fleet.registered),
                is_registered=self.is_registered,
                lost_takeovers=[known.service for known in lost],
            )
        for known in lost:
            if known.row_version in self.lost_takeovers:
                defer.ensureDeferred(self._record_takeover_again(known))
        self.lost_takeovers = {known.row_version for known in lost}

    def _find_newer(self, listed):
        """Return the known takeovers that are newer than those of a list.

        Parameters
        ----------
        listed : list of Takeover or TakeoverNews
            Takeovers as the store or another instance knows them.
        """
        revisions = {takeover.service: takeover.row_version for takeover in listed}
        return [
            known
            for known in self.fleet.takeovers.values()
            if revisions.get(known.service, 0) < known.row_version
        ]

    async def _record_takeover_again(self, takeover):
        try:
            ended = await self.source.end_takeover(takeover, takeover.successor)
        except self.source.StoreUnavailableError as error:
            self._set_store_available(False, str(error))
            return
        if ended is not None:
            self.apply_takeover(ended)
        self.context.log.write(
            events.Event.TAKEOVER_RECORDED_AGAIN,
            service=takeover.service,
            successor=takeover.successor,
            fence=takeover.fence,
            written=ended is not None,
        )

    def _apply_answer(self, instance, answer, asked_at):
        """Apply the answer of an instance to a request for its state."""
        if not self.restored_start.is_settled:
            if not self.restored_start.accept(answer, instance.name):
                return
            self._learn_restored(answer, instance.name)
        if self.health is not None:
            self.health.apply(answer.evidence, instance.name)
        if (
            answer.document
            and answer.configuration_version > self.configuration.version
        ):
            self._apply_configuration_text(answer.document, answer.configuration)
        for encoded in answer.takeovers:
            self.apply_takeover(decode_takeover(encoded))
        self._apply_evacuations(self._decode_evacuations(answer, asked_at))
        as_of = asked_at - answer.upstreams_age_ms / 1000.0
        if as_of >= self.instances_as_of:
            self.instances_as_of = as_of
            if answer.instances:
                self._apply_instances(
                    self._read_instances(answer.instances, instance.name), []
                )
        if as_of >= self.freshness.members_at:
            self._record_members_read(as_of)
        if as_of >= self.members_as_of:
            before, self.members_as_of = self.members_as_of, as_of
            if answer.upstreams:
                self._apply_members(_decode_members(answer.upstreams), before)
        if answer.configuration_version >= self.configuration.version:
            self.freshness.record_configuration_read(
                asked_at - answer.configuration_age_ms / 1000.0
            )
        self._send_missing(instance, answer)
        if not self._is_stale():
            self.is_offer_due = False
        self._notify(self.on_refreshed)

    def presume_restored_members(self):
        """Use no member of the store's answer before it has written its row again."""
        rows = self.member_rows
        if rows is not None and rows.era != self.restored_members.era:
            self.restored_members.restore(rows, self.context.now())

    def _learn_restored(self, answer, name):
        """Add what another instance knows and the store may lack."""
        self.restored_members.learn(_decode_members(answer.upstreams))
        evacuated = frozenset(found.data_centre for found in answer.evacuations)
        if self.fleet.evacuations.learn(evacuated, self.context.now()):
            self._notify(self.on_evacuations)

    def _select_members(self, before=float("-inf")):
        """Use the members of the store's last answer, as far as they can be used.

        Parameters
        ----------
        before : float
            Time of the answer before it.
        """
        rows = self.member_rows
        if rows is not None and rows.as_of >= self.members_as_of:
            members = self.restored_members.select(
                rows, self.fleet.members, self.context.now()
            )
            self._apply_members(members, before)

    def _decode_evacuations(self, answer, asked_at):
        """Return the EvacuationsRead of an answer, or None if it holds none."""
        names = self.fleet.evacuations.data_centres
        if answer.evacuations_digest != self.fleet.evacuations_digest:
            names = frozenset(found.data_centre for found in answer.evacuations)
            if answer.evacuations_digest != _digest_names(names):
                return None  # left out as known, but changed here since the request
        return placement.EvacuationsRead(
            names,
            answer.evacuations_era,
            answer.evacuations_revision,
            asked_at - answer.evacuations_age_ms / 1000.0,
        )

    def _apply_evacuations(self, read):
        """Apply a read of the evacuations, unless it is None or outdated."""
        if read is None:
            return
        now = self.context.now()
        if self.fleet.evacuations.apply(read, now):
            self._notify(self.on_evacuations)

    def _send_missing(self, instance, answer):
        """Tell an instance what is newer here than in its answer.

        Notes
        -----
        After the store has returned from an older copy, an instance that has
        started since knows only what the copy held. Only the reader can complete
        a takeover whose holder is gone.
        """
        send = self.context.peers.send
        if 0 < answer.configuration_version < self.configuration.version:
            send(instance, self._make_offer())
        if not answer.instances:
            return
        grace_ms = int(takeovers.PLANNED_GRACE_S * 1000.0)
        for known in self._find_newer(answer.takeovers):
            request = peer_messages.HoldRequest([encode_takeover(known)], grace_ms)
            send(instance, request)

    def _on_news_request(self, message, envelope):
        now = self.context.now()
        self.registrations.record_message(envelope.sender, now)
        if self.paths is not None:
            self.paths.receive_news(message.paths)
        fleet = self.fleet
        if envelope.sender not in self.registered_names and self.is_reader(now):
            self._read_lists_soon(now)
        evidence = []
        if self.health is not None:
            self.health.apply(message.evidence, envelope.sender)
            evidence = self.health.make_answer(envelope.sender)
        same_instances = message.instances_digest == fleet.instances_digest
        evacuations = fleet.evacuations
        evacuated = evacuations.data_centres
        if message.evacuations_digest == fleet.evacuations_digest:
            evacuated = ()
        return peer_messages.NewsAnswer(
            configuration=fleet.configuration_row_version,
            document=fleet.configuration_text
            if message.configuration_version != self.configuration.version
            else "",
            configuration_age_ms=_age_ms(self.freshness.configuration_at, now),
            upstreams_digest=fleet.members_digest,
            upstreams=[]
            if message.upstreams_digest == fleet.members_digest
            else list(_encode_members(fleet.members)),
            upstreams_age_ms=_age_ms(self.freshness.members_at, now),
            instances_digest=fleet.instances_digest,
            instances=[]
            if same_instances
            else [peer_messages.write_instance(found) for found in fleet.instances],
            takeovers=[]
            if same_instances
            else [encode_takeover(found) for found in fleet.takeovers.values()],
            configuration_version=self.configuration.version,
            paths=[] if self.paths is None else self.paths.list_news(),
            evidence=evidence,
            evacuations_digest=fleet.evacuations_digest if evacuations.read else 0,
            evacuations_era=evacuations.read.era if evacuations.read else 0,
            evacuations_revision=evacuations.read.revision if evacuations.read else 0,
            evacuations_age_ms=_age_ms(evacuations.as_of, now),
            evacuations=[
                peer_messages.EvacuationNews(name) for name in sorted(evacuated)
            ],
            is_unsettled=not self.restored_start.is_settled,
        )

    def _read_lists_soon(self, now):
        """Read the lists before they are due, for a sender that is not in them.

        Notes
        -----
        It has registered since the last read, or is about to.
        """
        if now - self.members_asked_at >= MEMBERS_INTERVAL_S / 2.0:
            self.members_asked_at = float("-inf")
            self._read_store(now)

    def _apply_document(self, document):
        """Apply what the store returned about the configuration.

        Notes
        -----
        A store that holds an older configuration than the one in force has lost
        writes: it proves nothing about the keys that are valid now.
        """
        self.restored_start.record_answer()
        self.poll_revision = document.revision
        self._apply_evacuations(document.evacuations)
        if document.text:
            version = self._apply_configuration_text(
                document.text, document.row_version
            )
            if version is not None:
                self.stored_version = version
        self.stored_as_of = document.as_of
        if self.stored_version >= self.configuration.version:
            self._confirm_configuration()
        elif document.text:
            self.context.log.write(
                events.Event.CONFIGURATION_OUTDATED,
                version=self.configuration.version,
                stored_version=self.stored_version,
            )
        self._notify(self.on_refreshed)

    def _confirm_configuration(self):
        """Record the store's last answer if it confirms the configuration in force.

        Notes
        -----
        Before it is known what the store may lack, its answers confirm nothing.
        """
        is_outdated = self.stored_version < self.configuration.version
        if self.restored_start.is_settled and not is_outdated:
            self.freshness.record_configuration_read(self.stored_as_of)

    def _apply_configuration_text(self, text, row_version):
        """Apply a configuration unless it is older than the one in force.

        Returns
        -------
        int or None
            Version of the configuration; None if it is invalid.
        """
        try:
            new = self.source.parse_configuration(text)
        except self.source.InvalidConfigurationError as error:
            self.context.log.write(
                events.Event.CONFIGURATION_REJECTED, reason=str(error)
            )
            return None
        if new.version < self.configuration.version:
            return new.version
        self.fleet.configuration_text = text
        self.fleet.configuration_row_version = row_version
        self.configuration = new
        self.context.log.write(
            events.Event.CONFIGURATION_APPLIED,
            version=new.version,
            row_version=row_version,
        )
        self._notify(self.on_configuration, new)
        return new.version

    def _apply_member_rows(self, rows, extends_leases=True):
        """Apply the members' rows as the store returned them."""
        if rows.as_of < self.members_as_of:
            return
        self.restored_start.record_answer()
        self.member_rows = rows
        before, self.members_as_of = self.members_as_of, rows.as_of
        if not self.restored_start.is_settled:
            return
        if extends_leases:
            self._record_members_read(rows.as_of)
        self._select_members(before)

    def _apply_members(self, members, before):
        digest = _digest(_encode_members(members))
        if digest != self.fleet.members_digest:
            self.fleet.members = members
            self.fleet.members_digest = digest
            self._notify(self.on_members, members, before)
        self._notify(self.on_refreshed)

    def apply_takeover(self, takeover):
        """Record a takeover, unless the same or a newer row is known."""
        known = self.fleet.takeovers.get(takeover.service)
        if known is not None and known.row_version >= takeover.row_version:
            return
        self.fleet.takeovers[takeover.service] = takeover
        self._update_instances_digest()
        self._notify(self.on_takeovers, self.fleet.takeovers)

    def find_replica_set(self, service):
        """Return the ReplicaSet of a service as known here; None without one."""
        known = self.fleet.replica_sets.get(service)
        stored = self.source.replica_sets.get(service)
        found = takeovers.select_replica_set(known, stored)
        if found is not None:
            self.fleet.replica_sets[service] = found
        return found

    def _apply_listed(self, instances, listed, as_of):
        """Apply instances and takeovers as the store returned them."""
        if as_of < self.instances_as_of:
            return
        self.instances_as_of = as_of
        self._apply_instances(instances, listed)

    def _apply_instances(self, instances, new_takeovers):
        for takeover in new_takeovers:
            self.apply_takeover(takeover)
        instances = sorted(instances, key=lambda found: found.name)
        if instances == self.fleet.instances:
            return
        self.fleet.set_instances(instances)
        self._update_instances_digest()
        registered = self.fleet.registered
        names = [found.name for found in registered]
        self.registered_names = frozenset(names)
        for name in list(self.context.members.records):
            if name not in names:
                self.context.members.forget(name)
        for found in registered:
            self.context.members.merge(membership.Record(found))
        self.context.log.write(events.Event.INSTANCES_CHANGED, names=names)
        self._check_registration()
        self._notify(self.on_instances, registered)

    def _update_instances_digest(self):
        fleet = self.fleet
        items = [*fleet.instances, *sorted(fleet.takeovers.items())]
        fleet.instances_digest = _digest(items)

    def _set_store_available(self, available, reason=""):
        # Calls that fail because of the shutdown say nothing about the store.
        if self.is_stopped or available == self.store_available:
            return
        self.store_available = available
        self.store_available_since = self.context.now() if available else float("inf")
        if available and self.loop is not None:
            now = self.context.now()
            self.members_asked_at = float("-inf")
            self._read_store(now)
            if self.is_reader(now):
                self._end_registrations(now)
        event = events.Event.PLATFORM_AVAILABLE
        if not available:
            event = events.Event.PLATFORM_UNAVAILABLE
        self.context.log.write(event, reason=reason)

    def _sleep(self, delay_s):
        done = defer.Deferred()
        self.context.reactor.callLater(delay_s, done.callback, None)
        return done


def may_act_for_fleet(sync, now):
    """Return whether an instance may do what one of them does for all.

    Parameters
    ----------
    sync : StateSync
        The instance's copy of the store's state.
    now : float
        Monotonic seconds.
    """
    has_lease = now < sync.freshness.primary_lease_until()
    return sync.is_reader(now) and sync.is_registered and has_lease


def _age_ms(at, now):
    return UNKNOWN_AGE_MS if at == float("-inf") else int((now - at) * 1000.0) + 1


def _digest(items):
    return xxhash.xxh64_intdigest("\n".join(map(repr, items)).encode())


def _digest_names(names):
    return _digest(sorted(names)) or 1


def _encode_members(members):
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
                is_cold=member.is_cold,
            )


def _decode_members(upstreams):
    found = {}
    for encoded in upstreams:
        member = placement.Member(
            name=encoded.name,
            data_centre=encoded.data_centre,
            host=encoded.host,
            port=encoded.port,
            role=placement.Role.PRIMARY if encoded.leads else placement.Role.REPLICA,
            leaving=encoded.leaving,
            slots=encoded.slots,
            started_ms=encoded.started_ms,
            is_cold=encoded.is_cold,
        )
        found.setdefault(encoded.service, []).append(member)
    return found


def encode_takeover(takeover):
    """Return a takeover as a part of a message."""
    return peer_messages.TakeoverNews(**attrs.asdict(takeover))


def decode_takeover(encoded):
    """Return the Takeover that a part of a message describes."""
    return takeovers.Takeover(**attrs.asdict(encoded))
