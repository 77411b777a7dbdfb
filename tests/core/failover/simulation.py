"""Simulates competing promoters over an unreliable network, without sockets."""

import functools
import random

from twisted.internet import task

from pomelograde.core import failover, placement
from pomelograde.standins import group as groups

MEMBERS = ("a", "b", "c")


class NullStore:
    """Data store of a member that keeps nothing."""

    def replay(self, statements):
        """Do nothing."""

    def copy_from(self, other):
        """Do nothing."""


class Candidate:
    """A promoter with its own view and its undelivered requests."""

    def __init__(self, name, seed, rank):
        self.holder = name
        self.view = failover.GroupView(
            "g", {member: placement.MemberView(member, "dc") for member in MEMBERS}
        )
        self.promoter = failover.Promoter(self.view, random.Random(seed), rank)
        self.requests = []
        self.alive = True
        self.max_steps = None


class Simulation:
    """A group, its promoters and the requests between them.

    `observe` checks that at most one member acknowledges writes in a term and
    that no acknowledged entry is replaced.
    """

    def __init__(self, promoters=3, seed=7):
        self.clock = task.Clock()
        self.random = random.Random(seed)
        members = [groups.Member(name, "dc", NullStore()) for name in MEMBERS]
        self.group = groups.Group(self.clock, "g", members)
        self.candidates = []
        for number in range(promoters):
            self.add_candidate(f"p{number}/1", number)
        self.acknowledged = {}
        self.acknowledgers = {}
        self.promoted = {}
        self.promotions = 0

    def add_candidate(self, holder, rank):
        """Add a promoter and return it."""
        seed = self.random.random()
        self.candidates.append(Candidate(holder, seed, rank))
        return self.candidates[-1]

    def feed(self, candidate, event):
        """Pass an event to a promoter and queue the actions that it returns."""
        if candidate.alive:
            actions = candidate.promoter.handle(event, self.clock.seconds())
            candidate.requests.extend(actions)

    def probe(self, candidate, name):
        """Probe a member and pass the result to a promoter."""
        member = self.group.members[name]
        if member.is_down():
            self.feed(candidate, failover.ProbeFailed(name))
            return
        status = failover.MemberStatus(
            name,
            member.role,
            member.term,
            member.fenced_term,
            member.position,
            member.leader,
        )
        self.feed(candidate, failover.StatusReceived(status))

    def deliver(self, candidate, index=0, lose_answer=False):
        """Deliver one request of a promoter; its answer may be lost."""
        if candidate.requests:
            request = candidate.requests.pop(index % len(candidate.requests))
            answer = _perform(request, self, candidate)
            if answer is not None and not lose_answer:
                self.feed(candidate, answer)

    def write(self, name):
        """Append an entry on a member if it considers itself the primary."""
        member = self.group.members[name]
        writable = member.role == "primary" and member.fenced_term <= member.term
        if writable and not member.is_down():
            self.group.append(member, ())

    def observe(self):
        """Record and check what each member acknowledges now."""
        for member in self.group.members.values():
            if member.role == "primary":
                assert self.promoted.setdefault(member.term, member.name) == member.name
            held = self.group.held_by_majority(member)
            if held.index and not member.is_down():
                owner = self.acknowledgers.setdefault(held.term, member.name)
                assert owner == member.name, "two members acknowledge in a term"
                for index in range(held.index):
                    term = member.log[index].term
                    known = self.acknowledged.setdefault(index, term)
                    assert known == term, "an acknowledged entry was replaced"

    def churn(self, seed, rounds=40):
        """Run a random schedule of faults, lost messages, crashes and writes.

        Parameters
        ----------
        seed : int
            Seed of the schedule.
        rounds : int
            Number of rounds of 0.05 s each.
        """
        rng = random.Random(seed)
        for _ in range(rounds):
            self.clock.advance(0.05)
            self._change_faults(rng)
            for name in MEMBERS:
                if rng.random() < 0.5:
                    self.write(name)
            for number, candidate in enumerate(self.candidates):
                if rng.random() < 0.02:
                    candidate.alive = False
                    holder = f"p{number}/{rng.random()}"
                    self.add_candidate(holder, number)
                    self.candidates[number] = self.candidates.pop()
                self._act(self.candidates[number], rng)
            self.observe()

    def _change_faults(self, rng):
        for member in self.group.members.values():
            faults = member.faults
            if rng.random() < 0.08:
                faults.paused = not faults.paused
            if rng.random() < 0.1:
                faults.cut_members = rng.sample(MEMBERS, rng.randrange(3))
        self.group.heal()

    def _act(self, candidate, rng):
        """Let a promoter probe some members and deliver some of its requests."""
        for name in MEMBERS:
            if rng.random() < 0.8:
                self.probe(candidate, name)
        self.feed(candidate, failover.Tick())
        for _ in range(len(candidate.requests)):
            if rng.random() < 0.05 and candidate.requests:
                candidate.requests.pop()
            elif rng.random() < 0.8:
                lost = rng.random() < 0.1
                self.deliver(candidate, rng.randrange(8), lost)

    def settle(self, seconds=6.0):
        """End all faults and run until the promoters are done."""
        for member in self.group.members.values():
            member.faults.paused = member.faults.killed = False
            member.faults.cut_members = []
        self.group.heal()
        end = self.clock.seconds() + seconds
        while self.clock.seconds() < end:
            self.step(0.1)

    def step(self, interval_s=0.05):
        """Let all promoters probe all members and deliver all their requests."""
        self.clock.advance(interval_s)
        for candidate in self.candidates:
            for name in MEMBERS:
                self.probe(candidate, name)
            self.feed(candidate, failover.Tick())
            while candidate.alive and candidate.requests:
                self.deliver(candidate)
        self.observe()


@functools.singledispatch
def _perform(request, simulation, candidate):
    raise TypeError(f"unknown request {request!r}")


@_perform.register
def _(request: failover.ProbeNewConnection, simulation, candidate):
    if simulation.group.members[request.member].is_down():
        return failover.MemberUnreachable(request.member)
    simulation.probe(candidate, request.member)
    return None


@_perform.register
def _(request: failover.QueryWitnesses, simulation, candidate):
    return failover.WitnessesAnswered(request.member, False)


@_perform.register
def _(request: failover.Fence, simulation, candidate):
    member = simulation.group.members[request.member]
    if member.is_down():
        return None
    done = simulation.group.fence(member, request.term, candidate.holder)
    simulation.observe()
    return failover.FenceAnswered(
        member.name, request.term, done, member.fenced_term, member.position
    )


@_perform.register
def _(request: failover.Promote, simulation, candidate):
    member = simulation.group.members[request.member]
    if member.is_down():
        return failover.PromoteAnswered(member.name, request.term, False)
    done = simulation.group.promote(member, request.term, candidate.holder)
    simulation.promotions += done
    simulation.observe()
    return failover.PromoteAnswered(member.name, request.term, done)


@_perform.register
def _(request: failover.Follow, simulation, candidate):
    member = simulation.group.members[request.member]
    if not member.is_down():
        simulation.group.follow(member, request.term, request.leader)
        simulation.observe()


@_perform.register
def _(request: failover.PublishPrimary, simulation, candidate):
    return None
