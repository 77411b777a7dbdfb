"""Health checks, fencing, promotion and write acknowledgement of groups.

Used by the daemon for PostgreSQL members that `daemon.composition` builds. The
daemon for a hosting platform uses `core.takeovers`.
"""

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
QueryEntry = _acknowledgements.QueryEntry
WaitForMajority = _acknowledgements.WaitForMajority
QueryWitnesses = _messages.QueryWitnesses
StatusReceived = _messages.StatusReceived
Fence = _messages.Fence
FenceAnswered = _messages.FenceAnswered
Follow = _messages.Follow
GroupView = _group.GroupView
LEASE_S = _lease.LEASE_S
MemberStatus = _group.MemberStatus
TERM_LIMIT = _group.TERM_LIMIT
ProbeNewConnection = _messages.ProbeNewConnection
Outcome = _acknowledgements.Outcome
PendingWrite = _acknowledgements.PendingWrite
Promote = _messages.Promote
PromoteAnswered = _messages.PromoteAnswered
Promoter = _promoter.Promoter
PublishPrimary = _messages.PublishPrimary
ProbeFailed = _messages.ProbeFailed
Step = _promoter.Step
WitnessReport = _witnesses.WitnessReport
Tick = _messages.Tick
MemberUnreachable = _messages.MemberUnreachable
WitnessesAnswered = _messages.WitnessesAnswered
WriteLease = _lease.WriteLease
choose_watchers = _watchers.choose_watchers
connection_share = _watchers.connection_share
combine_witness_reports = _witnesses.combine_witness_reports
majority = _group.majority

__all__ = [
    "LEASE_S",
    "AcknowledgementQueue",
    "StatusReceived",
    "QueryEntry",
    "WaitForMajority",
    "QueryWitnesses",
    "Fence",
    "FenceAnswered",
    "Follow",
    "GroupView",
    "MemberStatus",
    "TERM_LIMIT",
    "Outcome",
    "PendingWrite",
    "ProbeNewConnection",
    "Promote",
    "PromoteAnswered",
    "Promoter",
    "PublishPrimary",
    "ProbeFailed",
    "Step",
    "WitnessReport",
    "Tick",
    "MemberUnreachable",
    "WitnessesAnswered",
    "WriteLease",
    "choose_watchers",
    "connection_share",
    "combine_witness_reports",
    "majority",
]
