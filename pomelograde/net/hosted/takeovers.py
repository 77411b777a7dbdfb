"""Failover of database services: replaces their primaries.

A takeover is run by the reader, the instance that reads the store for the
others. It records the takeover in the store, makes all instances stop using
the old primary, waits until the primary leases of instances that do not answer
have expired, and promotes the replica that has received the most of the log.
"""

import attrs
from twisted.internet import defer, task
from twisted.python import failure

from pomelograde.core import (
    configuration,
    membership,
    placement,
    sessions,
    takeovers,
)
from pomelograde.net import events, faults, peer_messages, peers, pools, timers
from pomelograde.net.hosted import state_sync

CHECK_INTERVAL_S = 0.1  # short against the time that detecting a failure takes
CHECK_GAP_S = 0.5  # longer gaps mean that this process was suspended and missed answers
FAILED_GRACE_S = 0.05  # for answers that are already in transit
HOLD_TIMEOUT_S = 1.5  # the longest grace period and a round trip between regions
LEASE_MARGIN_S = 0.2  # for clock drift and answers in transit
MEMBER_TIMEOUT_S = 0.5  # a round trip with processing takes 50 ms
WITNESS_TIMEOUT_S = 0.7  # MEMBER_TIMEOUT_S at the witness and a round trip
CATCH_UP_TIMEOUT_S = 1.5  # the usual replication lag is 0.02 s
POLL_INTERVAL_S = 0.03
PROMOTION_TIMEOUT_S = 2.5  # a promotion takes 1 s at most
RETRY_DELAY_S = 1.0  # after a failed takeover
EVACUATION_RETRY_DELAY_S = 2.0  # the same if the primary works, but is evacuated
NEAR_TIMEOUT_S = 0.5  # for a replica to reach the primary's last known position
MAX_EVACUATION_TAKEOVERS = 32  # at once; each reads the instances from the store
# Time for which no replica's log has grown, from which it is complete although
# the evacuated primary cannot be asked any more. The usual lag is 0.02 s.
SETTLE_TIME_S = 0.3
RECORD_INTERVAL_S = 0.3  # between attempts to record the end of a takeover
MAX_WITNESSES = 2  # near a member, and elsewhere
ROLE_PRIMARY = placement.Role.PRIMARY.value
ROLE_REPLICA = placement.Role.REPLICA.value


class TakeoverTask:
    """Monitors all primaries, and replaces those that are leaving or have failed.

    Parameters
    ----------
    context : HostedContext
        Components that all tasks of the instance share.
    sync : StateSync
        This instance's copy of the store's state.
    proxy : Proxy
        Groups and sessions.
    promoter : PromotionClient
        Client of the platform's promotion service.

    Attributes
    ----------
    running : set of str
        Services with a takeover that this instance is running.
    absent_since : dict of str to float
        Since when each service has had no registered primary.
    checked_at : float
        Time of the last check.
    checking_since : float
        Since when checks have run without a gap of `CHECK_GAP_S`.
    row_version_since : dict of str to tuple
        Row version of each service's last takeover, and when it was first seen.
    failing_at : dict of str to float
        When each service's failing primary was last replaced, or tried to be.
    retry_at : dict of str to float
        Earliest time of the next takeover of a service after a failed one.
    """

    def __init__(self, context, sync, proxy, promoter):
        self.context = context
        self.sync = sync
        self.proxy = proxy
        self.promoter = promoter
        self.running = set()
        self.absent_since = {}
        self.checked_at = float("-inf")
        self.checking_since = float("-inf")
        self.row_version_since = {}
        self.failing_at = {}
        self.retry_at = {}
        self.loop = None
        handlers = context.peers.handlers
        handlers[peer_messages.HoldRequest] = self._on_hold_request
        handlers[peer_messages.WitnessRequest] = self._on_witness_request

    def start(self):
        """Start checking the primaries."""
        self.loop = timers.start_loop(
            self.context, CHECK_INTERVAL_S, self._check, now=False
        )

    def stop(self):
        """Stop checking the primaries."""
        if self.loop is not None and self.loop.running:
            self.loop.stop()

    def set_takeovers(self, latest):
        """Update each service's last takeover; drain primaries that are newly held."""
        now = self.context.now()
        for service, takeover in latest.items():
            seen = self.row_version_since.get(service)
            if seen is None or seen[0] != takeover.row_version:
                self.row_version_since[service] = (takeover.row_version, now)
            self.proxy.set_takeover(takeover)
            if takeover.blocks_primary and seen != self.row_version_since[service]:
                self._start_draining(service, takeovers.PLANNED_GRACE_S)

    def _check(self):
        now = self.context.now()
        if now - self.checked_at > CHECK_GAP_S:
            self.checking_since = now
        self.checked_at = now
        may_act = state_sync.may_act_for_fleet(self.sync, now)
        if not may_act or self.proxy.is_stopping:
            self.absent_since.clear()
            return
        for service, group in self.proxy.groups.items():
            if service in self.running or now < self.retry_at.get(service, now):
                continue
            if not faults.run(self.context, self._check_service, group, now):
                self.retry_at[service] = now + RETRY_DELAY_S

    def _check_service(self, group, now):
        """Start a takeover of a service if there is a reason."""
        service = group.name
        if not self._may_start(service, now):
            return
        reason = takeovers.find_takeover_reason(self._collect_health(group, now))
        takeover = self.sync.fleet.takeovers.get(service)
        is_evacuation = reason is takeovers.Reason.EVACUATED
        if takeover is not None and not takeover.is_done and not is_evacuation:
            # A takeover that was not completed still holds the primary, so one
            # is run again whatever the primary's health. It is logged as ABSENT
            # even if the primary is registered.
            reason = takeovers.Reason.ABSENT
        if is_evacuation and len(self.running) >= MAX_EVACUATION_TAKEOVERS:
            return
        if reason is not None:
            self.running.add(service)
            defer.ensureDeferred(self._run(group, reason))

    def _collect_health(self, group, now):
        """Return the PrimaryHealth of a service's primary."""
        primary = group.members.get(group.primary)
        registered = primary is not None
        absent_for_s = 0.0
        if registered:
            self.absent_since.pop(group.name, None)
        else:
            absent_for_s = now - self.absent_since.setdefault(group.name, now)
        silent_for_s = 0.0
        is_closed = registered and group.is_closed(group.primary, now)
        if registered and primary.position is not None and not is_closed:
            silent_for_s = now - max(primary.position_at, self.checking_since)
        failing_for_s = 0.0
        _, last_change_at = self.row_version_since.get(group.name, (0, float("-inf")))
        last_failing_at = self.failing_at.get(group.name, float("-inf"))
        if registered and group.outliers is not None:
            failing_for_s = group.outliers.failing_for_s(primary.name, now)
        return takeovers.PrimaryHealth(
            primary=group.primary if registered else None,
            is_leaving=registered and primary.leaving,
            member_count=len(group.members),
            absent_for_s=absent_for_s,
            silent_for_s=silent_for_s,
            store_available_for_s=now - self.sync.store_available_since,
            failing_for_s=failing_for_s,
            has_healthy_replica=any(
                not (found is primary or found.leaving or group.is_ejected(found))
                for found in group.members.values()
            ),
            since_failing_s=now - max(last_change_at, last_failing_at),
            is_evacuated=registered and primary.data_centre in group.evacuated,
            can_be_replaced=group.can_replace_primary(),
            synchronous_replicas=self.count_synchronous(group.name),
        )

    def count_synchronous(self, service):
        """Return how many replicas must receive a commit before it is acknowledged."""
        found = self.proxy.configuration.services.get(service)
        return 0 if found is None else found.synchronous_replicas

    def _may_start(self, service, now):
        """Return whether no other instance is running a takeover of the service."""
        takeover = self.sync.fleet.takeovers.get(service)
        unchanged_for_s = 0.0
        if takeover is not None:
            _, since = self.row_version_since.get(service, (0, now))
            unchanged_for_s = now - since
        incarnations = {
            found.name: found.incarnation for found in self.sync.fleet.registered
        }
        own = _format_holder(self.context.members.own)
        era_age_s = now - self.sync.source.era_since
        return takeovers.may_start(
            takeover, own, incarnations, unchanged_for_s, era_age_s
        )

    async def _run(self, group, reason):
        """Run a takeover and log its outcome."""
        service = group.name
        started_at = self.context.now()
        decided_on = self.sync.fleet.takeovers.get(service)
        outcome = "failed"
        try:
            if reason is takeovers.Reason.SILENT:
                is_confirmed = await self._confirm_silence(group)
                outcome = "primary answers"
            elif reason is takeovers.Reason.FAILING:
                self.failing_at[service] = started_at
                is_confirmed = await self._confirm_successor(group)
                outcome = "replicas lag"
            elif reason is takeovers.Reason.EVACUATED:
                is_confirmed = await self._is_replica_near(group)
                outcome = "no candidate"
                if is_confirmed and not self._resumes(service):
                    # Evacuations may have changed during the check.
                    health = self._collect_health(group, self.context.now())
                    is_confirmed = takeovers.find_takeover_reason(health) is not None
                    outcome = "not needed"
            elif reason is takeovers.Reason.LEAVING:
                is_confirmed = not await self._is_contradicted(group)
                outcome = "primary has another id"
            else:
                is_confirmed = True
            if is_confirmed and not self._resumes(service) and not reason.is_planned:
                # Otherwise callers would wait for a takeover that can't end.
                is_confirmed = await self._knows_logs(group)
                outcome = "replica does not answer"
            if is_confirmed and self.sync.fleet.takeovers.get(service) != decided_on:
                # The reason was that of a primary which may be replaced by now.
                is_confirmed = False
                outcome = "somebody else began"
            if is_confirmed:
                outcome = await self._take_over(group, reason)
        except (
            self.sync.source.StoreUnavailableError,
            self.promoter.UnavailableError,
        ) as error:
            outcome = f"unavailable: {error}"
        except Exception:
            timers.log_fault(self.context.log, self._run, failure.Failure())
            outcome = "fault"
        finally:
            self.running.discard(service)
        now = self.context.now()
        # Without a primary, the next takeover is due only if there is still none.
        self.absent_since.pop(service, None)
        if outcome != "promoted":
            self.retry_at[service] = now + (
                EVACUATION_RETRY_DELAY_S
                if reason is takeovers.Reason.EVACUATED
                else RETRY_DELAY_S
            )
        self.context.log.write(
            events.Event.TAKEOVER_ENDED,
            service=service,
            reason=reason.value,
            outcome=outcome,
            s=round(now - started_at, 3),
        )

    def _resumes(self, service):
        """Return whether a takeover that was not completed blocks the primary."""
        takeover = self.sync.fleet.takeovers.get(service)
        return takeover is not None and not takeover.is_done

    async def _take_over(self, group, reason):
        """Run the steps of a takeover; returns the outcome for the log."""
        source = self.sync.source
        service = group.name
        known = await self._find_latest(service)
        # Another instance may have started one while the primary was checked.
        if not self._may_start(service, self.context.now()):
            return "somebody else began"
        old_primary = group.primary if group.primary != known.candidate else None
        self.context.log.write(
            events.Event.TAKEOVER_STARTED,
            service=service,
            reason=reason.value,
            primary=old_primary,
            candidate=known.candidate,
            row_version=known.row_version,
            age_s=round(self.context.now() - self.sync.freshness.members_at, 3),
        )
        holder = _format_holder(self.context.members.own)
        takeover = await source.begin_takeover(known, holder)
        if takeover is None:
            # Read the store again without delay, to learn of that takeover.
            self.sync.members_asked_at = float("-inf")
            return "somebody else began"
        begun_at = self.context.now()
        self.sync.apply_takeover(takeover)
        await self._release_old_primary(takeover, reason.is_planned, begun_at)
        ended, is_promoted = await self._promote(
            group, takeover, old_primary, reason, begun_at
        )
        await self._record_end(ended)
        return "promoted" if is_promoted else "no candidate"

    async def _find_latest(self, service):
        """Return the last Takeover of a service, an empty one if there is none.

        Notes
        -----
        One that was not completed is read from the store: instances of an earlier
        build tell of it without its candidate.
        """
        known = self.sync.fleet.takeovers.get(service)
        if known is None:
            return takeovers.Takeover(service, "", "", 0, 0)
        if known.is_done:
            return known
        _, listed = await self._fetch_takeovers()
        latest = [listed.get(service), self.sync.fleet.takeovers[service]]
        return max(filter(None, latest), key=lambda found: found.row_version)

    async def _record_end(self, takeover):
        """Record the end of a takeover, unless another one has replaced it.

        Notes
        -----
        The store may be unavailable, or have lost the record of the takeover.
        Without the record of its end, the takeover would be run again, and
        replace the member that has just been promoted.
        """
        source = self.sync.source
        while not self.sync.is_stopped:
            try:
                ended = await source.end_takeover(takeover, takeover.successor)
                if ended is not None:
                    self.sync.apply_takeover(ended)
                    self._announce_end(ended)
                    return
                await self._fetch_takeovers()
            except source.StoreUnavailableError as error:
                self._log_step(
                    takeover.service,
                    "end not recorded",
                    fence=takeover.fence,
                    reason=str(error),
                )
            latest = self.sync.fleet.takeovers[takeover.service]
            if latest.row_version > takeover.row_version:
                return
            await self._sleep(RECORD_INTERVAL_S)

    async def _fetch_takeovers(self):
        """Read the takeovers from the store.

        Returns
        -------
        instances : list of Instance
            All registrations.
        listed : dict of str to Takeover
            Latest takeover of each service.
        """
        instances, listed = await self.sync.source.fetch_instances()
        for takeover in listed:
            self.sync.apply_takeover(takeover)
        return instances, {takeover.service: takeover for takeover in listed}

    async def _is_in_force(self, takeover):
        """Return whether the store still holds the record of a takeover.

        Notes
        -----
        If it does not, another instance may be running a takeover of the
        service, or may start one: the record was lost with the store's return
        from an older copy, or was replaced.
        """
        _, listed = await self._fetch_takeovers()
        found = listed.get(takeover.service)
        return found is not None and found.row_version == takeover.row_version

    async def _release_old_primary(self, takeover, planned, begun_at):
        """Return once no instance uses the old primary any more.

        Notes
        -----
        If an instance does not confirm that it has stopped, this waits until
        the lease that it may hold on the primary has expired.
        """
        instances, _ = await self._fetch_takeovers()
        grace_s = takeovers.PLANNED_GRACE_S if planned else FAILED_GRACE_S
        own = self.context.members.own.name
        others = [instance for instance in instances if instance.name != own]
        message = _make_hold_request(takeover, grace_s)
        waiting = [
            defer.ensureDeferred(self._request_hold(instance, message))
            for instance in others
        ]
        waiting.append(self._start_draining(takeover.service, grace_s))
        answers = await defer.gatherResults(waiting)
        silent = [
            instance.name
            for instance, held in zip(others, answers[:-1], strict=True)
            if not held
        ]
        self._log_step(
            takeover.service,
            "held",
            fence=takeover.fence,
            silent=silent,
        )
        until = begun_at + configuration.PRIMARY_LEASE_S + LEASE_MARGIN_S
        if silent and self.context.now() < until:
            await self._sleep(until - self.context.now())

    async def _request_hold(self, instance, message):
        """Ask an instance to stop using a primary; returns whether it confirms."""
        try:
            answer = await self.context.peers.request(instance, message, HOLD_TIMEOUT_S)
        except peers.PeerUnreachableError:
            return False
        return isinstance(answer, peer_messages.Empty)

    def _announce_end(self, takeover):
        """Notify all instances of the outcome of a takeover."""
        message = _make_hold_request(takeover, 0.0)
        for instance in self.sync.fleet.instances:
            if instance.name != self.context.members.own.name:
                self.context.peers.send(instance, message)

    async def _promote(self, group, takeover, old_primary, reason, begun_at):
        """Promote the takeover's candidate, or choose a member and promote it.

        Returns
        -------
        ended : Takeover
            The takeover as its end is to be recorded. Without a promotion, the
            member that was promoted last stays the successor.
        is_promoted : bool
            Whether a member was promoted.

        Notes
        -----
        The replicas receive again in any case. A promotion does not end a pause
        for a higher term, as an earlier attempt at this takeover may have left it.
        """
        self.apply_replica_set(group)
        opened = await self.open_connections(group, old_primary, with_lapsed=True)
        connections = {name: found for name, found in opened.items() if found}
        promotion = None
        try:
            if takeover.candidate:
                promotion = await self._resume_promotion(
                    group, takeover, old_primary, connections
                )
            if promotion is None:
                takeover, promotion = await self._promote_best(
                    group, takeover, old_primary, reason, begun_at, connections
                )
            if promotion is None:
                return takeover, False
            return await self._confirm_promotion(group, promotion, connections), True
        finally:
            promoted = None if promotion is None else promotion.successor
            for name, connection in connections.items():
                is_closed = group.is_closed(name, self.context.now())
                if name not in (old_primary, promoted) and not (
                    connection.is_lost or is_closed
                ):
                    connection.resume(_ignore)
            # The last calls must reach the members before the connections are aborted.
            for connection in connections.values():
                self.context.reactor.callLater(MEMBER_TIMEOUT_S, connection.close)

    async def _resume_promotion(self, group, takeover, old_primary, connections):
        """Promote the candidate of a takeover that was not completed.

        Returns
        -------
        Takeover or None
            The promotion; None if another member is to be chosen.
        """
        name = takeover.candidate
        status = None
        if name in connections:
            status = await self._request_status(connections[name], "ask_status", ())
        is_primary, term, position = status or (False, 0, None)
        led_term = term if is_primary else 0
        step = takeovers.find_step(takeover, led_term, position)
        if step is takeovers.Step.PROMOTE and _is_evacuated(group, name):
            step = takeovers.Step.CHOOSE
        self._log_step(
            group.name,
            "resumed",
            fence=takeover.fence,
            member=name,
            answers=position is not None,
            next=step.value,
        )
        if step is takeovers.Step.CHOOSE:
            return None
        if step is takeovers.Step.PROMOTE and not await self.promoter.promote(
            group.name, name, takeover.fence
        ):
            return None
        promotion = takeovers.make_promotion(takeover, name)
        # An earlier build may have recorded no term of the primary before.
        term = max(promotion.term, led_term or group.term + 1)
        self._step_down(group, old_primary, term, connections)
        return promotion

    async def _promote_best(
        self, group, takeover, old_primary, reason, begun_at, connections
    ):
        """Choose a member and promote it.

        Returns
        -------
        takeover : Takeover
            The takeover as it is recorded.
        promotion : Takeover or None
            The takeover with its successor; None if nobody was promoted.
        """
        candidates, leaders, primary_position, term = await self._find_candidates(
            group, connections, old_primary, reason
        )
        if self.count_synchronous(group.name):
            known = {found.name for found in candidates}
            candidates += await self._find_remote(group, {*known, old_primary})
        requirement = self._make_requirement(
            group, takeover, old_primary, primary_position, candidates, leaders
        )
        chosen = takeovers.choose_successor(candidates, requirement)
        if chosen is None:
            self._log_candidates(
                group, "none chosen", candidates, requirement, fence=takeover.fence
            )
            return takeover, None
        self._log_step(
            group.name,
            "chosen",
            fence=takeover.fence,
            member=chosen.name,
            position=f"{chosen.position.term}.{chosen.position.index}",
            candidates=len(candidates),
            positions={
                found.name: f"{found.position.term}.{found.position.index}"
                for found in candidates
            },
        )
        recorded = await self._record_choice(takeover, chosen)
        if recorded is None:
            return takeover, None
        takeover = recorded
        if self.context.now() - begun_at > takeovers.PROMOTE_DEADLINE_S:
            return takeover, None
        if _is_evacuated(group, chosen.name):
            return takeover, None  # since it was chosen
        if not await self.promoter.promote(group.name, chosen.name, takeover.fence):
            return takeover, None
        self._step_down(group, old_primary, term + 1, connections)
        return takeover, takeovers.make_promotion(takeover, chosen.name)

    async def _record_choice(self, takeover, chosen):
        """Record a Candidate before the platform is asked to promote it.

        Returns
        -------
        Takeover or None
            None if the takeover is not in force any more.

        Notes
        -----
        The answer to a promotion may be late or lost, and this process may end.
        Whoever runs the takeover again then has to go on with the same member.
        """
        if not await self._is_in_force(takeover):
            return None
        choice = takeovers.make_choice(takeover, chosen)
        recorded = await self.sync.source.record_choice(choice)
        if recorded is not None:
            self.sync.apply_takeover(recorded)
        return recorded

    def _step_down(self, group, old_primary, term, connections):
        """Tell former primaries, if they are reached, that a term has begun.

        Notes
        -----
        One whose row has lapsed may go on until it reaches its successor.
        """
        now = self.context.now()
        lapsed = {
            found.name: found
            for found in group.find_lapsed()
            if found.role is placement.Role.PRIMARY
        }
        for name in {old_primary, *lapsed} - {None}:
            if group.is_closed(name, now):
                continue
            if name in connections:
                connections[name].step_down(term, _ignore)
            elif name in lapsed:
                stepping = self._step_down_lapsed(group, lapsed[name], term)
                defer.ensureDeferred(stepping).addErrback(self._on_step_down_fault)

    async def _step_down_lapsed(self, group, member, term):
        """Tell a primary without a row over a new connection that a term has begun."""
        connection = await self.try_open(group, member)
        if connection is None:
            self._log_step(group.name, "not told to step down", member=member.name)
            return
        connection.step_down(term, _ignore)
        # The call must reach the member before the connection is aborted.
        self.context.reactor.callLater(MEMBER_TIMEOUT_S, connection.close)

    def _on_step_down_fault(self, reason):
        timers.log_fault(self.context.log, self._step_down_lapsed, reason)

    async def _confirm_promotion(self, group, promotion, connections):
        """Wait until a promoted member leads.

        Parameters
        ----------
        group : Group
            Database service.
        promotion : Takeover
            The takeover with its successor, and the lowest term that it can lead.
        connections : dict of str to UpstreamConnection
            Connection to each member; one that is lost is opened again.

        Returns
        -------
        Takeover
            With the term that the successor leads; 0 if it was not seen to lead in
            time.

        Notes
        -----
        Until then it acts as a replica, and serves reads from the part of the
        log that it has applied. If this instance doesn't reach it, another one or
        its registration tells.
        """
        name = promotion.successor
        # Its row may lapse while it becomes the primary.
        member = group.members.get(name)
        was_registered = member is not None and member.role is placement.Role.PRIMARY
        until = self.context.now() + PROMOTION_TIMEOUT_S
        while self.context.now() < until:
            member = group.members.get(name, member)
            term = await self._find_led_term(group, member, connections)
            is_registered = member is not None and member.role is placement.Role.PRIMARY
            if name not in connections and is_registered and not was_registered:
                term = max(term, promotion.term)
            if term >= promotion.term:
                return attrs.evolve(promotion, term=term)
            await self._sleep(POLL_INTERVAL_S)
        self._log_step(
            group.name,
            "not seen to lead",
            fence=promotion.fence,
            member=name,
        )
        return attrs.evolve(promotion, term=0)

    async def _find_led_term(self, group, member, connections):
        """Return the term that a member leads, or 0.

        Notes
        -----
        A connection that is lost is opened again. Other instances are asked only
        if the member can't be reached from here.
        """
        if member is None:
            return 0
        connection = connections.pop(member.name, None)
        if connection is None or connection.is_lost:
            connection = await self.try_open(group, member)
        if connection is None:
            return await self._query_led_term(group, member)
        connections[member.name] = connection
        status = await self._request_status(connection, "ask_status", ())
        return status[1] if status is not None and status[0] else 0

    async def _query_led_term(self, group, member):
        """Return the term that a member leads as other instances find it, or 0."""
        answers = await self.query_witnesses(group, member)
        return max(
            (answer.term for answer in answers if answer.role == ROLE_PRIMARY),
            default=0,
        )

    async def open_connections(self, group, old_primary, with_lapsed=False):
        """Return a connection to each member by name; None if there is none.

        Parameters
        ----------
        group : Group
            Database service.
        old_primary : str or None
            The primary that is to be replaced.
        with_lapsed : bool
            Whether the logs of synchronous replicas matter, so that those are asked
            as well whose row is missing.

        Notes
        -----
        In evacuated data centres, only the old primary and synchronous replicas
        are asked, until the evacuation's time limit.
        """
        now = self.context.now()
        is_synchronous = self.count_synchronous(group.name) > 0
        members = [
            member
            for name, member in group.members.items()
            if not _is_evacuated(group, name)
            or (name == old_primary or is_synchronous)
            and not group.is_closed(name, now)
        ]
        if with_lapsed and is_synchronous:
            members += [
                found
                for found in group.find_lapsed()
                if not group.is_closed(found.name, now)
            ]
        opened = await defer.gatherResults(
            [defer.ensureDeferred(self.try_open(group, member)) for member in members]
        )
        names = [member.name for member in members]
        return dict(zip(names, opened, strict=True))

    async def try_open(self, group, member):
        """Return a connection to a member, or None if none can be obtained."""
        try:
            return await self._connect(group, member)
        except pools.UpstreamOpenError as error:
            return self._take_from_pool(member) if error.refused else None

    async def _connect(self, group, member):
        """Open a connection to a member.

        Raises
        ------
        UpstreamOpenError
            If the member refuses it or does not answer in time.
        """
        # The calls of a takeover need no particular client account.
        account = next(iter(self.proxy.configuration.accounts), "")
        opening = defer.ensureDeferred(
            self.proxy.open_connection(
                self.context.reactor,
                group.name,
                member,
                account,
                self.context.settings.host,
            )
        )
        opening.addTimeout(MEMBER_TIMEOUT_S, self.context.reactor)
        try:
            return await opening
        except defer.TimeoutError as error:
            raise pools.UpstreamOpenError("no answer in time") from error

    def _take_from_pool(self, member):
        """Return an idle pooled connection to a member, or None.

        Notes
        -----
        This is for a member that refuses further connections.
        """
        pool = self.proxy.pools.get(member.name)
        if pool is None:
            return None
        roles = {found.role for found in pool.idle}
        taken = (pool.try_acquire(role, needs_room=False) for role in roles)
        return next((found for found in taken if found is not None), None)

    def _make_requirement(
        self, group, takeover, old_primary, primary_position, candidates, leaders
    ):
        """Return the LogRequirement for the old primary's successor.

        Parameters
        ----------
        group : Group
            Database service.
        takeover : Takeover or None
            Its last takeover.
        old_primary : str or None
            The registered primary that is to be replaced.
        primary_position : Position or None
            Position of the old primary; None if it has not answered.
        candidates : list of Candidate
            The replicas that have answered.
        leaders : set of str
            Members without a row that have answered as primaries.

        Notes
        -----
        A replica that is recorded counts whether it has a row or not: it may have
        received a commit that was acknowledged before its row lapsed. The number of
        replicas is unknown after an outage of the store, until the registrations
        that have expired meanwhile are back.
        """
        recorded = self._find_recorded(group.name)
        names = {found.name for found in group.find_all()}
        last_primary = "" if takeover is None else takeover.successor
        if recorded is not None:
            names = group.members.keys() | recorded.names
            last_primary = last_primary or recorded.primary
        replica_count = None
        if self._are_registrations_complete():
            replica_count = takeovers.count_replicas(
                names - leaders,
                [found.name for found in candidates],
                old_primary,
                "" if leaders else last_primary,
            )
        return takeovers.LogRequirement(
            self.count_synchronous(group.name),
            replica_count,
            primary_position,
            None if takeover is None else takeover.log_position,
        )

    def _find_recorded(self, service):
        """Return the ReplicaSet of a service with synchronous replicas, or None."""
        if not self.count_synchronous(service):
            return None
        return self.sync.find_replica_set(service)

    def apply_replica_set(self, group):
        """Set the recorded members of a group, so that they are asked."""
        recorded = self._find_recorded(group.name)
        members = () if recorded is None else recorded.members
        group.recorded = {
            found.name: placement.Member(
                found.name, found.data_centre, host=found.host, port=found.port
            )
            for found in members
        }

    def _are_registrations_complete(self):
        available_for_s = self.context.now() - self.sync.store_available_since
        return available_for_s >= takeovers.STORE_SETTLE_TIME_S

    async def _find_remote(self, group, known):
        """Return Candidates for the members that only other instances reach.

        Parameters
        ----------
        group : Group
            Database service.
        known : set of str
            Members that need not be asked.
        """
        now = self.context.now()
        members = [
            member
            for member in group.find_all()
            if member.name not in known and not group.is_closed(member.name, now)
        ]
        positions = await defer.gatherResults(
            [
                defer.ensureDeferred(self._query_position(group, member))
                for member in members
            ]
        )
        return [
            self._make_candidate(group, member.name, position, "")
            for member, position in zip(members, positions, strict=True)
            if position is not None
        ]

    async def _query_position(self, group, member):
        """Return the position of a replica as other instances find it, or None.

        Notes
        -----
        A primary without a row is no replica, as in `_make_candidates`.
        """
        answers = await self.query_witnesses(group, member)
        if member.name not in group.members:
            answers = [found for found in answers if found.role == ROLE_REPLICA]
        return max(
            (
                sessions.Position(answer.log_term, answer.log_index)
                for answer in answers
                if answer.has_position
            ),
            default=None,
        )

    async def query_witnesses(self, group, member):
        """Return the answers of instances that reach a member, near ones first."""
        message = peer_messages.WitnessRequest(
            group.name, member.name, member.host, member.port, member.data_centre
        )
        own = self.context.members.own.name
        others = [found for found in self.sync.fleet.registered if found.name != own]
        near = [found for found in others if found.data_centre == member.data_centre]
        far = [found for found in others if found.data_centre != member.data_centre]
        answers = await defer.gatherResults(
            [
                defer.ensureDeferred(self._request_witness(instance, message))
                for instance in near[:MAX_WITNESSES] + far[:MAX_WITNESSES]
            ]
        )
        return [found for found in answers if getattr(found, "reachable", False)]

    async def _knows_logs(self, group):
        """Return whether enough replicas answer to tell which commits may be lost.

        Notes
        -----
        This matters only with synchronous replicas. Where other instances reach a
        replica, it counts as answering.
        """
        if not self.count_synchronous(group.name):
            return True
        self.apply_replica_set(group)
        opened = await self.open_connections(group, group.primary, with_lapsed=True)
        replicas = {
            name: found
            for name, found in opened.items()
            if found and name != group.primary
        }
        try:
            states = await self.request_statuses(replicas, "ask_status")
        finally:
            close_all(opened)
        candidates = self._make_candidates(group, states, "")
        known = {*states, group.primary}
        candidates += await self._find_remote(group, known)
        takeover = self.sync.fleet.takeovers.get(group.name)
        requirement = self._make_requirement(
            group,
            takeover,
            group.primary,
            None,
            candidates,
            _find_leaders(group, states),
        )
        if takeovers.choose_successor(candidates, requirement) is not None:
            return True
        self._log_candidates(group, "replicas missing", candidates, requirement)
        return False

    def _log_candidates(self, group, step, candidates, requirement, **fields):
        """Log a step at which none of the Candidates meets a LogRequirement."""
        self._log_step(
            group.name,
            step,
            candidates=sorted(found.name for found in candidates),
            members=sorted(group.members),
            recorded=sorted(group.recorded),
            replicas=requirement.replica_count,
            synchronous=requirement.synchronous_replicas,
            **fields,
        )

    def _make_candidates(self, group, states, old_primary):
        """Return Candidates for the members that have answered with a status.

        Notes
        -----
        Without a row, a replica counts for its log only. A primary without a row
        has been replaced, or is being replaced, and is no replica.
        """
        return [
            self._make_candidate(group, name, position, old_primary)
            for name, (is_primary, _, position) in states.items()
            if name != old_primary and (name in group.members or not is_primary)
        ]

    async def _find_candidates(self, group, connections, old_primary, reason):
        """Return the replicas that may be promoted, and the end of the primary's log.

        Returns
        -------
        candidates : list of Candidate
            The replicas that have answered.
        leaders : set of str
            Members without a row that have answered as primaries.
        primary_position : Position or None
            None if the old primary has not answered.
        highest_term : int
            Highest term that the members have reported.

        Notes
        -----
        A planned takeover first waits until a replica has caught up with the
        primary. Otherwise the replicas are paused, so that their positions do
        not change while they are compared. A primary that only has to leave its
        data centre is not replaced by a member that lacks a part of its log.
        """
        states = await self.request_statuses(connections, "ask_status")
        primary_position = None
        if old_primary in states:
            primary_position = states[old_primary][2]
        terms = [term for _, term, _ in states.values()]
        highest_term = max([group.term, *terms])
        leaders = _find_leaders(group, states)
        replicas = {
            name: found for name, found in connections.items() if name != old_primary
        }
        if reason is takeovers.Reason.EVACUATED:
            states = await self._wait_until_complete(
                group, replicas, states.get(old_primary), old_primary
            )
        elif reason is takeovers.Reason.FAILING and old_primary not in states:
            return [], leaders, None, highest_term
        elif reason.is_planned and old_primary in states:
            target = states[old_primary][2]
            registered = {
                name: found for name, found in replicas.items() if name in group.members
            }
            states = await self._wait_until_caught_up(registered, states, target)
            if reason is takeovers.Reason.FAILING:
                # The old primary stays, so nothing has to be lost.
                states = _select_caught_up(group, states, target)
        else:
            states = await self.request_statuses(replicas, "pause", highest_term + 1)
        candidates = self._make_candidates(group, states, old_primary)
        return candidates, leaders, primary_position, highest_term

    def _make_candidate(self, group, name, position, old_primary):
        """Return the Candidate for a member."""
        member = group.members.get(name)
        if member is None:
            return takeovers.Candidate(name, position, is_registered=False)
        old = group.members.get(old_primary)
        return takeovers.Candidate(
            name,
            position,
            member.leaving,
            old is not None and member.data_centre == old.data_centre,
            self.context.now() < member.cold_until,
            _is_evacuated(group, name),
        )

    async def _confirm_successor(self, group):
        """Return whether a replica that is not ejected has received the log.

        Notes
        -----
        The primary goes on with its statements meanwhile, so this is asked before
        it is blocked: replicas that lag would make the takeover last longer.
        """
        old_primary = group.primary
        opened = await self.open_connections(group, old_primary)
        connections = {name: found for name, found in opened.items() if found}
        try:
            states = await self.request_statuses(connections, "ask_status")
            if old_primary not in states:
                return False
            replicas = {
                name: found
                for name, found in connections.items()
                if name != old_primary
            }
            target = states[old_primary][2]
            states = await self._wait_until_caught_up(replicas, states, target)
            return bool(_select_caught_up(group, states, target))
        finally:
            close_all(opened)

    async def is_log_held(self, group, primary, count):
        """Return whether registered replicas receive all that a primary commits.

        Parameters
        ----------
        group : Group
            Database service.
        primary : str
            Name of its primary.
        count : int
            Number of replicas that must hold the primary's present log.
        """
        opened = await self.open_connections(group, primary)
        connections = {name: found for name, found in opened.items() if found}
        try:
            states = await self.request_statuses(connections, "ask_status")
            if primary not in states or not states[primary][0]:
                return False
            target = states[primary][2]
            replicas = {
                name: found
                for name, found in connections.items()
                if name != primary
                and name in group.members
                and not group.members[name].leaving
            }
            states = await self._wait_until_caught_up(replicas, {}, target, count)
            return _count_holding(states, target) >= count
        finally:
            close_all(opened)

    async def _wait_until_caught_up(self, replicas, states, target, count=1):
        """Wait until so many replicas have received the log up to a position.

        Returns
        -------
        dict of str to tuple
            Last status of each replica that answered.
        """
        until = self.context.now() + CATCH_UP_TIMEOUT_S
        while self.context.now() < until:
            states = await self.request_statuses(replicas, "ask_status")
            if _count_holding(states, target) >= count:
                break
            await self._sleep(POLL_INTERVAL_S)
        return states

    async def _is_replica_near(self, group):
        """Return whether a replica that stays is about as far as the primary.

        Notes
        -----
        Without one, a takeover would hold the primary, and the statements that
        wait for it, for nothing.
        """
        primary = group.members.get(group.primary)
        if primary is None or primary.position is None:
            return True
        target = primary.position
        opened = await self.open_connections(group, old_primary="")
        connections = {
            name: found
            for name, found in opened.items()
            if found and name != primary.name and not group.members[name].leaving
        }
        until = self.context.now() + NEAR_TIMEOUT_S
        try:
            while connections and self.context.now() < until:
                states = await self.request_statuses(connections, "ask_status")
                if any(position >= target for _, _, position in states.values()):
                    return True
                await self._sleep(POLL_INTERVAL_S)
            return False
        finally:
            close_all(opened)

    async def _wait_until_complete(self, group, replicas, primary_status, old_primary):
        """Return the status of the replicas that hold the old primary's whole log.

        Parameters
        ----------
        group : Group
            Database service.
        replicas : dict of str to UpstreamConnection
            Connection to each replica.
        primary_status : tuple or None
            Status of the old primary, which is held; None if it did not answer,
            or may not be asked any more.
        old_primary : str
            Its name.

        Returns
        -------
        dict of str to tuple
            Empty if no replica that stays has caught up in time.

        Notes
        -----
        A primary that cannot be asked any more has been sent nothing since the
        time limit of the evacuation. Its log is then the latest known position,
        or what a replica holds once it has not grown for `SETTLE_TIME_S`. After
        all instances have started again, nobody knows that position; then it is
        what all other members hold, two at least, if they hold the same.
        """
        staying = {
            name: found
            for name, found in replicas.items()
            if name in group.members and not group.members[name].leaving
        }
        member = group.members.get(old_primary)
        target = None if member is None else member.position
        other_count = len(group.members.keys() - {old_primary})
        settle_s = SETTLE_TIME_S
        if primary_status is not None:
            target, settle_s = primary_status[2], 0.0
        elif not group.is_closed(old_primary, self.context.now()):
            return {}
        states = {}
        since = self.context.now()
        until = since + CATCH_UP_TIMEOUT_S
        while self.context.now() < until:
            previous, states = (
                states,
                await self.request_statuses(staying, "ask_status"),
            )
            if _positions(previous) != _positions(states):
                since = self.context.now()
            if target is None:
                is_same = len(set(_positions(states).values())) == 1
                agreed = is_same and len(states) == other_count >= 2
                complete = states if agreed else {}
            else:
                complete = {
                    name: state for name, state in states.items() if state[2] >= target
                }
            if complete and self.context.now() - since >= settle_s:
                return complete
            await self._sleep(POLL_INTERVAL_S)
        return {}

    async def request_statuses(self, connections, call, *arguments):
        """Call a method of connections; returns the status of each that answers.

        Parameters
        ----------
        connections : dict of str to UpstreamConnection
            Connection to each member.
        call : str
            Name of the method; a member answers it with its status.
        *arguments : object
            Arguments of the method, without the callback.
        """
        names = list(connections)
        answers = await defer.gatherResults(
            [self._request_status(connections[name], call, arguments) for name in names]
        )
        return {
            name: found
            for name, found in zip(names, answers, strict=True)
            if found is not None
        }

    def _request_status(self, connection, call, arguments):
        done = defer.Deferred()
        if connection.is_lost:
            done.callback(None)
            return done
        connection.on_lost = lambda outstanding: done.called or done.callback(None)
        getattr(connection, call)(
            *arguments,
            lambda answer: done.called or done.callback(connection.read_status(answer)),
        )
        done.addTimeout(MEMBER_TIMEOUT_S, self.context.reactor)
        done.addErrback(lambda reason: reason.trap(defer.TimeoutError) and None)
        return done

    async def _confirm_silence(self, group):
        """Return whether a primary answers neither this instance nor a witness.

        Notes
        -----
        The witnesses are instances in other data centres. One that cannot be
        reached is ignored.
        """
        primary = group.members.get(group.primary)
        if primary is None:
            return False
        others = [
            instance
            for instance in self.sync.fleet.registered
            if instance.data_centre != self.context.settings.data_centre
        ][:MAX_WITNESSES]
        message = peer_messages.WitnessRequest(group.name, primary.name)
        asked = [
            defer.ensureDeferred(self._query_witness(instance, message))
            for instance in others
        ]
        asked.append(defer.ensureDeferred(self.check_member(group, primary)))
        *witness_answers, answers_here = await defer.gatherResults(asked)
        self._log_step(
            group.name,
            "suspected",
            primary=primary.name,
            silent_s=round(self.context.now() - primary.position_at, 3),
            answers=answers_here,
            witnesses=[str(answer) for answer in witness_answers],
        )
        return not answers_here and True not in witness_answers

    async def _is_contradicted(self, group):
        """Return whether the address of the primary's row answers under another id.

        Notes
        -----
        A position shows that it has answered under the row's id. One that an
        evacuation has closed may not be asked.
        """
        primary = group.members.get(group.primary)
        if primary is None or primary.position is not None:
            return False
        if group.is_closed(primary.name, self.context.now()):
            return False
        known = self.proxy.contradictions
        try:
            connection = await self._connect(group, primary)
        except pools.UpstreamOpenError as error:
            known.record_refusal(group.name, primary, error)
        else:
            connection.close()
            known.record_answer(group.name, primary)
        return primary.name in known.found

    async def _query_witness(self, instance, message):
        """Return whether an instance can reach a member; None if it is unknown."""
        answer = await self._request_witness(instance, message)
        return getattr(answer, "reachable", None)

    async def _request_witness(self, instance, message):
        """Return an instance's answer about a member, or None if there is none."""
        try:
            return await self.context.peers.request(
                instance, message, WITNESS_TIMEOUT_S
            )
        except peers.PeerUnreachableError:
            return None

    async def check_member(self, group, member):
        """Return whether a member answers on a new connection.

        Notes
        -----
        A member that refuses the connection, for example because its
        connection limit is reached, is alive.
        """
        if group.is_closed(member.name, self.context.now()):
            return True  # it may not be asked, so it is not reported as failed
        answers, _ = await self._request_member_status(group, member)
        return answers

    async def _request_member_status(self, group, member):
        """Return whether a member answers on a new connection, and its status or None.

        A position that it tells is recorded.
        """
        asked_at = self.context.now()
        try:
            connection = await self._connect(group, member)
        except pools.UpstreamOpenError as error:
            return error.refused, None
        status = await self._request_status(connection, "ask_status", ())
        connection.close()
        if status is not None:
            group.on_position(member.name, status[2], asked_at)
        return status is not None, status

    def _on_witness_request(self, message, envelope):
        return defer.ensureDeferred(self._check_as_witness(message))

    async def _check_as_witness(self, message):
        group = self.proxy.groups.get(message.group)
        found = [] if group is None else group.find_all()
        member = next((each for each in found if each.name == message.member), None)
        if member is None and group is not None:
            member = _read_member(message)
        if member is None:
            return peer_messages.WitnessAnswer(False)
        if group.is_data_centre_closed(member.data_centre, self.context.now()):
            return peer_messages.WitnessAnswer(True)
        answers, status = await self._request_member_status(group, member)
        if status is None:
            return peer_messages.WitnessAnswer(answers)
        is_primary, term, position = status
        return peer_messages.WitnessAnswer(
            answers,
            ROLE_PRIMARY if is_primary else ROLE_REPLICA,
            term,
            log_term=position.term,
            log_index=position.index,
            has_position=True,
        )

    def _on_hold_request(self, message, envelope):
        """Apply another instance's takeover, and drain the old primary if it is held.

        Returns
        -------
        Deferred or None
            Fires once the operations at the primary have finished or failed; None
            if the takeover has ended.
        """
        takeover = state_sync.decode_takeover(message.takeover[0])
        self.sync.apply_takeover(takeover)
        current = self.sync.fleet.takeovers[takeover.service]
        if not current.blocks_primary:
            return None
        return self._start_draining(takeover.service, message.grace_ms / 1000.0)

    def _start_draining(self, service, grace_s):
        """Wait for operations at a held primary, then fail the rest.

        Returns
        -------
        Deferred
            Fires once no operation is left, or after at most about `grace_s`.
        """
        return defer.ensureDeferred(self._drain_primary(service, grace_s))

    async def _drain_primary(self, service, grace_s):
        until = self.context.now() + grace_s
        while self.proxy.uses_primary(service) and self.context.now() < until:
            await self._sleep(POLL_INTERVAL_S)
        self.proxy.fence_primary(service)

    def _log_step(self, service, step, **fields):
        self.context.log.write(
            events.Event.TAKEOVER_STEP, service=service, step=step, **fields
        )

    def _sleep(self, delay_s):
        return task.deferLater(self.context.reactor, delay_s, _ignore, None)


def _select_caught_up(group, states, target):
    """Return the states of the replicas that hold a position and are not ejected."""
    return {
        name: state
        for name, state in states.items()
        if name != group.primary
        and name in group.members
        and state[2] >= target
        and not group.is_ejected(group.members[name])
    }


def _count_holding(states, target):
    """Return how many members have received the log up to a position."""
    return sum(position >= target for _, _, position in states.values())


def _find_leaders(group, states):
    """Return the members without a row that have answered as primaries."""
    return {
        name
        for name, (is_primary, _, _) in states.items()
        if is_primary and name not in group.members
    }


def _is_evacuated(group, name):
    member = group.members.get(name)
    return member is not None and member.data_centre in group.evacuated


def close_all(opened):
    """Close the connections of `TakeoverTask.open_connections`."""
    for connection in filter(None, opened.values()):
        connection.close()


def _positions(states):
    return {name: state[2] for name, state in states.items()}


def _read_member(message):
    """Return the Member that a WitnessRequest describes; None if it doesn't."""
    has_host = membership.is_ip_address(message.host)
    if not has_host or not membership.is_port(message.port):
        return None
    return placement.Member(
        message.member, message.data_centre, host=message.host, port=message.port
    )


def _format_holder(instance):
    """Return the identifier of an instance's process in `Takeover.holder`."""
    return f"{instance.name}/{instance.incarnation}"


def _make_hold_request(takeover, grace_s):
    return peer_messages.HoldRequest(
        [state_sync.encode_takeover(takeover)], int(grace_s * 1000.0)
    )


def _ignore(value):
    """Do nothing."""
