"""Finding out whether a write survived the loss of its primary."""

from pomelograde.core import retries, sessions
from pomelograde.net import groups, upstream

RETRY_INTERVAL_S = 0.02
MAJORITY_WAIT_MS = 500


class Resolution:
    """Asks the primary of a later term whether its log has a write.

    Parameters
    ----------
    exchange : Exchange
        Exchange of the write; told by `on_survival`.

    Notes
    -----
    A primary of the same term tells nothing, since the write may still be on
    its way to the other members; the outcome is then unknown at once. One of a
    later term is asked once a majority holds an entry of that term, since only
    then no other history can win.
    """

    def __init__(self, exchange):
        self.exchange = exchange
        self.group = exchange.group
        self.context = exchange.session.context
        self.lower = exchange.lower
        self.upper = exchange.position
        self.waiter = None
        self.done = False

    def start(self):
        """Ask the primary, once there is one."""
        waiting = self.group.wait_for_primary(self.exchange.deadline)
        waiting.addCallback(lambda _: self._request())

    def stop(self):
        """Ask no further."""
        self.done = True
        if self.waiter is not None:
            self.waiter.abandoned = True

    def on_connection(self, connection):
        """Take a connection to the primary."""
        self.waiter = None
        if self.done:
            self.exchange.release_connection(connection)
            return
        asked = upstream.call(connection, "SELECT * FROM pomelograde.position()")
        asked.addCallback(self._on_position, connection)
        asked.addErrback(self._on_error, connection)

    def on_refused(self, failure):
        """Take the pool's refusal."""
        self.waiter = None
        if not self.done:
            self._again()

    def _request(self):
        if self.done:
            return
        primary = self.group.view.primary
        pool = self.group.pools.get(primary)
        if pool is None:
            self._again()
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
        if position.term <= self.upper.term:
            self._finish(retries.Survival.UNKNOWN, None, connection)
            return None
        asked = upstream.call(
            connection,
            "SELECT * FROM pomelograde.wait_majority("
            f"{position.term}, {position.index}, {MAJORITY_WAIT_MS})",
        )
        return asked.addCallback(self._on_majority, position, connection)

    def _on_majority(self, row, position, connection):
        held = upstream.read_position(row)
        if held.term < position.term:
            self.exchange.release_connection(connection)
            if not self.done:
                self._again()
            return None
        asked = self._ask_holds(connection, self.upper)
        asked.addCallback(self._on_upper, position, connection)
        return asked

    def _on_upper(self, holds_upper, position, connection):
        if holds_upper or self.lower is None:
            self._judge(None, holds_upper, position, connection)
            return None
        following = sessions.Position(self.lower.term, self.lower.index + 1)
        asked = self._ask_holds(connection, following)
        asked.addCallback(self._judge, holds_upper, position, connection)
        return asked

    def _judge(self, holds_after_lower, holds_upper, position, connection):
        survival = retries.classify_survival(
            self.lower, self.upper, holds_after_lower, holds_upper
        )
        self._finish(survival, position, connection)

    def _ask_holds(self, connection, position):
        asked = upstream.call(
            connection,
            f"SELECT * FROM pomelograde.holds({position.term}, {position.index})",
        )
        return asked.addCallback(lambda row: row[0] == "t")

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
            self._again()

    def _again(self):
        self.context.reactor.callLater(RETRY_INTERVAL_S, self.start_again)

    def start_again(self):
        """Ask once more, unless the exchange has ended."""
        if not self.done:
            self.start()
