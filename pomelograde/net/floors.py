"""Reads a position at or above all acknowledged writes of a group."""

from twisted.internet import defer

from pomelograde.core import failover, sessions
from pomelograde.net import member_connections, peer_messages, peers, upstream

MEMBER_TIMEOUT_S = 1.0
WATCHER_TIMEOUT_S = 0.3
POSITION_SQL = "SELECT * FROM pomelograde.position()"


class FloorTask:
    """Serves all readers that wait for a floor with shared rounds.

    Parameters
    ----------
    context : InstanceContext
        Parts of the daemon that all tasks share.
    group : GroupTask
        The group.

    Notes
    -----
    A round reads the positions of a majority of members after it began, so
    one of them holds every write that was acknowledged before. An instance
    that does not watch the group asks the watcher of its data centre, whose
    round begins after the request arrives.
    """

    def __init__(self, context, group):
        self.context = context
        self.group = group
        self.current = None
        self.next = None

    def read(self):
        """Return a Deferred of a `Position`, or of None if none is known."""
        waiting = defer.Deferred()
        if self.current is None:
            self.current = [waiting]
            self._begin()
        else:
            if self.next is None:
                self.next = []
            self.next.append(waiting)
        return waiting

    def _begin(self):
        defer.ensureDeferred(self._round())

    async def _round(self):
        asked_at = self.context.now()
        floor = None
        if not self.group.watch.is_watching:
            floor = await self._ask_watcher()
        if floor is None:
            floor = await self._ask_members()
        if floor is not None:
            self.group.floors.add(asked_at, floor)
        waiting, self.current = self.current, None
        if self.next is not None:
            self.current, self.next = self.next, None
            self._begin()
        for deferred in waiting:
            deferred.callback(floor)

    async def _ask_watcher(self):
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
        return sessions.Position(answer.term, answer.index)

    async def _ask_members(self):
        names = list(self.group.pools)
        needed = failover.majority(len(names))
        calls = [defer.ensureDeferred(self._position(name)) for name in names]
        positions = await _first_answers(calls, needed)
        return max(positions) if len(positions) >= needed else None

    async def _position(self, name):
        try:
            row = await self.group.member_connections.call(
                name, POSITION_SQL, MEMBER_TIMEOUT_S
            )
        except member_connections.MemberCallError:
            return None
        return upstream.read_position(row)


def _first_answers(calls, needed):
    """Return a Deferred of the first `needed` answers that are not None.

    It fires with fewer once all calls have ended.
    """
    done = defer.Deferred()
    answers = []
    left = [len(calls)]

    def on_answer(answer):
        left[0] -= 1
        if answer is not None:
            answers.append(answer)
        if not done.called and (len(answers) >= needed or left[0] == 0):
            done.callback(list(answers))

    for call in calls:
        call.addCallback(on_answer)
    return done
