"""Watches a group and promotes a member when its primary has failed."""

import enum
import functools

import attrs

from pomelograde.core.failover import _group, _messages

FENCE_TIMEOUT_S = 0.5
FENCE_STRAGGLER_S = 0.1  # wait for further members once a majority is fenced
PROMOTE_TIMEOUT_S = 0.5
WITNESS_TIMEOUT_S = 1.0
UNSETTLED_GRACE_S = 0.4
RANK_DELAY_S = 0.25
RETRY_DELAY_S = 0.1
RETRY_JITTER_S = 0.4
FOLLOW_INTERVAL_S = 0.2


class Step(enum.Enum):
    """Named points of a promotion; an instance may die at each of them."""

    WATCHING = "watching"
    WITNESSING = "witnessing"
    FENCING = "fencing"
    OUTWAITING = "outwaiting"
    PROMOTING = "promoting"
    PROMOTED = "promoted"


class Reason(enum.Enum):
    """Why a promotion starts."""

    UNREACHABLE = "primary_unreachable"
    NO_PRIMARY = "no_primary"
    UNSETTLED = "member_fenced_for_later_term"
    LEAVING = "primary_leaving"


@attrs.define
class Health:
    """What the promoter knows of one member.

    Attributes
    ----------
    status : MemberStatus or None
        Last answer.
    reachable : bool or None
        Whether the last probe was answered; None before the first one.
    probing : bool
        Whether a fresh connection is being tried.
    followed_at : float
        When it was last asked to follow.
    """

    status: _group.MemberStatus | None = None
    reachable: bool | None = None
    probing: bool = False
    followed_at: float = float("-inf")


class Promoter:
    """Decides on the primary of one group, for one instance.

    Parameters
    ----------
    view : GroupView
        What is known of the group; the promoter updates it.
    random : random.Random
        Source of the jitter between attempts.
    rank : int
        Order among the watchers; the first one promotes without delay.

    Attributes
    ----------
    step : Step
        Point that the promotion has reached.
    term : int
        Term of the attempt under way.
    reason : Reason or None
        Why it was started.
    lease_s : float
        Time after the fencing in which the replaced primary's writes may
        still be acknowledged; the promotion waits for it.

    Notes
    -----
    Each attempt uses a term above all that were seen and all that this
    promoter used before, and promotes at most one member in it. A majority of
    members accepts a term for one promoter only. So at most one member leads
    in a term, however many promoters race.
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
        self.refused = set()
        self.step_ends_at = 0.0
        self.not_before = 0.0
        self.highest_fenced = 0
        self.unsettled_since = None
        self.confirmed_since = None
        self.confirmed_for = None
        self.leaving_since = None

    def handle(self, event, now):
        """Take in an event.

        Parameters
        ----------
        event : object
            One of the event classes of this package.
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
        """Drop what is known of the members' health, since it grows old."""
        self.health = {}
        self.confirmed_since = None
        self.unsettled_since = None
        self.leaving_since = None
        self.step = Step.WATCHING

    def known_reachability(self, member):
        """Return what a witness says of a member, or None if it must probe."""
        health = self.health.get(member)
        if health is None or health.probing:
            return None
        return health.reachable

    def _sync_members(self):
        for name in self.view.members:
            self.health.setdefault(name, Health())
        for name in [name for name in self.health if name not in self.view.members]:
            del self.health[name]

    def _majority(self):
        return _group.majority(len(self.view.members))

    def _healthy(self):
        return [name for name, health in self.health.items() if health.reachable]

    def _note_fenced(self, term, now):
        if term > self.highest_fenced:
            self.highest_fenced = term
            self.unsettled_since = now

    def _evaluate(self, now):
        """Start an attempt if there is a reason and it is this one's turn."""
        if self.step is not Step.WATCHING or now < self.not_before:
            return []
        self.reason = self._find_reason(now)
        if self.reason is None:
            return []
        if len(self._healthy()) < self._majority():
            return []
        if self.reason is Reason.UNREACHABLE and self.confirmed_since is None:
            self.step = Step.WITNESSING
            self.step_ends_at = now + WITNESS_TIMEOUT_S
            return [_messages.QueryWitnesses(self.view.primary)]
        return self._fence(now)

    def _find_reason(self, now):
        view = self.view
        delay_s = self.rank * RANK_DELAY_S
        primary = self.health.get(view.primary)
        if self.confirmed_for != (view.term, view.primary):
            self.confirmed_since = None
        is_settled = self.highest_fenced <= view.term
        if is_settled and primary is not None:
            self.unsettled_since = None
        elif self.unsettled_since is None:
            self.unsettled_since = now
        if self.unsettled_since is not None:
            grace_s = UNSETTLED_GRACE_S + self.lease_s + delay_s
            if now - self.unsettled_since < grace_s:
                return None
            return Reason.NO_PRIMARY if primary is None else Reason.UNSETTLED
        if primary.reachable is False:
            since = self.confirmed_since
            waits = since is not None and now - since < delay_s
            return None if waits else Reason.UNREACHABLE
        if self._should_hand_over(now, delay_s):
            return Reason.LEAVING
        return None

    def _should_hand_over(self, now, delay_s):
        members = self.view.members
        heirs = [name for name in self._healthy() if not members[name].leaving]
        wanted = members[self.view.primary].leaving and len(heirs) >= self._majority()
        if not wanted:
            self.leaving_since = None
            return False
        if self.leaving_since is None:
            self.leaving_since = now
        return now - self.leaving_since >= delay_s

    def _fence(self, now):
        self.term = max(self.term, self.highest_fenced, self.view.term) + 1
        self._note_fenced(self.term, now)
        self.step = Step.FENCING
        self.step_ends_at = now + FENCE_TIMEOUT_S
        self.fenced = {}
        self.refused = set()
        return [_messages.Fence(name, self.term) for name in self.view.members]

    def _choose(self):
        """Return the most advanced member of a fenced majority."""
        staying = {
            name: position
            for name, position in self.fenced.items()
            if name in self.view.members and not self.view.members[name].leaving
        }
        candidates = staying if len(staying) >= self._majority() else self.fenced
        return max(candidates, key=lambda name: (candidates[name], name))

    def _on_majority(self, now):
        if self.lease_s <= 0.0:
            return self._promote(now)
        self.step = Step.OUTWAITING
        self.step_ends_at = now + self.lease_s
        return []

    def _promote(self, now):
        self.step = Step.PROMOTING
        self.step_ends_at = now + PROMOTE_TIMEOUT_S
        return [_messages.Promote(self._choose(), self.term)]

    def _give_up(self, now):
        self.step = Step.WATCHING
        self.fenced = {}
        self.confirmed_since = None
        delay_s = RETRY_DELAY_S + self.random.random() * RETRY_JITTER_S
        self.not_before = now + delay_s
        return []

    def _on_step_timeout(self, now):
        if self.step is Step.OUTWAITING:
            return self._promote(now)
        if self.step is Step.FENCING and len(self.fenced) >= self._majority():
            return self._on_majority(now)
        return self._give_up(now)

    def _finish(self, primary, now):
        self.step = Step.WATCHING
        self.fenced = {}
        self.confirmed_since = None
        self.leaving_since = None
        self.view.update_primary(self.term, primary)
        if (self.view.term, self.view.primary) != (self.term, primary):
            return []
        actions = [_messages.PublishPrimary(self.term, primary)]
        for name in self.view.members:
            if name != primary:
                self.health[name].followed_at = now
                actions.append(_messages.Follow(name, self.term, primary))
        return actions

    def _mend(self, status, now):
        """Make a member follow that follows nobody or a replaced primary."""
        view = self.view
        health = self.health[status.name]
        if view.primary in (None, status.name) or status.fenced_term > view.term:
            return []
        follows = status.role == "replica" and status.leader == view.primary
        if follows and status.term == view.term:
            return []
        if now - health.followed_at < FOLLOW_INTERVAL_S:
            return []
        health.followed_at = now
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
    promoter._note_fenced(status.fenced_term, now)
    if status.name == promoter.view.primary:
        promoter.confirmed_since = None
        if promoter.step is Step.WITNESSING:
            promoter.step = Step.WATCHING
    actions = promoter._mend(status, now) if promoter.step is Step.WATCHING else []
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
        return promoter._give_up(now)
    promoter.confirmed_since = now
    promoter.confirmed_for = (promoter.view.term, promoter.view.primary)
    return promoter._evaluate(now)


@_handle.register
def _(event: _messages.FenceAnswered, promoter, now):
    promoter._note_fenced(event.fenced_term, now)
    if promoter.step is not Step.FENCING or event.term != promoter.term:
        return []
    if not event.accepted:
        promoter.refused.add(event.member)
        left = len(promoter.view.members) - len(promoter.refused)
        return promoter._give_up(now) if left < promoter._majority() else []
    promoter.fenced[event.member] = event.position
    if len(promoter.fenced) < promoter._majority():
        return []
    if set(promoter._healthy()) <= set(promoter.fenced):
        return promoter._on_majority(now)
    promoter.step_ends_at = min(promoter.step_ends_at, now + FENCE_STRAGGLER_S)
    return []


@_handle.register
def _(event: _messages.PromoteAnswered, promoter, now):
    if promoter.step is not Step.PROMOTING or event.term != promoter.term:
        return []
    if not event.done:
        return promoter._give_up(now)
    promoter.step = Step.PROMOTED
    return promoter._finish(event.member, now)


@_handle.register
def _(event: _messages.Tick, promoter, now):
    if promoter.step is Step.WATCHING:
        return promoter._evaluate(now)
    if now >= promoter.step_ends_at:
        return promoter._on_step_timeout(now)
    return []
