"""Kinds of resources that operators write."""

import attrs

from pomelograde.core import checks
from pomelograde.core.accounts import _verifier


@attrs.frozen
class MemberSpec:
    """One member of a database group.

    Attributes
    ----------
    name : str
        Name, unique in the group.
    host : str
        IP address.
    port : int
        TCP port.
    data_centre : str
        Data centre of the member.
    slots : int
        Statements that it runs at once.
    connection_limit : int
        Connections that it accepts, from all instances together.
    leaving : bool
        Whether it is being taken out and gets no new work.
    """

    name: str = attrs.field(validator=checks.not_empty)
    host: str = attrs.field(validator=checks.not_empty)
    port: int = attrs.field(validator=checks.port)
    data_centre: str = attrs.field(validator=checks.not_empty)
    slots: int = attrs.field(default=3, validator=checks.positive)
    connection_limit: int = attrs.field(default=20, validator=checks.positive)
    leaving: bool = False


@attrs.frozen
class DatabaseService:
    """A replicated database that callers reach by its name.

    Attributes
    ----------
    members : list of MemberSpec
        Members of the group.
    database : str
        Name of the database on the members.
    acknowledgement : str
        "majority" or "lease": when a write is acknowledged.
    statement_timeout_s : float
        Time limit for a statement without a deadline of its own.
    replica_wait_s : float
        How long a read waits for a replica to hold the session's writes.
    """

    members: list[MemberSpec] = attrs.field(validator=checks.not_empty)
    database: str = attrs.field(default="main", validator=checks.not_empty)
    acknowledgement: str = attrs.field(
        default="majority", validator=checks.one_of("majority", "lease")
    )
    statement_timeout_s: float = attrs.field(default=10.0, validator=checks.positive)
    replica_wait_s: float = attrs.field(default=0.15, validator=checks.not_negative)


@attrs.frozen
class ClientAccount:
    """An organisation or team that shares the fleet with others.

    Attributes
    ----------
    rate_per_s : float
        Requests a second, over all instances.
    burst : float
        Requests that may come at once, over all instances.
    weight : float
        Share at an upstream under contention.
    role : str
        Database role that the account's statements run as.
    """

    rate_per_s: float = attrs.field(validator=checks.positive)
    burst: float = attrs.field(validator=checks.positive)
    weight: float = attrs.field(default=1.0, validator=checks.positive)
    role: str = ""


@attrs.frozen
class ClientAccountKey:
    """A key that callers of a client account show.

    Attributes
    ----------
    account : str
        Client account that the key belongs to.
    verifier : Verifier
        What the key is checked against.
    withdrawn : bool
        Whether the key no longer works.
    """

    account: str = attrs.field(validator=checks.not_empty)
    verifier: _verifier.Verifier = attrs.field(repr=False)
    withdrawn: bool = False


@attrs.frozen
class RoutingRule:
    """How statements of some callers are routed.

    Attributes
    ----------
    service : str
        Database service that the rule is for.
    account : str
        Client account that the rule is for; empty for all.
    max_staleness_s : float
        Age of data that reads accept; 0 for none but the session's own needs.
    open : bool
        Whether callers without a key may read; they connect with the rule's
        name as their user. Such a rule has a rate.
    rate_per_s, burst : float
        Rate of an open route, over all instances.
    role : str
        Database role of an open route's reads; the rule's name where empty.
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
    """Check the spec of a resource.

    Parameters
    ----------
    kind : str
        One of `KINDS`.
    spec : object
        Value as `json.loads` gives it.

    Returns
    -------
    Result of object or list of str
        The resource's class, or messages that name the fields.
    """
    return checks.structure(spec, KINDS[kind])


def dump(resource):
    """Return the spec of a resource as a JSON value."""
    return checks.unstructure(resource)
