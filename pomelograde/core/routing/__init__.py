"""Statement classes and the choice of an upstream."""

from pomelograde.core.routing import _choose, _classify, _patience, _routes, _rules

Classifier = _classify.Classifier
MemberView = _choose.MemberView
OpenRoute = _routes.OpenRoute
Patience = _patience.Patience
Statement = _classify.Statement
StatementClass = _classify.StatementClass
choose_replicas = _choose.choose_replicas
covers = _choose.covers
find_open_route = _routes.find_open_route
match = _rules.match
merge = _classify.merge

__all__ = [
    "Classifier",
    "MemberView",
    "OpenRoute",
    "Patience",
    "Statement",
    "StatementClass",
    "choose_replicas",
    "covers",
    "find_open_route",
    "match",
    "merge",
]
