"""Detection of members that fail, do not answer, or are slow.

Notes
-----
A service with replicas can hide a slow or failing one if requests are kept
away from it [1]_. A member's silence is judged by the time since it was last
heard against what is usual for it, as accrual failure detectors do [2]_.

References
----------
.. [1] J. Dean and L. A. Barroso, "The Tail at Scale", Communications of the ACM
   56(2), 2013.
.. [2] N. Hayashibara, X. Defago, R. Yared and T. Katayama, "The phi accrual
   failure detector", SRDS 2004.
"""

import enum
import math
import statistics

import attrs

EVIDENCE_S = 2.0  # time in which counts decay to 37 %
REPORT_MAX_AGE_S = 3.0  # from which the evidence of others is not used
RECENT_S = 0.8  # evidence that proves a present fault; above the interval of reports
MIN_ATTEMPTS = 2.5  # 3 within 0.4 s
MIN_FAILURES = 2.5
MAX_FAILED_SHARE = 0.2  # of the statements that a member got
MAX_SHARE_RATIO = 2.0  # to the median of the group's other members
MAX_STREAK = 3  # consecutive failures at one instance
MIN_READS = 4.0
MAX_SLOW_RATIO = 4.0  # to the median of the group's other members
MIN_SUSPECT_READS = 1.5  # at one instance, for a report
MIN_SLOW_EXCESS_S = 0.02  # a difference that callers notice
SELF_SLOW_RATIO = 2.5  # to a member's own usual time; such a member is reported
USUAL_READ_WEIGHT = 0.02  # of one read in a member's usual time
SILENT_AFTER_S = 0.3  # for two statements; twice as long for one
TRIAL_SILENT_AFTER_S = 0.15  # for a member that is ejected
SILENT_FACTOR = 8.0  # times the usual time to serve a read
MIN_SILENT_SOURCES = 2  # one alone may be cut off from the member
# Until a member is held silent for all: the others have reported by then whether
# it answers them.
SILENCE_CONFIRM_S = 0.6
MIN_RETRY_AFTER_S = 0.3
SILENT_PRIMARY_END_S = 1.5  # until a takeover has replaced a silent primary
BASE_EJECTION_S = 1.0
EJECTION_FACTOR = 1.5
MAX_EJECTION_S = 4.0
EJECTION_RESET_S = 20.0  # without a fault, after which BASE_EJECTION_S applies
EJECTION_SPREAD = 1.0  # so that the first trial that fails spares the others
MAX_EJECTED_SHARE = 0.5  # of a group's members, rounded down
TRIALS = 3  # successful statements before a member returns
TRIAL_TIMEOUT_S = 0.5  # after which the next trial statement may be sent
FAILING_PRIMARY_SHARE = 0.2  # of its statements, for a takeover
FAILING_PRIMARY_ATTEMPTS = 10.0  # seen by at least two instances
LONE_PRIMARY_ATTEMPTS = 20.0  # seen by one


class Fault(enum.Enum):
    """What is wrong with a member.

    Attributes
    ----------
    FAILING
        It fails many of the statements that it gets.
    SLOW
        It takes much longer for reads than the group's other members.
    SILENT
        It answers nobody.
    PATH
        It does not answer this instance, but others.
    """

    FAILING = "failing"
    SLOW = "slow"
    SILENT = "silent"
    PATH = "path"


_UNANSWERED = (Fault.SILENT, Fault.PATH)


@attrs.define
class Evidence:
    """What one or several instances have seen of a member.

    Attributes
    ----------
    as_of : float
        Monotonic time for which the counts hold; they decay with time.
    attempts, failures : float
        Decayed number of statements sent, and of those that failed.
    reads, read_s : float
        Decayed number of reads that succeeded, and their total time in seconds.
    failed_at : float
        Monotonic time of the last failure.
    silent, answering : int
        Number of instances that it does not answer, and that it answers.
    sources : int
        Number of instances with attempts.
    suspecting : int
        Number of instances that find it slower than usual.
    passed : int
        Statements that an ejected member has served since its last failure.
    heard_at : float
        Monotonic time at which any instance last had an answer of it.
    silent_from : float
        Latest monotonic time since which an instance waits for an answer.
    """

    as_of: float = float("-inf")
    attempts: float = 0.0
    failures: float = 0.0
    reads: float = 0.0
    read_s: float = 0.0
    failed_at: float = float("-inf")
    silent: int = 0
    answering: int = 0
    sources: int = 0
    suspecting: int = 0
    passed: int = 0
    heard_at: float = float("-inf")
    silent_from: float = float("-inf")

    def decay(self, now):
        """Let the counts decay until a time."""
        if now > self.as_of:
            factor = math.exp((self.as_of - now) / EVIDENCE_S)
            self.attempts *= factor
            self.failures *= factor
            self.reads *= factor
            self.read_s *= factor
            self.as_of = now

    def add(self, other, now, sign=1):
        """Add the evidence of other instances, or subtract it.

        Parameters
        ----------
        other : Evidence
            The other evidence.
        now : float
            Monotonic time that this evidence holds for.
        sign : int
            1 to add it, -1 to subtract what was added before.
        """
        factor = sign * math.exp(min(0.0, (other.as_of - now) / EVIDENCE_S))
        self.attempts = max(0.0, self.attempts + other.attempts * factor)
        self.failures = max(0.0, self.failures + other.failures * factor)
        self.reads = max(0.0, self.reads + other.reads * factor)
        self.read_s = max(0.0, self.read_s + other.read_s * factor)
        self.failed_at = max(self.failed_at, other.failed_at)
        self.heard_at = max(self.heard_at, other.heard_at)
        self.silent_from = max(self.silent_from, other.silent_from)
        self.silent += sign * other.silent
        self.answering += sign * other.answering
        self.sources += sign * other.sources
        self.suspecting += sign * other.suspecting
        self.passed += sign * other.passed

    def is_bad(self, now):
        """Return whether it speaks against the member."""
        return bool(
            now - self.failed_at < REPORT_MAX_AGE_S or self.silent or self.suspecting
        )

    @property
    def failed_share(self):
        """Share of the statements that failed."""
        return self.failures / self.attempts if self.attempts else 0.0

    @property
    def mean_read_s(self):
        """Mean time of a successful read in seconds; 0 without one."""
        return self.read_s / self.reads if self.reads else 0.0


@attrs.define
class MemberHealth:
    """What an instance knows of one member.

    Attributes
    ----------
    own : Evidence
        Of the statements that this instance sent over its own connections.
    heard_at, silent_at : float
        Monotonic time of the last answer over an own connection, and of the
        last time that one was missing.
    served_at : float
        Monotonic time of the last answer to a statement over an own connection.
    silent_from : float
        Time for which nothing is known to have come since, when it was missing.
    silent_since : float
        Monotonic time since which no instance is known that it answers.
    streak : int
        Failures since the last success of a statement from here, also of those
        that another instance has sent on.
    streak_at : float
        Monotonic time of the last of them.
    usual_read_s : float
        Mean time of reads over a long time; 0 before the first.
    reports : dict of str to Evidence
        Evidence that other instances have sent of their own connections.
    shared : Evidence or None
        Evidence that another instance has collected from the others.
    fault : Fault or None
        Why it is ejected; None if it is not.
    ejected_at, ejected_until : float
        Monotonic begin and end of the last ejection.
    ejection_s : float
        Length of the last ejection.
    trial_until : float
        Monotonic time until which a trial statement may be under way.
    trials_passed : int
        Trial statements that have succeeded since.
    passed : int
        Statements over own connections that have succeeded since it was ejected,
        without a failure.
    has_failed_trial : bool
        Whether a statement has failed since the end of its ejection.
    failing_since : float
        Monotonic time since which its share of failures suffices for a
        takeover; infinite if it does not.
    """

    own: Evidence = attrs.field(factory=Evidence)
    heard_at: float = float("-inf")
    silent_at: float = float("-inf")
    served_at: float = float("-inf")
    silent_from: float = float("-inf")
    silent_since: float = float("inf")
    streak: int = 0
    streak_at: float = float("-inf")
    usual_read_s: float = 0.0
    reports: dict = attrs.field(factory=dict)
    shared: Evidence | None = None
    fault: Fault | None = None
    ejected_at: float = float("-inf")
    ejected_until: float = float("-inf")
    ejection_s: float = 0.0
    trial_until: float = float("-inf")
    trials_passed: int = 0
    passed: int = 0
    has_failed_trial: bool = False
    failing_since: float = float("inf")

    def is_silent_here(self):
        """Return whether it has not answered since an answer was missing."""
        return self.silent_at > self.heard_at

    def report(self, now):
        """Return the evidence of this instance's own connections."""
        self.own.decay(now)
        own = self.own
        is_silent = self.is_silent(now)
        return Evidence(
            as_of=own.as_of,
            attempts=own.attempts,
            failures=own.failures,
            reads=own.reads,
            read_s=own.read_s,
            failed_at=own.failed_at,
            silent=int(is_silent),
            answering=int(not is_silent and now - self.heard_at < RECENT_S),
            heard_at=self.heard_at,
            silent_from=self.silent_from if is_silent else float("-inf"),
            sources=int(own.attempts > 0.0),
            suspecting=int(self.is_slow()),
            passed=self.passed,
        )

    def is_silent(self, now):
        """Return whether an answer is missing at present."""
        return self.is_silent_here() and now - self.silent_at < RECENT_S

    def is_slow(self):
        """Return whether its reads take much longer than usual."""
        own = self.own
        return (
            own.reads >= MIN_SUSPECT_READS
            and own.mean_read_s >= SELF_SLOW_RATIO * self.usual_read_s
            and own.mean_read_s >= MIN_SLOW_EXCESS_S
        )

    def is_questioned(self, now):
        """Return whether there is recent evidence against it."""
        self.own.decay(now)
        return (
            self.fault is not None
            or now - self.own.failed_at < REPORT_MAX_AGE_S
            or self.is_silent(now)
            or self.is_slow()
            or any(report.is_bad(now) for report in self.reports.values())
            or (
                self.shared is not None
                and now - self.shared.as_of < REPORT_MAX_AGE_S
                and self.shared.is_bad(now)
            )
        )

    def collect(self, now):
        """Return the evidence of this and of the instances that report to it."""
        found = self.report(now)
        self._add_reports(found, now)
        return found

    def pool(self, collected, now):
        """Return the evidence of all instances, each one counted once.

        Parameters
        ----------
        collected : Evidence
            Result of `collect`.
        now : float
            Monotonic seconds.

        Notes
        -----
        What another instance has collected may contain what was also reported
        here, so the larger of the two is used.
        """
        shared = self.shared
        if shared is None or now - shared.as_of >= REPORT_MAX_AGE_S:
            return collected
        found = self.report(now)
        found.add(shared, now)
        return found if found.attempts >= collected.attempts else collected

    def _add_reports(self, evidence, now):
        for name, report in list(self.reports.items()):
            if now - report.as_of >= REPORT_MAX_AGE_S:
                del self.reports[name]
            else:
                evidence.add(report, now)


@attrs.frozen
class Change:
    """A member that was ejected or that has returned.

    Attributes
    ----------
    member : str
        Name of the member.
    fault : Fault or None
        Why it is ejected; None if it has returned.
    evidence : Evidence
        Evidence of all instances at that time.
    duration_s : float
        Length of the ejection, or time since its begin for one that returned.
    is_own : bool
        Whether this instance has evidence over its own connections.
    """

    member: str
    fault: Fault | None
    evidence: Evidence
    duration_s: float
    is_own: bool


class Outliers:
    """Detects the members of one group to which less should be sent.

    Parameters
    ----------
    random : callable
        Returns a random number in [0, 1).
    on_evidence : callable or None
        Called without arguments for evidence that may speak against a member,
        so that groups without any need no regular work.

    Attributes
    ----------
    healths : dict of str to MemberHealth
        Known state by member.
    ejected : set of str
        Members that are ejected.
    is_report_due : bool
        Whether evidence of a failure has not been reported yet.
    collected : dict of str to Evidence
        Evidence of this and of the instances that report to it, by member, as of
        the last call of `judge`.
    collected_from : dict of str to dict
        The reports of other instances in it, by member and instance.
    """

    def __init__(self, random, on_evidence=None):
        self.random = random
        self.on_evidence = on_evidence or _ignore
        self.healths = {}
        self.ejected = set()
        self.is_report_due = False
        self.collected = {}
        self.collected_from = {}

    def health(self, name):
        """Return the MemberHealth of a member."""
        found = self.healths.get(name)
        if found is None:
            found = self.healths[name] = MemberHealth()
        return found

    def retain(self, names):
        """Forget the members that are no longer registered."""
        for name in [name for name in self.healths if name not in names]:
            del self.healths[name]
            self.ejected.discard(name)

    def record_success(self, name, is_own, read_s, now):
        """Record a statement that a member has served.

        Parameters
        ----------
        name : str
            Name of the member.
        is_own : bool
            Whether it went over a connection of this instance.
        read_s : float or None
            Time until the answer in seconds, for a read.
        now : float
            Monotonic seconds.
        """
        health = self.health(name)
        health.streak = 0
        if health.fault is not None and _is_passed(health, is_own, read_s):
            health.passed += is_own
            if now >= health.ejected_until:
                health.trial_until = now
                health.trials_passed += 1
        if not is_own:
            return
        health.heard_at = health.served_at = now
        own = health.own
        own.decay(now)
        own.attempts += 1.0
        if read_s is not None:
            own.reads += 1.0
            own.read_s += read_s
            usual_s = health.usual_read_s or read_s
            if read_s > MIN_SLOW_EXCESS_S and read_s > SELF_SLOW_RATIO * usual_s:
                self.on_evidence()
            health.usual_read_s = usual_s + USUAL_READ_WEIGHT * (read_s - usual_s)

    def record_failure(self, name, is_own, was_heard, now):
        """Record a statement that a member has failed or not answered.

        Parameters
        ----------
        name : str
            Name of the member.
        is_own : bool
            Whether it went over a connection of this instance, or was to.
        was_heard : bool
            Whether the member has answered. A connection that was lost may be a
            matter of the path, so it does not count for all instances.
        now : float
            Monotonic seconds.
        """
        health = self.health(name)
        self.on_evidence()
        health.streak += 1
        health.streak_at = now
        health.trials_passed = health.passed = 0
        if health.fault is not None and now >= health.ejected_until:
            health.has_failed_trial = True
        if not (is_own and was_heard):
            return
        health.heard_at = health.served_at = now
        own = health.own
        own.decay(now)
        own.attempts += 1.0
        own.failures += 1.0
        own.failed_at = now
        self.is_report_due = True

    def record_unreachable(self, name, now):
        """Record that a connection to a member could not be opened."""
        self.record_failure(name, True, False, now)
        health = self.health(name)
        health.silent_at = health.silent_from = now

    def record_heard(self, name, now):
        """Record an answer to a statement that counts for nothing else."""
        health = self.health(name)
        health.heard_at = health.served_at = now

    def record_alive(self, name, now):
        """Record that a member has answered something other than a statement."""
        self.health(name).heard_at = now

    def check_silence(self, name, waiting_since, count, now):
        """Record the silence of a member with statements that wait for an answer.

        Parameters
        ----------
        name : str
            Name of the member.
        waiting_since : float
            When the oldest of them was sent, in monotonic seconds.
        count : int
            Number of statements that wait on this instance's connections.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            Whether it has just been found silent.
        """
        health = self.health(name)
        limit_s = max(SILENT_AFTER_S, SILENT_FACTOR * health.usual_read_s)
        if health.fault is not None:
            limit_s = max(TRIAL_SILENT_AFTER_S, SILENT_FACTOR * health.usual_read_s)
        elif count < 2:
            limit_s *= 2.0
        if now - max(waiting_since, health.served_at) < limit_s:
            return False
        was_silent = health.is_silent_here()
        health.silent_at = now
        health.silent_from = now - limit_s
        self.is_report_due = self.is_report_due or not was_silent
        self.on_evidence()
        return not was_silent

    def merge_report(self, name, source, evidence):
        """Record the evidence that an instance has sent of its own connections."""
        self.health(name).reports[source] = evidence
        self.on_evidence()

    def merge_shared(self, name, evidence):
        """Record the evidence that an instance has collected from the others."""
        self.health(name).shared = evidence
        self.on_evidence()

    def find_reports(self, now):
        """Yield name and evidence of the members to report to the others.

        Notes
        -----
        Once there is evidence against a member of the group, that of the others
        is reported, too: they are compared, and good answers speak for a member.
        """
        is_questioned = self.is_questioned(now)
        for name, health in self.healths.items():
            report = health.report(now)
            is_known = report.sources or report.answering
            if report.silent or (is_questioned and is_known):
                yield name, report

    def find_collected(self, excluded, now):
        """Yield name and evidence of the members to tell an instance about.

        Parameters
        ----------
        excluded : str
            The instance, whose own evidence is left out.
        now : float
            Monotonic seconds.
        """
        if not any(found.is_bad(now) for found in self.collected.values()):
            return
        for name, collected in self.collected.items():
            found = attrs.evolve(collected)
            report = self.collected_from[name].get(excluded)
            if report is not None:
                found.add(report, found.as_of, sign=-1)
            if found.sources or found.silent or found.answering:
                yield name, found

    def is_questioned(self, now):
        """Return whether there is recent evidence against a member of the group."""
        return any(health.is_questioned(now) for health in self.healths.values())

    def forget_others(self):
        """Forget the evidence of other instances once nothing is wrong."""
        self.collected = {}
        self.collected_from = {}
        for health in self.healths.values():
            health.reports.clear()
            health.shared = None

    def judge(self, names, now):
        """Eject and return members.

        Parameters
        ----------
        names : collection of str
            Members of the group that may get statements.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of Change
            Members that were ejected or have returned.
        """
        healths = self.healths
        self.collected = {name: found.collect(now) for name, found in healths.items()}
        self.collected_from = {
            name: dict(found.reports) for name, found in healths.items()
        }
        pooled = {
            name: healths[name].pool(collected, now)
            for name, collected in self.collected.items()
            if name in names
        }
        changes = []
        for name, evidence in pooled.items():
            health = self.healths[name]
            self._track_failing(name, pooled, now)
            self._track_silence(health, evidence, now)
            fault = self._find_fault(name, health, pooled, now)
            if fault is None and health.has_failed_trial:
                fault = health.fault
            if health.fault is None:
                if fault is not None and self._may_eject(names):
                    changes.append(self._eject(name, fault, evidence, now))
                continue
            if fault is not None:
                if now >= health.ejected_until:
                    self._extend(health, fault, now)
                    changes.append(self._describe(name, evidence, health.ejection_s))
                else:
                    health.fault = fault
            elif evidence.answering and health.fault in _UNANSWERED:
                # It answers again, so the trials start at once.
                health.ejected_until = min(health.ejected_until, now)
            if fault is None and _has_recovered(health, evidence, now):
                changes.append(self._return(name, evidence, now))
        return changes

    def reorder(self, ranked, now):
        """Move ejected members to the end, or one to the front for a trial.

        Parameters
        ----------
        ranked : list of Member
            Members that may serve a read that can be repeated, best first.
        now : float
            Monotonic seconds.

        Notes
        -----
        Whoever calls this sends the read to the first member.
        """
        if not self.ejected or len(ranked) < 2:
            return ranked
        usable, ejected = [], []
        for member in ranked:
            (ejected if member.name in self.ejected else usable).append(member)
        for member in ejected:
            health = self.healths[member.name]
            if now >= max(health.ejected_until, health.trial_until):
                health.trial_until = now + TRIAL_TIMEOUT_S
                others = [other for other in ejected if other is not member]
                return [member, *usable, *others]
        ejected.sort(key=self._severity)
        return usable + ejected

    def is_ejected(self, name):
        """Return whether a member is ejected."""
        return name in self.ejected

    def is_silent(self, name, now):
        """Return whether a member is ejected at present since it answers nobody.

        Notes
        -----
        After the ejection, statements that only this member may serve are the
        trial of it.
        """
        if name not in self.ejected:
            return False
        health = self.healths[name]
        return health.fault is Fault.SILENT and now < health.ejected_until

    def retry_after_s(self, name, now):
        """Return when a member that is silent may serve again, in seconds from now."""
        health = self.health(name)
        end = max(health.ejected_until, health.ejected_at + SILENT_PRIMARY_END_S)
        wait_s = max(MIN_RETRY_AFTER_S, end - now)
        return wait_s * (1.0 + EJECTION_SPREAD * self.random())

    def failing_for_s(self, name, now):
        """Return for how long a member has failed too many statements of all."""
        health = self.healths.get(name)
        return 0.0 if health is None else max(0.0, now - health.failing_since)

    def _track_failing(self, name, pooled, now):
        health, evidence = self.healths[name], pooled[name]
        others = [found for other, found in pooled.items() if other != name]
        is_lone = evidence.sources < 2
        least = LONE_PRIMARY_ATTEMPTS if is_lone else FAILING_PRIMARY_ATTEMPTS
        is_failing = (
            evidence.attempts >= least
            and evidence.failed_share >= FAILING_PRIMARY_SHARE
            and _is_failing(evidence, others)
            and now - evidence.failed_at < RECENT_S
        )
        if not is_failing:
            health.failing_since = float("inf")
        elif health.failing_since > now:
            health.failing_since = now

    def _track_silence(self, health, evidence, now):
        is_unanswered = evidence.heard_at < evidence.silent_from
        if evidence.silent < MIN_SILENT_SOURCES or not is_unanswered:
            health.silent_since = float("inf")
        elif health.silent_since > now:
            health.silent_since = now

    def _find_fault(self, name, health, pooled, now):
        evidence = pooled[name]
        if now - health.silent_since >= SILENCE_CONFIRM_S:
            return Fault.SILENT
        if health.is_silent_here() and now - health.silent_at < RECENT_S:
            return Fault.PATH
        others = [found for other, found in pooled.items() if other != name]
        has_failed = now - evidence.failed_at < RECENT_S
        if has_failed and _is_failing(evidence, others):
            return Fault.FAILING
        if (
            has_failed
            and health.fault is Fault.FAILING
            and evidence.failed_at > health.ejected_at
            and evidence.failed_share >= MAX_FAILED_SHARE
        ):
            # Other instances' trials have failed, which spares this one its own.
            return Fault.FAILING
        if health.streak >= MAX_STREAK and now - health.streak_at < RECENT_S:
            fails_elsewhere = evidence.failed_share >= MAX_FAILED_SHARE
            return Fault.FAILING if fails_elsewhere else Fault.PATH
        return Fault.SLOW if _is_slow(evidence, others) else None

    def _may_eject(self, names):
        ejected = sum(name in self.ejected for name in names)
        return ejected + 1 <= min(MAX_EJECTED_SHARE * len(names), len(names) - 1)

    def _eject(self, name, fault, evidence, now):
        health = self.healths[name]
        if now - health.ejected_until > EJECTION_RESET_S:
            health.ejection_s = 0.0
        self.ejected.add(name)
        health.ejected_at = now
        self._extend(health, fault, now)
        return self._describe(name, evidence, health.ejection_s)

    def _describe(self, name, evidence, duration_s):
        health = self.healths[name]
        is_own = health.own.attempts >= 1.0
        return Change(name, health.fault, evidence, duration_s, is_own)

    def _extend(self, health, fault, now):
        health.fault = fault
        health.streak = 0
        health.trials_passed = health.passed = 0
        health.has_failed_trial = False
        health.trial_until = float("-inf")
        longer_s = max(BASE_EJECTION_S, EJECTION_FACTOR * health.ejection_s)
        health.ejection_s = min(MAX_EJECTION_S, longer_s)
        spread = 1.0 + EJECTION_SPREAD * self.random()
        health.ejected_until = now + health.ejection_s * spread

    def _return(self, name, evidence, now):
        health = self.healths[name]
        self.ejected.discard(name)
        health.fault = None
        health.trials_passed = health.passed = 0
        return self._describe(name, evidence, now - health.ejected_at)

    def _severity(self, member):
        fault = self.healths[member.name].fault
        return fault in _UNANSWERED, fault is Fault.FAILING


def _ignore():
    """Do nothing."""


def _is_passed(health, is_own, read_s):
    """Return whether a statement that was served speaks for an ejected member."""
    if health.fault is not Fault.SLOW:
        return True
    limit_s = max(MIN_SLOW_EXCESS_S, SELF_SLOW_RATIO * health.usual_read_s)
    return is_own and read_s is not None and read_s <= limit_s


def _has_recovered(health, evidence, now):
    """Return whether a member without a present fault returns.

    Notes
    -----
    Statements that it has served for other instances count, too, unless only
    the path from here was at fault.
    """
    if health.fault is not Fault.PATH and evidence.passed >= TRIALS:
        return True
    if now < health.ejected_until:
        return False
    return (
        health.trials_passed >= TRIALS or now >= health.ejected_until + EJECTION_RESET_S
    )


def _is_failing(evidence, others):
    shares = [found.failed_share for found in others if found.attempts >= MIN_ATTEMPTS]
    usual = statistics.median(shares) if shares else 0.0
    return (
        evidence.attempts >= MIN_ATTEMPTS
        and evidence.failures >= MIN_FAILURES
        and evidence.failed_share >= max(MAX_FAILED_SHARE, MAX_SHARE_RATIO * usual)
    )


def _is_slow(evidence, others):
    times = [found.mean_read_s for found in others if found.reads >= MIN_READS]
    if not times or evidence.reads < MIN_READS:
        return False
    usual_s = statistics.median(times)
    mean_s = evidence.mean_read_s
    return mean_s >= MAX_SLOW_RATIO * usual_s and mean_s - usual_s >= MIN_SLOW_EXCESS_S
