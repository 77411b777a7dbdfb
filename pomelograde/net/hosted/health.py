"""Judges members by their answers, and exchanges the evidence between instances.

The owners of a member's connections see all statements that it gets. They send
what they see with the requests for the fleet's state, and at once after a
failure, to the instance that reads the store for the others. It collects the
evidence, returns it with its answers, and tells all instances at once when a
member is ejected.
"""

from pomelograde.core import placement, retries, statements
from pomelograde.net import events, peer_messages, timers

JUDGE_INTERVAL_S = 0.1  # above the interval of failures at a member that fails often
TELL_INTERVAL_S = 1.0  # between messages to all instances about one service
MAX_MESSAGES_PER_S = 150.0  # with collected evidence; each takes about 0.1 ms
MAX_COUNT = 65535  # of instances in a message
MAX_EVIDENCE = 1e9  # decayed count of statements, or of seconds that they took
MAX_BUDGETS = 1000  # of client accounts and databases that one instance serves

_ERROR = statements.UpstreamError
_OP = statements.Operation


class HealthTask:
    """Judges the members of all groups.

    Parameters
    ----------
    context : HostedContext
        Components that all tasks of the instance share.
    proxy : Proxy
        Groups, pools, sessions and the relay.
    sync : StateSync
        Names the instance that collects the evidence.

    Attributes
    ----------
    active : set of str
        Services with evidence that may speak against a member.
    told_at : dict of str to float
        When this instance last told all others about a service.
    answered_at : dict of str to float
        When this instance last answered each other one with evidence.
    budgets : dict of tuple to RetryBudget
        Budget of each client account and database.
    """

    def __init__(self, context, proxy, sync):
        self.context = context
        self.proxy = proxy
        self.sync = sync
        self.active = set()
        self.told_at = {}
        self.answered_at = {}
        self.budgets = {}
        self.loop = None
        metrics = context.metrics
        self.ejections = metrics.add_counter(
            "pomelograde_member_ejections", "Ejections of members.", "fault"
        )
        self.ejected = metrics.add_gauge(
            "pomelograde_members_ejected", "Members that are ejected now."
        )

    def start(self):
        """Start judging."""
        self.loop = timers.start_loop(
            self.context, JUDGE_INTERVAL_S, self._judge, now=False
        )

    def stop(self):
        """Stop judging."""
        if self.loop is not None and self.loop.running:
            self.loop.stop()

    def watch(self, group):
        """Judge the members of a group from now on."""

        def on_evidence():
            self.active.add(group.name)

        group.outliers = placement.Outliers(self.context.random.random, on_evidence)

    def retry_budget(self, account, database):
        """Return the RetryBudget of a client account on a database."""
        key = (account, database)
        budget = self.budgets.get(key)
        if budget is None:
            if len(self.budgets) >= MAX_BUDGETS:
                self.budgets.clear()
            budget = self.budgets[key] = retries.RetryBudget()
        return budget

    def record_relayed(self, message, answer, connection):
        """Record the answer to a statement that another instance has relayed.

        Parameters
        ----------
        message : RelayRequest
            The request.
        answer : Answer or None
            The member's answer; None if the connection was lost.
        connection : UpstreamConnection
            Connection to the member.
        """
        group = self.proxy.groups.get(message.service)
        if group is None or group.outliers is None:
            return
        now = self.context.now()
        name = message.member
        if answer is None:
            group.outliers.record_failure(name, True, False, now)
        elif answer.error in statements.MEMBER_FAILURES:
            group.outliers.record_failure(name, True, True, now)
        elif answer.error is not None:
            group.outliers.record_heard(name, now)
        else:
            read_s = now - connection.sent_at if is_read(message) else None
            group.outliers.record_success(name, True, read_s, now)

    def record_open_failed(self, pool, error):
        """Record that a member could not be connected to."""
        group = self.proxy.groups.get(pool.service)
        if group is None or group.outliers is None:
            return
        now = self.context.now()
        if error.refused or error.is_full:
            group.outliers.record_alive(pool.spec.name, now)
        else:
            group.outliers.record_unreachable(pool.spec.name, now)

    def check_silence(self, now):
        """Detect members that have stopped answering, and give up reads there."""
        for pool in self.proxy.pools.values():
            if len(pool.open) == len(pool.idle):
                continue
            waiting = [held.sent_at for held in pool.open if held.response_handlers]
            group = self.proxy.groups.get(pool.service)
            if not waiting or group is None or group.outliers is None:
                continue
            name = pool.spec.name
            if group.outliers.check_silence(name, min(waiting), len(waiting), now):
                self._give_up_reads(name)

    def make_reports(self):
        """Return the evidence of this instance's own connections for a message."""
        now = self.context.now()
        found = []
        for service, outliers in self._find_active():
            outliers.is_report_due = False
            for name, evidence in outliers.find_reports(now):
                found.append(_encode(service, name, evidence, now, False))
        return found

    def make_collected(self, receiver):
        """Return the evidence of all instances but the receiver for a message."""
        now = self.context.now()
        return [
            _encode(service, name, evidence, now, True)
            for service, outliers in self._find_active()
            for name, evidence in outliers.find_collected(receiver, now)
        ]

    def make_answer(self, receiver):
        """Return the collected evidence for an answer, unless the last was recent.

        Notes
        -----
        In a large fleet only some of the answers carry evidence, so that its cost
        here does not grow with the fleet.
        """
        now = self.context.now()
        interval_s = len(self.sync.fleet.registered) / MAX_MESSAGES_PER_S
        if not self.active or now - self.answered_at.get(receiver, 0.0) < interval_s:
            return []
        self.answered_at[receiver] = now
        return self.make_collected(receiver)

    def apply(self, evidence, sender):
        """Record the evidence that another instance has sent."""
        now = self.context.now()
        for encoded in evidence:
            group = self.proxy.groups.get(encoded.service)
            if group is None or encoded.member not in group.members:
                continue
            if not _is_valid(encoded):
                fault = "has counts that are not finite, or negative"
                self.context.peers.reject(encoded, sender, fault)
                continue
            decoded = _decode(encoded, now)
            if encoded.collected:
                group.outliers.merge_shared(encoded.member, decoded)
            else:
                group.outliers.merge_report(encoded.member, sender, decoded)

    def _judge(self):
        now = self.context.now()
        reader = self.sync.find_reader()
        is_reader = reader.name == self.context.members.own.name
        is_report_due = False
        for service, outliers in list(self._find_active()):
            group = self.proxy.groups[service]
            names = [
                found.name
                for found in group.members.values()
                if group.allows(found, None) and not found.leaving
            ]
            changes = outliers.judge(names, now)
            for change in changes:
                self._record_change(service, change, now)
            is_report_due = is_report_due or outliers.is_report_due
            if is_reader and any(change.fault is not None for change in changes):
                self._tell_all(service, now)
            if not outliers.ejected and not outliers.is_questioned(now):
                self.active.discard(service)
                outliers.forget_others()
        if is_report_due and not is_reader:
            self._send(reader, self.make_reports())
        self.ejected.set(
            sum(len(outliers.ejected) for _, outliers in self._find_active())
        )

    def _find_active(self):
        for service in sorted(self.active):
            group = self.proxy.groups.get(service)
            if group is not None and group.outliers is not None:
                yield service, group.outliers

    def _tell_all(self, service, now):
        """Send the evidence to all instances, since a member was ejected."""
        registered = self.sync.fleet.registered
        interval_s = max(TELL_INTERVAL_S, len(registered) / MAX_MESSAGES_PER_S)
        if now - self.told_at.get(service, float("-inf")) < interval_s:
            return
        self.told_at[service] = now
        own = self.context.members.own.name
        for instance in registered:
            if instance.name != own:
                self._send(instance, self.make_collected(instance.name))

    def _send(self, instance, evidence):
        if evidence:
            own = peer_messages.write_instance(self.context.members.own)
            message = peer_messages.NewsOffer([own], evidence=evidence)
            self.context.peers.send(instance, message)

    def _give_up_reads(self, name):
        """Let the reads that wait for a silent member be tried elsewhere."""
        for task in list(self.proxy.sessions):
            task.give_up_read(name)
        self.proxy.relay.give_up_reads(name)

    def _record_change(self, service, change, now):
        evidence = change.evidence
        fields = {
            "service": service,
            "member": change.member,
            "attempts": round(evidence.attempts, 1),
            "failures": round(evidence.failures, 1),
            "mean_read_ms": round(evidence.mean_read_s * 1000.0, 1),
            "silent": evidence.silent,
            "answering": evidence.answering,
            "sources": evidence.sources,
            "origin": "own" if change.is_own else "others",
        }
        if change.fault is None:
            self.context.log.write(
                events.Event.MEMBER_RETURNED, s=round(change.duration_s, 3), **fields
            )
            return
        self.context.metrics.count(self.ejections, change.fault.value)
        age_s = now - evidence.failed_at
        self.context.log.write(
            events.Event.MEMBER_EJECTED,
            fault=change.fault.value,
            s=round(change.duration_s, 3),
            failed_age_s=None if age_s == float("inf") else round(age_s, 3),
            **fields,
        )


def is_read(message):
    """Return whether a RelayRequest is a read that may run twice."""
    is_prepared_read = message.is_prepared and not message.writes
    return message.operation == _OP.READ.value or is_prepared_read


def _encode(service, name, evidence, now, collected):
    return peer_messages.EvidenceNews(
        service=service,
        member=name,
        attempts=evidence.attempts,
        failures=evidence.failures,
        reads=evidence.reads,
        read_s=evidence.read_s,
        age_ms=max(0, int((now - evidence.as_of) * 1000.0)),
        failed_age_ms=_encode_age(evidence.failed_at, now),
        heard_age_ms=_encode_age(evidence.heard_at, now),
        silent_age_ms=_encode_age(evidence.silent_from, now),
        silent=min(MAX_COUNT, evidence.silent),
        answering=min(MAX_COUNT, evidence.answering),
        sources=min(MAX_COUNT, evidence.sources),
        suspecting=min(MAX_COUNT, evidence.suspecting),
        collected=collected,
        passed=min(MAX_COUNT, evidence.passed),
    )


def _is_valid(encoded):
    """Return whether the counts of an EvidenceNews can be added to others."""
    counts = (encoded.attempts, encoded.failures, encoded.reads, encoded.read_s)
    return all(0.0 <= count < MAX_EVIDENCE for count in counts)


def _decode(encoded, now):
    return placement.Evidence(
        as_of=now - encoded.age_ms / 1000.0,
        attempts=encoded.attempts,
        failures=encoded.failures,
        reads=encoded.reads,
        read_s=encoded.read_s,
        failed_at=_decode_age(encoded.failed_age_ms, now),
        heard_at=_decode_age(encoded.heard_age_ms, now),
        silent_from=_decode_age(encoded.silent_age_ms, now),
        silent=encoded.silent,
        answering=encoded.answering,
        sources=encoded.sources,
        suspecting=encoded.suspecting,
        passed=encoded.passed,
    )


def _encode_age(at, now):
    """Return the time since `at` in milliseconds, or 0 if it is too long ago."""
    age_s = now - at
    return 1 + int(age_s * 1000.0) if age_s < placement.REPORT_MAX_AGE_S else 0


def _decode_age(age_ms, now):
    return now - age_ms / 1000.0 if age_ms else float("-inf")
