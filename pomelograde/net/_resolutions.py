"""Determines whether a write survived the loss of its primary."""

from pomelograde.core import retries, sessions
from pomelograde.net import groups, upstream

RETRY_INTERVAL_S = 0.02
MAJORITY_WAIT_MS = 500


class Resolution:
    """Queries the primary of a later term whether its log contains a write.

    Parameters
    ----------
    exchange : Exchange
        Exchange of the write; notified through `on_survival`.

    Attributes
    ----------
    position_before : Position or None
        Position of the old primary before the write was sent.
    position_after : Position
        Position of the old primary after the write.

    Notes
    -----
    A primary of the same term gives no evidence, since the write may still be
    replicated to the other members; the outcome is then unknown at once. A
    primary of a later term is queried once a majority holds an entry of its
    term, because only from then on can no other log replace its own.
    """

    def __init__(self, exchange):
        self.exchange = exchange
        self.group = exchange.group
        self.context = exchange.session.context
        self.position_before = exchange.position_before
        self.position_after = exchange.position
        self.waiter = None
        self.done = False

    def start(self):
        """Query the primary as soon as one is known."""
        waiting = self.group.wait_for_primary(self.exchange.deadline)
        waiting.addCallback(lambda _: self._request_connection())

    def stop(self):
        """Cancel the inquiry."""
        self.done = True
        if self.waiter is not None:
            self.waiter.abandoned = True

    def on_connection(self, connection):
        """Start the queries on a connection to the primary."""
        self.waiter = None
        if self.done:
            self.exchange.release_connection(connection)
            return
        deferred = upstream.call(connection, "SELECT * FROM pomelograde.position()")
        deferred.addCallback(self._on_position, connection)
        deferred.addErrback(self._on_error, connection)

    def on_refused(self, failure):
        """Try again after the pool's refusal to assign a connection."""
        self.waiter = None
        if not self.done:
            self._schedule_retry()

    def _request_connection(self):
        if self.done:
            return
        primary = self.group.view.primary
        pool = self.group.pools.get(primary)
        if pool is None:
            self._schedule_retry()
            return
        session = self.exchange.session
        self.waiter = groups.make_waiter(
            session.account,
            session.role,
            session.weight,
            self.exchange.deadline,
            self,
        )
        pool.request(self.waiter)

    def _on_position(self, row, connection):
        position = upstream.read_position(row)
        if position.term <= self.position_after.term:
            self._finish(retries.Survival.UNKNOWN, None, connection)
            return None
        deferred = upstream.call(
            connection,
            "SELECT * FROM pomelograde.wait_majority("
            f"{position.term}, {position.index}, {MAJORITY_WAIT_MS})",
        )
        return deferred.addCallback(self._on_majority, position, connection)

    def _on_majority(self, row, position, connection):
        held = upstream.read_position(row)
        if held.term < position.term:
            self.exchange.release_connection(connection)
            if not self.done:
                self._schedule_retry()
            return None
        deferred = self._query_entry(connection, self.position_after)
        deferred.addCallback(self._on_upper, position, connection)
        return deferred

    def _on_upper(self, holds_upper, position, connection):
        if holds_upper or self.position_before is None:
            self._classify(None, holds_upper, position, connection)
            return None
        following = sessions.Position(
            self.position_before.term, self.position_before.index + 1
        )
        deferred = self._query_entry(connection, following)
        deferred.addCallback(self._classify, holds_upper, position, connection)
        return deferred

    def _classify(self, holds_after_lower, holds_upper, position, connection):
        survival = retries.classify_survival(
            self.position_before, self.position_after, holds_after_lower, holds_upper
        )
        self._finish(survival, position, connection)

    def _query_entry(self, connection, position):
        deferred = upstream.call(
            connection,
            f"SELECT * FROM pomelograde.holds({position.term}, {position.index})",
        )
        return deferred.addCallback(lambda row: row[:1] == ["t"])

    def _finish(self, survival, position, connection):
        if self.done:
            self.exchange.release_connection(connection)
            return
        self.done = True
        self.exchange.on_survival(survival, position, connection)

    def _on_error(self, reason, connection):
        reason.trap(upstream.UpstreamCallError)
        connection.close()
        if not self.done:
            self._schedule_retry()

    def _schedule_retry(self):
        self.context.reactor.callLater(RETRY_INTERVAL_S, self.start_again)

    def start_again(self):
        """Restart the inquiry unless the exchange has ended."""
        if not self.done:
            self.start()
