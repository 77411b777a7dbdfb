"""Open routes: reads without a client account key."""

import attrs

ACCOUNT_PREFIX = "rule/"


@attrs.frozen
class OpenRoute:
    """What a caller without a key may use.

    Attributes
    ----------
    name : str
        Name of the rule, which is the caller's user name.
    service : str
        Database service.
    role : str
        Database role of the reads.
    """

    name: str
    service: str
    role: str

    @property
    def account(self):
        """Name that the route's rate is kept under."""
        return ACCOUNT_PREFIX + self.name


def find_open_route(configuration, user, service):
    """Return the `OpenRoute` of a user name and database service, or None."""
    rule = configuration.get("rules", user)
    if rule is None or not rule.open or rule.service != service:
        return None
    return OpenRoute(user, service, rule.role or user)
