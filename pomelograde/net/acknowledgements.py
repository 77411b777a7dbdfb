"""Carries the acknowledgement of writes from the primary."""

import functools

from twisted.internet import defer

from pomelograde.core import failover, pooling, retries
from pomelograde.net import member_connections, upstream

WAIT_MS = 500
ANSWER_TIMEOUT_S = 1.0  # above WAIT_MS, for a carrier that has gone silent
RETRY_DELAY_S = 0.02

FAILURES = {
    failover.Outcome.HELD: None,
    failover.Outcome.DISCARDED: retries.Failure(retries.ErrorKind.WRITE_DISCARDED),
    failover.Outcome.UNKNOWN: retries.Failure(retries.ErrorKind.ACKNOWLEDGEMENT_LOST),
}


class AcknowledgementTask:
    """Waits for writes of one group until a majority holds them.

    Parameters
    ----------
    context : InstanceContext
        Parts of the daemon that all tasks share.
    group : GroupTask
        The group.

    Notes
    -----
    One pooled connection to the primary, the carrier, asks for all writes
    together. When it is lost, or another primary is known, the next one asks
    the primary of that time.
    """

    def __init__(self, context, group):
        self.context = context
        self.group = group
        self.queue = failover.AcknowledgementQueue(group.view)
        self.carrier = None
        self.is_requesting = False

    def acknowledge(self, position, connection, deadline):
        """Wait until a majority of members holds a write.

        Parameters
        ----------
        position : Position
            Position of the write.
        connection : UpstreamConnection
            Idle connection to the member that the write ran on.
        deadline : float
            Monotonic seconds.

        Returns
        -------
        Deferred of Failure or None
            None once the write is acknowledged.
        """
        done = defer.Deferred()
        write = failover.PendingWrite(position, connection.member, deadline, done)
        self.queue.add(write)
        leads = connection.member == self.group.view.primary
        if self.carrier is None and leads and not connection.is_lost:
            self.carrier = connection
            self._ask()
        else:
            self._release(connection)
            self._carry_on()
        return done

    def sweep(self, now):
        """Answer the writes whose deadline has passed."""
        self._settle(self.queue.expire(now))
        self._carry_on()

    def on_primary_changed(self):
        """Let go of a carrier to a replaced primary."""
        carrier = self.carrier
        if carrier is not None and carrier.member != self.group.view.primary:
            self._drop(carrier)
        self._carry_on()

    def on_connection(self, connection):
        """Take the connection that a pool gives."""
        self.is_requesting = False
        stale = connection.member != self.group.view.primary
        if self.carrier is not None or stale or not self.queue.pending:
            self._release(connection)
            self._carry_on()
            return
        self.carrier = connection
        self._ask()

    def on_refused(self, failure):
        """Try again soon; the sweep does."""
        self.is_requesting = False

    def _carry_on(self):
        """Get a carrier if writes wait and none is there."""
        primary = self.group.view.primary
        pool = self.group.pools.get(primary)
        if self.carrier is not None or self.is_requesting or pool is None:
            return
        if not self.queue.pending:
            return
        self.is_requesting = True
        deadline = max(write.deadline for write in self.queue.pending)
        role = member_connections.SYSTEM_ROLE
        pool.request(pooling.Waiter(role, role, deadline, self))

    def _ask(self):
        carrier = self.carrier
        question = self.queue.next_query()
        if question is None:
            self.carrier = None
            self._release(carrier)
            return
        asked = upstream.call(carrier, _sql_of(question))
        asked.addTimeout(ANSWER_TIMEOUT_S, self.context.reactor)
        asked.addCallback(self._on_answer, carrier, question)
        asked.addErrback(self._on_failed, carrier)

    def _on_answer(self, row, carrier, question):
        if carrier is not self.carrier:
            return
        if isinstance(question, failover.QueryEntry):
            is_held = row[0] == "t"
            position = question.position
            self._settle(self.queue.on_entry_answer(carrier.member, position, is_held))
            self._ask()
            return
        held = upstream.read_position(row)
        if held.term == 0:
            self._pause()
            return
        self._settle(self.queue.on_majority_answer(carrier.member, held))
        self._ask()

    def _pause(self):
        """Ask again a little later: the member leads no more, or not yet."""
        carrier, self.carrier = self.carrier, None
        self._release(carrier)
        self.context.reactor.callLater(RETRY_DELAY_S, self._carry_on)

    def _on_failed(self, reason, carrier):
        reason.trap(upstream.UpstreamCallError, defer.TimeoutError)
        if carrier is self.carrier:
            self._drop(carrier)
            self._carry_on()

    def _drop(self, carrier):
        self.carrier = None
        if not carrier.is_lost:
            carrier.close()

    def _release(self, connection):
        pool = self.group.pools.get(connection.member)
        if pool is not None:
            pool.release(connection)
        elif not connection.is_lost:
            connection.close()

    def _settle(self, settled):
        metrics = self.context.metrics
        for action in settled:
            metrics.count(metrics.acknowledgements, action.outcome.value)
            action.write.context.callback(FAILURES[action.outcome])


@functools.singledispatch
def _sql_of(question):
    raise TypeError(f"unknown question {question!r}")


@_sql_of.register
def _(question: failover.WaitForMajority):
    position = question.position
    return (
        "SELECT * FROM pomelograde.wait_majority("
        f"{position.term}, {position.index}, {WAIT_MS})"
    )


@_sql_of.register
def _(question: failover.QueryEntry):
    position = question.position
    return f"SELECT * FROM pomelograde.holds({position.term}, {position.index})"
