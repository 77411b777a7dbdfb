"""Decisions about replacing a primary, and the record of a takeover."""

from pomelograde.core.takeovers import _decide, _takeover

Candidate = _decide.Candidate
PrimaryHealth = _decide.PrimaryHealth
Reason = _decide.Reason
PROMOTE_DEADLINE_S = _takeover.PROMOTE_DEADLINE_S
Takeover = _takeover.Takeover
choose_successor = _decide.choose_successor
find_reason = _decide.find_reason
may_start = _takeover.may_start

__all__ = [
    "PROMOTE_DEADLINE_S",
    "Candidate",
    "PrimaryHealth",
    "Reason",
    "Takeover",
    "choose_successor",
    "find_reason",
    "may_start",
]
