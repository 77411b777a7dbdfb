"""A soak run: starts the fleet and callers, injects faults, checks guarantees."""

import contextlib
import pathlib
import shutil
import signal
import subprocess
import time

import attrs

from pomelograde.standins import processes
from pomelograde.standins.hosting import fleets, host
from soak import callers, history, operators, plan, proxy, shifts

INSTANCE_COUNT = 5
CALLER_COUNT = 8
START_TIMEOUT_S = 15.0
SETTLE_S = 9.0  # primary leases, registrations and table rows settle within 8 s
RECOVERY_TIMEOUT_S = 6.0  # for each instance, after all faults and `SETTLE_S`
RESTORE_OUTAGE_S = 0.3
STOP_TIMEOUT_S = 8.0  # the grace period, and the duration of a call
STORE_FAULTS = {
    "store_silent": {"silent": True},
    "store_refuses": {"refuse": True},
    "store_slow": {"slow_s": 0.4},
    "store_loses_answers": {"lose_answers": True},
}
MEMBER_CHANGES = {
    "row_lapses": {"is_store_cut": True},
    "connections_reset": {"reset": True},
    "connections_silent": {"silence": True},
}
PROMOTION_EFFECT_S = 0.3
PROMOTION_ANSWER_S = 1.5  # later than an instance waits for it
LINK_MODES = {
    "store_link_silent": proxy.Mode.SILENT,
    "store_link_one_way": proxy.Mode.ONE_WAY,
    "store_link_reset": proxy.Mode.RESET,
    "store_link_slow": proxy.Mode.SLOW,
}


@attrs.define(eq=False)
class InstanceSlot:
    """An instance's place in the fleet, which outlives its processes.

    Attributes
    ----------
    number : int
        Number of the instance.
    ports : list of int
        Ports of the instance, which each new process uses again.
    link : Proxy
        Proxy between the instance and the store.
    instance : Instance or None
        The latest process; None before the first start.
    sources : pathlib.Path or None
        Folder with the package that it runs; None for the working tree.
    """

    number: int
    ports: list
    link: proxy.Proxy
    instance: object = None
    sources: object = None


class Run:
    """One soak run.

    Parameters
    ----------
    seed : int
        Seed of the faults and of the callers' operations.
    seconds : float
        Time within which faults start.
    logs : str or None
        Directory that receives the instances' logs if a guarantee is violated.
    with_restores : bool
        Whether the store also returns from older copies.
    with_evacuations : bool
        Whether operators also evacuate data centres.
    with_shifts : bool
        Whether members also start cold, and a route names regions.
    other_sources : pathlib.Path or None
        Folder with the package of another build. All instances start with it, and
        are replaced in turn, back and forth.
    instances : int
        Number of instances.
    with_leadership : bool
        Whether promotions are answered late, rows of members lapse while they run,
        and connections to members are reset or go silent.

    Attributes
    ----------
    faulted_members : dict of Fault to str
        Members that current faults were injected into.
    evacuated_at : dict of str to float
        Monotonic time, by evacuated data centre, of the store's acknowledgement.
    remarks : list of str
        What was seen that violates no guarantee.
    """

    def __init__(
        self,
        seed,
        seconds,
        logs=None,
        with_restores=False,
        with_evacuations=False,
        with_shifts=False,
        other_sources=None,
        instances=INSTANCE_COUNT,
        with_leadership=False,
    ):
        self.seed = seed
        self.seconds = seconds
        self.logs = logs
        self.with_restores = with_restores
        self.with_evacuations = with_evacuations
        self.evacuated_at = {}
        self.with_shifts = with_shifts
        self.other_sources = other_sources
        self.instances = instances
        self.with_leadership = with_leadership
        self.operator = None
        self.observed = history.History()
        self.acknowledged = {}
        self.fleet = None
        self.slots = []
        self.faulted_members = {}
        self.remarks = []

    def execute(self):
        """Execute the run, and return the violations and the operations served."""
        with contextlib.ExitStack() as stack:
            running = stack.enter_context(processes.Processes())
            self.fleet = fleets.Fleet(running)
            for number in range(self.instances):
                link = proxy.Proxy(self.fleet.store)
                stack.callback(link.close)
                ports = processes.free_ports(4)
                slot = InstanceSlot(number, ports, link, sources=self.other_sources)
                self.slots.append(slot)
            stack.callback(self._resume_processes)
            violations = []
            for first in range(0, self.instances, INSTANCE_COUNT):
                group = self.slots[first : first + INSTANCE_COUNT]
                for slot in group:
                    self._start(slot)
                for slot in group:
                    violations.extend(self._check_recovery(slot, START_TIMEOUT_S))
            background = self._make_background()
            threads = self._make_callers()
            for thread in (*background, *threads):
                thread.start()
            self._inject_faults()
            time.sleep(SETTLE_S)
            for slot in self.slots:
                violations.extend(self._check_recovery(slot, RECOVERY_TIMEOUT_S))
            violations.extend(
                history.Violation("callers keep running", thread.label)
                for thread in threads
                if not thread.is_alive()
            )
            for thread in (*background, *threads):
                thread.stop_requested.set()
            for thread in (*background, *threads):
                thread.join(callers.ANSWER_TIMEOUT_S * 2.0)
            time.sleep(2.0 * host.HEARTBEAT_S)
            violations.extend(self._check_final_state())
            if violations and self.logs:
                self._copy_logs()
            return violations, sum(thread.served for thread in threads)

    def _make_background(self):
        """Return the threads of operators and of callers that aren't counted."""
        self.operator = operators.Operator(self.fleet)
        if self.with_shifts:
            shifts.configure(self.operator.manifest)
        probe = operators.KeyProbe(
            self.operator, self.seed, self._caller_ports, self.observed
        )
        if self.with_shifts:
            home_caller = shifts.HomeCaller(self.seed, self._caller_ports)
            return [self.operator, probe, home_caller]
        return [self.operator, probe]

    def _make_callers(self):
        return [
            callers.Caller(
                f"s{self.seed}c{number}",
                self.seed,
                self._caller_ports,
                self.observed,
                self.acknowledged,
            )
            for number in range(CALLER_COUNT)
        ]

    def _make_plan(self):
        return plan.make_plan(
            self.seed,
            self.seconds,
            self.instances,
            self.with_restores,
            self.with_evacuations,
            self.with_shifts,
            self.other_sources is not None,
            self.with_leadership,
        )

    def _caller_ports(self):
        return [slot.ports[0] for slot in self.slots]

    def _start(self, slot):
        slot.instance = self.fleet.start_instance(
            slot.number, slot.ports, slot.link.address, slot.sources
        )

    def _inject_faults(self):
        """Begin and end each fault of the plan at its time."""
        started_at = time.monotonic()
        faults = self._make_plan()
        steps = [(fault.start_s, "begin", fault) for fault in faults]
        steps += [(fault.start_s + fault.duration_s, "end", fault) for fault in faults]
        for at_s, step, fault in sorted(steps, key=lambda entry: entry[0]):
            time.sleep(max(0.0, started_at + at_s - time.monotonic()))
            getattr(self, f"_{step}_fault")(fault)

    def _begin_fault(self, fault):
        slot = self.slots[fault.instance]
        if fault.kind in LINK_MODES:
            slot.link.mode = LINK_MODES[fault.kind]
        elif fault.kind in STORE_FAULTS:
            self.fleet.set_store_faults(**STORE_FAULTS[fault.kind])
        elif fault.kind == "store_restored":
            self.fleet.keep_store_copy()
        elif fault.kind == "evacuated":
            self._evacuate(fault)
        elif fault.kind in plan.LEADERSHIP_KINDS:
            self._begin_leadership_fault(fault)
        elif fault.kind == "member_restart":
            name = _find_member(fault)
            self.fleet.change_member(name, restart=shifts.COLD_START_S)
        elif fault.kind == "kill":
            slot.instance.child.kill()
        elif fault.kind == "pause":
            slot.instance.child.send_signal(signal.SIGSTOP)
        elif fault.kind in ("restart", "replace"):
            slot.instance.child.send_signal(signal.SIGTERM)
        elif fault.kind == "kill_all":
            for each in self.slots:
                each.instance.child.kill()
        else:
            self._begin_member_fault(fault)

    def _end_fault(self, fault):
        slot = self.slots[fault.instance]
        if fault.kind in LINK_MODES:
            slot.link.mode = proxy.Mode.PASS
        elif fault.kind in STORE_FAULTS:
            self.fleet.set_store_faults()
        elif fault.kind == "pause":
            slot.instance.child.send_signal(signal.SIGCONT)
            self.observed.pauses.append(time.monotonic())
        elif fault.kind == "store_restored":
            self.fleet.restore_store(RESTORE_OUTAGE_S)
            self.operator.write_again()
            for zone in host.ZONES:
                row = "{}" if zone in self.evacuated_at else None
                self.fleet.put("op", f"evacuate/{zone}", row)
        elif fault.kind == "evacuated":
            self._take_back(fault)
        elif fault.kind == "promotion_late":
            self.fleet.set_promotion_times()
        elif fault.kind == "row_lapses":
            self.fleet.change_member(_find_member(fault), is_store_cut=False)
        elif fault.kind in ("kill", "restart"):
            self._restart_process(slot)
        elif fault.kind == "replace":
            slot.sources = None if slot.sources else self.other_sources
            self._restart_process(slot)
        elif fault.kind == "kill_all":
            for each in self.slots:
                self._restart_process(each)
        else:
            self._end_member_fault(fault)

    def _evacuate(self, fault):
        """Evacuate a data centre, unless a primary has crashed.

        Notes
        -----
        Of three members, two would be out of use. While a data centre is
        evacuated, no primary crashes, either.
        """
        if any(found.kind == "primary_crash" for found in self.faulted_members):
            return
        zone = host.ZONES[fault.instance % len(host.ZONES)]
        self.fleet.put("op", f"evacuate/{zone}", "{}")
        self.evacuated_at[zone] = time.monotonic()

    def _take_back(self, fault):
        zone = host.ZONES[fault.instance % len(host.ZONES)]
        if zone not in self.evacuated_at:
            return
        last_at = self.fleet.show_member(f"i-{zone}")["queried_at"]
        use = history.EvacuatedUse(zone, last_at, self.evacuated_at.pop(zone))
        self.observed.evacuated_uses.append(use)
        self.fleet.put("op", f"evacuate/{zone}", None)

    def _restart_process(self, slot):
        """Stop the process, by force if needed, and start a new one."""
        slot.instance.child.send_signal(signal.SIGCONT)
        try:
            slot.instance.child.wait(timeout=STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            slot.instance.child.kill()
        self._start(slot)

    def _begin_leadership_fault(self, fault):
        if fault.kind == "promotion_late":
            self.fleet.set_promotion_times(PROMOTION_EFFECT_S, PROMOTION_ANSWER_S)
        else:
            changes = MEMBER_CHANGES[fault.kind]
            self.fleet.change_member(_find_member(fault), **changes)

    def _begin_member_fault(self, fault):
        name = self.fleet.find_primary()
        if fault.kind == "replica_lags":
            name = _find_member(fault)
            self.fleet.change_member(name, lag_s=0.8)
        elif name is None:
            return
        elif fault.kind == "primary_crash":
            if self.evacuated_at:
                return
            self.observed.crashes.append(time.monotonic())
            self.fleet.change_member(name, down=True, role="replica")
        elif fault.kind == "primary_leaves":
            self.fleet.change_member(name, state="draining")
        else:
            self.fleet.change_member(name, drop_answers=3)
        self.faulted_members[fault] = name

    def _end_member_fault(self, fault):
        name = self.faulted_members.pop(fault, None)
        if name is not None:
            self.fleet.change_member(
                name, down=False, state="ready", lag_s=0.02, drop_answers=0
            )

    def _check_recovery(self, slot, timeout_s):
        """Return no violation if the instance serves a write in time, else one."""
        deadline = time.monotonic() + timeout_s
        attempt = 0
        while time.monotonic() < deadline:
            attempt += 1
            request_id = f"check{slot.number}-{len(self.observed.reads)}-{attempt}"
            with contextlib.suppress(OSError), fleets.Caller(slot.ports[0]) as caller:
                if caller.query("WRITE check 1", request_id)[0].startswith("COMPLETE"):
                    return []
            time.sleep(0.1)
        detail = f"{slot.instance.name} served no write within {timeout_s} s"
        return [history.Violation("service recovers", detail)]

    def _check_final_state(self):
        name = self.fleet.find_primary()
        if name is None:
            return [history.Violation("service recovers", "no primary")]
        log = self.fleet.show_member(name)["log"]
        violations = history.check(self.observed, log, self.fleet.show_promotions())
        if self.with_shifts:
            members = {zone: self.fleet.show_member(f"i-{zone}") for zone in host.ZONES}
            violations.extend(shifts.check(members))
        return violations

    def _copy_logs(self):
        directory = pathlib.Path(self.logs) / f"seed-{self.seed}"
        directory.mkdir(parents=True, exist_ok=True)
        for path in self.fleet.running.directory.glob("*.log"):
            shutil.copy(path, directory)

    def _resume_processes(self):
        """Resume processes that a fault has paused, so that they can be stopped."""
        for slot in self.slots:
            if slot.instance is not None and slot.instance.child.poll() is None:
                slot.instance.child.send_signal(signal.SIGCONT)


def _find_member(fault):
    """Return the name of the member that a fault affects."""
    return f"i-{host.ZONES[fault.instance % len(host.ZONES)]}"
