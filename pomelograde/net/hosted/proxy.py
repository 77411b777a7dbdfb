"""State that sessions share: configuration, groups, pools and rates."""

import functools

import attrs

from pomelograde.core import configuration, placement, pooling, retries
from pomelograde.net import events, faults, pools, timers
from pomelograde.net.hosted import (
    cold_starts,
    contradictions,
    placing,
    positions,
    rates,
    read_log,
    relay,
    sessions,
)

# Part of the time for a stop in which load balancers notice it.
STOP_NOTICE_FRACTION = 1 / 3
# Part of that time from which transactions are rolled back between statements.
STOP_TRANSACTIONS_FRACTION = 3 / 4
SWEEP_INTERVAL_S = 0.05  # 1/16 of the shortest time limit in use
FULL_RETRY_DELAY_S = 1.0  # until connections are requested again from a full member
OWNER_CHECK_INTERVAL_S = 1.0
# Age of the configuration up to which it may deny access. A new
# configuration is in force 3 s after it is acknowledged.
MAX_DENIAL_AGE_S = 2.5
ABANDON_TIMEOUT_S = 2.0  # for an outstanding answer and the rollback after it

_KIND = retries.ErrorKind


class Proxy:
    """Holds the state that all sessions share.

    Parameters
    ----------
    context : HostedContext
        Components that all tasks of the instance share.
    freshness : Freshness
        How recent this instance's state is.
    open_connection : callable
        Called with reactor, service, Member, client account and the local
        address to connect from; returns a coroutine of a connection.

    Attributes
    ----------
    configuration : FleetConfiguration
        Configuration in force.
    groups : dict of str to Group
        Database services by name.
    registered : dict of str to list of Member
        All registered members by service, also those that may not be used.
    unchanged_at : float
        Monotonic time of the last read that returned other members.
    contradictions : Contradictions
        Leaves out members whose address answers under another id.
    pools : dict of str to MemberPool
        Connection pools by member.
    rates : RegisteredRates
        Rate limits of the client accounts.
    relay : Relay
        Relays statements to and from other instances.
    positions : Positions
        Learns the log positions of the primaries.
    read_log : ReadLog
        Logs the reads after a takeover.
    cold_starts : ColdStarts
        Limits what is sent to members that have just started.
    takeovers : dict of str to Takeover
        Last takeover of each service.
    evacuation_deadlines : dict of str to float
        Time from which nothing is sent, by evacuated data centre.
    sessions : set of SessionTask
        Open sessions.
    timed_sessions : set of SessionTask
        Those that a time limit applies to: with a statement or an open transaction,
        or told to end.
    is_refusing : bool
        Whether it refuses new operations, and ends sessions that are idle.
    is_ending_transactions : bool
        Whether it ends open transactions once no statement of them is running.
    created_at, started_at : float
        Start of the process, and of the periodic work, in monotonic seconds.
    health : HealthTask or None
        Judges the members by their answers; None if they aren't judged.
    placing : Placing or None
        Expected times at the members, by which reads are placed if it is set.
    stopped_sessions, stopped_statements : int
        Sessions that were left at the end of a stop, and those of their statements
        that were answered with an error then.
    startup_timer : IDelayedCall or None
        Raises the connection limits once members have dropped the connections
        of earlier processes.
    """

    def __init__(self, context, freshness, open_connection):
        self.context = context
        self.freshness = freshness
        self.open_connection = open_connection
        self.configuration = configuration.FleetConfiguration()
        self.groups = {}
        self.registered = {}
        self.unchanged_at = float("-inf")
        self.contradictions = contradictions.Contradictions(
            context, self._connect_anew, self._apply_members
        )
        self.pools = {}
        self.takeovers = {}
        self.evacuation_deadlines = {}
        self.sessions = set()
        self.timed_sessions = set()
        self.is_refusing = False
        self.is_ending_transactions = False
        self.created_at = context.now()
        self.started_at = float("inf")
        self.startup_timer = None
        self.health = None
        self.placing = None
        self.loops = []
        self.stopped_sessions = 0
        self.stopped_statements = 0
        if context.settings.shares_members:
            pools.RoomGauges(context.metrics, self.pools)
        self.relay = relay.Relay(context, self)
        self.positions = positions.Positions(context, self)
        self.read_log = read_log.ReadLog(context, self.groups)
        self.cold_starts = cold_starts.ColdStarts(context, self)
        self.rates = rates.RegisteredRates(context, self.relay, freshness)

    def start(self):
        """Start the periodic work."""
        self.started_at = self.context.now()
        if self.health is not None:
            self.health.start()
        self.startup_timer = self.context.reactor.callLater(
            pooling.STARTUP_S, self._resize_pools
        )
        self.loops = [
            timers.start_loop(self.context, SWEEP_INTERVAL_S, self._sweep, now=False),
            timers.start_loop(
                self.context, positions.INTERVAL_S, self._refresh_positions, now=False
            ),
            timers.start_loop(
                self.context,
                OWNER_CHECK_INTERVAL_S,
                self._close_connections_of_others,
                now=False,
            ),
        ]
        if self.placing is not None:
            self.loops.append(
                timers.start_loop(
                    self.context,
                    placing.REPORT_INTERVAL_S,
                    self._report_changes,
                    now=False,
                )
            )

    def stop(self):
        """Stop the periodic work, and close all sessions and pools."""
        self.is_refusing = True
        if self.health is not None:
            self._run(self.health.stop)
        for loop in self.loops:
            if loop.running:
                loop.stop()
        if self.startup_timer is not None and self.startup_timer.active():
            self.startup_timer.cancel()
        self._run(self.rates.stop)
        self._run(self.contradictions.stop)
        for task in list(self.sessions):
            self._run(self._stop_session, task)
        for pool in self.pools.values():
            self._run(pool.close)

    def _stop_session(self, task):
        self.stopped_sessions += 1
        self.stopped_statements += task.stop(retries.Failure(_KIND.DRAINING))

    def _run(self, function, *arguments):
        """Call a function whose failure must not keep others from being called."""
        faults.run(self.context, function, *arguments)

    def set_configuration(self, new):
        """Apply a configuration."""
        previous, self.configuration = self.configuration, new
        if previous.services.keys() != new.services.keys():
            self._apply_members()
        self.rates.set_configuration(new)
        for group in self.groups.values():
            self.cold_starts.configure(group)
        self.cold_starts.update()
        for task in list(self.sessions):
            self._run(self._check_session, task)
        self._resize_pools()

    def _check_session(self, task):
        """End an idle session whose database or key the configuration has not."""
        failure = self._check_access(task.database, task.key)
        if failure is not None and task.is_idle:
            task.end(failure)

    def set_instances(self, instances):
        """Update the registered instances."""
        self.rates.set_instances(instances)
        self.relay.set_instances(instances)
        self.cold_starts.update()
        self._resize_pools()

    def set_members(self, members, unchanged_at):
        """Update the registered members.

        Parameters
        ----------
        members : dict of str to list of Member
            Registered members by service.
        unchanged_at : float
            Monotonic time of the last read that returned other members.
        """
        self.registered = members
        self.unchanged_at = unchanged_at
        self._apply_members()

    def _apply_members(self):
        """Use the registered members, but for those that may not be used.

        Notes
        -----
        The row of another writer may name a service that does not exist. Its
        members are not used before the configuration names it. Those of a service
        that the configuration no longer names are, so that no statement in
        progress is cut off.
        """
        named = self.configuration.services.keys() | self.groups.keys()
        unnamed = {
            service: sorted(member.name for member in found)
            for service, found in self.registered.items()
            if service not in named
        }
        members = {
            service: found
            for service, found in self.contradictions.select(self.registered).items()
            if service in named
        }
        drain_s = self.context.settings.drain_s
        leaving_until = self.unchanged_at + placement.USE_FRACTION * drain_s
        for service in [name for name in self.groups if name not in members]:
            self.groups[service].update([], self.context.now())
        regions = self.context.settings.regions
        for service, registered in members.items():
            for member in registered:
                member.region = regions.get(member.data_centre, "")
            group = self.groups.get(service)
            if group is None:
                group = self.groups[service] = placement.Group(service)
                if self.health is not None:
                    self.health.watch(group)
                if self.placing is not None:
                    self.placing.prepare(group)
                group.set_evacuations(self.evacuation_deadlines)
                if service in self.takeovers:
                    self.set_takeover(self.takeovers[service])
            self.cold_starts.configure(group)
            if group.update(registered, self.context.now(), leaving_until):
                self._log_primary(group)
        self.renew_primary_leases()
        replaced = self._update_pools()
        self.cold_starts.update()
        for pool in replaced:
            pool.refuse_waiters()
        self.context.log.write(
            events.Event.UPSTREAM_MEMBERS_CHANGED,
            members={
                name: sorted(group.members) for name, group in self.groups.items()
            },
            unnamed=unnamed,
        )

    def set_evacuations(self, deadlines):
        """Set the evacuated data centres, with the time from which nothing is sent."""
        self.evacuation_deadlines = deadlines
        for group in self.groups.values():
            group.set_evacuations(deadlines)

    def may_send(self, service, member, in_transaction):
        """Return whether evacuations allow a statement to be sent to a member.

        Parameters
        ----------
        service, member : str
            Database service and name of the member.
        in_transaction : bool
            Whether it belongs to a transaction that is open there.
        """
        group = self.groups.get(service)
        if group is None or not group.evacuated:
            return True
        now = self.context.now()
        if in_transaction or member == group.primary:
            return not group.is_closed(member, now)
        found = group.members.get(member)
        return found is None or found.data_centre not in group.evacuated

    def set_takeover(self, takeover):
        """Apply a takeover, which replaces a service's primary.

        Notes
        -----
        While it is in progress, the old primary is held: no new statements are
        sent to it. An instance that has not seen it in progress does not know how
        long ago it ended: its successor may have started again as a replica since.
        """
        known = self.takeovers.get(takeover.service)
        self.takeovers[takeover.service] = takeover
        group = self.groups.get(takeover.service)
        if group is None:
            return
        was_blocked = group.is_primary_blocked
        now = self.context.now()
        known_term = 0 if known is None else known.term
        changed = group.set_takeover(
            takeover.blocks_primary,
            takeover.successor,
            now,
            is_successor_confirmed=was_blocked and takeover.term > known_term,
            fence=takeover.fence,
        )
        if changed or was_blocked != group.is_primary_blocked:
            self.context.log.write(
                events.Event.PRIMARY_HELD,
                service=takeover.service,
                held=group.is_primary_blocked,
                primary=group.primary,
                fence=takeover.fence,
                row_version=takeover.row_version,
                term=takeover.term,
            )

    def uses_primary(self, service):
        """Return whether an operation at a service's primary is in progress."""
        return any(task.core.uses_primary(service) for task in self.sessions)

    def fence_primary(self, service):
        """Fail the operations in progress at a primary that is being replaced."""
        group = self.groups.get(service)
        if group is None or not group.is_primary_blocked:
            return
        group.is_fenced = True
        for task in list(self.sessions):
            if task.core.uses_primary(service):
                self._run(_fence_session, task)

    def renew_primary_leases(self):
        """Extend the primary leases after the state was refreshed."""
        until = self.freshness.primary_lease_until()
        for group in self.groups.values():
            group.primary_lease_until = until

    def open_session(self, caller, database, key):
        """Return a new SessionTask, or a Failure."""
        route = self.resolve(database, key, self.context.now())
        if isinstance(route, retries.Failure):
            return route
        task = sessions.SessionTask(self.context, self, caller, database, key)
        self.sessions.add(task)
        return task

    def find_account(self, key):
        """Return the client account that has a key now; empty without a known key."""
        return self.configuration.account_by_key.get(key, "")

    def resolve(self, database, key, now):
        """Return the Route for a new operation, or a Failure."""
        if self.is_refusing:
            return retries.Failure(_KIND.DRAINING)
        failure = self.check(database, key, now)
        if failure is not None:
            return failure
        route = self.configuration.routes[database]
        accounts = self.configuration.accounts
        account = accounts.get(self.find_account(key))
        if account is None or not account.allowed_regions:
            return route
        return attrs.evolve(route, account_regions=account.allowed_regions)

    def check(self, database, key, now):
        """Return the Failure that keeps statements from running, or None."""
        if not self.freshness.may_accept_keys(now):
            return retries.Failure(_KIND.CONFIGURATION_STALE)
        failure = self._check_access(database, key)
        age_s = now - self.freshness.configuration_at
        if failure is not None and age_s > MAX_DENIAL_AGE_S:
            # A newer configuration may have the route and the key.
            return retries.Failure(_KIND.CONFIGURATION_STALE)
        return failure

    def connect_remote(self, action, account):
        """Return a RemoteConnection if another instance owns it, otherwise None.

        Parameters
        ----------
        action : Acquire
            Member and deadline of the connection.
        account : str
            Client account.
        """
        group = self.groups.get(action.service)
        member = None if group is None else group.members.get(action.member)
        if member is None:
            return None
        remote = self.relay.connect(member, action.service, account, action.regions)
        if remote is not None:
            remote.budget_s = action.deadline - self.context.now()
            remote.on_primary = action.on_primary
            remote.priority = action.priority
            remote.has_alternative = action.has_alternative
            remote.useful_s = max(0.0, action.useful_until - self.context.now())
        return remote

    def release(self, connection):
        """Return a connection without outstanding answers to its pool."""
        self.clear_outstanding(connection)
        if connection.is_remote:
            return
        connection.released_at = self.context.now()
        pool = self.pools.get(connection.member)
        if pool is None:
            connection.close()
        else:
            pool.release(connection)

    def abandon(self, connection, in_transaction):
        """Return a connection to its pool once outstanding answers have arrived.

        Notes
        -----
        An open transaction is rolled back first. A connection on which this
        takes longer than `ABANDON_TIMEOUT_S` is closed.
        """
        if connection.is_lost:
            return
        if connection.is_remote:
            self.clear_outstanding(connection)
            connection.abandon(in_transaction)
            return
        if in_transaction and not self.may_send(
            connection.service, connection.member, True
        ):
            self.clear_outstanding(connection)
            connection.close()
            return
        timer = self.context.reactor.callLater(ABANDON_TIMEOUT_S, connection.close)

        def done(answer=None):
            if timer.active():
                timer.cancel()
            if not connection.is_lost:
                self.release(connection)

        def on_lost(outstanding):
            if timer.active():
                timer.cancel()

        connection.on_lost = on_lost
        connection.withdraw()
        if in_transaction:
            connection.roll_back(done)
        elif connection.response_handlers:
            connection.response_handlers[-1] = done
        else:
            done()

    def query_position(self, connection, done):
        """Request a member's position; `done` is called with the Answer.

        A connection without an answer is closed after `ABANDON_TIMEOUT_S`.
        """

        def on_answer(answer):
            timer.cancel()
            done(answer)

        timer = self.context.reactor.callLater(ABANDON_TIMEOUT_S, connection.close)
        connection.ask_position(on_answer)

    def mark_outstanding(self, connection):
        """Count a connection as in use among its member's outstanding statements."""
        member = self._find_member(connection)
        if member is not None and not connection.is_counted:
            connection.is_counted = True
            member.outstanding += 1
            member.sent += 1

    def record_done(self, task, statement, outcome, digest):
        """Update metrics and the log after a statement has ended."""
        context = self.context
        elapsed_s = context.now() - task.started_at
        metrics = context.metrics
        metrics.count(metrics.statements, statement.operation.value)
        if digest is None and outcome == "ok":
            return
        metrics.record("statement", elapsed_s)
        last = task.core.last_statement
        rate = {}
        if outcome == _KIND.RATE_EXCEEDED.value:
            rate = self.rates.describe_share(task.account)
        context.log.write(
            events.Event.STATEMENT_DONE,
            id=statement.request_id.decode("latin-1"),
            session=task.session_id,
            account=task.account,
            database=task.database,
            operation=statement.operation.value,
            outcome=outcome,
            ms=round(elapsed_s * 1000.0, 1),
            **({} if last is None else last.describe()),
            **rate,
        )

    def record_cut_off(self, task, reason):
        """Log the end of a session that has statements without an answer."""
        statement = task.statement
        in_flight = task.core.in_flight
        self.context.log.write(
            events.Event.SESSION_CUT_OFF,
            session=task.session_id,
            account=task.account,
            database=task.database,
            reason=reason,
            id="" if statement is None else statement.request_id.decode("latin-1"),
            was_sent=in_flight is not None and in_flight.attempts > 0,
            in_transaction=task.core.transaction is not None,
            queued=len(task.queued),
        )

    def record_refusal(self, task, failure):
        """Count a statement that was answered with an error."""
        metrics = self.context.metrics
        metrics.count(metrics.refusals, failure.kind.value)

    def record_session_refusal(self, failure):
        """Count and log a session that was refused."""
        metrics = self.context.metrics
        metrics.count(metrics.refusals, failure.kind.value)
        self.context.log.write(events.Event.CALLER_REFUSED, reason=failure.kind.value)

    @property
    def is_stopping(self):
        """Whether the instance is shutting down."""
        return self.relay.is_leaving

    @property
    def is_busy(self):
        """Whether sessions may be opened or are open, or others have requests here."""
        return not self.is_refusing or bool(self.sessions) or self.relay.is_busy

    def begin_stop(self):
        """Serve until the load balancer has noticed, then end the sessions.

        Notes
        -----
        Sessions with an open transaction end later. A transaction that is still
        open then could be cut off in the middle of a statement.
        """
        self.relay.begin_stop()
        grace_s = self.context.settings.grace_s
        later = self.context.reactor.callLater
        later(grace_s * STOP_NOTICE_FRACTION, self._end_sessions)
        later(grace_s * STOP_TRANSACTIONS_FRACTION, self._end_transactions)

    def _end_sessions(self):
        """Refuse new operations, and end sessions once they are idle."""
        self.is_refusing = True
        for task in list(self.sessions):
            if task.is_idle:
                self._run(task.end, retries.Failure(_KIND.DRAINING))

    def _end_transactions(self):
        """End open transactions, each once no statement of it is running."""
        self.is_ending_transactions = True
        for task in list(self.sessions):
            self._run(task.end_transaction)

    def _check_access(self, database, key):
        """Return the Failure for an unknown database or a withdrawn key, or None."""
        route = self.configuration.routes.get(database)
        if route is None:
            return retries.Failure(_KIND.UNKNOWN_DATABASE)
        if route.is_open or key in self.configuration.account_by_key:
            return None
        return retries.Failure(_KIND.KEY_WITHDRAWN)

    def _find_member(self, connection):
        group = self.groups.get(connection.service)
        return None if group is None else group.members.get(connection.member)

    def clear_outstanding(self, connection):
        """Remove a connection from its member's outstanding statements."""
        member = self._find_member(connection)
        if connection.is_counted:
            connection.is_counted = False
            if member is not None:
                member.outstanding = max(0, member.outstanding - 1)

    def _update_pools(self):
        """Update the pools; returns those that are closed."""
        replaced = []
        wanted = {}
        for service, group in self.groups.items():
            for name, member in group.members.items():
                wanted[name] = (service, member)
        for name in [name for name in self.pools if name not in wanted]:
            replaced.append(self.pools.pop(name))
        for name, (service, member) in wanted.items():
            pool = self.pools.get(name)
            if pool is not None and pool.spec.address == member.address:
                pool.spec = member
                continue
            if pool is not None:
                replaced.append(pool)
            self.pools[name] = self._make_pool(service, member)
        for pool in replaced:
            pool.close()
        if self.relay.paths is not None:
            self.relay.paths.set_members(self.pools)
        return replaced

    def suspect_row(self, service, name):
        """Check the row of a member that another instance could not use."""
        member = self._find_row(service, name)
        if member is not None:
            self.contradictions.suspect(service, member)

    def confirm_row(self, service, name):
        """Record that a member has answered another instance under its id.

        Notes
        -----
        Otherwise the loss of a member would make all instances connect to it.
        """
        member = self._find_row(service, name)
        if member is not None:
            self.contradictions.record_answer(service, member)

    def _find_row(self, service, name):
        group = self.groups.get(service)
        return None if group is None else group.members.get(name)

    async def _connect_anew(self, service, member):
        """Return a connection to a member that is in no pool."""
        if member.data_centre in self.evacuation_deadlines:
            raise pools.UpstreamOpenError("evacuated")
        return await self.open_connection(
            self.context.reactor,
            service,
            member,
            next(iter(self.configuration.accounts), ""),
            self.context.settings.host,
        )

    def _make_pool(self, service, member):
        async def open_connection(spec, role):
            if self.relay.paths is not None:
                self.relay.paths.in_use.add(spec.name)
            host = self.context.settings.host
            try:
                connection = await self.open_connection(
                    self.context.reactor, service, spec, role, host
                )
            except pools.UpstreamOpenError as error:
                self.contradictions.record_refusal(service, spec, error)
                if not (error.refused or pool.closed or pool.open):
                    self.cold_starts.presume_restart(service, spec.name)
                raise
            self.contradictions.record_answer(service, spec)
            self.cold_starts.watch(connection)
            return connection

        limit, slots = self._divide(service, member)
        room = None
        if self.context.settings.shares_members:
            room = pooling.Room(pooling.AdaptiveLimit(float(limit)))
        pool = pools.MemberPool(self.context, member, open_connection, limit, room)
        pool.service = service
        pool.on_full = self._on_full
        pool.on_unreachable = self.relay.on_member_unreachable
        if self.health is not None:
            pool.on_open_failed = self.health.record_open_failed
        pool.resize(limit, slots)
        return pool

    def _divide(self, service, member):
        """Return this instance's shares of a member.

        Returns
        -------
        connections : int
            Connections that this instance may hold.
        slots : float
            Statements that the member runs at once, divided by its owners.
        """
        owner_count, rank = self.relay.rank_owner(member)
        slots = member.slots / owner_count
        spec = self.configuration.services.get(service)
        if spec is None:
            return 1, slots
        connections = pooling.divide_connections(
            spec.max_connections, owner_count, rank, self._is_starting()
        )
        return connections, slots

    def _is_starting(self):
        return self.context.now() - self.created_at < pooling.STARTUP_S

    def _resize_pools(self):
        for pool in self.pools.values():
            self._resize(pool)

    def _resize(self, pool):
        pool.resize(*self._divide(pool.service, pool.spec))

    def _on_full(self, pool):
        """Log that a member's connection limit is reached; resize the pool later."""
        self.context.log.write(
            events.Event.UPSTREAM_FULL, member=pool.spec.name, held=pool.core.size
        )
        pause_s = FULL_RETRY_DELAY_S * (1.0 + self.context.random.random())
        self.context.reactor.callLater(pause_s, self._restore_limit, pool)

    def _restore_limit(self, pool):
        if not pool.closed:
            self._resize(pool)

    def _sweep(self):
        """Apply time limits, and probe silent peers."""
        now = self.context.now()
        idle_s = self.configuration.transaction_idle_s
        for task in list(self.timed_sessions):
            self._run(task.sweep, now, idle_s)
        for pool in self.pools.values():
            self._run(pool.expire, now)
        if self.health is not None:
            self._run(self.health.check_silence, now)
        self._run(self.relay.probe)
        self._run(self.relay.sweep, now, idle_s)
        self.rates.update_part()

    def _refresh_positions(self):
        """Update the log positions of primaries."""
        now = self.context.now()
        self._run(self.cold_starts.update)
        for group in self.groups.values():
            if group.update_primary(now):
                self._log_primary(group)
        self.positions.refresh()

    def _report_changes(self):
        """Log the limits and shares of the members that have changed."""
        now = self.context.now()
        for pool in self.pools.values():
            pool.report_limit(now)
        for group in self.groups.values():
            self.placing.report_shares(group)

    def _close_connections_of_others(self):
        """Close idle connections that another usable instance owns.

        Notes
        -----
        A single connection stays where the primary's position is queried, since
        the query may have to take an account of another instance.
        """
        for pool in self.pools.values():
            if not pool.idle:
                continue
            candidates = self.relay.find_candidates(pool.spec)
            owns = functools.partial(self.owns, pool.spec, candidates)
            if len(pool.open) > 1 or not owns(""):
                pool.close_roles(owns)

    def owns(self, member, candidates, account):
        """Return whether an account's connections to a member belong here."""
        owner = self.relay.choose_owner(member, account, candidates)
        return owner.name == self.context.members.own.name

    def _log_primary(self, group):
        self.context.log.write(
            events.Event.PRIMARY_CHANGED,
            service=group.name,
            primary=group.primary,
            age_s=round(self.context.now() - self.freshness.members_at, 3),
        )


def _fence_session(task):
    task.perform(task.core.on_primary_fenced())
