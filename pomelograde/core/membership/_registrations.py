"""Detection of registrations whose instances no longer run."""

import attrs

SILENCE_TIMEOUT_S = 2.5  # five refresh intervals
PROBE_AFTER_S = 1.5  # three refresh intervals
PROBE_VALIDITY_S = 1.5  # a probe that failed earlier does not count any more
MAX_PROBE_DURATION_S = 1.8  # to connect and to answer, and a margin
MAX_PROBES = 16  # at a time
REMOVAL_DELAY_S = 3.5  # a primary lease ends 3 s after the last refresh
MAX_CHECK_GAP_S = 1.5  # three refresh intervals; a longer gap shows a paused process


@attrs.frozen
class StaleRegistrations:
    """What to do about the registrations of instances that send nothing.

    Attributes
    ----------
    unconfirmed : list of Instance
        Instances to probe.
    silent : list of Instance
        Instances whose registration is to be marked as ended.
    removable : list of Instance
        Instances whose registration is to be removed.
    """

    unconfirmed: list
    silent: list
    removable: list


@attrs.define
class RegistrationMonitor:
    """Finds stale registrations.

    It runs on the reader, the instance that reads the store for the others. The
    load that it answers: an instance is lost while the store is away, and its
    share of the rates is missed from the store's return on.

    Attributes
    ----------
    last_messages : dict of str to tuple
        Incarnation of each instance, and when its last message arrived.
    probes : dict of str to float
        When each outstanding probe was sent.
    probe_failures : dict of str to float
        When the last probe of each instance failed, if it has sent nothing since.
    ended_at : dict of str to float
        When each registration was first seen to be marked as ended, which
        `Instance.leaving` shows.
    checked_at : float
        Time of the last check.

    Notes
    -----
    A registration ends in two steps. It is first marked as ended, so that its
    instance registers again if it still runs. It is removed once its instance
    can't hold a primary lease any more. Therefore a takeover waits only for the
    primary leases of registered instances.

    Instances send messages only to the reader that they use, so silence alone
    shows little after a change of the reader or a pause of this process. An
    instance counts as silent only if it does not answer a probe either.
    """

    last_messages: dict = attrs.field(factory=dict)
    probes: dict = attrs.field(factory=dict)
    probe_failures: dict = attrs.field(factory=dict)
    ended_at: dict = attrs.field(factory=dict)
    checked_at: float = float("-inf")

    def record_message(self, name, now):
        """Record that an instance has sent a message."""
        incarnation, _ = self.last_messages.get(name, (0, now))
        self.last_messages[name] = (incarnation, now)
        self.probe_failures.pop(name, None)

    def record_registrations(self, instances, now):
        """Start the silence of registrations that were not known yet.

        Parameters
        ----------
        instances : list of Instance
            All registered instances.
        now : float
            Monotonic seconds.

        Notes
        -----
        The reader calls this also while the store is not available, so that the
        silence of an instance that is lost in the meantime counts from then on.
        """
        for instance in instances:
            incarnation, _ = self.last_messages.get(instance.name, (0, now))
            if incarnation != instance.incarnation:
                self.last_messages[instance.name] = (instance.incarnation, now)
                self.probe_failures.pop(instance.name, None)

    def start_probe(self, name, now):
        """Record that a probe is sent to an instance."""
        self.probes[name] = now

    def end_probe(self, name, answered, now):
        """Record the end of a probe.

        Parameters
        ----------
        name : str
            Instance that was probed.
        answered : bool
            Whether it answered.
        now : float
            Monotonic seconds.

        Notes
        -----
        A failure that is noticed late does not count: if this process was paused
        meanwhile, the answer may be waiting to be read.
        """
        sent_at = self.probes.pop(name)
        if answered:
            self.record_message(name, now)
        elif now - sent_at <= MAX_PROBE_DURATION_S:
            self.probe_failures[name] = now

    def find_stale(self, instances, own, now):
        """Return the registrations to act on.

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
        StaleRegistrations
            Instances without a message for `PROBE_AFTER_S`; those without one for
            `SILENCE_TIMEOUT_S` that did not answer a probe either; and those whose
            registration was first seen to be marked as ended at least
            `REMOVAL_DELAY_S` ago.
        """
        if now - self.checked_at > MAX_CHECK_GAP_S:
            self.ended_at.clear()
        self.checked_at = now
        self.record_registrations(instances, now)
        stale = StaleRegistrations([], [], [])
        for instance in instances:
            name = instance.name
            if instance.leaving:
                if now - self.ended_at.setdefault(name, now) >= REMOVAL_DELAY_S:
                    stale.removable.append(instance)
                continue
            self.ended_at.pop(name, None)
            if name != own:
                self._check_silence(instance, stale, now)
        del stale.unconfirmed[max(0, MAX_PROBES - len(self.probes)) :]
        return stale

    def _check_silence(self, instance, stale, now):
        name = instance.name
        _, heard_at = self.last_messages[name]
        silence_s = now - heard_at
        failed_at = self.probe_failures.get(name, float("-inf"))
        has_failed = now - failed_at < PROBE_VALIDITY_S
        if has_failed and silence_s >= SILENCE_TIMEOUT_S:
            stale.silent.append(instance)
        elif not has_failed and silence_s >= PROBE_AFTER_S and name not in self.probes:
            stale.unconfirmed.append(instance)
