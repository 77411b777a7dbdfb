"""Relays statements to the instance that owns a member's connections.

The connections of one client account to one member belong to one instance in
the member's data centre, their owner; the other instances relay statements to
it. A member's few connections thus serve all instances, and no instance opens
connections that another one already has. Log events call the owner the keeper.
"""

import collections
import itertools
import re

import attrs
from twisted.internet import defer

from pomelograde.core import membership, pooling, retries, sessions, statements
from pomelograde.net import events, peer_messages, peers
from pomelograde.net.hosted import health

REQUEST_TIMEOUT_S = 20.0  # longer than the time limit of every route
PROBE_AFTER_S = 0.25  # a round trip with processing takes 0.1 s
PROBE_TIMEOUT_S = 0.3
EXPIRY_MARGIN_S = 1.0  # the instance that opened a transaction ends it first
MIN_SUSPICION_S = 0.3  # a killed process restarts within about this time
MAX_SUSPICION_S = 2.0  # longest time until a silent peer is used again
MAX_USEFUL_MS = 3_600_000
PROCESS_BITS = 31  # random part of a transaction's number, by process
COUNT_BITS = 32  # lower bits of the number, which count
SUSPICION_RESET_S = 5.0  # without a failure, after which MIN_SUSPICION_S applies

STEPS = frozenset(("execute", "begin", "roll_back", "discard"))
OPERATIONS = frozenset(found.value for found in statements.Operation)

_KIND = retries.ErrorKind
_OP = statements.Operation
_LINE_ENDS = re.compile(rb"[\r\n]")


class RemoteConnection:
    """Represents an upstream connection that another instance owns.

    It has the interface of a local upstream connection. The owner reserves no
    connection before the first call.

    Parameters
    ----------
    relay : Relay
        Sends the requests.
    peer : Instance
        Owner of the connection.
    service, member, role : str
        Database service, member, and client account.

    Attributes
    ----------
    transaction : int
        Number of the open transaction at the owner; 0 for none.
    budget_s : float
        Time in which the owner must obtain a connection.
    useful_s : float
        Time in which the answer meets the latency objective.
    call : int
        Number of the last request.
    on_primary : bool
        Whether the member must be the primary.
    priority, has_alternative, is_cold : int, bool, bool
        As in `RelayRequest`.
    on_refused : callable or None
        Called with a Failure if the owner sent nothing to the member.
    response_handlers : deque of callable
        Handler of each outstanding answer, in order.
    is_lost : bool
        Whether it was closed or its owner cannot be reached.
    kind : object
        Kind of the statements that are sent; those of one kind take alike.
    payload_bytes : int
        Size of the last statement.
    is_abandoned : bool
        Whether the outstanding answer is only awaited to discard the transaction.
    is_sent : bool
        Whether the outstanding request was written to a connection.
    sending : Deferred or None
        The last request; its cancellation keeps one that was not sent from it.
    is_path_lost : bool
        Whether the way to the member was lost rather than the member.
    is_lost_at_member : bool
        Whether the owner has answered that it lost the connection to the member.
    """

    is_remote = True

    def __init__(self, relay, peer, service, member, role):
        self.relay = relay
        self.peer = peer
        self.service = service
        self.member = member
        self.role = role
        self.transaction = 0
        self.budget_s = 0.0
        self.useful_s = float("inf")
        self.call = 0
        self.on_primary = False
        self.priority = 0
        self.has_alternative = False
        self.is_cold = False
        self.on_lost = None
        self.on_refused = None
        self.is_lost = False
        self.is_abandoned = False
        self.is_lost_at_member = False
        self.is_counted = False
        self.is_sent = False
        self.sending = None
        self.is_path_lost = False
        self.kind = None
        self.payload_bytes = 0
        self.response_handlers = collections.deque()
        self.sent_at = 0.0

    def begin(self, read_only, after, settings, done):
        """Start a transaction; `done` is called with the Answer.

        `after` is the position that the member's log must have reached, or None.
        `settings` holds the session settings to run with, by name.
        """
        self._send("begin", done, after, settings, read_only=read_only)

    def execute(self, statement, prepared, after, settings, done):
        """Run a caller's statement; `done` is called with the Answer.

        `after` is the position that the member's log must have reached, or None.
        `settings` holds the session settings to run with, by name.
        """
        self.payload_bytes = len(statement.text) + len(statement.value)
        self._send(
            "execute",
            done,
            after,
            settings,
            request_id=statement.request_id,
            operation=statement.operation.value,
            text=statement.text,
            value=statement.value,
            shape=b"" if prepared is None else prepared.shape,
            is_prepared=prepared is not None,
            writes=prepared is not None and prepared.writes,
        )

    def roll_back(self, done):
        """Roll back the open transaction; `done` is called with the Answer."""
        if self.transaction:
            self._send("roll_back", done, None, {})
        else:
            done(statements.Answer())

    def abandon(self, in_transaction):
        """Stop using the connection; the owner rolls back the open transaction."""
        self.on_lost = None
        if self.response_handlers:
            self.is_abandoned = True
            self.relay.withdraw(self)
        elif in_transaction:
            self.roll_back(_ignore_answer)

    def close(self):
        """Stop using the connection; the owner closes it."""
        if self.is_lost:
            return
        self.is_lost = True
        self.relay.untrack(self)
        if self.transaction:
            self.relay.track_transaction(self)
        if self.transaction or self.response_handlers:
            self.relay.discard(self)
            self.relay.withdraw(self)

    def on_unreachable(self):
        """Report that the owner cannot be reached.

        Notes
        -----
        A statement for which no connection to the owner could be opened was not
        sent. In a transaction, the earlier statements are lost nevertheless.
        """
        if self.is_lost:
            return
        if self.is_waiting and not self.is_sent and not self.transaction:
            on_refused, self.on_lost = self.on_refused, None
            if on_refused is not None:
                self.is_lost = True
                kind = _KIND.UPSTREAM_UNREACHABLE
                on_refused(retries.Failure(kind, path_failed=True))
                return
        self.is_path_lost = self.relay.paths is not None
        self._on_lost()

    def _on_lost(self):
        if self.is_lost:
            return
        self.is_lost = True
        if self.transaction:
            self.relay.track_transaction(self)
        on_lost, self.on_lost = self.on_lost, None
        if on_lost is not None:
            on_lost(bool(self.response_handlers))

    def _send(self, step, done, after, settings, **fields):
        self.response_handlers.append(done)
        self.sent_at = self.relay.context.now()
        self.call = next(self.relay.call_numbers)
        useful_ms = min(MAX_USEFUL_MS, self.useful_s * 1000.0)
        request = peer_messages.RelayRequest(
            step=step,
            service=self.service,
            member=self.member,
            account=self.role,
            transaction=self.transaction,
            budget_ms=max(1, int(self.budget_s * 1000.0)),
            on_primary=self.on_primary,
            after_term=0 if after is None else after.term,
            after_index=0 if after is None else after.index,
            has_after=after is not None,
            settings=[
                peer_messages.Setting(name, value) for name, value in settings.items()
            ],
            priority=min(self.priority, peer_messages.MAX_PRIORITY),
            has_alternative=self.has_alternative,
            is_cold=self.is_cold,
            useful_ms=max(1, int(useful_ms)),
            call=self.call,
            **fields,
        )
        if self.relay.paths is not None:
            request = self.relay.paths.add_news(request)
        self.relay.send(self, request)

    @property
    def is_waiting(self):
        """Whether an answer of the owner is outstanding."""
        return bool(self.response_handlers) and not (self.is_lost or self.is_abandoned)

    def on_answer(self, message):
        """Handle the owner's answer."""
        is_valid = isinstance(message, peer_messages.RelayAnswer) and (
            message.refusal or message.path_failed or _is_consistent(message)
        )
        if not is_valid:
            self.is_lost_at_member = True
            self._on_lost()
            return
        paths = self.relay.paths
        if paths is not None:
            paths.on_relay_answer(self.peer, self.member, message)
        if self.relay.proxy.placing is not None:
            self.relay.proxy.placing.on_relay_answer(self, message)
        if self.is_lost or self.is_abandoned:
            self.transaction = message.transaction
            self.relay.track_transaction(self)
            self.relay.discard(self)
            return
        done = self.response_handlers.popleft()
        if message.refusal:
            if message.refusal == _KIND.UPSTREAM_UNREACHABLE.value:
                self.relay.proxy.suspect_row(self.service, self.member)
            wait_s = message.retry_after_ms / 1000.0
            failure = retries.Failure(
                _read_refusal(message.refusal),
                retry_after_s=wait_s,
                path_failed=message.path_failed and self.on_primary,
            )
            if self.on_refused is not None:
                self.on_refused(failure)
            return
        if message.path_failed:
            self.response_handlers.append(done)
            self.is_path_lost = self.on_primary
            self._on_lost()
            return
        self.relay.proxy.confirm_row(self.service, self.member)
        self.transaction = message.transaction
        self.relay.track_transaction(self)
        done(_decode_answer(message))


@attrs.define(eq=False)
class OpenTransaction:
    """A transaction that this instance holds open for another one.

    Attributes
    ----------
    origin : PeerProtocol
        Connection that the other instance opened the transaction over.
    connection : UpstreamConnection
        Connection of the transaction.
    used_at : float
        When its last statement was answered.
    """

    origin: object
    connection: object
    used_at: float

    def is_continued_by(self, message, origin):
        """Return whether a RelayRequest over a peer connection belongs to it."""
        return (
            self.origin is origin
            and self.connection.member == message.member
            and self.connection.role == message.account
        )


class Relay:
    """Relays statements to connection owners, and serves other instances as one.

    Parameters
    ----------
    context : HostedContext
        Components that all tasks of the instance share.
    proxy : Proxy
        Groups and pools.

    Attributes
    ----------
    suspected_until : dict of str to float
        Time until which each silent peer is not used.
    suspicions : dict of str to tuple
        End and duration of the last such period of each peer.
    outstanding : dict of str to set
        Calls by peer that have no answer yet.
    probing : set of str
        Peers that a ping is outstanding for.
    open_transactions : dict of int to OpenTransaction
        Transactions that are open for other instances.
    remote_transactions : dict of str to set of RemoteConnection
        Transactions that are open for this instance, by the owner's name.
    pending : set of RelayHandler
        Requests of other instances that are not answered yet.
    calls : dict of (PeerProtocol, int) to RelayHandler
        Requests that can be withdrawn, by their peer connection and number.
    call_numbers : iterator of int
        Numbers of this instance's requests.
    transaction_numbers : iterator of int
        Numbers of `open_transactions`.
    stopping : dict of str to int
        Incarnation of each instance that has announced its shutdown.
    is_leaving : bool
        Whether this instance has announced its shutdown.
    instances : list of Instance
        Registered instances.
    instances_by_place : dict of tuple to list of Instance
        The same by "data_centre" or "region" and its name.
    paths : Paths or None
        Decides which instances and members are reached; None to suspect silent
        peers for a time.

    Notes
    -----
    A transaction ends with the peer connection that it was opened over, on both
    sides. Its number has the process of the owner in its upper bits: earlier builds
    may send a number over another connection, to the owner's next process.
    """

    def __init__(self, context, proxy):
        self.context = context
        self.proxy = proxy
        self.suspected_until = {}
        self.suspicions = {}
        self.outstanding = {}
        self.probing = set()
        self.open_transactions = {}
        self.remote_transactions = collections.defaultdict(set)
        self.pending = set()
        self.calls = {}
        self.call_numbers = itertools.count(1)
        self.stopping = {}
        self.is_leaving = False
        self.paths = None
        process = context.random.getrandbits(PROCESS_BITS)
        self.transaction_numbers = itertools.count((process << COUNT_BITS) + 1)
        self.instances = []
        self.instances_by_place = {}
        handlers = context.peers.handlers
        handlers[peer_messages.RelayRequest] = self._on_request
        handlers[peer_messages.Ping] = lambda message, envelope: None
        handlers[peer_messages.Leaving] = self._on_leaving
        context.peers.on_lost = self._on_peer_lost

    def set_instances(self, instances):
        """Update the registered instances; tells new ones of a shutdown."""
        known = {instance.name for instance in self.instances}
        if self.paths is not None:
            self.paths.set_instances(self.instances, instances)
        self.instances = instances
        self.instances_by_place = by_place = collections.defaultdict(list)
        for instance in instances:
            by_place["data_centre", instance.data_centre].append(instance)
            by_place["region", instance.region].append(instance)
        if self.is_leaving:
            self._announce_leaving([new for new in instances if new.name not in known])

    @property
    def is_busy(self):
        """Whether other instances have requests or transactions here."""
        return bool(self.open_transactions or self.pending)

    def begin_stop(self):
        """Announce the shutdown, so that all instances choose other owners."""
        self.is_leaving = True
        self._announce_leaving(self.instances)

    def _announce_leaving(self, instances):
        for instance in instances:
            if instance.name != self.context.members.own.name:
                self.context.peers.send(instance, peer_messages.Leaving())

    def find_owner(self, member, account):
        """Return the instance that owns an account's connections to a member.

        Parameters
        ----------
        member : Member
            The member.
        account : str
            Client account; empty for connections of no particular account.

        Returns
        -------
        Instance
            One in the member's data centre if any is usable there, otherwise
            this instance. Instances that disagree for a moment on which ones
            are usable open an additional connection.
        """
        return self.choose_owner(member, account, self.find_candidates(member))

    def find_candidates(self, member):
        """Return the instances that may own connections to a member now, by name.

        Notes
        -----
        A cold member has a single owner, for all client accounts.
        """
        if self._is_cold(member):
            owner = self.proxy.cold_starts.find_owner(member)
            return {owner.name: owner}
        if self.paths is not None:
            return self.paths.find_candidates(member)
        return self.find_usable("data_centre", member.data_centre)

    def choose_owner(self, member, account, candidates):
        """Return the owner among the result of `find_candidates`."""
        if not candidates:
            return self.context.members.own
        key = f"{member.name}/{account}"
        return candidates[membership.rendezvous(key, candidates, 1)[0]]

    def is_usable(self, instance, now):
        """Return whether an instance is neither stopping nor suspected."""
        name = instance.name
        if self.stopping.get(name, -1) >= instance.incarnation:
            return False
        if self.paths is not None:
            return self.paths.is_usable(name, now)
        return now >= self.suspected_until.get(name, now)

    def check_path(self, member):
        """Return the Failure while this instance does not reach a member, or None."""
        return None if self.paths is None else self.paths.check_member(member)

    def on_member_unreachable(self, pool):
        """Handle that a member did not answer an attempt to connect."""
        if self.paths is not None:
            self.paths.on_member_unreachable(pool)

    def find_usable(self, attribute, location):
        """Return the usable instances of a region or data centre, by name.

        Notes
        -----
        This instance is usable if it is registered there, until it stops.
        """
        now = self.context.now()
        own = self.context.members.own
        return {
            instance.name: instance
            for instance in self.instances_by_place.get((attribute, location), ())
            if self._may_use(instance, own, now)
        }

    def _may_use(self, instance, own, now):
        if instance.name == own.name:
            return not self.is_leaving
        return self.is_usable(instance, now)

    def rank_owner(self, member):
        """Return this instance's rank among the possible owners of a member.

        Returns
        -------
        count : int
            Number of instances that may own connections to the member.
        rank : int
            Position of this instance among them by name, from 0.

        Notes
        -----
        An instance in another data centre owns connections only while it knows
        no usable instance in the member's data centre. All instances may do so
        then.
        """
        own = self.context.members.own
        near = None
        if own.data_centre == member.data_centre:
            near = self.instances_by_place.get(("data_centre", own.data_centre))
        names = [found.name for found in near or self.instances]
        others = [name for name in names if name != own.name]
        return len(others) + 1, sum(name < own.name for name in others)

    def connect(self, member, service, account, regions=None):
        """Return a RemoteConnection, or None if the pool here decides.

        Parameters
        ----------
        member : Member
            The member.
        service, account : str
            Database service and client account.
        regions : frozenset of str or None
            Regions that the statement may reach; None if all. Callers are taken
            to be in the region of this instance.
        """
        owner = self.find_owner(member, account)
        own = self.context.members.own
        if owner.name == own.name:
            return None
        if regions is not None and owner.region not in {own.region, *regions}:
            return None
        is_cold = self._is_cold(member)
        if is_cold and not self.is_usable(owner, self.context.now()):
            return None
        remote = RemoteConnection(self, owner, service, member.name, account)
        remote.is_cold = is_cold
        return remote

    def _is_cold(self, member):
        return self.context.now() < member.cold_until

    def send(self, call, request):
        """Send a request to a peer, which is probed if it does not answer.

        Parameters
        ----------
        call : RemoteConnection or AdmissionCall
            Gets the answer by `on_answer(message)`, or `on_unreachable()` if
            `peer` will not answer. `sent_at` and `is_waiting` say since when,
            and whether, it waits for an answer, `is_sent` and `sending` whether
            the request was written to a connection, and the Deferred of it.
        request : object
            One of the message classes.
        """
        peer = call.peer
        self.outstanding.setdefault(peer.name, set()).add(call)
        call.is_sent = False

        def on_sent():
            if call.peer is peer:
                call.is_sent = True

        sent = defer.ensureDeferred(
            self.context.peers.request(peer, request, REQUEST_TIMEOUT_S, on_sent)
        )
        call.sending = sent
        if self.paths is not None:
            self.paths.on_send(peer)
        arguments = [call, peer]
        sent.addCallbacks(
            self._on_answer, self._on_unreachable, arguments, None, arguments
        )

    def untrack(self, call):
        """Stop waiting for the answer to a call."""
        self.outstanding.get(call.peer.name, set()).discard(call)

    def track_transaction(self, connection):
        """Note whether a RemoteConnection has an open transaction at its owner."""
        held = self.remote_transactions[connection.peer.name]
        is_given_up = connection.is_lost or connection.is_abandoned
        if connection.transaction and not is_given_up:
            held.add(connection)
        else:
            held.discard(connection)

    def find_transaction(self, message, origin):
        """Return the OpenTransaction that a request continues, or None.

        Parameters
        ----------
        message : RelayRequest
            The request.
        origin : PeerProtocol
            Connection that it has arrived over.
        """
        found = self.open_transactions.get(message.transaction)
        if found is None or found.connection.is_lost:
            return None
        if found.is_continued_by(message, origin):
            return found
        self.context.log.write(
            events.Event.TRANSACTION_MISMATCHED,
            member=message.member,
            account=message.account,
            transaction=message.transaction,
            step=message.step,
        )
        return None

    def discard(self, connection):
        """Make the owner close the connection of an open transaction."""
        if connection.transaction:
            request = peer_messages.RelayRequest(
                step="discard",
                service=connection.service,
                member=connection.member,
                account=connection.role,
                transaction=connection.transaction,
            )
            self.context.peers.send(connection.peer, request)

    def withdraw(self, connection):
        """Tell the owner that nobody waits for the answer to the last request.

        Notes
        -----
        Otherwise a statement whose caller has left would take room at the member
        from those that wait.
        """
        if self.context.settings.shares_members and not connection.transaction:
            request = peer_messages.RelayRequest(
                step="discard",
                service=connection.service,
                member=connection.member,
                account=connection.role,
                transaction=peer_messages.WITHDRAWN,
                call=connection.call,
            )
            self.context.peers.send(connection.peer, request)

    def sweep(self, now, transaction_idle_s):
        """Close what the other instances should have ended, and what has no answer."""
        for handler in list(self.pending):
            if now >= handler.expires_at:
                handler.expire(now)
        limit_s = transaction_idle_s + EXPIRY_MARGIN_S
        for number, transaction in list(self.open_transactions.items()):
            if (
                now - transaction.used_at > limit_s
                and not transaction.connection.response_handlers
            ):
                del self.open_transactions[number]
                transaction.connection.on_lost = None
                transaction.connection.close()

    def probe(self):
        """Ping the peers that have not answered for `PROBE_AFTER_S`."""
        if self.paths is not None:
            self.paths.tick()
            return
        now = self.context.now()
        for name, waiting in self.outstanding.items():
            if name in self.probing or not waiting:
                continue
            oldest = min(call.sent_at for call in waiting)
            if now - oldest >= PROBE_AFTER_S:
                self.probing.add(name)
                peer = next(iter(waiting)).peer
                defer.ensureDeferred(self._probe(peer))

    def check_silent(self, name):
        """Handle that an instance did not answer a request outside of the relay."""
        if self.paths is not None:
            self.paths.check(name)
        else:
            self._suspect(name, "no answer")

    async def _probe(self, peer):
        try:
            ping = peer_messages.Ping()
            await self.context.peers.request(peer, ping, PROBE_TIMEOUT_S)
        except peers.PeerUnreachableError:
            self._suspect(peer.name, "no answer")
        finally:
            self.probing.discard(peer.name)

    def _suspect(self, name, reason):
        """Stop using a peer for a while, and fail its outstanding calls.

        Notes
        -----
        The time doubles with each failure, from `MIN_SUSPICION_S` up to
        `MAX_SUSPICION_S`.
        """
        now = self.context.now()
        if now < self.suspected_until.get(name, now):
            self.fail_calls(name)
            return
        self.context.log.write(
            events.Event.KEEPER_SUSPECTED, keeper=name, reason=reason
        )
        until, suspicion_s = self.suspicions.get(name, (now, MIN_SUSPICION_S / 2.0))
        suspicion_s = min(MAX_SUSPICION_S, 2.0 * suspicion_s)
        if now - until > SUSPICION_RESET_S:
            suspicion_s = MIN_SUSPICION_S
        self.suspected_until[name] = now + suspicion_s
        self.suspicions[name] = (now + suspicion_s, suspicion_s)
        self.fail_calls(name)
        self.context.peers.drop_connection(name)

    def fail_calls(self, name):
        """Fail the outstanding calls to a peer that is not used any more.

        Notes
        -----
        A request that still waits for its connection is not sent any more: its
        statement may run elsewhere meanwhile.
        """
        for call in list(self.outstanding.pop(name, ())):
            if not call.is_sent:
                call.sending.cancel()
            call.on_unreachable()

    def _on_answer(self, message, call, peer):
        if self.paths is not None:
            self.paths.on_heard(peer.name)
        if call.peer is not peer:
            return  # The call has been sent to another peer since.
        call.on_answer(message)
        if not call.is_waiting:
            self.untrack(call)

    def _on_unreachable(self, reason, call, peer):
        if reason.check(defer.CancelledError):
            return
        reason.trap(peers.PeerUnreachableError)
        if self.paths is None:
            self._suspect(peer.name, "connection lost")
        elif not reason.check(peers.NoReplyError):
            self.paths.on_lost(peer.name)
        if call.peer is peer:
            self.untrack(call)
            call.on_unreachable()

    def _on_peer_lost(self, connection):
        """Handle the loss of a peer connection.

        Notes
        -----
        If the peer had opened it, the transactions that it opened over it are
        closed. Otherwise the peer is suspected, and the transactions that it holds
        for this instance are lost: the peer ends them, or has ended itself.
        """
        if not connection.is_inbound:
            name = connection.peer_name
            for remote in list(self.remote_transactions.pop(name, ())):
                remote.on_unreachable()
            if self.paths is not None:
                self.paths.on_lost(name)
            else:
                self._suspect(name, "connection lost")
            return
        for number, transaction in list(self.open_transactions.items()):
            if transaction.origin is connection:
                del self.open_transactions[number]
                transaction.connection.close()
        for handler in list(self.calls.values()):
            if handler.origin is connection:
                handler.withdraw()

    def _on_request(self, message, envelope):
        handler = RelayHandler(self, message, envelope.connection)
        if self.paths is not None:
            self.paths.on_contact(envelope.sender)
            self.paths.receive_news(message.paths)
        self.pending.add(handler)
        if message.call and self.context.settings.shares_members:
            self.calls.setdefault((handler.origin, message.call), handler)
        handler.done.addCallback(self._on_request_done, handler)
        fault = find_fault(message)
        if fault is not None:
            self.context.peers.reject(message, envelope.sender, fault)
            handler.refuse()
            return handler.done
        try:
            handler.start()
        except Exception as error:
            fault = f"can't be carried out: {type(error).__name__}"
            self.context.peers.reject(message, envelope.sender, fault)
            handler.fail()
        return handler.done

    def end_requests(self, connection):
        """Answer the requests that wait for a connection which was closed."""
        for handler in list(self.pending):
            if handler.connection is connection and not handler.done.called:
                handler.done.callback(None)

    def give_up_reads(self, member):
        """Answer requests that wait for a silent member and may run elsewhere."""
        for handler in list(self.pending):
            if handler.message.member == member:
                handler.give_up()

    def _on_request_done(self, message, handler):
        self.pending.discard(handler)
        number = (handler.origin, handler.message.call)
        if self.calls.get(number) is handler:
            del self.calls[number]
        if message is not None and self.paths is not None:
            return self.paths.add_news(message)
        return message

    def _on_leaving(self, message, envelope):
        self.stopping[envelope.sender] = envelope.incarnation
        self.context.log.write(events.Event.KEEPER_LEAVING, keeper=envelope.sender)


class RelayHandler:
    """Serves one RelayRequest of another instance.

    Parameters
    ----------
    relay : Relay
        Holds the open transactions.
    message : RelayRequest
        The request.
    origin : PeerProtocol
        Connection that it has arrived over.

    Attributes
    ----------
    done : Deferred of RelayAnswer
        Result; None tells the other instance that its connection is lost.
    connection : UpstreamConnection or None
        Connection in use.
    waiter : Waiter or None
        Request for a connection.
    is_withdrawn : bool
        Whether nobody waits for the answer any more.
    expires_at : float
        Monotonic time from which the instance that sent it has given it up.
    """

    def __init__(self, relay, message, origin):
        self.relay = relay
        self.message = message
        self.origin = origin
        self.done = defer.Deferred()
        self.connection = None
        self.started_at = relay.context.now()
        self.waiter = None
        self.is_withdrawn = False
        # The budget of a transaction was that of its first statement.
        limit_s = message.budget_ms / 1000.0
        if message.transaction:
            limit_s = REQUEST_TIMEOUT_S
        self.expires_at = self.started_at + limit_s + EXPIRY_MARGIN_S

    def start(self):
        """Obtain a connection, or use that of the open transaction."""
        message = self.message
        if message.transaction == peer_messages.WITHDRAWN:
            handler = self.relay.calls.get((self.origin, message.call))
            if handler is not None:
                handler.withdraw()
            self.done.callback(None)
            return
        transaction = None
        if message.transaction:
            transaction = self.relay.find_transaction(message, self.origin)
            if transaction is None:
                self.done.callback(None)
                return
        if message.step == "discard":
            self.relay.open_transactions.pop(message.transaction)
            transaction.connection.on_lost = None
            transaction.connection.close()
            self.relay.end_requests(transaction.connection)
            self.done.callback(None)
            return
        if transaction is not None and transaction.connection.response_handlers:
            # Its answer would free the connection while this request uses it.
            self.relay.context.peers.reject(
                message, self.origin.peer_name, "repeats or overtakes another one"
            )
            self.done.callback(None)
            return
        if transaction is not None:
            self.on_connection(transaction.connection)
            return
        failure = self.relay.check_path(message.member)
        if failure is not None:
            self.on_refused(failure)
            return
        proxy = self.relay.proxy
        if message.is_cold and message.member not in proxy.cold_starts.paces:
            proxy.cold_starts.presume_restart(message.service, message.member)
        pool = proxy.pools.get(message.member)
        if pool is None or not proxy.may_send(message.service, message.member, False):
            self.on_refused(retries.Failure(_KIND.UPSTREAM_UNREACHABLE))
            return
        connection = pool.try_acquire(message.account, message.priority)
        if connection is not None:
            self.on_connection(connection)
            return
        now = self.relay.context.now()
        useful_s = message.useful_ms / 1000.0 if message.useful_ms else float("inf")
        self.waiter = pooling.Waiter(
            message.account,
            message.account,
            now + message.budget_ms / 1000.0,
            self,
            priority=message.priority,
            has_alternative=message.has_alternative,
            useful_until=now + useful_s,
        )
        pool.request(self.waiter)

    def refuse(self):
        """Answer a request that can't be carried out: nothing was sent for it."""
        if self.message.transaction:
            self.done.callback(None)
        else:
            self.on_refused(retries.Failure(_KIND.UPSTREAM_UNREACHABLE))

    def fail(self):
        """Close the connection and answer that it is lost."""
        if self.connection is not None:
            self.connection.on_lost = None
            self.connection.close()
            number = self.message.transaction
            self.relay.open_transactions.pop(number, None)
        if not self.done.called:
            self.done.callback(None)

    def expire(self, now):
        """Close the connection, as the member has not answered in time.

        Notes
        -----
        A connection may go silent without a reset. It would keep its room at the
        member, which the member itself has given to others by then.
        """
        message = self.message
        self.relay.context.log.write(
            events.Event.RELAYED_REQUEST_EXPIRED,
            service=message.service,
            member=message.member,
            account=message.account,
            step=message.step,
            in_transaction=bool(message.transaction),
            is_sent=self.connection is not None and self.connection.is_sent,
            s=round(now - self.started_at, 3),
        )
        if self.waiter is not None:
            self.waiter.abandoned = True
        self.fail()

    def withdraw(self):
        """Stop, as the caller has left or its instance is lost.

        Notes
        -----
        A statement that is running may end. Its connection and room are freed
        after a while even if the member doesn't answer. Open transactions end
        otherwise.
        """
        if self.done.called or self.message.transaction:
            return
        self.is_withdrawn = True
        if self.connection is not None:
            in_transaction = self.message.step == "begin"
            self.relay.proxy.abandon(self.connection, in_transaction)
        elif self.waiter is not None:
            self.waiter.abandoned = True
        self.done.callback(None)

    def on_connection(self, connection):
        """Send the request's statement."""
        message = self.message
        self.connection = connection
        connection.on_lost = self._on_lost
        if not self.relay.proxy.may_send(
            message.service, message.member, bool(message.transaction)
        ):
            connection.on_lost = None
            self._refuse_member(connection)
            return
        if message.step == "roll_back":
            connection.roll_back(self._on_answer)
            return
        if message.on_primary and not self._is_usable_primary():
            connection.on_lost = None
            self._refuse_member(connection)
            return
        after = None
        if message.has_after:
            after = sessions.Position(message.after_term, message.after_index)
        settings = {setting.name: setting.value for setting in message.settings}
        if message.step == "begin":
            connection.begin(message.read_only, after, settings, self._on_answer)
            return
        prepared = None
        if message.is_prepared:
            prepared = statements.Prepared(message.shape, message.writes)
        statement = statements.Statement(
            message.request_id,
            _OP(message.operation),
            message.text,
            value=message.value,
        )
        connection.execute(statement, prepared, after, settings, self._on_answer)

    def give_up(self):
        """Answer that the connection is lost if a read waits for the member."""
        message = self.message
        is_waiting = self.connection is not None and not self.done.called
        if not is_waiting or message.transaction or not health.is_read(message):
            return
        self.connection.on_lost = None
        self.relay.proxy.abandon(self.connection, False)
        self.done.callback(None)

    def on_refused(self, failure):
        """Answer that nothing was sent to the member."""
        wait_ms = int(failure.retry_after_s * 1000.0)
        self.done.callback(
            peer_messages.RelayAnswer(
                refusal=failure.kind.value,
                retry_after_ms=wait_ms,
                path_failed=failure.path_failed,
                **self._measure(None),
            )
        )

    def on_path_lost(self, member):
        """Give a read back that waits for the answer of a member."""
        message = self.message
        connection = self.connection
        is_read = not message.transaction and (
            message.step == "begin" or health.is_read(message)
        )
        if connection is None or message.member != member or not is_read:
            return
        connection.on_lost = None
        connection.close()
        self.done.callback(peer_messages.RelayAnswer(path_failed=True))

    def _refuse_member(self, connection):
        """Refuse to use a member that is evacuated, or not known as primary."""
        number = self.message.transaction
        if number:
            self.relay.open_transactions.pop(number)
            connection.close()
            self.done.callback(None)
            return
        self.relay.proxy.release(connection)
        self.on_refused(retries.Failure(_KIND.UPSTREAM_UNREACHABLE))

    def _is_usable_primary(self):
        group = self.relay.proxy.groups.get(self.message.service)
        now = self.relay.context.now()
        if self.message.transaction:
            return group is not None and group.may_report_success(
                self.message.member, now
            )
        member = None if group is None else group.usable_primary(now)
        return member is not None and member.name == self.message.member

    def _on_answer(self, answer):
        if self.is_withdrawn:
            return  # The rollback that `withdraw` sent ends the transaction.
        relay = self.relay
        connection = self.connection
        connection.on_lost = None
        message = self.message
        if relay.proxy.health is not None:
            relay.proxy.health.record_relayed(message, answer, connection)
        number = message.transaction
        if message.on_primary and answer.position is not None and answer.error is None:
            group = relay.proxy.groups.get(message.service)
            if group is not None:
                group.on_position(message.member, answer.position, connection.sent_at)
        if answer.status == b"I":
            relay.open_transactions.pop(number, None)
            number = 0
            relay.proxy.release(connection)
        else:
            if not number:
                number = next(relay.transaction_numbers)
                relay.open_transactions[number] = OpenTransaction(
                    self.origin, connection, relay.context.now()
                )
            else:
                relay.open_transactions[number].used_at = relay.context.now()
            connection.on_lost = lambda outstanding: relay.open_transactions.pop(
                number, None
            )
        self.done.callback(_encode_answer(answer, number, self._measure(answer)))

    def _measure(self, answer):
        """Return the fields that describe the time taken and the load here."""
        placing = self.relay.proxy.placing
        if placing is None:
            return {}
        return placing.measure(
            self.message.member, self.connection, answer, self.started_at
        )

    def _on_lost(self, outstanding):
        self.relay.open_transactions.pop(self.message.transaction, None)
        if self.relay.proxy.health is not None and outstanding:
            self.relay.proxy.health.record_relayed(self.message, None, self.connection)
        if self.done.called:
            return
        if self.connection.is_sent or self.message.transaction:
            self.done.callback(None)
        else:
            self.on_refused(retries.Failure(_KIND.UPSTREAM_UNREACHABLE))


def _ignore_answer(answer):
    """Discard an answer."""


def _encode_answer(answer, number, measured):
    position = answer.position
    return peer_messages.RelayAnswer(
        transaction=number,
        rows=list(answer.rows),
        digest=answer.digest or b"",
        has_digest=answer.digest is not None,
        error="" if answer.error is None else answer.error.value,
        text=answer.text,
        status=answer.status,
        term=0 if position is None else position.term,
        index=0 if position is None else position.index,
        has_position=position is not None,
        **measured,
    )


def _decode_answer(message):
    position = None
    if message.has_position:
        position = sessions.Position(message.term, message.index)
    return statements.Answer(
        rows=tuple(message.rows),
        digest=message.digest if message.has_digest else None,
        error=_read_error(message.error),
        text=message.text,
        status=message.status,
        position=position,
    )


def _is_consistent(message):
    """Return whether a RelayAnswer names a transaction exactly if one is open."""
    return (message.status == statements.Answer().status) == (message.transaction == 0)


def _read_refusal(text):
    """Return the ErrorKind of a refusal; a later build may have others."""
    try:
        return _KIND(text)
    except ValueError:
        return _KIND.UPSTREAM_UNREACHABLE


def _read_error(text):
    """Return the UpstreamError of an answer or None; a later build may have others."""
    try:
        return statements.UpstreamError(text) if text else None
    except ValueError:
        return statements.UpstreamError.OTHER


def find_fault(message):
    """Return why a RelayRequest can't be carried out, or None.

    Notes
    -----
    A line end in a statement would be a second one to the member, whose answer
    would be taken for that of the next statement on the connection.
    """
    if message.step not in STEPS:
        return "has an unknown step"
    if message.step == "execute" and message.operation not in OPERATIONS:
        return "has an unknown operation"
    if message.step == "discard" and not message.transaction:
        return "discards no transaction"
    for name in (message.service, message.member, message.account):
        if not name.isprintable() or " " in name:
            return "has a name with spaces or control characters"
    parts = [message.request_id, message.text, message.value, message.shape]
    for setting in message.settings:
        parts += (setting.name, setting.value)
    return "has a line end" if _LINE_ENDS.search(b" ".join(parts)) else None
