"""Selection of the upstream member that a statement is sent to.

`Group`, `Member` and `Role` are used by the daemon for a hosting platform
(`daemon.hosted`). `MemberView`, `covers` and `rank_replicas` are used by the
daemon that `daemon.composition` builds, together with `core.failover`.
"""

from pomelograde.core.placement import (
    _evacuations,
    _expected_time,
    _group,
    _homes,
    _locality,
    _outliers,
    _ranking,
    _restored,
)

Evacuations = _evacuations.Evacuations
EvacuationsRead = _evacuations.EvacuationsRead
Evidence = _outliers.Evidence
Exchange = _locality.Exchange
ExpectedTimes = _expected_time.ExpectedTimes
Fault = _outliers.Fault
Group = _group.Group
Level = _locality.Level
Member = _group.Member
MemberView = _ranking.MemberView
Outliers = _outliers.Outliers
Place = _locality.Place
Report = _expected_time.Report
Requirement = _group.Requirement
REPORT_MAX_AGE_S = _outliers.REPORT_MAX_AGE_S
RestoredMembers = _restored.RestoredMembers
Role = _group.Role
RoundTrips = _locality.RoundTrips
Shares = _locality.Shares
intersect_regions = _homes.intersect_regions
USE_FRACTION = _evacuations.USE_FRACTION
is_placeable = _homes.is_placeable
rank_replicas = _ranking.rank_replicas
covers = _ranking.covers

__all__ = [
    "Evidence",
    "Fault",
    "Exchange",
    "ExpectedTimes",
    "Evacuations",
    "EvacuationsRead",
    "Group",
    "Level",
    "Member",
    "MemberView",
    "Outliers",
    "REPORT_MAX_AGE_S",
    "Place",
    "Report",
    "Requirement",
    "RestoredMembers",
    "Role",
    "USE_FRACTION",
    "RoundTrips",
    "Shares",
    "intersect_regions",
    "is_placeable",
    "rank_replicas",
    "covers",
]
