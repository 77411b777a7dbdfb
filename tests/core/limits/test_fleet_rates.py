"""Rate limits over several instances with lost answers, pauses and restarts."""

import random

import attrs
import hypothesis
import testtools
from hypothesis import stateful, strategies

from pomelograde.core import limits

RATE_PER_S = 10.0
BURST = 6.0
LEASE_S = 10.0
CLOCK_DRIFTS = (0.0, 0.01, -0.01)
MAX_CLOCK_SPEED = 1.01


class Table:
    """In-memory platform table with versioned rows and conditional commits."""

    def __init__(self):
        self.version = 0
        self.rows = {}

    def read(self, after):
        return [row for row in self.rows.values() if row.version > after]

    def commit(self, commit):
        """Return the version written, or the rows that the conditions name."""
        current = [self.current(key) for key, _ in commit.conditions]
        for row, (_, version) in zip(current, commit.conditions, strict=True):
            if version != (0 if row.value is None else row.version):
                return current
        self.version += 1
        for key, value in commit.writes:
            self.rows[key] = limits.TableRow(key, value, self.version)
        return self.version

    def current(self, key):
        return self.rows.get(key, limits.TableRow(key, None, 0))


@attrs.define(eq=False)
class Instance:
    """Lease and rate share of an instance whose clock may drift."""

    name: str
    drift: float
    lease: limits.ShareLease
    share: limits.RateShare
    seen: int = 0
    answers: list = attrs.field(factory=list)
    borrow_answers: list = attrs.field(factory=list)


class Fleet:
    """Instances and their table; records the times of all admissions."""

    def __init__(self, count):
        self.now = 100.0
        self.table = Table()
        self.delayed_commits = []
        self.start_count = 0
        self.live_count = count
        self.admission_times = []
        self.instances = [self.start(number) for number in range(count)]

    def start(self, number):
        self.start_count += 1
        drift = CLOCK_DRIFTS[number % len(CLOCK_DRIFTS)]
        clock = self.now * (1.0 + drift)
        lease = limits.ShareLease(f"{number}/{self.start_count}", LEASE_S, clock)
        return Instance(str(number), drift, lease, limits.RateShare(clock))

    def clock(self, instance):
        return self.now * (1.0 + instance.drift)

    def resize(self, instance):
        part = instance.lease.usable_parts(self.clock(instance)) / limits.TOTAL_PARTS
        instance.share.resize(RATE_PER_S, BURST, part, self.clock(instance))

    def read(self, instance):
        rows = self.table.read(instance.seen)
        instance.seen = self.table.version
        instance.lease.on_read_back(rows, self.clock(instance))
        self.resize(instance)

    def send_commit(self, instance, delivery):
        """Plan and send a commit.

        With the delivery "ok" it is executed and answered, with "lost" its
        answer is lost, with "dropped" it never arrives, and with "late" it may
        be executed afterwards. The sender gets no answer in the last three
        cases.
        """
        now = self.clock(instance)
        nonce = f"{instance.name}-{self.now}"
        commit = instance.lease.plan_commit(self.live_count, nonce, now)
        self.resize(instance)
        if commit is None:
            return
        outcome = None
        if delivery in ("ok", "lost"):
            outcome = self.table.commit(commit)
        if delivery == "late":
            self.delayed_commits.append(commit)
        instance.answers.append(outcome if delivery == "ok" else None)

    def receive_answers(self, instance):
        now = self.clock(instance)
        for outcome in instance.answers:
            if isinstance(outcome, int):
                instance.lease.on_committed(outcome, now)
            elif outcome is None:
                instance.lease.on_outcome_unknown()
            else:
                instance.lease.on_conflict(outcome, now)
        instance.answers.clear()
        self.resize(instance)

    def poll(self, instances, delivery="ok"):
        """Let each instance in turn read the table, commit and get the answer."""
        for instance in instances:
            self.receive_answers(instance)
            self.read(instance)
            self.send_commit(instance, delivery)
            self.receive_answers(instance)

    def send_requests(self, instance, count):
        now = self.clock(instance)
        if not instance.lease.usable_parts(now):
            return 0
        taken = sum(instance.share.take(now) for _ in range(count))
        self.admission_times.extend([self.now] * taken)
        return taken

    def borrow_parts(self, instance, lender, lost):
        """Borrow parts from a peer; the answer may be lost."""
        now = self.clock(instance)
        if not instance.lease.needs_loan(now):
            return
        loan = lender.lease.lend(instance.lease.key, 5.0, self.clock(lender))
        self.resize(lender)
        self.resize(instance)
        if not lost:
            instance.lease.on_loan(loan.parts, now + loan.until)
        self.resize(instance)

    def send_borrow_requests(self, instance):
        now = self.clock(instance)
        names = [other.name for other in self.instances if other is not instance]
        instance.borrow_answers += [
            (action, self.lend(action)) for action in instance.share.borrow(names, now)
        ]

    def lend(self, action):
        lender = self.instances[int(action.peer)]
        now = self.clock(lender)
        return (
            lender.share.lend(action.amount, now)
            if lender.lease.usable_parts(now)
            else 0
        )

    def receive_tokens(self, instance, lost):
        now = self.clock(instance)
        for action, given in instance.borrow_answers:
            instance.share.on_borrowed(action, 0.0 if lost else given, now)
        instance.borrow_answers.clear()

    def step_saturated(self, source, instance):
        """Let an instance take random steps while callers use every token."""
        if source.random() < 0.3:
            self.receive_answers(instance)
            self.read(instance)
            self.send_commit(instance, source.choice(DELIVERIES))
            if source.random() < 0.9:
                self.receive_answers(instance)
        if source.random() < 0.3:
            self.receive_tokens(instance, lost=source.random() < 0.1)
            self.send_borrow_requests(instance)
        if source.random() < 0.1:
            lender = source.choice(self.instances)
            if lender is not instance:
                self.borrow_parts(instance, lender, lost=source.random() < 0.3)
        self.send_requests(instance, 100)

    def max_excess(self):
        """Return the most requests that any window admits beyond rate and burst."""
        max_excess = lowest = 0.0
        for count, at in enumerate(self.admission_times):
            allowed = RATE_PER_S * MAX_CLOCK_SPEED * at
            lowest = min(lowest, count - allowed) if count else -allowed
            max_excess = max(max_excess, count + 1 - allowed - lowest - BURST)
        return max_excess


DELIVERIES = ("ok", "ok", "ok", "ok", "ok", "ok", "lost", "dropped", "late")
STEP_S = 0.05
RUN_S = 90.0
SEED_COUNT = 12


def run_saturated(seed):
    """Run saturated instances that pause, are cut off, die and restart."""
    source = random.Random(seed)
    fleet = Fleet(3)
    fleet.poll(fleet.instances)
    states = [(0.0, "runs")] * 3
    while fleet.now < 100.0 + RUN_S:
        fleet.now += STEP_S
        if fleet.delayed_commits and source.random() < 0.02:
            fleet.table.commit(fleet.delayed_commits.pop())
        for number in range(3):
            if fleet.now >= states[number][0]:
                state = source.choice(["runs", "runs", "pauses", "cut off", "dies"])
                states[number] = (fleet.now + source.uniform(1.0, 15.0), state)
                if state == "dies":
                    fleet.instances[number] = fleet.start(number)
            instance = fleet.instances[number]
            if states[number][1] == "cut off":
                fleet.send_requests(instance, 100)
            elif states[number][1] != "pauses":
                fleet.step_saturated(source, instance)
    return fleet


class FleetMachine(stateful.RuleBasedStateMachine):
    """Any order of polls, faults and requests."""

    number = strategies.integers(0, 2)
    delivery = strategies.sampled_from(["ok", "ok", "ok", "lost", "dropped", "late"])
    pause_s = strategies.sampled_from([0.05, 0.4, 2.0, 7.0, 13.0])

    @stateful.initialize()
    def create_fleet(self):
        self.fleet = Fleet(3)
        self.fleet.poll(self.fleet.instances)

    @stateful.rule(number=number, delivery=delivery, receive=strategies.booleans())
    def poll_with_delivery(self, number, delivery, receive):
        instance = self.fleet.instances[number]
        self.fleet.read(instance)
        self.fleet.send_commit(instance, delivery)
        if receive:
            self.fleet.receive_answers(instance)

    @stateful.rule()
    def poll_all(self):
        self.fleet.poll(self.fleet.instances)

    @stateful.rule()
    def execute_late_commits(self):
        while self.fleet.delayed_commits:
            self.fleet.table.commit(self.fleet.delayed_commits.pop())

    @stateful.rule(number=number)
    def receive_commit_answers(self, number):
        self.fleet.receive_answers(self.fleet.instances[number])

    @stateful.rule(pause_s=pause_s)
    def advance_clock(self, pause_s):
        self.fleet.now += pause_s

    @stateful.rule(number=number, count=strategies.integers(1, 40))
    def send_caller_requests(self, number, count):
        self.fleet.send_requests(self.fleet.instances[number], count)

    @stateful.rule(number=number)
    def borrow_from_peers(self, number):
        self.fleet.send_borrow_requests(self.fleet.instances[number])

    @stateful.rule(number=number, lost=strategies.booleans())
    def receive_borrowed_tokens(self, number, lost):
        self.fleet.receive_tokens(self.fleet.instances[number], lost)

    @stateful.rule(number=number)
    def kill_and_restart(self, number):
        self.fleet.instances[number] = self.fleet.start(number)

    @stateful.rule(number=number, delivery=delivery)
    def release_all(self, number, delivery):
        instance = self.fleet.instances[number]
        self.fleet.receive_answers(instance)
        commit = instance.lease.release_all("bye", self.fleet.clock(instance))
        self.fleet.resize(instance)
        if commit is not None and delivery in ("ok", "lost"):
            self.fleet.table.commit(commit)
        elif commit is not None and delivery == "late":
            self.fleet.delayed_commits.append(commit)
        self.fleet.instances[number] = self.fleet.start(number)

    @stateful.invariant()
    def admissions_stay_within_rate_and_burst(self):
        if hasattr(self, "fleet"):
            assert self.fleet.max_excess() <= 1e-6

    @stateful.invariant()
    def parts_add_up_to_total(self):
        if hasattr(self, "fleet"):
            rows = [row.value for row in self.fleet.table.rows.values() if row.value]
            total = sum(row.get("parts", 0) + row.get("free", 0) for row in rows)
            assert total == limits.TOTAL_PARTS


class FleetRateTests(testtools.TestCase):
    def test_no_window_exceeds_rate_and_burst(self):
        stateful.run_state_machine_as_test(
            FleetMachine,
            settings=hypothesis.settings(
                max_examples=300,
                stateful_step_count=50,
                derandomize=True,
                deadline=None,
            ),
        )

    def test_faults_admit_no_more_than_rate_and_burst(self):
        admitted = 0
        for seed in range(SEED_COUNT):
            fleet = run_saturated(seed)
            self.assertLessEqual(fleet.max_excess(), 1e-6, f"seed {seed}")
            admitted += len(fleet.admission_times)
        self.assertGreater(admitted, SEED_COUNT * RATE_PER_S * RUN_S * 0.25)

    def test_cut_off_instance_stops_before_its_parts_are_reused(self):
        fleet = self.settle(12.0)
        cut_off, *rest = fleet.instances
        fleet.live_count = len(rest)
        for _ in range(600):
            fleet.now += STEP_S
            fleet.poll(rest)
            for instance in rest:
                fleet.send_borrow_requests(instance)
                fleet.receive_tokens(instance, lost=False)
            for instance in fleet.instances:
                fleet.send_requests(instance, 100)
        self.assertEqual(0, cut_off.lease.usable_parts(fleet.clock(cut_off)))
        self.assertGreater(
            sum(one.lease.parts for one in rest), 0.9 * limits.TOTAL_PARTS
        )
        self.assertLessEqual(fleet.max_excess(), 1e-6)

    def test_tokens_in_transit_count_towards_the_burst(self):
        fleet = self.settle(12.0)
        borrower = fleet.instances[0]
        clock = fleet.clock(borrower)
        fleet.send_requests(borrower, 100)
        fleet.send_borrow_requests(borrower)
        fleet.now += 5.0
        clock = fleet.clock(borrower)
        borrower.share.bucket.refill(clock)
        for instance in fleet.instances[1:]:
            instance.share.bucket.refill(fleet.clock(instance))
        in_transit = sum(given for _, given in borrower.borrow_answers)
        self.assertGreater(in_transit, 0.0)
        tokens = sum(one.share.bucket.tokens for one in fleet.instances)
        self.assertLessEqual(tokens + in_transit, BURST + 1e-6)

    def test_instance_without_table_access_borrows_parts_from_a_peer(self):
        fleet = self.settle(12.0)
        newcomer = fleet.instances[0] = fleet.start(0)
        lender = fleet.instances[1]
        for step in range(200):
            fleet.now += STEP_S
            if step % 20 == 0:
                fleet.poll(fleet.instances[1:])
                fleet.borrow_parts(newcomer, lender, lost=False)
            fleet.send_requests(newcomer, 100)
            fleet.send_requests(lender, 100)
        usable = newcomer.lease.usable_parts(fleet.clock(newcomer))
        self.assertAlmostEqual(limits.TOTAL_PARTS / 6, usable, delta=2.0)
        self.assertGreater(newcomer.lease.borrowed.until, fleet.clock(newcomer))
        self.assertLessEqual(fleet.max_excess(), 1e-6)

    def test_parts_are_reduced_before_they_are_returned(self):
        fleet = Fleet(1)
        for _ in range(20):
            fleet.poll(fleet.instances)
            fleet.now += 0.5
        (only,) = fleet.instances
        self.assertEqual(limits.TOTAL_PARTS, only.lease.parts)
        fleet.live_count = 2
        fleet.read(only)
        fleet.send_commit(only, "lost")
        self.assertEqual(
            limits.TOTAL_PARTS // 2, fleet.table.rows[only.lease.key].value["parts"]
        )
        self.assertEqual(limits.TOTAL_PARTS // 2, only.lease.parts)

    def settle(self, seconds=8.0):
        fleet = Fleet(3)
        for _ in range(int(seconds * 2)):
            fleet.poll(fleet.instances)
            fleet.now += 0.5
        return fleet

    def test_one_instance_borrows_the_whole_rate_from_its_peers(self):
        fleet = self.settle()
        first = fleet.instances[0]
        done = 0
        for step in range(4000):
            fleet.now += 0.005
            if step % 200 == 0:
                fleet.poll(fleet.instances)
            if step % 20 == 0:
                done += fleet.send_requests(first, 1)
            if first.share.may_need_tokens(fleet.clock(first)):
                fleet.send_borrow_requests(first)
                fleet.receive_tokens(first, lost=False)
        self.assertEqual(200, done)
        self.assertLessEqual(fleet.max_excess(), 1e-6)

    def test_paused_instance_expires_and_its_parts_are_reclaimed(self):
        fleet = self.settle()
        paused, *rest = fleet.instances
        for _ in range(30):
            fleet.now += 0.5
            fleet.poll(rest)
        self.assertEqual(0, fleet.send_requests(paused, 10))
        held = sum(instance.lease.parts for instance in rest)
        self.assertGreater(held, limits.TOTAL_PARTS * 0.6)
        self.assertNotIn(
            paused.lease.key, {k for k, r in fleet.table.rows.items() if r.value}
        )

    def test_request_that_cannot_be_admitted_in_time_is_refused_immediately(self):
        fleet = self.settle()
        share = fleet.instances[0].share
        now = fleet.clock(fleet.instances[0])
        while share.take(now):
            pass
        for name in ("1", "2"):
            share.peers[name] = limits.PeerState(retry_at=now + 1.0)
        waiter = share.enqueue(now + 10.0, now, None)
        self.assertIsInstance(waiter, limits.Waiter)
        retry_after_s = 0.0
        for _ in range(40):
            outcome = share.enqueue(now + 10.0, now, None)
            if not isinstance(outcome, limits.Waiter):
                retry_after_s = outcome
        self.assertGreater(retry_after_s, 1.0)
