"""Fleet configuration, and how long cached knowledge may be used."""

from pomelograde.core.configuration import _fleet, _freshness

ClientAccount = _fleet.ClientAccount
DatabaseService = _fleet.DatabaseService
FleetConfiguration = _fleet.FleetConfiguration
Freshness = _freshness.Freshness
PRIMARY_LEASE_S = _freshness.PRIMARY_LEASE_S

__all__ = [
    "ClientAccount",
    "DatabaseService",
    "FleetConfiguration",
    "PRIMARY_LEASE_S",
    "Freshness",
]
