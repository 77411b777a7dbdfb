"""Decisions about replacing a primary, and the record of a takeover.

Used by the daemon for a hosting platform (`daemon.hosted`). There, takeovers are
recorded in the store, the platform's metadata store, and the platform promotes
the successor. The daemon that `daemon.composition` builds uses `core.failover`.
"""

from pomelograde.core.takeovers import _decide, _replica_set, _takeover

Candidate = _decide.Candidate
LogRequirement = _decide.LogRequirement
PrimaryHealth = _decide.PrimaryHealth
Reason = _decide.Reason
RecordedMember = _replica_set.RecordedMember
ReplicaSet = _replica_set.ReplicaSet
STORE_SETTLE_TIME_S = _decide.STORE_SETTLE_TIME_S
PLANNED_GRACE_S = _takeover.PLANNED_GRACE_S
PROMOTE_DEADLINE_S = _takeover.PROMOTE_DEADLINE_S
Step = _takeover.Step
Takeover = _takeover.Takeover
choose_successor = _decide.choose_successor
count_replicas = _replica_set.count_replicas
find_takeover_reason = _decide.find_takeover_reason
find_step = _takeover.find_step
make_choice = _takeover.make_choice
make_promotion = _takeover.make_promotion
make_replica_set = _replica_set.make_replica_set
may_start = _takeover.may_start
select_replica_set = _replica_set.select_replica_set
update_replica_set = _replica_set.update_replica_set

__all__ = [
    "PLANNED_GRACE_S",
    "PROMOTE_DEADLINE_S",
    "STORE_SETTLE_TIME_S",
    "Candidate",
    "LogRequirement",
    "PrimaryHealth",
    "Reason",
    "RecordedMember",
    "ReplicaSet",
    "Step",
    "Takeover",
    "choose_successor",
    "count_replicas",
    "find_step",
    "find_takeover_reason",
    "make_choice",
    "make_promotion",
    "make_replica_set",
    "may_start",
    "select_replica_set",
    "update_replica_set",
]
