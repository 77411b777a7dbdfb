"""Division of all rates between the registered instances."""

import attrs

from pomelograde.core import configuration

READ_SHARE = 0.5  # of a share, for an instance that may only read from replicas
RELEASE_MARGIN_S = 0.2  # for clock drift between instances


@attrs.define
class RateDivision:
    """Divides rates into equal shares of the instances that may use them.

    The load that this answers: a part of the fleet is cut off or has failed, its
    callers move to the other instances, and these hold too small shares of the
    rates to serve them. An instance without recent state has its whole share
    until its primary lease ends, then `READ_SHARE` of it while it may accept keys,
    and then nothing. The others use what it no longer has.

    Attributes
    ----------
    revocation_s : float
        Time without recent state after which an instance accepts no key.
    registered : frozenset of str
        Names of the registered instances.
    ended : dict of str to tuple
        Instances whose registration has ended: when that was first seen here, and
        the part of all rates that each had until then. Each has read its own
        registration from the store before that time.
    """

    revocation_s: float
    registered: frozenset = frozenset()
    ended: dict = attrs.field(factory=dict)

    def set_registered(self, names, now):
        """Update the registered instances."""
        names = frozenset(names)
        part = self._whole_part(now)
        for name in self.registered - names:
            self.ended[name] = (now, part)
        for name in names:
            self.ended.pop(name, None)
        self.registered = names

    def part(self, state_age_s, now):
        """Return the fraction of all rates that this instance may use.

        Parameters
        ----------
        state_age_s : float
            Time since the state was read in which this instance was registered.
        now : float
            Monotonic seconds.
        """
        return self._held_share(state_age_s) * self._whole_part(now)

    def _whole_part(self, now):
        """Return the part of an instance with recent state."""
        reserved = 0.0
        for name, (ended_at, part) in list(self.ended.items()):
            held = self._held_share(now - ended_at - RELEASE_MARGIN_S)
            reserved += held * part
            if not held:
                del self.ended[name]
        return (1.0 - reserved) / len(self.registered) if self.registered else 0.0

    def remaining_s(self, state_age_s):
        """Return how long an instance may use any share with state of an age."""
        return self.revocation_s - configuration.KEY_MARGIN_S - state_age_s

    def _held_share(self, state_age_s):
        """Return what an instance holds of its share, given the age of its state."""
        if state_age_s < configuration.PRIMARY_LEASE_S:
            return 1.0
        return READ_SHARE if self.remaining_s(state_age_s) > 0.0 else 0.0
