"""Resource kinds, their validation, and the configuration that they form.

Used by the daemon for PostgreSQL members that `daemon.composition` builds. The
daemon for a hosting platform uses `core.configuration`.
"""

from pomelograde.core.resources import (
    _configuration,
    _freshness,
    _kinds,
    _log,
    _references,
    _review,
)

PeerAnswer = _freshness.PeerAnswer
Applied = _log.Applied
Batch = _log.Batch
ClientAccount = _kinds.ClientAccount
ClientAccountKey = _kinds.ClientAccountKey
Compacted = _log.Compacted
Configuration = _configuration.Configuration
ConfigurationLog = _log.ConfigurationLog
DatabaseService = _kinds.DatabaseService
FreshnessTracker = _freshness.FreshnessTracker
Gap = _log.Gap
Ignored = _log.Ignored
KINDS = _kinds.KINDS
MemberSpec = _kinds.MemberSpec
Resource = _configuration.Resource
RoutingRule = _kinds.RoutingRule
check_change = _references.check_change
compare_resources = _review.compare_resources
dump = _kinds.dump
is_valid_name = _references.is_valid_name
review_resources = _review.review_resources
validate = _kinds.validate

__all__ = [
    "PeerAnswer",
    "Applied",
    "Batch",
    "ClientAccount",
    "ClientAccountKey",
    "Compacted",
    "Configuration",
    "ConfigurationLog",
    "DatabaseService",
    "FreshnessTracker",
    "Gap",
    "Ignored",
    "KINDS",
    "MemberSpec",
    "Resource",
    "RoutingRule",
    "check_change",
    "compare_resources",
    "dump",
    "is_valid_name",
    "review_resources",
    "validate",
]
