"""Review of a configuration before it is sent.

`review_fleet` and `compare_fleets` are for the configuration of a hosting
platform (`core.configuration`). `core.resources` has the same for the resources
of the daemon for PostgreSQL members.
"""

from pomelograde.core.review import _findings, _fleet

Change = _findings.Change
Entry = _findings.Entry
Finding = _findings.Finding
FleetEntries = _fleet.FleetEntries
Severity = _findings.Severity
error = _findings.error
warning = _findings.warning
compare_fleets = _fleet.compare_fleets
review_fleet = _fleet.review_fleet

__all__ = [
    "Change",
    "Entry",
    "Finding",
    "FleetEntries",
    "Severity",
    "compare_fleets",
    "error",
    "review_fleet",
    "warning",
]
