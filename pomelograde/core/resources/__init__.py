"""Kinds of resources, their checks, and the configuration they make up."""

from pomelograde.core.resources import _configuration, _kinds

ClientAccount = _kinds.ClientAccount
ClientAccountKey = _kinds.ClientAccountKey
Configuration = _configuration.Configuration
DatabaseService = _kinds.DatabaseService
KINDS = _kinds.KINDS
MemberSpec = _kinds.MemberSpec
Resource = _configuration.Resource
RoutingRule = _kinds.RoutingRule
dump = _kinds.dump
validate = _kinds.validate

__all__ = [
    "KINDS",
    "ClientAccount",
    "ClientAccountKey",
    "Configuration",
    "DatabaseService",
    "MemberSpec",
    "Resource",
    "RoutingRule",
    "dump",
    "validate",
]
