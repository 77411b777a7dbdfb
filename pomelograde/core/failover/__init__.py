"""Terms, primaries and what is known of database groups."""

from pomelograde.core.failover import _group

GroupView = _group.GroupView
MemberStatus = _group.MemberStatus
majority = _group.majority

__all__ = ["GroupView", "MemberStatus", "majority"]
