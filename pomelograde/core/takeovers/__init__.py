"""Decisions about replacing a primary, and the record of a takeover.

Used by the daemon for a hosting platform (`daemon.hosted`). There, takeovers are
recorded in the store, the platform's metadata store, and the platform promotes
the successor. The daemon that `daemon.composition` builds uses `core.failover`.
"""

from pomelograde.core.takeovers import _decide, _takeover

Candidate = _decide.Candidate
LogRequirement = _decide.LogRequirement
PrimaryHealth = _decide.PrimaryHealth
Reason = _decide.Reason
STORE_SETTLE_TIME_S = _decide.STORE_SETTLE_TIME_S
PLANNED_GRACE_S = _takeover.PLANNED_GRACE_S
PROMOTE_DEADLINE_S = _takeover.PROMOTE_DEADLINE_S
Step = _takeover.Step
Takeover = _takeover.Takeover
choose_successor = _decide.choose_successor
find_takeover_reason = _decide.find_takeover_reason
find_step = _takeover.find_step
make_choice = _takeover.make_choice
make_promotion = _takeover.make_promotion
may_start = _takeover.may_start

__all__ = [
    "PLANNED_GRACE_S",
    "PROMOTE_DEADLINE_S",
    "STORE_SETTLE_TIME_S",
    "Candidate",
    "LogRequirement",
    "PrimaryHealth",
    "Reason",
    "Step",
    "Takeover",
    "choose_successor",
    "find_step",
    "find_takeover_reason",
    "make_choice",
    "make_promotion",
    "may_start",
]
