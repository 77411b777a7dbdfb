"""Fleet configuration, and how long cached data may be used.

Used by the daemon for a hosting platform (`daemon.hosted`). The daemon that
`daemon.composition` builds uses `core.resources`.
"""

from pomelograde.core.configuration import _fleet, _freshness

ClientAccount = _fleet.ClientAccount
DatabaseService = _fleet.DatabaseService
FleetConfiguration = _fleet.FleetConfiguration
Freshness = _freshness.Freshness
KEY_MARGIN_S = _freshness.KEY_MARGIN_S
PRIMARY_LEASE_S = _freshness.PRIMARY_LEASE_S

__all__ = [
    "ClientAccount",
    "DatabaseService",
    "FleetConfiguration",
    "KEY_MARGIN_S",
    "PRIMARY_LEASE_S",
    "Freshness",
]
