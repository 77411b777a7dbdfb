"""Kinds of resources that operators manage."""

import attrs

from pomelograde.core import checks
from pomelograde.core.accounts import _verifier


@attrs.frozen
class MemberSpec:
    """One member of a database group.

    Attributes
    ----------
    name : str
        Name, unique within the group.
    host : str
        IP address.
    port : int
        TCP port.
    data_centre : str
        Data centre of the member.
    slots : int
        Number of statements that the member runs concurrently.
    connection_limit : int
        Number of connections that the member accepts, across all instances.
    leaving : bool
        Whether the member is being removed and gets no new work.
    """

    name: str = attrs.field(validator=checks.label)
    host: str = attrs.field(validator=checks.ip_address)
    port: int = attrs.field(validator=checks.port)
    data_centre: str = attrs.field(validator=checks.label)
    slots: int = attrs.field(default=3, validator=checks.positive)
    connection_limit: int = attrs.field(default=20, validator=checks.positive)
    leaving: bool = False


@attrs.frozen
class DatabaseService:
    """A replicated database that callers connect to by name.

    Attributes
    ----------
    members : list of MemberSpec
        Members of the group.
    database : str
        Name of the database on the members.
    acknowledgement : str
        When a write is acknowledged: "majority" once a majority of members
        holds it, "lease" without waiting while the instance's write lease is valid.
    statement_timeout_s : float
        Timeout of statements that set no deadline.
    idle_transaction_timeout_s : float
        Time without a statement after which an open transaction is rolled back
        and its session closed.
    replica_wait_s : float
        Maximum time that a read waits for a replica to have the session's
        writes.
    """

    members: list[MemberSpec] = attrs.field(validator=checks.not_empty)
    database: str = attrs.field(default="main", validator=checks.not_empty)
    acknowledgement: str = attrs.field(
        default="majority", validator=checks.one_of("majority", "lease")
    )
    statement_timeout_s: float = attrs.field(default=10.0, validator=checks.positive)
    idle_transaction_timeout_s: float = attrs.field(
        default=60.0, validator=checks.positive
    )
    replica_wait_s: float = attrs.field(default=0.15, validator=checks.not_negative)


@attrs.frozen
class ClientAccount:
    """An organisation or team with its own rate limit and share of capacity.

    Attributes
    ----------
    rate_per_s : float
        Rate limit in requests per second, across all instances.
    burst : float
        Number of requests that may arrive at once, across all instances.
    weight : float
        Relative share of an upstream under contention.
    role : str
        Database role that the account's statements run as; the account's name
        if empty.
    """

    rate_per_s: float = attrs.field(validator=checks.positive)
    burst: float = attrs.field(validator=checks.positive)
    weight: float = attrs.field(default=1.0, validator=checks.positive)
    role: str = ""


@attrs.frozen
class ClientAccountKey:
    """A key with which callers authenticate as a client account.

    Attributes
    ----------
    account : str
        Client account that the key belongs to.
    verifier : Verifier
        Data that a key is verified against.
    withdrawn : bool
        Whether the key is withdrawn and no longer accepted.
    """

    account: str = attrs.field(validator=checks.not_empty)
    verifier: _verifier.Verifier = attrs.field(repr=False)
    withdrawn: bool = False


@attrs.frozen
class RoutingRule:
    """How the statements of a group of callers are routed.

    Attributes
    ----------
    service : str
        Database service that the rule applies to.
    account : str
        Client account that the rule applies to; empty for all accounts.
    max_staleness_s : float
        Maximum age of the data that reads accept; 0 if reads need only include
        the session's own writes.
    open : bool
        Whether callers without a key may read. They connect with the rule's
        name as user name. An open rule needs a rate and a burst.
    rate_per_s, burst : float
        Rate limit of an open route, across all instances.
    role : str
        Database role of an open route's reads; the rule's name if empty.
    """

    service: str = attrs.field(validator=checks.not_empty)
    account: str = ""
    max_staleness_s: float = attrs.field(default=0.0, validator=checks.not_negative)
    open: bool = False
    rate_per_s: float = attrs.field(default=0.0, validator=checks.not_negative)
    burst: float = attrs.field(default=0.0, validator=checks.not_negative)
    role: str = ""


KINDS = {
    "services": DatabaseService,
    "accounts": ClientAccount,
    "keys": ClientAccountKey,
    "rules": RoutingRule,
}


def validate(kind, spec):
    """Convert the spec of a resource and check it.

    Parameters
    ----------
    kind : str
        One of `KINDS`.
    spec : object
        Value as `json.loads` gives it.

    Returns
    -------
    Result of object or list of str
        Instance of the kind's class, or error messages that name the fields.
    """
    return checks.structure(spec, KINDS[kind])


def dump(resource):
    """Return the spec of a resource as a JSON value."""
    return checks.unstructure(resource)
