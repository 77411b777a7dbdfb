"""Statement classification, routing rules and open routes.

Used by the daemon for PostgreSQL members that `daemon.composition` builds. The
daemon for a hosting platform uses `core.statements`.
"""

from pomelograde.core.routing import _classify, _replica_waits, _routes, _rules

Classifier = _classify.Classifier
OpenRoute = _routes.OpenRoute
ReplicaWaitBreaker = _replica_waits.ReplicaWaitBreaker
Statement = _classify.Statement
StatementClass = _classify.StatementClass
find_open_route = _routes.find_open_route
find_rule = _rules.find_rule
merge_statements = _classify.merge_statements

__all__ = [
    "Classifier",
    "OpenRoute",
    "ReplicaWaitBreaker",
    "Statement",
    "StatementClass",
    "find_open_route",
    "find_rule",
    "merge_statements",
]
