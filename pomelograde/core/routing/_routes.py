"""Open routes, which allow reads without a client account key."""

import attrs

ACCOUNT_PREFIX = "rule/"


@attrs.frozen
class OpenRoute:
    """Access of callers without a key to one database service.

    Attributes
    ----------
    name : str
        Name of the routing rule, which callers give as their user name.
    service : str
        Database service that may be read.
    role : str
        Database role that the reads run as.
    """

    name: str
    service: str
    role: str

    @property
    def account(self):
        """Account name under which the route's rate limit is kept."""
        return ACCOUNT_PREFIX + self.name


def find_open_route(configuration, user, service):
    """Return the `OpenRoute` for a user name and database service, or None."""
    rule = configuration.get("rules", user)
    if rule is None or not rule.open or rule.service != service:
        return None
    return OpenRoute(user, service, rule.role or user)
