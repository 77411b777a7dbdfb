"""Kinds of resources, their checks, and the configuration they make up."""

from pomelograde.core.resources import (
    _configuration,
    _evidence,
    _kinds,
    _log,
    _references,
)

Answer = _evidence.Answer
Applied = _log.Applied
Batch = _log.Batch
ClientAccount = _kinds.ClientAccount
ClientAccountKey = _kinds.ClientAccountKey
Compacted = _log.Compacted
Configuration = _configuration.Configuration
ConfigurationLog = _log.ConfigurationLog
DatabaseService = _kinds.DatabaseService
Evidence = _evidence.Evidence
Gap = _log.Gap
Ignored = _log.Ignored
KINDS = _kinds.KINDS
MemberSpec = _kinds.MemberSpec
Resource = _configuration.Resource
RoutingRule = _kinds.RoutingRule
check_change = _references.check_change
dump = _kinds.dump
validate = _kinds.validate

__all__ = [
    "Answer",
    "Applied",
    "Batch",
    "ClientAccount",
    "ClientAccountKey",
    "Compacted",
    "Configuration",
    "ConfigurationLog",
    "DatabaseService",
    "Evidence",
    "Gap",
    "Ignored",
    "KINDS",
    "MemberSpec",
    "Resource",
    "RoutingRule",
    "check_change",
    "dump",
    "validate",
]
