"""Statements passed on to the instance that keeps a member's connections.

The connections of one client account to one member are kept by one instance in
the member's data centre, its keeper; the others pass statements on to it. A
member's few connections thus serve all instances, and none is opened twice.
"""

import collections
import itertools

import attrs
from twisted.internet import defer

from pomelograde.core import membership, pooling, retries, sessions, statements
from pomelograde.net import events, peer_messages, peers

REQUEST_TIMEOUT_S = 20.0  # beyond the time limit of every route
PROBE_AFTER_S = 0.25  # an answer on a live network takes 0.1 s, work included
PROBE_TIMEOUT_S = 0.3
KEPT_MARGIN_S = 1.0  # beyond the time after which its own instance ends it
FIRST_SUSPECT_S = 0.3  # a process that was killed is back about that soon
SUSPECT_S = 2.0  # longest time before a silent keeper is used again
FORGET_S = 5.0  # without trouble, after which a keeper is trusted as before

_KIND = retries.ErrorKind
_OP = statements.Operation


class RemoteConnection:
    """A member's connection that another instance keeps.

    It takes the same calls as a connection of this instance. Nothing is held
    at the keeper until the first of them.

    Parameters
    ----------
    relays : Relays
        Sends and receives.
    keeper : Instance
        Instance that keeps the connection.
    service, member, role : str
        Database service, member, and client account.
    """

    is_remote = True

    def __init__(self, relays, keeper, service, member, role):
        self.relays = relays
        self.keeper = keeper
        self.service = service
        self.member = member
        self.role = role
        self.transaction = 0
        self.budget_s = 0.0
        self.on_primary = False
        self.on_lost = None
        self.on_refused = None
        self.is_lost = False
        self.is_abandoned = False
        self.is_counted = False
        self.parts = collections.deque()
        self.sent_at = 0.0

    def begin(self, read_only, after, settings, done):
        """Open a transaction; `done` is called with the Answer."""
        self._send("begin", done, after, settings, read_only=read_only)

    def execute(self, statement, prepared, after, settings, done):
        """Run a caller's statement; `done` is called with the Answer."""
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
        """End the open transaction; `done` is called with the Answer."""
        if self.transaction:
            self._send("roll_back", done, None, {})
        else:
            done(statements.Answer())

    def abandon(self, in_transaction):
        """Give the connection up; the keeper rolls back what is open."""
        self.on_lost = None
        if self.parts:
            self.is_abandoned = True
        elif in_transaction:
            self.roll_back(_ignore)

    def close(self):
        """Give the connection up; the keeper closes it."""
        if self.is_lost:
            return
        self.is_lost = True
        self.relays.forget(self)
        if self.transaction or self.parts:
            self.relays.discard(self)

    def lose(self):
        """Take that the keeper can't be reached any more."""
        if self.is_lost:
            return
        self.is_lost = True
        on_lost, self.on_lost = self.on_lost, None
        if on_lost is not None:
            on_lost(bool(self.parts))

    def _send(self, step, done, after, settings, **fields):
        self.parts.append(done)
        self.sent_at = self.relays.context.now()
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
            **fields,
        )
        self.relays.send(self, request)

    @property
    def is_waiting(self):
        """Whether the keeper has not answered everything."""
        return bool(self.parts) and not (self.is_lost or self.is_abandoned)

    def on_answer(self, message):
        """Take the keeper's answer."""
        if not isinstance(message, peer_messages.RelayAnswer):
            self.lose()
            return
        if self.is_lost or self.is_abandoned:
            self.transaction = message.transaction
            self.relays.discard(self)
            return
        done = self.parts.popleft()
        if message.refusal:
            kind = _KIND(message.refusal)
            wait_s = message.retry_after_ms / 1000.0
            failure = retries.Failure(kind, retry_after_s=wait_s)
            if self.on_refused is not None:
                self.on_refused(failure)
            return
        self.transaction = message.transaction
        done(_read_answer(message))


@attrs.define(eq=False)
class Kept:
    """A transaction that is open for another instance.

    Attributes
    ----------
    origin : str
        The other instance.
    connection : UpstreamConnection
        Connection that it is open on.
    used_at : float
        When its last statement was answered.
    """

    origin: str
    connection: object
    used_at: float


class Relays:
    """Passes statements on to keepers, and serves as one.

    Parameters
    ----------
    context : HostedContext
        Parts of the instance that all tasks share.
    proxy : Proxy
        Groups and pools.

    Attributes
    ----------
    suspects : dict of str to float
        Time until which each silent keeper is passed over.
    pauses : dict of str to tuple
        End and length of the last such time.
    kept : dict of int to Kept
        Transactions that are open for other instances.
    tasks : set of KeeperTask
        Requests of other instances that are not answered yet.
    leaving : dict of str to int
        Incarnation of each instance that has told that it stops.
    """

    def __init__(self, context, proxy):
        self.context = context
        self.proxy = proxy
        self.suspects = {}
        self.pauses = {}
        self.outstanding = {}
        self.probing = set()
        self.kept = {}
        self.tasks = set()
        self.leaving = {}
        self.numbers = itertools.count(1)
        self.instances = []
        handlers = context.peers.handlers
        handlers[peer_messages.RelayRequest] = self._on_request
        handlers[peer_messages.FloorRequest] = self._on_floor_request
        handlers[peer_messages.Ping] = lambda message, envelope: None
        handlers[peer_messages.Leaving] = self._on_leaving
        context.peers.on_lost = self._on_peer_lost

    def set_instances(self, instances):
        """Take in the registered instances."""
        self.instances = instances

    @property
    def is_busy(self):
        """Whether anything is under way or open for other instances."""
        return bool(self.kept or self.tasks)

    def begin_stop(self):
        """Let the other instances choose other keepers from now on."""
        for found in self.instances:
            if found.name != self.context.members.own.name:
                self.context.peers.send(found, peer_messages.Leaving())

    def find_keeper(self, member, account):
        """Return the instance that keeps an account's connections to a member.

        Parameters
        ----------
        member : Member
            The member.
        account : str
            Client account; empty for the member as such.

        Returns
        -------
        Instance
            One in the member's data centre, if any lives there. Instances
            that disagree for a moment on who lives use a connection more.
        """
        near = self._find_usable("data_centre", member.data_centre)
        if not near:
            return self.context.members.own
        key = f"{member.name}/{account}"
        return near[membership.rendezvous(key, near, 1)[0]]

    def is_usable(self, instance, now):
        """Return whether an instance neither stops nor is silent."""
        name = instance.name
        if self.leaving.get(name, -1) >= instance.incarnation:
            return False
        return now >= self.suspects.get(name, now)

    def _find_usable(self, attribute, place):
        """Return by name this instance, and the usable ones, of a place."""
        now = self.context.now()
        own = self.context.members.own
        return {
            found.name: found
            for found in self.instances
            if getattr(found, attribute) == place
            and (found.name == own.name or self.is_usable(found, now))
        }

    def count_keepers(self, member):
        """Return how many instances may keep connections to a member."""
        near = sum(
            1 for found in self.instances if found.data_centre == member.data_centre
        )
        own = self.context.members.own
        if near and own.data_centre == member.data_centre:
            return near
        return max(1, len(self.instances))

    def connect(self, member, service, account):
        """Return a RemoteConnection, or None if this instance is the keeper."""
        keeper = self.find_keeper(member, account)
        if keeper.name == self.context.members.own.name:
            return None
        return RemoteConnection(self, keeper, service, member.name, account)

    def send(self, call, request):
        """Send a request to an instance, and find out if it goes silent.

        Parameters
        ----------
        call : RemoteConnection or AdmissionCall
            `call.on_answer(message)` takes the answer, `call.lose()` that there
            will be none from `call.keeper`; `call.sent_at` and
            `call.is_waiting` tell since when, and whether, it waits.
        request : object
            One of the message classes.
        """
        keeper = call.keeper
        self.outstanding.setdefault(keeper.name, set()).add(call)
        sent = defer.ensureDeferred(
            self.context.peers.request(keeper, request, REQUEST_TIMEOUT_S)
        )
        arguments = [call, keeper]
        sent.addCallbacks(
            self._on_answer, self._on_unreachable, arguments, None, arguments
        )

    def forget(self, call):
        """Expect nothing more for a call."""
        self.outstanding.get(call.keeper.name, set()).discard(call)

    def discard(self, connection):
        """Tell the keeper to close what a connection stands for."""
        if connection.transaction:
            request = peer_messages.RelayRequest(
                step="discard",
                service=connection.service,
                member=connection.member,
                account=connection.role,
                transaction=connection.transaction,
            )
            self.context.peers.send(connection.keeper, request)

    def sweep(self, now, transaction_idle_s):
        """End transactions that their instances have forgotten."""
        limit_s = transaction_idle_s + KEPT_MARGIN_S
        for number, kept in list(self.kept.items()):
            if now - kept.used_at > limit_s and not kept.connection.parts:
                del self.kept[number]
                kept.connection.on_lost = None
                kept.connection.close()

    def probe(self):
        """Find keepers that have gone silent."""
        now = self.context.now()
        for name, waiting in self.outstanding.items():
            if name in self.probing or not waiting:
                continue
            oldest = min(call.sent_at for call in waiting)
            if now - oldest >= PROBE_AFTER_S:
                self.probing.add(name)
                keeper = next(iter(waiting)).keeper
                defer.ensureDeferred(self._probe(keeper))

    def find_teller(self, group, primary):
        """Return the instance to ask for a primary's position.

        Parameters
        ----------
        group : Group
            Database service.
        primary : Member
            Its primary.

        Returns
        -------
        Instance
            The one that keeps the primary, for one instance of each region;
            that one, for the others.
        """
        own = self.context.members.own
        keeper = self.find_keeper(primary, "")
        if keeper.region == own.region:
            return keeper
        near = self._find_usable("region", own.region)
        if not near:
            return keeper
        teller = near[membership.rendezvous(group.name, near, 1)[0]]
        return keeper if teller.name == own.name else teller

    async def ask_position(self, group, primary, teller):
        """Ask another instance for the position of a primary."""
        asked_at = self.context.now()
        request = peer_messages.FloorRequest(group.name)
        try:
            answer = await self.context.peers.request(teller, request, PROBE_TIMEOUT_S)
        except peers.PeerUnreachableError:
            self._suspect(teller.name, "no answer")
            return
        if getattr(answer, "known", False):
            position = sessions.Position(answer.term, answer.index)
            asked_at -= answer.age_ms / 1000.0
            group.on_position(primary.name, position, asked_at)

    async def _probe(self, keeper):
        try:
            ping = peer_messages.Ping()
            await self.context.peers.request(keeper, ping, PROBE_TIMEOUT_S)
        except peers.PeerUnreachableError:
            self._suspect(keeper.name, "no answer")
        finally:
            self.probing.discard(keeper.name)

    def _suspect(self, name, reason):
        """Pass a keeper over for a while, and give up what it has not answered."""
        for call in list(self.outstanding.pop(name, ())):
            call.lose()
        now = self.context.now()
        if now < self.suspects.get(name, now):
            return
        self.context.log.write(
            events.Event.KEEPER_SUSPECTED, keeper=name, reason=reason
        )
        until, pause_s = self.pauses.get(name, (now, FIRST_SUSPECT_S / 2.0))
        pause_s = min(SUSPECT_S, 2.0 * pause_s)
        if now - until > FORGET_S:
            pause_s = FIRST_SUSPECT_S
        self.suspects[name] = now + pause_s
        self.pauses[name] = (now + pause_s, pause_s)
        self.context.peers.drop_connection(name)

    def _on_answer(self, message, call, keeper):
        if call.keeper is not keeper:
            return  # It has asked somebody else since.
        call.on_answer(message)
        if not call.is_waiting:
            self.forget(call)

    def _on_unreachable(self, reason, call, keeper):
        reason.trap(peers.PeerUnreachableError)
        self._suspect(keeper.name, "connection lost")
        if call.keeper is keeper:
            self.forget(call)
            call.lose()

    def _on_peer_lost(self, name, accepted):
        """Roll back what was open for a peer whose connection is gone."""
        if not accepted:
            self._suspect(name, "connection lost")
            return
        for number, kept in list(self.kept.items()):
            if kept.origin == name:
                del self.kept[number]
                kept.connection.close()

    def _on_request(self, message, envelope):
        task = KeeperTask(self, message, envelope.sender)
        self.tasks.add(task)
        task.done.addCallback(self._on_task_done, task)
        task.start()
        return task.done

    def _on_task_done(self, message, task):
        self.tasks.discard(task)
        return message

    def _on_leaving(self, message, envelope):
        self.leaving[envelope.sender] = envelope.incarnation
        self.context.log.write(events.Event.KEEPER_LEAVING, keeper=envelope.sender)

    def _on_floor_request(self, message, envelope):
        group = self.proxy.groups.get(message.group)
        now = self.context.now()
        primary = None if group is None else group.usable_primary(now)
        if primary is None or primary.position is None:
            return peer_messages.FloorAnswer(False)
        age_ms = int((now - primary.position_at) * 1000.0) + 1
        position = primary.position
        return peer_messages.FloorAnswer(True, position.term, position.index, age_ms)


class KeeperTask:
    """Carries out one request of another instance.

    Parameters
    ----------
    relays : Relays
        Transactions that are open.
    message : RelayRequest
        The request.
    origin : str
        The other instance.

    Attributes
    ----------
    done : Deferred of RelayAnswer
        The answer.
    """

    def __init__(self, relays, message, origin):
        self.relays = relays
        self.message = message
        self.origin = origin
        self.done = defer.Deferred()
        self.connection = None

    def start(self):
        """Get a connection, or use that of the open transaction."""
        message = self.message
        kept = self.relays.kept.get(message.transaction)
        if message.transaction and (kept is None or kept.connection.is_lost):
            self.done.callback(None)
            return
        if message.step == "discard":
            self.relays.kept.pop(message.transaction)
            kept.connection.on_lost = None
            kept.connection.close()
            self.done.callback(None)
            return
        if kept is not None:
            self.on_connection(kept.connection)
            return
        proxy = self.relays.proxy
        pool = proxy.pools.get(message.member)
        if pool is None:
            self.on_refused(retries.Failure(_KIND.UPSTREAM_UNREACHABLE))
            return
        connection = pool.take_at_once(message.account)
        if connection is not None:
            self.on_connection(connection)
            return
        deadline = self.relays.context.now() + message.budget_ms / 1000.0
        waiter = pooling.Waiter(message.account, message.account, deadline, self)
        pool.request(waiter)

    def on_connection(self, connection):
        """Send the request's statement."""
        message = self.message
        self.connection = connection
        connection.on_lost = self._on_lost
        if message.step == "roll_back":
            connection.roll_back(self._on_answer)
            return
        if message.on_primary and not self._may_send():
            connection.on_lost = None
            self._give_up(connection)
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

    def on_refused(self, failure):
        """Answer that nothing was sent."""
        wait_ms = int(failure.retry_after_s * 1000.0)
        self.done.callback(
            peer_messages.RelayAnswer(
                refusal=failure.kind.value, retry_after_ms=wait_ms
            )
        )

    def _give_up(self, connection):
        """Refuse to use a member that this instance does not know to lead."""
        number = self.message.transaction
        if number:
            self.relays.kept.pop(number)
            connection.close()
            self.done.callback(None)
            return
        self.relays.proxy.release(connection)
        self.on_refused(retries.Failure(_KIND.UPSTREAM_UNREACHABLE))

    def _may_send(self):
        group = self.relays.proxy.groups.get(self.message.service)
        now = self.relays.context.now()
        if self.message.transaction:
            return group is not None and group.may_report_success(
                self.message.member, now
            )
        member = None if group is None else group.usable_primary(now)
        return member is not None and member.name == self.message.member

    def _on_answer(self, answer):
        relays = self.relays
        connection = self.connection
        connection.on_lost = None
        message = self.message
        number = message.transaction
        if message.on_primary and answer.position is not None and answer.error is None:
            group = relays.proxy.groups.get(message.service)
            if group is not None:
                group.on_position(message.member, answer.position, connection.sent_at)
        if answer.status == b"I":
            relays.kept.pop(number, None)
            number = 0
            relays.proxy.release(connection)
        else:
            if not number:
                number = next(relays.numbers)
                relays.kept[number] = Kept(
                    self.origin, connection, relays.context.now()
                )
            else:
                relays.kept[number].used_at = relays.context.now()
            connection.on_lost = lambda outstanding: relays.kept.pop(number, None)
        self.done.callback(_write_answer(answer, number))

    def _on_lost(self, outstanding):
        self.relays.kept.pop(self.message.transaction, None)
        if not self.done.called:
            self.done.callback(None)


def _ignore(answer):
    """Heed nothing of an answer."""


def _write_answer(answer, number):
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
    )


def _read_answer(message):
    position = None
    if message.has_position:
        position = sessions.Position(message.term, message.index)
    return statements.Answer(
        rows=tuple(message.rows),
        digest=message.digest if message.has_digest else None,
        error=statements.UpstreamError(message.error) if message.error else None,
        text=message.text,
        status=message.status,
        position=position,
    )
