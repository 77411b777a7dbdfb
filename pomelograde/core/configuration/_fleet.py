"""Data model of the fleet's configuration on a hosting platform.

`core.resources` has the data model of the daemon that `daemon.composition` builds.
"""

import attrs

from pomelograde.core.statements import _statements


@attrs.frozen
class ClientAccount:
    """A client account.

    Attributes
    ----------
    name : str
        Name of the account, which is also sent to members.
    keys : frozenset of str
        API keys that authenticate the account.
    rate_per_s : float
        Operations per second, over all instances together.
    burst : float
        Capacity of the token bucket: operations that may arrive at once, over
        all instances together.
    allowed_regions : frozenset of str
        Regions that its statements may reach; empty if all.
    """

    name: str
    keys: frozenset = attrs.field(repr=False)
    rate_per_s: float
    burst: float
    allowed_regions: frozenset = frozenset()


@attrs.frozen
class DatabaseService:
    """A replicated database.

    Attributes
    ----------
    name : str
        Name of the database service.
    max_connections : int
        Connections that each member accepts from all instances together.
    synchronous_replicas : int
        Replicas that must have received a commit before it is acknowledged.
    cold_start_s : float
        Time for which a member is cold after its start; 0.0 if it is never cold.
    cold_rate_per_s : float
        Statements per second that a cold member may get, from all instances
        together; 0.0 if there is no limit.
    """

    name: str
    max_connections: int
    synchronous_replicas: int = 0
    cold_start_s: float = 0.0
    cold_rate_per_s: float = 0.0


@attrs.frozen
class FleetConfiguration:
    """An immutable version of the configuration.

    Attributes
    ----------
    version : int
        Version number set by the operator; increases with each change.
    routes : dict of str to Route
        Routes by database name.
    accounts : dict of str to ClientAccount
        Client accounts by name.
    services : dict of str to DatabaseService
        Database services by name.
    transaction_idle_s : float
        Idle time after which an open transaction may be ended.
    account_by_key : dict of str to str
        Name of the client account that each key authenticates.
    """

    version: int = 0
    routes: dict[str, _statements.Route] = attrs.field(factory=dict)
    accounts: dict[str, ClientAccount] = attrs.field(factory=dict)
    services: dict[str, DatabaseService] = attrs.field(factory=dict)
    transaction_idle_s: float = 3.0
    account_by_key: dict[str, str] = attrs.field(init=False, repr=False)

    def __attrs_post_init__(self):
        by_key = {
            key: account.name
            for account in self.accounts.values()
            for key in account.keys
        }
        object.__setattr__(self, "account_by_key", by_key)
