"""Decides when a group's primary is replaced and which member is promoted."""

import enum
import functools

import attrs

from pomelograde.core.failover import _group, _messages

FENCE_TIMEOUT_S = 0.5
FENCE_STRAGGLER_S = 0.1  # wait for the other members once a majority is fenced
PROMOTE_TIMEOUT_S = 0.5
WITNESS_TIMEOUT_S = 1.0
UNKNOWN_PRIMARY_GRACE_S = 0.4
RANK_DELAY_S = 0.25  # for each watcher that ranks before this one
RETRY_DELAY_S = 0.1
RETRY_JITTER_S = 0.4
FOLLOW_INTERVAL_S = 0.2  # minimum time between requests to one member


class Step(enum.Enum):
    """Steps of a promotion; an instance may crash in any of them.

    Attributes
    ----------
    WATCHING
        No attempt is under way.
    WITNESSING
        The witnesses are asked whether they reach the primary.
    FENCING
        The members are asked to refuse all earlier terms.
    AWAITING_LEASE_EXPIRY
        A majority is fenced; waiting until write leases of the replaced
        primary have expired.
    PROMOTING
        The chosen member is asked to become the primary.
    PROMOTED
        The member is the primary; its promotion is about to be announced.
    """

    WATCHING = "watching"
    WITNESSING = "witnessing"
    FENCING = "fencing"
    AWAITING_LEASE_EXPIRY = "outwaiting"
    PROMOTING = "promoting"
    PROMOTED = "promoted"


class Reason(enum.Enum):
    """Reason for a promotion."""

    PRIMARY_UNREACHABLE = "primary_unreachable"
    NO_PRIMARY = "no_primary"
    FENCED_FOR_LATER_TERM = "member_fenced_for_later_term"
    PRIMARY_LEAVING = "primary_leaving"


@attrs.define
class MemberHealth:
    """Health of one member.

    Attributes
    ----------
    status : MemberStatus or None
        Last status that the member sent.
    reachable : bool or None
        Result of the last probe; None before the first one.
    probing : bool
        Whether a probe over a new connection is under way.
    follow_sent_at : float
        Monotonic time, in seconds, of the last request to follow the primary.
    """

    status: _group.MemberStatus | None = None
    reachable: bool | None = None
    probing: bool = False
    follow_sent_at: float = float("-inf")


class Promoter:
    """Runs the failover protocol of one group on one instance.

    Parameters
    ----------
    view : GroupView
        Known state of the group; the promoter updates it.
    random : random.Random
        Source of the jitter between attempts.
    rank : int
        Position among the watchers. The first one starts without delay, each
        further one `RANK_DELAY_S` later.

    Attributes
    ----------
    step : Step
        Current step.
    term : int
        Term of the last attempt.
    reason : Reason or None
        Reason for the attempt that is due or under way.
    lease_s : float
        Time after fencing during which instances may still acknowledge writes
        of the replaced primary under a lease; the promotion waits for it.
    primary_unknown_since : float or None
        Start of the grace period before an attempt that has no known primary, or
        follows a term above the primary's; a higher fenced term restarts it.

    Notes
    -----
    Each attempt uses a term above all terms that this promoter has seen or
    used, and promotes at most one member in it. A majority of members accepts
    a term from one promoter only. So there is at most one primary in a term,
    however many promoters compete.
    """

    def __init__(self, view, random, rank=0):
        self.view = view
        self.random = random
        self.rank = rank
        self.health = {}
        self.step = Step.WATCHING
        self.term = 0
        self.reason = None
        self.lease_s = 0.0
        self.fenced = {}
        self.rejected = set()
        self.step_deadline = 0.0
        self.next_attempt_at = 0.0
        self.highest_fenced_term = 0
        self.primary_unknown_since = None
        self.outage_confirmed_at = None
        self.outage_confirmed_for = None
        self.leaving_since = None

    def handle(self, event, now):
        """Process an event.

        Parameters
        ----------
        event : object
            An event; see `_messages`.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of object
            Actions to carry out, in order.
        """
        self._sync_members()
        return _handle(event, self, now)

    def reset_health(self):
        """Discard the members' health, which is outdated after a pause in probing."""
        self.health = {}
        self.outage_confirmed_at = None
        self.primary_unknown_since = None
        self.leaving_since = None
        self.step = Step.WATCHING

    def known_reachability(self, member):
        """Return whether a member is reachable, or None if it must be probed first."""
        health = self.health.get(member)
        if health is None or health.probing:
            return None
        return health.reachable

    def _sync_members(self):
        for name in self.view.members:
            self.health.setdefault(name, MemberHealth())
        for name in [name for name in self.health if name not in self.view.members]:
            del self.health[name]

    def _majority(self):
        return _group.majority(len(self.view.members))

    def _healthy(self):
        return [name for name, health in self.health.items() if health.reachable]

    def _record_fenced_term(self, term, now):
        if term > self.highest_fenced_term:
            self.highest_fenced_term = term
            self.primary_unknown_since = now

    def _evaluate(self, now):
        """Start an attempt if there is a reason and this watcher's delay is over."""
        if self.step is not Step.WATCHING or now < self.next_attempt_at:
            return []
        self.reason = self._find_reason(now)
        if self.reason is None:
            return []
        if len(self._healthy()) < self._majority():
            return []
        if (
            self.reason is Reason.PRIMARY_UNREACHABLE
            and self.outage_confirmed_at is None
        ):
            self.step = Step.WITNESSING
            self.step_deadline = now + WITNESS_TIMEOUT_S
            return [_messages.QueryWitnesses(self.view.primary)]
        return self._start_fencing(now)

    def _find_reason(self, now):
        view = self.view
        delay_s = self.rank * RANK_DELAY_S
        primary = self.health.get(view.primary)
        if self.outage_confirmed_for != (view.term, view.primary):
            self.outage_confirmed_at = None
        is_latest_term = self.highest_fenced_term <= view.term
        if is_latest_term and primary is not None:
            self.primary_unknown_since = None
        elif self.primary_unknown_since is None:
            self.primary_unknown_since = now
        if self.primary_unknown_since is not None:
            grace_s = UNKNOWN_PRIMARY_GRACE_S + self.lease_s + delay_s
            if now - self.primary_unknown_since < grace_s:
                return None
            return (
                Reason.NO_PRIMARY if primary is None else Reason.FENCED_FOR_LATER_TERM
            )
        if primary.reachable is False:
            since = self.outage_confirmed_at
            waits = since is not None and now - since < delay_s
            return None if waits else Reason.PRIMARY_UNREACHABLE
        if self._should_hand_over(now, delay_s):
            return Reason.PRIMARY_LEAVING
        return None

    def _should_hand_over(self, now, delay_s):
        members = self.view.members
        successors = [name for name in self._healthy() if not members[name].leaving]
        wanted = (
            members[self.view.primary].leaving and len(successors) >= self._majority()
        )
        if not wanted:
            self.leaving_since = None
            return False
        if self.leaving_since is None:
            self.leaving_since = now
        return now - self.leaving_since >= delay_s

    def _start_fencing(self, now):
        self.term = max(self.term, self.highest_fenced_term, self.view.term) + 1
        self._record_fenced_term(self.term, now)
        self.step = Step.FENCING
        self.step_deadline = now + FENCE_TIMEOUT_S
        self.fenced = {}
        self.rejected = set()
        return [_messages.Fence(name, self.term) for name in self.view.members]

    def _choose_successor(self):
        """Return the fenced member with the most advanced log.

        Skips members that are being removed, unless fewer than a majority of
        members would be left.
        """
        staying = {
            name: position
            for name, position in self.fenced.items()
            if name in self.view.members and not self.view.members[name].leaving
        }
        candidates = staying if len(staying) >= self._majority() else self.fenced
        return max(candidates, key=lambda name: (candidates[name], name))

    def _on_majority_fenced(self, now):
        if self.lease_s <= 0.0:
            return self._promote(now)
        self.step = Step.AWAITING_LEASE_EXPIRY
        self.step_deadline = now + self.lease_s
        return []

    def _promote(self, now):
        self.step = Step.PROMOTING
        self.step_deadline = now + PROMOTE_TIMEOUT_S
        return [_messages.Promote(self._choose_successor(), self.term)]

    def _abort(self, now):
        self.step = Step.WATCHING
        self.fenced = {}
        self.outage_confirmed_at = None
        delay_s = RETRY_DELAY_S + self.random.random() * RETRY_JITTER_S
        self.next_attempt_at = now + delay_s
        return []

    def _on_step_timeout(self, now):
        if self.step is Step.AWAITING_LEASE_EXPIRY:
            return self._promote(now)
        if self.step is Step.FENCING and len(self.fenced) >= self._majority():
            return self._on_majority_fenced(now)
        return self._abort(now)

    def _finish(self, primary, now):
        self.step = Step.WATCHING
        self.fenced = {}
        self.outage_confirmed_at = None
        self.leaving_since = None
        self.view.update_primary(self.term, primary)
        if (self.view.term, self.view.primary) != (self.term, primary):
            return []
        actions = [_messages.PublishPrimary(self.term, primary)]
        for name in self.view.members:
            if name != primary:
                self.health[name].follow_sent_at = now
                actions.append(_messages.Follow(name, self.term, primary))
        return actions

    def _repair_follower(self, status, now):
        """Make a member follow the primary unless it does so already."""
        view = self.view
        health = self.health[status.name]
        if view.primary in (None, status.name) or status.fenced_term > view.term:
            return []
        follows = status.role == "replica" and status.leader == view.primary
        if follows and status.term == view.term:
            return []
        if now - health.follow_sent_at < FOLLOW_INTERVAL_S:
            return []
        health.follow_sent_at = now
        return [_messages.Follow(status.name, view.term, view.primary)]


@functools.singledispatch
def _handle(event, promoter, now):
    raise TypeError(f"unknown event {event!r}")


@_handle.register
def _(event: _messages.StatusReceived, promoter, now):
    status = event.status
    health = promoter.health.get(status.name)
    if health is None:
        return []
    health.status = status
    health.reachable = True
    health.probing = False
    promoter.view.apply(status, now)
    promoter._record_fenced_term(status.fenced_term, now)
    if status.name == promoter.view.primary:
        promoter.outage_confirmed_at = None
        if promoter.step is Step.WITNESSING:
            promoter.step = Step.WATCHING
    actions = (
        promoter._repair_follower(status, now) if promoter.step is Step.WATCHING else []
    )
    return [*actions, *promoter._evaluate(now)]


@_handle.register
def _(event: _messages.ProbeFailed, promoter, now):
    health = promoter.health.get(event.member)
    if health is None or health.probing:
        return []
    health.probing = True
    return [_messages.ProbeNewConnection(event.member)]


@_handle.register
def _(event: _messages.MemberUnreachable, promoter, now):
    health = promoter.health.get(event.member)
    if health is None:
        return []
    health.probing = False
    health.reachable = False
    promoter.view.members[event.member].reachable = False
    return promoter._evaluate(now)


@_handle.register
def _(event: _messages.WitnessesAnswered, promoter, now):
    if promoter.step is not Step.WITNESSING or event.member != promoter.view.primary:
        return []
    promoter.step = Step.WATCHING
    if event.reachable:
        return promoter._abort(now)
    promoter.outage_confirmed_at = now
    promoter.outage_confirmed_for = (promoter.view.term, promoter.view.primary)
    return promoter._evaluate(now)


@_handle.register
def _(event: _messages.FenceAnswered, promoter, now):
    promoter._record_fenced_term(event.fenced_term, now)
    if promoter.step is not Step.FENCING or event.term != promoter.term:
        return []
    if not event.accepted:
        promoter.rejected.add(event.member)
        remaining = len(promoter.view.members) - len(promoter.rejected)
        return promoter._abort(now) if remaining < promoter._majority() else []
    promoter.fenced[event.member] = event.position
    if len(promoter.fenced) < promoter._majority():
        return []
    if set(promoter._healthy()) <= set(promoter.fenced):
        return promoter._on_majority_fenced(now)
    promoter.step_deadline = min(promoter.step_deadline, now + FENCE_STRAGGLER_S)
    return []


@_handle.register
def _(event: _messages.PromoteAnswered, promoter, now):
    if promoter.step is not Step.PROMOTING or event.term != promoter.term:
        return []
    if not event.done:
        return promoter._abort(now)
    promoter.step = Step.PROMOTED
    return promoter._finish(event.member, now)


@_handle.register
def _(event: _messages.Tick, promoter, now):
    if promoter.step is Step.WATCHING:
        return promoter._evaluate(now)
    if now >= promoter.step_deadline:
        return promoter._on_step_timeout(now)
    return []
