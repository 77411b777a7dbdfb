"""Rates and bursts of client accounts."""

from pomelograde.core.limits import _allotment, _bucket, _holders, _lease, _share

LOAN_S = _lease.LOAN_S
MAX_WAIT_S = _share.MAX_WAIT_S
PARTS = _lease.PARTS
PREFIX = _lease.PREFIX

Admit = _share.Admit
Borrow = _share.Borrow
Commit = _lease.Commit
Expire = _share.Expire
Holders = _holders.Holders
Loan = _lease.Loan
PeerView = _share.PeerView
Share = _share.Share
ShareLease = _lease.ShareLease
TableRow = _lease.TableRow
TokenBucket = _bucket.TokenBucket
Waiter = _share.Waiter
allot = _allotment.allot

__all__ = [
    "LOAN_S",
    "PARTS",
    "PREFIX",
    "Admit",
    "Borrow",
    "Commit",
    "Expire",
    "Holders",
    "MAX_WAIT_S",
    "Loan",
    "PeerView",
    "Share",
    "ShareLease",
    "TableRow",
    "TokenBucket",
    "Waiter",
    "allot",
]
