"""Limits on how long an instance may use what it last read from the store."""

import attrs

KEY_MARGIN_S = 0.2  # between the check of a key and the arrival at the member
PRIMARY_LEASE_S = 3.0  # a takeover waits this long for silent instances


@attrs.define
class Freshness:
    """Times at which the cached data was last read from the store.

    Attributes
    ----------
    revocation_s : float
        Time after its withdrawal from which a key must not be accepted.
    configuration_at : float
        Time of the last read of the configuration in force.
    members_at : float
        Time of the last read of the members and the promotions in progress.

    Notes
    -----
    A time is that at which the request was sent, so that a delayed answer
    never counts as recent. The clock goes on while the machine is suspended.
    """

    revocation_s: float
    configuration_at: float = float("-inf")
    members_at: float = float("-inf")

    def record_configuration_read(self, asked_at):
        """Record a read of the configuration that was requested at `asked_at`."""
        self.configuration_at = max(self.configuration_at, asked_at)

    def record_members_read(self, asked_at):
        """Record a read of members and promotions requested at `asked_at`."""
        self.members_at = max(self.members_at, asked_at)

    def may_accept_keys(self, now):
        """Return whether all withdrawals at least `revocation_s` old are known."""
        return now - self.configuration_at < self.revocation_s - KEY_MARGIN_S

    def primary_lease_until(self):
        """Return the time until which the known primary may be used."""
        return self.members_at + PRIMARY_LEASE_S
