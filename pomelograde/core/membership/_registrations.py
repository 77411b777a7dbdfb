"""Detection of registrations whose instances no longer run."""

import attrs

SILENCE_TIMEOUT_S = 2.5  # five refresh intervals
REMOVAL_DELAY_S = 3.5  # a primary lease ends 3 s after the last refresh
MAX_CHECK_GAP_S = 1.5  # three refresh intervals; a longer gap shows a paused process


@attrs.define
class RegistrationMonitor:
    """Finds stale registrations.

    It runs on the reader, the instance that reads the store for the others.

    Attributes
    ----------
    last_messages : dict of str to tuple
        Incarnation of each instance, and when its last message arrived.
    ended_at : dict of str to float
        When each registration was first seen to be marked as ended, which
        `Instance.leaving` shows.
    checked_at : float
        Time of the last check.
    continuous_since : float
        Start of the series of checks without a gap.

    Notes
    -----
    A registration ends in two steps. It is first marked as ended, so that its
    instance registers again if it still runs. It is removed once its instance
    can't hold a primary lease any more. Therefore a takeover waits only for the
    primary leases of registered instances.
    """

    last_messages: dict = attrs.field(factory=dict)
    ended_at: dict = attrs.field(factory=dict)
    checked_at: float = float("-inf")
    continuous_since: float = float("inf")

    def record_message(self, name, now):
        """Record that an instance has sent a message."""
        incarnation, _ = self.last_messages.get(name, (0, now))
        self.last_messages[name] = (incarnation, now)

    def find_stale(self, instances, own, now):
        """Return the registrations to mark as ended and those to remove.

        Parameters
        ----------
        instances : list of Instance
            All registered instances.
        own : str
            Name of this instance.
        now : float
            Monotonic seconds.

        Returns
        -------
        silent, removable : list of Instance
            Instances without a message for `SILENCE_TIMEOUT_S`, and instances
            whose registration was first seen to be marked as ended at least
            `REMOVAL_DELAY_S` ago.
        """
        if now - self.checked_at > MAX_CHECK_GAP_S:
            self.continuous_since = now
            self.ended_at.clear()
        self.checked_at = now
        silent = []
        removable = []
        for instance in instances:
            name = instance.name
            if instance.leaving:
                if now - self.ended_at.setdefault(name, now) >= REMOVAL_DELAY_S:
                    removable.append(instance)
                continue
            self.ended_at.pop(name, None)
            incarnation, heard_at = self.last_messages.get(name, (0, now))
            if incarnation != instance.incarnation:
                heard_at = now
                self.last_messages[name] = (instance.incarnation, now)
            silent_since = max(heard_at, self.continuous_since)
            if name != own and now - silent_since >= SILENCE_TIMEOUT_S:
                silent.append(instance)
        return silent, removable
