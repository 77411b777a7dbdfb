"""Which upstream member a statement is sent to."""

from pomelograde.core.placement import _choose, _group, _keepers

Group = _group.Group
Member = _group.Member
MemberView = _choose.MemberView
Requirement = _group.Requirement
Role = _group.Role
choose_replicas = _choose.choose_replicas
count_keepers = _keepers.count_keepers
covers = _choose.covers

__all__ = [
    "Group",
    "Member",
    "MemberView",
    "Requirement",
    "Role",
    "choose_replicas",
    "count_keepers",
    "covers",
]
