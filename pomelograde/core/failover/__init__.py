"""Health, terms, fencing and promotion of database groups."""

from pomelograde.core.failover import (
    _acknowledgements,
    _group,
    _lease,
    _messages,
    _promoter,
    _watchers,
    _witnesses,
)

AcknowledgementQueue = _acknowledgements.AcknowledgementQueue
AskHolds = _acknowledgements.AskHolds
AskMajority = _acknowledgements.AskMajority
AskWitnesses = _messages.AskWitnesses
Answered = _messages.Answered
Fence = _messages.Fence
FenceAnswered = _messages.FenceAnswered
Follow = _messages.Follow
GroupView = _group.GroupView
LEASE_S = _lease.LEASE_S
MemberStatus = _group.MemberStatus
ProbeFresh = _messages.ProbeFresh
Outcome = _acknowledgements.Outcome
PendingWrite = _acknowledgements.PendingWrite
Promote = _messages.Promote
PromoteAnswered = _messages.PromoteAnswered
Promoter = _promoter.Promoter
Publish = _messages.Publish
Silent = _messages.Silent
Step = _promoter.Step
Testimony = _witnesses.Testimony
Tick = _messages.Tick
Unreachable = _messages.Unreachable
Witnessed = _messages.Witnessed
WriteLease = _lease.WriteLease
choose_watchers = _watchers.choose_watchers
connection_share = _watchers.connection_share
judge_witnesses = _witnesses.judge_witnesses
majority = _group.majority

__all__ = [
    "LEASE_S",
    "AcknowledgementQueue",
    "Answered",
    "AskHolds",
    "AskMajority",
    "AskWitnesses",
    "Fence",
    "FenceAnswered",
    "Follow",
    "GroupView",
    "MemberStatus",
    "Outcome",
    "PendingWrite",
    "ProbeFresh",
    "Promote",
    "PromoteAnswered",
    "Promoter",
    "Publish",
    "Silent",
    "Step",
    "Testimony",
    "Tick",
    "Unreachable",
    "Witnessed",
    "WriteLease",
    "choose_watchers",
    "connection_share",
    "judge_witnesses",
    "majority",
]
