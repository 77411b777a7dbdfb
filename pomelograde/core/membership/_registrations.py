"""Registrations whose processes are gone."""

import attrs

SILENT_S = 5.0  # ten rounds of news; longer than most freezes and restarts
EXPIRED_S = 3.0  # a right to use a primary ends 2.5 s after the last news
GAP_S = 1.5  # three rounds; whoever looks less often may itself have been away


@attrs.define
class RegistrationMonitor:
    """What the instance that reads the store hears of the others.

    Attributes
    ----------
    heard_at : dict of str to tuple
        Incarnation of each instance, and when it was last heard of.
    ended_at : dict of str to float
        When each registration was first seen to be marked as ended.
    looked_at : float
        When the registrations were last looked at.
    watched_since : float
        Since when they have been looked at without a gap.

    Notes
    -----
    A registration ends in two steps. It is first marked, so that its instance
    registers anew if it still runs. It is removed once its instance can't hold
    a right any more, so nothing has to wait for an instance without a
    registration.
    """

    heard_at: dict = attrs.field(factory=dict)
    ended_at: dict = attrs.field(factory=dict)
    looked_at: float = float("-inf")
    watched_since: float = float("inf")

    def record_message(self, name, now):
        """Take that an instance has sent a message."""
        incarnation, _ = self.heard_at.get(name, (0, now))
        self.heard_at[name] = (incarnation, now)

    def find_stale(self, instances, own, now):
        """Return the registrations to mark, and those to remove.

        Parameters
        ----------
        instances : list of Instance
            All registrations.
        own : str
            Name of this instance.
        now : float
            Time on the steady clock.

        Returns
        -------
        silent, expired : list of Instance
            Instances not heard of for `SILENT_S`, and those whose registration
            has been seen to be marked for `EXPIRED_S`.
        """
        if now - self.looked_at > GAP_S:
            self.watched_since = now
            self.ended_at.clear()
        self.looked_at = now
        silent = []
        expired = []
        for instance in instances:
            name = instance.name
            if instance.leaving:
                if now - self.ended_at.setdefault(name, now) >= EXPIRED_S:
                    expired.append(instance)
                continue
            self.ended_at.pop(name, None)
            incarnation, heard_at = self.heard_at.get(name, (0, now))
            if incarnation != instance.incarnation:
                heard_at = now
                self.heard_at[name] = (instance.incarnation, now)
            since = max(heard_at, self.watched_since)
            if name != own and now - since >= SILENT_S:
                silent.append(instance)
        return silent, expired
