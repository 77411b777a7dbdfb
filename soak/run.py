"""One run: processes, callers, faults, and the verdict."""

import contextlib
import pathlib
import shutil
import signal
import subprocess
import time

import attrs

from pomelograde.standins import processes
from pomelograde.standins.hosting import fleets, host
from soak import callers, history, plan, proxy

INSTANCES = 5
CALLERS = 8
READY_S = 15.0  # for the start of all instances
HEAL_S = 9.0  # rights, registrations and rows settle within 8 s
SERVED_S = 6.0  # for each instance to serve once all faults are over
STOP_S = 8.0  # the grace period, and what a call takes
STORE_FAULTS = {
    "store_silent": {"silent": True},
    "store_refuses": {"refuse": True},
    "store_slow": {"slow_s": 0.4},
    "store_loses_answers": {"lose_answers": True},
}
LINK_MODES = {
    "store_link_silent": proxy.Mode.SILENT,
    "store_link_one_way": proxy.Mode.ONE_WAY,
    "store_link_reset": proxy.Mode.RESET,
    "store_link_slow": proxy.Mode.SLOW,
}


@attrs.define(eq=False)
class Place:
    """Where one instance runs.

    Attributes
    ----------
    number : int
        Its number.
    ports : list of int
        Its ports; a new process takes the same.
    link : Proxy
        Its way to the store.
    instance : Instance or None
        The process.
    """

    number: int
    ports: list
    link: proxy.Proxy
    instance: object = None


class Run:
    """One run.

    Parameters
    ----------
    seed : int
        Faults and callers follow from it.
    seconds : float
        How long faults strike.
    logs : str or None
        Folder for the instances' logs of a run with a broken promise.
    """

    def __init__(self, seed, seconds, logs=None):
        self.seed = seed
        self.seconds = seconds
        self.logs = logs
        self.seen = history.History()
        self.acknowledged = {}
        self.fleet = None
        self.places = []
        self.down = {}

    def play(self):
        """Play the run; returns the broken promises, and how much was served."""
        with contextlib.ExitStack() as exits:
            running = exits.enter_context(processes.Processes())
            self.fleet = fleets.Fleet(running)
            for number in range(INSTANCES):
                link = proxy.Proxy(self.fleet.store)
                exits.callback(link.close)
                self.places.append(Place(number, processes.free_ports(4), link))
            for place in self.places:
                self._start(place)
            exits.callback(self._wake_all)
            found = []
            for place in self.places:
                found.extend(self._check_serves(place, READY_S))
            threads = [
                callers.Caller(
                    f"s{self.seed}c{number}",
                    self.seed,
                    lambda: [place.ports[0] for place in self.places],
                    self.seen,
                    self.acknowledged,
                )
                for number in range(CALLERS)
            ]
            for thread in threads:
                thread.start()
            self._strike()
            time.sleep(HEAL_S)
            for place in self.places:
                found.extend(self._check_serves(place, SERVED_S))
            found.extend(
                history.Broken("callers go on", thread.label)
                for thread in threads
                if not thread.is_alive()
            )
            for thread in threads:
                thread.stopped.set()
            for thread in threads:
                thread.join(callers.ANSWER_S * 2.0)
            time.sleep(2.0 * host.HEARTBEAT_S)
            found.extend(self._check_end())
            if found and self.logs:
                self._keep_logs()
            return found, sum(thread.served for thread in threads)

    def _start(self, place):
        place.instance = self.fleet.start_instance(
            place.number, place.ports, place.link.address
        )

    def _strike(self):
        """Let the faults begin and end in time."""
        begun_at = time.monotonic()
        faults = plan.make_plan(self.seed, self.seconds, INSTANCES)
        moments = [(fault.at_s, "begin", fault) for fault in faults]
        moments += [(fault.at_s + fault.for_s, "end", fault) for fault in faults]
        for at_s, step, fault in sorted(moments, key=lambda moment: moment[0]):
            time.sleep(max(0.0, begun_at + at_s - time.monotonic()))
            getattr(self, f"_{step}")(fault)

    def _begin(self, fault):
        place = self.places[fault.number]
        if fault.kind in LINK_MODES:
            place.link.mode = LINK_MODES[fault.kind]
        elif fault.kind in STORE_FAULTS:
            self.fleet.set_store_faults(**STORE_FAULTS[fault.kind])
        elif fault.kind == "kill":
            place.instance.child.kill()
        elif fault.kind == "pause":
            place.instance.child.send_signal(signal.SIGSTOP)
        elif fault.kind == "restart":
            place.instance.child.send_signal(signal.SIGTERM)
        else:
            self._strike_member(fault)

    def _end(self, fault):
        place = self.places[fault.number]
        if fault.kind in LINK_MODES:
            place.link.mode = proxy.Mode.PASS
        elif fault.kind in STORE_FAULTS:
            self.fleet.set_store_faults()
        elif fault.kind == "pause":
            place.instance.child.send_signal(signal.SIGCONT)
        elif fault.kind in ("kill", "restart"):
            self._end_process(place)
        else:
            self._heal_member(fault)

    def _end_process(self, place):
        place.instance.child.send_signal(signal.SIGCONT)
        try:
            place.instance.child.wait(timeout=STOP_S)
        except subprocess.TimeoutExpired:
            place.instance.child.kill()
        self._start(place)

    def _strike_member(self, fault):
        name = self.fleet.find_primary()
        if fault.kind == "replica_lags":
            name = f"i-{host.ZONES[fault.number % len(host.ZONES)]}"
            self.fleet.change_member(name, lag_s=0.8)
        elif name is None:
            return
        elif fault.kind == "primary_crash":
            self.seen.crashes.append(time.monotonic())
            self.fleet.change_member(name, down=True, role="replica")
        elif fault.kind == "primary_leaves":
            self.fleet.change_member(name, state="draining")
        else:
            self.fleet.change_member(name, drop_answers=3)
        self.down[fault] = name

    def _heal_member(self, fault):
        name = self.down.pop(fault, None)
        if name is not None:
            self.fleet.change_member(
                name, down=False, state="ready", lag_s=0.02, drop_answers=0
            )

    def _check_serves(self, place, limit_s):
        """Check that an instance serves a write within a time limit."""
        end = time.monotonic() + limit_s
        number = 0
        while time.monotonic() < end:
            number += 1
            label = f"check{place.number}-{len(self.seen.reads)}-{number}"
            with contextlib.suppress(OSError), fleets.Caller(place.ports[0]) as caller:
                if caller.query("WRITE check 1", label)[0].startswith("COMPLETE"):
                    return []
            time.sleep(0.1)
        detail = f"{place.instance.name} serves no write within {limit_s} s"
        return [history.Broken("service comes back", detail)]

    def _check_end(self):
        name = self.fleet.find_primary()
        if name is None:
            return [history.Broken("service comes back", "nobody leads")]
        log = self.fleet.show_member(name)["log"]
        return history.check(self.seen, log, self.fleet.show_promotions())

    def _keep_logs(self):
        folder = pathlib.Path(self.logs) / f"seed-{self.seed}"
        folder.mkdir(parents=True, exist_ok=True)
        for path in self.fleet.running.directory.glob("*.log"):
            shutil.copy(path, folder)

    def _wake_all(self):
        """Let no process stay suspended."""
        for place in self.places:
            if place.instance is not None and place.instance.child.poll() is None:
                place.instance.child.send_signal(signal.SIGCONT)
