"""Statement classes and the choice of an upstream."""

from pomelograde.core.routing import _choose, _classify, _patience, _rules

Classifier = _classify.Classifier
MemberView = _choose.MemberView
Patience = _patience.Patience
Statement = _classify.Statement
StatementClass = _classify.StatementClass
choose_replicas = _choose.choose_replicas
covers = _choose.covers
match = _rules.match
merge = _classify.merge

__all__ = [
    "Classifier",
    "MemberView",
    "Patience",
    "Statement",
    "StatementClass",
    "choose_replicas",
    "covers",
    "match",
    "merge",
]
