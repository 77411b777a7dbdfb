"""Rate limits of client accounts, divided between the instances."""

from pomelograde.core.limits import (
    _bucket,
    _cold_starts,
    _compensation,
    _division,
    _holders,
    _lease,
    _share,
)

BORROW_TIMEOUT_S = _share.BORROW_TIMEOUT_S
LOAN_DURATION_S = _lease.LOAN_DURATION_S
MAX_WAIT_S = _share.MAX_WAIT_S
TOTAL_PARTS = _lease.TOTAL_PARTS
TABLE_PREFIX = _lease.TABLE_PREFIX

Admit = _share.Admit
Borrow = _share.Borrow
ColdPace = _cold_starts.ColdPace
Commit = _lease.Commit
Expire = _share.Expire
Holders = _holders.Holders
Loan = _lease.Loan
PeerState = _share.PeerState
RateDivision = _division.RateDivision
RateShare = _share.RateShare
ShareLease = _lease.ShareLease
TableRow = _lease.TableRow
TokenBucket = _bucket.TokenBucket
Waiter = _share.Waiter
choose_sender = _cold_starts.choose_sender
compensated_limits = _compensation.compensated_limits
read_parts = _lease.read_parts

__all__ = [
    "BORROW_TIMEOUT_S",
    "LOAN_DURATION_S",
    "TOTAL_PARTS",
    "TABLE_PREFIX",
    "Admit",
    "Borrow",
    "ColdPace",
    "Commit",
    "Expire",
    "Holders",
    "MAX_WAIT_S",
    "Loan",
    "PeerState",
    "RateDivision",
    "RateShare",
    "ShareLease",
    "TableRow",
    "TokenBucket",
    "Waiter",
    "choose_sender",
    "compensated_limits",
    "read_parts",
]
