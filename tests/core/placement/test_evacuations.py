"""Tests of evacuated data centres."""

import hypothesis
import testtools
from hypothesis import strategies

from pomelograde.core import placement, retries, sessions, statements

EVACUATION_S = 5.0  # the stated bound
ROLE = placement.Role


def make_read(revision, *names, era=1, as_of=None):
    as_of = float(revision) if as_of is None else as_of
    return placement.EvacuationsRead(frozenset(names), era, revision, as_of)


class OrderTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.known = placement.Evacuations()

    def apply(self, *reads, now=100.0):
        return [self.known.apply(read, now) for read in reads]

    def test_older_answer_does_not_bring_back_what_was_taken_back(self):
        found = self.apply(make_read(1), make_read(5, "x"), make_read(9))
        self.assertEqual([False, True, True], found)
        self.assertEqual([False], self.apply(make_read(6, "x")))
        self.assertEqual(frozenset(), self.known.data_centres)

    def test_older_answer_does_not_hide_a_request(self):
        self.apply(make_read(1), make_read(5, "x"), make_read(4))
        self.assertEqual({"x"}, self.known.data_centres)

    def test_request_that_another_instance_knows_counts_until_it_may_be_written(self):
        self.apply(make_read(1, as_of=99.0))
        self.assertTrue(self.known.learn(frozenset("x"), 100.0))
        self.assertFalse(self.known.learn(frozenset("x"), 100.1))
        self.assertEqual({"x": float("-inf")}, self.known.deadlines(EVACUATION_S))
        self.apply(make_read(2, as_of=102.0), now=102.0)
        self.assertEqual({"x"}, self.known.data_centres)
        self.apply(make_read(3, as_of=103.0), now=103.0)
        self.assertEqual(frozenset(), self.known.data_centres)

    def test_time_counts_from_the_last_read_without_the_request(self):
        self.apply(make_read(1, as_of=10.0), make_read(5, "x", as_of=11.2))
        self.apply(make_read(6, "x", "y", as_of=12.0))
        deadlines = self.known.deadlines(EVACUATION_S)
        self.assertTrue(10.0 < deadlines["x"] < 10.0 + EVACUATION_S)
        self.assertAlmostEqual(1.2, deadlines["y"] - deadlines["x"])

    def test_request_that_may_be_old_leaves_no_time(self):
        self.apply(make_read(5, "x"))
        self.assertEqual({"x": float("-inf")}, self.known.deadlines(EVACUATION_S))

    def test_request_that_a_restored_store_lacks_counts_until_it_may_be_written(self):
        self.apply(make_read(1), make_read(90, "x", "y"))
        deadline = self.known.deadlines(EVACUATION_S)["x"]
        self.apply(make_read(3, era=2, as_of=200.0), now=200.0)
        self.assertEqual({"x", "y"}, self.known.data_centres)
        self.apply(make_read(5, "x", era=2, as_of=201.9), now=201.9)
        self.assertEqual({"x", "y"}, self.known.data_centres)
        self.apply(make_read(6, "x", era=2, as_of=203.0), now=203.0)
        self.assertEqual({"x"}, self.known.data_centres)
        self.assertEqual(deadline, self.known.deadlines(EVACUATION_S)["x"])

    def test_late_answer_does_not_end_what_may_be_written_since_it_was_read(self):
        self.apply(make_read(1), make_read(90, "x"))
        self.apply(make_read(3, era=2, as_of=200.0), now=200.0)
        self.apply(make_read(4, era=2, as_of=201.4), now=202.6)
        self.assertEqual({"x"}, self.known.data_centres)
        self.apply(make_read(5, "x", era=2, as_of=201.6), now=203.1)
        self.assertEqual({"x"}, self.known.data_centres)

    @hypothesis.given(
        strategies.lists(strategies.sets(strategies.sampled_from("xyz"))),
        strategies.randoms(use_true_random=False),
    )
    def test_any_order_of_reads_ends_with_the_latest(self, sets, random):
        reads = [make_read(number, *names) for number, names in enumerate(sets)]
        shuffled = reads * 2
        random.shuffle(shuffled)
        self.known = placement.Evacuations()
        self.apply(*shuffled)
        expected = frozenset(sets[-1]) if sets else frozenset()
        self.assertEqual(expected, self.known.data_centres)


class Load:
    """Callers of one service at full load, played on the decision code.

    Each call asks a new session for a member, and follows it until the statement
    is sent to a member or refused; it returns the member's name or the error kind.
    """

    def __init__(self, members, primary="p"):
        self.known_group = placement.Group("g")
        self.known_group.update(members, 0.0)
        self.known_group.primary_lease_until = float("inf")
        self.kind = statements.RouteType.READ_YOUR_WRITES
        if primary:
            self.known_group.on_position(primary, sessions.Position(1, 7), 0.0)
        for member in members:
            member.position = sessions.Position(1, 7)

    def resolve(self, now):
        return statements.Route("db", "g", self.kind, 0.8, 0.4, 1, float("inf"))

    def check(self, now):
        return None

    def group(self, service):
        return self.known_group

    def evacuate(self, *names, until):
        self.known_group.set_evacuations(dict.fromkeys(names, until))

    def call(self, operation, now):
        """Return where a statement went, and the time for which it was held."""
        session = statements.Session("desk", "x", self)
        statement = statements.Statement(b"q", operation, b"t")
        actions = session.on_statement(statement, now)
        started = now
        while True:
            if any(isinstance(action, statements.RespondError) for action in actions):
                (error,) = [
                    a for a in actions if isinstance(a, statements.RespondError)
                ]
                return error.failure.kind, now - started
            action = actions[-1]
            if isinstance(action, statements.Admit):
                actions = session.on_admitted(now)
            elif isinstance(action, statements.StartTimer):
                now += action.delay_s
                actions = session.on_timer(now)
            elif isinstance(action, statements.Acquire):
                actions = session.on_connection("connection", now)
                if isinstance(actions[-1], statements.Execute):
                    return action.member, now - started


def make_member(name, data_centre, **fields):
    role = ROLE.PRIMARY if name == "p" else ROLE.REPLICA
    return placement.Member(name, data_centre, role=role, **fields)


OP = statements.Operation
KIND = retries.ErrorKind


class LoadTests(testtools.TestCase):
    """300 statements a second, a fifth of them writes, while x is evacuated."""

    def play(self, load, now, count=300):
        found = []
        for number in range(count):
            operation = OP.WRITE if number % 5 == 0 else OP.READ
            found.append((operation, *load.call(operation, now + number / count)))
        return found

    def make(self, *replicas):
        return Load([make_member("p", "x"), *replicas])

    def test_reads_move_at_once_and_writes_stay_until_the_deadline(self):
        load = self.make(make_member("a", "x"), make_member("b", "y"))
        load.evacuate("x", until=20.0)
        for operation, member, held_s in self.play(load, 10.0):
            expected = "p" if operation is OP.WRITE else "b"
            self.assertEqual((expected, 0.0), (member, held_s))

    def test_writes_that_no_member_may_run_are_refused_at_once(self):
        load = self.make(make_member("a", "x"), make_member("b", "y"))
        load.evacuate("x", until=20.0)
        for operation, found, held_s in self.play(load, 20.0):
            expected = KIND.EVACUATED if operation is OP.WRITE else "b"
            self.assertEqual((expected, 0.0), (found, held_s))
        response = retries.ERROR_RESPONSES[KIND.EVACUATED]
        self.assertIs(retries.Execution.NOT_RUN, response.execution)

    def test_nothing_is_held_if_all_data_centres_are_evacuated(self):
        load = self.make(make_member("a", "x"), make_member("b", "y"))
        load.evacuate("x", "y", until=20.0)
        before = {found[1:] for found in self.play(load, 10.0)}
        self.assertEqual({("p", 0.0)}, before)
        after = {found[1:] for found in self.play(load, 20.0)}
        self.assertEqual({(KIND.EVACUATED, 0.0)}, after)

    def test_all_is_served_again_once_it_is_taken_back(self):
        load = self.make(make_member("a", "x"), make_member("b", "y"))
        load.evacuate("x", "y", until=20.0)
        load.evacuate(until=0.0)
        served = {found[1] for found in self.play(load, 30.0)}
        self.assertTrue({"p", "a"} <= served <= {"p", "a", "b"}, served)

    def test_connection_that_comes_after_the_request_is_not_used(self):
        load = self.make(make_member("a", "x"), make_member("b", "y"))
        session = statements.Session("desk", "x", load)
        session.on_statement(statements.Statement(b"q", OP.READ, b"t"), 10.0)
        (acquire,) = session.on_admitted(10.0)
        self.assertEqual("a", acquire.member)
        load.evacuate("x", until=20.0)
        release, again = session.on_connection("connection", 10.1)
        self.assertIsInstance(release, statements.Release)
        self.assertEqual("b", again.member)

    def begin(self, load):
        session = statements.Session("desk", "x", load)
        for operation in (OP.BEGIN, OP.WRITE):
            session.on_statement(statements.Statement(b"q", operation, b"t"), 10.0)
            if operation is OP.BEGIN:
                session.on_admitted(10.0)
        session.on_connection("connection", 10.0)
        session.on_answer(statements.Answer(status=b"T"), 10.0)
        session.on_answer(statements.Answer(status=b"T", digest=b"d"), 10.0)
        return session

    def test_open_transaction_may_end_before_the_deadline(self):
        load = self.make(make_member("b", "y"))
        session = self.begin(load)
        load.evacuate("x", until=20.0)
        commit = statements.Statement(b"q", OP.COMMIT, b"t")
        self.assertIsInstance(session.on_statement(commit, 19.9)[0], statements.Execute)

    def test_open_transaction_is_lost_after_the_deadline(self):
        load = self.make(make_member("b", "y"))
        session = self.begin(load)
        load.evacuate("x", until=20.0)
        commit = statements.Statement(b"q", OP.COMMIT, b"t")
        discard, refused = session.on_statement(commit, 20.0)
        self.assertIsInstance(discard, statements.Discard)
        self.assertIs(KIND.TRANSACTION_LOST, refused.failure.kind)

    def test_idle_transaction_is_ended(self):
        load = self.make(make_member("b", "y"))
        session = self.begin(load)
        self.assertEqual(("g", "p"), session.find_idle_member())
        (discard,) = session.on_member_closed()
        self.assertIsInstance(discard, statements.Discard)
        self.assertEqual(b"E", session.status)
        self.assertIsNone(session.find_idle_member())


class RegionTests(testtools.TestCase):
    def test_members_outside_the_allowed_regions_are_not_waited_for(self):
        members = [
            make_member("p", "x", region="a"),
            make_member("r", "y", region="a"),
            make_member("s", "z", region="b"),
        ]
        group = Load(members).known_group
        allowed = frozenset("a")
        self.assertFalse(group.is_evacuated(25.0, allowed))
        group.set_evacuations({"x": 20.0, "y": 20.0})
        self.assertFalse(group.is_evacuated(10.0, allowed))
        self.assertTrue(group.is_evacuated(25.0, allowed))
        self.assertFalse(group.is_evacuated(25.0))
        self.assertTrue(group.is_evacuated(10.0, frozenset("c")))


class InvariantTests(testtools.TestCase):
    @hypothesis.given(
        places=strategies.lists(strategies.sampled_from("xyz"), min_size=1, max_size=5),
        leaving=strategies.sets(strategies.integers(0, 4)),
        evacuated=strategies.sets(strategies.sampled_from("xyz")),
        operation=strategies.sampled_from([OP.READ, OP.WRITE]),
        is_late=strategies.booleans(),
    )
    def test_no_statement_goes_where_it_may_not_and_one_is_served_wherever_it_may(
        self, places, leaving, evacuated, operation, is_late
    ):
        members = [
            make_member("p" if number == 0 else f"r{number}", place)
            for number, place in enumerate(places)
        ]
        for number in leaving & set(range(1, len(members))):
            members[number].leaving = True
        load = Load(members)
        load.evacuate(*evacuated, until=20.0)
        found, held_s = load.call(operation, 25.0 if is_late else 10.0)
        allowed = {
            member.name
            for member in members
            if member.data_centre not in evacuated
            and (member.name == "p" or not member.leaving)
        }
        if not is_late:
            allowed.add("p")
        if operation is OP.WRITE:
            allowed &= {"p"}
        if allowed:
            self.assertIn(found, allowed)
        else:
            self.assertEqual((KIND.EVACUATED, 0.0), (found, held_s))
