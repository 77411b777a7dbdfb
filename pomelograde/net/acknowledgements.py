"""Acknowledges writes once a majority of members holds them."""

import functools

from twisted.internet import defer

from pomelograde.core import failover, pooling, retries
from pomelograde.net import member_connections, upstream

MAJORITY_WAIT_MS = 500
ANSWER_TIMEOUT_S = 1.0  # above MAJORITY_WAIT_MS; detects a stalled connection
RETRY_DELAY_S = 0.02

FAILURE_BY_OUTCOME = {
    failover.Outcome.HELD: None,
    failover.Outcome.DISCARDED: retries.Failure(retries.ErrorKind.WRITE_DISCARDED),
    failover.Outcome.UNKNOWN: retries.Failure(retries.ErrorKind.ACKNOWLEDGEMENT_LOST),
}


class AcknowledgementTask:
    """Tracks writes of one group until a majority of members holds them.

    Parameters
    ----------
    context : InstanceContext
        State and services shared by all tasks of the daemon.
    group : GroupTask
        The group.

    Notes
    -----
    One pooled connection to the primary, `query_connection`, serves all pending
    writes together. When it is lost or the primary changes, it is replaced by a
    connection to the primary known then.
    """

    def __init__(self, context, group):
        self.context = context
        self.group = group
        self.queue = failover.AcknowledgementQueue(group.view)
        self.query_connection = None
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
            Deadline in monotonic seconds.

        Returns
        -------
        Deferred of Failure or None
            None once the write is acknowledged.
        """
        done = defer.Deferred()
        write = failover.PendingWrite(position, connection.member, deadline, done)
        self.queue.add(write)
        is_primary = connection.member == self.group.view.primary
        if self.query_connection is None and is_primary and not connection.is_lost:
            self.query_connection = connection
            self._send_query()
        else:
            self._release(connection)
            self._ensure_connection()
        return done

    def expire(self, now):
        """Fail the writes whose deadline has passed."""
        self._complete(self.queue.expire(now))
        self._ensure_connection()

    def on_primary_changed(self):
        """Close the query connection if it leads to a replaced primary."""
        query_connection = self.query_connection
        if (
            query_connection is not None
            and query_connection.member != self.group.view.primary
        ):
            self._drop(query_connection)
        self._ensure_connection()

    def on_connection(self, connection):
        """Use the connection that the pool has assigned."""
        self.is_requesting = False
        stale = connection.member != self.group.view.primary
        if self.query_connection is not None or stale or not self.queue.pending:
            self._release(connection)
            self._ensure_connection()
            return
        self.query_connection = connection
        self._send_query()

    def on_refused(self, failure):
        """Handle the pool's refusal; the next `expire` requests again."""
        self.is_requesting = False

    def _ensure_connection(self):
        """Request a query connection if writes are pending and there is none."""
        primary = self.group.view.primary
        pool = self.group.pools.get(primary)
        if self.query_connection is not None or self.is_requesting or pool is None:
            return
        if not self.queue.pending:
            return
        self.is_requesting = True
        deadline = max(write.deadline for write in self.queue.pending)
        role = member_connections.SYSTEM_ROLE
        pool.request(pooling.Waiter(role, role, deadline, self))

    def _send_query(self):
        query_connection = self.query_connection
        query = self.queue.next_query()
        if query is None:
            self.query_connection = None
            self._release(query_connection)
            return
        deferred = upstream.call(query_connection, _query_for(query))
        deferred.addTimeout(ANSWER_TIMEOUT_S, self.context.reactor)
        deferred.addCallback(self._on_answer, query_connection, query)
        deferred.addErrback(self._on_failed, query_connection)

    def _on_answer(self, row, query_connection, query):
        if query_connection is not self.query_connection:
            return
        if isinstance(query, failover.QueryEntry):
            is_held = row[:1] == ["t"]
            position = query.position
            self._complete(
                self.queue.on_entry_answer(query_connection.member, position, is_held)
            )
            self._send_query()
            return
        held = upstream.read_position(row)
        if held.term == 0:
            self._retry_later()
            return
        self._complete(self.queue.on_majority_answer(query_connection.member, held))
        self._send_query()

    def _retry_later(self):
        """Query again after a delay: the member is not the primary now."""
        query_connection, self.query_connection = self.query_connection, None
        self._release(query_connection)
        self.context.reactor.callLater(RETRY_DELAY_S, self._ensure_connection)

    def _on_failed(self, reason, query_connection):
        reason.trap(upstream.UpstreamCallError, defer.TimeoutError)
        if query_connection is self.query_connection:
            self._drop(query_connection)
            self._ensure_connection()

    def _drop(self, query_connection):
        self.query_connection = None
        if not query_connection.is_lost:
            query_connection.close()

    def _release(self, connection):
        pool = self.group.pools.get(connection.member)
        if pool is not None:
            pool.release(connection)
        elif not connection.is_lost:
            connection.close()

    def _complete(self, completed):
        metrics = self.context.metrics
        for action in completed:
            metrics.count(metrics.acknowledgements, action.outcome.value)
            action.write.context.callback(FAILURE_BY_OUTCOME[action.outcome])


@functools.singledispatch
def _query_for(query):
    raise TypeError(f"unknown query {query!r}")


@_query_for.register
def _(query: failover.WaitForMajority):
    position = query.position
    return (
        "SELECT * FROM pomelograde.wait_majority("
        f"{position.term}, {position.index}, {MAJORITY_WAIT_MS})"
    )


@_query_for.register
def _(query: failover.QueryEntry):
    position = query.position
    return f"SELECT * FROM pomelograde.holds({position.term}, {position.index})"
