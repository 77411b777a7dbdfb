"""Logs the reads that are answered soon after a change of a service's primary."""

import attrs

from pomelograde.net import events

WINDOW_S = 3.0  # longer than the age that most routes accept
MAX_READS = 300  # a service and change; bounds the size of the log


@attrs.define
class LoggedChange:
    """Reads that were logged since a change of a primary.

    Attributes
    ----------
    since : float
        `Group.primary_since` of the change.
    count : int
        Number of reads.
    """

    since: float
    count: int = 0


class ReadLog:
    """Logs what the reads after a takeover went by, and what they found.

    Parameters
    ----------
    context : HostedContext
        Components that all tasks of the instance share.
    groups : dict of str to Group
        Database services by name.

    Attributes
    ----------
    changes : dict of str to LoggedChange
        Last change of each service's primary.
    """

    def __init__(self, context, groups):
        self.context = context
        self.groups = groups
        self.changes = {}

    def record(self, session, answer):
        """Log the answer to a session's read, unless its primary is known for longer.

        Parameters
        ----------
        session : core.statements.Session
            Session whose statement in flight is answered.
        answer : Answer
            Answer of the member.
        """
        in_flight = session.in_flight
        group = self.groups.get(in_flight.route.service)
        if group is None or not group.fence or in_flight.writes:
            return
        now = self.context.now()
        if now - group.primary_since >= WINDOW_S:
            return
        if session.transaction is not None and not in_flight.awaiting_begin:
            return  # It goes by the position that its BEGIN went by.
        change = self.changes.get(group.name)
        if change is None or change.since != group.primary_since:
            change = self.changes[group.name] = LoggedChange(group.primary_since)
        if change.count >= MAX_READS:
            return
        change.count += 1
        self.context.log.write(
            events.Event.READ_ANSWERED,
            id=in_flight.statement.request_id.decode("latin-1"),
            service=group.name,
            **in_flight.describe(),
            position=_format(answer.position),
            error=None if answer.error is None else answer.error.value,
            bookmark=_format(session.commit_position),
            **_describe_floor(in_flight.floor, now),
            term=group.term,
            sent_s=round(now - in_flight.sent_at, 4),
            primary=group.primary,
            primary_s=round(now - group.primary_since, 4),
        )


def _describe_floor(floor, now):
    """Return the fields of the log that describe a Floor, or None."""
    if floor is None:
        return {"floor": None}
    return {
        "floor": _format(floor.position),
        "floor_s": round(now - floor.asked_at, 4),
        "floor_member": floor.member,
        "floor_source": floor.source,
    }


def _format(position):
    return None if position is None else f"{position.term}.{position.index}"
