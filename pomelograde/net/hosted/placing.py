"""Measures the members' answers, by which the reads of an instance are placed."""

from pomelograde.core import placement
from pomelograde.net import events, peer_messages

REPORT_INTERVAL_S = 1.0  # between the reports of changed shares
MAX_COUNT = 0xFFFF
MAX_US = 0xFFFFFFFF


class Placing:
    """Feeds the expected times at the members from answers, and reports shares.

    Parameters
    ----------
    context : HostedContext
        Components that all tasks of the instance share.
    proxy : Proxy
        Groups and pools.

    Attributes
    ----------
    place : Place
        Place of this instance.
    round_trips : RoundTrips
        Observed round trips to the data centres.
    statements, bytes, spilled : Counter
        Answered statements and their payload by level of place, and reads that
        were to leave for a farther member by reason.
    """

    def __init__(self, context, proxy):
        settings = context.settings
        self.context = context
        self.proxy = proxy
        self.place = placement.Place(settings.data_centre, settings.region)
        self.exchange = placement.Exchange(
            settings.data_centre_ms_per_kb, settings.region_ms_per_kb
        )
        self.round_trips = placement.RoundTrips()
        metrics = context.metrics
        self.statements = metrics.add_counter(
            "pomelograde_member_statements",
            "Statements answered by members, by how far the member is.",
            "level",
        )
        self.bytes = metrics.add_counter(
            "pomelograde_member_bytes",
            "Payload of statements and answers, by how far the member is.",
            "level",
        )
        self.spilled = metrics.add_counter(
            "pomelograde_spilled_statements",
            "Reads that were to leave for a farther member, by reason.",
            "reason",
        )

    def prepare(self, group):
        """Rank the reads of a new group by expected times."""
        group.expected = placement.ExpectedTimes(
            self.place, self.exchange, self.round_trips, self.context.random
        )

    def measure(self, name, connection, answer, started_at):
        """Return the fields of a RelayAnswer that describe time and load.

        Parameters
        ----------
        name : str
            Name of the member.
        connection : UpstreamConnection or None
            Connection that the statement ran on; None if it was refused.
        answer : Answer or None
            The answer; None if the statement was refused.
        started_at : float
            Monotonic time at which the request arrived.
        """
        now = self.context.now()
        queue, in_flight = self._load_of(name)
        fields = {
            "held_us": _limit((now - started_at) * 1e6, MAX_US) or 1,
            "queue": queue,
            "in_flight": in_flight,
        }
        if answer is not None and answer.digest is not None:
            fields["served_us"] = _limit((now - connection.sent_at) * 1e6, MAX_US) or 1
        return fields

    def on_relay_answer(self, connection, message):
        """Record the answer of a member's owner.

        Parameters
        ----------
        connection : RemoteConnection
            Connection by which the statement was relayed.
        message : RelayAnswer
            The answer; one without `held_us` comes from an older build.
        """
        group = self.proxy.groups.get(connection.service)
        if group is None or group.expected is None:
            return
        now = self.context.now()
        if message.held_us:
            elapsed_ms = (now - connection.sent_at) * 1000.0
            self.round_trips.observe(
                connection.peer.data_centre, elapsed_ms - message.held_us / 1000.0
            )
        name = connection.member
        if message.refusal:
            group.expected.on_refused(name, now)
        elif message.served_us:
            report = placement.Report(
                message.served_us / 1000.0, message.queue, message.in_flight
            )
            group.expected.on_report(name, connection.kind, report, now)
            size = connection.payload_bytes + sum(map(len, message.rows))
            self._count(group, name, size)

    def on_own_answer(self, task, answer):
        """Record the answer of a member that this instance is connected to.

        Parameters
        ----------
        task : SessionTask
            Session whose statement was answered.
        answer : Answer
            The answer.
        """
        connection = task.core.in_flight.connection
        if connection is None or connection.is_remote or answer.digest is None:
            return
        group = self.proxy.groups.get(connection.service)
        if group is None or group.expected is None:
            return
        now = self.context.now()
        name = connection.member
        served_ms = (now - connection.sent_at) * 1000.0
        report = placement.Report(served_ms, *self._load_of(name))
        group.expected.on_report(name, task.database, report, now)
        statement = task.statement
        size = len(statement.text) + len(statement.value) + sum(map(len, answer.rows))
        self._count(group, name, size)

    def on_own_refusal(self, task):
        """Record that this instance has no connection for a session's statement."""
        in_flight = task.core.in_flight
        group = None if in_flight is None else task.group(in_flight.route.service)
        if group is not None and group.expected is not None:
            group.expected.on_refused(in_flight.member, self.context.now())

    def describe(self, group, now):
        """Return which of a group's members have queues, for other instances."""
        if group.expected is None:
            return []
        return [
            peer_messages.LoadNews(
                name,
                int(max(0.0, now - known.at) * 1000.0),
                _limit(known.stretch * 100.0, MAX_US),
                _limit(known.wait_ms, MAX_US),
            )
            for name, known in group.expected.find_loaded(now)
        ]

    def on_loads(self, group, loads, asked_at):
        """Record what another instance knew of the members at `asked_at`."""
        if group.expected is None:
            return
        for load in loads:
            if load.member in group.members:
                group.expected.on_stretch(
                    load.member,
                    load.stretch_percent / 100.0,
                    float(load.wait_ms),
                    asked_at - load.age_ms / 1000.0,
                )

    def report_shares(self, group):
        """Log the shares that have changed, and count the reads that left."""
        expected = group.expected
        if expected is None:
            return
        for name, share in expected.take_changes():
            self.context.log.write(
                events.Event.SHARE_CHANGED,
                service=group.name,
                member=name,
                share=round(share, 2),
                expected_ms=self._expected_by_member(group),
            )
        for reason, count in expected.spilled.items():
            if count:
                expected.spilled[reason] = 0
                self.context.metrics.count(self.spilled, reason.value, count)

    def _expected_by_member(self, group):
        now = self.context.now()
        return {
            name: round(group.expected.expected_ms(member, name == group.primary, now))
            for name, member in group.members.items()
        }

    def _load_of(self, name):
        """Return how many statements wait for and run on own connections."""
        pool = self.proxy.pools.get(name)
        if pool is None:
            return 0, 0
        in_flight = len(pool.open) - len(pool.idle)
        return (
            _limit(pool.core.queue.length, MAX_COUNT),
            _limit(in_flight, MAX_COUNT),
        )

    def _count(self, group, name, size):
        member = group.members.get(name)
        if member is not None:
            level = self.place.level_of(member).name.lower()
            self.context.metrics.count(self.statements, level)
            self.context.metrics.count(self.bytes, level, size)


def _limit(number, maximum):
    return min(maximum, max(0, int(number)))
