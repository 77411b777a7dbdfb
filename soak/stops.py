"""Planned stops in series and overlapping, and changes of the configuration."""

import copy
import json
import os
import pathlib
import random
import signal
import subprocess
import threading
import time

import attrs

from pomelograde.net import events
from pomelograde.standins.hosting import host
from soak import plan

LATE_KILL = "SIGKILL after the grace period"
GRACE_S = 6.0  # `graceS` of the instances' settings
KILL_TIMEOUT_S = 5.0
DELAY_INTERVAL_S = 0.05
LEAST_DELAY_S = 0.1
# Time between two actions on one instance: a stop, and the start after it.
ACTION_S = GRACE_S + 1.0
SPACINGS_S = (0.0, 0.03, 0.1, 1.0, 2.0)  # between the stops of a series
WORK_S = (0.0, 0.02, 0.06, 0.3)  # time that members take for a statement
STOP_KINDS = ("stop", "stop_twice", "stop_at_start", "hangup")
# Unplanned, beside the stops.
KILL_KINDS = ("kill", "stop_and_kill")
KILL_COUNT = 4  # of the kind "kill_series"
MEMBER_KINDS = ("primary_leaves", "replica_lags")
DISRUPTIONS = (
    "primary_crash",
    "store_silent",
    "store_refuses",
    "store_slow",
    "store_link_silent",
    "store_link_slow",
)
ODD_ROW_INTERVAL_S = (2.0, 8.0)
CHANGE_INTERVAL_S = (1.0, 2.0)
ACCOUNTS = ("desk", "training", "depot", "audit")
RATES_PER_S = {"training": 20}  # below what its clients ask for
KEYS = ("key-a", "key-b", "key-c", "key-d")
TIMEOUTS_MS = (1000, 2000, 3000, 4000)  # the longest as in `callers`


def make_plan(seed, seconds, instances):
    """Return the faults of a run, ordered by their start.

    Parameters
    ----------
    seed : int
        Seed of the random generator; equal seeds give equal plans.
    seconds : float
        Time within which faults start.
    instances : int
        Number of instances.

    Returns
    -------
    list of Fault
        The duration of an action on an instance is that between its two signals,
        or between the end of the process and the next start. In about half of the
        runs, all faults are planned.
    """
    rng = random.Random(f"{seed}/stops")
    with_disruptions = rng.random() < 0.5
    free_at = [0.0] * instances
    faults = []
    start_s = plan.INITIAL_DELAY_S
    while start_s < seconds:
        spacing_s = rng.choice(SPACINGS_S)
        numbers = rng.sample(range(instances), rng.randrange(1, instances + 1))
        for turn, number in enumerate(numbers):
            at_s = start_s + turn * spacing_s
            if at_s >= seconds or at_s < free_at[number]:
                continue
            kinds = STOP_KINDS
            if with_disruptions and rng.random() < 0.2:
                kinds = KILL_KINDS
            kind = rng.choice(("stop", *kinds))
            duration_s = rng.choice((0.0, 0.1, rng.uniform(0.0, 3.0)))
            faults.append(plan.Fault(at_s, duration_s, kind, number))
            if kind != "hangup":
                free_at[number] = at_s + ACTION_S
        start_s += rng.uniform(0.5, 4.0)
    kinds = MEMBER_KINDS + (DISRUPTIONS if with_disruptions else ())
    start_s = plan.INITIAL_DELAY_S
    while (start_s := start_s + rng.uniform(0.0, 8.0)) < seconds:
        duration_s = rng.uniform(0.3, 4.0)
        kind = rng.choice(kinds)
        faults.append(plan.Fault(start_s, duration_s, kind, rng.randrange(instances)))
        start_s += duration_s
    if with_disruptions:
        # In the first primary's data centre, whose instances own its connections.
        start_s = rng.uniform(0.1, 0.6) * seconds
        duration_s = rng.uniform(1.0, 2.5)
        number = rng.randrange(0, instances, len(host.ZONES))
        faults.append(plan.Fault(start_s, duration_s, "kill_series", number))
    faults.extend(_plan_odd_rows(seed, seconds))
    return sorted(faults, key=lambda fault: fault.start_s)


def _plan_odd_rows(seed, seconds):
    """Yield the rows of another writer, each with its number for `make_odd_row`."""
    rng = random.Random(f"{seed}/odd rows")
    start_s = plan.INITIAL_DELAY_S
    while (start_s := start_s + rng.uniform(*ODD_ROW_INTERVAL_S)) < seconds:
        yield plan.Fault(start_s, rng.uniform(0.5, 4.0), "odd_row", rng.randrange(1000))


def make_odd_row(number):
    """Return the value of a row among the members' rows that names no member."""
    row = {
        "service": host.SERVICE,
        "address": "127.0.0.1:9",
        "zone": host.ZONES[0],
        "version": "v1",
        "slots": 3,
        "state": "ready",
        "coldRemainingMs": 0,
        "dbRole": "replica",
        "seq": 1,
        "born": 1,
    }
    kind, depth = number % 5, 100 + number % 900
    if kind == 0:
        row["coldRemainingMs"] = int("9" * 400)
    elif kind == 1:
        row["address"] = "127.0.0.1:99999"
    elif kind == 2:
        del row["address"]
    value = json.dumps(row)
    if kind == 3:
        value = value.replace("v1", "\\u0041").replace(
            "{", '{"more": ' + "[" * depth + "]" * depth + ", "
        )
    return value[:-1] if kind == 4 else value


@attrs.define
class Configuration:
    """A configuration and when it was written.

    Attributes
    ----------
    accounts : dict of str to str
        Client account by key.
    databases : list of str
        Names of the databases.
    put_at, acknowledged_at, replaced_at : float
        Monotonic times at which it was sent, acknowledged, and at which the
        configuration after it was acknowledged.
    """

    accounts: dict
    databases: list
    put_at: float
    acknowledged_at: float = 0.0
    replaced_at: float = float("inf")


class Administrator(threading.Thread):
    """Thread that changes keys, databases and time limits.

    Parameters
    ----------
    fleet : Fleet
        Fleet whose store receives the configurations.
    seed : int
        Seed of the changes.

    Attributes
    ----------
    configurations : list of Configuration
        All configurations so far, the last one in force.
    keys : tuple of str
        Keys that clients use, whether or not they are valid.
    stop_requested : threading.Event
        Ends the thread.
    """

    keys = (host.KEY, host.KEY, host.KEY, *KEYS)

    def __init__(self, fleet, seed):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.rng = random.Random(f"{seed}/changes")
        self.manifest = copy.deepcopy(host.MANIFEST)
        self.configurations = []
        self.added = 0
        self.stop_requested = threading.Event()
        self.accounts = {key: ACCOUNTS[1 + n % 3] for n, key in enumerate(KEYS)}
        self._write()

    def run(self):
        """Write configurations until `stop_requested` is set."""
        while not self.stop_requested.wait(self.rng.uniform(*CHANGE_INTERVAL_S)):
            self._change()
            self._write()

    def databases(self):
        """Return the names of the databases, and at times of one that was removed."""
        names = [found.databases for found in self.configurations[-2:]]
        return [name for found in names for name in found]

    def _change(self):
        """Change a key, and at times a database or a time limit."""
        key = self.rng.choice(KEYS)
        if key in self.accounts and self.rng.random() < 0.4:
            del self.accounts[key]
        else:
            self.accounts[key] = self.rng.choice(ACCOUNTS)
        routes = self.manifest["routes"]
        if self.rng.random() < 0.5:
            timeout_ms = self.rng.choice(TIMEOUTS_MS)
            self.rng.choice(routes)["timeoutMs"] = timeout_ms
        if self.rng.random() < 0.5:
            own = len(host.MANIFEST["routes"])
            if len(routes) > own and self.rng.random() < 0.5:
                routes.pop(self.rng.randrange(own, len(routes)))
            else:
                self.added += 1
                name = f"meters-{self.added}"
                routes.append({**routes[0], "name": f"r-{name}", "host": name})

    def _write(self):
        self.manifest["version"] += 1
        self.manifest["tenants"] = [
            {
                "name": account,
                "apiKeys": [host.KEY] * (account == ACCOUNTS[0])
                + [key for key, found in self.accounts.items() if found == account],
                "ratePerS": RATES_PER_S.get(account, 500),
                "burst": RATES_PER_S.get(account, 500),
            }
            for account in ACCOUNTS
        ]
        new = Configuration(
            {**self.accounts, host.KEY: ACCOUNTS[0]},
            [route["host"] for route in self.manifest["routes"]],
            time.monotonic(),
        )
        self.configurations.append(new)
        self.fleet.put_manifest(self.manifest)
        new.acknowledged_at = time.monotonic()
        if len(self.configurations) > 1:
            self.configurations[-2].replaced_at = new.acknowledged_at


@attrs.frozen
class Ending:
    """The end of a process.

    Attributes
    ----------
    instance : int
        Number of the instance.
    has_started, has_stopped : bool
        Whether it has logged its start, and the end of its work.
    signals : list of tuple
        Monotonic time and name of each signal that it was sent, in order.
    code : int
        Exit code, negative for a signal.
    ended_at : float
        Monotonic time at which its end was noticed.
    """

    instance: int
    has_started: bool
    has_stopped: bool
    signals: list
    code: int
    ended_at: float

    @property
    def was_late(self):
        """Whether it ran until the end of the grace period."""
        return any(name == LATE_KILL for _, name in self.signals)


class RunDelays(threading.Thread):
    """Thread that notes when the processes of instances wait for a processor.

    Parameters
    ----------
    slots : list of InstanceSlot
        Instances.

    Attributes
    ----------
    delays : list of tuple
        Number of the instance, start and end of each wait, in monotonic seconds.
    """

    def __init__(self, slots):
        super().__init__(daemon=True)
        self.slots = slots
        self.delays = []
        self.waited_s = {}
        self.lock = threading.Lock()
        self.stop_requested = threading.Event()

    def run(self):
        """Read the times of all processes until `stop_requested` is set."""
        while not self.stop_requested.wait(DELAY_INTERVAL_S):
            for slot in self.slots:
                self.note(slot.number, slot.instance.child.pid)

    def note(self, number, pid):
        """Note a wait of a process since the last call."""
        with self.lock:
            try:
                fields = pathlib.Path(f"/proc/{pid}/schedstat").read_text().split()
            except OSError:  # it has ended
                return
            waited_s, now = int(fields[1]) / 1e9, time.monotonic()
            new_s = waited_s - self.waited_s.get(pid, waited_s)
            self.waited_s[pid] = waited_s
            if new_s > LEAST_DELAY_S:
                self.delays.append((number, now - new_s, now))


class Processes:
    """Signals, ends and starts the processes of the instances.

    Parameters
    ----------
    slots : list of InstanceSlot
        Instances.
    start : callable
        Called with a slot to start its process.

    Attributes
    ----------
    endings : list of Ending
        Ends of all processes so far.
    run_delays : RunDelays
        Notes when they wait for a processor.
    """

    def __init__(self, slots, start):
        self.slots = slots
        self._start = start
        self.run_delays = RunDelays(slots)
        self.signals = {slot.number: [] for slot in slots}
        self.log_sizes = dict.fromkeys(self.signals, 0)
        self.locks = {slot.number: threading.Lock() for slot in slots}
        self.endings = []
        self.threads = []

    def begin(self, fault):
        """Run the action of a fault in a thread of its own."""
        thread = threading.Thread(target=self._act, args=(fault,), daemon=True)
        self.threads.append(thread)
        thread.start()

    def start(self, slot):
        """Start a process."""
        self.log_sizes[slot.number] = slot.instance.log_path.stat().st_size
        self._start(slot)

    def wait(self):
        """Wait for the end of all actions."""
        for thread in self.threads:
            thread.join()

    def check_running(self):
        """Record the processes that have ended by themselves, and start new ones."""
        for slot in self.slots:
            if slot.instance.child.poll() is not None:
                self._finish(slot)
                self.start(slot)

    def _act(self, fault):
        slot = self.slots[fault.instance]
        if fault.kind == "hangup":
            self._signal(slot, signal.SIGHUP)
            return
        with self.locks[slot.number]:
            self._stop_and_start(slot, fault)

    def _stop_and_start(self, slot, fault):
        if fault.kind == "kill_series":
            for _ in range(KILL_COUNT - 1):
                self._signal(slot, signal.SIGKILL)
                self._finish(slot)
                self.start(slot)
                time.sleep(fault.duration_s)
        if fault.kind in ("kill", "kill_series"):
            self._signal(slot, signal.SIGKILL)
        else:
            self._signal(slot, signal.SIGTERM)
        if fault.kind in ("stop_twice", "stop_and_kill"):
            time.sleep(fault.duration_s)
            is_kill = fault.kind == "stop_and_kill"
            self._signal(slot, signal.SIGKILL if is_kill else signal.SIGTERM)
        self._finish(slot)
        if fault.kind == "stop_at_start":
            self.start(slot)
            time.sleep(fault.duration_s * 0.3)
            self._signal(slot, signal.SIGTERM)
            self._finish(slot)
        elif fault.kind not in ("stop_twice", "kill_series"):
            time.sleep(fault.duration_s)
        self.start(slot)

    def _signal(self, slot, number):
        if slot.instance.child.poll() is None:
            self.signals[slot.number].append((time.monotonic(), number.name))
            slot.instance.child.send_signal(number)

    def _finish(self, slot):
        """Wait until the process has ended; kill it after the grace period."""
        signals, self.signals[slot.number] = self.signals[slot.number], []
        asked = [at for at, name in signals if name != "SIGHUP"]
        left_s = asked[0] + GRACE_S - time.monotonic() if asked else 0.0
        child = slot.instance.child
        try:
            code = child.wait(timeout=max(0.0, left_s))
        except subprocess.TimeoutExpired:
            signals.append((time.monotonic(), LATE_KILL))
            child.kill()
            # The times of a process can be read until it is waited for.
            os.waitid(os.P_PID, child.pid, os.WEXITED | os.WNOWAIT)
            self.run_delays.note(slot.number, child.pid)
            code = child.wait(timeout=KILL_TIMEOUT_S)
        now = time.monotonic()
        log = slot.instance.log_path.read_bytes()[self.log_sizes[slot.number] :]
        has_started = events.Event.DAEMON_STARTED.name.encode() in log
        has_stopped = events.Event.DAEMON_STOPPED.name.encode() in log
        self.endings.append(
            Ending(slot.number, has_started, has_stopped, signals, code, now)
        )
