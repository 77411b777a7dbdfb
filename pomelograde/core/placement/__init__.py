"""Which upstream member a statement is sent to."""

from pomelograde.core.placement import _choose, _group

Group = _group.Group
Member = _group.Member
MemberView = _choose.MemberView
Requirement = _group.Requirement
Role = _group.Role
choose_replicas = _choose.choose_replicas
covers = _choose.covers

__all__ = [
    "Group",
    "Member",
    "MemberView",
    "Requirement",
    "Role",
    "choose_replicas",
    "covers",
]
