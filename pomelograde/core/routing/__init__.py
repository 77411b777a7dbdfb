"""Statement classes and the choice of an upstream."""

from pomelograde.core.routing import _classify, _patience, _routes, _rules

Classifier = _classify.Classifier
OpenRoute = _routes.OpenRoute
Patience = _patience.Patience
Statement = _classify.Statement
StatementClass = _classify.StatementClass
find_open_route = _routes.find_open_route
match = _rules.match
merge = _classify.merge

__all__ = [
    "Classifier",
    "OpenRoute",
    "Patience",
    "Statement",
    "StatementClass",
    "find_open_route",
    "match",
    "merge",
]
