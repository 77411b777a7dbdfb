"""Test of what callers get while a primary is replaced."""

import heapq
import itertools

import testtools

from pomelograde.core import placement, statements

RATE_PER_S = 50.0
TAKEOVER_S = 1.4  # about that of a crashed primary
LONG_TAKEOVER_S = 4.2  # with a silent instance
TIMEOUT_S = 0.8
OBJECTIVE_S = 0.6
RETRIES = 2
RETRY_PAUSE_S = 0.1


class Router:
    """Router with one primary, which a takeover blocks from 0 on."""

    def __init__(self, takeover_s):
        self.now = 0.0
        self.takeover_s = takeover_s
        self.found = placement.Group("g")
        primary = placement.Member("p", "here", role=placement.Role.PRIMARY)
        self.found.update([primary], 0.0)
        self.found.primary_lease_until = 100.0
        self.found.set_takeover(True, "", 0.0)
        self.route = statements.Route(
            "db", "g", statements.RouteType.PRIMARY, TIMEOUT_S, OBJECTIVE_S, 1, 1.5
        )

    def resolve(self, now):
        return self.route

    def check(self, now):
        return None

    def group(self, service):
        self.found.set_takeover(self.now < self.takeover_s, "", self.now)
        return self.found


class Load:
    """Callers that arrive evenly, and repeat a refused write a few times."""

    def __init__(self, takeover_s):
        self.router = Router(takeover_s)
        self.events = []
        self.sequence = itertools.count()
        self.served = []
        self.gave_up = []
        self.waits = []

    def run(self):
        for number in range(int(RATE_PER_S * self.router.takeover_s)):
            self.schedule(number / RATE_PER_S, self.send, number, RETRIES)
        while self.events:
            now, _, callback, arguments = heapq.heappop(self.events)
            self.router.now = now
            callback(now, *arguments)
        return self

    def schedule(self, when, callback, *arguments):
        heapq.heappush(self.events, (when, next(self.sequence), callback, arguments))

    def send(self, now, number, retries):
        session = statements.Session("desk", "here", self.router)
        write = statements.Statement(b"q", statements.Operation.WRITE, b"text")
        session.on_statement(write, now)
        self.perform(now, session, session.on_admitted(now), number, retries)

    def perform(self, now, session, actions, number, retries):
        for action in actions:
            if isinstance(action, statements.StartTimer):
                self.schedule(now + action.delay_s, self.wake, session, number, retries)
            elif isinstance(action, statements.Acquire):
                self.served.append(number)
            elif isinstance(action, statements.RespondError):
                self.waits.append((now, now - session.last_statement.started_at))
                if retries:
                    self.schedule(now + RETRY_PAUSE_S, self.send, number, retries - 1)
                else:
                    self.gave_up.append(number)

    def wake(self, now, session, number, retries):
        self.perform(now, session, session.on_timer(now), number, retries)


class TakeoverLoadTests(testtools.TestCase):
    def test_callers_are_served_after_the_takeover(self):
        load = Load(TAKEOVER_S).run()
        self.assertEqual([], load.gave_up)
        self.assertEqual(int(RATE_PER_S * TAKEOVER_S), len(load.served))

    def test_callers_are_refused_early_once_a_takeover_takes_long(self):
        load = Load(LONG_TAKEOVER_S).run()
        late = [wait_s for at, wait_s in load.waits if at > 3.0]
        self.assertTrue(late)
        self.assertTrue(max(late) < 0.3 * OBJECTIVE_S, max(late))
