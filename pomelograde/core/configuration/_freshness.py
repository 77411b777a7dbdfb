"""How long what an instance knows may be relied upon."""

import attrs

KEY_MARGIN_S = 0.2  # for the way of a statement from the check to the member
PRIMARY_LEASE_S = 2.5  # promoters wait this long for instances that are silent


@attrs.define
class Freshness:
    """When the sources of this instance's knowledge were last asked.

    Attributes
    ----------
    revocation_s : float
        Time after which a withdrawn key must not be accepted any more.
    configuration_at : float
        When the store was asked for the configuration in force.
    members_at : float
        When the store was asked for the members and the promotions under way.

    Notes
    -----
    Times are those at which a request was sent, so an answer that was held up
    never counts as recent. The clock counts suspended time.
    """

    revocation_s: float
    configuration_at: float = float("-inf")
    members_at: float = float("-inf")

    def record_configuration_read(self, asked_at):
        """Take an answer about the configuration."""
        self.configuration_at = max(self.configuration_at, asked_at)

    def record_members_read(self, asked_at):
        """Take an answer about members and promotions."""
        self.members_at = max(self.members_at, asked_at)

    def may_accept_keys(self, now):
        """Return whether every key withdrawn long enough ago is known here."""
        return now - self.configuration_at < self.revocation_s - KEY_MARGIN_S

    def primary_lease_until(self):
        """Return the time until which the primary that is known may be used."""
        return self.members_at + PRIMARY_LEASE_S
