"""Fault matrix: injects every fault at every step of every protocol."""

import concurrent.futures
import contextlib
import itertools
import json
import signal
import time

import attrs
import click

from measure import changes, checkers, faults, fleets, history, steps, workload
from pomelograde.standins import deployments, processes

DEPLOYMENT = attrs.evolve(deployments.ALLIANCE, services=("scores",))
SERVICE = "scores"
INSTANCES = 3
CALLERS = 12
MIX = workload.Mix(
    write=0.4, transaction=0.2, echo=0.1, think_s=0.03, move_every=10, deadline_s=3.0
)
WARM_UP_S = 1.0
STEP_TIMEOUT_S = 4.0
FAULT_DURATION_S = 2.0
RECOVERY_S = 3.0
RUN_S = WARM_UP_S + STEP_TIMEOUT_S + FAULT_DURATION_S + RECOVERY_S
PARALLEL_FLEETS = 3
DAEMON_MODULE = "measure.step_faults"


@attrs.frozen
class Cell:
    """One run of the matrix: faults injected together at a step."""

    step: steps.StepName
    faults: tuple[str, ...]


@attrs.frozen
class CellResult:
    """Result of a cell.

    Attributes
    ----------
    cell : Cell
        Cell that was run.
    text : str
        "passed", or the problems found.
    """

    cell: Cell
    text: str

    @property
    def passed(self):
        """Whether no checker reported a violation and writes resumed."""
        return self.text == "passed"


@attrs.frozen
class Injection:
    """How the instance that enters the step injects a fault.

    Attributes
    ----------
    posts : tuple of (str, object)
        URLs of control addresses and values to post to them.
    signal : str
        Signal that the instance sends to itself; empty for none.
    """

    posts: tuple = ()
    signal: str = ""


def _platform_faults(**values):
    return lambda fleet: Injection(((f"{fleet.platform_url}/control/faults", values),))


def _primary_fault(kind):
    def plan(fleet):
        name = fleet.primary(SERVICE)["name"]
        value = {"faults": faults.fault_values(fleet, SERVICE, name, kind)}
        return Injection(((f"{fleet.members_url}/members/{SERVICE}/{name}", value),))

    return plan


def _lagging_replicas(fleet):
    replicas = [
        member for member in fleet.members(SERVICE) if member["role"] == "replica"
    ]
    address = f"{fleet.members_url}/members/{SERVICE}"
    return Injection(
        tuple((f"{address}/{member['name']}", {"lag_s": 1.5}) for member in replicas)
    )


def _link_faults(**values):
    return lambda fleet: Injection(((f"{fleet.links_url}/links", values),))


def _isolate_data_centre(fleet):
    first, *others = fleet.deployment.data_centres
    cuts = [[first, other] for other in [*others, "platform"]]
    return Injection(((f"{fleet.links_url}/links", {"cuts": cuts}),))


def _instance_signal(name):
    return lambda fleet: Injection(signal=name)


FAULTS = {
    "primary isolated": _primary_fault("isolated"),
    "primary killed": _primary_fault("killed"),
    "primary paused": _primary_fault("paused"),
    "replicas far behind": _lagging_replicas,
    "instance killed": _instance_signal("SIGKILL"),
    "instance paused": _instance_signal("SIGSTOP"),
    "platform down": _platform_faults(outage=True),
    "platform slow": _platform_faults(slow_s=1.5),
    "platform answers lost": _platform_faults(lose_answers=3),
    "connections silent": _link_faults(silence=True),
    "data centre cut off": _isolate_data_centre,
}
PAIRED_FAULTS = (
    "primary isolated",
    "instance killed",
    "instance paused",
    "platform down",
)


def cells(with_pairs=True):
    """Return each fault at each step, and pairs of the most severe faults."""
    groups = [(name,) for name in FAULTS]
    if with_pairs:
        groups += itertools.combinations(PAIRED_FAULTS, 2)
    return [Cell(step, group) for step in steps.all_steps() for group in groups]


def run(selected, seed=1, parallel=PARALLEL_FLEETS):
    """Run cells in parallel; yields each `CellResult` as it completes."""
    with concurrent.futures.ThreadPoolExecutor(parallel) as pool:
        running = [pool.submit(run_cell, cell, seed) for cell in selected]
        for future in concurrent.futures.as_completed(running):
            yield future.result()


def run_cell(cell, seed):
    """Run one cell in a fleet of its own; returns its `CellResult`."""
    try:
        return CellResult(cell, _run_cell(cell, seed))
    except (OSError, TimeoutError, RuntimeError) as error:
        return CellResult(cell, f"{type(error).__name__}: {error}")


def _run_cell(cell, seed):
    with processes.Processes() as plans:
        marker_path = plans.directory / "injected"
        plan_path = plans.directory / "plan.json"
        settings = fleets.FleetSettings(
            DEPLOYMENT, INSTANCES, program=("-m", DAEMON_MODULE, str(plan_path))
        )
        plan_writer = _PlanWriter(cell, plan_path, marker_path)
        with fleets.run_fleet(settings, plan_writer.write) as fleet:
            callers = workload.make_callers(DEPLOYMENT, CALLERS, MIX)
            with fleet.run_callers(callers, RUN_S, seed) as paths:
                time.sleep(WARM_UP_S)
                marker_path.with_suffix(".armed").touch()
                injected = _inject(fleet, cell, marker_path)
                restored_at = time.monotonic()
            recorded = history.load(paths)
            recorded.records += fleet.limits() + fleet.settled_rows()
    return _evaluate(recorded, injected, restored_at)


@attrs.frozen
class _PlanWriter:
    """Writes the plan of a cell, which the instances read when they start."""

    cell: Cell
    path: object
    marker_path: object

    def write(self, fleet):
        injections = [FAULTS[name](fleet) for name in self.cell.faults]
        plan = {
            "step": attrs.astuple(self.cell.step),
            "mark": str(self.marker_path),
            "posts": [post for injection in injections for post in injection.posts],
            "signal": "".join(injection.signal for injection in injections[:1])
            or "".join(injection.signal for injection in injections[1:]),
        }
        self.path.write_text(json.dumps(plan))


def _inject(fleet, cell, marker_path):
    """Trigger the protocol, wait for the injection and end all faults.

    Returns whether an instance has entered the step.
    """
    primary = fleet.primary(SERVICE)["name"]
    if cell.step.protocol == "failover":
        faults.fail_member(fleet, SERVICE, primary, "killed")
    with contextlib.suppress(OSError):
        changes.change_account(fleet)
    end = time.monotonic() + STEP_TIMEOUT_S
    while not marker_path.exists() and time.monotonic() < end:
        time.sleep(0.02)
    injected = marker_path.exists()
    if injected:
        time.sleep(FAULT_DURATION_S)
    _restore(fleet)
    return injected


def _restore(fleet):
    fleet.change_platform(outage=False, silent=False, slow_s=0.0, lose_answers=0)
    fleet.heal()
    for member in fleet.members(SERVICE):
        faults.restore_member(fleet, SERVICE, member["name"])
        fleet.change_member(SERVICE, member["name"], lag_s=fleet.settings.lag_s)
    for number, child in enumerate(list(fleet.daemons)):
        child.send_signal(signal.SIGCONT)
        if child.poll() is not None:
            fleet.start_daemon(number)


def _evaluate(recorded, injected, restored_at):
    if not injected:
        return "step not reached"
    violations = checkers.check_all(recorded)
    problems = [f"{name} {len(found)}" for name, found in violations.items() if found]
    recovered_writes = [
        operation
        for operation in recorded.operations(history.Action.WRITE)
        if operation.outcome is history.Outcome.OK
        and operation.invoked_at > restored_at
    ]
    if not recovered_writes:
        problems.append("no write after the fault")
    return ", ".join(problems) or "passed"


def report(results):
    """Print a table and a summary; returns the number of failed cells."""
    order = {cell: number for number, cell in enumerate(cells())}
    for result in sorted(results, key=lambda result: order.get(result.cell, 0)):
        step = f"{result.cell.step.protocol}.{result.cell.step.step}"
        click.echo(f"{step:28} {' + '.join(result.cell.faults):40} {result.text}")
    failed = sum(not result.passed for result in results)
    click.echo(f"{len(results) - failed} passed, {failed} failed")
    return failed
