"""Reads of floors, positions at or above all acknowledged writes of a group.

A member that has reached the floor shows every write that was acknowledged
before the floor was requested.
"""

from twisted.internet import defer

from pomelograde.core import failover, sessions
from pomelograde.net import member_connections, peer_messages, peers, upstream

MEMBER_TIMEOUT_S = 1.0
WATCHER_TIMEOUT_S = 0.3
POSITION_SQL = "SELECT * FROM pomelograde.position()"


class FloorTask:
    """Batches floor reads of one group into shared rounds of queries.

    Parameters
    ----------
    context : InstanceContext
        State and services shared by all tasks of the daemon.
    group : GroupTask
        The group.

    Notes
    -----
    A round reads the positions of a majority of members after its start, so
    that at least one of them holds every write acknowledged before. An instance
    that does not watch the group sends a request to the watcher of its data
    centre, whose round starts after the request arrives. A read that is
    requested during a round waits for the next round.
    """

    def __init__(self, context, group):
        self.context = context
        self.group = group
        self.current_waiters = None
        self.next_waiters = None

    def read(self):
        """Return a Deferred of the floor, a `Position`, or of None on failure."""
        waiting = defer.Deferred()
        if self.current_waiters is None:
            self.current_waiters = [waiting]
            self._start_round()
        else:
            if self.next_waiters is None:
                self.next_waiters = []
            self.next_waiters.append(waiting)
        return waiting

    def _start_round(self):
        defer.ensureDeferred(self._run_round())

    async def _run_round(self):
        requested_at = self.context.now()
        floor = None
        if not self.group.watch.is_watching:
            floor = await self._query_watcher()
        if floor is None:
            floor = await self._query_members()
        if floor is not None:
            self.group.floors.add(requested_at, floor)
        waiting, self.current_waiters = self.current_waiters, None
        if self.next_waiters is not None:
            self.current_waiters, self.next_waiters = self.next_waiters, None
            self._start_round()
        for deferred in waiting:
            deferred.callback(floor)

    async def _query_watcher(self):
        watcher = self.group.watch.nearest_watcher()
        if watcher is None:
            return None
        request = peer_messages.FloorRequest(self.group.name)
        try:
            answer = await self.context.peers.request(
                watcher, request, WATCHER_TIMEOUT_S
            )
        except peers.PeerUnreachableError:
            return None
        if not isinstance(answer, peer_messages.FloorAnswer) or not answer.known:
            return None
        if max(answer.term, answer.index) >= failover.TERM_LIMIT:
            self.context.peers.reject(answer, watcher.name, "a position out of range")
            return None
        return sessions.Position(answer.term, answer.index)

    async def _query_members(self):
        names = list(self.group.pools)
        needed = failover.majority(len(names))
        calls = [defer.ensureDeferred(self._query_position(name)) for name in names]
        positions = await _gather_first(calls, needed)
        return max(positions) if len(positions) >= needed else None

    async def _query_position(self, name):
        try:
            return await self.group.member_connections.call(
                name, POSITION_SQL, MEMBER_TIMEOUT_S, upstream.read_position
            )
        except member_connections.MemberCallError:
            return None


def _gather_first(calls, needed):
    """Return a Deferred of the first `needed` answers that are not None.

    It fires with fewer answers if all calls have ended before.
    """
    done = defer.Deferred()
    answers = []
    remaining = [len(calls)]

    def on_answer(answer):
        remaining[0] -= 1
        if answer is not None:
            answers.append(answer)
        if not done.called and (len(answers) >= needed or remaining[0] == 0):
            done.callback(list(answers))

    for call in calls:
        call.addCallback(on_answer)
    return done
