"""Statement classes and the choice of an upstream."""

from pomelograde.core.routing import _choose, _classify

Classifier = _classify.Classifier
MemberView = _choose.MemberView
Statement = _classify.Statement
StatementClass = _classify.StatementClass
choose_replicas = _choose.choose_replicas
covers = _choose.covers

__all__ = [
    "Classifier",
    "MemberView",
    "Statement",
    "StatementClass",
    "choose_replicas",
    "covers",
]
